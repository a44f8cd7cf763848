//! The load of a machine that several stand-ins share: sessions and probes take from one link.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Probes within this time count towards the load.
const PROBES_COUNT_FOR: Duration = Duration::from_secs(1);
/// What a machine without a bound tells of its use.
const UNBOUNDED_UTILIZATION: f64 = 0.2;

/// The load of one machine.
#[derive(Default)]
pub struct MachineLoad {
    /// Sessions that its link carries at their full rate; `None` for any number.
    capacity: Option<f64>,
    /// Sessions that one probe counts for.
    probe_cost: f64,
    sessions: Cell<usize>,
    probes: RefCell<VecDeque<Instant>>,
    most_probes: Cell<usize>,
}

impl MachineLoad {
    /// A machine whose link carries so many sessions, of which a probe within the last second takes a part.
    pub fn new(capacity: f64, probe_cost: f64) -> MachineLoad {
        MachineLoad { capacity: Some(capacity), probe_cost, ..MachineLoad::default() }
    }

    /// A session stands there.
    pub fn session_began(&self) {
        self.sessions.set(self.sessions.get() + 1);
    }

    /// A session stands there no more.
    pub fn session_ended(&self) {
        self.sessions.set(self.sessions.get().saturating_sub(1));
    }

    /// It was asked for its load or tested.
    pub fn probed(&self) {
        self.probes.borrow_mut().push_back(Instant::now());
        self.most_probes.set(self.most_probes.get().max(self.recent_probes()));
    }

    fn recent_probes(&self) -> usize {
        let mut probes = self.probes.borrow_mut();
        while probes.front().is_some_and(|at| at.elapsed() > PROBES_COUNT_FOR) {
            probes.pop_front();
        }
        probes.len()
    }

    /// Most probes that it got within a second.
    pub fn most_probes(&self) -> usize {
        self.most_probes.get()
    }

    /// What is asked of its link, over what that carries.
    pub fn utilization(&self) -> f64 {
        let Some(capacity) = self.capacity else { return UNBOUNDED_UTILIZATION };
        (self.sessions.get() as f64 + self.probe_cost * self.recent_probes() as f64) / capacity
    }

    /// The share of their rates that sessions get.
    pub fn delivered_share(&self) -> f64 {
        self.utilization().recip().min(1.0)
    }
}
