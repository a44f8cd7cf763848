//! One gateway's sessions: time and events in, words to viewers and hosts out.
//!
//! Each thing that the simulator would tell the decision module becomes one event for it, and each of its actions is
//! carried out as it stands. What is settled here is what the wire leaves open: what an outcome proves, which of two
//! words that cross counts, when a seat is free again, what a bound turns away.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, VecDeque};
use std::net::SocketAddr;

use bytes::Bytes;
use elderpick_core::Controller;
use elderpick_core::api::{
    Action, Event, ListKind, Micros, Note, Report, RequestId, ServerId, ServerState, Status, Viewing,
};
use elderpick_platform::journal::Listed;
use elderpick_platform::viewer::{SetUp, cause};

use crate::pending::Recent;
use crate::watch::{Next, Opened, Watch};

/// The number that the runtime gives a viewer's connection.
pub type Conn = u64;

/// The number of an attempt, of which no other has the same: a word of a host counts for the attempt that it answers,
/// whatever else goes by the same session.
pub type AttemptId = u64;

/// Set-ups open on one connection, and in all; one more is refused.
pub const OPEN_ON_ONE: usize = 64;
const OPEN: usize = 1_024;
/// Sessions that stand; one more is refused.
pub const STANDING: usize = 50_000;
/// A host's word that a session is over is waited for so long, then its seat is taken to be free.
const ENDING: Micros = 1_000_000;
/// What may still cross is remembered for all that may be held, since a cut or a host's death ends them in one moment.
const CROSSING: usize = STANDING + OPEN;
/// How long a host may be out of reach and still be told what it missed: withdrawals and releases that it has not
/// confirmed, and the answers to what was withdrawn. It must exceed every outage after which the host goes on as the
/// same process, which no setting tells, so that their number is the bound that counts.
pub const OUTAGE: Micros = 600_000_000;
/// Set-ups that were answered or given up: a further one under the number of one is not its viewer's, as each gets a
/// new number. It delays nothing.
const ANSWERED_LASTS: Micros = 30_000_000;
/// Ends of sessions that are not held here: one that is handed over only then is over already. Hand-overs come right
/// after the first test is passed, and a start may take 30 s.
const ENDED_LASTS: Micros = 60_000_000;
/// How often hosts are looked at.
const LOOK: Micros = 50_000;

/// What happens.
#[derive(Clone, Debug)]
pub enum Input {
    /// A viewer asks, over a connection; `came` is when the last byte did.
    SetUp {
        conn: Conn,
        came: Micros,
        set_up: SetUp,
    },
    /// A viewer gives a set-up up, on the connection that it was asked on, or ends a session, on any.
    Release {
        conn: Conn,
        session: u64,
        cause: u8,
    },
    /// A viewer's connection is gone.
    Closed {
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
    ReleaseHeard {
        server: ServerId,
        session: u64,
    },
    Noted {
        server: ServerId,
        session: u64,
        note: Note,
    },
    /// The connection of a set-up is gone, or never came up. What was not begun to be written never ran.
    Cut {
        server: ServerId,
        session: u64,
        attempt: AttemptId,
        begun: bool,
    },
    /// The set-up was not written, since [`Life::may_write`] forbade it.
    Kept {
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
    HostClosed {
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

/// What is to be said and done.
#[derive(Clone, PartialEq, Debug)]
pub enum Output {
    /// The final answer: it stands.
    Answer {
        conn: Conn,
        session: u64,
        description: Bytes,
    },
    /// The final answer: it does not. The cause tells whether asking again is harmless.
    Turned {
        conn: Conn,
        session: u64,
        cause: u8,
        stay_away: Option<Micros>,
    },
    /// A session that stood is over; `conn` is where it was asked for.
    Over {
        conn: Option<Conn>,
        session: u64,
        cause: u8,
    },
    /// To a host, once [`Life::may_write`] says so right before the first byte.
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
    /// Test a host on a connection that is up; any word from it is an answer.
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
    pub taken: u64,
    pub served: u64,
    pub refused: u64,
    pub failed: u64,
    pub given_up: u64,
    pub handed: u64,
    /// Turned away at a bound of this file, or since they named what does not exist.
    pub turned: u64,
    pub hosts_lost: u64,
}

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
    Stands {
        server: ServerId,
    },
    /// Released by its viewer; its host has not said so.
    Ending {
        server: ServerId,
    },
}

struct Held {
    conn: Option<Conn>,
    deadline: Micros,
    /// What hosts are told. Kept while it is not answered.
    set_up: Option<Box<SetUp>>,
    rung: usize,
    sends: usize,
    stage: Stage,
}

impl Held {
    fn server(&self) -> Option<&ServerId> {
        match &self.stage {
            Stage::Waiting => None,
            Stage::Out { server, .. } | Stage::Stands { server } | Stage::Ending { server } => Some(server),
        }
    }

    fn is_out_at(&self, at: &ServerId) -> bool {
        matches!(&self.stage, Stage::Out { server, .. } if server == at)
    }

    fn is_out_as(&self, at: &ServerId, as_: AttemptId) -> bool {
        matches!(&self.stage, Stage::Out { server, attempt, .. } if server == at && *attempt == as_)
    }
}

struct Server {
    listed: Listed,
    /// Sessions that stand there or are ending.
    standing: BTreeSet<u64>,
    watch: Watch,
    /// When it was heard to be another process than before.
    renewed: Option<Micros>,
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
enum Timer {
    /// The time of a session's attempt is up; goes before the module's own alarms of the same instant.
    Attempt(u64, AttemptId),
    Ending(u64),
    Alarm(u64),
}

/// All sessions of one gateway.
pub struct Life {
    core: Controller,
    classes: Vec<String>,
    /// `None` where the settings tell of no cells: then any host holds any title.
    cells: Option<usize>,
    servers: BTreeMap<ServerId, Server>,
    held: BTreeMap<u64, Held>,
    /// Set-ups that are open, by connection.
    open: BTreeMap<Conn, BTreeSet<u64>>,
    opened: usize,
    /// How many sessions stand or are ending, by the connection that they were asked for on.
    standing_on: BTreeMap<Conn, usize>,
    given_up: Recent<(ServerId, u64)>,
    unheard: Recent<(ServerId, u64)>,
    answered: Recent<u64>,
    /// What ended before it was held here, with its host where that said so, and the cause.
    ended: Recent<(u64, Option<ServerId>), u8>,
    attempts: AttemptId,
    timers: BinaryHeap<Reverse<(Micros, Timer)>>,
    events: VecDeque<Event>,
    actions: Vec<Action>,
    looked: Micros,
    fetching: bool,
    pub counts: Counts,
}

impl Life {
    /// `classes` are the names of the module's classes in their order; `cells` how many there are, if that is told.
    pub fn new(core: Controller, classes: Vec<String>, cells: Option<usize>) -> Life {
        Life {
            core,
            classes,
            cells: cells.filter(|cells| *cells > 0),
            servers: BTreeMap::new(),
            held: BTreeMap::new(),
            open: BTreeMap::new(),
            opened: 0,
            standing_on: BTreeMap::new(),
            given_up: Recent::new(CROSSING, OUTAGE),
            unheard: Recent::new(CROSSING, OUTAGE),
            answered: Recent::new(CROSSING, ANSWERED_LASTS),
            ended: Recent::new(CROSSING, ENDED_LASTS),
            attempts: 0,
            timers: BinaryHeap::new(),
            events: VecDeque::new(),
            actions: Vec::new(),
            looked: 0,
            fetching: false,
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
        self.servers.values().filter(|s| s.listed.entry.state != ServerState::Gone).count()
    }

    /// Whether sessions stand at a host, so that a connection to it is wanted.
    pub fn stands_at(&self, server: &ServerId) -> bool {
        self.servers.get(server).is_some_and(|s| !s.standing.is_empty())
    }

    /// Set-ups that have no final answer yet.
    pub fn open(&self) -> usize {
        self.opened
    }

    /// Set-ups open on a connection.
    pub fn open_on(&self, conn: Conn) -> usize {
        self.open.get(&conn).map_or(0, BTreeSet::len)
    }

    /// Whether sessions stand that were asked for on a connection: their viewers are told of their ends on it.
    pub fn stands_on(&self, conn: Conn) -> bool {
        self.standing_on.contains_key(&conn)
    }

    /// The connection that a session was asked for on.
    pub fn asked_on(&self, session: u64) -> Option<Conn> {
        self.held.get(&session)?.conn
    }

    /// Sessions that are held, in whatever stage.
    pub fn held(&self) -> usize {
        self.held.len()
    }

    /// Whether a set-up may be written to a host now: it is still wanted, its host still takes new ones, and is the
    /// process that it was decided for.
    pub fn may_write(&self, server: &ServerId, session: u64, attempt: AttemptId, now: Micros) -> bool {
        let held = self.held.get(&session).filter(|h| h.is_out_as(server, attempt));
        let Some(Held { stage: Stage::Out { until, started, .. }, .. }) = held else {
            return false;
        };
        let entry = self.servers.get(server).map(|s| &s.listed.entry);
        now < *until && entry.is_some_and(|e| e.state == ServerState::Up && e.started == *started)
    }

    /// When [`Input::Tick`] is due.
    pub fn next_timer(&self) -> Option<Micros> {
        let timer = self.timers.peek().map(|Reverse((at, _))| *at);
        let look = self.servers.values().any(|s| !s.standing.is_empty()).then_some(self.looked + LOOK);
        timer.into_iter().chain(look).min()
    }

    /// Takes one thing that happens at the time `now` and appends what is to be done.
    pub fn handle(&mut self, now: Micros, input: Input, out: &mut Vec<Output>) {
        match input {
            Input::SetUp { conn, came, set_up } => self.set_up(now, conn, came, set_up, out),
            Input::Release { conn, session, cause } => self.release(now, conn, session, cause, out),
            Input::Closed { conn } => {
                for session in self.open.get(&conn).cloned().unwrap_or_default() {
                    self.release(now, conn, session, cause::GIVEN_UP, out);
                }
            }
            Input::Answer { server, session, attempt, description, over } => {
                self.answered(now, server, session, attempt, (description, over), out);
            }
            Input::Refused { server, session, attempt, status, report } => {
                self.attempt_over(&server, session, attempt, status, report);
            }
            Input::Released { server, session, attempt, cause, report } => {
                self.released(now, server, session, attempt, cause, report, out);
            }
            Input::ReleaseHeard { server, session } => {
                self.unheard.remove(now, &(server.clone(), session));
                let ending = |h: &Held| matches!(&h.stage, Stage::Ending { server: at } if *at == server);
                if self.held.get(&session).is_some_and(ending) {
                    self.end(now, session, Status::Cancelled, Report::default());
                }
            }
            Input::Noted { server, session, note } => {
                let there = |h: &Held| matches!(&h.stage, Stage::Stands { server: at } if *at == server);
                if let Some(held) = self.held.get_mut(&session).filter(|h| there(h)) {
                    if let Note::Rung(rung) = note {
                        held.rung = rung;
                    }
                    self.events.push_back(Event::Noted { id: RequestId(session), server, note });
                }
            }
            Input::Cut { server, session, attempt, begun } => {
                let status = if begun { Status::Reset } else { Status::ConnectError };
                if begun && self.held.get(&session).is_some_and(|h| h.is_out_as(&server, attempt)) {
                    // Its answer may have gone down with the connection: then it stands there.
                    self.say_release(now, server.clone(), session, cause::ENDED_BY_VIEWER, out);
                }
                self.attempt_over(&server, session, attempt, status, Report::default());
            }
            Input::Kept { server, session, attempt } => {
                self.attempt_over(&server, session, attempt, Status::Ignored, Report::default());
            }
            Input::Probed { server, status, report } => {
                if self.servers.contains_key(&server) {
                    self.events.push_back(Event::Probed { server, status, report });
                }
            }
            Input::Opened { server, how } => {
                if let Some(server) = self.servers.get_mut(&server) {
                    server.watch.opened(now, how);
                }
            }
            Input::HostClosed { server, whole, unheard, made_room } => {
                self.looked = Micros::MIN / 2;
                if let Some(at) = self.servers.get_mut(&server) {
                    at.watch.closed(whole);
                    if made_room {
                        at.watch.made_room(now);
                    }
                }
                // Releases may have gone down with the connection, and a set-up that was withdrawn on it may stand.
                let unheard: BTreeSet<_> = unheard.into_iter().collect();
                self.say_again(now, &server, |session| unheard.contains(&session), out);
            }
            Input::Heard { server } => {
                if let Some(server) = self.servers.get_mut(&server) {
                    server.watch.heard(now);
                }
            }
            Input::List { kind, hosts } => self.list(now, kind, hosts, out),
            Input::CaughtUp => {
                if std::mem::take(&mut self.fetching) {
                    let entries = self.servers.values().map(|s| s.listed.entry.clone());
                    let entries = entries.filter(|e| e.state != ServerState::Gone).collect();
                    self.events.push_back(Event::List { kind: ListKind::Full, entries });
                }
            }
            Input::ListFailed => {
                if std::mem::take(&mut self.fetching) {
                    self.events.push_back(Event::List { kind: ListKind::Failed, entries: Vec::new() });
                }
            }
            Input::Tick => self.tick(now, out),
        }
        self.look(now, out);
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
                let Some(held) = self.held.get_mut(&id.0) else { return };
                held.rung = rung;
                if let Stage::Stands { server } = &held.stage {
                    out.push(Output::Rung { server: server.clone(), session: id.0, rung });
                }
            }
            Action::Send { id, server, timeout } => self.send(now, id.0, server, timeout, out),
            Action::Refuse { id, retry_after } => {
                self.counts.refused += 1;
                self.turn(now, id.0, cause::REFUSED, retry_after, out);
            }
            Action::Fail { id } => {
                self.counts.failed += 1;
                self.turn(now, id.0, cause::FAILED, None, out);
            }
            Action::Probe { server } => out.push(Output::Probe { server }),
            Action::Subscribe | Action::Fetch => {
                self.fetching = true;
                out.push(Output::Fetch);
            }
            Action::Alarm { token, at } => self.timers.push(Reverse((at, Timer::Alarm(token)))),
        }
    }

    // ---- Viewers ----

    fn set_up(&mut self, now: Micros, conn: Conn, came: Micros, set_up: SetUp, out: &mut Vec<Output>) {
        let session = set_up.session;
        let figures = &set_up.figures;
        let class = self.classes.iter().position(|name| *name == set_up.class);
        let at = figures.at.as_ref().map(|at| ServerId(at.as_str().into()));
        let in_cells = |cells: usize| figures.home < cells && figures.copies <= cells;
        let holders = figures.copies > 0 && self.cells.is_none_or(in_cells);
        let fits = holders && figures.top.is_none_or(|top| top <= 255);
        let held = self.held.contains_key(&session);
        if held && at.is_some() {
            return;
        }
        if let Some((server, by_host, cause)) = at.as_ref().and_then(|at| self.ended_before(now, session, at))
        {
            // Its end came here before it did: from its host, of which its viewer is told now, or from its viewer.
            return match by_host {
                true if cause == cause::ENDED_BY_VIEWER => {}
                true => out.push(Output::Over { conn: Some(conn), session, cause }),
                false => self.say_release(now, server, session, cause, out),
            };
        }
        let turned = |cause| Output::Turned { conn, session, cause, stay_away: None };
        let used = held || self.answered.contains(now, &session);
        let Some(class) = class.filter(|_| fits && (!used || at.is_some())) else {
            self.counts.turned += 1;
            return out.push(turned(cause::UNREADABLE));
        };
        let left = (came + set_up.patience_ms as Micros * 1_000 - now).max(0);
        let viewing = Viewing {
            class,
            title: set_up.title.clone(),
            left,
            hint: None,
            home: figures.home,
            copies: figures.copies,
            top: figures.top.unwrap_or(usize::MAX),
        };
        let new = |stage, set_up| {
            let (conn, deadline) = (Some(conn), now + left);
            Held { conn, deadline, set_up, rung: 0, sends: 0, stage }
        };
        if let Some(server) = at {
            let Some(to) = self.servers.get_mut(&server).filter(|_| self.held.len() < STANDING) else {
                // It plays nowhere that is known: its viewer is to come again.
                self.counts.turned += 1;
                return out.push(Output::Over { conn: Some(conn), session, cause: cause::FAILED });
            };
            if to.renewed.is_some_and(|heard| came < heard) {
                // It may have lain unread since before its host became another process, and played at the one before.
                self.counts.turned += 1;
                self.say_release(now, server, session, cause::ENDED_BY_VIEWER, out);
                return out.push(Output::Over { conn: Some(conn), session, cause: cause::FAILED });
            }
            to.standing.insert(session);
            self.stands_now(Some(conn));
            self.counts.handed += 1;
            self.held.insert(session, new(Stage::Stands { server: server.clone() }, None));
            self.events.push_back(Event::Open { id: RequestId(session), viewing, server });
            return;
        }
        if self.open_on(conn) >= OPEN_ON_ONE || self.opened >= OPEN || self.held.len() >= STANDING {
            self.counts.turned += 1;
            return out.push(turned(cause::REFUSED));
        }
        self.counts.taken += 1;
        self.opened += 1;
        self.open.entry(conn).or_default().insert(session);
        self.held.insert(session, new(Stage::Waiting, Some(Box::new(set_up))));
        self.events.push_back(Event::Request { id: RequestId(session), viewing });
    }

    /// The end of a session that is handed over only now: its host, whether that ended it, and the cause.
    fn ended_before(&self, now: Micros, session: u64, at: &ServerId) -> Option<(ServerId, bool, u8)> {
        let by_viewer = self.ended.get(now, &(session, None)).map(|cause| (at.clone(), false, *cause));
        let by_host = || self.ended.get(now, &(session, Some(at.clone())));
        by_viewer.or_else(|| by_host().map(|cause| (at.clone(), true, *cause)))
    }

    /// The set-up of a session is open no longer.
    fn close(&mut self, session: u64) {
        let Some(conn) = self.held.get(&session).filter(|h| h.set_up.is_some()).and_then(|h| h.conn) else {
            return;
        };
        self.opened -= 1;
        if let Some(open) = self.open.get_mut(&conn) {
            open.remove(&session);
            if open.is_empty() {
                self.open.remove(&conn);
            }
        }
    }

    /// Releases once more what a host has not confirmed, and what it is not wanted for again.
    fn say_again(&self, now: Micros, server: &ServerId, which: impl Fn(u64) -> bool, out: &mut Vec<Output>) {
        let wanted = |session: u64| match self.held.get(&session) {
            Some(held) => held.server() == Some(server) && !matches!(held.stage, Stage::Ending { .. }),
            None => false,
        };
        let all = (server.clone(), u64::MIN)..=(server.clone(), u64::MAX);
        let unheard = self.unheard.keys(now, all).map(|(_, session)| *session);
        let again = unheard.filter(|session| which(*session) && !wanted(*session));
        let cause = cause::ENDED_BY_VIEWER;
        out.extend(again.map(|session| Output::Release { server: server.clone(), session, cause }));
    }

    /// An attempt is withdrawn at its host, which may have answered it by now or never hear of this.
    fn say_withdrawn(
        &mut self,
        now: Micros,
        server: ServerId,
        session: u64,
        attempt: AttemptId,
        out: &mut Vec<Output>,
    ) {
        self.given_up.renew(now, (server.clone(), session), ());
        self.unheard.renew(now, (server.clone(), session), ());
        out.push(Output::Withdraw { server, session, attempt });
    }

    /// A release at a host, remembered until the host has confirmed it.
    fn say_release(&mut self, now: Micros, server: ServerId, session: u64, cause: u8, out: &mut Vec<Output>) {
        self.unheard.renew(now, (server.clone(), session), ());
        out.push(Output::Release { server, session, cause });
    }

    /// A viewer gives a set-up up or ends a session.
    fn release(&mut self, now: Micros, conn: Conn, session: u64, cause: u8, out: &mut Vec<Output>) {
        let Some(held) = self.held.get_mut(&session) else {
            if !self.answered.contains(now, &session) {
                self.ended.insert(now, (session, None), cause);
            }
            return;
        };
        match &held.stage {
            // Who did not ask has nothing to give up: the answer is still owed.
            Stage::Waiting | Stage::Out { .. } if held.conn != Some(conn) => self.counts.turned += 1,
            Stage::Waiting | Stage::Out { .. } => {
                self.counts.given_up += 1;
                self.answered.insert(now, session, ());
                self.events.push_back(Event::Gone { id: RequestId(session) });
                self.withdraw(now, session, out);
            }
            Stage::Stands { server } => {
                let server = server.clone();
                held.stage = Stage::Ending { server: server.clone() };
                self.timers.push(Reverse((now + ENDING, Timer::Ending(session))));
                self.say_release(now, server, session, cause, out);
            }
            Stage::Ending { .. } => {}
        }
    }

    /// The final answer when it does not stand.
    fn turn(
        &mut self,
        now: Micros,
        session: u64,
        cause: u8,
        stay_away: Option<Micros>,
        out: &mut Vec<Output>,
    ) {
        let Some(held) = self.held.get(&session).filter(|h| h.set_up.is_some()) else { return };
        if let Some(conn) = held.conn {
            out.push(Output::Turned { conn, session, cause, stay_away });
        }
        self.answered.insert(now, session, ());
        self.withdraw(now, session, out);
    }

    /// Forgets a set-up that is answered or given up, and withdraws its attempt.
    fn withdraw(&mut self, now: Micros, session: u64, out: &mut Vec<Output>) {
        self.close(session);
        let Some(held) = self.held.remove(&session) else { return };
        if let Stage::Out { server, attempt, .. } = held.stage {
            self.say_withdrawn(now, server, session, attempt, out);
            let (id, attempt, status, closed) = (RequestId(session), held.sends - 1, Status::Cancelled, true);
            self.events.push_back(Event::Outcome { id, attempt, status, closed, report: Report::default() });
        }
    }

    // ---- Attempts ----

    fn send(&mut self, now: Micros, session: u64, server: ServerId, timeout: Micros, out: &mut Vec<Output>) {
        let Some(held) = self.held.get_mut(&session) else { return };
        let (Some(set_up), Stage::Waiting) = (&held.set_up, &held.stage) else { return };
        held.sends += 1;
        let entry = self.servers.get(&server).map(|s| &s.listed.entry);
        let Some(entry) = entry.filter(|e| e.state == ServerState::Up && timeout > 0) else {
            let (id, attempt, status) = (RequestId(session), held.sends - 1, Status::Ignored);
            let report = Report::default();
            return self.events.push_back(Event::Outcome { id, attempt, status, closed: false, report });
        };
        let until = held.deadline.min(now + timeout);
        self.attempts += 1;
        let attempt = self.attempts;
        held.stage = Stage::Out { server: server.clone(), attempt, until, started: entry.started };
        self.timers.push(Reverse((until, Timer::Attempt(session, attempt))));
        out.push(Output::SetUp {
            server,
            session,
            attempt,
            class: set_up.class.clone(),
            title: set_up.title.clone(),
            patience: until - now,
            rung: held.rung,
            description: set_up.description.clone(),
        });
    }

    /// The attempt at a host has ended without a session.
    fn attempt_over(
        &mut self,
        server: &ServerId,
        session: u64,
        attempt: AttemptId,
        status: Status,
        report: Report,
    ) {
        let held = self.held.get_mut(&session).filter(|h| h.is_out_as(server, attempt));
        let Some(held) = held else { return };
        held.stage = Stage::Waiting;
        let (id, attempt) = (RequestId(session), held.sends - 1);
        self.events.push_back(Event::Outcome { id, attempt, status, closed: false, report });
    }

    fn answered(
        &mut self,
        now: Micros,
        server: ServerId,
        session: u64,
        attempt: Option<AttemptId>,
        (description, over): (Bytes, Option<u8>),
        out: &mut Vec<Output>,
    ) {
        let held = self.held.get(&session);
        if !held.is_some_and(|h| attempt.is_some_and(|attempt| h.is_out_as(&server, attempt))) {
            // A second copy, an answer that nobody asked for, or one that crossed a withdrawal: only the last stands.
            // A host knows a session by its number alone: where a further attempt is out or stands there, a release of
            // the one before would end that.
            let another = held.is_some_and(|h| h.server() == Some(&server));
            if !another && self.given_up.remove(now, &(server.clone(), session)).is_some() {
                self.say_release(now, server, session, cause::ENDED_BY_VIEWER, out);
            }
            return;
        }
        self.close(session);
        let Some(held) = self.held.get_mut(&session) else { return };
        held.stage = Stage::Stands { server: server.clone() };
        held.set_up = None;
        let (conn, attempt) = (held.conn, held.sends - 1);
        self.stands_now(conn);
        if let Some(cause) = over {
            // It stood for a moment: an answer would promise what is over.
            let turned = |conn| Output::Turned { conn, session, cause: cause::FAILED, stay_away: None };
            out.extend(conn.map(turned));
            self.counts.failed += 1;
            self.answered.insert(now, session, ());
            self.events.push_back(Event::Playing { id: RequestId(session), attempt });
            return self.end(now, session, Life::ended_as(cause), Report::default());
        }
        if let Some(conn) = conn {
            out.push(Output::Answer { conn, session, description });
        }
        self.counts.served += 1;
        self.answered.insert(now, session, ());
        if let Some(server) = self.servers.get_mut(&server) {
            server.standing.insert(session);
        }
        self.events.push_back(Event::Playing { id: RequestId(session), attempt });
    }

    // ---- What stands ----

    /// What a host's cause for an end means.
    fn ended_as(cause: u8) -> Status {
        match cause {
            cause::GIVEN_UP => Status::Ok,
            cause::ENDED_BY_VIEWER => Status::Cancelled,
            _ => Status::Reset,
        }
    }

    /// A host's word that a session is over.
    #[allow(clippy::too_many_arguments)]
    fn released(
        &mut self,
        now: Micros,
        server: ServerId,
        session: u64,
        attempt: Option<AttemptId>,
        cause: u8,
        report: Report,
        out: &mut Vec<Output>,
    ) {
        self.unheard.remove(now, &(server.clone(), session));
        let Some(held) = self.held.get(&session).filter(|h| h.server() == Some(&server)) else {
            if !self.held.contains_key(&session) && !self.answered.contains(now, &session) {
                self.ended.insert(now, (session, Some(server)), cause);
            }
            return;
        };
        let status = Life::ended_as(cause);
        match held.stage {
            // Of an attempt before, unless it came where this one is out.
            Stage::Out { .. } => {
                if let Some(attempt) = attempt {
                    self.attempt_over(&server, session, attempt, Status::Reset, report);
                }
            }
            Stage::Stands { .. } => {
                if cause != cause::ENDED_BY_VIEWER {
                    out.push(Output::Over { conn: held.conn, session, cause });
                }
                self.end(now, session, status, report);
            }
            _ => self.end(now, session, Status::Cancelled, report),
        }
    }

    fn stands_now(&mut self, conn: Option<Conn>) {
        if let Some(conn) = conn {
            *self.standing_on.entry(conn).or_default() += 1;
        }
    }

    fn stands_no_more(&mut self, conn: Option<Conn>) {
        if let Some(conn) = conn
            && let Some(count) = self.standing_on.get_mut(&conn)
        {
            *count -= 1;
            if *count == 0 {
                self.standing_on.remove(&conn);
            }
        }
    }

    /// A session that stood is over, and the module is told.
    fn end(&mut self, now: Micros, session: u64, status: Status, report: Report) {
        let Some(held) = self.held.remove(&session) else { return };
        self.stands_no_more(held.conn);
        if let Some(server) = held.server() {
            let server = server.clone();
            if let Some(at) = self.servers.get_mut(&server) {
                at.standing.remove(&session);
            }
            self.drop_if_gone(&server);
            // Its viewer has heard, or is owed nothing: a hand-over that crosses this makes it stand no more.
            self.ended.insert(now, (session, Some(server)), cause::ENDED_BY_VIEWER);
        }
        let (id, attempt) = (RequestId(session), held.sends.saturating_sub(1));
        self.events.push_back(Event::Outcome { id, attempt, status, closed: true, report });
    }

    /// All that stands at a host is over: it died, or is out of reach for good.
    fn lose(&mut self, now: Micros, server: &ServerId, out: &mut Vec<Output>) {
        let Some(at) = self.servers.get_mut(server) else { return };
        self.counts.hosts_lost += 1;
        let attempt_there = |(session, held): (&u64, &Held)| match &held.stage {
            Stage::Out { server: at, attempt, .. } if at == server => Some((*session, *attempt)),
            _ => None,
        };
        let out_there: Vec<_> = self.held.iter().filter_map(attempt_there).collect();
        let standing = std::mem::take(&mut at.standing);
        out.push(Output::Forget { server: server.clone() });
        // If it was only out of reach, it has to hear what is over, also what waited for a connection that is dropped.
        self.say_again(now, server, |_| true, out);
        for (session, attempt) in out_there {
            self.attempt_over(server, session, attempt, Status::Reset, Report::default());
            self.say_release(now, server.clone(), session, cause::ENDED_BY_VIEWER, out);
        }
        for session in standing {
            let Some(held) = self.held.get(&session) else { continue };
            if let Stage::Stands { .. } = held.stage {
                out.push(Output::Over { conn: held.conn, session, cause: cause::FAILED });
            }
            self.say_release(now, server.clone(), session, cause::ENDED_BY_VIEWER, out);
            self.end(now, session, Status::Reset, Report::default());
        }
        self.drop_if_gone(server);
    }

    /// Looks at hosts where sessions stand.
    fn look(&mut self, now: Micros, out: &mut Vec<Output>) {
        if now - self.looked < LOOK {
            return;
        }
        self.looked = now;
        let mut lost = Vec::new();
        let mut watched: Vec<_> = self.servers.iter_mut().filter(|(_, s)| !s.standing.is_empty()).collect();
        watched.sort_by_key(|(_, server)| server.watch.last_heard());
        for (id, server) in watched {
            match server.watch.next(now, server.listed.entry.state != ServerState::Gone) {
                Next::Nothing => {}
                Next::Test => out.push(Output::Test { server: id.clone() }),
                Next::Open => out.push(Output::Open { server: id.clone() }),
                Next::Lost => lost.push(id.clone()),
            }
        }
        for server in lost {
            self.lose(now, &server, out);
            if let Some(server) = self.servers.get_mut(&server) {
                server.watch = Watch::new(now);
            }
        }
    }

    // ---- The list ----

    fn list(&mut self, now: Micros, kind: ListKind, hosts: Vec<Listed>, out: &mut Vec<Output>) {
        if matches!(kind, ListKind::Full | ListKind::Restored) {
            let named: BTreeSet<_> = hosts.iter().map(|h| &h.entry.server).collect();
            let missing = self.servers.iter_mut().filter(|(id, _)| !named.contains(id));
            missing.for_each(|(_, server)| server.listed.entry.state = ServerState::Gone);
        }
        for host in &hosts {
            let id = host.entry.server.clone();
            let another = match self.servers.get_mut(&id) {
                Some(server) => {
                    // Another process: what stood at the one before is over.
                    let another = host.entry.started > server.listed.entry.started
                        || host.address != server.listed.address;
                    server.listed = host.clone();
                    another
                }
                None => {
                    let (listed, standing, watch) = (host.clone(), BTreeSet::new(), Watch::new(now));
                    let server = Server { listed, standing, watch, renewed: None };
                    self.servers.insert(id.clone(), server);
                    false
                }
            };
            if another {
                self.lose(now, &id, out);
                if let Some(server) = self.servers.get_mut(&id) {
                    server.watch = Watch::new(now);
                    server.renewed = Some(now);
                }
            }
        }
        let entries = hosts.into_iter().map(|h| h.entry).collect();
        self.events.push_back(Event::List { kind, entries });
        let gone: Vec<_> = self.servers.keys().cloned().collect();
        gone.iter().for_each(|id| self.drop_if_gone(id));
    }

    /// A host that the list has no more and where nothing stands is forgotten.
    fn drop_if_gone(&mut self, id: &ServerId) {
        let gone = |s: &Server| s.listed.entry.state == ServerState::Gone && s.standing.is_empty();
        if self.servers.get(id).is_some_and(gone) && !self.held.values().any(|h| h.is_out_at(id)) {
            self.servers.remove(id);
        }
    }

    // ---- Time ----

    fn tick(&mut self, now: Micros, out: &mut Vec<Output>) {
        while let Some(Reverse((at, timer))) = self.timers.peek().copied() {
            if at > now {
                break;
            }
            self.timers.pop();
            match timer {
                Timer::Alarm(token) => self.events.push_back(Event::Alarm { token }),
                Timer::Ending(session) => {
                    if self.held.get(&session).is_some_and(|h| matches!(h.stage, Stage::Ending { .. })) {
                        self.end(now, session, Status::Cancelled, Report::default());
                    }
                }
                Timer::Attempt(session, named) => {
                    let Some(held) = self.held.get(&session) else { continue };
                    if let Stage::Out { server, attempt, .. } = &held.stage
                        && *attempt == named
                    {
                        let (server, attempt) = (server.clone(), *attempt);
                        self.say_withdrawn(now, server.clone(), session, attempt, out);
                        self.attempt_over(&server, session, attempt, Status::TimedOut, Report::default());
                    }
                }
            }
            // Each in its turn: what a time-out leads to is decided before the next alarm.
            self.decide(now, out);
        }
    }
}
