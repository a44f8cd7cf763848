//! The timetable of a shutdown: all that was taken is answered, and the process has ended, before it may be killed.
//!
//! A gateway that was told to end serves on until viewers have heard that it takes no more. Then further set-ups are
//! refused at once, on whatever connection they come, so that only those are open that came before; connections stay
//! open meanwhile, since the ends of sessions are told on them. Once nothing is open, or shortly before the kill, what
//! is still open gets its final answer, all connections are closed, and the process ends.

use elderpick_core::api::Micros;

/// New connections come for up to 0.4 s after SIGTERM, and requests on open ones for 0.2 s more.
const VIEWERS_COME_FOR: Micros = 600_000;
/// A signal is delivered and a message arrives within this time.
const DELIVERY: Micros = 10_000;
/// The kill comes no sooner than the longest deadline and this time after SIGTERM.
const KILL_AFTER_DEADLINE: Micros = 700_000;
/// A longer deadline counts as this one.
const LONGEST_COUNTED_DEADLINE: Micros = 3_000_000;
/// Final answers are given so long before the kill, so that they and the withdrawals of their attempts arrive.
const ANSWERS_BEFORE_KILL: Micros = 80_000;
/// The process ends so long before the kill, whatever does not arrive.
const ENDS_BEFORE_KILL: Micros = 45_000;

/// When a gateway does what, in time since SIGTERM.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct Timetable {
    /// Until then set-ups are taken as on any day; then they are refused.
    pub serves_for: Micros,
    /// By then all that is open gets its final answer.
    pub answers_by: Micros,
    /// By then the process ends.
    pub ends_by: Micros,
}

impl Timetable {
    /// The timetable of a deployment whose classes have this longest deadline, if its settings tell one.
    pub fn new(longest_deadline: Option<Micros>) -> Timetable {
        let deadline = longest_deadline.unwrap_or(LONGEST_COUNTED_DEADLINE);
        let kill = deadline.clamp(0, LONGEST_COUNTED_DEADLINE) + KILL_AFTER_DEADLINE;
        Timetable {
            serves_for: VIEWERS_COME_FOR + DELIVERY,
            answers_by: kill - ANSWERS_BEFORE_KILL,
            ends_by: kill - ENDS_BEFORE_KILL,
        }
    }
}

#[cfg(test)]
#[path = "../tests/unit/shutdown.rs"]
mod tests;
