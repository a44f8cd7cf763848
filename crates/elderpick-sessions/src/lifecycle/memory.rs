//! Memory that sessions may take, by the limit that the platform sets for the process.

use super::{Lifecycle, MOST_OPEN, MOST_REMEMBERED, MOST_SESSIONS, Session};
use crate::pending::ExpiringMap;

/// What a session takes beside its texts: here, in the decision module and in what refers to it.
const SESSION_BYTES: usize = 1_024;
/// The part of the limit that sessions may take; the rest is for connections, for what is remembered and for the
/// process itself.
const SESSIONS_SHARE: (usize, usize) = (2, 5);

/// Memory of sessions.
pub(super) struct SessionMemory {
    most: usize,
    used: usize,
}

impl SessionMemory {
    /// As much as the most sessions take, each with a name that is usual.
    pub(super) fn unlimited() -> SessionMemory {
        SessionMemory { most: usize::MAX, used: 0 }
    }

    /// Whether there is room for one more session.
    pub(super) fn has_room(&self) -> bool {
        self.used < self.most
    }

    /// Most sessions that fit.
    fn sessions(&self) -> usize {
        (self.most / SESSION_BYTES).min(MOST_SESSIONS)
    }
}

impl Lifecycle {
    /// Keeps sessions, and what is remembered of them, within a limit on the process's memory in bytes; 0 if there is
    /// none.
    pub fn with_memory_limit(mut self, bytes: usize) -> Lifecycle {
        if bytes == 0 {
            return self;
        }
        let (part, whole) = SESSIONS_SHARE;
        self.memory.most = (bytes / whole).saturating_mul(part);
        let remembered = MOST_REMEMBERED.min(self.memory.sessions() + MOST_OPEN);
        self.withdrawn = ExpiringMap::new(remembered, super::LONGEST_OUTAGE);
        self.unconfirmed = ExpiringMap::new(remembered, super::LONGEST_OUTAGE);
        self.recent_answers = ExpiringMap::new(remembered, super::ANSWERS_KEPT_FOR);
        self.recent_ends = ExpiringMap::new(remembered, super::ENDS_KEPT_FOR);
        self
    }

    /// Most sessions that may stand.
    pub fn most_sessions(&self) -> usize {
        self.memory.sessions()
    }

    /// Bytes that sessions are counted with.
    pub fn session_bytes(&self) -> usize {
        self.memory.used
    }

    /// Whether one more session may be held.
    pub(super) fn has_room(&self) -> bool {
        self.sessions.len() < MOST_SESSIONS && self.memory.has_room()
    }

    /// Holds a session whose title has so many bytes.
    pub(super) fn insert_session(&mut self, session: u64, mut held: Session, title: usize) {
        // As it waits, and as it is written to its host.
        let set_up = held.set_up.as_ref().map_or(0, |set_up| 2 * set_up.description.len());
        held.bytes = SESSION_BYTES + title + set_up;
        self.memory.used += held.bytes;
        self.sessions.insert(session, held);
    }

    /// Holds a session no longer.
    pub(super) fn remove_session(&mut self, session: u64) -> Option<Session> {
        let held = self.sessions.remove(&session)?;
        self.memory.used -= held.bytes;
        Some(held)
    }

    /// What was asked for is needed no longer: its session plays.
    pub(super) fn drop_set_up(&mut self, session: u64) {
        let Some(held) = self.sessions.get_mut(&session) else { return };
        let Some(set_up) = held.set_up.take() else { return };
        let freed = 2 * set_up.description.len();
        held.bytes -= freed;
        self.memory.used -= freed;
    }
}
