//! The list of hosts.

use std::collections::BTreeSet;

use elderpick_core::api::{Event, ListKind, Micros, ServerId, ServerState};
use elderpick_platform::journal::Listed;

use super::{CLOCK_SKEW, Lifecycle, Output, Server};
use crate::health::HealthMonitor;

/// Whether another process runs under a host's name than the one that was listed.
#[derive(Clone, Copy)]
enum Replaced {
    No,
    /// At another address.
    Elsewhere,
    /// At the same address, since this time.
    InPlace {
        started: Micros,
    },
}

impl Replaced {
    fn between(old: &Listed, new: &Listed) -> Replaced {
        if new.address != old.address {
            return Replaced::Elsewhere;
        }
        match new.entry.started {
            Some(started) if new.entry.started > old.entry.started => Replaced::InPlace { started },
            _ => Replaced::No,
        }
    }
}

impl Lifecycle {
    pub(super) fn list(&mut self, now: Micros, kind: ListKind, hosts: Vec<Listed>, out: &mut Vec<Output>) {
        if matches!(kind, ListKind::Full | ListKind::Restored) {
            let named: BTreeSet<_> = hosts.iter().map(|h| &h.entry.server).collect();
            let missing = self.servers.iter_mut().filter(|(id, _)| !named.contains(id));
            missing.for_each(|(_, server)| server.listed.entry.state = ServerState::Gone);
        }
        for host in &hosts {
            let id = host.entry.server.clone();
            match self.servers.get_mut(&id) {
                Some(server) => {
                    let replaced = Replaced::between(&server.listed, host);
                    server.listed = host.clone();
                    self.replace_host(now, &id, replaced, out);
                }
                None => {
                    let (listed, sessions, health) = (host.clone(), BTreeSet::new(), HealthMonitor::new(now));
                    self.servers.insert(id, Server { listed, sessions, health, replaced_at: None });
                }
            }
        }
        let entries = hosts.into_iter().map(|h| h.entry).collect();
        self.events.push_back(Event::List { kind, entries });
        let gone: Vec<_> = self.servers.keys().cloned().collect();
        gone.iter().for_each(|id| self.remove_if_gone(id));
    }

    /// Ends what stood at the process before, if there is another.
    fn replace_host(&mut self, now: Micros, id: &ServerId, replaced: Replaced, out: &mut Vec<Output>) {
        let before = match replaced {
            Replaced::No => return,
            Replaced::Elsewhere => None,
            Replaced::InPlace { started } => Some(started + CLOCK_SKEW),
        };
        self.lose_host(now, id, before, out);
        let Some(server) = self.servers.get_mut(id) else { return };
        server.replaced_at = Some(now);
        if before.is_none() {
            server.health = HealthMonitor::new(now);
        }
    }

    /// All that the journal has is known: the module gets the whole list if it has asked for it.
    pub(super) fn list_caught_up(&mut self) {
        if std::mem::take(&mut self.fetching) {
            let entries = self.servers.values().map(|s| s.listed.entry.clone());
            let entries = entries.filter(|e| e.state != ServerState::Gone).collect();
            self.events.push_back(Event::List { kind: ListKind::Full, entries });
        }
    }

    /// The journal cannot be reached, which the module is told if it waits for the whole list.
    pub(super) fn list_failed(&mut self) {
        if std::mem::take(&mut self.fetching) {
            self.events.push_back(Event::List { kind: ListKind::Failed, entries: Vec::new() });
        }
    }

    /// A host that the list has no more and where nothing stands is forgotten.
    pub(super) fn remove_if_gone(&mut self, id: &ServerId) {
        let gone = |s: &Server| s.listed.entry.state == ServerState::Gone && s.sessions.is_empty();
        if self.servers.get(id).is_some_and(gone) && !self.sessions.values().any(|h| h.is_out_at(id)) {
            self.servers.remove(id);
        }
    }
}
