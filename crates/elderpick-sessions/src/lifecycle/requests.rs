//! Requests of viewers: set-ups, hand-overs, releases, and the final answers that are no session.

use elderpick_core::api::{Event, Micros, Report, RequestId, ServerId, Status, Viewing};
use elderpick_platform::viewer::{SetUp, cause};

use super::{
    Conn, Lifecycle, MOST_OPEN, MOST_OPEN_PER_CONNECTION, Output, SEAT_RELEASED_AFTER, Session, Stage, Timer,
};

/// Highest rung of a viewer that a set-up may name.
const HIGHEST_TOP: usize = 255;

/// An end of a session that was told before the session was handed over.
pub(super) struct EarlyEnd {
    by: EndedBy,
    cause: u8,
}

/// Who ended a session.
#[derive(Clone, Copy, PartialEq, Eq)]
enum EndedBy {
    Viewer,
    Host,
}

/// A set-up in terms of the module.
struct Asked {
    session: u64,
    conn: Conn,
    received_at: Micros,
    viewing: Viewing,
}

impl Lifecycle {
    /// Takes a set-up: a request, or with a host in it the hand-over of a session that plays there.
    pub(super) fn set_up(
        &mut self,
        now: Micros,
        conn: Conn,
        received_at: Micros,
        set_up: SetUp,
        out: &mut Vec<Output>,
    ) {
        let session = set_up.session;
        let at = set_up.figures.at.as_ref().map(|at| ServerId(at.as_str().into()));
        let held = self.sessions.contains_key(&session);
        if held && at.is_some() {
            return;
        }
        if let Some(server) = &at
            && let Some(end) = self.find_early_end(now, session, server)
        {
            return self.settle_early_end(now, conn, session, server.clone(), end, out);
        }
        let used = held || self.was_answered(now, session);
        let viewing = self.viewing(now, received_at, &set_up).filter(|_| !used || at.is_some());
        let Some(viewing) = viewing else {
            self.counts.rejected += 1;
            let cause = cause::UNREADABLE;
            return out.push(Output::Rejected { conn, session, cause, retry_after: None });
        };
        let asked = Asked { session, conn, received_at, viewing };
        match at {
            Some(server) => self.hand_over(now, asked, server, out),
            None => self.request(now, asked, set_up, out),
        }
    }

    /// Whether a set-up names nothing that the settings do not have.
    pub fn knows_what_is_asked(&self, set_up: &SetUp) -> bool {
        self.class_asked_for(set_up).is_some()
    }

    /// The class that a set-up asks for, if it names nothing that the settings do not have.
    fn class_asked_for(&self, set_up: &SetUp) -> Option<usize> {
        let figures = &set_up.figures;
        let class = self.classes.iter().position(|name| *name == set_up.class)?;
        let in_cells = |cells: usize| figures.home < cells && figures.copies <= cells;
        let holders = figures.copies > 0 && self.cells.is_none_or(in_cells);
        let has_top = figures.top.is_none_or(|top| top <= HIGHEST_TOP);
        (holders && has_top).then_some(class)
    }

    /// What a set-up asks for; `None` if it names what the settings do not have.
    fn viewing(&self, now: Micros, received_at: Micros, set_up: &SetUp) -> Option<Viewing> {
        let figures = &set_up.figures;
        let class = self.class_asked_for(set_up)?;
        Some(Viewing {
            class,
            title: set_up.title.clone(),
            left: (received_at + set_up.patience_ms as Micros * 1_000 - now).max(0),
            hint: None,
            home: figures.home,
            copies: figures.copies,
            top: figures.top.unwrap_or(usize::MAX),
        })
    }

    /// A session that plays at a host comes under this gateway.
    fn hand_over(&mut self, now: Micros, asked: Asked, server: ServerId, out: &mut Vec<Output>) {
        let Asked { session, conn, received_at, viewing } = asked;
        let ended = Output::SessionEnded { conn: Some(conn), session, cause: cause::FAILED };
        if !self.has_room() && self.servers.contains_key(&server) {
            self.counts.rejected += 1;
            self.send_release(now, server, session, cause::ENDED_BY_VIEWER, out);
            return out.push(ended);
        }
        let Some(to) = self.servers.get(&server) else {
            // It plays nowhere that is known: its viewer is to come again. The list may name its host later, which is
            // told then.
            self.counts.rejected += 1;
            self.at_unknown_hosts.renew(now, (server, session), ());
            return out.push(ended);
        };
        if to.replaced_at.is_some_and(|replaced| received_at < replaced) {
            // It may have lain unread since before its host became another process, and played at the one before.
            self.counts.rejected += 1;
            self.send_release(now, server, session, cause::ENDED_BY_VIEWER, out);
            return out.push(ended);
        }
        self.stands_at(&server, session);
        self.add_active(Some(conn));
        self.counts.handed_over += 1;
        let stage = Stage::Active { server: server.clone() };
        let held = Session::new(conn, now + viewing.left, None, stage);
        self.insert_session(session, held, viewing.title.len());
        self.events.push_back(Event::Open { id: RequestId(session), viewing, server });
    }

    /// A viewer asks for a session.
    fn request(&mut self, now: Micros, asked: Asked, set_up: SetUp, out: &mut Vec<Output>) {
        let Asked { session, conn, viewing, .. } = asked;
        let full = self.draining
            || self.open_on(conn) >= MOST_OPEN_PER_CONNECTION
            || self.open_count >= MOST_OPEN
            || !self.has_room();
        if full {
            self.counts.rejected += 1;
            return out.push(Output::Rejected { conn, session, cause: cause::REFUSED, retry_after: None });
        }
        self.counts.accepted += 1;
        self.open_count += 1;
        self.open.entry(conn).or_default().insert(session);
        let deadline = now + viewing.left;
        let held = Session::new(conn, deadline, Some(Box::new(set_up)), Stage::Waiting);
        self.insert_session(session, held, viewing.title.len());
        self.events.push_back(Event::Request { id: RequestId(session), viewing });
    }

    /// The end of a session at this host that came before the session was handed over.
    fn find_early_end(&self, now: Micros, session: u64, server: &ServerId) -> Option<EarlyEnd> {
        let by_viewer = self.recent_ends.get(now, &(session, None));
        let by_viewer = by_viewer.map(|cause| EarlyEnd { by: EndedBy::Viewer, cause: *cause });
        let by_host = || self.recent_ends.get(now, &(session, Some(server.clone())));
        by_viewer.or_else(|| by_host().map(|cause| EarlyEnd { by: EndedBy::Host, cause: *cause }))
    }

    /// Tells whoever has not heard of it that a session ended which is handed over only now.
    fn settle_early_end(
        &mut self,
        now: Micros,
        conn: Conn,
        session: u64,
        server: ServerId,
        end: EarlyEnd,
        out: &mut Vec<Output>,
    ) {
        let EarlyEnd { by, cause } = end;
        match by {
            EndedBy::Host if cause == cause::ENDED_BY_VIEWER => {}
            EndedBy::Host => out.push(Output::SessionEnded { conn: Some(conn), session, cause }),
            EndedBy::Viewer => self.send_release(now, server, session, cause, out),
        }
    }

    /// A viewers' connection is gone: what is open on it is given up.
    pub(super) fn client_disconnected(&mut self, now: Micros, conn: Conn, out: &mut Vec<Output>) {
        for session in self.open.get(&conn).cloned().unwrap_or_default() {
            self.release(now, conn, session, cause::GIVEN_UP, out);
        }
    }

    /// The set-up of a session is open no longer.
    pub(super) fn close(&mut self, session: u64) {
        let Some(conn) = self.sessions.get(&session).filter(|h| h.set_up.is_some()).and_then(|h| h.conn)
        else {
            return;
        };
        self.open_count -= 1;
        if let Some(open) = self.open.get_mut(&conn) {
            open.remove(&session);
            if open.is_empty() {
                self.open.remove(&conn);
            }
        }
    }

    /// A viewer gives a set-up up or ends a session.
    pub(super) fn release(
        &mut self,
        now: Micros,
        conn: Conn,
        session: u64,
        cause: u8,
        out: &mut Vec<Output>,
    ) {
        let Some(held) = self.sessions.get_mut(&session) else {
            if !self.was_answered(now, session) {
                self.recent_ends.insert(now, (session, None), cause);
            }
            return;
        };
        match &held.stage {
            // Who did not ask has nothing to give up: the answer is still owed.
            Stage::Waiting | Stage::Out { .. } if held.conn != Some(conn) => self.counts.rejected += 1,
            Stage::Waiting | Stage::Out { .. } => {
                self.counts.withdrawn += 1;
                self.remember_answer(now, session);
                self.events.push_back(Event::Gone { id: RequestId(session) });
                self.withdraw(now, session, out);
            }
            Stage::Active { server } => {
                let server = server.clone();
                held.stage = Stage::Ending { server: server.clone() };
                self.set_timer(now + SEAT_RELEASED_AFTER, Timer::Ending(session));
                self.send_release(now, server, session, cause, out);
            }
            Stage::Ending { .. } => {}
        }
    }

    /// The final answer when it does not stand.
    pub(super) fn reject(
        &mut self,
        now: Micros,
        session: u64,
        cause: u8,
        retry_after: Option<Micros>,
        out: &mut Vec<Output>,
    ) {
        let Some(held) = self.sessions.get(&session).filter(|h| h.set_up.is_some()) else { return };
        if let Some(conn) = held.conn {
            out.push(Output::Rejected { conn, session, cause, retry_after });
        }
        self.remember_answer(now, session);
        self.withdraw(now, session, out);
    }

    /// A set-up is answered or given up: another one under its number is a copy.
    pub(super) fn remember_answer(&mut self, now: Micros, session: u64) {
        let may_have_run = self.sessions.get(&session).is_some_and(|held| held.sent_at.is_some());
        let remembered = if may_have_run { &mut self.recent_answers } else { &mut self.recent_refusals };
        remembered.insert(now, session, ());
    }

    /// Whether a set-up under this number was answered or given up.
    pub(super) fn was_answered(&self, now: Micros, session: u64) -> bool {
        self.recent_answers.contains(now, &session) || self.recent_refusals.contains(now, &session)
    }

    /// Answers all that is open: what no host was ever asked for is refused, the rest has failed.
    pub(super) fn finish(&mut self, now: Micros, out: &mut Vec<Output>) {
        let open: Vec<_> = self.open.values().flatten().copied().collect();
        for session in open {
            let never_sent = self.sessions.get(&session).is_some_and(|held| held.sends == 0);
            let cause = if never_sent { cause::REFUSED } else { cause::FAILED };
            self.counts.finished += 1;
            self.events.push_back(Event::Gone { id: RequestId(session) });
            self.reject(now, session, cause, None, out);
        }
    }

    /// Forgets a set-up that is answered or given up, and withdraws its attempt.
    pub(super) fn withdraw(&mut self, now: Micros, session: u64, out: &mut Vec<Output>) {
        self.close(session);
        let Some(held) = self.remove_session(session) else { return };
        if let Stage::Out { server, attempt, .. } = held.stage {
            self.set_out_at(&server, session, false);
            self.send_withdrawal(now, server, session, attempt, out);
            let (id, attempt, status, closed) = (RequestId(session), held.sends - 1, Status::Cancelled, true);
            self.events.push_back(Event::Outcome { id, attempt, status, closed, report: Report::default() });
        }
    }
}
