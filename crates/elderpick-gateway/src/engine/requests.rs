//! Requests of viewers: a session begins, is joined, or is refused.
//!
//! kind: decisions

use elderpick_core::api::{Event, Micros, RequestId, Status, Viewing};
use elderpick_entitle::registry::SeatId;

use super::{Answer, Ask, Decide, Engine, Output, Seated, Session, State, Token, Via, Wanted};

/// Requests that may wait for the answer of one session.
const MOST_ASKS: usize = 8;

const MOST_TITLE: usize = 256;

impl<D: Decide> Engine<D> {
    pub(super) fn ask(&mut self, now: Micros, ask: Ask, wanted: Wanted, token: Token, alias: Token) {
        self.counts.asked += 1;
        let key = wanted.viewer.clone().map(|v| (v, wanted.class, wanted.title.clone()));
        let held = match wanted.seated {
            Some(seated) => self.with_seat(now, seated, &wanted),
            None => key.as_ref().and_then(|key| self.viewers.get(key)).copied(),
        };
        // A further try of a session that is held joins it, and has the same answer.
        if let Some(session) = held {
            match self.sessions.get_mut(&session) {
                Some(held) if held.is_placed() => {
                    // One more than may wait: it must not begin a second session, and it cannot be refused, since
                    // an attempt may have run.
                    if held.asks.len() >= MOST_ASKS {
                        self.counts.over_bound += 1;
                        self.counts.failed += 1;
                        let answer = Answer::Failed { late: false };
                        return self.out.push(Output::Answer { ask, answer });
                    }
                    self.counts.joined += 1;
                    held.tries += 1;
                    held.asks.push(ask);
                    self.asks.insert(ask, session);
                    return;
                }
                Some(Session { state: State::Playing(play), token, seen, tries, .. }) => {
                    self.counts.joined += 1;
                    *seen = now;
                    *tries += 1;
                    let answer = Answer::Plays { token: *token, manifest: play.manifest(*token) };
                    return self.out.push(Output::Answer { ask, answer });
                }
                _ => {}
            }
        }
        let full = self.sessions.len() >= self.config.limits.sessions;
        if self.draining || full || wanted.title.len() > MOST_TITLE {
            self.counts.over_bound += u64::from(full);
            self.counts.refused += 1;
            let answer = Answer::Refused { retry_after: self.config.retry_after };
            return self.out.push(Output::Answer { ask, answer });
        }
        let id = RequestId(self.next);
        self.next += 1;
        let class = &self.config.classes[wanted.class];
        let left = wanted.came + class.patience - self.config.limits.margin - now;
        let (home, copies) = self.config.home(&wanted.title);
        let fits = |bits: u64| {
            let ladder = self.config.ladder_bits(wanted.class);
            ladder.iter().rposition(|&rate| rate <= bits).unwrap_or(0)
        };
        let top = wanted.top_bits.map_or(usize::MAX, fits).max(class.floor);
        let viewing =
            Viewing { class: wanted.class, title: wanted.title.clone(), left, hint: None, home, copies, top };
        let seated = wanted.seated;
        let session = Session {
            token,
            alias,
            wanted,
            asks: vec![ask],
            state: State::Placing,
            attempts: 0,
            server: None,
            rung: 0,
            last: Status::Ok,
            seen: now,
            tries: 1,
            used: None,
            bytes: None,
        };
        self.sessions.insert(id, session);
        self.tokens.insert(token, id);
        self.aliases.insert(alias, id);
        self.asks.insert(ask, id);
        if let Some(key) = key {
            self.viewers.insert(key, id);
        }
        if let Some(seated) = seated {
            self.seats.insert(seated.seat, id);
        }
        self.tell(now, Event::Request { id, viewing });
    }

    /// The session that a request with a seat joins. A seat has one session: another one that has it is ended.
    fn with_seat(&mut self, now: Micros, seated: Seated, wanted: &Wanted) -> Option<RequestId> {
        let id = *self.seats.get(&seated.seat)?;
        let held = self.sessions.get(&id)?;
        let hls = (held.wanted.via, wanted.via) == (Via::Hls, Via::Hls);
        let same = hls && (held.wanted.class, &held.wanted.title) == (wanted.class, &wanted.title);
        if same && !seated.takes_over && !matches!(held.state, State::Releasing(_)) {
            return Some(id);
        }
        self.seats.remove(&seated.seat);
        self.stop(now, id);
        None
    }

    /// Ends a session whatever it is at.
    pub(super) fn stop(&mut self, now: Micros, id: RequestId) {
        let Some(session) = self.sessions.get(&id) else { return };
        if session.is_placed() && session.server.is_none() {
            self.tell(now, Event::Gone { id });
            self.give_up(id, Answer::Failed { late: false });
        } else {
            self.release(id, Status::Cancelled);
        }
    }

    /// Whether a session has the seat, be it one that is being ended.
    pub fn has_session(&self, seat: SeatId) -> bool {
        self.seats.contains_key(&seat)
    }

    /// The seat, class and title of a session that plays.
    pub fn seat_of(&self, token: Token) -> Option<(SeatId, usize, String)> {
        let session = self.sessions.get(self.tokens.get(&token)?)?;
        let seated = session.wanted.seated?;
        Some((seated.seat, session.wanted.class, session.wanted.title.clone()))
    }

    /// Whether a session ended since its right was over.
    pub fn has_lapsed(&self, token: Token) -> bool {
        self.lapsed.contains(&token)
    }

    /// The last of a session's viewers left before the answer: nothing more is sent for it.
    pub(super) fn ask_dropped(&mut self, now: Micros, ask: Ask) {
        let Some(id) = self.asks.remove(&ask) else { return };
        let Some(session) = self.sessions.get_mut(&id) else { return };
        session.asks.retain(|&a| a != ask);
        if session.asks.is_empty() && session.is_placed() {
            self.counts.left += 1;
            self.tell(now, Event::Gone { id });
            self.give_up(id, Answer::Failed { late: false });
        }
    }
}
