//! Connections to media hosts: a few for each, each with few set-ups on it, since one spoilt answer takes them all
//! along.

mod attempts;
mod cut_answers;
mod messages;
mod pool;
mod received;

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use elderpick_core::api::{Micros, ServerId};
use elderpick_platform::description::LineTypes;
use elderpick_platform::{MOST_MESSAGE, rtsp};
use elderpick_sessions::delivery::Delivery;
use elderpick_sessions::descriptions::KnownOutlines;
use elderpick_sessions::lifecycle::{self, AttemptId, Input};
use elderpick_sessions::pending::PendingQueue;
use tokio::net::TcpStream;

use self::cut_answers::{HeldAnswer, PassedOn};
use crate::buffered_stream::{BufferedStream, CHUNK, CloseReason};

/// Set-ups that one connection carries where no further one may be opened, unless the settings allow fewer.
const SET_UPS_PER_CONNECTION: usize = 8;
/// A connection to a host where sessions stand is not closed for another sooner than this: with few descriptors all
/// hosts are reached in turn, and the pace bounds what the turns cost.
const ROTATION: Micros = 1_000_000;
/// Set-ups that wait for a connection that is being opened, where no further one may be; one more is not sent.
const MOST_WAITING: usize = 64;
/// Withdrawals and releases on one connection that are remembered until they are confirmed, and messages that wait
/// for one: all that may stand at a host may be over in one moment.
const MOST_UNCONFIRMED: usize = lifecycle::MOST_SESSIONS;
const MOST_PENDING: usize = lifecycle::MOST_SESSIONS;
/// A connection that is used no more is kept so long for what may still come on it.
const RETIRED_FOR: Duration = Duration::from_secs(1);
/// A withdrawal is confirmed by then where its connection goes on. A set-up that arrives more than a tenth of a
/// second behind its viewer's end is one too many, and what is written takes time.
const CONFIRM_WITHIN: Duration = Duration::from_millis(50);
/// How often what comes may hold an attempt up at a time. Where the last look left something unread, who floods us may
/// have left: it is looked at again after a pause.
const MOST_POLLS: u32 = 9;
const POLL_PAUSE: Duration = Duration::from_millis(1);
/// An attempt waits so many pauses behind a standstill of this gateway, in which all that came has its turn.
const MOST_WAITS_FOR_NEWS: u32 = 4;
/// What a look reads of what a host has said.
const POLLED_CHUNKS: usize = 16;

/// One connection to a host.
pub(crate) struct HostConnection {
    stream: BufferedStream,
    decoder: RefCell<rtsp::Decoder>,
    /// Set-ups that are out on it, by session.
    out: RefCell<BTreeMap<u64, SetUpOut>>,
    /// An answer that may be cut.
    held_answer: RefCell<Option<HeldAnswer>>,
    /// An answer that was the last that came on it.
    last_answer: RefCell<Option<PassedOn>>,
    /// Sessions whose withdrawal or release was said on it and not confirmed on it.
    unconfirmed: RefCell<BTreeSet<u64>>,
    /// Calls for load that are out on it.
    asked: RefCell<BTreeSet<u64>>,
    /// When it came up, was last read from and last written to.
    up: Micros,
    read: Cell<Micros>,
    used: Cell<Micros>,
    /// When the session lifecycle was last told that the host says anything.
    reported_at: Cell<Micros>,
    /// Part of a message is held.
    partial: Cell<bool>,
    /// The longest pause between its pieces so far.
    pause: Cell<Micros>,
    retired: Cell<bool>,
    /// It was closed to make room for one to another host.
    made_room: Cell<bool>,
}

/// A set-up that was written.
#[derive(Clone)]
struct SetUpOut {
    attempt: AttemptId,
    written_at: Micros,
    class: Arc<str>,
    offer: LineTypes,
}

/// An attempt on its way to a host.
pub(crate) struct Attempt {
    pub server: ServerId,
    pub session: u64,
    pub attempt: AttemptId,
    pub bytes: Vec<u8>,
    pub class: Arc<str>,
    /// The lines of its viewer's description.
    pub offer: LineTypes,
    /// How often it was held up by what was there to be read before it.
    pub polls: u32,
    /// The last look left something unread.
    pub unread: bool,
    /// How often it waited for what came while this gateway stood still: the list may have changed.
    pub waits_for_news: u32,
}

impl Attempt {
    pub fn new(server: ServerId, attempt: AttemptId, set_up: &rtsp::SetUp<'_>) -> Attempt {
        let (session, bytes) = (set_up.session, rtsp::set_up(set_up));
        let (class, offer) = (set_up.class.into(), LineTypes::of(set_up.description));
        Attempt { server, session, attempt, bytes, class, offer, polls: 0, unread: false, waits_for_news: 0 }
    }

    /// It may be held up as often as a new one.
    fn renewed(self) -> Attempt {
        Attempt { polls: 0, unread: false, ..self }
    }

    /// It was not written, and never will be.
    fn not_sent(self) -> Input {
        Input::NotSent { server: self.server, session: self.session, attempt: self.attempt }
    }

    fn never_up(self) -> Input {
        Input::ConnectionLost {
            server: self.server,
            session: self.session,
            attempt: self.attempt,
            begun: false,
        }
    }
}

impl HostConnection {
    fn new(stream: TcpStream, now: Micros) -> HostConnection {
        HostConnection {
            stream: BufferedStream::new(stream, SET_UPS_PER_CONNECTION * MOST_MESSAGE, CHUNK),
            decoder: RefCell::default(),
            out: RefCell::default(),
            held_answer: RefCell::default(),
            last_answer: RefCell::default(),
            unconfirmed: RefCell::default(),
            asked: RefCell::default(),
            up: now,
            read: Cell::new(now),
            used: Cell::new(now),
            reported_at: Cell::new(now),
            partial: Cell::default(),
            pause: Cell::default(),
            retired: Cell::default(),
            made_room: Cell::default(),
        }
    }

    fn free(&self) -> bool {
        !self.retired.get() && self.stream.free()
    }

    fn idle(&self) -> bool {
        self.out.borrow().is_empty() && self.asked.borrow().is_empty()
    }

    fn send(&self, message: HostMessage) {
        let mut unconfirmed = self.unconfirmed.borrow_mut();
        let room = unconfirmed.len() < MOST_UNCONFIRMED;
        unconfirmed.extend(message.ends.filter(|_| room));
        self.stream.send(&message.bytes);
    }

    /// Ends it at once; what the host's system has not confirmed by then never arrives.
    fn abort(&self, reason: CloseReason) {
        self.stream.set_close_reason(reason);
        self.stream.abort();
    }

    /// Takes out what is out under a session's number, if it is that attempt.
    fn take_out(&self, session: u64, attempt: Option<AttemptId>) -> Option<SetUpOut> {
        let mut out = self.out.borrow_mut();
        let found = out.get(&session)?;
        let fits = attempt.is_none_or(|attempt| attempt == found.attempt);
        if fits { out.remove(&session) } else { None }
    }

    /// Ends it while nothing is out on it. Where sessions stand the host may be saying just now that one is over: it is
    /// heard to the end, since it would say so again on a new connection only.
    fn leave(&self, stands: bool, reason: CloseReason) {
        self.stream.set_close_reason(reason);
        self.retired.set(true);
        if stands { self.stream.leave() } else { self.stream.end(true) }
    }
}

/// A message that wants no answer.
pub(crate) struct HostMessage {
    /// The session that it withdraws or releases, if it does.
    pub ends: Option<u64>,
    pub bytes: Vec<u8>,
}

/// What leads to one host.
struct HostConnections {
    connections: Vec<Rc<HostConnection>>,
    opening: usize,
    pending: PendingQueue<HostMessage>,
    /// Set-ups that wait for an opening to end.
    waiting: VecDeque<Attempt>,
}

impl Default for HostConnections {
    fn default() -> Self {
        HostConnections {
            connections: Vec::new(),
            opening: 0,
            pending: PendingQueue::new(MOST_PENDING, lifecycle::LONGEST_OUTAGE),
            waiting: VecDeque::new(),
        }
    }
}

/// What a call is for.
enum Call {
    SetUp(Attempt),
    Load { session: u64 },
    Nothing,
}

/// What bounds the connections to hosts.
pub(crate) struct Limits {
    /// Descriptors for all of them.
    pub connections: usize,
    /// Descriptors beside these for connections that are being closed.
    pub ending: usize,
    /// Set-ups on one connection, if the settings tell.
    pub set_ups_on_one: Option<usize>,
    /// How long one may take to come up.
    pub connect: Duration,
    /// After how long hosts close idle ones; 0 if that is not told.
    pub idle: Micros,
}

pub(crate) struct Hosts {
    by_server: RefCell<BTreeMap<ServerId, HostConnections>>,
    /// Descriptors for all hosts, and beside these for what is being closed.
    most: usize,
    ending: usize,
    /// Set-ups that one connection carries at a time.
    shared: usize,
    connect: Duration,
    /// A connection that was idle so long is not written a set-up to: its host may be closing it.
    stale: Micros,
    next_call: Cell<u64>,
    pub unreadable: Cell<u64>,
    /// Answers that were found to be cut.
    pub cut_answers: Cell<u64>,
    /// Answers that were held, to see whether more of them follows.
    pub held_answers: Cell<u64>,
    /// What descriptions of each host look like.
    outlines: RefCell<KnownOutlines>,
    /// How messages of hosts come in.
    delivery: RefCell<Delivery>,
}

impl Hosts {
    pub fn new(limits: Limits, first_call: u64) -> Hosts {
        Hosts {
            by_server: RefCell::default(),
            most: limits.connections,
            ending: limits.ending,
            shared: limits
                .set_ups_on_one
                .map_or(SET_UPS_PER_CONNECTION, |most| most.clamp(1, SET_UPS_PER_CONNECTION)),
            connect: limits.connect,
            stale: if limits.idle > 0 { limits.idle / 3 * 2 } else { Micros::MAX },
            next_call: Cell::new(first_call),
            unreadable: Cell::new(0),
            cut_answers: Cell::new(0),
            held_answers: Cell::new(0),
            outlines: RefCell::default(),
            delivery: RefCell::default(),
        }
    }

    /// Adds a connection that came up.
    fn add(&self, server: &ServerId, connection: Rc<HostConnection>) {
        self.by_server.borrow_mut().entry(server.clone()).or_default().connections.push(connection);
    }

    /// Connections that are up and not being closed, and openings.
    fn in_use(&self) -> usize {
        let hosts = self.by_server.borrow();
        let in_use = |host: &HostConnections| {
            host.connections.iter().filter(|connection| connection.stream.goes_on()).count() + host.opening
        };
        hosts.values().map(in_use).sum()
    }

    pub fn connection_count(&self) -> usize {
        self.by_server.borrow().values().map(|w| w.connections.len() + w.opening).sum()
    }

    fn new_call(&self) -> u64 {
        // Steps by an odd number come to each name once, from a start that is this gateway's own.
        let call = self.next_call.get();
        self.next_call.set(call.wrapping_add(0x9e37_79b9_7f4a_7c15));
        call
    }
}
