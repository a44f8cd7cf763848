//! Releases towards viewers, until they are confirmed.

use elderpick_sessions::releases::{Carrier, Releases};

const SECOND: i64 = 1_000_000;

/// All that waits goes out on a connection.
fn say(releases: &mut Releases, now: i64, conn: u64) -> Vec<(u64, u8)> {
    let mut said = Vec::new();
    while let Some((session, cause)) = releases.next(now) {
        releases.sent(now, session, Carrier::Viewers(conn));
        said.push((session, cause));
    }
    said
}

#[test]
fn what_goes_down_with_its_connection_is_said_again_and_what_was_confirmed_is_not() {
    let mut releases = Releases::new(9);
    (1..=3).for_each(|session| releases.add(session as i64, session, 16));
    assert_eq!(say(&mut releases, 10, 7), [(1, 16), (2, 16), (3, 16)], "the oldest first");
    assert_eq!(releases.next(10), None);
    releases.confirmed(2, 7);
    releases.connection_ended(20, 8);
    assert_eq!(releases.next(20), None, "another connection's end");
    releases.connection_ended(20, 7);
    assert_eq!((say(&mut releases, 30, 9), releases.resent), (vec![(1, 16), (3, 16)], 2));
    releases.confirmed(1, 9);
    releases.confirmed(3, 9);
    releases.connection_ended(40, 9);
    assert!(releases.is_empty() && releases.next(40).is_none());
}

#[test]
fn what_went_out_long_before_its_connections_end_has_arrived() {
    let mut releases = Releases::new(9);
    releases.add(0, 1, 16);
    say(&mut releases, 0, 7);
    releases.connection_ended(SECOND + 1, 7);
    assert!(releases.next(SECOND + 1).is_none() && releases.is_empty());
}

#[test]
fn the_oldest_make_room_and_what_was_said_long_ago_has_arrived() {
    let mut releases = Releases::new(2);
    (1..=3).for_each(|session| releases.add(session as i64, session, 16));
    assert_eq!((releases.next(4), releases.dropped, releases.len()), (Some((2, 16)), 1, 2));
    releases.add(5, 2, 31);
    assert_eq!(say(&mut releases, 6, 7), [(3, 16), (2, 31)], "owed anew, once");
    assert_eq!((releases.next(12 * SECOND), releases.is_empty()), (None, true));
}

/// An hour in which no viewer has a connection, as where few sessions play for long.
#[test]
fn a_release_that_finds_no_connection_is_owed_until_there_is_one() {
    let mut releases = Releases::new(9);
    releases.add(0, 1, 16);
    assert_eq!(releases.next(3_600 * SECOND), Some((1, 16)));
    releases.sent(3_600 * SECOND, 1, Carrier::Viewers(7));
    releases.connection_ended(3_600 * SECOND + 1, 7);
    assert_eq!((say(&mut releases, 3_601 * SECOND, 8), releases.dropped), (vec![(1, 16)], 0));
    releases.confirmed(1, 8);
    assert!(releases.is_empty());
}

#[test]
fn only_who_was_told_can_confirm() {
    let mut releases = Releases::new(9);
    releases.add(0, 1, 16);
    releases.confirmed(1, 7);
    assert_eq!(say(&mut releases, 1, 7), [(1, 16)], "it was said to nobody before");
    releases.confirmed(1, 8);
    releases.connection_ended(2, 7);
    assert_eq!(say(&mut releases, 3, 8), [(1, 16)], "another connection's word confirms nothing");
    releases.confirmed(1, 8);
    assert!(releases.is_empty());
}

/// As many as a gateway may hold, all over at once and their connections gone again and again: each is said on one
/// connection at a time, and all are confirmed in the end.
#[test]
fn a_crowd_that_is_over_at_once_is_owed_until_the_last_has_confirmed() {
    let all = 50_000;
    let mut releases = Releases::new(all as usize);
    (0..all).for_each(|session| releases.add(0, session, 41));
    for conn in 0..100 {
        for _ in 0..1_000 {
            let Some((session, _)) = releases.next(1) else { break };
            releases.sent(1, session, Carrier::Viewers(conn));
            // Every second one is confirmed before the connection ends.
            if session % 2 == conn % 2 {
                releases.confirmed(session, conn);
            }
        }
        releases.connection_ended(1, conn);
    }
    let left = releases.len();
    assert!(left <= all as usize / 2, "{left}");
    let said = say(&mut releases, 2, 1_000);
    assert_eq!(said.len(), left, "none is forgotten");
    said.iter().for_each(|(session, _)| releases.confirmed(*session, 1_000));
    assert!(releases.is_empty() && releases.dropped == 0);
}

/// Guards against ends that count as heard since they were said to a stranger long ago, or right before that left.
#[test]
fn what_was_sent_on_a_doubtful_connection_is_owed_until_it_is_confirmed() {
    let mut releases = Releases::new(8);
    releases.add(0, 1, 16);
    releases.sent(0, 1, Carrier::Doubtful(7));
    assert_eq!(releases.next(60 * SECOND), None);
    assert_eq!(releases.len(), 1);
    releases.connection_ended(60 * SECOND, 7);
    assert_eq!(releases.next(60 * SECOND), Some((1, 16)));
    releases.sent(60 * SECOND, 1, Carrier::Viewers(8));
    releases.connection_ended(70 * SECOND, 8);
    assert!(releases.is_empty());
}

#[test]
fn what_went_out_on_a_connection_that_turns_out_to_be_of_viewers_has_arrived_in_time() {
    let mut releases = Releases::new(9);
    releases.add(0, 1, 16);
    releases.sent(0, 1, Carrier::Doubtful(7));
    assert_eq!((releases.next(12 * SECOND), releases.len()), (None, 1), "time proves nothing");
    releases.is_viewers(12 * SECOND, 7);
    assert_eq!((releases.next(13 * SECOND), releases.len()), (None, 1));
    assert_eq!((releases.next(23 * SECOND), releases.is_empty()), (None, true));
}
