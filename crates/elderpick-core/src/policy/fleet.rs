//! The fleet as the discovery list tells it: servers, racks and their capacities.

use super::state::Server;
use super::{Controller, LIST_TOKEN};
use crate::api::{Action, Entry, ListKind, Micros, ServerState};

/// A list that could not be had is asked for again after this.
const LIST_RETRY: Micros = 1_000_000;

impl Controller {
    pub(super) fn on_list(&mut self, kind: ListKind, entries: Vec<Entry>) {
        match kind {
            ListKind::Failed => {
                let at = self.now + LIST_RETRY;
                return self.out.push(Action::Alarm { token: LIST_TOKEN, at });
            }
            // A gateway that restarts holds an old list: unless sessions are handed over to it now, it asks
            // for the list at once, so that servers need not pass for cold until something changes.
            ListKind::Restored if !self.settings.subscribe => {
                self.out.push(Action::Alarm { token: LIST_TOKEN, at: self.now });
            }
            _ => {}
        }
        if matches!(kind, ListKind::Full | ListKind::Restored) {
            self.servers.values_mut().for_each(|s| s.entry.state = ServerState::Gone);
        }
        self.list_may_be_old &= kind == ListKind::Restored;
        for entry in entries {
            match self.servers.get_mut(&entry.server) {
                Some(old) if entry.started > old.entry.started => {
                    // A new process: what was known of the old one tells nothing of it.
                    let (sessions, rung_pending) =
                        (std::mem::take(&mut old.sessions), std::mem::take(&mut old.rung_pending));
                    let (demand, given, back) = (old.demand, old.given, old.back);
                    self.failing_servers.remove(&entry.server);
                    *old = Server { sessions, rung_pending, demand, given, back, ..Server::new(entry) };
                }
                Some(server) => server.entry = entry,
                None => drop(self.servers.insert(entry.server.clone(), Server::new(entry))),
            }
        }
        self.measure_fleet();
    }

    /// Sums over the whole list, made anew only when it changes.
    fn measure_fleet(&mut self) {
        let servers = self.servers.len().max(1) as f64;
        let usual = self.settings.links_kb.filter(|&kb| kb > 0.0).map(|kb| kb / servers);
        self.racks.values_mut().for_each(|rack| rack.servers.clear());
        self.up.clear();
        for server in self.servers.values_mut() {
            let weight = if self.settings.weights { server.entry.weight.max(0.0) } else { 1.0 };
            server.link = match self.settings.kb_per_weight {
                Some(kb) if kb > 0.0 => kb * weight,
                _ => usual.unwrap_or(f64::MAX / 1e9),
            };
        }
        for (id, server) in &self.servers {
            let rack = self.racks.entry(self.rack_of(server)).or_default();
            if server.entry.state != ServerState::Gone {
                rack.servers.push(id.clone());
            }
            if server.entry.state == ServerState::Up {
                self.up.push(id.clone());
            }
        }
        (self.largest, self.capacity) = (0.0, 0.0);
        for rack in self.racks.values_mut() {
            let links: f64 = rack.servers.iter().map(|id| self.servers[id].link).sum();
            rack.uplink = self.settings.rack_kb.filter(|&kb| kb > 0.0).unwrap_or(links);
            for id in &rack.servers {
                let server = self.servers.get_mut(id).expect("racks hold listed servers");
                server.size = server.link * (rack.uplink / links.max(1e-9)).min(1.0);
                if server.entry.state == ServerState::Up {
                    self.largest = self.largest.max(server.size);
                    self.capacity += server.size;
                }
            }
        }
    }

    pub(super) fn rack_of(&self, server: &Server) -> usize {
        server.entry.cell % self.settings.racks.unwrap_or(1).max(1)
    }
}
