//! Connections of viewers.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use elderpick_platform::viewer::{self, Decoder, Message, SetUp, cause, kind};
use elderpick_sessions::admission::Welcome;
use elderpick_sessions::life::{Conn, Input};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;

use crate::link::{Link, Look};
use crate::node::Node;

/// Set-ups that cannot be read, until the connection is closed.
const MOST_UNREADABLE: u32 = 8;
/// Connections that are taken at the end, before the listener is dropped.
const MOST_ACCEPTED: usize = 1_024;

/// How far a connection has shown that a viewer of ours is behind it.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Standing {
    Bad,
    New,
    Asked,
    Served,
}

/// One viewers' connection.
pub(crate) struct Client {
    pub conn: Conn,
    pub link: Link,
    decoder: RefCell<Decoder>,
    pub standing: Cell<Standing>,
    unreadable: Cell<u32>,
}

/// All viewers' connections.
pub(crate) type Clients = BTreeMap<Conn, Rc<Client>>;

/// Takes connections until it is told to stop, and then all that the system has accepted by that time: what is dropped
/// with the listener is reset, also with a whole set-up on it.
pub(crate) async fn accept(listener: TcpListener, node: Rc<Node>) {
    loop {
        let came = tokio::select! {
            biased;
            () = node.stop_coming.notified() => break,
            came = listener.accept() => came,
        };
        match came {
            Ok((stream, _)) => {
                if node.come(stream) {
                    // The one that made room has its descriptor still, until its task has run.
                    tokio::task::yield_now().await;
                }
            }
            Err(why) => {
                // Out of descriptors or memory: what is idle goes, and nothing spins.
                node.warn_seldom(&format!("cannot accept: {why}"));
                node.close_overdue(true);
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        }
    }
    let Ok(listener) = listener.into_std() else { return };
    // Bounded by what the system keeps, and against those that come meanwhile.
    for _ in 0..MOST_ACCEPTED {
        let Ok((stream, _)) = listener.accept() else { return };
        let stream = stream.set_nonblocking(true).and_then(|()| TcpStream::from_std(stream));
        let Ok(stream) = stream else { return };
        node.come(stream);
    }
}

impl Node {
    /// Takes a connection; `true` if another is closed for it.
    fn come(self: &Rc<Self>, stream: TcpStream) -> bool {
        let conn = self.next_conn.replace(self.next_conn.get() + 1);
        let welcome = self.admission.borrow_mut().come(self.now(), conn, |conn| self.quiet(conn));
        match welcome {
            Welcome::Admitted => {}
            Welcome::InsteadOf(other) => self.close_client(other),
            Welcome::Full => {
                self.turned_away.set(self.turned_away.get() + 1);
                return false;
            }
        }
        let client = Rc::new(Client {
            conn,
            link: Link::new(stream),
            decoder: RefCell::default(),
            standing: Cell::new(Standing::New),
            unreadable: Cell::new(0),
        });
        self.clients.borrow_mut().insert(conn, client.clone());
        let node = self.clone();
        spawn_local(async move {
            tracing::trace!(conn, "a viewers' connection comes");
            client.link.run(&node.buffer, |chunk| node.viewer_heard(conn, &client, chunk)).await;
            tracing::trace!(conn, "a viewers' connection has ended");
            node.clients.borrow_mut().remove(&conn);
            node.admission.borrow_mut().left(conn);
            node.releases.borrow_mut().ended(node.now(), conn);
            node.feed(Input::Closed { conn });
            node.say_releases();
        });
        matches!(welcome, Welcome::InsteadOf(_))
    }

    /// Takes what came on a connection; `false` ends it. All that came is told before anything is sent on: who gives up
    /// right behind a set-up has asked for nothing.
    fn viewer_heard(self: &Rc<Self>, conn: Conn, client: &Rc<Client>, chunk: &[u8]) -> bool {
        self.together(|| {
            let mut decoder = client.decoder.borrow_mut();
            decoder.push(chunk);
            loop {
                match decoder.message() {
                    Ok(Some(message)) => {
                        self.admission.borrow_mut().said(self.now(), conn);
                        if !self.viewer_said(conn, client, &message) {
                            return false;
                        }
                    }
                    Ok(None) => break,
                    Err(why) => {
                        self.bad(client, 0, why);
                        return false;
                    }
                }
            }
            self.admission.borrow_mut().read(self.now(), conn, decoder.partial());
            true
        })
    }

    /// Looks whether a viewer that waits for an answer has said anything, or has left, that its connection's task has
    /// not come to: after a standstill of this gateway, or behind a line that came up late. The life of sessions is told
    /// of it.
    pub(crate) fn look_at_client(self: &Rc<Self>, conn: Conn) -> Look {
        let client = self.clients.borrow().get(&conn).cloned();
        let look = client
            .as_ref()
            .map_or(Look::Nothing, |client| client.link.look(|chunk| self.viewer_heard(conn, client, chunk)));
        let there = client.is_some_and(|client| client.link.goes_on() && !client.link.ended());
        if there {
            return look;
        }
        self.feed(Input::Closed { conn });
        Look::All
    }

    pub(crate) fn close_client(&self, conn: Conn) {
        if let Some(client) = self.clients.borrow().get(&conn) {
            // At once if nothing waits to be written: what comes after that is seen by its sender to be too late.
            client.link.end(client.link.free());
        }
    }

    /// Whether nothing has come on a connection that was not read yet.
    pub(crate) fn quiet(&self, conn: Conn) -> bool {
        let quiet = self.clients.borrow().get(&conn).is_none_or(|client| client.link.quiet());
        self.spared.set(self.spared.get() + u64::from(!quiet));
        quiet
    }

    /// Closes what is overdue, or at the end all on which nothing is open.
    pub(crate) fn close_overdue(&self, all_idle: bool) {
        let overdue = self.admission.borrow_mut().overdue(self.now(), all_idle, |conn| self.quiet(conn));
        overdue.into_iter().for_each(|conn| self.close_client(conn));
    }

    /// What cannot be read gets an error.
    fn bad(&self, client: &Client, session: u64, why: elderpick_platform::Bad) {
        self.unreadable.set(self.unreadable.get() + 1);
        tracing::debug!(%why, "a viewer sent what cannot be read");
        let mut text = Vec::new();
        viewer::release(&mut text, session, cause::UNREADABLE, None);
        client.link.send(&text);
        client.standing.set(Standing::Bad);
    }

    /// Takes one message; `false` ends the connection.
    fn viewer_said(self: &Rc<Self>, conn: Conn, client: &Rc<Client>, message: &Message) -> bool {
        let session = message.session;
        tracing::trace!(conn, ?message, "a viewer says");
        match message.kind {
            kind::SET_UP => match SetUp::parse(message) {
                Ok(set_up) => {
                    client.standing.set(client.standing.get().max(Standing::Asked));
                    self.feed(Input::SetUp { conn, came: self.came(), set_up });
                }
                Err(why) => {
                    self.bad(client, session, why);
                    client.unreadable.set(client.unreadable.get() + 1);
                    return client.unreadable.get() < MOST_UNREADABLE;
                }
            },
            kind::RELEASE => match message.cause() {
                Ok(cause) => {
                    self.feed(Input::Release { conn, session, cause });
                    let mut text = Vec::new();
                    let _ = viewer::encode(&mut text, kind::RELEASE_HEARD, session, &[]);
                    client.link.send(&text);
                }
                Err(why) => {
                    self.bad(client, session, why);
                    return false;
                }
            },
            kind::TEST => {
                let mut text = Vec::new();
                viewer::tested(&mut text, session, !self.ending.get());
                client.link.send(&text);
            }
            kind::RELEASE_HEARD => self.releases.borrow_mut().confirmed(session),
            kind::PROGRESS => {}
            _ => {
                self.bad(client, session, elderpick_platform::Bad("a message of an unknown type"));
                return false;
            }
        }
        true
    }

    /// The connection to say that a session is over on: its own, else the one that is most surely a viewer's.
    pub(crate) fn client_for(&self, conn: Option<Conn>) -> Option<Rc<Client>> {
        let clients = self.clients.borrow();
        let hears = |client: &&Rc<Client>| client.link.free() && !client.link.ended();
        let own = conn.and_then(|conn| clients.get(&conn)).filter(hears);
        let best = |standing| clients.values().filter(|g| g.standing.get() == standing).find(hears);
        own.or_else(|| best(Standing::Served)).or_else(|| best(Standing::Asked)).cloned()
    }
}
