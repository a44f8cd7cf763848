//! Releases towards viewers: what is over is owed to its viewer until that has confirmed it.
//!
//! Any connection of viewers carries any release, and a viewer closes a connection that it needs no longer at a time of
//! its own. A release that is on its way then goes down with the connection, and nobody would ever send it again.

use std::collections::{BTreeMap, BTreeSet};

use elderpick_core::api::Micros;

use crate::lifecycle::Conn;

/// A release that went out so long ago has arrived: confirming is free. One that found no connection yet is pending
/// however long that takes.
const CONFIRMED_AFTER: Micros = 10_000_000;
/// What went out longer before its connection's end than this has arrived: confirming is free.
const MAY_CROSS_FOR: Micros = 1_000_000;

/// What a release is sent on.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Carrier {
    /// A connection of viewers.
    Viewers(Conn),
    /// One on which nothing came, or something that no viewer sends: time proves nothing there.
    Doubtful(Conn),
}

impl Carrier {
    fn conn(self) -> Conn {
        match self {
            Carrier::Viewers(conn) | Carrier::Doubtful(conn) => conn,
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct SentRelease {
    on: Carrier,
    at: Micros,
}

#[derive(Clone, Copy, Debug)]
struct PendingRelease {
    cause: u8,
    since: Micros,
    /// How it was sent last; `None` while it waits for a connection.
    sent: Option<SentRelease>,
}

/// Releases that are not confirmed, the oldest first. Each is sent on one connection at a time.
#[derive(Debug)]
pub struct Releases {
    most: usize,
    pending: BTreeMap<u64, PendingRelease>,
    /// The same by age.
    order: BTreeSet<(Micros, u64)>,
    /// Those that wait for a connection.
    waiting: BTreeSet<(Micros, u64)>,
    /// Those that were sent on connections of viewers, by when.
    by_send_time: BTreeSet<(Micros, u64)>,
    /// Those that were sent on a connection and are not confirmed.
    by_connection: BTreeMap<Conn, BTreeSet<u64>>,
    /// Releases that were dropped at the bound before they were sent.
    pub dropped: u64,
    /// Releases that were sent again, since their connection ended behind them.
    pub resent: u64,
}

impl Releases {
    /// Holds `most` at most; the oldest make room.
    pub fn new(most: usize) -> Releases {
        Releases {
            most,
            pending: BTreeMap::new(),
            order: BTreeSet::new(),
            waiting: BTreeSet::new(),
            by_send_time: BTreeSet::new(),
            by_connection: BTreeMap::new(),
            dropped: 0,
            resent: 0,
        }
    }

    /// A session is over: its release is to be sent until it is confirmed.
    pub fn add(&mut self, now: Micros, session: u64, cause: u8) {
        self.expire(now);
        self.forget(session);
        while self.pending.len() >= self.most {
            let Some(&(_, oldest)) = self.order.first() else { break };
            self.dropped +=
                u64::from(self.pending.get(&oldest).is_some_and(|release| release.sent.is_none()));
            self.forget(oldest);
        }
        self.pending.insert(session, PendingRelease { cause, since: now, sent: None });
        self.order.insert((now, session));
        self.waiting.insert((now, session));
    }

    /// The oldest that waits for a connection, and its cause.
    pub fn next(&mut self, now: Micros) -> Option<(u64, u8)> {
        self.expire(now);
        let (_, session) = self.waiting.first()?;
        Some((*session, self.pending.get(session)?.cause))
    }

    /// It went out on a connection.
    pub fn sent(&mut self, now: Micros, session: u64, on: Carrier) {
        let Some(release) = self.pending.get_mut(&session) else { return };
        self.waiting.remove(&(release.since, session));
        if matches!(on, Carrier::Viewers(_)) {
            self.by_send_time.insert((now, session));
        }
        release.sent = Some(SentRelease { on, at: now });
        self.by_connection.entry(on.conn()).or_default().insert(session);
    }

    /// Its viewer has confirmed it, on the connection that it was sent on: what is confirmed elsewhere was not heard.
    pub fn confirmed(&mut self, session: u64, conn: Conn) {
        let sent = self.pending.get(&session).and_then(|release| release.sent);
        if sent.is_some_and(|sent| sent.on.conn() == conn) {
            self.forget(session);
        }
    }

    /// A connection ended: what was on its way on it is pending anew.
    pub fn connection_ended(&mut self, now: Micros, conn: Conn) {
        for session in self.by_connection.remove(&conn).unwrap_or_default() {
            let Some(release) = self.pending.get_mut(&session) else { continue };
            let Some(SentRelease { on, at }) = release.sent.take() else { continue };
            self.by_send_time.remove(&(at, session));
            if now - at <= MAY_CROSS_FOR || matches!(on, Carrier::Doubtful(_)) {
                self.resent += 1;
                self.waiting.insert((release.since, session));
            } else {
                self.forget(session);
            }
        }
    }

    /// A connection has turned out to be one of viewers: what went out on it was sent to viewers.
    pub fn is_viewers(&mut self, now: Micros, conn: Conn) {
        for session in self.by_connection.get(&conn).into_iter().flatten() {
            let Some(release) = self.pending.get_mut(session) else { continue };
            if let Some(SentRelease { on: Carrier::Doubtful(_), .. }) = release.sent {
                release.sent = Some(SentRelease { on: Carrier::Viewers(conn), at: now });
                self.by_send_time.insert((now, *session));
            }
        }
    }

    /// Another connection is more surely their viewers': what went out on this one and is not confirmed is pending anew.
    pub fn send_again(&mut self, conn: Conn) {
        for session in self.by_connection.remove(&conn).unwrap_or_default() {
            let Some(release) = self.pending.get_mut(&session) else { continue };
            let Some(SentRelease { at, .. }) = release.sent.take() else { continue };
            self.by_send_time.remove(&(at, session));
            self.waiting.insert((release.since, session));
            self.resent += 1;
        }
    }

    /// How many are pending.
    pub fn len(&self) -> usize {
        self.pending.len()
    }

    /// Whether none is pending.
    pub fn is_empty(&self) -> bool {
        self.pending.is_empty()
    }

    fn forget(&mut self, session: u64) {
        let Some(release) = self.pending.remove(&session) else { return };
        self.order.remove(&(release.since, session));
        self.waiting.remove(&(release.since, session));
        let Some(SentRelease { on, at }) = release.sent else { return };
        self.by_send_time.remove(&(at, session));
        if let Some(sent) = self.by_connection.get_mut(&on.conn()) {
            sent.remove(&session);
            if sent.is_empty() {
                self.by_connection.remove(&on.conn());
            }
        }
    }

    fn expire(&mut self, now: Micros) {
        while let Some(&(_, session)) = self.by_send_time.first().filter(|(at, _)| now - at > CONFIRMED_AFTER)
        {
            self.forget(session);
        }
    }
}
