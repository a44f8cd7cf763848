//! What servers there are, from the inventory and the list. No I/O.
//!
//! kind: decisions
//!
//! The inventory says what a server is, the list whether it runs. Each case where they differ has one answer:
//!
//! | case | answer |
//! | --- | --- |
//! | in the list, not in the inventory | not used: nobody knows where it is; counted and logged once |
//! | in the inventory, not in a full list | gone |
//! | named twice in one message | the last word counts, but a word that takes it out of service is never undone by it |
//! | an older start than is known | the known one stands: a server must not pass for warm by old news |
//! | no start told | the known one stands; none is invented |
//! | the server itself tells a newer start than the list | the newer one counts, its state stays as the list says |

use std::collections::{BTreeMap, BTreeSet};

use elderpick_core::api::{Entry, ListKind, Micros, ServerId, ServerState};

use crate::config::Listed;

/// A server as the list names it.
pub type Told = (String, ServerState, Option<Micros>);

/// Names of unknown servers that are remembered, so that each is logged once.
const MOST_UNKNOWN: usize = 1_000;

/// The merged view.
pub struct Membership {
    servers: BTreeMap<ServerId, Listed>,
    unknown: BTreeSet<String>,
    /// Times that the list named a server that is not known.
    pub unknown_told: u64,
    heard: bool,
}

fn rank(state: ServerState) -> u8 {
    match state {
        ServerState::Up => 0,
        ServerState::Draining => 1,
        ServerState::Gone => 2,
    }
}

impl Membership {
    pub fn new(servers: BTreeMap<ServerId, Listed>) -> Membership {
        Membership { servers, unknown: BTreeSet::new(), unknown_told: 0, heard: false }
    }

    pub fn get(&self, server: &ServerId) -> Option<&Listed> {
        self.servers.get(server)
    }

    /// All entries, as known now.
    pub fn entries(&self) -> Vec<Entry> {
        self.servers.values().map(|s| s.entry.clone()).collect()
    }

    /// Whether the list has told anything yet.
    pub fn heard(&self) -> bool {
        self.heard
    }

    /// A server says itself when its process began. Its entry, if that is news.
    pub fn began(&mut self, server: &ServerId, at: Micros) -> Option<Entry> {
        let entry = &mut self.servers.get_mut(server)?.entry;
        let news = entry.started < Some(at);
        entry.started = entry.started.max(Some(at));
        news.then(|| entry.clone())
    }

    /// Takes news of the list. Gives the entries that the core is to hear, and names that were never met before.
    pub fn list(&mut self, kind: ListKind, told: Vec<Told>) -> (Vec<Entry>, Vec<String>) {
        if kind == ListKind::Failed {
            return (Vec::new(), Vec::new());
        }
        self.heard = true;
        if kind == ListKind::Full {
            self.servers.values_mut().for_each(|s| s.entry.state = ServerState::Gone);
        }
        let mut named: BTreeMap<ServerId, ServerState> = BTreeMap::new();
        let mut news = Vec::new();
        for (name, state, started) in told {
            let id = ServerId(name.as_str().into());
            let Some(server) = self.servers.get_mut(&id) else {
                self.unknown_told += 1;
                if self.unknown.len() < MOST_UNKNOWN && self.unknown.insert(name.clone()) {
                    news.push(name);
                }
                continue;
            };
            // None is less than any start.
            let fresh = started > server.entry.started;
            server.entry.started = started.max(server.entry.started);
            let worst = named.get(&id).filter(|_| !fresh).copied();
            let state = worst.filter(|w| rank(*w) > rank(state)).unwrap_or(state);
            server.entry.state = state;
            named.insert(id, state);
        }
        (named.keys().map(|id| self.servers[id].entry.clone()).collect(), news)
    }
}

#[cfg(test)]
#[path = "../tests/unit/membership.rs"]
mod tests;
