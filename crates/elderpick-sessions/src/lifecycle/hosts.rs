//! The list of hosts.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use elderpick_core::api::{Event, ListKind, Micros, ServerId, ServerState};
use elderpick_platform::journal::Listed;
use elderpick_platform::viewer::cause;

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

impl Server {
    fn new(now: Micros, listed: Listed) -> Server {
        Server {
            listed,
            sessions: BTreeSet::new(),
            attempts: BTreeSet::new(),
            health: HealthMonitor::new(now),
            replaced_at: None,
        }
    }

    fn is_gone(&self) -> bool {
        self.listed.entry.state == ServerState::Gone
    }
}

impl Lifecycle {
    pub(super) fn list(&mut self, now: Micros, kind: ListKind, hosts: Vec<Listed>, out: &mut Vec<Output>) {
        let mut changed: BTreeSet<_> = hosts.iter().map(|host| host.entry.server.clone()).collect();
        if matches!(kind, ListKind::Full | ListKind::Restored) {
            changed.extend(self.take_missing_for_gone(&changed));
        }
        let mut arrived = BTreeSet::new();
        for host in &hosts {
            let id = host.entry.server.clone();
            let before = self.servers.get(&id).filter(|server| !server.is_gone());
            let is_new = before.is_none_or(|server| server.listed.address != host.address);
            if is_new && host.entry.state != ServerState::Gone {
                arrived.insert(id.clone());
            }
            let replaced = self.servers.get(&id).map(|server| Replaced::between(&server.listed, host));
            self.set_listed(now, host.clone());
            if let Some(replaced) = replaced {
                self.replace_host(now, &id, replaced, out);
            }
        }
        self.lose_succeeded(now, &hosts, &arrived, out);
        arrived.iter().for_each(|host| self.release_handed_over_early(now, host, out));
        let entries = hosts.into_iter().map(|h| h.entry).collect();
        self.events.push_back(Event::List { kind, entries });
        changed.iter().for_each(|id| self.remove_if_gone(id));
    }

    /// A whole list names all hosts: the others are gone.
    fn take_missing_for_gone(&mut self, named: &BTreeSet<ServerId>) -> Vec<ServerId> {
        let missing = self.servers.iter_mut().filter(|(id, server)| !server.is_gone() && !named.contains(id));
        let mut gone = Vec::new();
        for (id, server) in missing {
            server.listed.entry.state = ServerState::Gone;
            gone.push(id.clone());
        }
        self.listed_count -= gone.len();
        gone
    }

    /// Notes what the list tells of a host.
    fn set_listed(&mut self, now: Micros, listed: Listed) {
        let (id, address) = (listed.entry.server.clone(), listed.address);
        let is_listed = listed.entry.state != ServerState::Gone;
        let mut was_listed = false;
        match self.servers.get_mut(&id) {
            Some(server) => {
                was_listed = !server.is_gone();
                let before = std::mem::replace(&mut server.listed, listed).address;
                self.leave_address(before, &id);
            }
            None => drop(self.servers.insert(id.clone(), Server::new(now, listed))),
        }
        self.by_address.entry(address).or_default().insert(id);
        self.listed_count = self.listed_count + usize::from(is_listed) - usize::from(was_listed);
    }

    fn leave_address(&mut self, address: SocketAddr, id: &ServerId) {
        if let Some(there) = self.by_address.get_mut(&address) {
            there.remove(id);
            if there.is_empty() {
                self.by_address.remove(&address);
            }
        }
    }

    /// Tells a host that the list names now of sessions that were handed over there before and ended for that.
    fn release_handed_over_early(&mut self, now: Micros, host: &ServerId, out: &mut Vec<Output>) {
        let all = (host.clone(), u64::MIN)..=(host.clone(), u64::MAX);
        let early: Vec<_> = self.at_unknown_hosts.keys(now, all).cloned().collect();
        for (server, session) in early {
            self.at_unknown_hosts.remove(now, &(server.clone(), session));
            if !self.sessions.contains_key(&session) {
                self.send_release(now, server, session, cause::ENDED_BY_VIEWER, out);
            }
        }
    }

    /// Gives up hosts whose address another one has by now: connections to them lead to that one, and whatever it says
    /// there is no sign that they live.
    fn lose_succeeded(
        &mut self,
        now: Micros,
        news: &[Listed],
        arrived: &BTreeSet<ServerId>,
        out: &mut Vec<Output>,
    ) {
        for (host, successor) in self.succeeded_hosts(news, arrived) {
            let Some(server) = self.servers.get(&host) else { continue };
            let there: Vec<_> = server.sessions.union(&server.attempts).copied().collect();
            if there.is_empty() {
                continue;
            }
            let began = self.servers.get(&successor).and_then(|s| s.listed.entry.started);
            let since = began.map(|began| began - CLOCK_SKEW);
            let is_placed = |session: &u64| {
                let held = self.sessions.get(session);
                held.is_some_and(|held| held.sent_at.is_some_and(|sent| Some(sent) >= since))
            };
            let placed: Vec<_> = there.into_iter().filter(is_placed).collect();
            self.lose_host(now, &host, None, out);
            if let Some(server) = self.servers.get_mut(&host) {
                server.replaced_at = Some(now);
                server.health = HealthMonitor::new(now);
            }
            // What was meant for the host since then has come to its successor.
            for session in placed {
                self.send_release(now, successor.clone(), session, cause::ENDED_BY_VIEWER, out);
            }
        }
    }

    /// Hosts that are gone, or were listed before another one arrived at their address; each with that one. Only
    /// addresses that the news names can have changed hands.
    fn succeeded_hosts(&self, news: &[Listed], arrived: &BTreeSet<ServerId>) -> Vec<(ServerId, ServerId)> {
        let named: BTreeSet<_> = news.iter().map(|host| host.address).collect();
        let there = || named.iter().filter_map(|address| self.by_address.get(address)).flatten();
        let concerned = || there().filter_map(|id| Some((id, self.servers.get(id)?)));
        let mut holders: BTreeMap<SocketAddr, &ServerId> = BTreeMap::new();
        for (id, server) in concerned().filter(|(_, server)| !server.is_gone()) {
            let holder = holders.entry(server.listed.address).or_insert(id);
            if arrived.contains(id) {
                *holder = id;
            }
        }
        let successor_of = |id: &ServerId, server: &Server| {
            let holder = *holders.get(&server.listed.address)?;
            let newer = arrived.contains(holder) && !arrived.contains(id);
            (holder != id && (server.is_gone() || newer)).then(|| holder.clone())
        };
        concerned().filter_map(|(id, server)| Some((id.clone(), successor_of(id, server)?))).collect()
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

    /// Hosts that are held here or by the decision module, whichever are more.
    pub fn known_servers(&self) -> usize {
        self.servers.len().max(self.core.server_count())
    }

    /// A host that the list has no more and where nothing stands is forgotten.
    pub(super) fn remove_if_gone(&mut self, id: &ServerId) {
        let is_unused = |server: &&Server| server.sessions.is_empty() && server.attempts.is_empty();
        let server = self.servers.get(id).filter(|server| server.is_gone()).filter(is_unused);
        if let Some(address) = server.map(|server| server.listed.address) {
            self.servers.remove(id);
            self.leave_address(address, id);
        }
    }

    /// A session stands at a host from now on.
    pub(super) fn stands_at(&mut self, id: &ServerId, session: u64) {
        if let Some(server) = self.servers.get_mut(id) {
            server.sessions.insert(session);
            self.occupied.insert(id.clone());
        }
    }

    /// A session stands at a host no longer.
    pub(super) fn leaves(&mut self, id: &ServerId, session: u64) {
        if let Some(server) = self.servers.get_mut(id) {
            server.sessions.remove(&session);
            if server.sessions.is_empty() {
                self.occupied.remove(id);
            }
        }
    }

    /// An attempt of a session is out at a host from now on, or no longer.
    pub(super) fn set_out_at(&mut self, id: &ServerId, session: u64, is_out: bool) {
        let Some(server) = self.servers.get_mut(id) else { return };
        if is_out {
            server.attempts.insert(session);
        } else {
            server.attempts.remove(&session);
        }
    }
}
