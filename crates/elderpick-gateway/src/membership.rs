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
mod tests {
    use super::*;

    fn membership() -> Membership {
        let listed = |name: &str| {
            let server = ServerId(name.into());
            let state = ServerState::Up;
            let entry = Entry {
                server: server.clone(),
                zone: 0,
                kind: 0,
                cell: 0,
                state,
                weight: 1.0,
                started: None,
            };
            (server, Listed { address: ([127, 0, 0, 1], 9).into(), entry })
        };
        Membership::new(["a", "b"].map(listed).into())
    }

    fn told(name: &str, state: ServerState, started: Option<Micros>) -> Told {
        (name.to_owned(), state, started)
    }

    fn state(m: &Membership, name: &str) -> (ServerState, Option<Micros>) {
        let entry = &m.get(&ServerId(name.into())).unwrap().entry;
        (entry.state, entry.started)
    }

    #[test]
    fn each_difference_of_list_and_inventory_has_its_answer() {
        use ServerState::*;
        let mut m = membership();
        assert!(!m.heard());
        let (entries, news) = m.list(ListKind::Full, vec![told("a", Up, Some(50)), told("x", Up, None)]);
        assert_eq!((entries.len(), news, m.heard()), (1, vec!["x".to_owned()], true));
        assert_eq!((state(&m, "a"), state(&m, "b")), ((Up, Some(50)), (Gone, None)));
        // Told again, it is counted and not news.
        assert_eq!(m.list(ListKind::Changes, vec![told("x", Up, None)]).1.len(), 0);
        assert_eq!(m.unknown_told, 2);
        // Old news and news without a start leave the start as it is known.
        m.list(ListKind::Changes, vec![told("a", Up, Some(20))]);
        m.list(ListKind::Changes, vec![told("a", Draining, None)]);
        assert_eq!(state(&m, "a"), (Draining, Some(50)));
        // What the server says itself counts if it is newer, and says nothing of its state.
        let a = ServerId("a".into());
        assert!(m.began(&a, 40).is_none() && m.began(&ServerId("x".into()), 60).is_none());
        assert_eq!(m.began(&a, 60).map(|e| (e.state, e.started)), Some((Draining, Some(60))));
        m.list(ListKind::Changes, vec![told("a", Draining, Some(50))]);
        assert_eq!(state(&m, "a"), (Draining, Some(60)));
        // A failed call changes nothing.
        assert!(m.list(ListKind::Failed, vec![told("a", Up, Some(90))]).0.is_empty());
        assert_eq!(state(&m, "a"), (Draining, Some(60)));
    }

    #[test]
    fn a_drain_is_not_undone_within_its_message_but_by_a_new_process() {
        use ServerState::*;
        let mut m = membership();
        m.list(ListKind::Changes, vec![told("a", Draining, Some(5)), told("a", Up, Some(5))]);
        assert_eq!(state(&m, "a"), (Draining, Some(5)));
        m.list(ListKind::Changes, vec![told("a", Up, Some(5))]);
        assert_eq!(state(&m, "a"), (Up, Some(5)));
        m.list(ListKind::Changes, vec![told("a", Gone, Some(5)), told("a", Up, Some(9))]);
        assert_eq!(state(&m, "a"), (Up, Some(9)));
    }
}
