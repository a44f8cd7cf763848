//! Answers that wait a moment before they are told.
//!
//! A session stands at its host before its viewer hears of it, and its viewer may leave in that very moment. The host's
//! word of it is then on its way while the answer is about to be written, and the answer would promise what is over. No
//! gateway can know what is still on its way; but viewers look at their delivery at the same time as others do, so that
//! where any host has just spoken of delivery, or of a viewer that left, the answer waits for such a word.

use std::collections::BTreeMap;

use bytes::Bytes;
use elderpick_core::api::{Micros, Note, ServerId};
use elderpick_platform::viewer::cause;

use crate::life::{Attempt, Input};

/// While viewers look an answer waits so long; a host's word takes half of that.
const MOMENT: Micros = 3_000;

#[derive(Debug)]
struct Held {
    attempt: Attempt,
    description: Bytes,
    /// The cause for which its host has ended the session meanwhile.
    over: Option<u8>,
}

/// Answers that wait; bounded by the set-ups that may be open.
#[derive(Debug, Default)]
pub struct Answers {
    held: BTreeMap<(ServerId, u64), Held>,
    /// When a host last spoke of delivery, or of a viewer that left.
    looked: Option<Micros>,
    /// The attempt whose answer has waited and is told now.
    told: Option<Attempt>,
}

impl Answers {
    /// Takes what happens; gives it back where it is for the life of sessions now. An answer is kept, and so is its host's
    /// end of a session whose answer waits: that is told with it.
    pub fn take(&mut self, now: Micros, input: Input) -> Option<Input> {
        match input {
            Input::Noted { note: Note::Delivered(_), .. } => self.looked = Some(now),
            Input::Released { ref server, session, cause, .. } => {
                if cause == cause::ENDED_BY_VIEWER {
                    self.looked = Some(now);
                }
                // Only its own host ends it; another's word is of an attempt before.
                if let Some(held) = self.held.get_mut(&(server.clone(), session)) {
                    held.over = Some(cause);
                    return None;
                }
            }
            Input::Answer { server, session, attempt: Some(attempt), description, over: None }
                if self.told != Some(attempt) =>
            {
                let held = Held { attempt, description, over: None };
                self.held.insert((server, session), held);
                return None;
            }
            _ => {}
        }
        Some(input)
    }

    /// How long answers have to wait from now on.
    pub fn pause(&self, now: Micros) -> Micros {
        if self.looked.is_some_and(|at| now - at < MOMENT) { MOMENT } else { 0 }
    }

    /// Takes an answer out that is to be told now, if it waits and is that attempt's. It waits no more.
    pub fn tell(&mut self, server: &ServerId, session: u64, attempt: Attempt) -> Option<Input> {
        let key = (server.clone(), session);
        self.held.get(&key).filter(|held| held.attempt == attempt)?;
        let Held { attempt, description, over } = self.held.remove(&key)?;
        self.told = Some(attempt);
        let (server, session) = key;
        Some(Input::Answer { server, session, attempt: Some(attempt), description, over })
    }

    /// The first one that waits: its host, session and attempt.
    pub fn first(&self) -> Option<(ServerId, u64, Attempt)> {
        self.held.iter().next().map(|((server, session), held)| (server.clone(), *session, held.attempt))
    }
}
