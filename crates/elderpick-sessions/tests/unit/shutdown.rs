//! The end of a gateway. Compiled into `src/shutdown.rs`, whose figures it knows.

use super::*;

/// A viewer may wait for an hour; rounds are 150 ms long.
#[test]
fn a_request_that_was_taken_is_waited_for_as_long_as_its_viewer_waits() {
    let mut shutdown = Shutdown::default();
    assert!((0..3_600_000 / 150).all(|_| !shutdown.may_end(1, 1)));
    assert!(!shutdown.may_end(0, 1), "its answer is being written");
    assert!(shutdown.may_end(0, 0));
}

#[test]
fn a_connection_without_a_request_does_not_keep_the_process() {
    let mut shutdown = Shutdown::default();
    assert!((1..MOST_ROUNDS).all(|_| !shutdown.may_end(0, 3)));
    assert!(shutdown.may_end(0, 3));
}
