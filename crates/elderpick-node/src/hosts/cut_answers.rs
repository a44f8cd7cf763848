//! Answers whose head tells less than their host sends: the rest shows it, and it may come later than the answer.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use elderpick_core::api::{Micros, ServerId, Status};
use elderpick_platform::description::Outline;
use elderpick_platform::rtsp::{self, Start, cseq};
use elderpick_sessions::delivery::is_pause;
use elderpick_sessions::descriptions::REST_WITHIN;
use elderpick_sessions::lifecycle::{AttemptId, Input};
use tokio::task::spawn_local;

use super::received::set_up_status;
use super::{HostConnection, POLLED_CHUNKS};
use crate::node::Node;

/// An answer to a set-up that is out, as it is told from others of its host.
pub(super) struct AnswerKind {
    class: Arc<str>,
    outline: Outline,
}

/// The last answer of a connection, which waits for what follows it.
pub(super) struct HeldAnswer {
    message: rtsp::Message,
    kind: AnswerKind,
    /// It came in pieces with a pause between them.
    in_pieces: bool,
    /// Tells it from one that is held later on the same connection.
    number: u64,
}

/// The last answer of a connection, which was passed on.
pub(super) struct PassedOn {
    session: u64,
    at: Micros,
    kind: AnswerKind,
}

impl PassedOn {
    /// An answer with this description was passed on.
    pub(super) fn new(session: u64, at: Micros, class: Arc<str>, description: &[u8]) -> PassedOn {
        PassedOn { session, at, kind: AnswerKind { class, outline: Outline::of(description) } }
    }
}

impl Node {
    /// Takes a message, which came with `pause` as the longest between its pieces. An answer that may be cut waits for
    /// its rest.
    pub(super) fn take_host_message(
        self: &Rc<Self>,
        server: &ServerId,
        connection: &Rc<HostConnection>,
        message: rtsp::Message,
        pause: Micros,
    ) {
        if let Some(PassedOn { kind, .. }) = connection.last_answer.take() {
            self.hosts.outlines.borrow_mut().was_whole(server, &kind.class, kind.outline);
        }
        self.pass_on_held_answer(server, connection);
        let doubtful = self.doubtful_answer(server, connection, &message);
        let time = doubtful.and_then(|(attempt, kind)| {
            let left = self.lifecycle.borrow().time_left(message.session, self.now())?;
            Some((attempt, kind, self.hosts.delivery.borrow().hold_time(left)?))
        });
        match time {
            Some((attempt, kind, time)) => {
                let number = self.hosts.held_answers.get();
                let held = HeldAnswer { message, kind, in_pieces: is_pause(pause), number };
                self.hold_answer(server, connection, held, attempt, time);
            }
            None => self.host_message(server, connection, &message),
        }
    }

    /// The attempt that a message answers and the kind of its answer, unless that is known to be whole.
    fn doubtful_answer(
        &self,
        server: &ServerId,
        connection: &HostConnection,
        message: &rtsp::Message,
    ) -> Option<(AttemptId, AnswerKind)> {
        let Start::Response { status } = &message.start else { return None };
        if message.cseq != cseq::SET_UP || set_up_status(*status) != Status::Ok {
            return None;
        }
        let out = connection.out.borrow();
        let out = out.get(&message.session)?;
        let outline = Outline::of(&message.body);
        let answers_offer = || out.offer.are_answered_by(&message.body);
        let known = self.hosts.outlines.borrow().is_known(server, &out.class, &outline, answers_offer);
        (!known).then(|| (out.attempt, AnswerKind { class: out.class.clone(), outline }))
    }

    /// Keeps an answer until something follows it on its connection, or nothing has for a while.
    fn hold_answer(
        self: &Rc<Self>,
        server: &ServerId,
        connection: &Rc<HostConnection>,
        held: HeldAnswer,
        attempt: AttemptId,
        time: Micros,
    ) {
        let (session, number) = (held.message.session, held.number);
        tracing::debug!(%server, session, time, outline = ?held.kind.outline, "an answer is held");
        self.hosts.held_answers.set(number + 1);
        *connection.held_answer.borrow_mut() = Some(held);
        self.feed(Input::AnswerHeld { server: server.clone(), session, attempt });
        let (node, server, connection) = (self.clone(), server.clone(), Rc::downgrade(connection));
        spawn_local(async move {
            tokio::time::sleep(Duration::from_micros(time as u64)).await;
            if let Some(connection) = connection.upgrade() {
                node.end_hold(&server, &connection, number);
            }
        });
    }

    /// The time of a hold is over. What has come by then and was not read yet may show that the answer was cut.
    fn end_hold(self: &Rc<Self>, server: &ServerId, connection: &Rc<HostConnection>, number: u64) {
        let is_held = || connection.held_answer.borrow().as_ref().is_some_and(|held| held.number == number);
        if !is_held() {
            return;
        }
        connection.stream.poll_input(POLLED_CHUNKS, |chunk| self.host_bytes(server, connection, chunk));
        if is_held() {
            self.batch(|| self.pass_on_held_answer(server, connection));
        }
    }

    /// Takes an answer that was held for whole.
    pub(super) fn pass_on_held_answer(self: &Rc<Self>, server: &ServerId, connection: &Rc<HostConnection>) {
        let held = connection.held_answer.borrow_mut().take();
        if let Some(HeldAnswer { message, kind, in_pieces, .. }) = held {
            if !in_pieces {
                self.hosts.delivery.borrow_mut().held_for_nothing();
            }
            self.hosts.outlines.borrow_mut().was_whole(server, &kind.class, kind.outline);
            self.host_message(server, connection, &message);
        }
    }

    /// Takes all answers that are held for whole: no time is left to wait.
    pub(crate) fn pass_on_all_held_answers(self: &Rc<Self>) {
        let held: Vec<_> = {
            let hosts = self.hosts.by_server.borrow();
            let connections = hosts.iter().flat_map(|(server, host)| {
                host.connections.iter().map(|connection| (server.clone(), connection.clone()))
            });
            connections.filter(|(_, connection)| connection.held_answer.borrow().is_some()).collect()
        };
        self.batch(|| {
            held.iter().for_each(|(server, connection)| self.pass_on_held_answer(server, connection));
        });
    }

    /// What came on a connection cannot be read: the answer right before it was cut. One that was held has not been
    /// passed on, and its attempt ends with the connection; one that was passed on is taken back.
    pub(super) fn distrust_last_answer(self: &Rc<Self>, server: &ServerId, connection: &HostConnection) {
        if let Some(held) = connection.held_answer.borrow_mut().take() {
            self.hosts.delivery.borrow_mut().was_cut();
            self.hosts.cut_answers.set(self.hosts.cut_answers.get() + 1);
            tracing::debug!(%server, session = held.message.session, "an answer that was held was cut");
        }
        let Some(PassedOn { session, at, kind }) = connection.last_answer.take() else { return };
        if self.now() - at <= REST_WITHIN {
            self.hosts.delivery.borrow_mut().was_cut();
            self.hosts.cut_answers.set(self.hosts.cut_answers.get() + 1);
            tracing::debug!(%server, session, outline = ?kind.outline, "an answer that was passed on was cut");
            self.hosts.outlines.borrow_mut().was_cut(server, &kind.class, &kind.outline);
            self.feed(Input::AnswerSpoilt { server: server.clone(), session });
        }
    }
}
