//! Attempts: seats, retry limits and budget, and the send itself.

use super::state::Session;
use super::{Controller, SHORTEST_ATTEMPT, SHORTEST_PART_OF_AIM};
use crate::api::{Action, Class, Effect, Micros, RequestId, ServerId};

/// Requests of the budget's window that are remembered.
const MOST_REQUEST_TIMES: usize = 65_536;

/// Less time than this is too little for an attempt of a class.
pub(super) fn shortest_attempt(class: &Class) -> Micros {
    let part_of_aim = Some(class.aim / SHORTEST_PART_OF_AIM).filter(|part| *part > 0);
    part_of_aim.map_or(SHORTEST_ATTEMPT, |part| part.min(SHORTEST_ATTEMPT))
}

impl Controller {
    /// From its send, or from being handed over, to its outcome a session has a seat.
    pub(super) fn seat_free(&self, session: &Session) -> bool {
        let (class, title) = (session.wish.class, &session.viewing.title);
        let taken = || self.occupancy.seats_taken(class, title);
        self.settings.classes[class].seats.is_none_or(|seats| taken() < seats)
    }

    /// Whether the rules let this session have a(nother) attempt now.
    pub(super) fn may_attempt(&self, session: &Session) -> bool {
        if session.attempted.is_empty() {
            return true;
        }
        let class = &self.settings.classes[session.wish.class];
        let ran_in_time = |since: Micros| {
            self.now < session.may_have_run.first().map_or(Micros::MAX, |ran| ran.sent_at + since)
        };
        let repeatable = match class.effect {
            Effect::Free => true,
            Effect::Guarded => ran_in_time(class.window),
            Effect::SingleShot => session.may_have_run.is_empty(),
        };
        let within = self.settings.max_attempts.is_none_or(|most| session.attempted.len() < most);
        repeatable && within && self.budget_left()
    }

    /// A request was taken. Requests that are no longer remembered allow no further attempts.
    pub(super) fn count_request(&mut self) {
        if self.request_times.len() >= MOST_REQUEST_TIMES {
            self.request_times.pop_front();
        }
        self.request_times.push_back(self.now);
        let since = self.now - self.settings.budget.map_or(0, |budget| budget.window);
        for times in [&mut self.request_times, &mut self.retry_times] {
            while times.front().is_some_and(|&at| at < since) {
                times.pop_front();
            }
        }
    }

    /// Whether a further attempt that was decided before may still be sent: of a guarded class only within
    /// its window behind the first that may have run.
    pub fn may_send_at(&self, now: Micros, id: RequestId) -> bool {
        let Some(session) = self.sessions.get(&id) else { return true };
        let class = &self.settings.classes[session.wish.class];
        let first_ran = session.may_have_run.first().map(|ran| ran.sent_at);
        class.effect != Effect::Guarded || first_ran.is_none_or(|sent_at| now < sent_at + class.window)
    }

    fn budget_left(&self) -> bool {
        let Some(budget) = self.settings.budget else { return true };
        let since = self.now - budget.window;
        let extras = self.retry_times.len() - self.retry_times.partition_point(|&at| at < since);
        let taken = self.request_times.len() - self.request_times.partition_point(|&at| at <= since);
        (extras + 1) as f64 <= budget.free + budget.share * taken as f64
    }

    pub(super) fn send(&mut self, id: RequestId, server: ServerId, rung: usize) {
        let session = self.sessions.get_mut(&id).expect("placed sessions are held");
        let class = &self.settings.classes[session.wish.class];
        let left = session.deadline - self.now;
        // A class that may be repeated leaves half of its wanted time to a second try.
        let last = self.settings.max_attempts.is_some_and(|most| session.attempted.len() + 1 >= most);
        let half = (session.aim_deadline - self.now) / 2;
        let once = last || class.effect == Effect::SingleShot || half < shortest_attempt(class);
        let timeout = if once { left } else { half.min(left) };
        if !session.attempted.is_empty() {
            self.retry_times.push_back(self.now);
        }
        session.wish.rung = rung;
        session.sent_at = self.now;
        session.attempted.push(server.clone());
        self.out.push(Action::Rate { id, rung });
        self.out.push(Action::Send { id, server: server.clone(), timeout });
        if let Some(turn) = self.settings.cold.map(|cold| self.cold_turn(&self.servers[&server], cold).0) {
            let given = &mut self.servers.get_mut(&server).expect("drawn from the list").given;
            *given = (turn, if given.0 == turn { given.1 + 1 } else { 1 });
        }
        self.occupy(id, server);
    }
}
