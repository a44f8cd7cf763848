//! The events of a session, from its request or its hand-over to its end.

use super::state::{PastAttempt, Server, Session, Wish};
use super::{Controller, LEAST_PRICED, LIST_TOKEN, LOAD_PROBE_TOKEN};
use crate::api::{Action, Micros, Report, RequestId, ServerId, Status, Viewing};

/// Spread of the price between sessions, so that a class does not change its rung all at once.
const PRICE_SPREAD: f64 = 0.25;

impl Controller {
    pub(super) fn on_request(&mut self, id: RequestId, viewing: Viewing) {
        self.count_request();
        self.probe_unresponsive();
        self.earn_wanted_probe();
        self.probe_unknown();
        let Some(class) = self.settings.classes.get(viewing.class) else {
            return self.out.push(Action::Fail { id });
        };
        let left = viewing.left.max(0);
        let aim_deadline = self.now + class.aim.min(left);
        let (deadline, alarm) = (self.now + left, Some(self.next_token));
        let session = Session { deadline, alarm, aim_deadline, ..self.new_session(viewing) };
        self.forget(id);
        self.sessions.insert(id, session);
        self.alarms.insert(self.next_token, id);
        self.out.push(Action::Alarm { token: self.next_token, at: deadline });
        self.next_token += 1;
        self.place(id);
    }

    /// A session handed over at the start. It shows that the list is of now. Its
    /// server is asked for its load, so that the rung can be settled and the fleet's load is known.
    pub(super) fn on_handover(&mut self, id: RequestId, viewing: Viewing, server: ServerId) {
        (self.list_may_be_old, self.has_handed_over) = (false, true);
        if self.settings.classes.get(viewing.class).is_none() {
            return;
        }
        self.schedule_load_probes();
        let (attempted, new) = (vec![server.clone()], self.new_session(viewing));
        self.forget(id);
        self.sessions.insert(id, Session { attempted, playing: true, rung_pending: true, ..new });
        self.occupy(id, server);
    }

    fn new_session(&mut self, mut viewing: Viewing) -> Session {
        let spread = 1.0 + PRICE_SPREAD * (2.0 * self.unit() - 1.0);
        let class = &self.settings.classes[viewing.class];
        if class.seats.is_none() {
            // Only seats are counted by title.
            viewing.title = String::new();
        }
        let top = class.top.min(viewing.top).min(self.settings.rung_kb.len().saturating_sub(1));
        Session {
            wish: Wish { class: viewing.class, top, spread, rung: class.floor },
            viewing,
            deadline: Micros::MAX,
            alarm: None,
            aim_deadline: Micros::MAX,
            attempted: Vec::new(),
            may_have_run: Vec::new(),
            server: None,
            sent_at: self.now,
            placement: None,
            playing: false,
            closed: false,
            rung_pending: false,
        }
    }

    /// Whether this attempt is the session's last; what comes of an older one counts no more.
    pub(super) fn is_last_attempt(&self, id: RequestId, attempt: usize) -> bool {
        self.sessions.get(&id).is_some_and(|session| attempt + 1 == session.attempted.len())
    }

    pub(super) fn on_playing(&mut self, id: RequestId) {
        self.cancel_alarm(id);
        let Some(session) = self.sessions.get_mut(&id) else { return };
        session.playing = true;
        if let Some(server) = session.server.clone() {
            self.record_success(&server);
        }
    }

    pub(super) fn on_outcome(&mut self, id: RequestId, status: Status, closed: bool, report: Report) {
        let Some(session) = self.sessions.get(&id) else { return };
        let over = closed || session.closed || session.playing;
        let (sent_at, wish, played) = (session.sent_at, session.wish, session.playing);
        let began_here = session.deadline < Micros::MAX;
        let Some(server) = self.vacate(id) else { return };
        let never_ran = matches!(status, Status::Full | Status::ConnectError | Status::Ignored);
        // Sent into a silence that has ended, it tells nothing of the server as it is now.
        let is_old = |server: &Server| status == Status::TimedOut && sent_at < server.answered_at;
        if !self.servers.get(&server).is_some_and(is_old) {
            self.record_status(&server, status);
        }
        self.record_report(&server, report.link, report.uplink);
        if over {
            self.forget(id);
            if played {
                if began_here && status == Status::Ok {
                    let (length, usual) = ((self.now - sent_at) as f64, self.usual_length());
                    self.mean_length = Some(usual + (1.0 / LEAST_PRICED as f64) * (length - usual));
                }
                self.recently_ended.push_back(wish);
                self.recently_ended.drain(..self.recently_ended.len().saturating_sub(LEAST_PRICED));
            }
        } else {
            let session = self.sessions.get_mut(&id).expect("looked up above");
            if let Some(ran) = self.servers.get(&server).filter(|_| !never_ran) {
                let (zone, cell) = (ran.entry.zone, ran.entry.cell);
                session.may_have_run.push(PastAttempt { zone, cell, sent_at });
            }
            self.place(id);
        }
    }

    pub(super) fn on_viewer_left(&mut self, id: RequestId) {
        self.cancel_alarm(id);
        let Some(session) = self.sessions.get_mut(&id) else { return };
        session.closed = true;
        if session.server.is_none() {
            self.forget(id);
        }
    }

    /// A session is over: nothing of it is held any longer.
    pub(super) fn forget(&mut self, id: RequestId) -> Option<Session> {
        self.vacate(id);
        self.cancel_alarm(id);
        self.sessions.remove(&id)
    }

    /// The deadline of a session does not matter any more.
    fn cancel_alarm(&mut self, id: RequestId) {
        if let Some(token) = self.sessions.get_mut(&id).and_then(|session| session.alarm.take()) {
            self.alarms.remove(&token);
        }
    }

    /// Whether an alarm that was asked for still matters.
    pub fn awaits_alarm(&self, token: u64) -> bool {
        matches!(token, LIST_TOKEN | LOAD_PROBE_TOKEN) || self.alarms.contains_key(&token)
    }

    pub(super) fn on_alarm(&mut self, token: u64) {
        match token {
            LOAD_PROBE_TOKEN => self.probe_loads(),
            LIST_TOKEN if self.settings.subscribe => self.out.push(Action::Subscribe),
            LIST_TOKEN if self.list_may_be_old => self.out.push(Action::Fetch),
            LIST_TOKEN => {}
            _ => self.on_deadline(token),
        }
    }

    /// The time-out of the last attempt normally answers first; this one holds whatever happens.
    fn on_deadline(&mut self, token: u64) {
        let Some(id) = self.alarms.remove(&token) else { return };
        let Some(session) = self.sessions.get_mut(&id) else { return };
        if !session.playing && !session.closed {
            self.out.push(Action::Fail { id });
            self.on_viewer_left(id);
        }
    }
}
