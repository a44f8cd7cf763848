//! One gateway: what its tasks share, and how what the session lifecycle says is carried out.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use elderpick_core::Controller;
use elderpick_core::api::Micros;
use elderpick_gateway::shell::{Clock, WallClock};
use elderpick_platform::boot::{self, Boot, BootError};
use elderpick_platform::rtsp;
use elderpick_platform::viewer::{self, cause};
use elderpick_sessions::admission::{Admission, Connections};
use elderpick_sessions::follow::Follow;
use elderpick_sessions::lifecycle::{Conn, Input, Lifecycle, Output};
use elderpick_sessions::releases::Releases;
use elderpick_sessions::shutdown::Timetable;
use tokio::sync::Notify;

use crate::buffered_stream;
use crate::descriptors::Descriptors;
use crate::event_log;
use crate::hosts::{Attempt, HostMessage, Hosts, Limits};
use crate::scheduling::Scheduling;
use crate::turns::LongestTurns;
use crate::viewers::{Client, Clients, Trust};

/// A connection to a host that is not up by then is given up, where the settings tell no other time.
const DEFAULT_CONNECT_TIMEOUT: Micros = 250_000;
const MEGABYTE: usize = 1 << 20;

pub(crate) struct Node {
    pub scheduling: Cell<Scheduling>,
    pub lifecycle: RefCell<Lifecycle>,
    pub clock: WallClock,
    pub name: String,
    pub zones: Vec<String>,
    pub kinds: Vec<String>,
    pub hosts: Hosts,
    pub clients: RefCell<Clients>,
    pub admission: RefCell<Admission>,
    /// Connections beyond those that are admitted, which are only told so; how many there may be and are.
    pub most_refusing: usize,
    pub refusing: Cell<usize>,
    pub next_conn: Cell<Conn>,
    /// What is read goes here first; each task is done with it before the next one reads.
    pub buffer: RefCell<Vec<u8>>,
    /// What is over and not confirmed by its viewer; bounded by the sessions that may stand.
    pub releases: RefCell<Releases>,
    pub follow: RefCell<Follow>,
    pub journal: Cell<SocketAddr>,
    pub moved: Notify,
    pub caught_up: Cell<bool>,
    pub shutting_down: Cell<bool>,
    /// The last answers are given: nothing more is heard from hosts, which tell the next gateway.
    pub closing: Cell<bool>,
    /// When it does what once it is told to end.
    pub timetable: Timetable,
    /// No further connection of viewers is taken.
    pub stop_accepting: Notify,
    pub timer: Notify,
    pub inputs: RefCell<VecDeque<Input>>,
    /// Attempts to be written once all that has happened was told; bounded by the set-ups that may be open.
    pub attempts: RefCell<VecDeque<Attempt>>,
    pub feeding: Cell<bool>,
    pub unreadable: Cell<u64>,
    pub turned_away: Cell<u64>,
    /// Answers that went down with their connection.
    pub undelivered: Cell<u64>,
    /// Connections that would have been closed as idle, with something on them that was not read yet.
    pub spared: Cell<u64>,
    pub warned: Cell<Micros>,
    pub longest_turns: LongestTurns,
}

impl Node {
    /// A gateway that was told its configuration and nothing else.
    pub fn new(boot: &Boot, descriptors: Descriptors) -> Result<Rc<Node>, BootError> {
        let info = &boot.settings;
        let seed = boot.seed()?;
        let core = Controller::new(seed, boot::settings(info)?);
        let classes = info.profiles.iter().map(|class| class.name.clone()).collect();
        let connect = Some(info.limits.connect_timeout_us).filter(|us| *us > 0);
        let limits = Limits {
            connections: descriptors.hosts,
            ending: descriptors.spare,
            set_ups_on_one: info.limits.streams_per_conn,
            connect: Duration::from_micros(connect.unwrap_or(DEFAULT_CONNECT_TIMEOUT) as u64),
            idle: info.limits.conn_idle_us,
        };
        let clock = WallClock::start();
        let started = clock.now();
        let memory = usize::try_from(boot.limits.memory_mb).unwrap_or(usize::MAX).saturating_mul(MEGABYTE);
        let lifecycle = Lifecycle::new(core, classes, info.extra.cells).with_memory_limit(memory);
        Ok(Rc::new(Node {
            scheduling: Cell::new(Scheduling::new(started)),
            releases: RefCell::new(Releases::new(lifecycle.most_sessions())),
            lifecycle: RefCell::new(lifecycle),
            clock,
            name: boot.name.clone(),
            zones: info.zones.clone(),
            kinds: info.flavors.clone(),
            hosts: Hosts::new(limits, seed),
            clients: RefCell::default(),
            admission: RefCell::new(Admission::new(descriptors.viewers)),
            most_refusing: descriptors.spare.max(1),
            refusing: Cell::default(),
            next_conn: Cell::default(),
            buffer: RefCell::new(vec![0; buffered_stream::CHUNK]),
            follow: RefCell::new(Follow::new(0)),
            journal: Cell::new(boot.journal),
            moved: Notify::default(),
            caught_up: Cell::default(),
            shutting_down: Cell::default(),
            closing: Cell::default(),
            timetable: Timetable::new(boot.longest_deadline()),
            stop_accepting: Notify::default(),
            timer: Notify::default(),
            inputs: RefCell::default(),
            attempts: RefCell::default(),
            feeding: Cell::default(),
            unreadable: Cell::default(),
            turned_away: Cell::default(),
            undelivered: Cell::default(),
            spared: Cell::default(),
            warned: Cell::default(),
            longest_turns: LongestTurns::default(),
        }))
    }

    pub fn now(&self) -> Micros {
        self.clock.now()
    }

    /// Logs a warning unless one was logged within the last second.
    pub fn warn_seldom(&self, what: &str) {
        let now = self.now();
        if now - self.warned.get() >= 1_000_000 {
            self.warned.set(now);
            tracing::warn!("{what}");
        }
    }

    /// Tells the session lifecycle what happens and carries out what it says. What happens meanwhile comes right
    /// behind.
    pub fn feed(self: &Rc<Self>, input: Input) {
        self.inputs.borrow_mut().push_back(input);
        if !self.feeding.get() {
            self.drain();
        }
    }

    /// Takes all that `say` tells as one: nothing is carried out before the last of it is told.
    pub fn batch<T>(self: &Rc<Self>, say: impl FnOnce() -> T) -> T {
        let within = self.feeding.replace(true);
        let said = say();
        self.feeding.set(within);
        if !within {
            self.drain();
        }
        said
    }

    fn drain(self: &Rc<Self>) {
        self.feeding.set(true);
        let before = self.lifecycle.borrow().next_timer();
        let mut out = Vec::new();
        loop {
            let input = self.inputs.borrow_mut().pop_front();
            if let Some(input) = input {
                self.process(input, &mut out);
                continue;
            }
            let Some(mut one) = self.attempts.borrow_mut().pop_front() else { break };
            if self.poll_before_write(&mut one) {
                self.attempts.borrow_mut().push_front(one);
            } else {
                self.host_set_up(one);
            }
        }
        self.feeding.set(false);
        if self.lifecycle.borrow().next_timer() != before {
            self.timer.notify_one();
        }
    }

    fn process(self: &Rc<Self>, input: Input, out: &mut Vec<Output>) {
        let asked = match &input {
            Input::SetUp { conn, .. } => Some(*conn),
            Input::Release { session, .. } | Input::Answer { session, .. } => {
                self.lifecycle.borrow().asked_on(*session)
            }
            _ => None,
        };
        if let (Input::Answer { .. }, Some(conn)) = (&input, asked) {
            // What its viewer said before it is answered goes first: it may have given up, or be gone.
            let behind = std::mem::take(&mut *self.inputs.borrow_mut());
            self.poll_client(conn);
            loop {
                let before = self.inputs.borrow_mut().pop_front();
                let Some(before) = before else { break };
                self.process(before, out);
            }
            self.inputs.borrow_mut().extend(behind);
        }
        let input = self.with_known_end(input);
        event_log::input(&self.lifecycle.borrow(), self.now(), &input);
        self.lifecycle.borrow_mut().handle(self.now(), input, out);
        let said = std::mem::take(out);
        said.into_iter().for_each(|output| self.carry_out(output));
        if let Some(conn) = asked {
            self.opened(conn);
        }
    }

    /// Tells with an answer that its host has ended the session since, where that was read behind it: it would
    /// promise what is over. It is told at once: an end may be on its way at any time, and the less time passes, the
    /// fewer are.
    fn with_known_end(&self, input: Input) -> Input {
        let Input::Answer { server, session, attempt, description, ended: None } = input else {
            return input;
        };
        let cause_of_end = |input: &Input| match input {
            Input::Released { server: at, session: of, cause, .. } if *at == server && *of == session => {
                Some(*cause)
            }
            _ => None,
        };
        let mut inputs = self.inputs.borrow_mut();
        let ended = inputs.iter().find_map(cause_of_end);
        inputs.retain(|input| cause_of_end(input).is_none());
        Input::Answer { server, session, attempt, description, ended }
    }

    /// The number of set-ups that are open on a connection has changed.
    fn opened(&self, conn: Conn) {
        let open = self.lifecycle.borrow().open_on(conn);
        self.admission.borrow_mut().set_open(self.now(), conn, open);
    }

    /// Sends a final answer on the connection of its set-up. One that goes down with its connection is counted and
    /// told; `false` then.
    fn answer(&self, conn: Conn, session: u64, bytes: &[u8]) -> bool {
        let said = self.clients.borrow().get(&conn).is_some_and(|client| {
            let went_on = client.stream.goes_on();
            client.stream.send(bytes);
            went_on && client.stream.goes_on()
        });
        if !said {
            self.undelivered.set(self.undelivered.get() + 1);
            self.warn_seldom(&format!("the answer to {session:016x} has no connection ({conn}) any more"));
        }
        self.opened(conn);
        said
    }

    /// Remembers an answer for as long as it may cross the end of its connection.
    fn answered_on(&self, conn: Conn, session: u64) {
        if let Some(client) = self.clients.borrow().get(&conn) {
            client.answers.borrow_mut().push(self.now(), session);
        }
    }

    /// Sends a description to its viewer. A session whose viewer cannot be told is released at its host.
    fn deliver_answer(self: &Rc<Self>, conn: Conn, session: u64, description: &[u8]) {
        let mut text = Vec::new();
        let release = Input::Release { conn, session, cause: cause::ENDED_BY_VIEWER };
        if let Err(why) = viewer::answer(&mut text, session, description) {
            // A host's description that a viewers' message cannot hold: the session is of no use.
            self.warn_seldom(&format!("an answer cannot be passed on: {why}"));
            viewer::release(&mut text, session, cause::FAILED, None);
            self.feed(release.clone());
        }
        if let Some(client) = self.clients.borrow().get(&conn) {
            self.raise_trust(client, Trust::Served);
        }
        if self.answer(conn, session, &text) {
            self.answered_on(conn, session);
        } else {
            self.feed(release);
        }
        self.send_releases();
    }

    /// Carries out what the session lifecycle asks for.
    fn carry_out(self: &Rc<Self>, output: Output) {
        let mut text = Vec::new();
        tracing::trace!(?output, "output");
        event_log::output(&self.lifecycle.borrow(), &output);
        match output {
            Output::Answer { conn, session, description } => self.deliver_answer(conn, session, &description),
            Output::Rejected { conn, session, cause, retry_after } => {
                let away = retry_after.filter(|at| *at > 0).map(|at| (at / 1_000) as u64);
                viewer::release(&mut text, session, cause, away);
                self.answer(conn, session, &text);
            }
            Output::SessionEnded { conn, session, cause } => {
                self.releases.borrow_mut().add(self.now(), session, cause);
                if let Some(client) = self.client_for(conn) {
                    self.send_release(&client, session, cause);
                }
            }
            Output::SetUp { server, session, attempt, class, title, patience, rung, description } => {
                let patience_ms = (patience.max(0) / 1_000) as u64;
                let (class, title, description) = (class.as_str(), title.as_str(), &description[..]);
                let set_up = rtsp::SetUp { session, class, title, patience_ms, rung, description };
                let attempt = Attempt::new(server, attempt, &set_up);
                self.attempts.borrow_mut().push_back(attempt);
            }
            Output::Withdraw { server, session, attempt } => self.host_withdraw(&server, session, attempt),
            Output::Release { server, session, cause } => {
                let bytes = rtsp::teardown(session, Some(cause));
                self.host_send(server, HostMessage { ends: Some(session), bytes });
            }
            Output::Rung { server, session, rung } => {
                self.host_send(server, HostMessage { ends: None, bytes: rtsp::rung(session, rung) });
            }
            Output::Probe { server } => self.host_probe(server),
            Output::Test { server } => self.host_test(&server),
            Output::Open { server } => self.host_open(server),
            Output::Forget { server, before } => self.host_forget(&server, before),
            Output::Fetch => {
                if self.caught_up.get() {
                    self.feed(Input::CaughtUp);
                }
            }
        }
    }

    fn send_release(&self, client: &Client, session: u64, cause: u8) {
        let mut text = Vec::new();
        viewer::release(&mut text, session, cause, None);
        tracing::trace!(session, on = client.conn, "release sent");
        client.stream.send(&text);
        self.releases.borrow_mut().sent(self.now(), session, client.carrier());
    }

    /// Sends what waited for a viewers' connection, on each as much as it takes at once: what is more would end it.
    pub fn send_releases(&self) {
        loop {
            let next = self.releases.borrow_mut().next(self.now());
            let Some((session, cause)) = next else { return };
            let Some(client) = self.client_for(None) else { return };
            self.send_release(&client, session, cause);
        }
    }

    /// Looks after connections: the overdue are closed, the spare ones to hosts too.
    pub async fn run_chores(self: Rc<Self>) {
        let mut rounds = 0_u64;
        loop {
            tokio::time::sleep(CHORES).await;
            self.close_overdue(false);
            self.end_done();
            self.send_releases();
            self.send_all_pending();
            rounds += 1;
            if rounds.is_multiple_of(5) {
                self.host_tidy();
            }
            if rounds.is_multiple_of(25) {
                self.connect_for_pending();
            }
            if rounds.is_multiple_of(50) {
                self.log_state();
            }
        }
    }

    /// Logs how many sessions and connections there are, and the counts since the start.
    pub fn log_state(&self) {
        let (lifecycle, releases) = (self.lifecycle.borrow(), self.releases.borrow());
        tracing::info!(
            held = lifecycle.held(),
            session_bytes = lifecycle.session_bytes(),
            timers = lifecycle.timer_count(),
            clients = self.admission.borrow().held(),
            host_connections = self.hosts.connection_count(),
            unreadable = self.unreadable.get(),
            unreadable_from_hosts = self.hosts.unreadable.get(),
            held_answers = self.hosts.held_answers.get(),
            cut_answers = self.hosts.cut_answers.get(),
            turned_away = self.turned_away.get(),
            spared = self.spared.get(),
            undelivered = self.undelivered.get(),
            unconfirmed = releases.len(),
            resent = releases.resent,
            dropped = releases.dropped,
            known_servers = lifecycle.known_servers(),
            inconsistencies = (lifecycle.held() <= MOST_CHECKED).then(|| lifecycle.inconsistencies()),
            longest_turns_us = ?self.longest_turns.take(),
            counts = ?lifecycle.counts,
            "state"
        );
    }
}

impl Connections for Node {
    fn quiet(&self, conn: Conn) -> bool {
        Node::quiet(self, conn)
    }

    fn has_sessions_on(&self, conn: Conn) -> bool {
        self.lifecycle.borrow().has_sessions_on(conn)
    }
}

/// Sessions whose tables are checked while the state is logged: a pass over more would hold others up.
const MOST_CHECKED: usize = 2_000;

const CHORES: Duration = Duration::from_millis(200);
