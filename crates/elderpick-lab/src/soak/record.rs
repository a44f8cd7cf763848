//! What the peers of a gateway saw, in order and with times.

use std::cell::{Cell, RefCell};
use std::fmt;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// The number of a viewers' connection.
pub type Connection = usize;

/// Something that a peer saw or did.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum What {
    /// The last byte of a set-up was written.
    SetUpWritten { session: u64, connection: Connection, paid: bool, patience: Duration },
    /// A viewer gave a set-up up: the last byte of that was written.
    GivenUp { session: u64 },
    /// A viewer ended a session.
    EndedByViewer { session: u64 },
    /// A final answer was read: the session stands, with this description.
    Served { session: u64, description: String },
    /// A final answer was read: it does not, or a session is over.
    Released { session: u64, cause: u8 },
    /// The gateway ended a viewers' connection, or it was never accepted.
    Closed { connection: Connection },
    /// Viewers reset their connection: what was open on it is given up.
    LeftConnection { connection: Connection },
    /// A set-up arrived whole at a host.
    Arrived { host: usize, session: u64 },
    /// A host wrote its answer: the session stands there.
    Answered { host: usize, session: u64, description: String },
    /// The answer that a host wrote last for a session was spoilt, or its connection ended within it.
    AnswerBroken { host: usize, session: u64 },
    /// A host wrote that it did not take a set-up.
    Refused { host: usize, session: u64, status: u16 },
    /// A set-up is no longer open at a host: withdrawn, or its connection has ended.
    Withdrawn { host: usize, session: u64 },
    /// A host wrote that a session is over.
    EndedByHost { host: usize, session: u64, cause: u8 },
    /// A session was cut by the death of its host, or an end that the gateway had not confirmed went down with it.
    Cut { host: usize, session: u64 },
    /// The list has told that a host runs anew, or is gone.
    ReplacementListed { host: usize },
    /// A host hangs or is cut off: nothing that is sent to it arrives.
    HostSuspended { host: usize },
    /// It goes on, and gets what it was sent.
    HostResumed { host: usize },
    /// The gateway released a session at a host where it stood.
    ReleasedAtHost { host: usize, session: u64 },
    /// A session was handed over to a gateway that started anew: the last byte of that was written.
    HandedOver { session: u64 },
    /// The gateway's process has started.
    Started,
    /// The gateway was killed without a warning.
    Killed,
    /// SIGTERM was sent to the gateway.
    Terminated,
    /// The gateway's process was stopped where it was.
    Stopped,
    /// It goes on.
    Resumed,
    /// The gateway's process has ended; `clean` tells that it did so by itself and without an error.
    Ended { clean: bool },
}

/// One entry of a record.
#[derive(Clone, Debug)]
pub struct Entry {
    /// Time since the trial began.
    pub at: Duration,
    /// What was seen.
    pub what: What,
}

impl fmt::Display for Entry {
    fn fmt(&self, out: &mut fmt::Formatter) -> fmt::Result {
        write!(out, "{:9.4} {:?}", self.at.as_secs_f64(), self.what)
    }
}

/// The record of one trial. Clones share it.
#[derive(Clone)]
pub struct Record {
    began: Instant,
    entries: Rc<RefCell<Vec<Entry>>>,
    latest: Rc<Cell<Duration>>,
}

impl Default for Record {
    fn default() -> Record {
        Record { began: Instant::now(), entries: Rc::default(), latest: Rc::default() }
    }
}

impl Record {
    /// Another record of the same trial, with the same clock.
    pub fn beside(&self) -> Record {
        Record { began: self.began, entries: Rc::default(), latest: self.latest.clone() }
    }

    /// Time since the trial began.
    pub fn now(&self) -> Duration {
        self.began.elapsed()
    }

    /// Adds what happened just now.
    pub fn add(&self, what: What) {
        let at = self.now();
        self.entries.borrow_mut().push(Entry { at, what });
    }

    /// All entries, the oldest first.
    pub fn entries(&self) -> Vec<Entry> {
        self.entries.borrow().clone()
    }

    /// The trial's own program ran late by so much.
    pub fn ran_late(&self, by: Duration) {
        self.latest.set(self.latest.get().max(by));
    }

    /// The most that the trial's own program ran late.
    pub fn latest(&self) -> Duration {
        self.latest.get()
    }
}
