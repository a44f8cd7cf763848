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
        if self.refused >= REFUSED || self.silent >= SILENT || (!known && self.connections == 0) {
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
mod tests {
    use super::*;

    fn up(now: Micros) -> Watch {
        let mut watch = Watch::new(now);
        assert_eq!(watch.next(now, true), Next::Open);
        assert_eq!(watch.next(now, true), Next::Nothing, "one opening at a time");
        watch.opened(now, Opened::Up);
        watch
    }

    /// Asks every 10 ms until the host is lost; openings end as told.
    fn lost_after(watch: &mut Watch, from: Micros, how: Opened) -> Micros {
        for now in (from..).step_by(10_000) {
            match watch.next(now, true) {
                Next::Lost => return now - from,
                Next::Open => watch.opened(now, how),
                _ => {}
            }
        }
        unreachable!("the host is lost some time")
    }

    #[test]
    fn a_host_that_died_is_lost_at_once_and_a_silent_one_within_five_seconds() {
        let mut died = up(0);
        died.closed(false);
        assert!(lost_after(&mut died, PAUSE, Opened::Refused) <= 200_000);
        let mut silent = up(0);
        let after = lost_after(&mut silent, 0, Opened::Silent);
        assert!((QUIET + TESTED..5_000_000).contains(&after), "{after}");
    }

    #[test]
    fn a_reset_connection_and_a_quiet_host_lose_nothing() {
        let mut watch = up(0);
        for now in (0..60_000_000).step_by(50_000) {
            if now % 700_000 == 0 {
                watch.closed(true);
            }
            match watch.next(now, true) {
                Next::Lost => panic!("lost at {now}"),
                Next::Open => watch.opened(now, Opened::Up),
                Next::Test => watch.heard(now),
                Next::Nothing => {}
            }
        }
    }

    #[test]
    fn a_connection_that_broke_is_followed_by_a_new_one_though_others_are_up() {
        let mut watch = up(0);
        watch.opened(0, Opened::Up);
        watch.closed(true);
        assert_eq!(watch.next(PAUSE, true), Next::Nothing, "all was read");
        watch.opened(0, Opened::Up);
        watch.closed(false);
        assert_eq!(watch.next(PAUSE, true), Next::Open, "what went down with it comes on a new one");
        watch.opened(PAUSE, Opened::Up);
        assert_eq!(watch.next(3 * PAUSE, true), Next::Nothing);
    }

    #[test]
    fn a_host_that_left_the_list_is_lost_with_its_last_connection() {
        let mut watch = up(0);
        assert_eq!(watch.next(10, false), Next::Nothing);
        watch.closed(true);
        assert_eq!(watch.next(20, false), Next::Lost);
    }

    #[test]
    fn a_bound_of_ours_is_no_word_on_the_host() {
        let mut watch = up(0);
        watch.closed(true);
        for now in (PAUSE..60_000_000).step_by(50_000) {
            match watch.next(now, true) {
                Next::Lost => panic!("lost at {now}"),
                Next::Open => watch.opened(now, Opened::NoRoom),
                _ => {}
            }
        }
    }
}
