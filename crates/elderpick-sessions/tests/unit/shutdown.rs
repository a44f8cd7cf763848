//! The timetable of a shutdown. Compiled into `src/shutdown.rs`, whose figures it knows.

use super::*;

const MS: Micros = 1_000;

/// By the platform: the longest deadline, 3 s at most, and 0.7 s.
fn earliest_kill(deadline: Micros) -> Micros {
    deadline.min(3_000 * MS) + 700 * MS
}

#[test]
fn the_process_has_ended_before_the_earliest_kill_for_deadlines_of_1_ms_to_60_s() {
    for deadline in (1..=60_000).map(|ms| ms * MS) {
        let times = Timetable::new(Some(deadline));
        assert!(times.serves_for > 600 * MS, "requests come for 0.6 s: {deadline}");
        assert!(times.serves_for < times.answers_by && times.answers_by < times.ends_by, "{deadline}");
        assert!(times.ends_by < earliest_kill(deadline), "{deadline}");
    }
}

/// A request that came while the gateway served, with a deadline that counts in full, has its whole time but for what
/// the end itself takes.
#[test]
fn a_request_that_was_taken_has_its_time() {
    for deadline in [100 * MS, 1_000 * MS, 3_000 * MS] {
        let times = Timetable::new(Some(deadline));
        assert!(times.answers_by >= times.serves_for + deadline - 80 * MS, "{deadline}");
    }
}

#[test]
fn settings_without_a_deadline_or_with_a_senseless_one_have_a_timetable() {
    assert_eq!(Timetable::new(None), Timetable::new(Some(3_000 * MS)));
    assert_eq!(Timetable::new(Some(-1)), Timetable::new(Some(0)));
    assert_eq!(Timetable::new(Some(Micros::MAX)), Timetable::new(None));
}
