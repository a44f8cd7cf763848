//! The end of a session: released at its host, then forgotten.
//!
//! kind: decisions

use elderpick_core::api::{Event, Micros, Report, RequestId, Status};
use elderpick_ledger::accounts::Outcome;

use super::{Answer, Decide, Engine, Output, Seated, State, Timer, Token, Use};
use crate::play::Play;

impl<D: Decide> Engine<D> {
    /// Tells the host that a session is over. The core hears of it when the host has taken it, so that a seat counts
    /// as held as long as the host may hold it.
    pub(super) fn release(&mut self, id: RequestId, status: Status) {
        let Some(session) = self.sessions.get_mut(&id) else { return };
        if matches!(session.state, State::Releasing(_)) {
            return;
        }
        let Some(server) = session.server.clone() else { return };
        if matches!(session.state, State::Placing) && !session.asks.is_empty() {
            // Ended from outside while it was placed.
            for ask in std::mem::take(&mut session.asks) {
                self.asks.remove(&ask);
                self.out.push(Output::Answer { ask, answer: Answer::Failed { late: false } });
            }
            self.out.push(Output::Cancel { id, attempt: session.attempts - 1 });
        }
        if session.plays() {
            let outcome = match status {
                Status::Ok => Outcome::Left,
                _ if self.lapsed.front() == Some(&session.token) => Outcome::Lapsed,
                _ => Outcome::Cut,
            };
            session.used.get_or_insert((self.now, outcome));
        }
        session.state = State::Releasing(status);
        self.tokens.remove(&session.token);
        let alias = session.alias;
        self.out.push(Output::Release { id: Some(id), server, alias });
    }

    pub(super) fn released(&mut self, now: Micros, id: RequestId, bytes: Option<u64>) {
        let Some(session) = self.sessions.get_mut(&id) else { return };
        let status = match session.state {
            State::Releasing(status) => status,
            State::Clearing { attempt, status, report } => {
                session.state = State::Placing;
                return self.cleared(now, id, attempt, status, report);
            }
            _ => return,
        };
        session.bytes = bytes;
        self.ended(now, id, status);
    }

    /// A session is over at its host.
    pub(super) fn ended(&mut self, now: Micros, id: RequestId, status: Status) {
        let Some(attempt) = self.sessions.get(&id).map(|s| s.attempts.saturating_sub(1)) else { return };
        self.counts.ended += 1;
        self.forget(id, status == Status::Ok);
        self.tell(now, Event::Outcome { id, attempt, status, closed: true, report: Report::default() });
    }

    pub(super) fn forget(&mut self, id: RequestId, willing: bool) {
        let Some(session) = self.sessions.remove(&id) else { return };
        let playing = session.plays().then_some((self.now, Outcome::Cut));
        if let Some((at, outcome)) = session.used.or(playing) {
            let (tries, bytes) = (session.tries, session.bytes);
            let over = Use::Over { session: session.alias, at, tries, outcome, bytes };
            self.out.push(Output::Use(over));
        }
        if let Some(Seated { seat, .. }) =
            session.wanted.seated.filter(|s| self.seats.get(&s.seat) == Some(&id))
        {
            self.seats.remove(&seat);
            self.out.push(Output::Left { seat, willing });
        }
        self.tokens.remove(&session.token);
        self.aliases.remove(&session.alias);
        if let Some(viewer) = session.wanted.viewer {
            let key = (viewer, session.wanted.class, session.wanted.title);
            if self.viewers.get(&key) == Some(&id) {
                self.viewers.remove(&key);
            }
        }
    }

    pub(super) fn silence(&mut self, now: Micros, id: RequestId) {
        let Some(session) = self.sessions.get(&id) else { return };
        let until = match &session.state {
            State::Playing(play) => play.wanted_until(session.seen, &self.config.limits),
            State::Flowing => session.seen + self.config.limits.silence,
            _ => return,
        };
        if until > now {
            self.timers.insert((until, Timer::Silence(id)));
        } else {
            self.counts.left += 1;
            let used = (until - self.config.limits.silence, Outcome::Left);
            if let Some(session) = self.sessions.get_mut(&id) {
                session.used = Some(used);
            }
            self.release(id, Status::Ok);
        }
    }

    /// Whether packets of the session are to pass. With `heard`, its viewer was heard of just now.
    pub fn flows(&mut self, now: Micros, token: Token, heard: bool) -> bool {
        let session = self.tokens.get(&token).and_then(|id| self.sessions.get_mut(id));
        let Some(session) = session.filter(|s| matches!(s.state, State::Flowing)) else { return false };
        if heard {
            session.seen = now;
        }
        true
    }

    /// The session's playlists, for a viewer that asks for one now.
    pub fn play(&mut self, now: Micros, token: Token) -> Option<&mut Play> {
        let id = *self.tokens.get(&token)?;
        let session = self.sessions.get_mut(&id)?;
        session.seen = now;
        match &mut session.state {
            State::Playing(play) => Some(play),
            _ => None,
        }
    }
}
