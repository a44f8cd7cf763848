//! How long the tasks of a gateway keep each other waiting: it runs on one thread, and what takes long stops all else.

use std::cell::Cell;

use elderpick_core::api::Micros;

use crate::node::Node;

/// What takes a turn.
#[derive(Clone, Copy)]
pub(crate) enum Turn {
    /// What was read from a connection of viewers.
    Viewers,
    /// What was read from a connection to a host.
    Hosts,
    /// One event of the journal.
    Journal,
    /// What was due at a time.
    Timers,
}

/// The longest turn of each kind.
#[derive(Default)]
pub(crate) struct LongestTurns {
    viewers: Cell<Micros>,
    hosts: Cell<Micros>,
    journal: Cell<Micros>,
    timers: Cell<Micros>,
}

/// The same, taken to be told; in microseconds.
#[derive(Debug)]
#[allow(dead_code, reason = "told in the log")]
pub(crate) struct ToldTurns {
    viewers: Micros,
    hosts: Micros,
    journal: Micros,
    timers: Micros,
}

impl LongestTurns {
    fn of(&self, turn: Turn) -> &Cell<Micros> {
        match turn {
            Turn::Viewers => &self.viewers,
            Turn::Hosts => &self.hosts,
            Turn::Journal => &self.journal,
            Turn::Timers => &self.timers,
        }
    }

    /// The longest since this was asked last.
    pub(crate) fn take(&self) -> ToldTurns {
        ToldTurns {
            viewers: self.viewers.take(),
            hosts: self.hosts.take(),
            journal: self.journal.take(),
            timers: self.timers.take(),
        }
    }
}

impl Node {
    /// Does a turn's work and counts the time that it takes.
    pub(crate) fn in_turn<T>(&self, turn: Turn, work: impl FnOnce() -> T) -> T {
        let began = self.now();
        let done = work();
        let longest = self.longest_turns.of(turn);
        longest.set(longest.get().max(self.now() - began));
        done
    }
}
