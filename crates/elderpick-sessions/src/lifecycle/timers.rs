//! Times at which something is due, as long as it matters.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use elderpick_core::api::Micros;

use super::{AttemptId, Lifecycle, Stage};

/// Fewer timers than this are not looked through for those that no longer matter.
const FEWEST_SWEPT: usize = 1_024;

/// What is due at a time.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub(super) enum Timer {
    /// The time of a session's attempt is up; goes before the module's own alarms of the same instant.
    Attempt(u64, AttemptId),
    /// The seat of a released session is taken to be free.
    Ending(u64),
    /// An alarm of the decision module.
    Alarm(u64),
}

/// Timers in order. What they are for is mostly over before they are due, and its time may be an hour away: such timers
/// are dropped when they have become the larger part.
#[derive(Default)]
pub(super) struct Timers {
    heap: BinaryHeap<Reverse<(Micros, Timer)>>,
    /// How many there were when those that no longer mattered were last dropped.
    swept: usize,
}

impl Timers {
    /// When the next one is due.
    pub(super) fn next(&self) -> Option<Micros> {
        self.heap.peek().map(|Reverse((at, _))| *at)
    }

    /// The next one, if it is due by now.
    pub(super) fn take_due(&mut self, now: Micros) -> Option<Timer> {
        self.next().filter(|at| *at <= now)?;
        self.heap.pop().map(|Reverse((_, timer))| timer)
    }

    /// How many are held.
    pub(super) fn len(&self) -> usize {
        self.heap.len()
    }

    fn is_to_be_swept(&self) -> bool {
        self.heap.len() > FEWEST_SWEPT.max(2 * self.swept)
    }

    fn sweep(&mut self, matters: impl Fn(Timer) -> bool) {
        self.heap.retain(|Reverse((_, timer))| matters(*timer));
        self.heap.shrink_to_fit();
        self.swept = self.heap.len();
    }
}

impl Lifecycle {
    /// Sets a timer for what has just begun.
    pub(super) fn set_timer(&mut self, at: Micros, timer: Timer) {
        self.timers.heap.push(Reverse((at, timer)));
        if self.timers.is_to_be_swept() {
            let mut timers = std::mem::take(&mut self.timers);
            timers.sweep(|timer| self.matters(timer));
            self.timers = timers;
        }
    }

    /// Whether a timer would still do anything.
    fn matters(&self, timer: Timer) -> bool {
        let stage_of = |session: u64| self.sessions.get(&session).map(|held| &held.stage);
        match timer {
            Timer::Attempt(session, of) => {
                matches!(stage_of(session), Some(Stage::Out { attempt, .. }) if *attempt == of)
            }
            Timer::Ending(session) => matches!(stage_of(session), Some(Stage::Ending { .. })),
            Timer::Alarm(token) => self.core.awaits_alarm(token),
        }
    }

    /// How many timers are held.
    pub fn timer_count(&self) -> usize {
        self.timers.len()
    }
}
