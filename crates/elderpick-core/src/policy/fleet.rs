//! The fleet as the discovery list tells it. A change costs what it names, however many servers there are.

use std::collections::BTreeSet;

use super::state::Server;
use super::{Controller, LIST_TOKEN};
use crate::api::{Action, Entry, ListKind, Micros, ServerId, ServerState};

/// A list that could not be had is asked for again after this.
const LIST_RETRY: Micros = 1_000_000;
/// A server that is gone is remembered for so long, or for its warm-up if that is longer: one that comes back
/// may still be cold, or owe its back-off.
const GONE_KEPT_FOR: Micros = 30_000_000;

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
        self.list_may_be_old &= kind == ListKind::Restored;
        if matches!(kind, ListKind::Full | ListKind::Restored) {
            self.take_missing_for_gone(&entries);
        }
        entries.into_iter().for_each(|entry| self.take_entry(entry));
        self.drop_gone();
        self.update_usual_link();
    }

    /// A whole list names all servers: the others are gone.
    fn take_missing_for_gone(&mut self, entries: &[Entry]) {
        let named: BTreeSet<_> = entries.iter().map(|entry| &entry.server).collect();
        let listed = self.servers.values().map(|server| &server.entry);
        let listed =
            listed.filter(|entry| entry.state != ServerState::Gone && !named.contains(&entry.server));
        let missing: Vec<_> = listed.cloned().collect();
        for entry in missing {
            self.take_entry(Entry { state: ServerState::Gone, ..entry });
        }
    }

    fn take_entry(&mut self, entry: Entry) {
        let id = entry.server.clone();
        let Some(old) = self.servers.get(&id) else {
            let weight = self.weight_of(&entry);
            self.servers.insert(id.clone(), Server { weight, ..Server::new(entry) });
            return self.entry_changed(&id);
        };
        if old.entry == entry {
            return;
        }
        let restarted = entry.started > old.entry.started;
        self.leave_sums(&id);
        let weight = self.weight_of(&entry);
        let server = self.servers.get_mut(&id).expect("looked up above");
        if restarted {
            // A new process: what was known of the old one tells nothing of it.
            let (sessions, rung_pending) =
                (std::mem::take(&mut server.sessions), std::mem::take(&mut server.rung_pending));
            let (demand, given, back) = (server.demand, server.given, server.back);
            *server = Server { sessions, rung_pending, demand, given, back, ..Server::new(entry) };
            self.failing_servers.remove(&id);
        } else {
            server.entry = entry;
        }
        self.servers.get_mut(&id).expect("looked up above").weight = weight;
        self.entry_changed(&id);
    }

    /// Counts a server as its entry is now.
    fn entry_changed(&mut self, id: &ServerId) {
        if self.servers[id].entry.state == ServerState::Gone {
            self.gone.push_back((self.now, id.clone()));
        } else {
            self.join_sums(id);
        }
    }

    /// Forgets servers that have been gone for long and where nothing stands any more.
    fn drop_gone(&mut self) {
        let kept_for = self.settings.cold.map_or(0, |cold| cold.warm_up).max(GONE_KEPT_FOR);
        let mut still_used = Vec::new();
        while let Some((at, id)) = self.gone.pop_front_if(|(at, _)| *at < self.now - kept_for) {
            let Some(server) = self.servers.get(&id) else { continue };
            if server.entry.state != ServerState::Gone {
                continue;
            }
            if server.sessions.is_empty() {
                self.servers.remove(&id);
                self.failing_servers.remove(&id);
            } else {
                still_used.push((at, id));
            }
        }
        still_used.into_iter().rev().for_each(|gone| self.gone.push_front(gone));
    }

    pub(super) fn rack_of(&self, server: &Server) -> usize {
        server.entry.cell % self.settings.racks.unwrap_or(1).max(1)
    }

    /// The cell whose titles a server holds.
    pub(super) fn cell_of(&self, server: &Server) -> usize {
        server.entry.cell % self.cells()
    }

    pub(super) fn cells(&self) -> usize {
        self.settings.cells.unwrap_or(1).max(1)
    }
}
