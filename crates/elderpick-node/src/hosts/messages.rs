//! Messages to hosts that are no set-ups: releases, rungs, calls for load, tests.

use std::rc::Rc;

use elderpick_core::api::{Report, ServerId, Status};
use elderpick_platform::rtsp;
use elderpick_sessions::lifecycle::Input;
use tokio::task::spawn_local;

use super::{Call, HostConnection, HostConnections, HostMessage};
use crate::node::Node;

impl Node {
    /// Sends something that needs no answer, now or on the next connection that comes up.
    pub(crate) fn host_send(self: &Rc<Self>, server: ServerId, message: HostMessage) {
        if let Some(connection) = self.pick_connection(&server) {
            return connection.send(message);
        }
        let mut hosts = self.hosts.by_server.borrow_mut();
        let host = hosts.entry(server.clone()).or_default();
        host.pending.push(self.now(), message);
        let idle = host.opening == 0;
        if idle {
            self.open_later(server);
        }
    }

    /// Opens a connection to each host for which messages wait, whose last opening came to nothing.
    pub(crate) fn connect_for_pending(self: &Rc<Self>) {
        let (lifecycle, now) = (self.lifecycle.borrow(), self.now());
        let hosts = self.hosts.by_server.borrow();
        let waits = hosts.iter().filter(|(server, host)| {
            let listed = lifecycle.is_listed(server);
            listed
                && host.opening == 0
                && host.connections.is_empty()
                && host.pending.iter(now).next().is_some()
        });
        waits.for_each(|(server, _)| self.open_later(server.clone()));
    }

    /// Sends what waits for a host on a connection that is up, as much as that takes at once: what is more would end
    /// it.
    pub(super) fn send_pending(&self, server: &ServerId, connection: &HostConnection) {
        let now = self.now();
        while connection.free() {
            let next =
                self.hosts.by_server.borrow_mut().get_mut(server).and_then(|host| host.pending.pop(now));
            let Some(message) = next else { return };
            connection.send(message);
        }
    }

    /// Goes on with what waits for hosts whose connections have taken what they were told.
    pub(crate) fn send_all_pending(&self) {
        let connections: Vec<_> = {
            let hosts = self.hosts.by_server.borrow();
            let waits = hosts.iter().filter(|(_, host)| !host.pending.is_empty());
            let free = |host: &HostConnections| {
                host.connections.iter().find(|connection| connection.free()).cloned()
            };
            waits.filter_map(|(server, host)| Some((server.clone(), free(host)?))).collect()
        };
        connections.iter().for_each(|(server, connection)| self.send_pending(server, connection));
    }

    pub(crate) fn host_probe(self: &Rc<Self>, server: ServerId) {
        let session = self.hosts.new_call();
        match self.pick_connection(&server) {
            Some(connection) if connection.idle() => self.write_probe(&server, &connection, session),
            _ if self.may_open(&server) => self.open(server, Call::Load { session }),
            Some(connection) => self.write_probe(&server, &connection, session),
            // No connection is free: a call for load is left out, and nothing is held against the host.
            None => {}
        }
    }

    pub(super) fn write_probe(
        self: &Rc<Self>,
        server: &ServerId,
        connection: &Rc<HostConnection>,
        session: u64,
    ) {
        connection.stream.send(&rtsp::options(session, true));
        connection.asked.borrow_mut().insert(session);
        connection.used.set(self.now());
        // Who only waits must not keep the connection open: when it ends, what was out on it is told as over.
        let (node, connection, server) = (self.clone(), Rc::downgrade(connection), server.clone());
        spawn_local(async move {
            tokio::time::sleep(node.hosts.connect).await;
            let Some(connection) = connection.upgrade() else { return };
            if connection.asked.borrow_mut().remove(&session) {
                if connection.partial.get() {
                    node.retire(&connection);
                }
                let (status, report) = (Status::TimedOut, Report::default());
                node.feed(Input::Probed { server, status, report });
            }
        });
    }

    /// Tests a host on any connection; anything that it sends will do.
    pub(crate) fn host_test(self: &Rc<Self>, server: &ServerId) {
        if let Some(connection) = self.pick_connection(server) {
            let session = self.hosts.new_call();
            connection.stream.send(&rtsp::options(session, false));
        }
    }

    /// Whether all that was sent to hosts is written, as far as the list still has them.
    pub(crate) fn all_sent(&self) -> bool {
        let hosts = self.hosts.by_server.borrow();
        let lifecycle = self.lifecycle.borrow();
        hosts.iter().all(|(server, w)| {
            let written = w.connections.iter().all(|connection| connection.stream.written());
            written && (w.pending.is_empty() || !lifecycle.is_listed(server))
        })
    }
}
