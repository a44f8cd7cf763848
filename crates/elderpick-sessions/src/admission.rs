//! Who may stay connected: connections of viewers within the descriptors that are planned for them.
//!
//! A connection may be closed while no set-up is open on it. One that has sent nothing but what no viewer sends goes
//! first, whatever it sends next; then one that never said anything whole, though not before it had the time to; then
//! the one that has been idle longest, first of those on which no session stands. Only when none may go is a new one
//! turned away. Those on which sessions stand stay open while there is room: the ends of sessions are told on
//! them, and viewers may have no other. One that has sent what was not read yet is not idle, whatever is known of it
//! here: the caller looks.

use std::collections::HashMap;

use elderpick_core::api::Micros;

use crate::lifecycle::Conn;

/// A connection on which no whole message has come for so long is closed: set-ups come right after the connection.
const SILENT: Micros = 2_000_000;
/// A connection that has said nothing whole makes no room for another sooner: its first set-up may be on its way.
pub const SPEAKS_WITHIN: Micros = 100_000;
/// Part of a message is waited for so long.
const PARTIAL: Micros = 1_500_000;
/// Idle connections on which no session stands are kept so long; viewers close theirs sooner.
const IDLE: Micros = 20_000_000;

#[derive(Clone, Copy, Debug)]
struct Client {
    accepted_at: Micros,
    /// When its last whole message came.
    last_message: Option<Micros>,
    /// Since when part of a message is held.
    partial: Option<Micros>,
    /// Set-ups open on it.
    open: usize,
    /// Nothing but what no viewer sends has come on it.
    is_worthless: bool,
}

impl Client {
    /// Whether it may make room for another, as far as it is known here.
    fn may_go(&self, now: Micros) -> bool {
        let had_time = self.last_message.is_some() || now - self.accepted_at >= SPEAKS_WITHIN;
        self.open == 0 && (self.is_worthless || had_time)
    }
}

/// What is to be done with a connection that was accepted by the system.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum AdmissionDecision {
    /// It may stay.
    Admitted,
    /// Admitted, and this one is to be closed for it.
    InsteadOf(Conn),
    /// All have set-ups open: turned away.
    Full,
}

/// What the caller knows of connections.
pub trait Connections {
    /// Whether nothing has come on it that was not read yet.
    fn quiet(&self, conn: Conn) -> bool;
    /// Whether sessions stand that were asked for on it.
    fn has_sessions_on(&self, conn: Conn) -> bool;
}

/// The connections of viewers.
#[derive(Debug)]
pub struct Admission {
    most: usize,
    clients: HashMap<Conn, Client>,
}

impl Admission {
    /// At most so many connections are admitted at a time.
    pub fn new(most: usize) -> Admission {
        Admission { most, clients: HashMap::new() }
    }

    /// How many connections are admitted.
    pub fn held(&self) -> usize {
        self.clients.len()
    }

    /// Whether one more connection would be admitted.
    pub fn has_room(&self, now: Micros, known: &impl Connections) -> bool {
        let may_go = |(conn, client): (&Conn, &Client)| {
            client.may_go(now) && (client.is_worthless || known.quiet(*conn))
        };
        self.clients.len() < self.most || self.clients.iter().any(may_go)
    }

    /// A connection was accepted by the system.
    pub fn accept(&mut self, now: Micros, conn: Conn, known: &impl Connections) -> AdmissionDecision {
        let mut decision = AdmissionDecision::Admitted;
        if self.clients.len() >= self.most {
            let idle = self.clients.iter().filter(|(_, client)| client.may_go(now));
            let order = |(conn, client): (&Conn, &Client)| {
                let has_asked = client.last_message.is_some();
                (
                    (!client.is_worthless, has_asked, known.has_sessions_on(*conn)),
                    client.last_message.unwrap_or(client.accepted_at),
                    *conn,
                )
            };
            let mut idle: Vec<_> = idle.map(order).collect();
            idle.sort_unstable();
            let may_go = |((is_of_worth, ..), _, conn): &((bool, bool, bool), Micros, Conn)| {
                !is_of_worth || known.quiet(*conn)
            };
            let Some((_, _, first)) = idle.into_iter().find(may_go) else {
                return AdmissionDecision::Full;
            };
            self.clients.remove(&first);
            decision = AdmissionDecision::InsteadOf(first);
        }
        let client =
            Client { accepted_at: now, last_message: None, partial: None, open: 0, is_worthless: false };
        self.clients.insert(conn, client);
        decision
    }

    /// A whole message came.
    pub fn message_received(&mut self, now: Micros, conn: Conn) {
        if let Some(client) = self.clients.get_mut(&conn) {
            client.last_message = Some(now);
            client.partial = None;
        }
    }

    /// Whether nothing but what no viewer sends has come on it.
    pub fn set_worthless(&mut self, conn: Conn, is_worthless: bool) {
        if let Some(client) = self.clients.get_mut(&conn) {
            client.is_worthless = is_worthless;
        }
    }

    /// All that came was read; `partial` tells whether part of a message is left.
    pub fn read_finished(&mut self, now: Micros, conn: Conn, partial: bool) {
        if let Some(client) = self.clients.get_mut(&conn) {
            client.partial = partial.then(|| client.partial.unwrap_or(now));
        }
    }

    /// So many set-ups are open on it now.
    pub fn set_open(&mut self, now: Micros, conn: Conn, open: usize) {
        if let Some(client) = self.clients.get_mut(&conn) {
            client.open = open;
            client.last_message = client.last_message.map(|_| now);
        }
    }

    /// A connection has ended or is being closed.
    pub fn remove(&mut self, conn: Conn) {
        self.clients.remove(&conn);
    }

    /// Connections to close now. `all_idle` closes all on which nothing is open, at the end.
    pub fn overdue(&mut self, now: Micros, all_idle: bool, known: &impl Connections) -> Vec<Conn> {
        let over = |conn: Conn, client: &Client| {
            let silent = client.last_message.is_none() && now - client.accepted_at >= SILENT;
            let partial = client.partial.is_some_and(|since| now - since >= PARTIAL);
            let idle = client.last_message.is_some_and(|at| now - at >= IDLE) && !known.has_sessions_on(conn);
            // What is open is still owed its answer, whatever else the connection does.
            client.open == 0 && (partial || silent || idle || all_idle) && known.quiet(conn)
        };
        let mut over: Vec<_> = self
            .clients
            .iter()
            .filter(|(conn, client)| over(**conn, client))
            .map(|(conn, _)| *conn)
            .collect();
        over.sort_unstable();
        over.iter().for_each(|conn| self.remove(*conn));
        over
    }
}

#[cfg(test)]
#[path = "../tests/unit/admission.rs"]
mod tests;
