//! The place in the journal: which events are news, and when to ask again.

use elderpick_core::api::Micros;

/// What to do with an event that came.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Take {
    /// It is the next one, or holds the whole list.
    Apply,
    /// It is known: the journal says some things twice.
    Known,
    /// Events before it are missing: ask again from the place that is held.
    Gap,
}

/// Pause before the first further call, and the longest one.
const FIRST: Micros = 20_000;
const LONGEST: Micros = 1_000_000;

/// Follows the numbers, which decide what is news. What arrives when does not.
#[derive(Clone, Debug, Default)]
pub struct Follow {
    place: u64,
    failed: u32,
    /// The event that was asked for once more, since part of it could not be read.
    doubted: Option<u64>,
}

impl Follow {
    /// Follows the journal from behind this event.
    pub fn new(place: u64) -> Follow {
        Follow { place, ..Follow::default() }
    }

    /// The number of the last event that was taken.
    pub fn place(&self) -> u64 {
        self.place
    }

    /// `read` tells whether all that the event names could be read. If not it is asked for once more, and then taken
    /// for what can be read of it: a host that is never readable must not hide the events behind.
    pub fn take(&mut self, number: u64, whole: bool, read: bool) -> Take {
        if number <= self.place {
            return Take::Known;
        }
        if number > self.place + 1 && !whole {
            return Take::Gap;
        }
        if !read && self.doubted.replace(number) != Some(number) {
            return Take::Gap;
        }
        self.place = number;
        Take::Apply
    }

    /// News or a comment was read: the journal is there, and the next break is a first one. An opening alone, or what
    /// is known, is no such sign: a service that breaks off behind it each time would be called without a pause.
    pub fn heard(&mut self) {
        self.failed = 0;
    }

    /// The stream ended or could not be opened: the time to wait before the next call.
    pub fn broke(&mut self) -> Micros {
        let pause = (FIRST << self.failed.min(10)).min(LONGEST);
        self.failed += 1;
        pause
    }
}

#[cfg(test)]
#[path = "../tests/unit/follow.rs"]
mod tests;
