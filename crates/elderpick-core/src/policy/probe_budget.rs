//! How many probes this gateway may send. Each takes a little of a server's link for a moment, which is
//! nothing from one gateway and much from hundreds that have the same reason at the same time.

use super::Controller;
use crate::api::{Action, Micros, ServerId};

/// Probes that a server gets from all gateways together, in a second: loads are measured about as often.
const PROBES_PER_SERVER: f64 = 2.0;
/// Requests for each probe of a server that they would use if it answered: in a fleet of any size the probes
/// that a server gets for that stay a part of its requests.
const REQUESTS_PER_WANTED_PROBE: f64 = 3.0;
/// What was not used is saved up for so long.
const SAVED_FOR: Micros = 500_000;

/// A token bucket of probes.
#[derive(Clone, Copy)]
pub(super) struct ProbeBudget {
    probes: f64,
    filled_at: Micros,
}

impl ProbeBudget {
    /// Takes one probe out of what comes in at `rate` a second; `false` if there is none.
    fn take(&mut self, now: Micros, rate: f64) -> bool {
        let most = (rate * SAVED_FOR as f64 / 1e6).max(1.0);
        self.probes = (self.probes + rate * (now - self.filled_at) as f64 / 1e6).min(most);
        self.filled_at = now;
        let available = self.probes >= 1.0;
        if available {
            self.probes -= 1.0;
        }
        available
    }
}

impl Controller {
    /// A budget that holds some part of a probe, so that gateways that start together differ.
    fn new_probe_budget(&mut self) -> ProbeBudget {
        ProbeBudget { probes: self.unit(), filled_at: self.begun.unwrap_or(self.now) }
    }

    /// This gateway's part of the probes that so many servers get in a second.
    fn probe_rate(&self, servers: usize) -> f64 {
        PROBES_PER_SERVER * servers as f64 / self.settings.gateways.max(1) as f64
    }

    /// Time between two load probes of this gateway.
    pub(super) fn load_probe_interval(&self) -> Micros {
        (1e6 / self.probe_rate(self.up.all().len().max(1))) as Micros
    }

    /// Asks a server for its load, if the budget has a probe left.
    pub(super) fn probe_load(&mut self, server: ServerId) {
        let rate = self.probe_rate(self.up.all().len());
        let mut budget = self.load_probes.unwrap_or_else(|| self.new_probe_budget());
        if budget.take(self.now, rate) {
            self.out.push(Action::Probe { server });
        }
        self.load_probes = Some(budget);
    }

    /// Whether the budget has a probe left for one of so many servers that did not answer.
    pub(super) fn may_probe_reach(&mut self, unresponsive: usize) -> bool {
        let rate = self.probe_rate(unresponsive);
        let mut budget = self.reach_probes.unwrap_or_else(|| self.new_probe_budget());
        let available = budget.take(self.now, rate);
        self.reach_probes = Some(budget);
        available
    }

    /// A request came, and with it part of a probe.
    pub(super) fn earn_wanted_probe(&mut self) {
        self.wanted_probes = (self.wanted_probes + REQUESTS_PER_WANTED_PROBE.recip()).min(1.0);
    }

    /// Whether requests have earned a probe of a server that one of them would use.
    pub(super) fn may_probe_wanted(&mut self) -> bool {
        let available = self.wanted_probes >= 1.0;
        if available {
            self.wanted_probes -= 1.0;
        }
        available
    }
}
