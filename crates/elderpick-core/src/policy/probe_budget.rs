//! How many probes this gateway may send, so that those of all gateways together take little of a server's link.

use super::Controller;
use crate::api::{Action, Micros, ServerId};

/// Probes that a server gets from all gateways together, in a second.
const PROBES_PER_SERVER: f64 = 8.0;
/// Probes that were not sent are saved up for so long.
const SAVED_FOR: Micros = 500_000;

/// Probes that may be sent now, as of a time.
#[derive(Clone, Copy, Default)]
pub(super) struct ProbeBudget {
    probes: f64,
    at: Option<Micros>,
}

impl ProbeBudget {
    /// Takes one probe out, where `rate` come in a second; `false` if there is none.
    fn take(&mut self, now: Micros, rate: f64) -> bool {
        let most = (rate * SAVED_FOR as f64 / 1e6).max(1.0);
        let since = self.at.replace(now).map_or(0, |at| now - at);
        self.probes = (self.probes + rate * since as f64 / 1e6).min(most);
        let any = self.probes >= 1.0;
        if any {
            self.probes -= 1.0;
        }
        any
    }
}

impl Controller {
    /// This gateway's part of the probes that all servers get, in a second.
    pub(super) fn probe_rate(&self) -> f64 {
        PROBES_PER_SERVER * self.up.len() as f64 / self.settings.gateways.max(1) as f64
    }

    /// Sends a probe if the budget has one.
    pub(super) fn probe(&mut self, server: ServerId) -> bool {
        let sent = self.probe_budget.take(self.now, self.probe_rate());
        if sent {
            self.out.push(Action::Probe { server });
        }
        sent
    }
}
