//! What may cross does, under the lab's settings; `common` has the world and its judge.

mod common;

use common::{Conditions, DOUBLES, Wrong};

/// Plays one order of events; what was broken first, if anything.
fn play(seed: u64, wrong: Wrong) -> Option<String> {
    common::play(seed, wrong, Conditions::default(), 300)
}

#[test]
fn whatever_crosses_the_rules_hold_and_nothing_is_left_over() {
    let broken: Vec<_> = (0..400).filter_map(|seed| Some((seed, play(seed, Wrong::Nothing)?))).collect();
    assert_eq!(broken, [], "by seed");
}

#[test]
fn the_judge_sees_each_double() {
    for wrong in DOUBLES {
        assert!((0..400).any(|seed| play(seed, wrong).is_some()), "{wrong:?} goes unseen");
    }
}
