//! Whether a media host still runs, as its connections tell.
//!
//! Sessions outlive connections: one that breaks ends none. But a host that died says nothing more, and what played
//! there must be given back to its viewers. So a host where sessions stand always has a connection, is tested when it
//! says nothing for a while, and counts as lost when no new connection to it comes up.

use elderpick_core::api::Micros;

/// A host that says nothing for so long is tested.
const QUIET: Micros = 2_000_000;
/// The test's answer is waited for so long, then a new connection must show that the host is there.
const TESTED: Micros = 1_000_000;
/// A test that is not answered by then tells that the host is lost, also where no new connection can be tried: its viewers
/// have to hear within 8 s of an end.
const UNANSWERED: Micros = 4_000_000;
/// Connections that are refused, or do not come up, before the host counts as lost.
const REFUSED: u32 = 2;
const SILENT: u32 = 3;
/// Pause between them.
const PAUSE: Micros = 100_000;

/// What to do for a host.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Next {
    Nothing,
    /// Send a test on a connection that is up.
    Test,
    /// Open a connection.
    Open,
    /// The host is lost.
    Lost,
}

/// How an opening ended.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Opened {
    Up,
    Refused,
    /// It did not come up in time.
    Silent,
    /// This gateway had no descriptor or address left for it, which says nothing of the host.
    NoRoom,
}

/// What is known of a host's life.
#[derive(Clone, Debug)]
pub struct Watch {
    heard: Micros,
    tested: Option<Micros>,
    connections: usize,
    /// A connection broke and may have taken words along, which the host says again on the next one only.
    missed: bool,
    opening: bool,
    refused: u32,
    silent: u32,
    not_before: Micros,
}

impl Watch {
    pub fn new(now: Micros) -> Watch {
        let (refused, silent, not_before) = (0, 0, now);
        Watch {
            heard: now,
            tested: None,
            connections: 0,
            missed: false,
            opening: false,
            refused,
            silent,
            not_before,
        }
    }

    /// Anything was read from the host.
    pub fn heard(&mut self, now: Micros) {
        (self.heard, self.tested, self.refused, self.silent) = (now, None, 0, 0);
    }

    /// A connection of the host's ended; `whole` tells that all that the host said on it was read.
    pub fn closed(&mut self, whole: bool) {
        self.connections = self.connections.saturating_sub(1);
        self.missed |= !whole;
    }

    /// An opening, whoever asked for it, ended so.
    pub fn opened(&mut self, now: Micros, how: Opened) {
        self.opening = false;
        match how {
            Opened::Up => {
                self.connections += 1;
                self.missed = false;
                self.heard(now);
            }
            Opened::Refused => self.refused += 1,
            Opened::Silent => self.silent += 1,
            Opened::NoRoom => {}
        }
        self.not_before = now + PAUSE;
    }

    pub fn connected(&self) -> bool {
        self.connections > 0
    }

    /// What to do now for a host where sessions stand. `known` says that the list still has it: the address of one that
    /// is gone may be another's by now.
    pub fn next(&mut self, now: Micros, known: bool) -> Next {
        let unanswered = self.tested.is_some_and(|at| now - at >= UNANSWERED);
        if self.refused >= REFUSED || self.silent >= SILENT || unanswered || (!known && self.connections == 0)
        {
            return Next::Lost;
        }
        let doubtful = self.refused + self.silent > 0 || self.tested.is_some_and(|at| now - at >= TESTED);
        if self.connections == 0 || doubtful || (self.missed && known) {
            if self.opening || now < self.not_before {
                return Next::Nothing;
            }
            if !known {
                // No new connection can tell of it, and it has not answered its test.
                return Next::Lost;
            }
            self.opening = true;
            return Next::Open;
        }
        if self.tested.is_none() && now - self.heard >= QUIET {
            self.tested = Some(now);
            return Next::Test;
        }
        Next::Nothing
    }
}

#[cfg(test)]
#[path = "../tests/unit/watch.rs"]
mod tests;
