//! Requests of viewers: set-ups, hand-overs, releases, and the final answers that are no session.

use std::cmp::Reverse;

use elderpick_core::api::{Event, Micros, Report, RequestId, ServerId, Status, Viewing};
use elderpick_platform::viewer::{SetUp, cause};

use super::{Conn, ENDING, Lifecycle, OPEN, OPEN_ON_ONE, Output, STANDING, Session, Stage, Timer};

impl Lifecycle {
    pub(super) fn set_up(
        &mut self,
        now: Micros,
        conn: Conn,
        received_at: Micros,
        set_up: SetUp,
        out: &mut Vec<Output>,
    ) {
        let session = set_up.session;
        let figures = &set_up.figures;
        let class = self.classes.iter().position(|name| *name == set_up.class);
        let at = figures.at.as_ref().map(|at| ServerId(at.as_str().into()));
        let in_cells = |cells: usize| figures.home < cells && figures.copies <= cells;
        let holders = figures.copies > 0 && self.cells.is_none_or(in_cells);
        let fits = holders && figures.top.is_none_or(|top| top <= 255);
        let held = self.held.contains_key(&session);
        if held && at.is_some() {
            return;
        }
        if let Some((server, by_host, cause)) = at.as_ref().and_then(|at| self.ended_before(now, session, at))
        {
            // Its end came here before it did: from its host, of which its viewer is told now, or from its viewer.
            return match by_host {
                true if cause == cause::ENDED_BY_VIEWER => {}
                true => out.push(Output::SessionEnded { conn: Some(conn), session, cause }),
                false => self.say_release(now, server, session, cause, out),
            };
        }
        let rejected = |cause| Output::Rejected { conn, session, cause, retry_after: None };
        let used = held || self.answered.contains(now, &session);
        let Some(class) = class.filter(|_| fits && (!used || at.is_some())) else {
            self.counts.rejected += 1;
            return out.push(rejected(cause::UNREADABLE));
        };
        let left = (received_at + set_up.patience_ms as Micros * 1_000 - now).max(0);
        let viewing = Viewing {
            class,
            title: set_up.title.clone(),
            left,
            hint: None,
            home: figures.home,
            copies: figures.copies,
            top: figures.top.unwrap_or(usize::MAX),
        };
        let new = |stage, set_up| {
            let (conn, deadline) = (Some(conn), now + left);
            Session { conn, deadline, set_up, rung: 0, sends: 0, stage }
        };
        if let Some(server) = at {
            let Some(to) = self.servers.get_mut(&server).filter(|_| self.held.len() < STANDING) else {
                // It plays nowhere that is known: its viewer is to come again.
                self.counts.rejected += 1;
                return out.push(Output::SessionEnded { conn: Some(conn), session, cause: cause::FAILED });
            };
            if to.renewed.is_some_and(|heard| received_at < heard) {
                // It may have lain unread since before its host became another process, and played at the one before.
                self.counts.rejected += 1;
                self.say_release(now, server, session, cause::ENDED_BY_VIEWER, out);
                return out.push(Output::SessionEnded { conn: Some(conn), session, cause: cause::FAILED });
            }
            to.standing.insert(session);
            self.stands_now(Some(conn));
            self.counts.handed_over += 1;
            self.held.insert(session, new(Stage::Stands { server: server.clone() }, None));
            self.events.push_back(Event::Open { id: RequestId(session), viewing, server });
            return;
        }
        if self.open_on(conn) >= OPEN_ON_ONE || self.opened >= OPEN || self.held.len() >= STANDING {
            self.counts.rejected += 1;
            return out.push(rejected(cause::REFUSED));
        }
        self.counts.accepted += 1;
        self.opened += 1;
        self.open.entry(conn).or_default().insert(session);
        self.held.insert(session, new(Stage::Waiting, Some(Box::new(set_up))));
        self.events.push_back(Event::Request { id: RequestId(session), viewing });
    }

    /// The end of a session that is handed over only now: its host, whether that ended it, and the cause.
    pub(super) fn ended_before(
        &self,
        now: Micros,
        session: u64,
        at: &ServerId,
    ) -> Option<(ServerId, bool, u8)> {
        let by_viewer = self.ended.get(now, &(session, None)).map(|cause| (at.clone(), false, *cause));
        let by_host = || self.ended.get(now, &(session, Some(at.clone())));
        by_viewer.or_else(|| by_host().map(|cause| (at.clone(), true, *cause)))
    }

    /// The set-up of a session is open no longer.
    pub(super) fn close(&mut self, session: u64) {
        let Some(conn) = self.held.get(&session).filter(|h| h.set_up.is_some()).and_then(|h| h.conn) else {
            return;
        };
        self.opened -= 1;
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
        let Some(held) = self.held.get_mut(&session) else {
            if !self.answered.contains(now, &session) {
                self.ended.insert(now, (session, None), cause);
            }
            return;
        };
        match &held.stage {
            // Who did not ask has nothing to give up: the answer is still owed.
            Stage::Waiting | Stage::Out { .. } if held.conn != Some(conn) => self.counts.rejected += 1,
            Stage::Waiting | Stage::Out { .. } => {
                self.counts.withdrawn += 1;
                self.answered.insert(now, session, ());
                self.events.push_back(Event::Gone { id: RequestId(session) });
                self.withdraw(now, session, out);
            }
            Stage::Stands { server } => {
                let server = server.clone();
                held.stage = Stage::Ending { server: server.clone() };
                self.timers.push(Reverse((now + ENDING, Timer::Ending(session))));
                self.say_release(now, server, session, cause, out);
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
        let Some(held) = self.held.get(&session).filter(|h| h.set_up.is_some()) else { return };
        if let Some(conn) = held.conn {
            out.push(Output::Rejected { conn, session, cause, retry_after });
        }
        self.answered.insert(now, session, ());
        self.withdraw(now, session, out);
    }

    /// Forgets a set-up that is answered or given up, and withdraws its attempt.
    pub(super) fn withdraw(&mut self, now: Micros, session: u64, out: &mut Vec<Output>) {
        self.close(session);
        let Some(held) = self.held.remove(&session) else { return };
        if let Stage::Out { server, attempt, .. } = held.stage {
            self.say_withdrawn(now, server, session, attempt, out);
            let (id, attempt, status, closed) = (RequestId(session), held.sends - 1, Status::Cancelled, true);
            self.events.push_back(Event::Outcome { id, attempt, status, closed, report: Report::default() });
        }
    }
}
