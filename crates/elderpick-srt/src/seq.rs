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
mod tests {
    use super::*;

    #[test]
    fn numbers_go_on_over_the_end() {
        let last = Seq::new(MASK);
        assert_eq!((last.next(), last.next().since(last)), (Seq::new(0), 1));
        assert_eq!((last.since(Seq::new(1)), Seq::new(1).since(last)), (-2, 2));
        assert_eq!((Seq::new(5).since(Seq::new(5)), Seq::new(3).is_before(last)), (0, false));
        assert!(last.is_before(Seq::new(3)) && Seq::new(u32::MAX) == last);
        let far = Seq::new(7).plus(1 << 30);
        assert_eq!(far.since(Seq::new(7)), -(1 << 30), "the farthest is behind");
        assert_eq!(unwrap_time(0xffff_fff0, 4), 0x1_0000_0004);
        assert_eq!(unwrap_time(0x1_0000_0004, 0xffff_fff0), 0xffff_fff0);
    }
}
