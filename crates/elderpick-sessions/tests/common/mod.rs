//! The session lifecycle in virtual time among hosts whose connections break, words that cross, viewers that leave and
//! sessions that are handed over, in random orders by fixed seeds. A judge looks from the outside; doubles that break a
//! rule on purpose prove that it sees.

#![allow(dead_code)]

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use bytes::Bytes;
use elderpick_core::Controller;
use elderpick_core::api::*;
use elderpick_platform::journal::Listed;
use elderpick_platform::viewer::{Figures, SetUp, cause};
use elderpick_sessions::health::Opened;
use elderpick_sessions::lifecycle::{AttemptId, Input, Lifecycle, Output};

/// Tables are checked behind one of so many inputs, by the microsecond at which it comes.
const CHECKED_OF: i64 = 16;

pub const MS: Micros = 1_000;
pub const HOSTS: usize = 3;
/// Time in which all that crossed must have settled: what is unheard is said again within ten seconds.
const SETTLES: Micros = 14_000 * MS;
/// A gateway is handed what plays by then.
const START: Micros = 30_000 * MS;
/// A session that ended in silence has to be given back to its viewer by then.
const SILENT_END: Micros = 8_050 * MS;

fn name(host: usize) -> ServerId {
    ServerId(["a", "b", "c"][host].into())
}

fn number(server: &ServerId) -> usize {
    (0..HOSTS).find(|host| name(*host) == *server).expect("a host that was listed")
}

/// What a double of the lifecycle does wrong.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Wrong {
    Nothing,
    /// Says a final answer twice.
    AnswersTwice,
    /// Takes a word on one attempt for a word on the one that is out.
    MixesAttempts,
    /// Withdraws nothing.
    KeepsAttemptsOut,
    /// Does not release what its viewer ended.
    ReleasesNothing,
    /// Takes broken connections for refused ones.
    ProvesByBreaks,
    /// Does not hear hosts that end sessions.
    KeepsWhatIsOver,
    /// Keeps its last answers to itself.
    AnswersNothing,
    /// Answers long after the deadline.
    AnswersLate,
    /// Gives one session another's description.
    MixesDescriptions,
    /// Tells no viewer that its session is over.
    TellsNoEnds,
    /// Sends on for a viewer that has just left.
    SendsOnBehindTheEnd,
}

/// All that break a rule.
pub const DOUBLES: [Wrong; 11] = [
    Wrong::AnswersTwice,
    Wrong::MixesAttempts,
    Wrong::KeepsAttemptsOut,
    Wrong::ReleasesNothing,
    Wrong::ProvesByBreaks,
    Wrong::KeepsWhatIsOver,
    Wrong::AnswersNothing,
    Wrong::AnswersLate,
    Wrong::MixesDescriptions,
    Wrong::TellsNoEnds,
    Wrong::SendsOnBehindTheEnd,
];

/// A gateway to a host.
#[derive(Clone)]
enum Word {
    SetUp(u64),
    TearDown(u64),
}

/// A host to a gateway.
#[derive(Clone)]
enum Say {
    /// With the description that the host gave for this session.
    Answer(u64),
    Refused(u64, Status),
    Released(u64, u8),
    Heard(u64),
}

struct Line {
    host: usize,
    open: bool,
    to_host: VecDeque<Word>,
    to_gate: VecDeque<Say>,
    /// As the gateway sees it: what is out, and ends said on it that were not confirmed.
    out: BTreeMap<u64, AttemptId>,
    unheard: BTreeSet<u64>,
}

impl Line {
    fn tear_down(&mut self, session: u64) {
        self.unheard.insert(session);
        self.to_host.push_back(Word::TearDown(session));
    }
}

#[derive(Default)]
struct Host {
    /// It reads and says nothing until then.
    hangs_until: Micros,
    /// Nothing passes to it and from it until then.
    cut_until: Micros,
    /// It says nothing more of its sessions: its process is not there until the list tells of another.
    vanished: bool,
    started: Option<Micros>,
    /// Sessions that stand, with the line of their set-up.
    stands: BTreeMap<u64, Option<usize>>,
    /// Set-ups that it has not decided on, with their line.
    pending: BTreeMap<u64, usize>,
    /// Ends that the gateway has not heard: said on the next connection.
    unheard: BTreeMap<u64, u8>,
    /// The gateway's words that wait for a connection.
    kept: Vec<u64>,
}

pub fn class_name(class: usize) -> String {
    format!("class {class}")
}

/// Where the first host listens.
const FIRST_PORT: u16 = 10_000;

pub fn listed(host: usize, state: ServerState, started: Option<Micros>) -> Listed {
    let (zone, kind, cell, weight) = (0, 0, 0, 1.0);
    let entry = Entry { server: name(host), zone, kind, cell, state, weight, started };
    // Each host has an address of its own: one that another takes is over.
    let port = FIRST_PORT + u16::try_from(host).expect("few hosts");
    Listed { address: ([127, 0, 0, 1], port).into(), entry }
}

/// The description that hosts give for a session.
fn described(session: u64) -> Bytes {
    Bytes::from(format!("answer to {session}"))
}

/// What must hold.
#[derive(Default)]
pub struct Judge {
    owed: BTreeMap<u64, (Micros, bool)>,
    /// The attempt that is out for a session, and where.
    out: BTreeMap<u64, (AttemptId, usize)>,
    /// All attempts made for a session, and which are proven never to have run.
    made: BTreeMap<u64, Vec<AttemptId>>,
    proven: BTreeSet<AttemptId>,
    /// Where sessions stand, as the gateway says.
    stands: BTreeMap<u64, usize>,
    /// Sessions that their hosts have ended, by when their viewers must have heard.
    over: BTreeMap<u64, Micros>,
    pub broken: Option<String>,
}

impl Judge {
    fn must(&mut self, holds: bool, what: impl FnOnce() -> String) {
        if !holds && self.broken.is_none() {
            self.broken = Some(what());
        }
    }

    fn never_ran(&self, session: u64) -> bool {
        self.made.get(&session).into_iter().flatten().all(|attempt| self.proven.contains(attempt))
    }

    fn see(&mut self, now: Micros, output: &Output) {
        match output {
            Output::Answer { session, description, .. } => {
                let owed = self.owed.remove(session).is_some();
                self.must(owed, || format!("{session} answered twice, or though nobody waits"));
                let own = *description == described(*session);
                self.must(own, || format!("{session} is answered with another's description"));
                self.out.remove(session);
            }
            Output::Rejected { session, cause, .. } => {
                let owed = self.owed.remove(session);
                self.must(owed.is_some(), || format!("{session} answered twice, or though nobody waits"));
                let paid = owed.is_some_and(|(_, paid)| paid);
                let proven = self.never_ran(*session);
                let harmless = *cause != cause::REFUSED || !paid || proven;
                self.must(harmless, || format!("{session} refused though it may have run"));
                // Nothing stands for the gateway any more: where it does at its host, nobody owns it.
                self.stands.remove(session);
                self.over.remove(session);
            }
            Output::SetUp { server, session, attempt, .. } => {
                let out = self.out.insert(*session, (*attempt, number(server)));
                self.must(out.is_none(), || format!("{session} has two attempts out"));
                let owed = self.owed.get(session).copied();
                self.must(owed.is_some_and(|(until, _)| now < until), || {
                    format!("nobody waits for {session}")
                });
                let proven = self.never_ran(*session);
                let again = owed.is_none_or(|(_, paid)| !paid || proven);
                self.must(again, || format!("{session} sent again though it may have run"));
                self.made.entry(*session).or_default().push(*attempt);
            }
            Output::Withdraw { session, .. } => {
                self.out.remove(session);
            }
            // Closing what leads to a host gives up all that is out there.
            Output::Forget { server, .. } => {
                let host = number(server);
                self.out.retain(|_, (_, at)| *at != host);
            }
            Output::SessionEnded { session, .. } => {
                self.stands.remove(session);
                self.over.remove(session);
            }
            // A release at another host is of an attempt before.
            Output::Release { server, session, .. } if self.stands.get(session) == Some(&number(server)) => {
                self.stands.remove(session);
                self.over.remove(session);
            }
            _ => {}
        }
        self.must_be_in_time(now);
    }

    fn must_be_in_time(&mut self, now: Micros) {
        let untold = self.over.iter().find(|(_, by)| **by < now).map(|(session, _)| *session);
        self.must(untold.is_none(), || format!("{untold:?} is over and its viewer was not told"));
        let late = self.owed.iter().find(|(_, (until, _))| *until < now).map(|(session, _)| *session);
        self.must(late.is_none(), || format!("{late:?} has no answer in time"));
    }
}

/// A connection that is being opened, and what it is opened for.
#[derive(Clone, Copy)]
struct Opening {
    host: usize,
    wanted: Option<(u64, AttemptId)>,
    /// When it has come up or never does.
    until: Micros,
}

/// What a world is played under.
#[derive(Clone)]
pub struct Conditions {
    pub settings: Settings,
    /// How long viewers wait, in milliseconds; each takes one of these.
    pub patience: Vec<u64>,
    /// How long a connection may take to come up.
    pub connect: Micros,
    /// How much time passes at most where some passes.
    pub pace: Micros,
    /// Hosts hang, are cut off, vanish and come back, and the list changes, for up to so long each time.
    pub outage: Option<Micros>,
}

impl Default for Conditions {
    fn default() -> Self {
        Conditions {
            settings: settings(),
            patience: vec![1_000],
            connect: 250 * MS,
            pace: 300 * MS,
            outage: None,
        }
    }
}

pub struct World {
    pub lifecycle: Lifecycle,
    wrong: Wrong,
    under: Conditions,
    now: Micros,
    chance: u64,
    lines: Vec<Line>,
    hosts: Vec<Host>,
    /// Connections that are being opened.
    opening: Vec<Opening>,
    pub judge: Judge,
    next: u64,
    /// Sessions that a gateway before set up, which are handed over some time, at the latest when a start is over.
    before: Vec<(u64, usize)>,
    handed_by: Micros,
    settling: bool,
}

pub fn class(effect: Effect) -> Class {
    let (window, aim, top) = (5_000 * MS, 500 * MS, usize::MAX);
    Class { effect, group: Group::All, window, aim, worth: 1.0, scale: 1.0, floor: 0, top, seats: None }
}

pub fn settings() -> Settings {
    Settings {
        me: 0,
        gateways: 1,
        zone: 0,
        classes: vec![class(Effect::Free), class(Effect::SingleShot)],
        rung_kb: vec![100.0, 200.0],
        rung_worth: vec![0.5, 1.0],
        cells: Some(4),
        racks: Some(1),
        rack_kb: None,
        links_kb: None,
        kb_per_weight: Some(1_000_000.0),
        weights: true,
        places: vec![2_000.0],
        see: 500 * MS,
        cold: None,
        budget: None,
        max_attempts: Some(3),
        max_retry_after: Some(400 * MS),
        reporting: Reporting::Never,
        may_probe: true,
        subscribe: false,
    }
}

impl World {
    pub fn new(seed: u64, wrong: Wrong, under: Conditions) -> World {
        let names = (0..under.settings.classes.len()).map(class_name).collect();
        let cells = under.settings.cells;
        let lifecycle = Lifecycle::new(Controller::new(seed, under.settings.clone()), names, cells);
        let mut world = World {
            lifecycle,
            wrong,
            under,
            now: 1_000_000 * MS,
            chance: seed,
            lines: Vec::new(),
            hosts: (0..HOSTS).map(|_| Host::default()).collect(),
            opening: Vec::new(),
            judge: Judge::default(),
            next: 1,
            before: Vec::new(),
            handed_by: Micros::MAX,
            settling: false,
        };
        let hosts = (0..HOSTS).map(|host| listed(host, ServerState::Up, None)).collect();
        world.feed(Input::List { kind: ListKind::Full, hosts });
        world
    }

    /// Whether a host's words come and go.
    fn is_cut(&self, host: usize) -> bool {
        self.hosts[host].cut_until > self.now || self.hosts[host].vanished
    }

    /// Whether a host does anything.
    fn is_well(&self, host: usize) -> bool {
        !self.is_cut(host) && self.hosts[host].hangs_until <= self.now
    }

    /// SplitMix64.
    fn below(&mut self, end: usize) -> usize {
        self.chance = self.chance.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut z = self.chance;
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        ((z ^ (z >> 31)) % end.max(1) as u64) as usize
    }

    fn any<T: Copy>(&mut self, of: &[T]) -> Option<T> {
        let k = self.below(of.len());
        of.get(k).copied()
    }

    // ---- The gateway ----

    fn feed(&mut self, input: Input) {
        let input = match (self.wrong, input) {
            (Wrong::ProvesByBreaks, Input::ConnectionLost { server, session, attempt, .. }) => {
                Input::ConnectionLost { server, session, attempt, begun: false }
            }
            (Wrong::KeepsWhatIsOver, Input::Released { .. }) => return,
            (_, input) => input,
        };
        let mut out = Vec::new();
        self.lifecycle.handle(self.now, input, &mut out);
        // A part of the inputs: it costs a pass over all that is held.
        if self.now % CHECKED_OF == 0 {
            assert_eq!(self.lifecycle.inconsistencies(), 0, "tables that do not fit the sessions");
        }
        for output in out {
            let skip = match &output {
                Output::Withdraw { .. } => self.wrong == Wrong::KeepsAttemptsOut,
                Output::Release { .. } => self.wrong == Wrong::ReleasesNothing,
                Output::Rejected { .. } => self.wrong == Wrong::AnswersNothing,
                Output::SessionEnded { .. } => self.wrong == Wrong::TellsNoEnds,
                _ => false,
            };
            if skip {
                continue;
            }
            let output = match output {
                Output::Answer { conn, session, .. } if self.wrong == Wrong::MixesDescriptions => {
                    Output::Answer { conn, session, description: described(session + 1) }
                }
                output => output,
            };
            self.judge.see(self.now, &output);
            if self.wrong == Wrong::AnswersTwice && matches!(output, Output::Answer { .. }) {
                self.judge.see(self.now, &output);
            }
            self.carry_out(output);
        }
    }

    fn open_line(&self, host: usize) -> Vec<usize> {
        (0..self.lines.len()).filter(|k| self.lines[*k].open && self.lines[*k].host == host).collect()
    }

    fn carry_out(&mut self, output: Output) {
        match output {
            Output::SetUp { server, session, attempt, .. } => {
                let host = number(&server);
                match self.any(&self.open_line(host)) {
                    Some(line) if self.below(2) == 0 => self.write(line, session, attempt),
                    _ => self.open(host, Some((session, attempt))),
                }
            }
            Output::Withdraw { server, session, attempt } => {
                let host = number(&server);
                for line in self.lines.iter_mut().filter(|line| line.open && line.host == host) {
                    if line.out.get(&session) == Some(&attempt) {
                        line.out.remove(&session);
                        line.tear_down(session);
                    }
                }
            }
            Output::Release { server, session, .. } => {
                let host = number(&server);
                match self.any(&self.open_line(host)) {
                    Some(line) => self.lines[line].tear_down(session),
                    None => {
                        self.hosts[host].kept.push(session);
                        self.open(host, None);
                    }
                }
            }
            Output::Open { server } => self.open(number(&server), None),
            Output::Test { server }
                if self.is_well(number(&server)) && !self.open_line(number(&server)).is_empty() =>
            {
                self.feed(Input::Heard { server });
            }
            Output::Forget { server, .. } => {
                self.hosts[number(&server)].kept.clear();
                for line in self.open_line(number(&server)) {
                    self.close(line);
                }
            }
            Output::Answer { session, .. } => {
                // Its line was noted where the host's word was read.
                let stands = self.judge.stands.contains_key(&session);
                self.judge.must(stands, || format!("{session} is answered by another attempt's word"));
            }
            _ => {}
        }
    }

    fn open(&mut self, host: usize, wanted: Option<(u64, AttemptId)>) {
        self.opening.push(Opening { host, wanted, until: self.now + self.under.connect });
    }

    /// Openings to hosts that are cut off end when their time is over, and others do that are asked to.
    fn end_openings(&mut self) {
        while let Some(k) = self.opening.iter().position(|o| o.until <= self.now && self.is_cut(o.host)) {
            self.opened(k, Some(Opened::Silent));
        }
    }

    fn write(&mut self, line: usize, session: u64, attempt: AttemptId) {
        let server = name(self.lines[line].host);
        if self.lifecycle.may_write(&server, session, attempt, self.now) {
            self.lines[line].out.insert(session, attempt);
            self.lines[line].to_host.push_back(Word::SetUp(session));
        } else {
            self.end_attempt(session, attempt, true);
            self.feed(Input::NotSent { server, session, attempt });
        }
    }

    /// The gateway learns that an attempt is over, and whether that proves that it never ran.
    fn end_attempt(&mut self, session: u64, attempt: AttemptId, proves: bool) {
        if self.judge.out.get(&session).is_some_and(|(out, _)| *out == attempt) {
            self.judge.out.remove(&session);
        }
        if proves {
            self.judge.proven.insert(attempt);
        }
    }

    /// An opening ends, or comes up.
    fn opened(&mut self, k: usize, failed: Option<Opened>) {
        let Opening { host, wanted, .. } = self.opening.swap_remove(k);
        let server = name(host);
        if let Some(how) = failed {
            self.feed(Input::Opened { server: server.clone(), how });
            if let Some((session, attempt)) = wanted {
                self.end_attempt(session, attempt, true);
                self.feed(Input::ConnectionLost { server, session, attempt, begun: false });
            }
            return;
        }
        let unheard = self.hosts[host].unheard.iter().map(|(session, cause)| Say::Released(*session, *cause));
        let to_gate = unheard.collect();
        let (to_host, out, unheard) = (VecDeque::new(), BTreeMap::new(), BTreeSet::new());
        self.lines.push(Line { host, open: true, to_host, to_gate, out, unheard });
        let line = self.lines.len() - 1;
        for session in std::mem::take(&mut self.hosts[host].kept) {
            self.lines[line].tear_down(session);
        }
        self.feed(Input::Opened { server, how: Opened::Up });
        match wanted {
            Some((session, attempt)) if self.lines[line].open => self.write(line, session, attempt),
            // It was closed at once: nothing of it was written.
            Some((session, attempt)) => {
                self.end_attempt(session, attempt, true);
                self.feed(Input::NotSent { server: name(host), session, attempt });
            }
            None => {}
        }
    }

    /// The gateway reads the next word of a host.
    fn read(&mut self, line: usize) {
        let host = self.lines[line].host;
        if self.is_cut(host) {
            return;
        }
        let Some(say) = self.lines[line].to_gate.pop_front() else { return };
        let (server, report) = (name(host), Report::default());
        self.feed(Input::Heard { server: server.clone() });
        match say {
            Say::Answer(session) => {
                let attempt = self.lines[line].out.remove(&session);
                if attempt.is_some() && self.judge.out.get(&session).map(|out| out.0) == attempt {
                    self.judge.stands.insert(session, host);
                }
                let description = described(session);
                let (server, attempt) = self.mixed(session, server, attempt);
                self.feed(Input::Answer { server, session, attempt, description, ended: None });
            }
            Say::Refused(session, status) => {
                let own = self.lines[line].out.remove(&session);
                if let Some(attempt) = own {
                    self.end_attempt(session, attempt, matches!(status, Status::Full | Status::Ignored));
                }
                if let (server, Some(attempt)) = self.mixed(session, server, own) {
                    self.feed(Input::Refused { server, session, attempt, status, report });
                }
            }
            Say::Released(session, cause) => {
                self.hosts[host].unheard.remove(&session);
                let attempt = self.lines[line].out.remove(&session);
                if let Some(attempt) = attempt {
                    self.end_attempt(session, attempt, false);
                }
                if self.judge.stands.get(&session) == Some(&host) {
                    self.judge.stands.remove(&session);
                    if cause != cause::ENDED_BY_VIEWER {
                        self.judge.over.insert(session, self.now);
                    }
                }
                self.feed(Input::Released { server, session, attempt, cause, report });
            }
            Say::Heard(session) => {
                self.lines[line].unheard.remove(&session);
                self.feed(Input::ReleaseConfirmed { server, session });
            }
        }
    }

    /// What the double sends for a viewer that has left.
    fn send_on(&mut self, session: u64) {
        let SetUp { class, title, description, .. } = self.set_up(session, 0, 1_000, None);
        let (attempt, patience, rung) = (AttemptId::MAX, 0, 0);
        let set_up =
            Output::SetUp { server: name(0), session, attempt, class, title, patience, rung, description };
        self.judge.see(self.now, &set_up);
    }

    /// Which attempt a word counts for: its own, or for a double the one that is out, wherever that is.
    fn mixed(&self, session: u64, server: ServerId, own: Option<AttemptId>) -> (ServerId, Option<AttemptId>) {
        match self.judge.out.get(&session) {
            Some((out, at)) if self.wrong == Wrong::MixesAttempts => (name(*at), Some(*out)),
            _ => (server, own),
        }
    }

    // ---- Hosts ----

    fn hears(&mut self, line: usize) {
        let host = self.lines[line].host;
        if !self.is_well(host) {
            return;
        }
        let Some(word) = self.lines[line].to_host.pop_front() else { return };
        match word {
            Word::SetUp(session) => {
                self.hosts[host].pending.insert(session, line);
                if self.below(3) > 0 {
                    self.decides(host, session);
                }
            }
            Word::TearDown(session) => {
                self.hosts[host].pending.remove(&session);
                if self.hosts[host].stands.remove(&session).is_some() {
                    self.lines[line].to_gate.push_back(Say::Released(session, cause::ENDED_BY_VIEWER));
                }
                self.lines[line].to_gate.push_back(Say::Heard(session));
            }
        }
    }

    fn decides(&mut self, host: usize, session: u64) {
        if !self.is_well(host) {
            return;
        }
        let Some(line) = self.hosts[host].pending.remove(&session) else { return };
        let say = match self.below(8) {
            0 => Say::Refused(session, Status::Full),
            1 => Say::Refused(session, Status::Failed),
            2 => Say::Refused(session, Status::Ignored),
            _ => {
                self.hosts[host].stands.insert(session, Some(line));
                Say::Answer(session)
            }
        };
        self.lines[line].to_gate.push_back(say);
    }

    /// A session ends at its host, which says so on the line of its set-up or on any, and on the next that is opened.
    fn ends(&mut self, host: usize, session: u64) {
        if !self.is_well(host) {
            return;
        }
        let Some(of) = self.hosts[host].stands.remove(&session) else { return };
        let cause = [cause::GIVEN_UP, cause::ENDED_BY_VIEWER, cause::FAILED][self.below(3)];
        self.hosts[host].unheard.insert(session, cause);
        let own = of.filter(|line| self.lines[*line].open);
        let any = own.or_else(|| self.open_line(host).first().copied());
        if let Some(line) = any {
            self.lines[line].to_gate.push_back(Say::Released(session, cause));
        }
    }

    /// A line breaks: of what is on its way some has come, and the rest never does.
    fn close(&mut self, line: usize) {
        if !self.lines[line].open {
            return;
        }
        for _ in 0..self.below(self.lines[line].to_host.len() + 1) {
            self.hears(line);
        }
        for _ in 0..self.below(self.lines[line].to_gate.len() + 1) {
            if self.lines[line].open {
                self.read(line);
            }
        }
        if !std::mem::replace(&mut self.lines[line].open, false) {
            return;
        }
        let host = self.lines[line].host;
        // What is open on it is given up.
        self.hosts[host].pending.retain(|_, of| *of != line);
        self.lines[line].to_host.clear();
        self.lines[line].to_gate.clear();
        let out = std::mem::take(&mut self.lines[line].out);
        let unheard = std::mem::take(&mut self.lines[line].unheard).into_iter().collect();
        self.feed(Input::HostDisconnected { server: name(host), whole: false, unheard, made_room: false });
        for (session, attempt) in out {
            self.end_attempt(session, attempt, false);
            self.feed(Input::ConnectionLost { server: name(host), session, attempt, begun: true });
        }
    }

    // ---- Viewers ----

    fn set_up(&self, session: u64, class: usize, patience_ms: u64, at: Option<usize>) -> SetUp {
        let at = at.map(|host| name(host).0.to_string());
        let copies = self.under.settings.cells.unwrap_or(1).max(1);
        SetUp {
            session,
            class: class_name(class),
            patience_ms,
            title: "t".into(),
            figures: Figures { home: 0, copies, top: None, at },
            description: Bytes::from_static(b"offer"),
        }
    }

    /// A viewer asks.
    fn asks(&mut self) {
        let class = self.below(self.under.settings.classes.len());
        let patience = self.any(&self.under.patience.clone()).unwrap_or(1_000);
        let session = self.next;
        self.next += 1;
        let paid = self.under.settings.classes[class].effect == Effect::SingleShot;
        self.judge.owed.insert(session, (self.now + patience as Micros * MS, paid));
        let (conn, set_up) = (session % 4, self.set_up(session, class, patience, None));
        self.feed(Input::SetUp { conn, received_at: self.now, set_up });
    }

    pub fn step(&mut self) {
        if let Some(outage) = self.under.outage
            && self.below(12) == 0
        {
            return self.outage(outage);
        }
        match self.below(24) {
            0..=3 => self.asks(),
            4 => {
                let owed: Vec<_> = self.judge.owed.keys().copied().collect();
                if let Some(session) = self.any(&owed) {
                    self.judge.owed.remove(&session);
                    self.feed(Input::Release { conn: session % 4, session, cause: cause::GIVEN_UP });
                    if self.wrong == Wrong::SendsOnBehindTheEnd {
                        self.send_on(session);
                    }
                }
            }
            5 => {
                let conn = self.below(4) as u64;
                self.judge.owed.retain(|session, _| session % 4 != conn);
                self.feed(Input::ClientDisconnected { conn });
            }
            6 | 7 => {
                let stands: Vec<_> = self.judge.stands.keys().copied().collect();
                if let Some(session) = self.any(&stands) {
                    self.feed(Input::Release { conn: 9, session, cause: cause::ENDED_BY_VIEWER });
                }
            }
            8 => {
                // A gateway before set it up; this one is not told yet.
                let host = self.below(HOSTS);
                if self.is_well(host) {
                    self.hosts[host].stands.insert(self.next, None);
                    self.before.push((self.next, host));
                    self.handed_by = self.handed_by.min(self.now + START);
                    self.next += 1;
                }
            }
            9 => self.hand_over(),
            10 => {
                // Its viewer ends it on a connection that is read before that of its hand-over.
                if let Some((session, _)) = self.any(&self.before.clone()) {
                    self.feed(Input::Release { conn: 9, session, cause: cause::ENDED_BY_VIEWER });
                }
            }
            11 | 12 => {
                let host = self.below(HOSTS);
                let stands: Vec<_> = self.hosts[host].stands.keys().copied().collect();
                if let Some(session) = self.any(&stands) {
                    self.ends(host, session);
                }
            }
            13 => {
                let host = self.below(HOSTS);
                if let Some(line) = self.any(&self.open_line(host)) {
                    self.close(line);
                }
            }
            14 => {
                let span = self.below((self.under.pace / MS) as usize) as Micros * MS;
                self.pass(span);
            }
            _ => self.move_on(),
        }
    }

    /// Something goes wrong with a host, or the list tells of one.
    fn outage(&mut self, most: Micros) {
        let host = self.below(HOSTS);
        let until = self.now + (most >> self.below(8));
        let vanished = self.hosts[host].vanished;
        match self.below(6) {
            0 => self.hosts[host].hangs_until = until,
            1 => self.hosts[host].cut_until = until,
            2 if !vanished => self.vanishes(host),
            2 | 3 => self.comes_back(host),
            4 if !vanished => {
                let state = [ServerState::Up, ServerState::Draining][self.below(2)];
                self.tell(host, state);
            }
            _ => {
                let span = (most / 8) >> self.below(8);
                self.pass(span);
            }
        }
    }

    fn tell(&mut self, host: usize, state: ServerState) {
        let started = self.hosts[host].started;
        let hosts = vec![listed(host, state, started)];
        self.feed(Input::List { kind: ListKind::Changes, hosts });
    }

    /// A host's machine is gone without a word; what stood there is over.
    fn vanishes(&mut self, host: usize) {
        self.hosts[host].vanished = true;
        self.hosts[host].stands.clear();
        self.hosts[host].pending.clear();
        self.hosts[host].unheard.clear();
        self.before.retain(|(_, at)| *at != host);
        let by = self.now + SILENT_END;
        let there: Vec<_> =
            self.judge.stands.iter().filter(|(_, at)| **at == host).map(|(s, _)| *s).collect();
        self.judge.over.extend(there.into_iter().map(|session| (session, by)));
    }

    /// Another process runs in its place, or in its own: the list tells so, and the connections to the one before break.
    fn comes_back(&mut self, host: usize) {
        if !self.hosts[host].vanished {
            self.vanishes(host);
        }
        for line in self.open_line(host) {
            self.lines[line].to_host.clear();
            self.lines[line].to_gate.clear();
            self.close(line);
        }
        self.hosts[host].vanished = false;
        // No two processes under one name start in one millisecond.
        let after = self.hosts[host].started.map_or(0, |started| started + MS);
        self.hosts[host].started = Some(self.now.max(after));
        (self.hosts[host].hangs_until, self.hosts[host].cut_until) = (0, 0);
        self.tell(host, ServerState::Up);
    }

    fn hand_over(&mut self) {
        if self.before.is_empty() {
            return;
        }
        let k = self.below(self.before.len());
        let (session, host) = self.before.swap_remove(k);
        let set_up = self.set_up(session, 0, 1_000, Some(host));
        // The gateway takes it at its word unless it has heard of its end, by its host or by its viewer.
        let held = self.lifecycle.held();
        self.feed(Input::SetUp { conn: 9, received_at: self.now, set_up });
        if self.lifecycle.held() > held {
            self.judge.stands.insert(session, host);
        }
    }

    /// Something that is on its way comes.
    fn move_on(&mut self) {
        let k = self.below(self.lines.len());
        match self.below(4) {
            0 if !self.opening.is_empty() => {
                let (k, up) = (self.below(self.opening.len()), self.settling || self.below(6) > 0);
                if !self.is_cut(self.opening[k].host) {
                    self.opened(k, (!up).then_some(Opened::Refused));
                }
            }
            1 if self.lines.get(k).is_some_and(|line| line.open) => self.hears(k),
            2 if self.lines.get(k).is_some_and(|line| line.open) => self.read(k),
            3 => {
                let host = self.below(HOSTS);
                let pending: Vec<_> = self.hosts[host].pending.keys().copied().collect();
                if let Some(session) = self.any(&pending) {
                    self.decides(host, session);
                }
            }
            _ => {}
        }
    }

    fn pass(&mut self, span: Micros) {
        let end = self.now + span;
        if end > self.handed_by {
            while !self.before.is_empty() {
                self.hand_over();
            }
            self.handed_by = Micros::MAX;
        }
        if self.wrong == Wrong::AnswersLate {
            self.now = end;
            return self.feed(Input::Tick);
        }
        while let Some(due) = self.lifecycle.next_timer().filter(|due| *due <= end) {
            self.now = due.max(self.now);
            self.end_openings();
            // Attempts whose time is over are withdrawn: that proves nothing.
            self.feed(Input::Tick);
            self.judge.must_be_in_time(self.now);
            if self.judge.broken.is_some() {
                return;
            }
        }
        self.now = end;
        self.end_openings();
    }

    /// Nothing new happens, nothing breaks, and all that is on its way comes.
    pub fn settle(&mut self) {
        self.settling = true;
        for host in 0..HOSTS {
            if self.hosts[host].vanished {
                self.comes_back(host);
            }
            (self.hosts[host].hangs_until, self.hosts[host].cut_until) = (0, 0);
            self.tell(host, ServerState::Up);
        }
        let until = self.now + SETTLES;
        while self.now < until {
            for _ in 0..4 {
                while !self.opening.is_empty() {
                    self.opened(0, None);
                }
                for line in 0..self.lines.len() {
                    while self.lines[line].open && !self.lines[line].to_host.is_empty() {
                        self.hears(line);
                    }
                    while self.lines[line].open && !self.lines[line].to_gate.is_empty() {
                        self.read(line);
                    }
                }
            }
            for host in 0..HOSTS {
                for session in self.hosts[host].pending.keys().copied().collect::<Vec<_>>() {
                    self.decides(host, session);
                }
            }
            while !self.before.is_empty() {
                self.hand_over();
            }
            // What waits for a connection has one opened for it now and then.
            for host in 0..HOSTS {
                if !self.hosts[host].kept.is_empty() {
                    self.open(host, None);
                }
            }
            self.pass(50 * MS);
        }
        let owed: Vec<_> = self.judge.owed.keys().copied().collect();
        self.judge.must(owed.is_empty(), || format!("{owed:?} have no final answer"));
        for host in 0..HOSTS {
            let there: BTreeSet<_> = self.hosts[host].stands.keys().copied().collect();
            let known = self.judge.stands.iter().filter(|(_, at)| **at == host);
            let known: BTreeSet<_> = known.map(|(session, _)| *session).collect();
            let unowned: Vec<_> = there.difference(&known).copied().collect();
            self.judge.must(unowned.is_empty(), || format!("{unowned:?} stand at {host}, owned by nobody"));
            let over: Vec<_> = known.difference(&there).copied().collect();
            self.judge.must(over.is_empty(), || format!("{over:?} are over at {host} and kept"));
        }
        let (held, stands) = (self.lifecycle.held(), self.judge.stands.len());
        self.judge.must(held == stands, || format!("{held} are held, {stands} stand"));
        let open = self.lifecycle.open();
        self.judge.must(open == 0, || format!("{open} set-ups are open"));
        let over: Vec<_> = self.judge.over.keys().copied().collect();
        self.judge.must(over.is_empty(), || format!("{over:?} are over and their viewers were not told"));
    }
}

/// Plays one order of events; what was broken first, if anything.
pub fn play(seed: u64, wrong: Wrong, under: Conditions, steps: usize) -> Option<String> {
    let mut world = World::new(seed, wrong, under);
    for _ in 0..steps {
        world.step();
        if world.judge.broken.is_some() {
            return world.judge.broken;
        }
    }
    world.settle();
    world.judge.broken
}
