//! Set-ups on their way to hosts, and their withdrawal.

use std::collections::VecDeque;
use std::rc::Rc;

use elderpick_core::api::{Micros, ServerId};
use elderpick_platform::rtsp;
use elderpick_sessions::lifecycle::AttemptId;
use tokio::task::spawn_local;

use super::{Attempt, CONFIRMED, Call, LOOKS_APART, Line, MOST_LOOKS, RETIRED, WAITING};
use crate::link::Look;
use crate::node::Node;

impl Node {
    /// Whether anything has come that is to be heard before an attempt is written: from the viewer that asked, or on
    /// the line that it would go out on. It is told to the session lifecycle by this.
    pub(crate) fn hears_before(self: &Rc<Self>, one: &mut Attempt) -> bool {
        if one.looks >= MOST_LOOKS {
            return false;
        }
        one.looks += 1;
        let asked_on = self.lifecycle.borrow().asked_on(one.session);
        let mut look = asked_on.map_or(Look::Nothing, |conn| self.look_at_client(conn));
        if look == Look::Nothing
            && let Some(line) = self.line(&one.server)
        {
            look = line.link.look(|chunk| self.host_heard(&one.server, &line, chunk));
        }
        one.unread = look == Look::More;
        look != Look::Nothing
    }

    /// Writes a set-up on an idle line, on a new one, or with others if there may be no further. A bound of ours says
    /// nothing of the host: what it leaves no room for was never sent.
    pub(crate) fn host_set_up(self: &Rc<Self>, one: Attempt) {
        if !self.may_write(&one) {
            return self.feed(one.not_sent());
        }
        if one.unread {
            return self.look_later(one);
        }
        let server = one.server.clone();
        let line = self.line(&server);
        let load = line.as_ref().map_or(usize::MAX, |line| line.out.borrow().len());
        match line {
            Some(line) if load == 0 => self.write_set_up(&line, one),
            _ if self.may_open(&server) => self.open(server, Call::SetUp(one)),
            Some(line) if load < self.hosts.shared => self.write_set_up(&line, one),
            _ if self.may_have_more(&server) && self.make_room() => self.open(server, Call::SetUp(one)),
            _ => self.wait(one),
        }
    }

    /// Looks again once others had their turn; the attempt's time bounds how often.
    pub(super) fn look_later(self: &Rc<Self>, one: Attempt) {
        let node = self.clone();
        spawn_local(async move {
            tokio::time::sleep(LOOKS_APART).await;
            node.together(|| {
                node.attempts.borrow_mut().push_back(Attempt { looks: 0, unread: false, ..one })
            });
        });
    }

    pub(super) fn may_write(&self, one: &Attempt) -> bool {
        self.lifecycle.borrow().may_write(&one.server, one.session, one.attempt, self.now())
    }

    /// Lets a set-up wait for an opening to end, if there is one and room.
    pub(super) fn wait(self: &Rc<Self>, one: Attempt) {
        let mut all = self.hosts.ways.borrow_mut();
        let ways = all.get_mut(&one.server).filter(|ways| ways.opening > 0 && ways.waiting.len() < WAITING);
        match ways {
            Some(ways) => ways.waiting.push_back(one),
            None => {
                drop(all);
                self.feed(one.not_sent());
            }
        }
    }

    /// Takes all that wait.
    pub(super) fn waiting(&self, server: &ServerId) -> VecDeque<Attempt> {
        let mut ways = self.hosts.ways.borrow_mut();
        ways.get_mut(server).map(|ways| std::mem::take(&mut ways.waiting)).unwrap_or_default()
    }

    /// Writes what was looked at right before. A line that does not take the first byte is used no more, and nothing
    /// of the set-up has left: it goes another way.
    pub(super) fn write_set_up(self: &Rc<Self>, line: &Rc<Line>, one: Attempt) {
        let now = self.now();
        if line.link.send_now(&one.bytes) {
            line.out.borrow_mut().insert(one.session, (one.attempt, now));
            line.used.set(now);
        } else {
            self.retire(line);
            self.host_set_up(one);
        }
    }

    pub(crate) fn host_withdraw(self: &Rc<Self>, server: &ServerId, session: u64, attempt: AttemptId) {
        let mut ways = self.hosts.ways.borrow_mut();
        let Some(ways) = ways.get_mut(server) else { return };
        ways.waiting.retain(|one| one.attempt != attempt);
        for line in &ways.lines {
            let Some(written) = line.take_out(session, Some(attempt)) else { continue };
            line.say((Some(session), rtsp::teardown(session, None)));
            // What hangs in the middle of a message, has said nothing since, or has not taken all, is trusted with no other.
            if line.partial.get() || line.read.get() < written.1 || !line.link.free() {
                self.retire(line);
                self.doubt(line);
            }
        }
    }

    /// A line that has said nothing since a set-up was written may have to carry that still. It is tested: unless its
    /// host says anything soon, what is on its way to it is taken back, whatever else is out on it: the end of its viewer
    /// bounds when a set-up may arrive.
    pub(super) fn doubt(self: &Rc<Self>, line: &Rc<Line>) {
        line.link.send(&rtsp::options(self.hosts.new_call(), false));
        let (read, line) = (line.read.get(), Rc::downgrade(line));
        spawn_local(async move {
            tokio::time::sleep(CONFIRMED).await;
            if let Some(line) = line.upgrade()
                && (line.read.get() == read || !line.link.written())
            {
                line.link.abort();
            }
        });
    }

    /// Uses a line no more, and ends it after a while. What else is out on it keeps its chance, whose time-outs bound
    /// the wait, unless the line hangs in the middle of a message: then nothing can be read on it any more.
    pub(super) fn retire(self: &Rc<Self>, line: &Rc<Line>) {
        if !line.retired.replace(true) {
            let (line, node) = (Rc::downgrade(line), self.clone());
            spawn_local(async move {
                loop {
                    tokio::time::sleep(RETIRED).await;
                    let Some(line) = line.upgrade() else { return };
                    let hangs =
                        line.partial.get() && node.now() - line.read.get() >= RETIRED.as_micros() as Micros;
                    if line.out.borrow().is_empty() || hangs {
                        return line.link.abort();
                    }
                }
            });
        }
    }
}
