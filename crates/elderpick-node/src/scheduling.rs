//! When the gateway's process runs, and what is due. While it stands still nothing is read: what it reads then came
//! before.

use std::rc::Rc;
use std::time::Duration;

use elderpick_core::api::Micros;
use elderpick_sessions::lifecycle::Input;

use crate::node::Node;
use crate::turns::Turn;

/// How often other tasks have their turn before a time-out that is late.
const MOST_YIELDS: u32 = 64;
/// Later by so much than it meant to run, it stood still.
pub(crate) const STALL: Micros = 20_000;
/// How often it means to run at least.
const BEAT: Micros = 50_000;

/// When the gateway runs.
#[derive(Clone, Copy)]
pub(crate) struct Scheduling {
    /// When it last ran with all read that had come.
    ran: Micros,
    /// When it meant to run again.
    due: Micros,
    /// Since when it may not have read all that has come.
    behind: Option<Micros>,
}

impl Scheduling {
    /// A gateway that runs from now on.
    pub fn new(now: Micros) -> Scheduling {
        Scheduling { ran: now, due: now, behind: None }
    }
}

impl Node {
    /// Whether this gateway stood still, and may not have read all that has come since.
    pub(crate) fn stood_still(&self) -> bool {
        let scheduling = self.scheduling.get();
        scheduling.behind.is_some() || self.now() - scheduling.due > STALL
    }

    /// The earliest time at which what is read now may have come. While the gateway stands still nothing is read, and
    /// who waits counts from when its last byte came: where it stood still, that may be since it last ran.
    pub(crate) fn arrival_time(&self) -> Micros {
        let (now, scheduling) = (self.now(), self.scheduling.get());
        let stood_still = now - scheduling.due > STALL;
        scheduling.behind.unwrap_or(if stood_still { scheduling.ran } else { now })
    }

    /// Lets what arrived while the gateway stood still be handled before its time-outs, as far as these can wait.
    pub(crate) async fn catch_up(&self) {
        let until = self.now() + STALL;
        for _ in 0..MOST_YIELDS {
            tokio::task::yield_now().await;
            if self.now() >= until {
                break;
            }
        }
    }

    /// What is due next happens at its time.
    pub(crate) async fn run_timers(self: Rc<Self>) {
        loop {
            let (now, timer) = (self.now(), self.lifecycle.borrow().next_timer());
            let due = timer.map_or(now + BEAT, |timer| timer.min(now + BEAT));
            if due > now {
                let behind = self.scheduling.get().behind;
                self.scheduling.set(Scheduling { ran: now, due, behind });
                tokio::select! {
                    () = tokio::time::sleep(Duration::from_micros((due - now) as u64)) => {}
                    () = self.timer.notified() => {}
                }
            }
            let late = self.now() - due > STALL;
            let mut scheduling = self.scheduling.get();
            scheduling.behind = if late { scheduling.behind.or(Some(scheduling.ran)) } else { None };
            self.scheduling.set(scheduling);
            if late {
                self.catch_up().await;
            }
            if timer.is_some_and(|timer| timer <= self.now()) {
                self.in_turn(Turn::Timers, || self.feed(Input::Tick));
            }
        }
    }
}
