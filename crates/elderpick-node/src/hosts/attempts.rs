//! Set-ups on their way to hosts, and their withdrawal.

use std::collections::VecDeque;
use std::rc::Rc;

use elderpick_core::api::{Micros, ServerId};
use elderpick_platform::rtsp;
use elderpick_sessions::lifecycle::AttemptId;
use tokio::task::spawn_local;

use super::{
    Attempt, CONFIRM_WITHIN, Call, HostConnection, HostMessage, MOST_POLLS, MOST_WAITING,
    MOST_WAITS_FOR_NEWS, POLL_PAUSE, POLLED_CHUNKS, RETIRED_FOR, SetUpOut,
};
use crate::buffered_stream::{CloseReason, PollResult};
use crate::node::Node;

impl Node {
    /// Whether anything has come that is to be heard before an attempt is written: from the viewer that asked, or on
    /// the connection that it would go out on. It is told to the session lifecycle by this.
    pub(crate) fn poll_before_write(self: &Rc<Self>, one: &mut Attempt) -> bool {
        if one.polls >= MOST_POLLS {
            return false;
        }
        one.polls += 1;
        let asked_on = self.lifecycle.borrow().asked_on(one.session);
        if one.unread && asked_on.is_some_and(|conn| self.has_unread(conn)) {
            // The connection's own task reads it, in its turn.
            return false;
        }
        let mut found = asked_on.map_or(PollResult::Nothing, |conn| self.poll_client(conn));
        if found == PollResult::Nothing
            && let Some(connection) = self.pick_connection(&one.server)
        {
            found = connection
                .stream
                .poll_input(POLLED_CHUNKS, |chunk| self.host_bytes(&one.server, &connection, chunk));
        }
        one.unread = found == PollResult::More;
        found == PollResult::All
    }

    /// Writes a set-up on an idle connection, on a new one, or with others if there may be no further. A bound of
    /// ours says nothing of the host: what it leaves no room for was never sent.
    pub(crate) fn host_set_up(self: &Rc<Self>, mut one: Attempt) {
        if !self.may_write(&one) {
            return self.feed(one.not_sent());
        }
        if self.stood_still() && one.waits_for_news < MOST_WAITS_FOR_NEWS {
            one.waits_for_news += 1;
            return self.poll_later(one);
        }
        if one.unread {
            return self.poll_later(one);
        }
        let server = one.server.clone();
        let connection = self.pick_connection(&server);
        let load = connection.as_ref().map_or(usize::MAX, |connection| connection.out.borrow().len());
        match connection {
            Some(connection) if load == 0 => self.write_set_up(&connection, one),
            _ if self.may_open(&server) => self.open(server, Call::SetUp(one)),
            Some(connection) if load < self.hosts.shared => self.write_set_up(&connection, one),
            _ if self.may_have_more(&server) && self.make_room() => self.open(server, Call::SetUp(one)),
            _ => self.wait(one),
        }
    }

    /// Looks again once others had their turn; the attempt's time bounds how often.
    pub(super) fn poll_later(self: &Rc<Self>, one: Attempt) {
        let node = self.clone();
        spawn_local(async move {
            tokio::time::sleep(POLL_PAUSE).await;
            let one = Attempt { polls: 0, ..one };
            node.batch(|| node.attempts.borrow_mut().push_back(one));
        });
    }

    pub(super) fn may_write(&self, one: &Attempt) -> bool {
        self.lifecycle.borrow().may_write(&one.server, one.session, one.attempt, self.now())
    }

    /// Lets a set-up wait for an opening to end, if there is one and room.
    pub(super) fn wait(self: &Rc<Self>, one: Attempt) {
        let mut hosts = self.hosts.by_server.borrow_mut();
        let host =
            hosts.get_mut(&one.server).filter(|host| host.opening > 0 && host.waiting.len() < MOST_WAITING);
        match host {
            Some(host) => host.waiting.push_back(one),
            None => {
                drop(hosts);
                self.feed(one.not_sent());
            }
        }
    }

    /// Takes all that wait.
    pub(super) fn waiting(&self, server: &ServerId) -> VecDeque<Attempt> {
        let mut hosts = self.hosts.by_server.borrow_mut();
        hosts.get_mut(server).map(|host| std::mem::take(&mut host.waiting)).unwrap_or_default()
    }

    /// Writes what was looked at right before. A connection that does not take the first byte is used no more, and
    /// nothing of the set-up has left: it goes another way.
    pub(super) fn write_set_up(self: &Rc<Self>, connection: &Rc<HostConnection>, one: Attempt) {
        let now = self.now();
        if connection.stream.send_now(&one.bytes) {
            let Attempt { attempt, class, offer, .. } = one;
            let out = SetUpOut { attempt, written_at: now, class, offer };
            connection.out.borrow_mut().insert(one.session, out);
            connection.used.set(now);
        } else {
            self.retire(connection);
            self.host_set_up(one);
        }
    }

    pub(crate) fn host_withdraw(self: &Rc<Self>, server: &ServerId, session: u64, attempt: AttemptId) {
        let mut hosts = self.hosts.by_server.borrow_mut();
        let Some(host) = hosts.get_mut(server) else { return };
        host.waiting.retain(|one| one.attempt != attempt);
        for connection in &host.connections {
            let Some(out) = connection.take_out(session, Some(attempt)) else { continue };
            connection.send(HostMessage { ends: Some(session), bytes: rtsp::teardown(session, None) });
            // What hangs in the middle of a message, has said nothing since, or has not taken all, is trusted with no
            // other.
            if connection.partial.get() || connection.read.get() < out.written_at || !connection.stream.free()
            {
                self.retire(connection);
                self.abort_unless_heard(connection);
            }
        }
    }

    /// A connection that has said nothing since a set-up was written may have to carry that still. It is tested:
    /// unless its host says anything soon, what is on its way to it is taken back, whatever else is out on it: the
    /// end of its viewer bounds when a set-up may arrive.
    pub(super) fn abort_unless_heard(self: &Rc<Self>, connection: &Rc<HostConnection>) {
        connection.stream.send(&rtsp::options(self.hosts.new_call(), false));
        let (read, connection) = (connection.read.get(), Rc::downgrade(connection));
        spawn_local(async move {
            tokio::time::sleep(CONFIRM_WITHIN).await;
            if let Some(connection) = connection.upgrade()
                && (connection.read.get() == read || !connection.stream.written())
            {
                connection.abort(CloseReason::Unconfirmed);
            }
        });
    }

    /// Uses a connection no more, and ends it after a while. What else is out on it keeps its chance, whose time-outs
    /// bound the wait, unless the connection hangs in the middle of a message: then nothing can be read on it any
    /// more.
    pub(super) fn retire(self: &Rc<Self>, connection: &Rc<HostConnection>) {
        if !connection.retired.replace(true) {
            let (connection, node) = (Rc::downgrade(connection), self.clone());
            spawn_local(async move {
                loop {
                    tokio::time::sleep(RETIRED_FOR).await;
                    let Some(connection) = connection.upgrade() else { return };
                    let hangs = connection.partial.get()
                        && node.now() - connection.read.get() >= RETIRED_FOR.as_micros() as Micros;
                    if connection.out.borrow().is_empty() || hangs {
                        return connection.abort(CloseReason::Retired);
                    }
                }
            });
        }
    }
}
