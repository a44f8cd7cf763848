//! What own sessions ask of servers and the seats that they take, as running sums: a decision costs the same
//! however many sessions are held.

use std::collections::BTreeMap;
use std::ops::{AddAssign, SubAssign};

use super::Controller;
use crate::api::{RequestId, ServerId, ServerState};

/// Parts of a kB a second that demand is counted in.
const PARTS_PER_KB: f64 = (1_u64 << 20) as f64;
/// Most kB a second that one session counts for.
const MOST_KB: f64 = 1e12;

/// Rates in fixed point, so that a sum is the same in whatever order sessions came and went.
#[derive(Clone, Copy, Default)]
pub(super) struct Demand(i128);

impl AddAssign for Demand {
    fn add_assign(&mut self, other: Demand) {
        self.0 += other.0;
    }
}

impl SubAssign for Demand {
    fn sub_assign(&mut self, other: Demand) {
        self.0 -= other.0;
    }
}

impl Demand {
    fn of(kb: f64) -> Demand {
        Demand((kb.clamp(-MOST_KB, MOST_KB) * PARTS_PER_KB) as i128)
    }

    /// In kB a second.
    pub(super) fn kb(self) -> f64 {
        self.0 as f64 / PARTS_PER_KB
    }
}

/// Sums over the sessions that have a server.
#[derive(Default)]
pub(super) struct Occupancy {
    pub(super) demand: Demand,
    /// Seats taken by class and title, for classes with a limit.
    seats: BTreeMap<usize, BTreeMap<String, usize>>,
    /// Sessions whose rung is not yet this gateway's decision.
    pub(super) rung_pending: usize,
}

impl Occupancy {
    pub(super) fn seats_taken(&self, class: usize, title: &str) -> usize {
        self.seats.get(&class).and_then(|titles| titles.get(title)).copied().unwrap_or(0)
    }

    fn take_seat(&mut self, class: usize, title: &str) {
        *self.seats.entry(class).or_default().entry(title.to_owned()).or_default() += 1;
    }

    fn free_seat(&mut self, class: usize, title: &str) {
        let Some(titles) = self.seats.get_mut(&class) else { return };
        let Some(taken) = titles.get_mut(title) else { return };
        *taken -= 1;
        if *taken == 0 {
            titles.remove(title);
        }
    }
}

impl Controller {
    /// From now on a session has a server: an attempt there is out, or it plays there.
    pub(super) fn occupy(&mut self, id: RequestId, server: ServerId) {
        let session = self.sessions.get_mut(&id).expect("held when it is sent");
        session.server = Some(server.clone());
        let (wish, pending) = (session.wish, session.rung_pending);
        if self.settings.classes[wish.class].seats.is_some() {
            self.occupancy.take_seat(wish.class, &session.viewing.title);
        }
        self.occupancy.rung_pending += usize::from(pending);
        if let Some(to) = self.servers.get_mut(&server) {
            to.sessions.insert(id);
            if pending {
                to.rung_pending.insert(id);
            }
        }
        let asked = Demand::of(self.demand_of(&wish)).0;
        self.add_demand(id, &server, asked);
    }

    /// From now on a session has no server.
    pub(super) fn vacate(&mut self, id: RequestId) -> Option<ServerId> {
        let session = self.sessions.get_mut(&id)?;
        let server = session.server.take()?;
        let (wish, pending) = (session.wish, session.rung_pending);
        if self.settings.classes[wish.class].seats.is_some() {
            self.occupancy.free_seat(wish.class, &session.viewing.title);
        }
        self.occupancy.rung_pending -= usize::from(pending);
        let asked = Demand::of(self.demand_of(&wish)).0;
        self.add_demand(id, &server, -asked);
        if let Some(from) = self.servers.get_mut(&server) {
            from.sessions.remove(&id);
            from.rung_pending.remove(&id);
        }
        Some(server)
    }

    /// The rung of a session is another one.
    pub(super) fn change_rung(&mut self, id: RequestId, rung: usize) {
        let Some(session) = self.sessions.get_mut(&id) else { return };
        let before = session.wish;
        session.wish.rung = rung;
        let (after, server) = (session.wish, session.server.clone());
        if let Some(server) = server {
            let grown = Demand::of(self.demand_of(&after)).0 - Demand::of(self.demand_of(&before)).0;
            self.add_demand(id, &server, grown);
        }
    }

    /// The rung of a session that was handed over is this gateway's decision from now on.
    pub(super) fn rung_decided(&mut self, id: RequestId) {
        let Some(session) = self.sessions.get_mut(&id).filter(|session| session.rung_pending) else { return };
        session.rung_pending = false;
        let Some(server) = &session.server else { return };
        self.occupancy.rung_pending -= 1;
        if let Some(server) = self.servers.get_mut(server) {
            server.rung_pending.remove(&id);
        }
    }

    fn add_demand(&mut self, id: RequestId, name: &ServerId, parts: i128) {
        self.occupancy.demand.0 += parts;
        // A server that the list names only later holds none of the sessions that came before.
        let Some(server) = self.servers.get_mut(name).filter(|server| server.sessions.contains(&id)) else {
            return;
        };
        server.demand.0 += parts;
        let listed = server.entry.state != ServerState::Gone;
        let rack = self.rack_of(&self.servers[name]);
        if let Some(rack) = self.racks.get_mut(&rack).filter(|_| listed) {
            rack.demand.0 += parts;
        }
    }
}
