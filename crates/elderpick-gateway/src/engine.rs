//! The life of sessions, without sockets and without a clock.
//!
//! kind: decisions
//!
//! The engine stands between the decision core and the sockets. It tells the core what happens and turns what the core
//! decides into work for the runtime: it keeps which request waits for which session, when an attempt has run out of
//! time, when a viewer counts as gone, and what must be released at a host before the core may count a seat as free.
//! Everything enters by [`Engine::handle`] with the time and leaves as [`Output`]s.

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::net::{IpAddr, SocketAddr};

use elderpick_core::Controller;
use elderpick_core::api::{
    Action, Event, ListKind, Micros, Note, Report, RequestId, ServerId, ServerState, Status, Viewing,
};

use elderpick_entitle::desk::SeatId;
use elderpick_ledger::book::Outcome;

use crate::config::{Config, Listed, Reporting};
use crate::membership::{Membership, Told};
use crate::play::Play;

/// What decides on sessions. The product has one, the core; drills put doubles in its place that break a rule.
pub trait Decide {
    fn handle(&mut self, now: Micros, event: Event, actions: &mut Vec<Action>);

    /// Whether a set-up may be written to a server that the list tells to be so.
    fn may_write(&self, state: ServerState) -> bool {
        state == ServerState::Up
    }
}

impl Decide for Controller {
    fn handle(&mut self, now: Micros, event: Event, actions: &mut Vec<Action>) {
        Controller::handle(self, now, event, actions);
    }
}

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

enum State {
    /// Attempts are made.
    Placing,
    Playing(Box<Play>),
    /// Packets pass.
    Flowing,
    /// An attempt of a class with seats failed and may have run: the host is being told that it is not wanted, and the
    /// core hears how it ended when that is done. Until then the seat counts as held.
    Clearing {
        attempt: usize,
        status: Status,
        report: Report,
    },
    /// The host is being told that it is over.
    Releasing(Status),
}

struct Session {
    token: Token,
    alias: Token,
    wanted: Wanted,
    asks: Vec<Ask>,
    state: State,
    /// Attempts sent so far, and where the last went if it is still out or plays.
    attempts: usize,
    server: Option<ServerId>,
    rung: usize,
    last: Status,
    seen: Micros,
    /// Requests that had it, with the first.
    tries: u32,
    /// When its use ended and how, once it has.
    used: Option<(Micros, Outcome)>,
    /// What its host says that it delivered.
    bytes: Option<u64>,
}

impl Session {
    /// Its requests wait for their answer.
    fn is_placed(&self) -> bool {
        matches!(self.state, State::Placing | State::Clearing { .. })
    }

    fn plays(&self) -> bool {
        matches!(self.state, State::Playing(_) | State::Flowing)
    }
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
enum Timer {
    /// An attempt has run out of time. Comes before the core's alarms of the same moment.
    Attempt(RequestId, usize),
    Silence(RequestId),
    Core(u64),
}

/// Requests that may wait for the answer of one session.
const MOST_ASKS: usize = 8;
const MOST_TITLE: usize = 256;
/// Ended sessions of which it is remembered that their right was over.
const MOST_LAPSED: usize = 4096;

pub struct Engine<D> {
    core: D,
    pub config: Config,
    pub members: Membership,
    sessions: BTreeMap<RequestId, Session>,
    tokens: HashMap<Token, RequestId>,
    aliases: HashMap<Token, RequestId>,
    viewers: HashMap<(Viewer, usize, String), RequestId>,
    asks: HashMap<Ask, RequestId>,
    /// The session that has each seat.
    seats: HashMap<SeatId, RequestId>,
    lapsed: VecDeque<Token>,
    timers: BTreeSet<(Micros, Timer)>,
    /// Servers that are listened to, and those of them that have not said yet which process they are.
    followed: BTreeSet<ServerId>,
    deaf: BTreeSet<ServerId>,
    /// How often each server was lost.
    falls: BTreeMap<ServerId, u64>,
    next: u64,
    draining: bool,
    began: bool,
    now: Micros,
    pub counts: Counts,
    actions: Vec<Action>,
    out: Vec<Output>,
}

impl<D: Decide> Engine<D> {
    pub fn new(core: D, config: Config, servers: BTreeMap<ServerId, Listed>) -> Self {
        Engine {
            core,
            config,
            members: Membership::new(servers),
            sessions: BTreeMap::new(),
            tokens: HashMap::new(),
            aliases: HashMap::new(),
            viewers: HashMap::new(),
            asks: HashMap::new(),
            seats: HashMap::new(),
            lapsed: VecDeque::new(),
            timers: BTreeSet::new(),
            followed: BTreeSet::new(),
            deaf: BTreeSet::new(),
            falls: BTreeMap::new(),
            next: 0,
            draining: false,
            began: false,
            now: 0,
            counts: Counts::default(),
            actions: Vec::new(),
            out: Vec::new(),
        }
    }

    /// When [`Input::Tick`] is next due. After a stall what arrived meanwhile is to be handled before it.
    pub fn next_timer(&self) -> Option<Micros> {
        self.timers.first().map(|(at, _)| *at)
    }

    pub fn sessions(&self) -> usize {
        self.sessions.len()
    }

    /// Whether a set-up may be written to the server now: the list may have changed since it was decided.
    pub fn may_write(&self, server: &ServerId) -> bool {
        self.members.get(server).is_some_and(|s| self.core.may_write(s.entry.state))
    }

    /// How often the server was lost so far; a set-up is decided on the process that runs until the next time.
    pub fn falls(&self, server: &ServerId) -> u64 {
        self.falls.get(server).copied().unwrap_or(0)
    }

    /// What is to become of a set-up that was decided when the server had been lost `falls` times. The list is late: a
    /// server that came back cold passes for warm until it is told, so that each gateway hears it from the server
    /// itself before it writes.
    pub fn word(&self, server: &ServerId, falls: u64) -> Word {
        if !self.may_write(server) {
            Word::Withdrawn
        } else if self.falls(server) != falls {
            Word::Lost
        } else if self.deaf.contains(server) {
            Word::Wait
        } else {
            Word::Write
        }
    }

    /// Whether all that is listened to has said which process it is.
    pub fn hears_all(&self) -> bool {
        self.deaf.is_empty()
    }

    fn follow(&mut self, server: &ServerId) {
        if self.followed.insert(server.clone()) {
            self.deaf.insert(server.clone());
            self.out.push(Output::Follow { server: server.clone() });
        }
    }

    /// Takes what happened and appends what is to be done.
    pub fn handle(&mut self, now: Micros, input: Input, out: &mut Vec<Output>) {
        if !self.began {
            // The inventory is a list as it was known last: it may be old.
            self.began = true;
            let entries = self.members.entries();
            self.tell(now, Event::List { kind: ListKind::Restored, entries });
        }
        self.now = now;
        match input {
            Input::List { kind, servers } => self.list(now, kind, servers),
            Input::Ask { ask, wanted, token, alias } => self.ask(now, ask, wanted, token, alias),
            Input::AskDropped { ask } => self.ask_dropped(now, ask),
            Input::SetUp { id, attempt, result, report } => self.set_up(now, id, attempt, result, report),
            Input::Released { id, bytes } => self.released(now, id, bytes),
            Input::Probed { server, status, report } => {
                // One that is back is listened to before it is given anything.
                if status == Status::Ok && self.members.get(&server).is_some() {
                    self.follow(&server);
                }
                self.tell(now, Event::Probed { server, status, report })
            }
            Input::Said { server, said } => self.said(now, server, said),
            Input::Leave { token } => {
                if let Some(&id) = self.tokens.get(&token) {
                    self.counts.left += 1;
                    self.release(id, Status::Ok);
                }
            }
            Input::Lapse { seat } => {
                if let Some(&id) = self.seats.get(&seat) {
                    let token = self.sessions[&id].token;
                    self.lapsed.truncate(MOST_LAPSED - 1);
                    self.lapsed.push_front(token);
                    self.stop(now, id);
                }
            }
            Input::Drain => self.draining = true,
            Input::End => {
                let ids: Vec<_> = self.sessions.keys().copied().collect();
                ids.into_iter().for_each(|id| self.release(id, Status::Cancelled));
            }
            Input::Tick => self.run_timers(now),
        }
        out.append(&mut self.out);
    }

    fn run_timers(&mut self, now: Micros) {
        while let Some(&(at, timer)) = self.timers.first().filter(|(at, _)| *at <= now) {
            self.timers.remove(&(at, timer));
            match timer {
                Timer::Attempt(id, attempt) => {
                    let out = self.sessions.get(&id).filter(|s| {
                        s.attempts == attempt + 1 && s.server.is_some() && matches!(s.state, State::Placing)
                    });
                    if out.is_some() {
                        self.out.push(Output::Cancel { id, attempt });
                        self.attempt_failed(now, id, attempt, Status::TimedOut, Report::default());
                    }
                }
                Timer::Silence(id) => self.silence(now, id),
                Timer::Core(token) => self.tell(now, Event::Alarm { token }),
            }
        }
    }

    /// Tells the core and carries out what it decides.
    fn tell(&mut self, now: Micros, event: Event) {
        let mut actions = std::mem::take(&mut self.actions);
        self.core.handle(now, event, &mut actions);
        for action in actions.drain(..) {
            match action {
                Action::Rate { id, rung } => self.rate(id, rung),
                Action::Send { id, server, timeout } => self.send(now, id, server, timeout),
                Action::Refuse { id, retry_after } => {
                    self.counts.refused += 1;
                    self.give_up(id, Answer::Refused { retry_after });
                }
                Action::Fail { id } => {
                    self.counts.failed += 1;
                    let late = self.sessions.get(&id).is_some_and(|s| s.last == Status::TimedOut);
                    self.give_up(id, Answer::Failed { late });
                }
                Action::Probe { server } => self.out.push(Output::Probe { server }),
                Action::Subscribe => self.out.push(Output::Subscribe),
                Action::Fetch => self.out.push(Output::Fetch),
                Action::Alarm { token, at } => {
                    self.timers.insert((at, Timer::Core(token)));
                }
            }
        }
        self.actions = actions;
    }

    fn list(&mut self, now: Micros, kind: ListKind, servers: Vec<Told>) {
        let (entries, unknown) = self.members.list(kind, servers);
        for server in unknown {
            tracing::warn!(server, "in the list but not in the inventory");
        }
        self.counts.unknown_servers = self.members.unknown_told;
        let up = entries.iter().filter(|e| e.state == ServerState::Up).map(|e| e.server.clone());
        for server in up.collect::<Vec<_>>() {
            self.follow(&server);
        }
        self.tell(now, Event::List { kind, entries });
    }

    fn ask(&mut self, now: Micros, ask: Ask, wanted: Wanted, token: Token, alias: Token) {
        self.counts.asked += 1;
        let key = wanted.viewer.clone().map(|v| (v, wanted.class, wanted.title.clone()));
        let held = match wanted.seated {
            Some(seated) => self.with_seat(now, seated, &wanted),
            None => key.as_ref().and_then(|key| self.viewers.get(key)).copied(),
        };
        // A further try of a session that is held joins it, and has the same answer.
        if let Some(session) = held {
            match self.sessions.get_mut(&session) {
                Some(held) if held.is_placed() => {
                    // One more than may wait: it must not begin a second session, and it cannot be refused, since
                    // an attempt may have run.
                    if held.asks.len() >= MOST_ASKS {
                        self.counts.over_bound += 1;
                        self.counts.failed += 1;
                        let answer = Answer::Failed { late: false };
                        return self.out.push(Output::Answer { ask, answer });
                    }
                    self.counts.joined += 1;
                    held.tries += 1;
                    held.asks.push(ask);
                    self.asks.insert(ask, session);
                    return;
                }
                Some(Session { state: State::Playing(play), token, seen, tries, .. }) => {
                    self.counts.joined += 1;
                    *seen = now;
                    *tries += 1;
                    let answer = Answer::Plays { token: *token, manifest: play.manifest(*token) };
                    return self.out.push(Output::Answer { ask, answer });
                }
                _ => {}
            }
        }
        let full = self.sessions.len() >= self.config.limits.sessions;
        if self.draining || full || wanted.title.len() > MOST_TITLE {
            self.counts.over_bound += u64::from(full);
            self.counts.refused += 1;
            let answer = Answer::Refused { retry_after: self.config.retry_after };
            return self.out.push(Output::Answer { ask, answer });
        }
        let id = RequestId(self.next);
        self.next += 1;
        let class = &self.config.classes[wanted.class];
        let left = wanted.came + class.patience - self.config.limits.margin - now;
        let (home, copies) = self.config.home(&wanted.title);
        let fits = |bits: u64| {
            let ladder = self.config.ladder_bits(wanted.class);
            ladder.iter().rposition(|&rate| rate <= bits).unwrap_or(0)
        };
        let top = wanted.top_bits.map_or(usize::MAX, fits).max(class.floor);
        let viewing =
            Viewing { class: wanted.class, title: wanted.title.clone(), left, hint: None, home, copies, top };
        let seated = wanted.seated;
        let session = Session {
            token,
            alias,
            wanted,
            asks: vec![ask],
            state: State::Placing,
            attempts: 0,
            server: None,
            rung: 0,
            last: Status::Ok,
            seen: now,
            tries: 1,
            used: None,
            bytes: None,
        };
        self.sessions.insert(id, session);
        self.tokens.insert(token, id);
        self.aliases.insert(alias, id);
        self.asks.insert(ask, id);
        if let Some(key) = key {
            self.viewers.insert(key, id);
        }
        if let Some(seated) = seated {
            self.seats.insert(seated.seat, id);
        }
        self.tell(now, Event::Request { id, viewing });
    }

    /// The session that a request with a seat joins. A seat has one session: another one that has it is ended.
    fn with_seat(&mut self, now: Micros, seated: Seated, wanted: &Wanted) -> Option<RequestId> {
        let id = *self.seats.get(&seated.seat)?;
        let held = self.sessions.get(&id)?;
        let hls = (held.wanted.via, wanted.via) == (Via::Hls, Via::Hls);
        let same = hls && (held.wanted.class, &held.wanted.title) == (wanted.class, &wanted.title);
        if same && !seated.takes_over && !matches!(held.state, State::Releasing(_)) {
            return Some(id);
        }
        self.seats.remove(&seated.seat);
        self.stop(now, id);
        None
    }

    /// Ends a session whatever it is at.
    fn stop(&mut self, now: Micros, id: RequestId) {
        let Some(session) = self.sessions.get(&id) else { return };
        if session.is_placed() && session.server.is_none() {
            self.tell(now, Event::Gone { id });
            self.give_up(id, Answer::Failed { late: false });
        } else {
            self.release(id, Status::Cancelled);
        }
    }

    /// Whether a session has the seat, be it one that is being ended.
    pub fn has_session(&self, seat: SeatId) -> bool {
        self.seats.contains_key(&seat)
    }

    /// The seat, class and title of a session that plays.
    pub fn seat_of(&self, token: Token) -> Option<(SeatId, usize, String)> {
        let session = self.sessions.get(self.tokens.get(&token)?)?;
        let seated = session.wanted.seated?;
        Some((seated.seat, session.wanted.class, session.wanted.title.clone()))
    }

    /// Whether a session ended since its right was over.
    pub fn has_lapsed(&self, token: Token) -> bool {
        self.lapsed.contains(&token)
    }

    /// The last of a session's viewers left before the answer: nothing more is sent for it.
    fn ask_dropped(&mut self, now: Micros, ask: Ask) {
        let Some(id) = self.asks.remove(&ask) else { return };
        let Some(session) = self.sessions.get_mut(&id) else { return };
        session.asks.retain(|&a| a != ask);
        if session.asks.is_empty() && session.is_placed() {
            self.counts.left += 1;
            self.tell(now, Event::Gone { id });
            self.give_up(id, Answer::Failed { late: false });
        }
    }

    fn rate(&mut self, id: RequestId, rung: usize) {
        let Some(session) = self.sessions.get_mut(&id) else { return };
        session.rung = rung;
        let play = match &mut session.state {
            State::Playing(play) => Some(play),
            State::Flowing => None,
            State::Placing | State::Clearing { .. } | State::Releasing(_) => return,
        };
        if let Some(server) = &session.server {
            self.counts.rungs += 1;
            self.out.push(Output::Use(Use::Rung { session: session.alias, rung }));
            if let Some(play) = play {
                play.change(rung);
            }
            let (server, alias, order) = (server.clone(), session.alias, self.counts.rungs);
            self.out.push(Output::Rung { server, alias, rung, order });
        }
    }

    fn send(&mut self, now: Micros, id: RequestId, server: ServerId, timeout: Micros) {
        let Some(session) = self.sessions.get_mut(&id) else { return };
        let attempt = session.attempts;
        session.attempts += 1;
        session.server = Some(server.clone());
        self.counts.attempts += 1;
        self.counts.further += u64::from(attempt > 0);
        self.timers.insert((now + timeout.max(0), Timer::Attempt(id, attempt)));
        let set_up = Output::SetUp {
            id,
            attempt,
            server: server.clone(),
            alias: session.alias,
            via: session.wanted.via,
            class: session.wanted.class,
            title: session.wanted.title.clone(),
            rung: session.rung,
            trace: session.wanted.trace.clone(),
        };
        self.follow(&server);
        self.out.push(set_up);
    }

    fn set_up(&mut self, now: Micros, id: RequestId, attempt: usize, result: SetUp, report: Report) {
        let current = |s: &&mut Session| s.attempts == attempt + 1 && matches!(s.state, State::Placing);
        let Some(session) = self.sessions.get_mut(&id).filter(current) else { return };
        let token = session.token;
        let (state, answer) = match (result, session.wanted.via) {
            (SetUp::Flows { at, stream_id }, Via::Srt) => {
                (State::Flowing, Answer::Flows { token, at, stream_id })
            }
            (SetUp::Plays { base, manifest }, Via::Hls) => {
                let ladder = self.config.ladder_bits(session.wanted.class);
                match Play::new(&base, &manifest, session.rung, ladder, &self.config.limits, now) {
                    Ok(play) => {
                        let manifest = play.manifest(token);
                        (State::Playing(Box::new(play)), Answer::Plays { token, manifest })
                    }
                    Err(why) => {
                        let server = session.server.as_ref().map(|s| &*s.0);
                        tracing::warn!(session = id.0, server, attempt, %why, "the host's playlist cannot be used");
                        return self.attempt_failed(now, id, attempt, Status::Failed, report);
                    }
                }
            }
            (SetUp::Failed(status), _) => return self.attempt_failed(now, id, attempt, status, report),
            _ => return self.attempt_failed(now, id, attempt, Status::Failed, report),
        };
        session.state = state;
        let began = Use::Began {
            session: session.alias,
            payer: session.wanted.payer.clone(),
            class: session.wanted.class,
            title: session.wanted.title.clone(),
            rung: session.rung,
        };
        self.out.push(Output::Use(began));
        session.seen = now;
        self.counts.played += 1;
        for ask in std::mem::take(&mut session.asks) {
            self.asks.remove(&ask);
            self.out.push(Output::Answer { ask, answer: answer.clone() });
        }
        self.timers.insert((now + self.config.limits.silence, Timer::Silence(id)));
        let server = session.server.clone();
        // A host that was lost while the attempt was out is listened to again.
        if let Some(server) = &server {
            self.follow(server);
        }
        self.tell(now, Event::Playing { id, attempt });
        if let Some(server) = server.filter(|_| self.config.reporting == Reporting::Answers) {
            self.tell(now, Event::Probed { server, status: Status::Ok, report });
        }
    }

    /// An attempt is over and nothing plays. Where it may have run the host is told that it is not wanted.
    fn attempt_failed(&mut self, now: Micros, id: RequestId, attempt: usize, status: Status, report: Report) {
        let Some(session) = self.sessions.get_mut(&id) else { return };
        session.last = status;
        let may_run = matches!(status, Status::TimedOut | Status::Reset | Status::Cancelled | Status::Failed);
        if let Some(server) = session.server.take().filter(|_| may_run) {
            let alias = session.alias;
            let seats = self.config.classes[session.wanted.class].seats.is_some();
            self.out.push(Output::Release { id: seats.then_some(id), server, alias });
            if seats {
                session.state = State::Clearing { attempt, status, report };
                return;
            }
        }
        self.tell(now, Event::Outcome { id, attempt, status, closed: false, report });
    }

    /// The host has let go of an attempt that failed.
    fn cleared(&mut self, now: Micros, id: RequestId, attempt: usize, status: Status, report: Report) {
        self.tell(now, Event::Outcome { id, attempt, status, closed: false, report });
        // Those who waited were answered meanwhile, and nothing more came of it.
        let idle = |s: &Session| matches!(s.state, State::Placing) && s.server.is_none() && s.asks.is_empty();
        if self.sessions.get(&id).is_some_and(idle) {
            self.forget(id, true);
        }
    }

    /// Answers at once all who wait, and ends what is still out.
    fn give_up(&mut self, id: RequestId, answer: Answer) {
        let Some(session) = self.sessions.get_mut(&id) else { return };
        for ask in std::mem::take(&mut session.asks) {
            self.asks.remove(&ask);
            self.out.push(Output::Answer { ask, answer: answer.clone() });
        }
        if session.server.is_some() {
            self.out.push(Output::Cancel { id, attempt: session.attempts - 1 });
            self.release(id, Status::Cancelled);
        } else if !matches!(session.state, State::Clearing { .. }) {
            self.forget(id, true);
        }
    }

    /// Tells the host that a session is over. The core hears of it when the host has taken it, so that a seat counts
    /// as held as long as the host may hold it.
    fn release(&mut self, id: RequestId, status: Status) {
        let Some(session) = self.sessions.get_mut(&id) else { return };
        if matches!(session.state, State::Releasing(_)) {
            return;
        }
        let Some(server) = session.server.clone() else { return };
        if matches!(session.state, State::Placing) && !session.asks.is_empty() {
            // Ended from outside while it was placed.
            for ask in std::mem::take(&mut session.asks) {
                self.asks.remove(&ask);
                self.out.push(Output::Answer { ask, answer: Answer::Failed { late: false } });
            }
            self.out.push(Output::Cancel { id, attempt: session.attempts - 1 });
        }
        if session.plays() {
            let outcome = match status {
                Status::Ok => Outcome::Left,
                _ if self.lapsed.front() == Some(&session.token) => Outcome::Lapsed,
                _ => Outcome::Cut,
            };
            session.used.get_or_insert((self.now, outcome));
        }
        session.state = State::Releasing(status);
        self.tokens.remove(&session.token);
        let alias = session.alias;
        self.out.push(Output::Release { id: Some(id), server, alias });
    }

    fn released(&mut self, now: Micros, id: RequestId, bytes: Option<u64>) {
        let Some(session) = self.sessions.get_mut(&id) else { return };
        let status = match session.state {
            State::Releasing(status) => status,
            State::Clearing { attempt, status, report } => {
                session.state = State::Placing;
                return self.cleared(now, id, attempt, status, report);
            }
            _ => return,
        };
        session.bytes = bytes;
        self.ended(now, id, status);
    }

    /// A session is over at its host.
    fn ended(&mut self, now: Micros, id: RequestId, status: Status) {
        let Some(attempt) = self.sessions.get(&id).map(|s| s.attempts.saturating_sub(1)) else { return };
        self.counts.ended += 1;
        self.forget(id, status == Status::Ok);
        self.tell(now, Event::Outcome { id, attempt, status, closed: true, report: Report::default() });
    }

    fn forget(&mut self, id: RequestId, willing: bool) {
        let Some(session) = self.sessions.remove(&id) else { return };
        let playing = session.plays().then_some((self.now, Outcome::Cut));
        if let Some((at, outcome)) = session.used.or(playing) {
            let (tries, bytes) = (session.tries, session.bytes);
            let over = Use::Over { session: session.alias, at, tries, outcome, bytes };
            self.out.push(Output::Use(over));
        }
        if let Some(Seated { seat, .. }) =
            session.wanted.seated.filter(|s| self.seats.get(&s.seat) == Some(&id))
        {
            self.seats.remove(&seat);
            self.out.push(Output::Left { seat, willing });
        }
        self.tokens.remove(&session.token);
        self.aliases.remove(&session.alias);
        if let Some(viewer) = session.wanted.viewer {
            let key = (viewer, session.wanted.class, session.wanted.title);
            if self.viewers.get(&key) == Some(&id) {
                self.viewers.remove(&key);
            }
        }
    }

    fn silence(&mut self, now: Micros, id: RequestId) {
        let Some(session) = self.sessions.get(&id) else { return };
        let until = match &session.state {
            State::Playing(play) => play.wanted_until(session.seen, &self.config.limits),
            State::Flowing => session.seen + self.config.limits.silence,
            _ => return,
        };
        if until > now {
            self.timers.insert((until, Timer::Silence(id)));
        } else {
            self.counts.left += 1;
            let used = (until - self.config.limits.silence, Outcome::Left);
            if let Some(session) = self.sessions.get_mut(&id) {
                session.used = Some(used);
            }
            self.release(id, Status::Ok);
        }
    }

    fn said(&mut self, now: Micros, server: ServerId, said: Said) {
        let there = |s: &Session| s.server.as_ref() == Some(&server);
        let note = match said {
            Said::Delivered(share) => Note::Delivered(share),
            Said::Link(asked) => Note::LinkAsked(asked),
            Said::Uplink(asked) => Note::UplinkAsked(asked),
            Said::Ended(alias, bytes) => {
                let id = self.aliases.get(&alias).copied();
                let Some(id) = id.filter(|id| self.sessions.get(id).is_some_and(there)) else { return };
                if let Some(session) = self.sessions.get_mut(&id) {
                    session.bytes = bytes;
                }
                // While it is placed the attempt's own answer decides.
                if self.sessions[&id].plays() {
                    self.ended(now, id, Status::Cancelled);
                }
                return;
            }
            Said::Broke => {
                self.deaf.insert(server);
                return;
            }
            Said::Began(at) => {
                self.deaf.remove(&server);
                // While the list is not known all servers pass for cold, and this must not end that.
                let entry = self.members.began(&server, at.min(now));
                if let Some(entry) = entry.filter(|_| self.members.heard()) {
                    self.tell(now, Event::List { kind: ListKind::Changes, entries: vec![entry] });
                }
                return;
            }
            Said::Lost => {
                self.deaf.remove(&server);
                *self.falls.entry(server.clone()).or_default() += 1;
                let playing = |s: &Session| there(s) && !matches!(s.state, State::Placing);
                let ids: Vec<_> =
                    self.sessions.iter().filter(|(_, s)| playing(s)).map(|(id, _)| *id).collect();
                self.followed.remove(&server);
                if ids.is_empty() {
                    // Nothing was lost, but a host that answers no more is known to be so.
                    let (status, report) = (Status::ConnectError, Report::default());
                    return self.tell(now, Event::Probed { server, status, report });
                }
                self.counts.lost += ids.len() as u64;
                return ids.into_iter().for_each(|id| self.ended(now, id, Status::Reset));
            }
        };
        // The core takes what is told of a server with any session there.
        let id = self.sessions.iter().filter(|(_, s)| there(s)).map(|(id, _)| *id).next();
        if let Some(id) = id {
            self.tell(now, Event::Noted { id, server, note });
        }
    }

    /// Whether packets of the session are to pass. With `heard`, its viewer was heard of just now.
    pub fn flows(&mut self, now: Micros, token: Token, heard: bool) -> bool {
        let session = self.tokens.get(&token).and_then(|id| self.sessions.get_mut(id));
        let Some(session) = session.filter(|s| matches!(s.state, State::Flowing)) else { return false };
        if heard {
            session.seen = now;
        }
        true
    }

    /// The session's playlists, for a viewer that asks for one now.
    pub fn play(&mut self, now: Micros, token: Token) -> Option<&mut Play> {
        let id = *self.tokens.get(&token)?;
        let session = self.sessions.get_mut(&id)?;
        session.seen = now;
        match &mut session.state {
            State::Playing(play) => Some(play),
            _ => None,
        }
    }
}
