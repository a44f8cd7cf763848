//! Numbers that wrap around: of packets, 31 bits, and of timestamps, 32 bits.

/// A packet's sequence number.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug)]
pub struct Seq(u32);

const MASK: u32 = 0x7fff_ffff;

impl Seq {
    /// The lowest 31 bits of a number.
    pub fn new(number: u32) -> Seq {
        Seq(number & MASK)
    }

    pub fn number(self) -> u32 {
        self.0
    }

    pub fn plus(self, count: u32) -> Seq {
        Seq(self.0.wrapping_add(count) & MASK)
    }

    pub fn next(self) -> Seq {
        self.plus(1)
    }

    /// How far it is behind another one, or ahead if below zero. The way round that is shorter counts.
    pub fn since(self, other: Seq) -> i32 {
        let ahead = self.0.wrapping_sub(other.0) & MASK;
        if ahead < 1 << 30 { ahead as i32 } else { ahead as i32 - (1 << 30) - (1 << 30) }
    }

    pub fn is_before(self, other: Seq) -> bool {
        self.since(other) < 0
    }
}

/// Continues a 32-bit timestamp as 64 bits, near the last one that was seen.
pub fn unwrap_time(last: i64, stamp: u32) -> i64 {
    let ahead = stamp.wrapping_sub(last as u32) as i32;
    last + i64::from(ahead)
}

#[cfg(test)]
#[path = "../tests/unit/seq.rs"]
mod tests;
