//! Attempts to set a session up at a host, and what its host says to them.

use bytes::Bytes;
use elderpick_core::api::{Event, Micros, Report, RequestId, ServerId, ServerState, Status};
use elderpick_platform::viewer::cause;

use super::{AttemptId, Lifecycle, Output, Session, Stage, Timer};

/// A host has set a session up.
pub(super) struct HostAnswer {
    pub(super) server: ServerId,
    pub(super) session: u64,
    /// The attempt that is out on the connection that this came on.
    pub(super) attempt: Option<AttemptId>,
    pub(super) description: Bytes,
    /// Its host has ended it since, for this cause.
    pub(super) ended: Option<u8>,
}

impl Lifecycle {
    /// Makes an attempt at a host, if the list still has it.
    pub(super) fn send(
        &mut self,
        now: Micros,
        session: u64,
        server: ServerId,
        timeout: Micros,
        out: &mut Vec<Output>,
    ) {
        let Some(held) = self.sessions.get_mut(&session) else { return };
        let (Some(set_up), Stage::Waiting) = (&held.set_up, &held.stage) else { return };
        held.sends += 1;
        let entry = self.servers.get(&server).map(|s| &s.listed.entry);
        let Some(entry) = entry.filter(|e| e.state == ServerState::Up && timeout > 0) else {
            let (id, attempt, status) = (RequestId(session), held.sends - 1, Status::Ignored);
            let report = Report::default();
            return self.events.push_back(Event::Outcome { id, attempt, status, closed: false, report });
        };
        let until = held.deadline.min(now + timeout);
        self.attempts += 1;
        let attempt = self.attempts;
        // Ends that are known by now are of an attempt before.
        self.recent_ends.remove(now, &(session, Some(server.clone())));
        held.stage = Stage::Out { server: server.clone(), attempt, until, started: entry.started };
        (held.sent_at, held.answered_at) = (Some(now), None);
        let at = server.clone();
        out.push(Output::SetUp {
            server,
            session,
            attempt,
            class: set_up.class.clone(),
            title: set_up.title.clone(),
            patience: until - now,
            rung: held.rung,
            description: set_up.description.clone(),
        });
        self.set_out_at(&at, session, true);
        self.set_timer(until, Timer::Attempt(session, attempt));
    }

    /// The attempt at a host has ended without a session.
    pub(super) fn end_attempt(
        &mut self,
        server: &ServerId,
        session: u64,
        attempt: AttemptId,
        status: Status,
        report: Report,
    ) {
        let held = self.sessions.get_mut(&session).filter(|h| h.is_out_as(server, attempt));
        let Some(held) = held else { return };
        held.stage = Stage::Waiting;
        let (id, attempt) = (RequestId(session), held.sends - 1);
        self.counts.count_attempt(status);
        self.set_out_at(server, session, false);
        self.events.push_back(Event::Outcome { id, attempt, status, closed: false, report });
    }

    /// A host has answered an attempt in time, and its answer is held: the attempt lasts as long as its viewer waits.
    pub(super) fn answer_held(&mut self, now: Micros, server: &ServerId, session: u64, attempt: AttemptId) {
        let held = self.sessions.get_mut(&session).filter(|held| held.is_out_as(server, attempt));
        let Some(held) = held else { return };
        held.answered_at = Some(now);
        let deadline = held.deadline;
        if let Stage::Out { until, .. } = &mut held.stage {
            *until = deadline;
        }
        self.set_timer(deadline, Timer::Attempt(session, attempt));
    }

    /// A host has answered an attempt: the session plays, unless nobody waits for it any more.
    pub(super) fn answered(&mut self, now: Micros, answer: HostAnswer, out: &mut Vec<Output>) {
        let HostAnswer { server, session, attempt, description, ended } = answer;
        let held = self.sessions.get(&session);
        if !held.is_some_and(|h| attempt.is_some_and(|attempt| h.is_out_as(&server, attempt))) {
            // A second copy, an answer that nobody asked for, or one that crossed a withdrawal: only the last stands.
            // A host knows a session by its number alone: where a further attempt is out or stands there, a release of
            // the one before would end that.
            let another = held.is_some_and(|h| h.server() == Some(&server));
            if !another && self.withdrawn.remove(now, &(server.clone(), session)).is_some() {
                self.send_release(now, server, session, cause::ENDED_BY_VIEWER, out);
            }
            return;
        }
        let ended = ended.or_else(|| self.recent_ends.remove(now, &(session, Some(server.clone()))));
        self.close(session);
        let Some(held) = self.sessions.get_mut(&session) else { return };
        held.stage = Stage::Active { server: server.clone() };
        let was_held = held.answered_at.is_some();
        held.answered_at = held.answered_at.or(Some(now));
        let (conn, attempt) = (held.conn, held.sends - 1);
        self.set_out_at(&server, session, false);
        self.drop_set_up(session);
        self.add_active(conn);
        if let Some(cause) = ended {
            // It stood for a moment: an answer would promise what is over.
            let rejected = |conn| Output::Rejected { conn, session, cause: cause::FAILED, retry_after: None };
            out.extend(conn.map(rejected));
            self.counts.failed += 1;
            self.counts.ended_around_answer += 1;
            self.counts.ended_while_held += u64::from(was_held);
            self.remember_answer(now, session);
            self.events.push_back(Event::Playing { id: RequestId(session), attempt });
            return self.end(now, session, Lifecycle::status_of_end(cause), Report::default());
        }
        if let Some(conn) = conn {
            out.push(Output::Answer { conn, session, description });
        }
        self.counts.served += 1;
        self.remember_answer(now, session);
        self.stands_at(&server, session);
        self.events.push_back(Event::Playing { id: RequestId(session), attempt });
    }

    /// The answer of a session that plays was cut: it is of no use to its viewer, and ends.
    pub(super) fn answer_spoilt(
        &mut self,
        now: Micros,
        server: &ServerId,
        session: u64,
        out: &mut Vec<Output>,
    ) {
        let plays_there =
            |held: &&Session| matches!(&held.stage, Stage::Active { server: at } if at == server);
        let Some(held) = self.sessions.get(&session).filter(plays_there) else { return };
        out.push(Output::SessionEnded { conn: held.conn, session, cause: cause::FAILED });
        self.send_release(now, server.clone(), session, cause::ENDED_BY_VIEWER, out);
        self.end(now, session, Status::Reset, Report::default());
    }

    /// The time of an attempt is up: it is withdrawn, if it is still out.
    pub(super) fn attempt_timed_out(
        &mut self,
        now: Micros,
        session: u64,
        timed_out: AttemptId,
        out: &mut Vec<Output>,
    ) {
        let Some(Session { stage: Stage::Out { server, attempt, until, .. }, answered_at, .. }) =
            self.sessions.get(&session)
        else {
            return;
        };
        if *attempt == timed_out && now >= *until {
            // A host whose answer is held was not late.
            let status = if answered_at.is_some() { Status::Cancelled } else { Status::TimedOut };
            let server = server.clone();
            self.send_withdrawal(now, server.clone(), session, timed_out, out);
            self.end_attempt(&server, session, timed_out, status, Report::default());
        }
    }

    /// The connection of an attempt is gone. What was not begun to be written never ran.
    pub(super) fn connection_lost(
        &mut self,
        now: Micros,
        server: ServerId,
        session: u64,
        attempt: AttemptId,
        begun: bool,
        out: &mut Vec<Output>,
    ) {
        let status = if begun { Status::Reset } else { Status::ConnectError };
        if begun && self.sessions.get(&session).is_some_and(|held| held.is_out_as(&server, attempt)) {
            // Its answer may have gone down with the connection: then it stands there.
            self.send_release(now, server.clone(), session, cause::ENDED_BY_VIEWER, out);
        }
        self.end_attempt(&server, session, attempt, status, Report::default());
    }

    /// An attempt is withdrawn at its host, which may have answered it by now or never hear of this.
    pub(super) fn send_withdrawal(
        &mut self,
        now: Micros,
        server: ServerId,
        session: u64,
        attempt: AttemptId,
        out: &mut Vec<Output>,
    ) {
        self.withdrawn.renew(now, (server.clone(), session), ());
        self.unconfirmed.renew(now, (server.clone(), session), ());
        out.push(Output::Withdraw { server, session, attempt });
    }
}
