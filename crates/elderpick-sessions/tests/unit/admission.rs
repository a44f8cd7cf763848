//! Who may stay connected. Compiled into `src/admission.rs`, whose figures it knows.

use super::*;

/// Connections of which those that `quiet` names have nothing unread, and those of `standing` have sessions.
struct Known<Q> {
    quiet: Q,
    standing: &'static [Conn],
}

impl<Q: Fn(Conn) -> bool> Connections for Known<Q> {
    fn quiet(&self, conn: Conn) -> bool {
        (self.quiet)(conn)
    }

    fn has_sessions_on(&self, conn: Conn) -> bool {
        self.standing.contains(&conn)
    }
}

fn with<Q: Fn(Conn) -> bool>(quiet: Q) -> Known<Q> {
    Known { quiet, standing: &[] }
}

#[test]
fn silent_guests_make_room_before_idle_ones_and_busy_ones_stay() {
    let mut admission = Admission::new(3);
    (1..=3).for_each(|conn| {
        assert_eq!(admission.accept(conn as Micros, conn, &with(|_| true)), AdmissionDecision::Admitted)
    });
    admission.message_received(10, 1);
    admission.message_received(11, 2);
    admission.set_open(11, 2, 1);
    assert_eq!(
        admission.accept(12, 4, &with(|_| true)),
        AdmissionDecision::InsteadOf(3),
        "never said anything"
    );
    admission.message_received(13, 4);
    admission.set_open(13, 4, 2);
    assert_eq!(admission.accept(14, 5, &with(|_| true)), AdmissionDecision::InsteadOf(1), "idle longest");
    admission.message_received(15, 5);
    assert!(admission.has_room(&with(|_| true)) && !admission.has_room(&with(|_| false)));
    admission.set_open(15, 5, 1);
    assert!(!admission.has_room(&with(|_| true)));
    assert_eq!(
        (admission.accept(16, 6, &with(|_| true)), admission.held()),
        (AdmissionDecision::Full, 3),
        "all have set-ups open"
    );
}

#[test]
fn the_silent_and_the_half_said_are_closed_in_time() {
    let mut admission = Admission::new(9);
    (1..=3)
        .for_each(|conn| assert_eq!(admission.accept(0, conn, &with(|_| true)), AdmissionDecision::Admitted));
    admission.message_received(0, 2);
    admission.message_received(0, 3);
    admission.set_open(0, 3, 1);
    admission.read_finished(100, 3, true);
    assert!(admission.overdue(PARTIAL, false, &with(|_| true)).is_empty());
    assert_eq!(admission.overdue(SILENT, false, &with(|_| true)), [1], "an answer is owed on the third");
    admission.set_open(SILENT, 3, 0);
    assert_eq!(admission.overdue(SILENT, false, &with(|_| true)), [3], "half a message for too long");
    assert_eq!(admission.overdue(IDLE, false, &with(|_| true)), [2]);
    assert_eq!(admission.held(), 0);
}

#[test]
fn what_was_sent_and_not_read_yet_is_not_idle() {
    let mut admission = Admission::new(2);
    for conn in [1, 2] {
        assert_eq!(admission.accept(0, conn, &with(|_| true)), AdmissionDecision::Admitted);
        admission.message_received(1, conn);
    }
    assert_eq!(admission.accept(2, 3, &with(|conn| conn != 1)), AdmissionDecision::InsteadOf(2));
    assert_eq!(admission.accept(2, 4, &with(|_| false)), AdmissionDecision::Full);
    assert!(admission.overdue(IDLE * 2, true, &with(|_| false)).is_empty());
    assert_eq!(admission.overdue(IDLE * 2, true, &with(|conn| conn == 1)), [1]);
}

/// Viewers of long sessions may say nothing for hours, and hear of their ends on no other connection.
#[test]
fn a_connection_on_which_sessions_stand_is_kept_while_there_is_room() {
    let known = Known { quiet: |_| true, standing: &[1] };
    let mut admission = Admission::new(2);
    for conn in [1, 2] {
        assert_eq!(admission.accept(0, conn, &known), AdmissionDecision::Admitted);
        admission.message_received(conn as Micros, conn);
    }
    assert_eq!(
        admission.accept(3, 3, &known),
        AdmissionDecision::InsteadOf(2),
        "though the first is idle longer"
    );
    admission.message_received(4, 3);
    assert_eq!(admission.overdue(3_600_000_000, false, &known), [3]);
    assert_eq!(admission.held(), 1);
    admission.accept(3_600_000_000, 4, &known);
    admission.message_received(3_600_000_000, 4);
    admission.set_open(3_600_000_000, 4, 1);
    assert_eq!(
        admission.accept(3_600_000_001, 5, &known),
        AdmissionDecision::InsteadOf(1),
        "there is no room"
    );
    assert_eq!(admission.overdue(3_600_000_002, true, &known), [5], "at the end all go that may");
}
