//! Unit tests of `seq.rs`.

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
