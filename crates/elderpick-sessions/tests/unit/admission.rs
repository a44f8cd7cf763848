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
    let now = SPEAKS_WITHIN + 12;
    assert_eq!(
        admission.accept(now, 4, &with(|_| true)),
        AdmissionDecision::InsteadOf(3),
        "never said anything"
    );
    admission.message_received(now + 1, 4);
    admission.set_open(now + 1, 4, 2);
    assert_eq!(
        admission.accept(now + 2, 5, &with(|_| true)),
        AdmissionDecision::InsteadOf(1),
        "idle longest"
    );
    admission.message_received(now + 3, 5);
    let has_room = |admission: &Admission, is_quiet| admission.has_room(now + 3, &with(|_| is_quiet));
    assert!(has_room(&admission, true) && !has_room(&admission, false));
    admission.set_open(now + 3, 5, 1);
    assert!(!has_room(&admission, true));
    assert_eq!(
        (admission.accept(now + 4, 6, &with(|_| true)), admission.held()),
        (AdmissionDecision::Full, 3),
        "all have set-ups open"
    );
}

/// Guards against a viewer whose connection makes room before its first set-up has come, for clients that connect
/// without a pause.
#[test]
fn a_connection_has_time_to_say_something_before_it_makes_room() {
    let mut admission = Admission::new(1);
    assert_eq!(admission.accept(0, 1, &with(|_| true)), AdmissionDecision::Admitted);
    let early = SPEAKS_WITHIN - 1;
    assert!(!admission.has_room(early, &with(|_| true)));
    assert_eq!(admission.accept(early, 2, &with(|_| true)), AdmissionDecision::Full);
    assert!(admission.has_room(SPEAKS_WITHIN, &with(|_| true)));
    assert_eq!(admission.accept(SPEAKS_WITHIN, 3, &with(|_| true)), AdmissionDecision::InsteadOf(1));
}

/// Guards against clients that hold all connections by asking for what does not exist without a pause.
#[test]
fn who_sends_nothing_but_what_no_viewer_sends_makes_room_whatever_it_sends_next() {
    let mut admission = Admission::new(2);
    for conn in [1, 2] {
        assert_eq!(admission.accept(0, conn, &with(|_| true)), AdmissionDecision::Admitted);
        admission.message_received(conn as Micros, conn);
    }
    assert!(!admission.has_room(5, &with(|_| false)));
    admission.set_worthless(2, true);
    assert!(admission.has_room(5, &with(|_| false)));
    assert_eq!(admission.accept(5, 3, &with(|_| false)), AdmissionDecision::InsteadOf(2));
    admission.set_worthless(1, true);
    admission.set_open(6, 1, 1);
    assert_eq!(admission.accept(6, 4, &with(|_| false)), AdmissionDecision::Full, "an answer is owed");
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
