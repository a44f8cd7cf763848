//! Unit tests of `liveness.rs`.

use super::*;

#[test]
fn a_short_break_loses_nothing_and_a_long_one_all() {
    let mut one = Listening::default();
    assert_eq!(one.began(7), Next::Listen);
    assert_eq!(one.broke(), Next::Open { after: PAUSE });
    assert_eq!(one.broke(), Next::Open { after: 2 * PAUSE });
    assert_eq!(one.began(7), Next::Listen, "the same process: its sessions play on");
    assert_eq!([one.broke(), one.broke(), one.broke()][2], Next::Lost);
}

#[test]
fn another_process_at_the_same_address_has_none_of_the_sessions() {
    let mut one = Listening::default();
    one.began(7);
    one.broke();
    assert_eq!(one.began(8), Next::Lost);
}

#[test]
fn a_host_that_hangs_up_again_and_again_is_asked_calmly() {
    let mut one = Listening::default();
    let pauses: Vec<_> = (0..40)
        .map(|_| {
            one.began(7);
            one.heard();
            one.broke()
        })
        .collect();
    assert_eq!((pauses[0], pauses[39]), (Next::Open { after: PAUSE }, Next::Open { after: CALM }));
    assert!(!pauses.contains(&Next::Lost));
}
