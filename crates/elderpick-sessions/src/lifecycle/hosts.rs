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

impl Lifecycle {
    pub(super) fn list(&mut self, now: Micros, kind: ListKind, hosts: Vec<Listed>, out: &mut Vec<Output>) {
        if matches!(kind, ListKind::Full | ListKind::Restored) {
            let named: BTreeSet<_> = hosts.iter().map(|h| &h.entry.server).collect();
            let missing = self.servers.iter_mut().filter(|(id, _)| !named.contains(id));
            missing.for_each(|(_, server)| server.listed.entry.state = ServerState::Gone);
        }
        let mut arrived = BTreeSet::new();
        for host in &hosts {
            let id = host.entry.server.clone();
            let before = self.servers.get(&id).filter(|s| s.listed.entry.state != ServerState::Gone);
            let is_new = before.is_none_or(|server| server.listed.address != host.address);
            if is_new && host.entry.state != ServerState::Gone {
                arrived.insert(id.clone());
            }
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
        self.lose_succeeded(now, &hosts, &arrived, out);
        arrived.iter().for_each(|host| self.release_handed_over_early(now, host, out));
        let entries = hosts.into_iter().map(|h| h.entry).collect();
        self.events.push_back(Event::List { kind, entries });
        let gone: Vec<_> = self.servers.keys().cloned().collect();
        gone.iter().for_each(|id| self.remove_if_gone(id));
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
            let stands = self.has_sessions_at(&host);
            if !stands && !self.sessions.values().any(|held| held.is_out_at(&host)) {
                continue;
            }
            let began = self.servers.get(&successor).and_then(|s| s.listed.entry.started);
            let since = began.map(|began| began - CLOCK_SKEW);
            let placed = self.sessions.iter().filter(|(_, held)| {
                held.server() == Some(&host) && held.sent_at.is_some_and(|sent| Some(sent) >= since)
            });
            let placed: Vec<_> = placed.map(|(session, _)| *session).collect();
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
        let concerned = || self.servers.iter().filter(|(_, server)| named.contains(&server.listed.address));
        let is_gone = |server: &Server| server.listed.entry.state == ServerState::Gone;
        let mut holders: BTreeMap<SocketAddr, &ServerId> = BTreeMap::new();
        for (id, server) in concerned().filter(|(_, server)| !is_gone(server)) {
            let holder = holders.entry(server.listed.address).or_insert(id);
            if arrived.contains(id) {
                *holder = id;
            }
        }
        let successor_of = |id: &ServerId, server: &Server| {
            let holder = *holders.get(&server.listed.address)?;
            let newer = arrived.contains(holder) && !arrived.contains(id);
            (holder != id && (is_gone(server) || newer)).then(|| holder.clone())
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

    /// A host that the list has no more and where nothing stands is forgotten.
    pub(super) fn remove_if_gone(&mut self, id: &ServerId) {
        let gone = |s: &Server| s.listed.entry.state == ServerState::Gone && s.sessions.is_empty();
        if self.servers.get(id).is_some_and(gone) && !self.sessions.values().any(|h| h.is_out_at(id)) {
            self.servers.remove(id);
        }
    }
}
