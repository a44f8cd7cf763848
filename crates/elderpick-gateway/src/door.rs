//! Who may connect. No I/O.
//!
//! kind: decisions

use std::collections::HashMap;
use std::net::{IpAddr, Ipv6Addr};

/// What is to be done with a connection that came.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Entry {
    Admitted,
    /// The gateway holds as many as it may.
    Full,
    /// Its address holds as many as one may.
    AddressFull,
}

/// Counts connections, in all and by address. The table is bounded by the connections that are held.
#[derive(Debug)]
pub struct Door {
    most: usize,
    per_address: usize,
    held: usize,
    by_address: HashMap<IpAddr, usize>,
}

/// What counts as one address: of IPv6 the upper half, since a single machine may use all of the lower.
fn whose(address: IpAddr) -> IpAddr {
    match address.to_canonical() {
        IpAddr::V6(six) => IpAddr::V6(Ipv6Addr::from_bits(six.to_bits() & !u128::from(u64::MAX))),
        four => four,
    }
}

impl Door {
    pub fn new(most: usize, per_address: usize) -> Door {
        Door { most, per_address, held: 0, by_address: HashMap::new() }
    }

    /// A connection came; if it is admitted [`Door::leave`] is to follow.
    pub fn come(&mut self, from: IpAddr) -> Entry {
        if self.held >= self.most {
            return Entry::Full;
        }
        let of_address = self.by_address.entry(whose(from)).or_default();
        if *of_address >= self.per_address {
            return Entry::AddressFull;
        }
        *of_address += 1;
        self.held += 1;
        Entry::Admitted
    }

    /// A connection that was admitted is closed.
    pub fn leave(&mut self, from: IpAddr) {
        let whose = whose(from);
        let Some(of_address) = self.by_address.get_mut(&whose) else { return };
        *of_address -= 1;
        if *of_address == 0 {
            self.by_address.remove(&whose);
        }
        self.held -= 1;
    }

    pub fn held(&self) -> usize {
        self.held
    }
}

#[cfg(test)]
#[path = "../tests/unit/door.rs"]
mod tests;
