//! One gateway's sessions: time and events in, messages to viewers and hosts out.
//!
//! Each thing that the simulator would tell the decision module becomes one event for it, and each of its actions is
//! carried out as it stands. What is settled here is what the wire leaves open: what an outcome proves, which of two
//! messages that cross counts, when a seat is free again, what a bound turns away.

mod active;
mod attempts;
mod consistency;
mod events;
mod health;
mod hosts;
mod memory;
mod requests;
mod timers;

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;

use elderpick_core::Controller;
use elderpick_core::api::{
    Action, Event, Micros, Placement, RefusalReason, Report, RequestId, ServerId, ServerState, Status,
};
use elderpick_platform::journal::Listed;
use elderpick_platform::viewer::{SetUp, cause};

use self::active::HostRelease;
use self::attempts::HostAnswer;
pub use self::events::{Counts, Input, Output};
use self::memory::SessionMemory;
use self::timers::{Timer, Timers};
use crate::health::HealthMonitor;
use crate::pending::ExpiringMap;

/// The number that the runtime gives a viewer's connection.
pub type Conn = u64;

/// The number of an attempt, of which no other has the same: a message of a host counts for the attempt that it
/// answers, whatever else goes by the same session.
pub type AttemptId = u64;

/// Set-ups open on one connection, and in all; one more is refused.
pub const MOST_OPEN_PER_CONNECTION: usize = 64;
const MOST_OPEN: usize = 1_024;
/// Sessions that stand; one more is refused.
pub const MOST_SESSIONS: usize = 50_000;
/// A host tells that a session is over is waited for so long, then its seat is taken to be free.
const SEAT_RELEASED_AFTER: Micros = 1_000_000;
/// What may still cross is remembered for all that may be held, since a cut or a host's death ends them in one moment.
const MOST_REMEMBERED: usize = MOST_SESSIONS + MOST_OPEN;
/// Set-ups that were refused and never sent to a host: a copy of one that is forgotten is a new request.
const MOST_REFUSALS: usize = 16_384;
/// How long a host may be out of reach and still be told what it missed: withdrawals and releases that it has not
/// confirmed, and the answers to what was withdrawn. It must exceed every outage after which the host goes on as the
/// same process, which no setting tells, so that their number is the bound that counts.
pub const LONGEST_OUTAGE: Micros = 600_000_000;
/// Set-ups that were answered or given up: a further one under the number of one is not its viewer's, as each gets a
/// new number. It delays nothing.
const ANSWERS_KEPT_FOR: Micros = 30_000_000;
/// Ends of sessions that are not held here: one that is handed over only then is over already. Hand-overs come right
/// after the first test is passed, and a start may take 30 s.
const ENDS_KEPT_FOR: Micros = 60_000_000;
/// Sessions that were handed over at hosts that the list does not have: any client may name any host, so that their number
/// is bounded by what all may take of memory.
const MOST_AT_UNKNOWN_HOSTS: usize = 4_096;
/// Clocks of hosts and gateways differ by less than this.
const CLOCK_SKEW: Micros = 200_000;
/// A session that ends so soon behind its answer may have ended before its viewer read that.
pub const AROUND_ANSWER: Micros = 5_000;
/// A viewer that leaves so soon after the answer counts as having left early.
const EARLY: Micros = 1_000_000;
/// How often hosts are looked at.
const HEALTH_POLL: Micros = 50_000;

#[derive(Clone, Debug)]
enum Stage {
    /// No attempt is out.
    Waiting,
    Out {
        server: ServerId,
        attempt: AttemptId,
        until: Micros,
        /// The host's last start, as it was known when this was decided.
        started: Option<Micros>,
    },
    Active {
        server: ServerId,
    },
    /// Released by its viewer; its host has not said so.
    Ending {
        server: ServerId,
    },
}

struct Session {
    conn: Option<Conn>,
    deadline: Micros,
    /// What hosts are told. Kept while it is not answered.
    set_up: Option<Box<SetUp>>,
    rung: usize,
    sends: usize,
    stage: Stage,
    /// When its last attempt was made; `None` for a session that was handed over.
    sent_at: Option<Micros>,
    /// What it counts for against the memory limit.
    bytes: usize,
    /// When the answer of its last attempt's host was read.
    answered_at: Option<Micros>,
}

impl Session {
    fn new(conn: Conn, deadline: Micros, set_up: Option<Box<SetUp>>, stage: Stage) -> Session {
        Session {
            conn: Some(conn),
            deadline,
            set_up,
            rung: 0,
            sends: 0,
            stage,
            sent_at: None,
            bytes: 0,
            answered_at: None,
        }
    }

    fn server(&self) -> Option<&ServerId> {
        match &self.stage {
            Stage::Waiting => None,
            Stage::Out { server, .. } | Stage::Active { server } | Stage::Ending { server } => Some(server),
        }
    }

    /// Whether its last attempt was made behind this time.
    fn is_sent_after(&self, time: Option<Micros>) -> bool {
        time.is_some_and(|time| self.sent_at.is_some_and(|sent| sent > time))
    }

    fn is_out_as(&self, at: &ServerId, as_: AttemptId) -> bool {
        matches!(&self.stage, Stage::Out { server, attempt, .. } if server == at && *attempt == as_)
    }
}

struct Server {
    listed: Listed,
    /// Sessions that stand there or are ending.
    sessions: BTreeSet<u64>,
    /// Sessions whose attempt is out there.
    attempts: BTreeSet<u64>,
    health: HealthMonitor,
    /// When it was heard to be another process than before.
    replaced_at: Option<Micros>,
}

/// All sessions of one gateway.
pub struct Lifecycle {
    core: Controller,
    classes: Vec<String>,
    /// `None` where the settings tell of no cells: then any host holds any title.
    cells: Option<usize>,
    servers: BTreeMap<ServerId, Server>,
    /// Those of them that are not gone, counted; by address, all of them; and those where sessions stand.
    listed_count: usize,
    by_address: BTreeMap<SocketAddr, BTreeSet<ServerId>>,
    occupied: BTreeSet<ServerId>,
    sessions: BTreeMap<u64, Session>,
    memory: SessionMemory,
    /// Set-ups that are open, by connection.
    open: BTreeMap<Conn, BTreeSet<u64>>,
    open_count: usize,
    /// How many sessions stand or are ending, by the connection that they were asked for on.
    active_on: BTreeMap<Conn, usize>,
    withdrawn: ExpiringMap<(ServerId, u64)>,
    unconfirmed: ExpiringMap<(ServerId, u64)>,
    /// Set-ups that were answered or given up and may have run at a host.
    recent_answers: ExpiringMap<u64>,
    /// Those that were never sent to one. Any client can bring very many of them about.
    recent_refusals: ExpiringMap<u64>,
    /// What ended before it was held here, with its host where that said so, and the cause.
    recent_ends: ExpiringMap<(u64, Option<ServerId>), u8>,
    /// What was handed over at a host that the list does not have, which is told once the list names it.
    at_unknown_hosts: ExpiringMap<(ServerId, u64)>,
    attempts: AttemptId,
    timers: Timers,
    events: VecDeque<Event>,
    actions: Vec<Action>,
    polled_at: Micros,
    fetching: bool,
    /// Further requests are refused: the gateway ends.
    draining: bool,
    /// Why the last input left sessions without an attempt.
    refusals: Vec<(u64, RefusalReason)>,
    /// What has happened since the start.
    pub counts: Counts,
}

impl Lifecycle {
    /// `classes` are the names of the module's classes in their order; `cells` how many there are, if that is told.
    pub fn new(core: Controller, classes: Vec<String>, cells: Option<usize>) -> Lifecycle {
        Lifecycle {
            core,
            classes,
            cells: cells.filter(|cells| *cells > 0),
            servers: BTreeMap::new(),
            listed_count: 0,
            by_address: BTreeMap::new(),
            occupied: BTreeSet::new(),
            sessions: BTreeMap::new(),
            memory: SessionMemory::unlimited(),
            open: BTreeMap::new(),
            open_count: 0,
            active_on: BTreeMap::new(),
            withdrawn: ExpiringMap::new(MOST_REMEMBERED, LONGEST_OUTAGE),
            unconfirmed: ExpiringMap::new(MOST_REMEMBERED, LONGEST_OUTAGE),
            recent_answers: ExpiringMap::new(MOST_REMEMBERED, ANSWERS_KEPT_FOR),
            recent_refusals: ExpiringMap::new(MOST_REFUSALS, ANSWERS_KEPT_FOR),
            recent_ends: ExpiringMap::new(MOST_REMEMBERED, ENDS_KEPT_FOR),
            at_unknown_hosts: ExpiringMap::new(MOST_AT_UNKNOWN_HOSTS, ENDS_KEPT_FOR),
            attempts: 0,
            timers: Timers::default(),
            events: VecDeque::new(),
            actions: Vec::new(),
            polled_at: 0,
            fetching: false,
            draining: false,
            refusals: Vec::new(),
            counts: Counts::default(),
        }
    }

    /// Where a host listens, if the list has it.
    pub fn address(&self, server: &ServerId) -> Option<SocketAddr> {
        self.servers.get(server).map(|s| s.listed.address)
    }

    /// Whether the list has a host that is not gone.
    pub fn is_listed(&self, server: &ServerId) -> bool {
        self.servers.get(server).is_some_and(|s| s.listed.entry.state != ServerState::Gone)
    }

    /// Hosts that new connections may be opened to.
    pub fn hosts(&self) -> usize {
        self.listed_count
    }

    /// Whether sessions stand at a host, so that a connection to it is wanted.
    pub fn has_sessions_at(&self, server: &ServerId) -> bool {
        self.servers.get(server).is_some_and(|s| !s.sessions.is_empty())
    }

    /// Set-ups that have no final answer yet.
    pub fn open(&self) -> usize {
        self.open_count
    }

    /// Set-ups open on a connection.
    pub fn open_on(&self, conn: Conn) -> usize {
        self.open.get(&conn).map_or(0, BTreeSet::len)
    }

    /// Whether sessions stand that were asked for on a connection: their viewers are told of their ends on it.
    pub fn has_sessions_on(&self, conn: Conn) -> bool {
        self.active_on.contains_key(&conn)
    }

    /// How long the viewer of an open set-up still waits for its answer.
    pub fn time_left(&self, session: u64, now: Micros) -> Option<Micros> {
        self.sessions.get(&session).map(|held| held.deadline - now)
    }

    /// The connection that a session was asked for on.
    pub fn asked_on(&self, session: u64) -> Option<Conn> {
        self.sessions.get(&session)?.conn
    }

    /// What the last attempt of a session was decided on.
    pub fn placement(&self, session: u64) -> Option<Placement> {
        self.core.placement(RequestId(session))
    }

    /// Why the last input left a session without an attempt, if it did.
    pub fn refusal(&self, session: u64) -> Option<RefusalReason> {
        self.refusals.iter().find(|(refused, _)| *refused == session).map(|(_, reason)| *reason)
    }

    fn note_refusal(&mut self, session: u64) {
        if let Some(reason) = self.core.refusal(RequestId(session)) {
            self.counts.refusals.count(reason);
            self.refusals.push((session, reason));
        }
    }

    /// When a host's answer to a session's set-up was read, for a session that stands or whose answer is held.
    pub fn answered_at(&self, session: u64) -> Option<Micros> {
        self.sessions.get(&session)?.answered_at
    }

    /// Sessions that are held, in whatever stage.
    pub fn held(&self) -> usize {
        self.sessions.len()
    }

    /// Whether a set-up may be written to a host now: it is still wanted, its host still takes new ones, and is the
    /// process that it was decided for.
    pub fn may_write(&self, server: &ServerId, session: u64, attempt: AttemptId, now: Micros) -> bool {
        let held = self.sessions.get(&session).filter(|h| h.is_out_as(server, attempt));
        let Some(Session { stage: Stage::Out { until, started, .. }, .. }) = held else {
            return false;
        };
        let entry = self.servers.get(server).map(|s| &s.listed.entry);
        let takes_it = entry.is_some_and(|e| e.state == ServerState::Up && e.started == *started);
        now < *until && takes_it && self.core.may_send_at(now, RequestId(session))
    }

    /// When [`Input::Tick`] is due.
    pub fn next_timer(&self) -> Option<Micros> {
        let timer = self.timers.next();
        let look = (!self.occupied.is_empty()).then_some(self.polled_at + HEALTH_POLL);
        timer.into_iter().chain(look).min()
    }

    /// Takes one input at the time `now` and appends what is to be done.
    pub fn handle(&mut self, now: Micros, input: Input, out: &mut Vec<Output>) {
        self.refusals.clear();
        match input {
            Input::SetUp { conn, received_at, set_up } => self.set_up(now, conn, received_at, set_up, out),
            Input::Release { conn, session, cause } => self.release(now, conn, session, cause, out),
            Input::ClientDisconnected { conn } => self.client_disconnected(now, conn, out),
            Input::Answer { server, session, attempt, description, ended } => {
                self.answered(now, HostAnswer { server, session, attempt, description, ended }, out);
            }
            Input::AnswerHeld { server, session, attempt } => {
                self.answer_held(now, &server, session, attempt);
            }
            Input::Refused { server, session, attempt, status, report } => {
                self.end_attempt(&server, session, attempt, status, report);
            }
            Input::Released { server, session, attempt, cause, report } => {
                self.released(now, HostRelease { server, session, attempt, cause, report }, out);
            }
            Input::AnswerSpoilt { server, session } => self.answer_spoilt(now, &server, session, out),
            Input::ReleaseConfirmed { server, session } => self.release_confirmed(now, server, session),
            Input::Note { server, session, note } => self.note(server, session, note),
            Input::ConnectionLost { server, session, attempt, begun } => {
                self.connection_lost(now, server, session, attempt, begun, out);
            }
            Input::NotSent { server, session, attempt } => {
                self.end_attempt(&server, session, attempt, Status::Ignored, Report::default());
            }
            Input::Probed { server, status, report } => {
                if self.servers.contains_key(&server) {
                    self.events.push_back(Event::Probed { server, status, report });
                }
            }
            Input::Opening { server } => self.monitor(&server, HealthMonitor::opening_began),
            Input::Opened { server, how } => self.monitor(&server, |health| health.opened(now, how)),
            Input::HostDisconnected { server, whole, unheard, made_room } => {
                self.polled_at = Micros::MIN / 2;
                self.monitor(&server, |health| {
                    health.closed(whole);
                    if made_room {
                        health.made_room(now);
                    }
                });
                // Releases may have gone down with the connection, and a set-up that was withdrawn on it may stand.
                let unheard: BTreeSet<_> = unheard.into_iter().collect();
                self.resend_releases(now, &server, |session| unheard.contains(&session), out);
            }
            Input::Heard { server } => self.monitor(&server, |health| health.heard(now)),
            Input::List { kind, hosts } => self.list(now, kind, hosts, out),
            Input::CaughtUp => self.list_caught_up(),
            Input::ListFailed => self.list_failed(),
            Input::Tick => self.tick(now, out),
            Input::Drain => self.draining = true,
            Input::Finish => self.finish(now, out),
        }
        self.poll_health(now, out);
        self.decide(now, out);
    }

    /// Feeds the module all that has happened and carries out what it says.
    fn decide(&mut self, now: Micros, out: &mut Vec<Output>) {
        while let Some(event) = self.events.pop_front() {
            let mut actions = std::mem::take(&mut self.actions);
            self.core.handle(now, event, &mut actions);
            for action in actions.drain(..) {
                self.carry_out(now, action, out);
            }
            self.actions = actions;
        }
    }

    fn carry_out(&mut self, now: Micros, action: Action, out: &mut Vec<Output>) {
        match action {
            Action::Rate { id, rung } => {
                let Some(held) = self.sessions.get_mut(&id.0) else { return };
                held.rung = rung;
                if let Stage::Active { server } = &held.stage {
                    out.push(Output::Rung { server: server.clone(), session: id.0, rung });
                }
            }
            Action::Send { id, server, timeout } => self.send(now, id.0, server, timeout, out),
            Action::Refuse { id, retry_after } => {
                self.counts.refused += 1;
                self.note_refusal(id.0);
                self.reject(now, id.0, cause::REFUSED, retry_after, out);
            }
            Action::Fail { id } => {
                self.counts.failed += 1;
                self.note_refusal(id.0);
                self.reject(now, id.0, cause::FAILED, None, out);
            }
            Action::Probe { server } => out.push(Output::Probe { server }),
            Action::Subscribe | Action::Fetch => {
                self.fetching = true;
                out.push(Output::Fetch);
            }
            Action::Alarm { token, at } => self.set_timer(at, Timer::Alarm(token)),
        }
    }

    fn tick(&mut self, now: Micros, out: &mut Vec<Output>) {
        while let Some(timer) = self.timers.take_due(now) {
            match timer {
                Timer::Alarm(token) => self.events.push_back(Event::Alarm { token }),
                Timer::Ending(session) => self.release_timed_out(now, session),
                Timer::Attempt(session, attempt) => self.attempt_timed_out(now, session, attempt, out),
            }
            // Each in its turn: what a time-out leads to is decided before the next alarm.
            self.decide(now, out);
        }
    }
}
