//! What the session lifecycle is told, what it asks for, and what it counts.

use bytes::Bytes;
use elderpick_core::api::{ListKind, Micros, Note, Report, ServerId, Status};
use elderpick_platform::journal::Listed;
use elderpick_platform::viewer::SetUp;

use super::{AttemptId, Conn};
use crate::health::Opened;

/// What happens.
#[derive(Clone, Debug)]
pub enum Input {
    /// A viewer asks, over a connection; `received_at` is when its last byte arrived.
    SetUp {
        conn: Conn,
        received_at: Micros,
        set_up: SetUp,
    },
    /// A viewer gives a set-up up, on the connection that it was asked on, or ends a session, on any.
    Release {
        conn: Conn,
        session: u64,
        cause: u8,
    },
    /// A viewer's connection is gone.
    ClientDisconnected {
        conn: Conn,
    },
    /// A host has set a session up.
    Answer {
        server: ServerId,
        session: u64,
        /// The attempt that is out on the connection that this came on; `None` where none of the session's is.
        attempt: Option<AttemptId>,
        description: Bytes,
        /// Its host has ended it since, for this cause, and nothing was answered yet.
        over: Option<u8>,
    },
    /// A host has not.
    Refused {
        server: ServerId,
        session: u64,
        attempt: AttemptId,
        status: Status,
        report: Report,
    },
    /// A host ends a session.
    Released {
        server: ServerId,
        session: u64,
        /// As in [`Input::Answer`].
        attempt: Option<AttemptId>,
        cause: u8,
        report: Report,
    },
    /// A host has heard a release.
    ReleaseConfirmed {
        server: ServerId,
        session: u64,
    },
    Note {
        server: ServerId,
        session: u64,
        note: Note,
    },
    /// The connection of a set-up is gone, or never came up. What was not begun to be written never ran.
    ConnectionLost {
        server: ServerId,
        session: u64,
        attempt: AttemptId,
        begun: bool,
    },
    /// The set-up was not written, since [`Lifecycle::may_write`] forbade it.
    NotSent {
        server: ServerId,
        session: u64,
        attempt: AttemptId,
    },
    Probed {
        server: ServerId,
        status: Status,
        report: Report,
    },
    /// A connection to a host came up or did not.
    Opened {
        server: ServerId,
        how: Opened,
    },
    /// A host's connection ended.
    HostDisconnected {
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
        server: ServerId,
    },
    List {
        kind: ListKind,
        hosts: Vec<Listed>,
    },
    /// All that the journal has is known now.
    CaughtUp,
    /// The journal cannot be reached.
    ListFailed,
    /// Time has passed.
    Tick,
}

/// What is to be sent and done.
#[derive(Clone, PartialEq, Debug)]
pub enum Output {
    /// The final answer: it stands.
    Answer {
        conn: Conn,
        session: u64,
        description: Bytes,
    },
    /// The final answer: it does not. The cause tells whether asking again is harmless.
    Rejected {
        conn: Conn,
        session: u64,
        cause: u8,
        retry_after: Option<Micros>,
    },
    /// A session that stood is over; `conn` is where it was asked for.
    SessionEnded {
        conn: Option<Conn>,
        session: u64,
        cause: u8,
    },
    /// To a host, once [`Lifecycle::may_write`] says so right before the first byte.
    SetUp {
        server: ServerId,
        session: u64,
        attempt: AttemptId,
        class: String,
        title: String,
        patience: Micros,
        rung: usize,
        description: Bytes,
    },
    /// A set-up is given up.
    Withdraw {
        server: ServerId,
        session: u64,
        attempt: AttemptId,
    },
    /// A session is released at its host.
    Release {
        server: ServerId,
        session: u64,
        cause: u8,
    },
    Rung {
        server: ServerId,
        session: u64,
        rung: usize,
    },
    /// Ask a host for its load.
    Probe {
        server: ServerId,
    },
    /// Test a host on a connection that is up; anything that it sends is an answer.
    Test {
        server: ServerId,
    },
    /// Open a connection to a host.
    Open {
        server: ServerId,
    },
    /// A host is lost or another process: close what leads to it.
    Forget {
        server: ServerId,
    },
    /// Ask the journal whether all is known, and say [`Input::CaughtUp`].
    Fetch,
}

/// Counts since the start.
#[derive(Clone, Copy, PartialEq, Eq, Default, Debug)]
pub struct Counts {
    pub accepted: u64,
    pub served: u64,
    pub refused: u64,
    pub failed: u64,
    pub withdrawn: u64,
    pub handed_over: u64,
    /// Turned away at a bound of this file, or since they named what does not exist.
    pub rejected: u64,
    pub hosts_lost: u64,
}
