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
mod tests {
    use super::*;

    #[test]
    fn bounds_hold_in_all_and_by_address_and_what_left_is_free_again() {
        let mut door = Door::new(4, 2);
        let [a, b, c] = [[10, 0, 0, 1], [10, 0, 0, 2], [10, 0, 0, 3]].map(IpAddr::from);
        assert_eq!([a, a, a, b].map(|from| door.come(from)), {
            [Entry::Admitted, Entry::Admitted, Entry::AddressFull, Entry::Admitted]
        });
        assert_eq!([b, c].map(|from| door.come(from)), [Entry::Admitted, Entry::Full]);
        door.leave(a);
        door.leave(c);
        assert_eq!((door.come(c), door.come(a), door.held()), (Entry::Admitted, Entry::Full, 4));
        [a, b, b, c].into_iter().for_each(|from| door.leave(from));
        assert_eq!((door.held(), door.by_address.len()), (0, 0), "nothing is left in the table");
    }

    #[test]
    fn one_machine_is_one_address() {
        let mut door = Door::new(9, 1);
        let at = |text: &str| text.parse::<IpAddr>().unwrap();
        assert_eq!(door.come(at("2001:db8::1")), Entry::Admitted);
        assert_eq!(door.come(at("2001:db8::ffff")), Entry::AddressFull);
        assert_eq!(door.come(at("2001:db8:0:1::1")), Entry::Admitted);
        assert_eq!(door.come(at("::ffff:10.0.0.1")), Entry::Admitted);
        assert_eq!(door.come(at("10.0.0.1")), Entry::AddressFull);
    }
}
