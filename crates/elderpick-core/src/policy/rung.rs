//! The rung of a session: what it earns and costs, and the price of capacity.

use super::state::Wish;
use super::{Controller, LEAST_PRICED};

/// Part of the fleet that a fair rung plans to use.
const PLANNED_USE: f64 = 0.8;
/// Own sessions that the price is worked out on, at most.
const MOST_PRICED: usize = 96;

impl Controller {
    pub(super) fn rate(&self, wish: &Wish, rung: usize) -> f64 {
        self.settings.rung_kb.get(rung).copied().unwrap_or(0.0) * self.settings.classes[wish.class].scale
    }

    pub(super) fn demand_of(&self, wish: &Wish) -> f64 {
        self.rate(wish, wish.rung)
    }

    pub(super) fn worth(&self, wish: &Wish, rung: usize) -> f64 {
        self.settings.rung_worth.get(rung).copied().unwrap_or(0.0) * self.settings.classes[wish.class].worth
    }

    /// The rung at which a session earns most, when a kB a second costs `price`.
    pub(super) fn fair_rung(&self, wish: &Wish, price: f64) -> usize {
        let gain = |rung| self.worth(wish, rung) - price * wish.spread * self.rate(wish, rung);
        let floor = self.settings.classes[wish.class].floor;
        (floor..=wish.top).max_by(|&a, &b| gain(a).total_cmp(&gain(b))).unwrap_or(wish.top)
    }

    /// Exception: greedy rungs leave no room for the sessions that come during this one's life. The price
    /// of a kB a second is such that all sessions of all gateways, each at its fair rung, fill the planned
    /// part. Own sessions stand for all, where these are few with the last that ended: what they ask now
    /// stands to what they would ask as what all ask now to the planned part.
    pub(super) fn price(&self, others: f64) -> f64 {
        let held = self.sessions.values().filter(|s| !s.closed).map(|s| s.wish);
        let past = self.recently_ended.iter().rev().copied();
        let sample: Vec<Wish> =
            held.chain(past).take(self.sessions.len().clamp(LEAST_PRICED, MOST_PRICED)).collect();
        let asked: f64 = sample.iter().map(|wish| self.demand_of(wish)).sum();
        let all = others * self.capacity.kb() + self.own_demand();
        let planned = self.capacity.kb() * PLANNED_USE * asked / all.max(1.0);
        let demand = |price: f64| sample.iter().map(|w| self.rate(w, self.fair_rung(w, price))).sum::<f64>();
        if demand(0.0) <= planned {
            return 0.0;
        }
        let (mut low, mut high) = (1e-9_f64, 1.0_f64);
        for _ in 0..24 {
            let middle = (low * high).sqrt();
            if demand(middle) > planned { low = middle } else { high = middle }
        }
        high
    }
}
