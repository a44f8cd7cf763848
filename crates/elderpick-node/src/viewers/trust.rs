//! How surely a connection is our viewers', and which of them carries what is owed to a viewer.

use std::rc::Rc;

use elderpick_sessions::lifecycle::Conn;

use super::Client;
use crate::node::Node;

/// How far a connection has shown that a viewer of ours is behind it.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Trust {
    /// All that came on it cannot be read.
    Bad,
    /// Nothing has come on it.
    New,
    /// Something that can be read has come: a front may test on a connection of its own.
    Known,
    /// A set-up has come.
    Asked,
    /// A set-up was answered on it.
    Served,
}

impl Node {
    /// The connection to say that a session is over on: its own, else the one that is most surely a viewer's.
    pub(crate) fn client_for(&self, conn: Option<Conn>) -> Option<Rc<Client>> {
        let clients = self.clients.borrow();
        let hears = |client: &&Rc<Client>| client.stream.free() && !client.stream.ended();
        let own = conn.and_then(|conn| clients.get(&conn)).filter(hears);
        let best = |trust| clients.values().filter(|c| c.trust.get() == trust).find(hears);
        let levels = [Trust::Served, Trust::Asked, Trust::Known];
        own.or_else(|| levels.into_iter().find_map(best)).cloned()
    }

    /// A connection has shown more of who is behind it. What was sent on those that had shown no more than that they
    /// can be read, and was not confirmed, is sent again where a viewer has asked.
    pub(crate) fn raise_trust(&self, client: &Client, to: Trust) {
        let before = client.trust.get();
        if to <= before {
            return;
        }
        client.trust.set(to);
        if before < Trust::Asked && to >= Trust::Asked {
            let mut releases = self.releases.borrow_mut();
            let clients = self.clients.borrow();
            let known = clients.values().filter(|client| client.trust.get() == Trust::Known);
            known.for_each(|client| releases.send_again(client.conn));
        }
    }
}
