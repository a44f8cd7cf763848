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
/// A test that is not answered by then tells that the host is lost, also where no new connection can be tried: its
/// viewers have to hear within 8 s of an end.
const UNANSWERED: Micros = 4_000_000;
/// An opening that has not ended by then holds up the next one no longer, however long the settings let it take:
/// connections that come up late do so within a second.
const NEXT_OPENING: Micros = 1_200_000;
/// Connections that are refused, or do not come up, before the host counts as lost.
const REFUSED: u32 = 2;
const SILENT: u32 = 3;
/// Pause between them.
const PAUSE: Micros = 100_000;

/// What to do for a host.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Next {
    /// Nothing is due.
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
    /// It came up.
    Up,
    /// It was refused.
    Refused,
    /// It did not come up in time.
    Silent,
    /// This gateway had no descriptor or address left for it, which says nothing of the host.
    NoRoom,
}

/// What is known of a host's lifecycle.
#[derive(Clone, Debug)]
pub struct HealthMonitor {
    heard: Micros,
    tested: Option<Micros>,
    connections: usize,
    /// A connection broke and may have taken words along, which the host says again on the next one only.
    missed: bool,
    /// Openings that are on their way, and how many of them had begun when the last connection broke.
    openings: usize,
    openings_before_break: usize,
    /// Since when the newest opening is on its way.
    opening: Option<Micros>,
    /// Since when connections are opened, none came up, and nothing was heard on those that are up.
    reaching: Option<Micros>,
    refused: u32,
    silent: u32,
    not_before: Micros,
}

impl HealthMonitor {
    /// A monitor of a host that was heard at this time.
    pub fn new(now: Micros) -> HealthMonitor {
        let (refused, silent, not_before) = (0, 0, now);
        HealthMonitor {
            heard: now,
            tested: None,
            connections: 0,
            missed: false,
            openings: 0,
            openings_before_break: 0,
            opening: None,
            reaching: None,
            refused,
            silent,
            not_before,
        }
    }

    /// Anything was read from the host.
    pub fn heard(&mut self, now: Micros) {
        (self.heard, self.tested, self.reaching, self.refused, self.silent) = (now, None, None, 0, 0);
    }

    /// A connection of the host's ended; `whole` tells that all that the host said on it was read.
    pub fn closed(&mut self, whole: bool) {
        self.connections = self.connections.saturating_sub(1);
        if !whole {
            self.missed = true;
            self.openings_before_break = self.openings;
        }
    }

    /// An opening begins, whoever asked for it.
    pub fn opening_began(&mut self) {
        self.openings += 1;
    }

    /// A connection of the host's was closed to make room for another host's: that one goes first.
    pub fn made_room(&mut self, now: Micros) {
        self.not_before = now + 2 * PAUSE;
    }

    /// When the host last said anything. Where there is no room for all, who was heard longest ago goes first.
    pub fn last_heard(&self) -> Micros {
        self.heard
    }

    /// An opening, whoever asked for it, ended so.
    pub fn opened(&mut self, now: Micros, how: Opened) {
        self.opening = None;
        self.openings = self.openings.saturating_sub(1);
        // The host may have taken it before the other connection broke: then it is not the next one.
        let began_before_break = self.openings_before_break > 0;
        self.openings_before_break = self.openings_before_break.saturating_sub(1);
        match how {
            Opened::Up => {
                self.connections += 1;
                self.missed &= began_before_break;
                self.heard(now);
            }
            Opened::Refused => self.refused += 1,
            Opened::Silent => self.silent += 1,
            // Nothing was asked of the host.
            Opened::NoRoom => self.reaching = None,
        }
        self.not_before = now + PAUSE;
    }

    /// Whether any connection to the host is up.
    pub fn connected(&self) -> bool {
        self.connections > 0
    }

    /// What to do now for a host where sessions stand. `known` says that the list still has it: the address of one that
    /// is gone may be another's by now.
    pub fn next(&mut self, now: Micros, known: bool) -> Next {
        if self.is_lost(now, known) {
            return Next::Lost;
        }
        let doubtful = self.refused + self.silent > 0 || self.tested.is_some_and(|at| now - at >= TESTED);
        if self.connections == 0 || doubtful || (self.missed && known) {
            let opening = self.opening.is_some_and(|since| now - since < NEXT_OPENING);
            if opening || now < self.not_before {
                return Next::Nothing;
            }
            if !known {
                // No new connection can tell of it, and it has not answered its test.
                return Next::Lost;
            }
            self.opening = Some(now);
            self.reaching = self.reaching.or(Some(now));
            return Next::Open;
        }
        if self.tested.is_none() && now - self.heard >= QUIET {
            self.tested = Some(now);
            return Next::Test;
        }
        Next::Nothing
    }

    /// Whether what was asked of the host tells that it runs no more. None of the bounds depends on how long the
    /// settings let a connection take to come up: viewers have to hear within 8 s of an end.
    fn is_lost(&self, now: Micros, known: bool) -> bool {
        let untested = self.tested.is_some_and(|since| now - since >= UNANSWERED);
        let unreached = self.reaching.is_some_and(|since| now - since >= UNANSWERED);
        let gone = !known && self.connections == 0;
        self.refused >= REFUSED || self.silent >= SILENT || untested || unreached || gone
    }
}

#[cfg(test)]
#[path = "../tests/unit/health.rs"]
mod tests;
