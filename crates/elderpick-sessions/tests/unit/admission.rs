//! Who may stay connected. Compiled into `src/admission.rs`, whose figures it knows.

use super::*;

#[test]
fn silent_guests_make_room_before_idle_ones_and_busy_ones_stay() {
    let mut admission = Admission::new(3);
    (1..=3).for_each(|conn| assert_eq!(admission.come(conn as Micros, conn, |_| true), Welcome::Admitted));
    admission.said(10, 1);
    admission.said(11, 2);
    admission.open(11, 2, 1);
    assert_eq!(admission.come(12, 4, |_| true), Welcome::InsteadOf(3), "never said anything");
    admission.said(13, 4);
    admission.open(13, 4, 2);
    assert_eq!(admission.come(14, 5, |_| true), Welcome::InsteadOf(1), "idle longest");
    admission.said(15, 5);
    admission.open(15, 5, 1);
    assert_eq!(
        (admission.come(16, 6, |_| true), admission.held()),
        (Welcome::Full, 3),
        "all have set-ups open"
    );
}

#[test]
fn the_silent_and_the_half_said_are_closed_in_time() {
    let mut admission = Admission::new(9);
    (1..=3).for_each(|conn| assert_eq!(admission.come(0, conn, |_| true), Welcome::Admitted));
    admission.said(0, 2);
    admission.said(0, 3);
    admission.open(0, 3, 1);
    admission.read(100, 3, true);
    assert!(admission.overdue(PARTIAL, false, |_| true).is_empty());
    assert_eq!(admission.overdue(SILENT, false, |_| true), [1], "an answer is owed on the third");
    admission.open(SILENT, 3, 0);
    assert_eq!(admission.overdue(SILENT, false, |_| true), [3], "half a message for too long");
    assert_eq!(admission.overdue(IDLE, false, |_| true), [2]);
    assert_eq!(admission.held(), 0);
}

#[test]
fn what_was_sent_and_not_read_yet_is_not_idle() {
    let mut admission = Admission::new(2);
    for conn in [1, 2] {
        assert_eq!(admission.come(0, conn, |_| true), Welcome::Admitted);
        admission.said(1, conn);
    }
    assert_eq!(admission.come(2, 3, |conn| conn != 1), Welcome::InsteadOf(2));
    assert_eq!(admission.come(2, 4, |_| false), Welcome::Full);
    assert!(admission.overdue(IDLE * 2, true, |_| false).is_empty());
    assert_eq!(admission.overdue(IDLE * 2, true, |conn| conn == 1), [1]);
}
