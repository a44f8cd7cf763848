//! The list of hosts.

use std::collections::BTreeSet;

use elderpick_core::api::{Event, ListKind, Micros, ServerId, ServerState};
use elderpick_platform::journal::Listed;

use super::{Lifecycle, Output, Server};
use crate::health::HealthMonitor;

impl Lifecycle {
    pub(super) fn list(&mut self, now: Micros, kind: ListKind, hosts: Vec<Listed>, out: &mut Vec<Output>) {
        if matches!(kind, ListKind::Full | ListKind::Restored) {
            let named: BTreeSet<_> = hosts.iter().map(|h| &h.entry.server).collect();
            let missing = self.servers.iter_mut().filter(|(id, _)| !named.contains(id));
            missing.for_each(|(_, server)| server.listed.entry.state = ServerState::Gone);
        }
        for host in &hosts {
            let id = host.entry.server.clone();
            let another = match self.servers.get_mut(&id) {
                Some(server) => {
                    // Another process: what stood at the one before is over.
                    let another = host.entry.started > server.listed.entry.started
                        || host.address != server.listed.address;
                    server.listed = host.clone();
                    another
                }
                None => {
                    let (listed, standing, health) = (host.clone(), BTreeSet::new(), HealthMonitor::new(now));
                    let server = Server { listed, standing, health, renewed: None };
                    self.servers.insert(id.clone(), server);
                    false
                }
            };
            if another {
                self.lose(now, &id, out);
                if let Some(server) = self.servers.get_mut(&id) {
                    server.health = HealthMonitor::new(now);
                    server.renewed = Some(now);
                }
            }
        }
        let entries = hosts.into_iter().map(|h| h.entry).collect();
        self.events.push_back(Event::List { kind, entries });
        let gone: Vec<_> = self.servers.keys().cloned().collect();
        gone.iter().for_each(|id| self.drop_if_gone(id));
    }

    /// A host that the list has no more and where nothing stands is forgotten.
    pub(super) fn drop_if_gone(&mut self, id: &ServerId) {
        let gone = |s: &Server| s.listed.entry.state == ServerState::Gone && s.standing.is_empty();
        if self.servers.get(id).is_some_and(gone) && !self.held.values().any(|h| h.is_out_at(id)) {
            self.servers.remove(id);
        }
    }
}
