//! The final answer to a session that is not placed, and the reason for it.

use super::Controller;
use crate::api::{Action, Effect, Group, RefusalReason, RequestId};

impl Controller {
    /// The final answer when no attempt is to follow: refused where it may be set up again, else failed.
    pub(super) fn give_up(&mut self, id: RequestId, reason: RefusalReason) {
        let Some(session) = self.forget(id) else { return };
        self.refusals.push((id, reason));
        let class = &self.settings.classes[session.wish.class];
        let harmless = match class.effect {
            Effect::Free => true,
            Effect::Guarded => session.may_have_run.is_empty() || class.group == Group::All,
            Effect::SingleShot => session.may_have_run.is_empty(),
        };
        let refuse = Action::Refuse { id, retry_after: self.settings.max_retry_after };
        let in_time = session.deadline > self.now;
        self.out.push(if harmless && in_time { refuse } else { Action::Fail { id } });
    }

    /// Why the last event left a session without an attempt, if it did.
    pub fn refusal(&self, id: RequestId) -> Option<RefusalReason> {
        self.refusals.iter().find(|(refused, _)| *refused == id).map(|(_, reason)| *reason)
    }

    /// Why none of the listed servers may be given a session.
    pub(super) fn why_none_usable(&self, id: RequestId) -> RefusalReason {
        let session = &self.sessions[&id];
        let holders = self.holders(&session.viewing);
        let untried = holders.iter().filter(|server| !session.attempted.contains(server));
        let mut holders = untried.map(|server| &self.servers[server]);
        match holders.next() {
            None => RefusalReason::NoHolder,
            Some(first) if first.unresponsive && holders.all(|server| server.unresponsive) => {
                RefusalReason::Unresponsive
            }
            Some(_) => RefusalReason::Avoided,
        }
    }
}
