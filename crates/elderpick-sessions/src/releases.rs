//! Releases towards viewers: what is over is owed to its viewer until that has confirmed it.
//!
//! Any connection of viewers carries any release, and a viewer closes a connection that it needs no longer at a time of
//! its own. A release that is on its way then goes down with the connection, and nobody would ever say it again.

use std::collections::{BTreeMap, BTreeSet};

use elderpick_core::api::Micros;

use crate::lifecycle::Conn;

/// A release that went out so long ago has arrived: confirming is free. One that found no connection yet is owed
/// however long that takes.
const CONFIRMED_BY: Micros = 10_000_000;
/// What went out longer before its connection's end than this has arrived: confirming is free.
const CROSSES: Micros = 1_000_000;

#[derive(Clone, Copy, Debug)]
struct Owed {
    cause: u8,
    since: Micros,
    /// The connection that it was said on, and when; `None` while it waits for one.
    said: Option<(Conn, Micros)>,
}

/// Releases that are owed, the oldest first. Each is said on one connection at a time.
#[derive(Debug)]
pub struct Releases {
    most: usize,
    owed: BTreeMap<u64, Owed>,
    /// The same by age.
    order: BTreeSet<(Micros, u64)>,
    /// Those that wait for a connection.
    waiting: BTreeSet<(Micros, u64)>,
    /// Those that were said, by when.
    said_at: BTreeSet<(Micros, u64)>,
    /// Those that were said on a connection and are not confirmed.
    said_on: BTreeMap<Conn, BTreeSet<u64>>,
    /// Releases that were dropped at the bound unsaid.
    pub dropped: u64,
    /// Releases that were said again, since their connection ended behind them.
    pub repeated: u64,
}

impl Releases {
    /// Holds `most` at most; the oldest make room.
    pub fn new(most: usize) -> Releases {
        Releases {
            most,
            owed: BTreeMap::new(),
            order: BTreeSet::new(),
            waiting: BTreeSet::new(),
            said_at: BTreeSet::new(),
            said_on: BTreeMap::new(),
            dropped: 0,
            repeated: 0,
        }
    }

    /// A session is over.
    pub fn owe(&mut self, now: Micros, session: u64, cause: u8) {
        self.expire(now);
        self.forget(session);
        while self.owed.len() >= self.most {
            let Some(&(_, oldest)) = self.order.first() else { break };
            self.dropped += u64::from(self.owed.get(&oldest).is_some_and(|owed| owed.said.is_none()));
            self.forget(oldest);
        }
        self.owed.insert(session, Owed { cause, since: now, said: None });
        self.order.insert((now, session));
        self.waiting.insert((now, session));
    }

    /// The oldest that waits for a connection, and its cause.
    pub fn next(&mut self, now: Micros) -> Option<(u64, u8)> {
        self.expire(now);
        let (_, session) = self.waiting.first()?;
        Some((*session, self.owed.get(session)?.cause))
    }

    /// It went out on a connection.
    pub fn said(&mut self, now: Micros, session: u64, conn: Conn) {
        let Some(owed) = self.owed.get_mut(&session) else { return };
        self.waiting.remove(&(owed.since, session));
        self.said_at.insert((now, session));
        owed.said = Some((conn, now));
        self.said_on.entry(conn).or_default().insert(session);
    }

    /// Its viewer has confirmed it, on the connection that it was said on: what is confirmed elsewhere was not heard.
    pub fn confirmed(&mut self, session: u64, conn: Conn) {
        let said_on = self.owed.get(&session).and_then(|owed| owed.said).map(|(conn, _)| conn);
        if said_on == Some(conn) {
            self.forget(session);
        }
    }

    /// A connection ended: what was on its way on it is owed anew.
    pub fn ended(&mut self, now: Micros, conn: Conn) {
        for session in self.said_on.remove(&conn).unwrap_or_default() {
            let Some(owed) = self.owed.get_mut(&session) else { continue };
            let Some((_, said)) = owed.said.take() else { continue };
            self.said_at.remove(&(said, session));
            if now - said <= CROSSES {
                self.repeated += 1;
                self.waiting.insert((owed.since, session));
            } else {
                self.forget(session);
            }
        }
    }

    /// How many are owed.
    pub fn len(&self) -> usize {
        self.owed.len()
    }

    pub fn is_empty(&self) -> bool {
        self.owed.is_empty()
    }

    fn forget(&mut self, session: u64) {
        let Some(owed) = self.owed.remove(&session) else { return };
        self.order.remove(&(owed.since, session));
        self.waiting.remove(&(owed.since, session));
        let Some((conn, at)) = owed.said else { return };
        self.said_at.remove(&(at, session));
        if let Some(said) = self.said_on.get_mut(&conn) {
            said.remove(&session);
            if said.is_empty() {
                self.said_on.remove(&conn);
            }
        }
    }

    fn expire(&mut self, now: Micros) {
        while let Some(&(_, session)) = self.said_at.first().filter(|(at, _)| now - at > CONFIRMED_BY) {
            self.forget(session);
        }
    }
}
