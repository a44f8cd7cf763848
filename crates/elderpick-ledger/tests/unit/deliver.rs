//! Unit tests of `deliver.rs`.

use super::*;

const TAKEN: Answered = Answered::Status { code: 201, after: None };

#[test]
fn files_go_in_order_and_one_that_was_taken_never_goes_again() {
    let mut one = Delivery::default();
    assert_eq!(one.begin(), Next::Send { file: 0, after: 0 });
    assert!(matches!(one.answered(Answered::Lost), Next::Send { file: 0, after } if after > 0));
    assert_eq!(one.answered(TAKEN), Next::Send { file: 1, after: 0 });
    let busy = Answered::Status { code: 503, after: Some(3_000_000) };
    assert_eq!(one.answered(busy), Next::Send { file: 1, after: 3_000_000 });
    assert_eq!(one.answered(TAKEN), Next::Send { file: 2, after: 0 });
    assert_eq!(one.answered(TAKEN), Next::Taken);
}

#[test]
fn it_is_given_up_after_a_bounded_time_and_what_is_final_at_once() {
    let mut one = Delivery::default();
    let mut waited = 0;
    let mut steps = 0;
    while let Next::Send { file: 0, after } = one.answered(Answered::Lost) {
        (waited, steps) = (waited + after, steps + 1);
    }
    assert!(steps < 20 && waited < 120_000_000, "{steps} {waited}");
    let status = |code| Answered::Status { code, after: None };
    assert_eq!(Delivery::default().answered(status(422)), Next::Differs);
    assert_eq!(Delivery::default().answered(status(403)), Next::Refused { code: 403 });
    let long = Answered::Status { code: 503, after: Some(i64::MAX) };
    assert_eq!(Delivery::default().answered(long), Next::Send { file: 0, after: LONGEST });
}
