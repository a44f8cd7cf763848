//! Answers whose head tells less than their host sends: the rest shows it, and it may come later than the answer.

use std::rc::Rc;
use std::time::Duration;

use elderpick_core::api::{Micros, ServerId, Status};
use elderpick_platform::rtsp::{self, Start, cseq};
use elderpick_sessions::lifecycle::Input;
use tokio::task::spawn_local;

use super::HostConnection;
use super::received::set_up_status;
use crate::node::Node;

/// The rest of an answer comes within this time: a segment that was lost is sent again after 200 ms.
const REST_WITHIN: Duration = Duration::from_millis(250);
/// Answers in a row that lacked what their offers have and were whole all the same: hosts whose descriptions look so
/// are taken at their word from then on.
const MOST_UNFOUNDED: u32 = 3;

impl Node {
    /// Whether a message is an answer that lacks what its offer has, so that its rest may still be on its way.
    pub(super) fn may_be_cut(&self, connection: &HostConnection, message: &rtsp::Message) -> bool {
        let Start::Response { status } = &message.start else { return false };
        let is_answer = message.cseq == cseq::SET_UP && set_up_status(*status) == Status::Ok;
        if !is_answer || self.hosts.unfounded_holds.get() >= MOST_UNFOUNDED {
            return false;
        }
        let out = connection.out.borrow();
        out.get(&message.session).is_some_and(|out| !out.offer.is_answered_by(&message.body))
    }

    /// Keeps an answer until something follows it on its connection, or nothing has for a while.
    pub(super) fn hold_answer(
        self: &Rc<Self>,
        server: &ServerId,
        connection: &Rc<HostConnection>,
        message: rtsp::Message,
    ) {
        tracing::debug!(%server, session = message.session, "an answer lacks what its offer has, and is held");
        *connection.held_answer.borrow_mut() = Some(message);
        let (node, server, connection) = (self.clone(), server.clone(), Rc::downgrade(connection));
        spawn_local(async move {
            tokio::time::sleep(REST_WITHIN).await;
            let Some(connection) = connection.upgrade() else { return };
            if connection.held_answer.borrow().is_some() {
                let unfounded = node.hosts.unfounded_holds.get();
                node.hosts.unfounded_holds.set(unfounded + 1);
                node.batch(|| node.pass_on_held_answer(&server, &connection));
            }
        });
    }

    /// Takes an answer that was held for whole.
    pub(super) fn pass_on_held_answer(self: &Rc<Self>, server: &ServerId, connection: &Rc<HostConnection>) {
        let held = connection.held_answer.borrow_mut().take();
        if let Some(message) = held {
            self.host_message(server, connection, &message);
        }
    }

    /// What came on a connection cannot be read: the answer right before it was cut. One that was held has not been
    /// passed on, and its attempt ends with the connection; one that was passed on is taken back.
    pub(super) fn distrust_last_answer(self: &Rc<Self>, server: &ServerId, connection: &HostConnection) {
        if connection.held_answer.borrow_mut().take().is_some() {
            self.hosts.unfounded_holds.set(0);
            self.hosts.cut_answers.set(self.hosts.cut_answers.get() + 1);
        }
        let Some((session, at)) = connection.last_answer.take() else { return };
        if self.now() - at <= REST_WITHIN.as_micros() as Micros {
            self.hosts.cut_answers.set(self.hosts.cut_answers.get() + 1);
            tracing::debug!(%server, session, "an answer that was passed on was cut");
            self.feed(Input::AnswerSpoilt { server: server.clone(), session });
        }
    }
}
