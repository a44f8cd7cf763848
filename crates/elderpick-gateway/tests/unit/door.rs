//! Unit tests of `door.rs`.

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
