//! Messages to hosts that are no set-ups: releases, rungs, calls for load, tests.

use std::rc::Rc;

use elderpick_core::api::{Report, ServerId, Status};
use elderpick_platform::rtsp;
use elderpick_sessions::lifecycle::Input;
use tokio::task::spawn_local;

use super::{Call, Line, Message, Ways};
use crate::node::Node;

impl Node {
    /// Says something that needs no answer, now or on the next line that comes up.
    pub(crate) fn host_tell(self: &Rc<Self>, server: ServerId, told: Message) {
        if let Some(line) = self.line(&server) {
            return line.say(told);
        }
        let mut ways = self.hosts.ways.borrow_mut();
        let ways = ways.entry(server.clone()).or_default();
        ways.pending.push(self.now(), told);
        let idle = ways.opening == 0;
        if idle {
            self.open_later(server);
        }
    }

    /// Opens a line to each host for which words wait, whose last opening came to nothing.
    pub(crate) fn host_say_kept(self: &Rc<Self>) {
        let (lifecycle, now) = (self.lifecycle.borrow(), self.now());
        let ways = self.hosts.ways.borrow();
        let waits = ways.iter().filter(|(server, ways)| {
            let listed = lifecycle.is_listed(server);
            listed && ways.opening == 0 && ways.lines.is_empty() && ways.pending.iter(now).next().is_some()
        });
        waits.for_each(|(server, _)| self.open_later(server.clone()));
    }

    /// Says what waits for a host on a line that is up, as much as that takes at once: what is more would end it.
    pub(super) fn say_pending(&self, server: &ServerId, line: &Line) {
        let now = self.now();
        while line.free() {
            let next = self.hosts.ways.borrow_mut().get_mut(server).and_then(|ways| ways.pending.pop(now));
            let Some(message) = next else { return };
            line.say(message);
        }
    }

    /// Goes on with what waits for hosts whose lines have taken what they were told.
    pub(crate) fn hosts_say_pending(&self) {
        let lines: Vec<_> = {
            let ways = self.hosts.ways.borrow();
            let waits = ways.iter().filter(|(_, ways)| !ways.pending.is_empty());
            let free = |ways: &Ways| ways.lines.iter().find(|line| line.free()).cloned();
            waits.filter_map(|(server, ways)| Some((server.clone(), free(ways)?))).collect()
        };
        lines.iter().for_each(|(server, line)| self.say_pending(server, line));
    }

    pub(crate) fn host_probe(self: &Rc<Self>, server: ServerId) {
        let session = self.hosts.new_call();
        match self.line(&server) {
            Some(line) if line.idle() => self.write_probe(&server, &line, session),
            _ if self.may_open(&server) => self.open(server, Call::Load { session }),
            Some(line) => self.write_probe(&server, &line, session),
            // No connection is free: a call for load is left out, and nothing is held against the host.
            None => {}
        }
    }

    pub(super) fn write_probe(self: &Rc<Self>, server: &ServerId, line: &Rc<Line>, session: u64) {
        line.link.send(&rtsp::options(session, true));
        line.asked.borrow_mut().insert(session);
        line.used.set(self.now());
        // Who only waits must not keep the connection open: when it ends, what was out on it is told as over.
        let (node, line, server) = (self.clone(), Rc::downgrade(line), server.clone());
        spawn_local(async move {
            tokio::time::sleep(node.hosts.connect).await;
            let Some(line) = line.upgrade() else { return };
            if line.asked.borrow_mut().remove(&session) {
                if line.partial.get() {
                    node.retire(&line);
                }
                let (status, report) = (Status::TimedOut, Report::default());
                node.feed(Input::Probed { server, status, report });
            }
        });
    }

    /// Tests a host on any line; any word from it will do.
    pub(crate) fn host_test(self: &Rc<Self>, server: &ServerId) {
        if let Some(line) = self.line(server) {
            let session = self.hosts.new_call();
            line.link.send(&rtsp::options(session, false));
        }
    }

    /// Whether all that was said to hosts is written, as far as the list still has them.
    pub(crate) fn hosts_told(&self) -> bool {
        let ways = self.hosts.ways.borrow();
        let lifecycle = self.lifecycle.borrow();
        ways.iter().all(|(server, w)| {
            let written = w.lines.iter().all(|line| line.link.written());
            written && (w.pending.is_empty() || !lifecycle.is_listed(server))
        })
    }
}
