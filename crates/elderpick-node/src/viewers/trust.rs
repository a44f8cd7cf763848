//! How surely a connection is our viewers', and which of them carries what is owed to a viewer.

use std::rc::Rc;

use elderpick_core::api::Micros;
use elderpick_sessions::admission::SPEAKS_WITHIN;
use elderpick_sessions::lifecycle::Conn;
use elderpick_sessions::releases::Carrier;

use super::{Client, Clients};
use crate::node::Node;

/// How far a connection has shown that a viewer of ours is behind it.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Trust {
    /// Nothing has come on it that can be read.
    New,
    /// Something that can be read has come: a front may test on a connection of its own.
    Known,
    /// A set-up has come that names what exists.
    Asked,
    /// A set-up was answered on it.
    Served,
}

impl Client {
    /// How surely a viewer of ours hears what is said on it; the larger the surer. What was ever sent on it that no
    /// viewer of ours sends counts for more than all else.
    fn sureness(&self) -> (bool, Trust) {
        (!self.is_faulty.get(), self.trust.get())
    }

    /// Whether a viewer of ours hears what is said on it.
    fn is_sure(&self) -> bool {
        self.sureness() >= (true, Trust::Asked)
    }

    /// Whether it may carry the end of a session. One that is silent may: any connection of viewers will do.
    fn may_carry_ends(&self, now: Micros) -> bool {
        let is_known = self.trust.get() >= Trust::Known || self.is_silent(now);
        is_known && self.stream.free() && !self.stream.ended()
    }

    /// Whether nothing has come on it, though there was time for that.
    fn is_silent(&self, now: Micros) -> bool {
        let nothing_came = self.decoder.try_borrow().is_ok_and(|decoder| !decoder.partial());
        now - self.accepted_at >= SPEAKS_WITHIN && self.trust.get() == Trust::New && nothing_came
    }

    /// What a release that is sent on it counts as.
    pub(crate) fn carrier(&self) -> Carrier {
        let conn = self.conn;
        let is_doubtful = self.is_faulty.get() || self.trust.get() == Trust::New;
        if is_doubtful { Carrier::Doubtful(conn) } else { Carrier::Viewers(conn) }
    }
}

impl Node {
    /// The connection to say that a session is over on: its own, else the one that is most surely a viewer's.
    pub(crate) fn client_for(&self, conn: Option<Conn>) -> Option<Rc<Client>> {
        let clients = self.clients.borrow();
        let own = conn.and_then(|conn| clients.get(&conn));
        let own = own.filter(|client| client.stream.free() && !client.stream.ended());
        own.or_else(|| surest(&clients, self.now())).cloned()
    }

    /// A connection has shown more of who is behind it. What was sent on those that are less surely a viewer's, and was
    /// not confirmed, is sent again where a viewer has asked.
    pub(crate) fn raise_trust(&self, client: &Client, to: Trust) {
        if to <= client.trust.get() {
            return;
        }
        let was_sure = client.is_sure();
        let was_silent = client.trust.replace(to) == Trust::New;
        if to >= Trust::Asked {
            self.admission.borrow_mut().set_worthless(client.conn, false);
        }
        if matches!(client.carrier(), Carrier::Viewers(_)) {
            self.releases.borrow_mut().is_viewers(self.now(), client.conn);
        }
        if !was_sure && client.is_sure() {
            self.take_releases_back(|other| !other.is_sure());
            self.send_releases();
        } else if was_silent {
            // They go out behind the answer to what has come.
            self.take_releases_back(|other| other.trust.get() == Trust::New);
        }
    }

    /// Whether a connection has shown that somebody is behind it to be told of ends.
    pub(crate) fn hears_ends(&self) -> bool {
        let now = self.now();
        let heard = |client: &Rc<Client>| client.trust.get() >= Trust::Known && client.may_carry_ends(now);
        self.clients.borrow().values().any(heard)
    }

    /// Something has come on a connection that no viewer of ours sends.
    pub(super) fn distrust(&self, client: &Client) {
        if client.is_faulty.replace(true) {
            return;
        }
        tracing::debug!(conn = client.conn, "a connection has sent what no viewer sends");
        if self.clients.borrow().values().any(|client| client.is_sure()) {
            self.take_releases_back(|other| !other.is_sure());
            self.send_releases();
        }
    }

    /// Lets what went out on some connections, and was not confirmed, wait for another.
    fn take_releases_back(&self, on: impl Fn(&Client) -> bool) {
        let (mut releases, clients) = (self.releases.borrow_mut(), self.clients.borrow());
        let on = clients.values().filter(|client| on(client));
        on.for_each(|client| releases.send_again(client.conn));
    }
}

/// Of those that are as surely a viewer's as any, the one that is open longest.
fn surest(clients: &Clients, now: Micros) -> Option<&Rc<Client>> {
    let able = clients.values().filter(|client| client.may_carry_ends(now));
    able.max_by_key(|client| (client.sureness(), std::cmp::Reverse(client.conn)))
}
