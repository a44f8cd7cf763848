//! What the session lifecycle is told, what it asks for, and what it counts.

use bytes::Bytes;
use elderpick_core::api::{ListKind, Micros, Note, RefusalReason, Report, ServerId, Status};
use elderpick_platform::journal::Listed;
use elderpick_platform::viewer::SetUp;

use super::{AttemptId, Conn};
use crate::health::Opened;

/// What happens.
#[derive(Clone, Debug)]
pub enum Input {
    /// A viewer asks, over a connection; `received_at` is when its last byte arrived.
    SetUp {
        /// The connection.
        conn: Conn,
        /// When the last byte of the set-up arrived.
        received_at: Micros,
        /// What is asked for.
        set_up: SetUp,
    },
    /// A viewer gives a set-up up, on the connection that it was asked on, or ends a session, on any.
    Release {
        /// The connection.
        conn: Conn,
        /// The session's number.
        session: u64,
        /// The cause, as the platform numbers it.
        cause: u8,
    },
    /// A viewer's connection is gone.
    ClientDisconnected {
        /// The connection.
        conn: Conn,
    },
    /// A host has set a session up.
    Answer {
        /// The host.
        server: ServerId,
        /// The session's number.
        session: u64,
        /// The attempt that is out on the connection that this came on; `None` where none of the session's is.
        attempt: Option<AttemptId>,
        /// The description that the host answered with.
        description: Bytes,
        /// Its host has ended it since, for this cause, and nothing was answered yet.
        ended: Option<u8>,
    },
    /// A host has answered an attempt, and the answer is held for a moment: more of it may follow.
    AnswerHeld {
        /// The host.
        server: ServerId,
        /// The session's number.
        session: u64,
        /// The attempt.
        attempt: AttemptId,
    },
    /// A host has not.
    Refused {
        /// The host.
        server: ServerId,
        /// The session's number.
        session: u64,
        /// The attempt.
        attempt: AttemptId,
        /// How it ended.
        status: Status,
        /// The load that the host reported.
        report: Report,
    },
    /// A host ends a session.
    Released {
        /// The host.
        server: ServerId,
        /// The session's number.
        session: u64,
        /// As in [`Input::Answer`].
        attempt: Option<AttemptId>,
        /// The cause, as the platform numbers it.
        cause: u8,
        /// The load that the host reported.
        report: Report,
    },
    /// A host's answer that was passed on was cut, as what came behind it shows.
    AnswerSpoilt {
        /// The host.
        server: ServerId,
        /// The session's number.
        session: u64,
    },
    /// A host has heard a release.
    ReleaseConfirmed {
        /// The host.
        server: ServerId,
        /// The session's number.
        session: u64,
    },
    /// News on the delivery or the rung of a session.
    Note {
        /// The host.
        server: ServerId,
        /// The session's number.
        session: u64,
        /// The news.
        note: Note,
    },
    /// The connection of a set-up is gone, or never came up. What was not begun to be written never ran.
    ConnectionLost {
        /// The host.
        server: ServerId,
        /// The session's number.
        session: u64,
        /// The attempt.
        attempt: AttemptId,
        /// Its first byte was written.
        begun: bool,
    },
    /// The set-up was not written, since [`may_write`](super::Lifecycle::may_write) forbade it.
    NotSent {
        /// The host.
        server: ServerId,
        /// The session's number.
        session: u64,
        /// The attempt.
        attempt: AttemptId,
    },
    /// A call for load has ended.
    Probed {
        /// The host.
        server: ServerId,
        /// How it ended.
        status: Status,
        /// The load that the host reported.
        report: Report,
    },
    /// A connection to a host is being opened.
    Opening {
        /// The host.
        server: ServerId,
    },
    /// A connection to a host came up or did not.
    Opened {
        /// The host.
        server: ServerId,
        /// How that ended.
        how: Opened,
    },
    /// A host's connection ended.
    HostDisconnected {
        /// The host.
        server: ServerId,
        /// The host ended it, or it was read to its end: nothing that the host said on it is missing.
        whole: bool,
        /// Sessions whose withdrawal or release was said on it and not confirmed on it.
        unheard: Vec<u64>,
        /// It was closed to make room for one to another host.
        made_room: bool,
    },
    /// Anything was read from a host.
    Heard {
        /// The host.
        server: ServerId,
    },
    /// The list of hosts, or changes to it.
    List {
        /// What the list holds.
        kind: ListKind,
        /// The hosts that it names.
        hosts: Vec<Listed>,
    },
    /// All that the journal has is known now.
    CaughtUp,
    /// The journal cannot be reached.
    ListFailed,
    /// Time has passed.
    Tick,
    /// The gateway ends: further requests are refused at once. Sessions may still be handed over.
    Drain,
    /// The gateway ends now: each request that is open gets its final answer, and its attempt is withdrawn.
    Finish,
}

/// What is to be sent and done.
#[derive(Clone, PartialEq, Debug)]
pub enum Output {
    /// The final answer: it stands.
    Answer {
        /// The connection.
        conn: Conn,
        /// The session's number.
        session: u64,
        /// The description that the host answered with.
        description: Bytes,
    },
    /// The final answer: it does not. The cause tells whether asking again is harmless.
    Rejected {
        /// The connection.
        conn: Conn,
        /// The session's number.
        session: u64,
        /// The cause, as the platform numbers it.
        cause: u8,
        /// When to come back, where that is told.
        retry_after: Option<Micros>,
    },
    /// A session that stood is over; `conn` is where it was asked for.
    SessionEnded {
        /// The connection.
        conn: Option<Conn>,
        /// The session's number.
        session: u64,
        /// The cause, as the platform numbers it.
        cause: u8,
    },
    /// To a host, once [`may_write`](super::Lifecycle::may_write) says so right before the first byte.
    SetUp {
        /// The host.
        server: ServerId,
        /// The session's number.
        session: u64,
        /// The attempt.
        attempt: AttemptId,
        /// The name of the class.
        class: String,
        /// The title.
        title: String,
        /// How long the viewer waits at most.
        patience: Micros,
        /// The rung.
        rung: usize,
        /// The viewer's description of what it can play.
        description: Bytes,
    },
    /// A set-up is given up.
    Withdraw {
        /// The host.
        server: ServerId,
        /// The session's number.
        session: u64,
        /// The attempt.
        attempt: AttemptId,
    },
    /// A session is released at its host.
    Release {
        /// The host.
        server: ServerId,
        /// The session's number.
        session: u64,
        /// The cause, as the platform numbers it.
        cause: u8,
    },
    /// Serve a session at another rung.
    Rung {
        /// The host.
        server: ServerId,
        /// The session's number.
        session: u64,
        /// The rung.
        rung: usize,
    },
    /// Ask a host for its load.
    Probe {
        /// The host.
        server: ServerId,
    },
    /// Test a host on a connection that is up; anything that it sends is an answer.
    Test {
        /// The host.
        server: ServerId,
    },
    /// Open a connection to a host.
    Open {
        /// The host.
        server: ServerId,
    },
    /// A host is lost or another process: close what leads to it.
    Forget {
        /// The host.
        server: ServerId,
        /// Connections that came up later than this lead to the process that runs now, and stay.
        before: Option<Micros>,
    },
    /// Ask the journal whether all is known, and say [`Input::CaughtUp`].
    Fetch,
}

/// Counts since the start.
#[derive(Clone, Copy, PartialEq, Eq, Default, Debug)]
pub struct Counts {
    /// Set-ups that were accepted.
    pub accepted: u64,
    /// Set-ups that led to a session.
    pub served: u64,
    /// Set-ups that the decision module refused.
    pub refused: u64,
    /// Set-ups that failed.
    pub failed: u64,
    /// Set-ups that their viewers gave up.
    pub withdrawn: u64,
    /// Sessions that were handed over.
    pub handed_over: u64,
    /// Turned away at a bound of this file, or since they named what does not exist.
    pub rejected: u64,
    /// Hosts with sessions that were given up.
    pub hosts_lost: u64,
    /// Set-ups that were still open when the gateway ended, and were answered for that.
    pub finished: u64,
    /// Attempts that their hosts refused as full, or that were never sent.
    pub attempts_not_run: u64,
    /// Attempts that their hosts failed.
    pub attempts_failed: u64,
    /// Attempts whose time was up.
    pub attempts_timed_out: u64,
    /// Attempts whose connection broke, or did not come up.
    pub attempts_disconnected: u64,
    /// Sessions that their hosts ended right around the answer, so that it may have come too late for its viewer.
    pub ended_around_answer: u64,
    /// Those of them whose answer was held meanwhile: its viewer left without it.
    pub ended_while_held: u64,
    /// Sessions that their viewers left within a second of the answer, as those do whose delivery is short.
    pub left_early: u64,
    /// Set-ups that the decision module refused or failed without a further attempt, by reason.
    pub refusals: RefusalCounts,
}

/// Counts of set-ups that were not placed, by [`RefusalReason`].
#[derive(Clone, Copy, PartialEq, Eq, Default, Debug)]
#[allow(missing_docs, reason = "each field has the name of its reason")]
pub struct RefusalCounts {
    pub no_time: u64,
    pub no_seat: u64,
    pub retry_limit: u64,
    pub no_holder: u64,
    pub unresponsive: u64,
    pub avoided: u64,
    pub no_room: u64,
}

impl RefusalCounts {
    /// Counts a set-up that was not placed.
    pub(super) fn count(&mut self, reason: RefusalReason) {
        let count = match reason {
            RefusalReason::NoTime => &mut self.no_time,
            RefusalReason::NoSeat => &mut self.no_seat,
            RefusalReason::RetryLimit => &mut self.retry_limit,
            RefusalReason::NoHolder => &mut self.no_holder,
            RefusalReason::Unresponsive => &mut self.unresponsive,
            RefusalReason::Avoided => &mut self.avoided,
            RefusalReason::NoRoom => &mut self.no_room,
        };
        *count += 1;
    }
}

impl Counts {
    /// Counts an attempt that ended without a session.
    pub(super) fn count_attempt(&mut self, status: Status) {
        let count = match status {
            Status::Full | Status::Ignored => &mut self.attempts_not_run,
            Status::TimedOut => &mut self.attempts_timed_out,
            Status::Reset | Status::ConnectError => &mut self.attempts_disconnected,
            _ => &mut self.attempts_failed,
        };
        *count += 1;
    }
}
