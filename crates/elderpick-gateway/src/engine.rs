//! The life of sessions, without sockets and without a clock.
//!
//! kind: decisions
//!
//! The engine stands between the decision core and the sockets. It tells the core what happens and turns what the core
//! decides into work for the runtime: it keeps which request waits for which session, when an attempt has run out of
//! time, when a viewer counts as gone, and what must be released at a host before the core may count a seat as free.
//! Everything enters by [`Engine::handle`] with the time and leaves as [`Output`]s.

mod attempts;
mod events;
mod hosts;
mod releases;
mod requests;
mod session;

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};

use elderpick_core::Controller;
use elderpick_core::api::{
    Action, Event, ListKind, Micros, Report, RequestId, ServerId, ServerState, Status,
};
use elderpick_entitle::registry::SeatId;

pub use self::events::{
    Answer, Ask, Counts, Input, Output, Payer, Said, Seated, SetUp, Token, Use, Via, Viewer, Wanted, Word,
};
use self::session::{Session, State};
use crate::config::{Config, Listed};
use crate::membership::Membership;

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

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
enum Timer {
    /// An attempt has run out of time. Comes before the core's alarms of the same moment.
    Attempt(RequestId, usize),
    Silence(RequestId),
    Core(u64),
}

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
}
