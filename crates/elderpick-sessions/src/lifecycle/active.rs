//! Sessions that were set up, their ends, and their releases at hosts.

use elderpick_core::api::{Event, Micros, Report, RequestId, ServerId, Status};
use elderpick_platform::viewer::cause;

use super::{AttemptId, Conn, Lifecycle, Output, Stage};

impl Lifecycle {
    /// What a host's cause for an end means.
    pub(super) fn ended_as(cause: u8) -> Status {
        match cause {
            cause::GIVEN_UP => Status::Ok,
            cause::ENDED_BY_VIEWER => Status::Cancelled,
            _ => Status::Reset,
        }
    }

    /// A host's word that a session is over.
    #[allow(clippy::too_many_arguments)]
    pub(super) fn released(
        &mut self,
        now: Micros,
        server: ServerId,
        session: u64,
        attempt: Option<AttemptId>,
        cause: u8,
        report: Report,
        out: &mut Vec<Output>,
    ) {
        self.unheard.remove(now, &(server.clone(), session));
        let Some(held) = self.held.get(&session).filter(|h| h.server() == Some(&server)) else {
            if !self.held.contains_key(&session) && !self.answered.contains(now, &session) {
                self.ended.insert(now, (session, Some(server)), cause);
            }
            return;
        };
        let status = Lifecycle::ended_as(cause);
        match held.stage {
            // Of an attempt before, unless it came where this one is out.
            Stage::Out { .. } => {
                if let Some(attempt) = attempt {
                    self.attempt_over(&server, session, attempt, Status::Reset, report);
                }
            }
            Stage::Stands { .. } => {
                if cause != cause::ENDED_BY_VIEWER {
                    out.push(Output::SessionEnded { conn: held.conn, session, cause });
                }
                self.end(now, session, status, report);
            }
            _ => self.end(now, session, Status::Cancelled, report),
        }
    }

    pub(super) fn stands_now(&mut self, conn: Option<Conn>) {
        if let Some(conn) = conn {
            *self.standing_on.entry(conn).or_default() += 1;
        }
    }

    pub(super) fn stands_no_more(&mut self, conn: Option<Conn>) {
        if let Some(conn) = conn
            && let Some(count) = self.standing_on.get_mut(&conn)
        {
            *count -= 1;
            if *count == 0 {
                self.standing_on.remove(&conn);
            }
        }
    }

    /// A session that stood is over, and the module is told.
    pub(super) fn end(&mut self, now: Micros, session: u64, status: Status, report: Report) {
        let Some(held) = self.held.remove(&session) else { return };
        self.stands_no_more(held.conn);
        if let Some(server) = held.server() {
            let server = server.clone();
            if let Some(at) = self.servers.get_mut(&server) {
                at.standing.remove(&session);
            }
            self.drop_if_gone(&server);
            // Its viewer has heard, or is owed nothing: a hand-over that crosses this makes it stand no more.
            self.ended.insert(now, (session, Some(server)), cause::ENDED_BY_VIEWER);
        }
        let (id, attempt) = (RequestId(session), held.sends.saturating_sub(1));
        self.events.push_back(Event::Outcome { id, attempt, status, closed: true, report });
    }

    /// Releases once more what a host has not confirmed, and what it is not wanted for again.
    pub(super) fn say_again(
        &self,
        now: Micros,
        server: &ServerId,
        which: impl Fn(u64) -> bool,
        out: &mut Vec<Output>,
    ) {
        let wanted = |session: u64| match self.held.get(&session) {
            Some(held) => held.server() == Some(server) && !matches!(held.stage, Stage::Ending { .. }),
            None => false,
        };
        let all = (server.clone(), u64::MIN)..=(server.clone(), u64::MAX);
        let unheard = self.unheard.keys(now, all).map(|(_, session)| *session);
        let again = unheard.filter(|session| which(*session) && !wanted(*session));
        let cause = cause::ENDED_BY_VIEWER;
        out.extend(again.map(|session| Output::Release { server: server.clone(), session, cause }));
    }

    /// A release at a host, remembered until the host has confirmed it.
    pub(super) fn say_release(
        &mut self,
        now: Micros,
        server: ServerId,
        session: u64,
        cause: u8,
        out: &mut Vec<Output>,
    ) {
        self.unheard.renew(now, (server.clone(), session), ());
        out.push(Output::Release { server, session, cause });
    }
}
