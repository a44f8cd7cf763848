//! Sessions that were set up, their ends, and their releases at hosts.

use elderpick_core::api::{Event, Micros, Note, Report, RequestId, ServerId, Status};
use elderpick_platform::viewer::cause;

use super::{AROUND_ANSWER, AttemptId, Conn, EARLY, Lifecycle, Output, Session, Stage};

/// A host ends a session.
pub(super) struct HostRelease {
    pub(super) server: ServerId,
    pub(super) session: u64,
    /// The attempt that is out on the connection that this came on.
    pub(super) attempt: Option<AttemptId>,
    pub(super) cause: u8,
    pub(super) report: Report,
}

impl Lifecycle {
    /// What a host's cause for an end means.
    pub(super) fn status_of_end(cause: u8) -> Status {
        match cause {
            cause::GIVEN_UP => Status::Ok,
            cause::ENDED_BY_VIEWER => Status::Cancelled,
            _ => Status::Reset,
        }
    }

    /// A host tells that a session is over.
    pub(super) fn released(&mut self, now: Micros, release: HostRelease, out: &mut Vec<Output>) {
        let HostRelease { server, session, attempt, cause, report } = release;
        self.unconfirmed.remove(now, &(server.clone(), session));
        let Some(held) = self.sessions.get(&session).filter(|h| h.server() == Some(&server)) else {
            if !self.sessions.contains_key(&session) && !self.was_answered(now, session) {
                self.recent_ends.insert(now, (session, Some(server)), cause);
            }
            return;
        };
        let status = Lifecycle::status_of_end(cause);
        match held.stage {
            Stage::Out { .. } => match attempt {
                Some(attempt) => self.end_attempt(&server, session, attempt, Status::Reset, report),
                // Connections have no order: the answer may be on its way on the one of the attempt.
                None => self.recent_ends.renew(now, (session, Some(server)), cause),
            },
            Stage::Active { .. } => {
                let age = held.answered_at.map(|at| now - at);
                let left_early = cause == cause::ENDED_BY_VIEWER && age.is_some_and(|age| age < EARLY);
                self.counts.ended_around_answer += u64::from(age.is_some_and(|age| age < AROUND_ANSWER));
                self.counts.left_early += u64::from(left_early);
                if cause != cause::ENDED_BY_VIEWER {
                    out.push(Output::SessionEnded { conn: held.conn, session, cause });
                }
                self.end(now, session, status, report);
            }
            _ => self.end(now, session, Status::Cancelled, report),
        }
    }

    /// A host has confirmed a release: its seat is free.
    pub(super) fn release_confirmed(&mut self, now: Micros, server: ServerId, session: u64) {
        self.unconfirmed.remove(now, &(server.clone(), session));
        let ending = |held: &Session| matches!(&held.stage, Stage::Ending { server: at } if *at == server);
        if self.sessions.get(&session).is_some_and(ending) {
            self.end(now, session, Status::Cancelled, Report::default());
        }
    }

    /// A host has not confirmed a release in time: its seat is taken to be free.
    pub(super) fn release_timed_out(&mut self, now: Micros, session: u64) {
        if self.sessions.get(&session).is_some_and(|held| matches!(held.stage, Stage::Ending { .. })) {
            self.end(now, session, Status::Cancelled, Report::default());
        }
    }

    /// News on the delivery or the rung of a session.
    pub(super) fn note(&mut self, server: ServerId, session: u64, note: Note) {
        let active_there =
            |held: &Session| matches!(&held.stage, Stage::Active { server: at } if *at == server);
        let Some(held) = self.sessions.get_mut(&session).filter(|held| active_there(held)) else { return };
        if let Note::Rung(rung) = note {
            held.rung = rung;
        }
        self.events.push_back(Event::Noted { id: RequestId(session), server, note });
    }

    pub(super) fn add_active(&mut self, conn: Option<Conn>) {
        if let Some(conn) = conn {
            *self.active_on.entry(conn).or_default() += 1;
        }
    }

    pub(super) fn remove_active(&mut self, conn: Option<Conn>) {
        if let Some(conn) = conn
            && let Some(count) = self.active_on.get_mut(&conn)
        {
            *count -= 1;
            if *count == 0 {
                self.active_on.remove(&conn);
            }
        }
    }

    /// A session that stood is over, and the module is told.
    pub(super) fn end(&mut self, now: Micros, session: u64, status: Status, report: Report) {
        let Some(held) = self.remove_session(session) else { return };
        self.remove_active(held.conn);
        if let Some(server) = held.server() {
            let server = server.clone();
            self.leaves(&server, session);
            self.remove_if_gone(&server);
            // Its viewer has heard, or is owed nothing: a hand-over that crosses this makes it stand no more.
            self.recent_ends.insert(now, (session, Some(server)), cause::ENDED_BY_VIEWER);
        }
        let (id, attempt) = (RequestId(session), held.sends.saturating_sub(1));
        self.events.push_back(Event::Outcome { id, attempt, status, closed: true, report });
    }

    /// Releases once more what a host has not confirmed, and what it is not wanted for again.
    pub(super) fn resend_releases(
        &self,
        now: Micros,
        server: &ServerId,
        which: impl Fn(u64) -> bool,
        out: &mut Vec<Output>,
    ) {
        let wanted = |session: u64| match self.sessions.get(&session) {
            Some(held) => held.server() == Some(server) && !matches!(held.stage, Stage::Ending { .. }),
            None => false,
        };
        let all = (server.clone(), u64::MIN)..=(server.clone(), u64::MAX);
        let unheard = self.unconfirmed.keys(now, all).map(|(_, session)| *session);
        let again = unheard.filter(|session| which(*session) && !wanted(*session));
        let cause = cause::ENDED_BY_VIEWER;
        out.extend(again.map(|session| Output::Release { server: server.clone(), session, cause }));
    }

    /// A release at a host, remembered until the host has confirmed it.
    pub(super) fn send_release(
        &mut self,
        now: Micros,
        server: ServerId,
        session: u64,
        cause: u8,
        out: &mut Vec<Output>,
    ) {
        self.unconfirmed.renew(now, (server.clone(), session), ());
        out.push(Output::Release { server, session, cause });
    }
}
