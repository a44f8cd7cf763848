//! Which connections to hosts there are: chosen, opened, closed to make room, and closed when they are not needed.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use elderpick_core::api::{Micros, Report, ServerId, Status};
use elderpick_sessions::health::Opened;
use elderpick_sessions::lifecycle::Input;
use tokio::net::TcpStream;
use tokio::task::spawn_local;

use super::{Attempt, Call, HostConnection, ROTATION, SetUpOut};
use crate::buffered_stream::CloseReason;
use crate::node::Node;
use crate::turns::Turn;

impl Node {
    /// Whether another connection to a host may be opened, though no other is closed for it.
    pub(super) fn may_open(&self, server: &ServerId) -> bool {
        self.may_have_more(server) && self.hosts.connection_count() < self.hosts.most
    }

    pub(super) fn may_have_more(&self, server: &ServerId) -> bool {
        let each = (self.hosts.most / (self.lifecycle.borrow().hosts() + 2).max(1)).clamp(2, 16);
        let hosts = self.hosts.by_server.borrow();
        let of_host = hosts.get(server).map_or(0, |w| w.connections.len() + w.opening);
        of_host < each
    }

    /// Ends the idle connection that is missed least: one of several to its host, else one to a host where nothing
    /// stands, else one whose host had its turn; of those the one that was used longest ago.
    pub(super) fn make_room(&self) -> bool {
        let (lifecycle, hosts, now) = (self.lifecycle.borrow(), self.hosts.by_server.borrow(), self.now());
        let idle = hosts.iter().flat_map(|(server, host)| {
            let only = host.connections.iter().filter(|connection| connection.free()).count() < 2;
            let stands = lifecycle.has_sessions_at(server);
            let may_go =
                move |connection: &Rc<HostConnection>| !(only && stands) || now - connection.up >= ROTATION;
            let idle = host
                .connections
                .iter()
                .filter(move |connection| may_go(connection) && connection.free() && connection.idle());
            idle.map(move |connection| ((only, only && stands, connection.used.get()), stands, connection))
        });
        let Some((_, stands, connection)) = idle.min_by_key(|(missed, ..)| *missed) else { return false };
        connection.made_room.set(true);
        connection.leave(stands, CloseReason::MakesRoom);
        true
    }

    /// The connection with the fewest set-ups and calls on it. What its host has ended is none, though its task may
    /// not have seen it yet.
    pub(super) fn pick_connection(&self, server: &ServerId) -> Option<Rc<HostConnection>> {
        let hosts = self.hosts.by_server.borrow();
        let fresh = |connection: &&Rc<HostConnection>| {
            connection.free() && self.now() - connection.read.get() < self.hosts.stale
        };
        let connections = hosts.get(server)?.connections.iter().filter(fresh);
        let mut connections: Vec<_> = connections.collect();
        connections
            .sort_by_key(|connection| (connection.out.borrow().len(), connection.asked.borrow().len()));
        connections.into_iter().find(|connection| !connection.stream.ended()).cloned()
    }

    /// Whether a connection may be opened, another closed for it if need be. Connections that are being closed hold
    /// their descriptors for a moment longer, for which some are set aside.
    pub(super) fn finds_room(&self) -> bool {
        let beside = self.hosts.connection_count() < self.hosts.most + self.hosts.ending;
        beside && (self.hosts.in_use() < self.hosts.most || self.make_room())
    }

    pub(super) fn open(self: &Rc<Self>, server: ServerId, call: Call) {
        self.feed(Input::Opening { server: server.clone() });
        let Some(to) = self.lifecycle.borrow().address(&server) else {
            return self.never_up(server, call, Opened::Refused);
        };
        if !self.finds_room() {
            return self.never_up(server, call, Opened::NoRoom);
        }
        self.hosts.by_server.borrow_mut().entry(server.clone()).or_default().opening += 1;
        let node = self.clone();
        spawn_local(async move {
            let up = connect(to, node.hosts.connect).await;
            if let Some(host) = node.hosts.by_server.borrow_mut().get_mut(&server) {
                host.opening -= 1;
            }
            // The list may have told of another host at this address meanwhile.
            let same = node.lifecycle.borrow().address(&server) == Some(to);
            match up {
                Ok(stream) if same => node.up(server, stream, call).await,
                Ok(_) => node.never_up(server, call, Opened::Refused),
                Err(how) => node.never_up(server, call, how),
            }
        });
    }

    pub(super) fn open_later(self: &Rc<Self>, server: ServerId) {
        let node = self.clone();
        spawn_local(async move { node.open(server, Call::Nothing) });
    }

    pub(super) fn never_up(self: &Rc<Self>, server: ServerId, call: Call, how: Opened) {
        self.feed(Input::Opened { server: server.clone(), how });
        let ended = |one: Attempt| match how {
            // It was never sent, and nothing is held against the host.
            Opened::NoRoom => one.not_sent(),
            _ => one.never_up(),
        };
        let others = self.hosts.by_server.borrow().get(&server).map_or(0, |host| host.opening);
        if how != Opened::NoRoom || others == 0 {
            self.waiting(&server).into_iter().for_each(|one| self.feed(ended(one)));
        }
        match call {
            Call::SetUp(one) => self.feed(ended(one)),
            Call::Load { .. } if how == Opened::NoRoom => {}
            Call::Load { .. } => {
                let (status, report) = (Status::ConnectError, Report::default());
                self.feed(Input::Probed { server, status, report });
            }
            Call::Nothing => {}
        }
    }

    /// A connection came up: sends what waits for it and reads until it ends.
    pub(super) async fn up(self: Rc<Self>, server: ServerId, stream: TcpStream, call: Call) {
        tracing::trace!(server = %server, "host connection up");
        let connection = Rc::new(HostConnection::new(stream, self.now()));
        self.hosts.add(&server, connection.clone());
        self.feed(Input::Opened { server: server.clone(), how: Opened::Up });
        self.send_pending(&server, &connection);
        self.batch(|| {
            match call {
                Call::SetUp(one) => self.attempts.borrow_mut().push_back(one.renewed()),
                Call::Load { session } => self.write_probe(&server, &connection, session),
                Call::Nothing => {}
            }
            let waiting = self.waiting(&server).into_iter().map(Attempt::renewed);
            self.attempts.borrow_mut().extend(waiting);
        });
        let host_bytes =
            |chunk: &[u8]| self.in_turn(Turn::Hosts, || self.host_bytes(&server, &connection, chunk));
        let whole = connection.stream.run(&self.buffer, host_bytes).await;
        if whole && !connection.partial.get() {
            // Nothing follows any more.
            self.pass_on_held_answer(&server, &connection);
        }
        connection.stream.end(true);
        self.connection_ended(&server, connection, whole);
    }

    /// A connection has ended: what was out on it is over. `whole` tells that all that the host sent on it was read.
    fn connection_ended(self: &Rc<Self>, server: &ServerId, connection: Rc<HostConnection>, whole: bool) {
        if let Some(host) = self.hosts.by_server.borrow_mut().get_mut(server) {
            host.connections.retain(|other| !Rc::ptr_eq(other, &connection));
        }
        let (out, asked) = (connection.out.take(), connection.asked.take());
        let unheard = connection.unconfirmed.take().into_iter().collect();
        let made_room = connection.made_room.get();
        let (reason, attempts) = (connection.stream.close_reason(), out.len());
        tracing::debug!(%server, whole, ?reason, attempts, "host's connection closed");
        drop(connection);
        self.feed(Input::HostDisconnected { server: server.clone(), whole, unheard, made_room });
        for (session, SetUpOut { attempt, .. }) in out {
            self.feed(Input::ConnectionLost { server: server.clone(), session, attempt, begun: true });
        }
        for _ in asked {
            let (status, report) = (Status::Reset, Report::default());
            self.feed(Input::Probed { server: server.clone(), status, report });
        }
    }

    pub(crate) fn host_open(self: &Rc<Self>, server: ServerId) {
        self.open(server, Call::Nothing);
    }

    /// Closes what leads to a host, as far as it came up before this time. Without one, what waits for a connection to
    /// what the host was is dropped.
    pub(crate) fn host_forget(&self, server: &ServerId, before: Option<Micros>) {
        let mut hosts = self.hosts.by_server.borrow_mut();
        let Some(host) = hosts.get_mut(server) else { return };
        let is_old = |connection: &&Rc<HostConnection>| before.is_none_or(|before| connection.up < before);
        host.connections.iter().filter(is_old).for_each(|connection| connection.abort(CloseReason::HostLost));
        if before.is_some() {
            return;
        }
        // The attempts that wait are over by now, and may not be written.
        host.waiting.clear();
        host.pending.take(self.now()).for_each(drop);
    }

    /// Closes what is not needed: connections to hosts that are gone, and more than one that is idle.
    pub(crate) fn host_tidy(&self) {
        let (lifecycle, now) = (self.lifecycle.borrow(), self.now());
        let mut hosts = self.hosts.by_server.borrow_mut();
        hosts.retain(|server, host| {
            let (known, stands) = (lifecycle.address(server).is_some(), lifecycle.has_sessions_at(server));
            let mut spare = host.connections.iter().filter(|l| !l.retired.get()).count();
            for connection in &host.connections {
                let stale = now - connection.used.get().max(connection.read.get()) > self.hosts.stale;
                let surplus = spare > 1 && now - connection.used.get() > 10_000_000;
                if connection.idle() && connection.stream.goes_on() && (!known || stale || surplus) {
                    spare = spare.saturating_sub(1);
                    connection.leave(stands, CloseReason::Spare);
                }
            }
            let waits = !host.pending.is_empty() || !host.waiting.is_empty();
            !host.connections.is_empty() || host.opening > 0 || (known && waits)
        });
        self.hosts.outlines.borrow_mut().retain(|server| lifecycle.is_listed(server));
    }
}

async fn connect(to: SocketAddr, within: Duration) -> Result<TcpStream, Opened> {
    let up = tokio::time::timeout(within, TcpStream::connect(to)).await;
    if let Ok(Err(why)) = &up {
        tracing::debug!(%to, %why, "a connection to a host does not come up");
    }
    match up {
        Ok(Ok(stream)) => Ok(stream),
        Ok(Err(why)) if out_of_room(&why) => Err(Opened::NoRoom),
        Ok(Err(_)) => Err(Opened::Refused),
        Err(_) => Err(Opened::Silent),
    }
}

/// Whether it is this machine that has no descriptor (ENFILE, EMFILE), address or memory left for a connection.
fn out_of_room(why: &io::Error) -> bool {
    let kind = matches!(why.kind(), io::ErrorKind::AddrNotAvailable | io::ErrorKind::OutOfMemory);
    kind || matches!(why.raw_os_error(), Some(23 | 24))
}
