//! All decisions of elderpick. The interface is `api.rs`; this file holds the state and hands each event on.
//!
//! The ordinary path: draw a few holders of the title at random, take the least loaded by what servers
//! report and what this gateway has set up since, admit at the highest rung that fits the room, set it
//! once, or refuse at once. All else here is an exception to that or a guard that the rules need;
//! `docs/design.md` lists them.

mod attempts;
mod capacity;
mod cold_start;
mod delivery;
mod fleet;
mod health;
mod holders;
mod lifecycle;
mod load;
mod occupancy;
mod placement;
mod probe_budget;
mod refusal;
mod rung;
mod state;

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::hash::{BuildHasherDefault, DefaultHasher};

use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{RngCore, SeedableRng};

use self::capacity::{Capacity, Rack};
use self::holders::ServerList;
use self::occupancy::Occupancy;
use self::probe_budget::ProbeBudget;
use self::state::{Server, Session, Wish};
use crate::api::*;

/// Holders drawn for a session; where few of these have told their load of late, of others who have, so many
/// that this many are known.
const CANDIDATES: usize = 3;
/// Own sessions that the price is worked out on, at least.
const LEAST_PRICED: usize = 16;
/// Under this share of their rates, sessions count as short.
const SHORT: f64 = 0.97;
/// A share that fell short is taken to last this long without further word.
const SHORT_LASTS: Micros = 2_500_000;
/// Less time than this is too little for an attempt, or less than this part of the time that its class wants
/// to play within, where that is shorter.
const SHORTEST_ATTEMPT: Micros = 60_000;
const SHORTEST_PART_OF_AIM: Micros = 4;
/// Token of the alarm after which the list is asked for; requests have the others.
const LIST_TOKEN: u64 = 0;
/// Token of the alarm at which servers of sessions handed over are asked for their load.
const LOAD_PROBE_TOKEN: u64 = 1;

/// A table by server. Its hashes are the same in each process, so that decisions are.
type ById<T> = HashMap<ServerId, T, BuildHasherDefault<DefaultHasher>>;

/// The decisions of one gateway. Given the same seed, settings and events, it returns the same actions.
pub struct Controller {
    settings: Settings,
    rng: ChaCha8Rng,
    now: Micros,
    begun: Option<Micros>,
    /// The list may be older than this gateway's start.
    list_may_be_old: bool,
    /// Sessions were handed over at the start; without them this gateway fills up first.
    has_handed_over: bool,
    /// Reports tell what is asked of uplinks.
    uplinks_reported: bool,
    servers: ById<Server>,
    racks: BTreeMap<usize, Rack>,
    /// Servers that may be sent to, as the list tells; the same by the cell whose titles they hold; and
    /// which of these may be cold.
    up: ServerList,
    up_by_cell: BTreeMap<usize, ServerList>,
    cold_by_cell: BTreeMap<usize, BTreeSet<ServerId>>,
    /// Servers that have left the list, and when.
    gone: VecDeque<(Micros, ServerId)>,
    /// Servers that failed or did not answer, and have not answered since.
    failing_servers: BTreeSet<ServerId>,
    capacity: Capacity,
    /// The last reports: when, of which server, what others asked of it over its size, and what own sessions
    /// asked of all servers then.
    reports: VecDeque<(Micros, ServerId, f64, f64)>,
    sessions: BTreeMap<RequestId, Session>,
    occupancy: Occupancy,
    /// The last sessions that ended, and the mean length of those that began here.
    recently_ended: VecDeque<Wish>,
    mean_length: Option<f64>,
    alarms: BTreeMap<u64, RequestId>,
    /// Load probes that may be sent.
    load_probes: Option<ProbeBudget>,
    /// Probes that may be sent to servers that did not answer.
    reach_probes: Option<ProbeBudget>,
    /// Probes that requests have earned, for servers that they would use if these answered.
    wanted_probes: f64,
    /// How often servers of sessions handed over were to be asked for their load.
    load_probe_alarms: usize,
    next_token: u64,
    /// Requests taken and further attempts made within the budget's window.
    request_times: VecDeque<Micros>,
    retry_times: VecDeque<Micros>,
    /// Sessions that the last event left without an attempt.
    refusals: Vec<(RequestId, RefusalReason)>,
    out: Vec<Action>,
}

impl Controller {
    /// A gateway that has been told nothing yet.
    pub fn new(seed: u64, settings: Settings) -> Self {
        Controller {
            settings,
            rng: ChaCha8Rng::seed_from_u64(seed),
            now: 0,
            begun: None,
            list_may_be_old: true,
            has_handed_over: false,
            uplinks_reported: false,
            servers: ById::default(),
            racks: BTreeMap::new(),
            up: ServerList::default(),
            up_by_cell: BTreeMap::new(),
            cold_by_cell: BTreeMap::new(),
            gone: VecDeque::new(),
            failing_servers: BTreeSet::new(),
            capacity: Capacity::default(),
            reports: VecDeque::new(),
            sessions: BTreeMap::new(),
            occupancy: Occupancy::default(),
            recently_ended: VecDeque::new(),
            mean_length: None,
            alarms: BTreeMap::new(),
            load_probes: None,
            reach_probes: None,
            wanted_probes: 0.0,
            load_probe_alarms: 0,
            next_token: LOAD_PROBE_TOKEN + 1,
            request_times: VecDeque::new(),
            retry_times: VecDeque::new(),
            refusals: Vec::new(),
            out: Vec::new(),
        }
    }

    /// Takes one event at the time `now` and appends the actions that answer it.
    pub fn handle(&mut self, now: Micros, event: Event, actions: &mut Vec<Action>) {
        self.now = now;
        self.refusals.clear();
        if self.begun.is_none() {
            self.begun = Some(now);
            if self.settings.subscribe {
                self.out.push(Action::Subscribe);
            }
        }
        match event {
            Event::List { kind, entries } => self.on_list(kind, entries),
            Event::Request { id, viewing } => self.on_request(id, viewing),
            Event::Open { id, viewing, server } => self.on_handover(id, viewing, server),
            Event::Playing { id, attempt } | Event::Outcome { id, attempt, .. }
                if !self.is_last_attempt(id, attempt) => {}
            Event::Playing { id, .. } => self.on_playing(id),
            Event::Outcome { id, status, closed, report, .. } => self.on_outcome(id, status, closed, report),
            Event::Noted { id, server, note } => self.on_note(id, server, note),
            Event::Probed { server, status: Status::Ok, report } => self.on_probe_answer(&server, report),
            Event::Probed { server, status, .. } => self.record_status(&server, status),
            Event::Gone { id } => self.on_viewer_left(id),
            Event::Alarm { token } => self.on_alarm(token),
        }
        actions.append(&mut self.out);
    }

    fn unit(&mut self) -> f64 {
        random_unit(&mut self.rng)
    }

    fn below(&mut self, end: usize) -> usize {
        random_below(&mut self.rng, end)
    }
}

/// A random number from 0 to below 1.
fn random_unit(rng: &mut ChaCha8Rng) -> f64 {
    (rng.next_u64() >> 11) as f64 / (1u64 << 53) as f64
}

/// A random number from 0 to below `end`, or 0.
fn random_below(rng: &mut ChaCha8Rng, end: usize) -> usize {
    (rng.next_u64() % end.max(1) as u64) as usize
}
