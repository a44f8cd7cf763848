//! What waits for a connection, and what was of late.

use elderpick_sessions::pending::{ExpiringMap, PendingQueue};

#[test]
fn the_oldest_words_make_room_and_old_ones_are_not_said() {
    let mut kept = PendingQueue::new(2, 100);
    (0..3).for_each(|k| kept.push(k, k));
    assert_eq!((kept.take(50).collect::<Vec<_>>(), kept.dropped), (vec![1, 2], 1));
    kept.push(60, 7);
    kept.push(60, 8);
    assert_eq!(kept.iter(60).collect::<Vec<_>>(), [&7, &8]);
    assert_eq!((kept.take(161).count(), kept.dropped, kept.is_empty()), (0, 3, true));
}

#[test]
fn what_was_of_late_is_known_until_it_is_old_or_makes_room() {
    let mut used = ExpiringMap::new(2, 100);
    (0..3).for_each(|k| used.insert(k, k as u64, ()));
    assert_eq!([0, 1, 2].map(|k| used.contains(10, &k)), [false, true, true]);
    used.insert(3, 2, ());
    assert!(used.contains(10, &1), "what is known takes no room");
    used.insert(150, 7, ());
    assert_eq!([1, 2, 7].map(|k| used.contains(150, &k)), [false, false, true]);
}

#[test]
fn what_is_taken_out_is_known_no_more_and_the_others_stay_as_old_as_they_are() {
    let mut recent = ExpiringMap::new(9, 100);
    recent.insert(60, ("a", 7), 1);
    recent.insert(60, ("a", 8), 2);
    recent.insert(70, ("b", 1), 3);
    recent.insert(99, ("a", 7), 4);
    assert_eq!(recent.get(100, &("a", 7)), Some(&1), "it stays as it was");
    assert_eq!(recent.keys(100, ("a", 0)..=("a", 99)).collect::<Vec<_>>(), [&("a", 7), &("a", 8)]);
    assert_eq!((recent.remove(100, &("a", 8)), recent.remove(100, &("a", 8))), (Some(2), None), "once");
    assert_eq!(recent.get(161, &("a", 7)), None, "too old, though nothing came since");
    assert_eq!(recent.keys(161, ..).collect::<Vec<_>>(), [&("b", 1)]);
    assert_eq!(recent.remove(171, &("b", 1)), None);
}

#[test]
fn what_is_renewed_is_as_old_as_that() {
    let mut recent = ExpiringMap::new(9, 100);
    recent.insert(0, ("a", 7), 1);
    recent.renew(90, ("a", 7), 2);
    assert_eq!(recent.get(150, &("a", 7)), Some(&2));
    recent.renew(150, ("b", 1), 3);
    assert_eq!((recent.get(191, &("a", 7)), recent.get(191, &("b", 1))), (None, Some(&3)));
}
