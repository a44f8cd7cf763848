//! Attempts to set a session up, and the final answer.
//!
//! kind: decisions

use elderpick_core::api::{Event, Micros, Report, RequestId, ServerId, Status};

use super::{Answer, Decide, Engine, Output, Session, SetUp, State, Timer, Use, Via, Word};
use crate::config::Reporting;
use crate::play::Play;

impl<D: Decide> Engine<D> {
    /// Whether a set-up may be written to the server now: the list may have changed since it was decided.
    pub fn may_write(&self, server: &ServerId) -> bool {
        self.members.get(server).is_some_and(|s| self.core.may_write(s.entry.state))
    }

    /// How often the server was lost so far; a set-up is decided on the process that runs until the next time.
    pub fn falls(&self, server: &ServerId) -> u64 {
        self.falls.get(server).copied().unwrap_or(0)
    }

    /// What is to become of a set-up that was decided when the server had been lost `falls` times. The list is late: a
    /// server that came back cold passes for warm until it is told, so that each gateway hears it from the server
    /// itself before it writes.
    pub fn word(&self, server: &ServerId, falls: u64) -> Word {
        if !self.may_write(server) {
            Word::Withdrawn
        } else if self.falls(server) != falls {
            Word::Lost
        } else if self.deaf.contains(server) {
            Word::Wait
        } else {
            Word::Write
        }
    }

    pub(super) fn rate(&mut self, id: RequestId, rung: usize) {
        let Some(session) = self.sessions.get_mut(&id) else { return };
        session.rung = rung;
        let play = match &mut session.state {
            State::Playing(play) => Some(play),
            State::Flowing => None,
            State::Placing | State::Clearing { .. } | State::Releasing(_) => return,
        };
        if let Some(server) = &session.server {
            self.counts.rungs += 1;
            self.out.push(Output::Use(Use::Rung { session: session.alias, rung }));
            if let Some(play) = play {
                play.change(rung);
            }
            let (server, alias, order) = (server.clone(), session.alias, self.counts.rungs);
            self.out.push(Output::Rung { server, alias, rung, order });
        }
    }

    pub(super) fn send(&mut self, now: Micros, id: RequestId, server: ServerId, timeout: Micros) {
        let Some(session) = self.sessions.get_mut(&id) else { return };
        let attempt = session.attempts;
        session.attempts += 1;
        session.server = Some(server.clone());
        self.counts.attempts += 1;
        self.counts.further += u64::from(attempt > 0);
        self.timers.insert((now + timeout.max(0), Timer::Attempt(id, attempt)));
        let set_up = Output::SetUp {
            id,
            attempt,
            server: server.clone(),
            alias: session.alias,
            via: session.wanted.via,
            class: session.wanted.class,
            title: session.wanted.title.clone(),
            rung: session.rung,
            trace: session.wanted.trace.clone(),
        };
        self.follow(&server);
        self.out.push(set_up);
    }

    pub(super) fn set_up(
        &mut self,
        now: Micros,
        id: RequestId,
        attempt: usize,
        result: SetUp,
        report: Report,
    ) {
        let current = |s: &&mut Session| s.attempts == attempt + 1 && matches!(s.state, State::Placing);
        let Some(session) = self.sessions.get_mut(&id).filter(current) else { return };
        let token = session.token;
        let (state, answer) = match (result, session.wanted.via) {
            (SetUp::Flows { at, stream_id }, Via::Srt) => {
                (State::Flowing, Answer::Flows { token, at, stream_id })
            }
            (SetUp::Plays { base, manifest }, Via::Hls) => {
                let ladder = self.config.ladder_bits(session.wanted.class);
                match Play::new(&base, &manifest, session.rung, ladder, &self.config.limits, now) {
                    Ok(play) => {
                        let manifest = play.manifest(token);
                        (State::Playing(Box::new(play)), Answer::Plays { token, manifest })
                    }
                    Err(why) => {
                        let server = session.server.as_ref().map(|s| &*s.0);
                        tracing::warn!(session = id.0, server, attempt, %why, "the host's playlist cannot be used");
                        return self.attempt_failed(now, id, attempt, Status::Failed, report);
                    }
                }
            }
            (SetUp::Failed(status), _) => return self.attempt_failed(now, id, attempt, status, report),
            _ => return self.attempt_failed(now, id, attempt, Status::Failed, report),
        };
        session.state = state;
        let began = Use::Began {
            session: session.alias,
            payer: session.wanted.payer.clone(),
            class: session.wanted.class,
            title: session.wanted.title.clone(),
            rung: session.rung,
        };
        self.out.push(Output::Use(began));
        session.seen = now;
        self.counts.played += 1;
        for ask in std::mem::take(&mut session.asks) {
            self.asks.remove(&ask);
            self.out.push(Output::Answer { ask, answer: answer.clone() });
        }
        self.timers.insert((now + self.config.limits.silence, Timer::Silence(id)));
        let server = session.server.clone();
        // A host that was lost while the attempt was out is listened to again.
        if let Some(server) = &server {
            self.follow(server);
        }
        self.tell(now, Event::Playing { id, attempt });
        if let Some(server) = server.filter(|_| self.config.reporting == Reporting::Answers) {
            self.tell(now, Event::Probed { server, status: Status::Ok, report });
        }
    }

    /// An attempt is over and nothing plays. Where it may have run the host is told that it is not wanted.
    pub(super) fn attempt_failed(
        &mut self,
        now: Micros,
        id: RequestId,
        attempt: usize,
        status: Status,
        report: Report,
    ) {
        let Some(session) = self.sessions.get_mut(&id) else { return };
        session.last = status;
        let may_run = matches!(status, Status::TimedOut | Status::Reset | Status::Cancelled | Status::Failed);
        if let Some(server) = session.server.take().filter(|_| may_run) {
            let alias = session.alias;
            let seats = self.config.classes[session.wanted.class].seats.is_some();
            self.out.push(Output::Release { id: seats.then_some(id), server, alias });
            if seats {
                session.state = State::Clearing { attempt, status, report };
                return;
            }
        }
        self.tell(now, Event::Outcome { id, attempt, status, closed: false, report });
    }

    /// The host has let go of an attempt that failed.
    pub(super) fn cleared(
        &mut self,
        now: Micros,
        id: RequestId,
        attempt: usize,
        status: Status,
        report: Report,
    ) {
        self.tell(now, Event::Outcome { id, attempt, status, closed: false, report });
        // Those who waited were answered meanwhile, and nothing more came of it.
        let idle = |s: &Session| matches!(s.state, State::Placing) && s.server.is_none() && s.asks.is_empty();
        if self.sessions.get(&id).is_some_and(idle) {
            self.forget(id, true);
        }
    }

    /// Answers at once all who wait, and ends what is still out.
    pub(super) fn give_up(&mut self, id: RequestId, answer: Answer) {
        let Some(session) = self.sessions.get_mut(&id) else { return };
        for ask in std::mem::take(&mut session.asks) {
            self.asks.remove(&ask);
            self.out.push(Output::Answer { ask, answer: answer.clone() });
        }
        if session.server.is_some() {
            self.out.push(Output::Cancel { id, attempt: session.attempts - 1 });
            self.release(id, Status::Cancelled);
        } else if !matches!(session.state, State::Clearing { .. }) {
            self.forget(id, true);
        }
    }
}
