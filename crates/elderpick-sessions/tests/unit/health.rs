//! Whether a media host still runs. Compiled into `src/health.rs`, whose figures it knows.

use super::*;

fn up(now: Micros) -> HealthMonitor {
    let mut watch = HealthMonitor::new(now);
    assert_eq!(watch.next(now, true), Next::Open);
    assert_eq!(watch.next(now, true), Next::Nothing, "one opening at a time");
    watch.opened(now, Opened::Up);
    watch
}

/// Asks every 10 ms until the host is lost; openings end as told.
fn lost_after(watch: &mut HealthMonitor, from: Micros, how: Opened) -> Micros {
    for now in (from..from + 60_000_000).step_by(10_000) {
        match watch.next(now, true) {
            Next::Lost => return now - from,
            Next::Open => watch.opened(now, how),
            _ => {}
        }
    }
    unreachable!("the host is lost some time")
}

#[test]
fn a_host_that_died_is_lost_at_once_and_a_silent_one_within_five_seconds() {
    let mut died = up(0);
    died.closed(false);
    assert!(lost_after(&mut died, PAUSE, Opened::Refused) <= 200_000);
    let mut silent = up(0);
    let after = lost_after(&mut silent, 0, Opened::Silent);
    assert!((QUIET + TESTED..5_000_000).contains(&after), "{after}");
}

#[test]
fn a_reset_connection_and_a_quiet_host_lose_nothing() {
    let mut watch = up(0);
    for now in (0..60_000_000).step_by(50_000) {
        if now % 700_000 == 0 {
            watch.closed(true);
        }
        match watch.next(now, true) {
            Next::Lost => panic!("lost at {now}"),
            Next::Open => watch.opened(now, Opened::Up),
            Next::Test => watch.heard(now),
            Next::Nothing => {}
        }
    }
}

#[test]
fn a_connection_that_broke_is_followed_by_a_new_one_though_others_are_up() {
    let mut watch = up(0);
    watch.opened(0, Opened::Up);
    watch.closed(true);
    assert_eq!(watch.next(PAUSE, true), Next::Nothing, "all was read");
    watch.opened(0, Opened::Up);
    watch.closed(false);
    assert_eq!(watch.next(PAUSE, true), Next::Open, "what went down with it comes on a new one");
    watch.opened(PAUSE, Opened::Up);
    assert_eq!(watch.next(3 * PAUSE, true), Next::Nothing);
}

#[test]
fn a_host_that_left_the_list_is_lost_with_its_last_connection() {
    let mut watch = up(0);
    assert_eq!(watch.next(10, false), Next::Nothing);
    watch.closed(true);
    assert_eq!(watch.next(20, false), Next::Lost);
}

#[test]
fn a_bound_of_ours_is_no_word_on_the_host() {
    let mut watch = up(0);
    watch.closed(true);
    for now in (PAUSE..60_000_000).step_by(50_000) {
        match watch.next(now, true) {
            Next::Lost => panic!("lost at {now}"),
            Next::Open => watch.opened(now, Opened::NoRoom),
            _ => {}
        }
    }
}

/// Its line is up and says nothing, and this gateway has no descriptor for another.
#[test]
fn a_silent_host_is_lost_in_time_though_no_connection_can_be_tried() {
    let mut watch = up(0);
    let after = lost_after(&mut watch, 0, Opened::NoRoom);
    assert!((QUIET + TESTED..8_000_000).contains(&after), "{after}");
}

/// Openings end after `connect`, unless they come up or the host is lost before; a call each 50 ms, as from the lifecycle of
/// sessions.
fn lost_by(mut watch: HealthMonitor, connect: Micros, how: Opened) -> Micros {
    let mut openings = std::collections::VecDeque::new();
    for now in (0..60_000_000).step_by(50_000) {
        while openings.front().is_some_and(|at| at + connect <= now) {
            openings.pop_front();
            watch.opened(now, how);
        }
        match watch.next(now, true) {
            Next::Lost => return now,
            Next::Open => openings.push_back(now),
            _ => {}
        }
    }
    unreachable!("the host is lost some time")
}

/// Its end may lie up to [`QUIET`] before the first question where a connection is up, and right before it otherwise.
#[test]
fn a_silent_host_is_lost_within_eight_seconds_whatever_the_settings_let_connections_take() {
    for connect in [1, 60_000, 250_000, 600_000, 1_000_000, 2_000_000, 3_000_000, 10_000_000, 3_600_000_000] {
        let vanished = up(0);
        let mut idle = up(0);
        idle.closed(true);
        // Its one refusal lets no test go out, though a connection is up.
        let mut doubted = up(0);
        doubted.opened(0, Opened::Refused);
        for watch in [vanished, idle, doubted] {
            let after = lost_by(watch, connect, Opened::Silent);
            assert!(after < 7_500_000, "{connect}: {after}");
        }
    }
}

#[test]
fn an_opening_that_never_ends_is_followed_by_others_before_the_host_is_lost() {
    let mut watch = up(0);
    watch.closed(true);
    let mut openings = Vec::new();
    for now in (0..UNANSWERED).step_by(50_000) {
        if watch.next(now, true) == Next::Open {
            openings.push(now);
        }
    }
    assert!(openings.len() >= 3, "{openings:?}");
    watch.opened(UNANSWERED - 1, Opened::Up);
    assert_eq!(watch.next(UNANSWERED, true), Next::Nothing, "one of them came up");
    assert_eq!(watch.next(UNANSWERED + QUIET, true), Next::Test);
}

#[test]
fn a_standstill_of_the_gateway_loses_no_host() {
    let mut watch = up(0);
    watch.closed(true);
    assert_eq!(watch.next(30_000_000, true), Next::Open, "it was not tried yet");
    watch.opened(30_050_000, Opened::Up);
    assert_eq!(watch.next(30_100_000, true), Next::Nothing);
}

/// What a host said on a connection that broke it says again on the next one that it takes.
#[test]
fn a_connection_that_was_opened_before_another_broke_passes_for_the_next_one() {
    let mut watch = up(0);
    watch.opening_began();
    watch.closed(false);
    watch.opened(PAUSE, Opened::Up);
    assert_eq!(watch.next(3 * PAUSE, true), Next::Open, "its host may have taken it before the break");
    watch.opening_began();
    watch.opened(4 * PAUSE, Opened::Up);
    assert_eq!(watch.next(6 * PAUSE, true), Next::Nothing);
}
