//! What the engine is told, what it asks for, and what it counts.
//!
//! kind: decisions

use std::net::{IpAddr, SocketAddr};

use elderpick_core::api::{ListKind, Micros, Report, RequestId, ServerId, Status};
use elderpick_entitle::registry::SeatId;
use elderpick_ledger::accounts::Outcome;

use crate::membership::Told;

/// A session's name in URIs: 128 bits that cannot be guessed.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Debug)]
pub struct Token(pub u128);

impl Token {
    pub fn parse(text: &str) -> Option<Token> {
        let plain =
            text.len() == 32 && text.bytes().all(|b| b.is_ascii_digit() || (b'a'..=b'f').contains(&b));
        plain.then(|| u128::from_str_radix(text, 16).ok()).flatten().map(Token)
    }
}

impl std::fmt::Display for Token {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

/// The number that the runtime gives a viewer's request.
pub type Ask = u64;

/// By what a request is known to be another try of one that is held already: the address it came from and the session
/// id that players tell by CMCD (CTA-5004).
#[derive(Clone, PartialEq, Eq, Hash, Debug)]
pub struct Viewer {
    pub from: IpAddr,
    pub sid: String,
}

/// The seat that a licensed session has.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct Seated {
    pub seat: SeatId,
    /// What another device plays with it ends.
    pub takes_over: bool,
}

/// Who is billed for a session, and who plays it as far as that is known.
#[derive(Clone, PartialEq, Eq, Default, Debug)]
pub struct Payer {
    pub tenant: String,
    pub licence: String,
    pub viewer: String,
}

/// What the ledger is to know of a session. Names are those that media hosts know; times are the engine's.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum Use {
    Began {
        session: Token,
        payer: Payer,
        class: usize,
        title: String,
        rung: usize,
    },
    Rung {
        session: Token,
        rung: usize,
    },
    /// `at` may be before now: a viewer that fell silent used it no longer than it wanted to.
    Over {
        session: Token,
        at: Micros,
        tries: u32,
        outcome: Outcome,
        /// What its host says that it delivered.
        bytes: Option<u64>,
    },
}

/// How a viewer gets a session.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Via {
    /// Playlists from here, segments from the host.
    Hls,
    /// Packets that pass through here.
    Srt,
}

/// A request for a session.
#[derive(Clone, Debug)]
pub struct Wanted {
    pub via: Via,
    pub class: usize,
    pub title: String,
    pub viewer: Option<Viewer>,
    pub seated: Option<Seated>,
    pub payer: Payer,
    /// When it came.
    pub came: Micros,
    /// Highest rate that the viewer can use, bits a second.
    pub top_bits: Option<u64>,
    /// W3C trace context, passed on to media hosts.
    pub trace: Option<String>,
}

/// Whether a set-up that was decided may be written now.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Word {
    Write,
    /// It is to be heard first whether the process there is the one that was decided on.
    Wait,
    /// The list takes it out of service: the set-up never ran.
    Withdrawn,
    /// The process that was decided on is no more.
    Lost,
}

/// How an attempt ended.
#[derive(Debug)]
pub enum SetUp {
    /// The host plays; the base of its URIs and the multivariant playlist.
    Plays {
        base: url::Url,
        manifest: bytes::Bytes,
    },
    /// The host waits for packets at this address, under this stream id.
    Flows {
        at: SocketAddr,
        stream_id: String,
    },
    Failed(Status),
}

/// What a media host tells while sessions play.
#[derive(Clone, PartialEq, Debug)]
pub enum Said {
    Delivered(f64),
    Link(f64),
    Uplink(f64),
    /// It ended a session, and delivered so many bytes if it tells.
    Ended(Token, Option<u64>),
    /// When its process began, by its own clock.
    Began(Micros),
    /// It is not listened to at the moment, so that it is not known whether it is the same process.
    Broke,
    /// It cannot be reached any more, or is another process: what it played is lost.
    Lost,
}

#[derive(Debug)]
pub enum Input {
    /// News of the list; servers by name, with state and start.
    List {
        kind: ListKind,
        servers: Vec<Told>,
    },
    Ask {
        ask: Ask,
        wanted: Wanted,
        token: Token,
        /// The session's name at media hosts.
        alias: Token,
    },
    /// The viewer closed its connection before the answer.
    AskDropped {
        ask: Ask,
    },
    SetUp {
        id: RequestId,
        attempt: usize,
        result: SetUp,
        report: Report,
    },
    Released {
        id: RequestId,
        /// What its host says that it delivered.
        bytes: Option<u64>,
    },
    Probed {
        server: ServerId,
        status: Status,
        report: Report,
    },
    Said {
        server: ServerId,
        said: Said,
    },
    /// The viewer is done.
    Leave {
        token: Token,
    },
    /// The right to a seat is over: its session ends.
    Lapse {
        seat: SeatId,
    },
    /// No new session from now on.
    Drain,
    /// All that plays ends.
    End,
    Tick,
}

/// The final answer to one request.
#[derive(Clone, PartialEq, Debug)]
pub enum Answer {
    Plays {
        token: Token,
        manifest: String,
    },
    Flows {
        token: Token,
        at: SocketAddr,
        stream_id: String,
    },
    Refused {
        retry_after: Option<Micros>,
    },
    /// `late` when time ran out.
    Failed {
        late: bool,
    },
}

#[derive(Clone, Debug)]
pub enum Output {
    Answer {
        ask: Ask,
        answer: Answer,
    },
    SetUp {
        id: RequestId,
        attempt: usize,
        server: ServerId,
        alias: Token,
        via: Via,
        class: usize,
        title: String,
        rung: usize,
        trace: Option<String>,
    },
    /// Close the attempt's connection; nothing more of it is wanted.
    Cancel {
        id: RequestId,
        attempt: usize,
    },
    Rung {
        server: ServerId,
        alias: Token,
        rung: usize,
        /// Rises with each change: two words to a host may overtake each other.
        order: u64,
    },
    /// Tell the host that a session is over. With an id, [`Input::Released`] is to follow.
    Release {
        id: Option<RequestId>,
        server: ServerId,
        alias: Token,
    },
    Use(Use),
    /// No session has the seat any more. `willing` if its viewer was done with it or never had a session.
    Left {
        seat: SeatId,
        willing: bool,
    },
    Probe {
        server: ServerId,
    },
    /// Listen to what the host tells, from now on.
    Follow {
        server: ServerId,
    },
    Subscribe,
    Fetch,
}

/// Counts since the start.
#[derive(Clone, Copy, PartialEq, Eq, Default, Debug)]
pub struct Counts {
    pub asked: u64,
    pub joined: u64,
    pub played: u64,
    pub refused: u64,
    pub failed: u64,
    pub left: u64,
    pub attempts: u64,
    pub further: u64,
    pub rungs: u64,
    pub ended: u64,
    pub lost: u64,
    pub unknown_servers: u64,
    pub over_bound: u64,
}
