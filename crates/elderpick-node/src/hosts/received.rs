//! What hosts say, read and told to the session lifecycle.

use std::rc::Rc;

use elderpick_core::api::{Note, Report, ServerId, Status};
use elderpick_platform::DecodeError;
use elderpick_platform::rtsp::{self, Start, cseq};
use elderpick_sessions::lifecycle::Input;

use super::cut_answers::PassedOn;
use super::{HostConnection, POLLED_CHUNKS};
use crate::buffered_stream::CloseReason;
use crate::node::Node;

impl Node {
    /// Takes what came on a connection; `false` if it cannot be read. All that came is told before anything is sent.
    pub(super) fn host_bytes(
        self: &Rc<Self>,
        server: &ServerId,
        connection: &Rc<HostConnection>,
        chunk: &[u8],
    ) -> bool {
        if self.closing.get() {
            return true;
        }
        let now = self.now();
        if connection.partial.get() {
            connection.pause.set(connection.pause.get().max(now - connection.read.get()));
        }
        connection.read.set(now);
        self.batch(|| {
            if now - connection.reported_at.get() > 100_000 {
                connection.reported_at.set(now);
                self.feed(Input::Heard { server: server.clone() });
            }
            let before = self.inputs.borrow().len();
            let mut goes_on = self.decode_host_bytes(server, connection, chunk);
            let answers = |input: &Input| matches!(input, Input::Answer { .. });
            if goes_on && self.inputs.borrow().iter().skip(before).any(answers) {
                // Whether it still stands: its host may have said more by now.
                connection.stream.poll_input(POLLED_CHUNKS, |chunk| {
                    goes_on = self.decode_host_bytes(server, connection, chunk);
                    goes_on
                });
            }
            if !goes_on {
                self.distrust_answers(before);
            }
            goes_on
        })
    }

    /// Takes answers that came right before what cannot be read for spoilt ones: a head that understates its length
    /// leaves the end of its description behind as noise.
    pub(super) fn distrust_answers(&self, from: usize) {
        for input in self.inputs.borrow_mut().iter_mut().skip(from) {
            if let Input::Answer { server, session, attempt: Some(attempt), .. } = input {
                *input = Input::ConnectionLost {
                    server: server.clone(),
                    session: *session,
                    attempt: *attempt,
                    begun: true,
                };
            }
        }
    }

    pub(super) fn decode_host_bytes(
        self: &Rc<Self>,
        server: &ServerId,
        connection: &Rc<HostConnection>,
        chunk: &[u8],
    ) -> bool {
        let mut decoder = connection.decoder.borrow_mut();
        decoder.push(chunk);
        loop {
            match decoder.message().and_then(|message| message.map(intact).transpose()) {
                Ok(Some(message)) => {
                    let pause = connection.pause.take();
                    self.hosts.delivery.borrow_mut().came_in_pieces(pause);
                    self.take_host_message(server, connection, message, pause);
                }
                Ok(None) => break,
                Err(why) => {
                    self.hosts.unreadable.set(self.hosts.unreadable.get() + 1);
                    tracing::debug!(server = %server, %why, "a host sent what cannot be read");
                    self.distrust_last_answer(server, connection);
                    connection.stream.set_close_reason(CloseReason::Unreadable);
                    connection.stream.end(true);
                    return false;
                }
            }
        }
        connection.partial.set(decoder.partial());
        true
    }

    pub(super) fn host_message(
        self: &Rc<Self>,
        server: &ServerId,
        connection: &Rc<HostConnection>,
        message: &rtsp::Message,
    ) {
        let (session, server) = (message.session, server.clone());
        tracing::trace!(server = %server, ?message, "message from a host");
        match &message.start {
            Start::Response { status: 100..=199 } => {}
            Start::Response { status } => match message.cseq {
                cseq::SET_UP => self.set_up_answered(server, connection, *status, message),
                cseq::TEARDOWN if *status == 200 => {
                    connection.unconfirmed.borrow_mut().remove(&session);
                    self.feed(Input::ReleaseConfirmed { server, session });
                }
                cseq::OPTIONS if connection.asked.borrow_mut().remove(&session) => {
                    let status = if *status == 200 { Status::Ok } else { Status::Failed };
                    self.feed(Input::Probed { server, status, report: self.report(message) });
                }
                _ => {}
            },
            Start::Request { method } => match method.as_str() {
                "TEARDOWN" => {
                    let attempt = connection.take_out(session, None).map(|out| out.attempt);
                    // An end that nobody can be told of any more is left to the next process.
                    if !self.shutting_down.get() || self.hears_ends() {
                        connection.stream.send(&rtsp::response(200, message.cseq, session));
                    }
                    let (cause, report) = (message.cause().unwrap_or(0), self.report(message));
                    self.feed(Input::Released { server, session, attempt, cause, report });
                }
                "ANNOUNCE" => {
                    if let Some(note) = note(message) {
                        self.feed(Input::Note { server, session, note });
                    }
                }
                "OPTIONS" => connection.stream.send(&rtsp::response(200, message.cseq, session)),
                _ => {}
            },
        }
    }

    /// A host has answered a set-up.
    fn set_up_answered(
        self: &Rc<Self>,
        server: ServerId,
        connection: &HostConnection,
        status: u16,
        message: &rtsp::Message,
    ) {
        let session = message.session;
        let out = connection.take_out(session, None);
        let attempt = out.as_ref().map(|out| out.attempt);
        match (set_up_status(status), attempt) {
            (Status::Ok, attempt) => {
                let passed_on = out.map(|out| PassedOn::new(session, self.now(), out.class, &message.body));
                *connection.last_answer.borrow_mut() = passed_on;
                let description = message.body.clone();
                self.feed(Input::Answer { server, session, attempt, description, ended: None });
            }
            (status, Some(attempt)) => {
                let report = self.report(message);
                self.feed(Input::Refused { server, session, attempt, status, report });
            }
            // Of an attempt that was withdrawn here, or of none.
            (_, None) => {}
        }
    }

    /// A host's report, by the names that the settings give.
    pub(super) fn report(&self, message: &rtsp::Message) -> Report {
        let mut report = Report::default();
        for (name, value) in message.state() {
            match name {
                "x0" | "util" | "utilization" => report.link = Some(value),
                "x1" => report.uplink = Some(value),
                "inflight" | "outstanding" => report.streams = Some(value),
                _ => {}
            }
        }
        report
    }
}

/// Passes a message on, unless it shows that an answer overstated its length: one that took what its host said next
/// along, or what is left of that.
fn intact(message: rtsp::Message) -> Result<rtsp::Message, DecodeError> {
    match &message.start {
        Start::Response { .. } if rtsp::holds_a_message(&message.body) => {
            Err(DecodeError("an answer holds another message"))
        }
        Start::Request { method } if !rtsp::is_known_method(method) => {
            Err(DecodeError("a method that the protocol does not have"))
        }
        _ => Ok(message),
    }
}

/// What an answer to a set-up means.
pub(super) fn set_up_status(status: u16) -> Status {
    match status {
        200 => Status::Ok,
        453 => Status::Full,
        454 => Status::Ignored,
        504 => Status::Reset,
        _ => Status::Failed,
    }
}

fn note(message: &rtsp::Message) -> Option<Note> {
    let amount: f64 = message.header("P-Amount")?.trim().parse().ok().filter(|n: &f64| n.is_finite())?;
    Some(match message.header("X-Note")?.trim() {
        "d" => Note::Delivered(amount),
        "r" => Note::Rung(amount.max(0.0) as usize),
        "l" => Note::LinkAsked(amount),
        "u" => Note::UplinkAsked(amount),
        _ => return None,
    })
}
