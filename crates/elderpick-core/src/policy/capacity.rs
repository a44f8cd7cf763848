//! What links and uplinks give and are asked, as sums that move with the server that changed.

use std::collections::{BTreeMap, BTreeSet};

use super::Controller;
use super::occupancy::Demand;
use super::state::{LoadReport, Server};
use crate::api::{Entry, ServerId, ServerState};

/// Parts of a weight, and of a kB a second, that sums count in: in fixed point a sum is the same in whatever
/// order servers came and went.
const PARTS: f64 = (1_u64 << 32) as f64;
/// Largest weight and capacity that count.
const MOST_WEIGHT: f64 = 1e9;
const MOST_KB: f64 = 1e20;
/// What a link gives where nothing is told.
const UNKNOWN_KB: f64 = f64::MAX / 1e9;

/// Sums of weights.
#[derive(Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
struct Weight(i128);

impl Weight {
    fn of(weight: f64) -> Weight {
        Weight((weight.min(MOST_WEIGHT) * PARTS) as i128)
    }

    fn value(self) -> f64 {
        self.0 as f64 / PARTS
    }
}

/// Servers behind one uplink.
#[derive(Default)]
pub(super) struct Rack {
    /// Those that the list has, with their weights and what own sessions ask of them.
    pub(super) servers: BTreeSet<ServerId>,
    weights: Weight,
    pub(super) demand: Demand,
    /// The weights of those that may be sent to.
    up_weights: Weight,
    up_by_weight: BTreeMap<Weight, usize>,
    /// Those whose last report may still tell anything.
    pub(super) reported: BTreeSet<ServerId>,
    /// What all links together give, and the uplink: as told, else as much.
    pub(super) links: f64,
    pub(super) uplink: f64,
    /// The part of a link that the uplink leaves it.
    part: f64,
    /// What it counts for in the fleet.
    counted: Option<Counted>,
    /// By a report, or by delivered shares that fell short.
    pub(super) last_report: Option<LoadReport>,
}

/// What one rack counts for: the sizes of servers that may be sent to.
#[derive(Clone, Copy)]
struct Counted {
    parts: i128,
    /// The bits of the largest, which order as sizes do.
    largest: u64,
}

/// What all servers that may be sent to give.
#[derive(Default)]
pub(super) struct Capacity {
    /// What the link of a server of weight 1 gives.
    kb_per_weight: f64,
    parts: i128,
    largest: BTreeMap<u64, usize>,
}

impl Capacity {
    /// In kB a second.
    pub(super) fn kb(&self) -> f64 {
        self.parts as f64 / PARTS
    }

    /// The size of the largest server.
    pub(super) fn largest(&self) -> f64 {
        self.largest.last_key_value().map_or(0.0, |(bits, _)| f64::from_bits(*bits))
    }

    fn count(&mut self, counted: Counted) {
        self.parts += counted.parts;
        *self.largest.entry(counted.largest).or_default() += 1;
    }

    fn uncount(&mut self, counted: Counted) {
        self.parts -= counted.parts;
        remove_one(&mut self.largest, &counted.largest);
    }
}

fn remove_one<K: Ord>(counts: &mut BTreeMap<K, usize>, key: &K) {
    if let Some(count) = counts.get_mut(key) {
        *count -= 1;
        if *count == 0 {
            counts.remove(key);
        }
    }
}

impl Controller {
    /// How many servers are held: those that are listed, those where anything stands, and those gone of late.
    pub fn server_count(&self) -> usize {
        self.servers.len()
    }

    fn told_kb_per_weight(&self) -> Option<f64> {
        self.settings.kb_per_weight.filter(|kb| *kb > 0.0)
    }

    pub(super) fn weight_of(&self, entry: &Entry) -> f64 {
        let told = self.settings.weights && self.told_kb_per_weight().is_some();
        if told { entry.weight.max(0.0) } else { 1.0 }
    }

    /// What a server's link gives, in kB a second, as far as the list tells.
    pub(super) fn link(&self, server: &Server) -> f64 {
        self.capacity.kb_per_weight * server.weight
    }

    /// A server's part of what its rack's links and uplink give together.
    pub(super) fn size(&self, server: &Server) -> f64 {
        self.link(server) * self.racks.get(&self.rack_of(server)).map_or(1.0, |rack| rack.part)
    }

    /// Counts a server that the list has.
    pub(super) fn join_sums(&mut self, id: &ServerId) {
        let server = &self.servers[id];
        let (weight, demand) = (Weight::of(server.weight), server.demand);
        let (number, cell, is_cold) = (self.rack_of(server), self.cell_of(server), self.is_cold(server));
        let (is_up, has_report) = (server.entry.state == ServerState::Up, server.last_report.is_some());
        let rack = self.racks.entry(number).or_default();
        rack.servers.insert(id.clone());
        rack.weights.0 += weight.0;
        rack.demand += demand;
        if has_report {
            rack.reported.insert(id.clone());
        }
        if is_up {
            rack.up_weights.0 += weight.0;
            *rack.up_by_weight.entry(weight).or_default() += 1;
            self.up.add(id);
            self.up_by_cell.entry(cell).or_default().add(id);
            if is_cold {
                self.cold_by_cell.entry(cell).or_default().insert(id.clone());
            }
        }
        self.measure_rack(number);
    }

    /// Counts a server no longer, as its entry is.
    pub(super) fn leave_sums(&mut self, id: &ServerId) {
        let server = &self.servers[id];
        if server.entry.state == ServerState::Gone {
            return;
        }
        let (weight, demand) = (Weight::of(server.weight), server.demand);
        let (number, cell) = (self.rack_of(server), self.cell_of(server));
        let is_up = server.entry.state == ServerState::Up;
        let rack = self.racks.entry(number).or_default();
        rack.servers.remove(id);
        rack.weights.0 -= weight.0;
        rack.demand -= demand;
        rack.reported.remove(id);
        if is_up {
            rack.up_weights.0 -= weight.0;
            remove_one(&mut rack.up_by_weight, &weight);
            self.up.remove(id);
            self.up_by_cell.entry(cell).or_default().remove(id);
            self.cold_by_cell.entry(cell).or_default().remove(id);
        }
        self.measure_rack(number);
    }

    /// Works out anew what a rack gives.
    fn measure_rack(&mut self, number: usize) {
        let (kb, told) = (self.capacity.kb_per_weight, self.settings.rack_kb.filter(|kb| *kb > 0.0));
        let rack = self.racks.entry(number).or_default();
        if let Some(counted) = rack.counted.take() {
            self.capacity.uncount(counted);
        }
        rack.links = kb * rack.weights.value();
        rack.uplink = told.unwrap_or(rack.links);
        // Reports of servers that have just left are still measured by what these gave.
        rack.part = if rack.links > 0.0 { (rack.uplink / rack.links).min(1.0) } else { 1.0 };
        let size = |weight: Weight| kb * rack.part * weight.value();
        if let Some((heaviest, _)) = rack.up_by_weight.last_key_value() {
            let parts = (size(rack.up_weights).min(MOST_KB) * PARTS) as i128;
            let counted = Counted { parts, largest: size(*heaviest).to_bits() };
            rack.counted = Some(counted);
            self.capacity.count(counted);
        }
    }

    /// What a link gives in the mean follows the number of servers, where no weight tells more.
    pub(super) fn update_usual_link(&mut self) {
        let servers = self.servers.len().max(1) as f64;
        let usual = || self.settings.links_kb.filter(|kb| *kb > 0.0).map(|kb| kb / servers);
        let kb = self.told_kb_per_weight().or_else(usual).unwrap_or(UNKNOWN_KB);
        if kb == self.capacity.kb_per_weight {
            return;
        }
        self.capacity.kb_per_weight = kb;
        let racks: Vec<_> = self.racks.keys().copied().collect();
        racks.into_iter().for_each(|rack| self.measure_rack(rack));
    }
}
