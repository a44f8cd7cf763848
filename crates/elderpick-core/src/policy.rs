//! All decisions of elderpick, in the order in which a session meets them. The interface is `api.rs`.
//!
//! The ordinary path: draw a few holders of the title at random, take the least loaded by what servers
//! report and what this gateway has set up since, admit at the highest rung that fits the room, set it
//! once, or refuse at once. All else here is an exception to that or a guard that the rules need;
//! `docs/design.md` lists them.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{RngCore, SeedableRng};

use crate::api::*;

/// Holders drawn for a session; where few of these have told their load of late, of others who have, so many
/// that this many are known.
const DRAW: usize = 3;
/// Part of a link that is left for the spread of true rates.
const MARGIN: f64 = 0.1;
/// Part of the fleet that a fair rung plans to use.
const PLANNED: f64 = 0.8;
/// Spread of the price between sessions, so that a class does not change its rung all at once.
const PRICE_SPREAD: f64 = 0.25;
/// Own sessions that the price is worked out on, at least and at most.
const SAMPLE: usize = 16;
const MOST_PRICED: usize = 96;
/// Last reports that the fleet's load is worked out on.
const REPORTS: usize = 32;
/// What an own session tells of the fleet's load, where a report tells 1 and there is but this gateway; and
/// what all of them tell at most: viewers are spread unevenly, which no number of own sessions shows.
const OWN_TELLS: f64 = 0.3;
const MOST_OWN_TELL: f64 = 6.0;
/// What grows by chance alone, in sessions at the middle rate: own growth is damped by so many.
const BY_CHANCE: f64 = 2.0;
/// A report of less than this part of what own sessions ask is older than they are.
const BELIEVED: f64 = 0.5;
/// A report tells half of what it told after this time, or after this part of a session's usual length.
const REPORT_HALF_LIFE: f64 = 12e6;
const REPORT_PART: f64 = 0.4;
/// Reports are noisy: only what is asked beyond this, over what is given, counts by itself.
const OVERASKED: f64 = 1.2;
/// Under this share of their rates, sessions count as short.
const SHORT: f64 = 0.97;
/// A share that fell short is taken to last this long without further word.
const SHORT_LASTS: Micros = 2_500_000;
/// After a short share, own sessions are cut to this part of what was delivered.
const CUT_TO: f64 = 0.9;
/// A share that falls by as much after a cut goes on falling.
const FALLS: f64 = 0.03;
/// Time for a cut to show in the smoothed share, beside the time that the share takes to arrive.
const CUT_SHOWS: Micros = 1_500_000;
/// First back-off from a server that failed; it doubles with each further failure.
const BACK_OFF: Micros = 4_000_000;
const BACK_OFF_DOUBLINGS: u32 = 3;
/// Back-off from a server that cannot be reached, which the list will name soon.
const UNREACHED: Micros = 1_000_000;
/// Less time than this is too little for an attempt.
const LEAST_ATTEMPT: Micros = 60_000;
/// Loads differ by as much before another zone is preferred.
const ZONE_BIAS: f64 = 0.05;
/// Token of the alarm after which the list is asked for; requests have the others.
const LIST_TOKEN: u64 = 0;
const LIST_AGAIN: Micros = 1_000_000;
/// Token of the alarm at which servers of sessions handed over are asked for their load, and the time within
/// which servers measure it; and how often they are asked at most.
const ASK_TOKEN: u64 = 1;
const MOST_ASKED: usize = 4;
const MEASURED: Micros = 1_000_000;

/// What was last heard of the load of a link or uplink.
#[derive(Clone, Copy)]
struct Heard {
    at: Micros,
    /// What was asked over what it gives.
    asked: f64,
    /// Rates of this gateway's own sessions there at the time.
    own: f64,
}

struct Server {
    entry: Entry,
    /// What its link gives, in kB a second, as far as the list tells.
    link: f64,
    /// Its part of what its rack's links and uplink give together.
    size: f64,
    /// Own sessions there: playing, or with an attempt out.
    sessions: BTreeSet<RequestId>,
    heard: Option<Heard>,
    /// Delivered share, and when it was heard.
    share: Option<(f64, Micros)>,
    /// When own sessions there were last cut, and for which share.
    cut: (Micros, f64),
    strikes: u32,
    avoid_until: Micros,
    /// Did not answer, and no probe has reached it since.
    mute: bool,
    /// Seen to die, and not yet to answer again.
    lost: bool,
    /// First answer after it was seen to die.
    back: Option<Micros>,
    /// Set-ups given while it was cold: the turn, and how many in it.
    given: (Micros, usize),
}

impl Server {
    fn new(entry: Entry) -> Self {
        Server {
            entry,
            link: 0.0,
            size: 0.0,
            sessions: BTreeSet::new(),
            heard: None,
            share: None,
            cut: (Micros::MIN / 2, 1.0),
            strikes: 0,
            avoid_until: 0,
            mute: false,
            lost: false,
            back: None,
            given: (0, 0),
        }
    }
}

/// Servers behind one uplink.
#[derive(Default)]
struct Rack {
    servers: Vec<ServerId>,
    /// What the uplink gives: as told, else what the links behind it do.
    uplink: f64,
    /// By a report, or by delivered shares that fell short.
    heard: Option<Heard>,
}

/// What a fair rung depends on.
#[derive(Clone, Copy)]
struct Wish {
    class: usize,
    top: usize,
    /// This session's own view of the price.
    spread: f64,
    rung: usize,
}

struct Session {
    wish: Wish,
    viewing: Viewing,
    deadline: Micros,
    aim_at: Micros,
    /// Where each attempt went.
    tried: Vec<ServerId>,
    /// Attempts that may have run: where, and when they were sent.
    ran: Vec<(ServerId, Micros)>,
    /// Where its attempt is out or it plays.
    server: Option<ServerId>,
    sent_at: Micros,
    playing: bool,
    /// Answered or given up by the viewer while an attempt is out.
    closed: bool,
    /// Handed over at the start, and its rung not yet this gateway's decision.
    unsettled: bool,
}

/// Capacity of a link or uplink and what is asked of it, in kB a second.
#[derive(Clone, Copy)]
struct Load {
    link: f64,
    asked: f64,
}

impl Load {
    fn room(self) -> f64 {
        self.link * (1.0 - MARGIN) - self.asked
    }

    fn share(self) -> f64 {
        if self.link > 0.0 { self.asked / self.link } else { f64::INFINITY }
    }
}

pub struct Controller {
    set: Settings,
    rng: ChaCha8Rng,
    now: Micros,
    begun: Option<Micros>,
    /// The list may be older than this gateway's start.
    blind: bool,
    /// Sessions were handed over at the start; without them this gateway fills up first.
    took_over: bool,
    /// Reports tell what is asked of uplinks.
    uplinks_told: bool,
    servers: BTreeMap<ServerId, Server>,
    racks: BTreeMap<usize, Rack>,
    /// Servers that may be sent to, as the list tells, in an order that the draws shuffle.
    up: Vec<ServerId>,
    /// Servers that failed or did not answer, and have not answered since.
    struck: BTreeSet<ServerId>,
    /// The largest size of a server, and the sum of all, in kB a second.
    largest: f64,
    capacity: f64,
    /// The last reports: when, of which server, what others asked of it over its size, and what own sessions
    /// asked of all servers then.
    reports: VecDeque<(Micros, ServerId, f64, f64)>,
    sessions: BTreeMap<RequestId, Session>,
    /// The last sessions that ended, and how long those lasted that began here, in the mean.
    ended: VecDeque<Wish>,
    lasted: Option<f64>,
    alarms: BTreeMap<u64, RequestId>,
    /// How often servers of sessions handed over were to be asked for their load.
    asked_loads: usize,
    next_token: u64,
    /// Requests taken and further attempts made within the budget's window.
    taken: Vec<Micros>,
    extras: Vec<Micros>,
    out: Vec<Action>,
}

impl Controller {
    pub fn new(seed: u64, set: Settings) -> Self {
        Controller {
            set,
            rng: ChaCha8Rng::seed_from_u64(seed),
            now: 0,
            begun: None,
            blind: true,
            took_over: false,
            uplinks_told: false,
            servers: BTreeMap::new(),
            racks: BTreeMap::new(),
            up: Vec::new(),
            struck: BTreeSet::new(),
            largest: 0.0,
            capacity: 0.0,
            reports: VecDeque::new(),
            sessions: BTreeMap::new(),
            ended: VecDeque::new(),
            lasted: None,
            alarms: BTreeMap::new(),
            asked_loads: 0,
            next_token: ASK_TOKEN + 1,
            taken: Vec::new(),
            extras: Vec::new(),
            out: Vec::new(),
        }
    }

    /// Takes one event at the time `now` and appends the actions that answer it.
    pub fn handle(&mut self, now: Micros, event: Event, actions: &mut Vec<Action>) {
        self.now = now;
        if self.begun.is_none() {
            self.begun = Some(now);
            if self.set.subscribe {
                self.out.push(Action::Subscribe);
            }
        }
        match event {
            Event::List { kind, entries } => self.list(kind, entries),
            Event::Request { id, viewing } => self.request(id, viewing),
            Event::Open { id, viewing, server } => self.open(id, viewing, server),
            Event::Playing { id, attempt } => self.playing(id, attempt),
            Event::Outcome { id, attempt, status, closed, report } => {
                self.outcome(id, attempt, status, closed, report);
            }
            Event::Noted { id, server, note } => self.noted(id, server, note),
            Event::Probed { server, status, report } => {
                if status == Status::Ok {
                    self.reached(&server);
                    self.hear(&server, report.link, report.uplink);
                    if self.servers.contains_key(&server) && self.is_known(&server) {
                        self.settle(&server);
                    }
                } else {
                    self.weigh_evidence(&server, status);
                }
            }
            Event::Gone { id } => self.gone(id),
            Event::Alarm { token } => self.alarm(token),
        }
        actions.append(&mut self.out);
    }

    // ---- Fleet view: the list of servers ----

    fn list(&mut self, kind: ListKind, entries: Vec<Entry>) {
        match kind {
            ListKind::Failed => {
                let at = self.now + LIST_AGAIN;
                self.out.push(Action::Alarm { token: LIST_TOKEN, at });
                return;
            }
            // A gateway that restarts holds an old list: unless sessions are handed over to it now, it asks
            // for the list at once, so that servers need not pass for cold until something changes.
            ListKind::Restored if !self.set.subscribe => {
                self.out.push(Action::Alarm { token: LIST_TOKEN, at: self.now });
            }
            _ => {}
        }
        if matches!(kind, ListKind::Full | ListKind::Restored) {
            self.servers.values_mut().for_each(|s| s.entry.state = ServerState::Gone);
        }
        self.blind &= kind == ListKind::Restored;
        for entry in entries {
            match self.servers.get_mut(&entry.server) {
                Some(old) if entry.started > old.entry.started => {
                    // A new process: what was known of the old one tells nothing of it.
                    let (sessions, given, back) = (std::mem::take(&mut old.sessions), old.given, old.back);
                    self.struck.remove(&entry.server);
                    *old = Server { sessions, given, back, ..Server::new(entry) };
                }
                Some(server) => server.entry = entry,
                None => {
                    self.servers.insert(entry.server.clone(), Server::new(entry));
                }
            }
        }
        self.measure_fleet();
    }

    /// Sums over the whole list, made anew only when it changes.
    fn measure_fleet(&mut self) {
        let usual = self.set.links_kb.filter(|&kb| kb > 0.0).map(|kb| kb / self.servers.len().max(1) as f64);
        self.racks.values_mut().for_each(|rack| rack.servers.clear());
        self.up.clear();
        for server in self.servers.values_mut() {
            let weight = if self.set.weights { server.entry.weight.max(0.0) } else { 1.0 };
            server.link = match self.set.kb_per_weight {
                Some(kb) if kb > 0.0 => kb * weight,
                _ => usual.unwrap_or(f64::MAX / 1e9),
            };
        }
        for (id, server) in &self.servers {
            let rack = self.rack_of(server);
            let rack = self.racks.entry(rack).or_default();
            if server.entry.state != ServerState::Gone {
                rack.servers.push(id.clone());
            }
            if server.entry.state == ServerState::Up {
                self.up.push(id.clone());
            }
        }
        (self.largest, self.capacity) = (0.0, 0.0);
        for rack in self.racks.values_mut() {
            let links: f64 = rack.servers.iter().map(|id| self.servers[id].link).sum();
            rack.uplink = self.set.rack_kb.filter(|&kb| kb > 0.0).unwrap_or(links);
            for id in &rack.servers {
                let server = self.servers.get_mut(id).expect("racks hold listed servers");
                server.size = server.link * (rack.uplink / links.max(1e-9)).min(1.0);
                if server.entry.state == ServerState::Up {
                    self.largest = self.largest.max(server.size);
                    self.capacity += server.size;
                }
            }
        }
    }

    fn rack_of(&self, server: &Server) -> usize {
        server.entry.cell % self.set.racks.unwrap_or(1).max(1)
    }

    // ---- A session arrives ----

    fn request(&mut self, id: RequestId, viewing: Viewing) {
        self.taken.push(self.now);
        let since = self.now - self.set.budget.map_or(0, |budget| budget.window);
        self.taken.retain(|&at| at >= since);
        self.extras.retain(|&at| at >= since);
        self.probe_mute();
        self.probe_unknown();
        let Some(class) = self.set.classes.get(viewing.class) else {
            return self.out.push(Action::Fail { id });
        };
        let left = viewing.left.max(0);
        let aim_at = self.now + class.aim.min(left);
        let session = Session { deadline: self.now + left, aim_at, ..self.new_session(viewing) };
        let deadline = session.deadline;
        self.sessions.insert(id, session);
        self.alarms.insert(self.next_token, id);
        self.out.push(Action::Alarm { token: self.next_token, at: deadline });
        self.next_token += 1;
        self.place(id);
    }

    /// A session handed over at the start. It shows that this is no blind restart: the list is of now. Its
    /// server is asked for its load, so that the rung can be settled and the fleet's load is known.
    fn open(&mut self, id: RequestId, viewing: Viewing, server: ServerId) {
        (self.blind, self.took_over) = (false, true);
        if self.set.classes.get(viewing.class).is_none() {
            return;
        }
        if self.asked_loads == 0 {
            self.ask_later();
        }
        let session = Session {
            tried: vec![server.clone()],
            playing: true,
            unsettled: true,
            ..self.new_session(viewing)
        };
        self.sessions.insert(id, session);
        self.occupy(id, server);
    }

    /// Servers measure their load now and then, and right after a start some have not yet: they are asked a
    /// little later, and each gateway at a time of its own, so that not all answer one load at once.
    fn ask_later(&mut self) {
        if self.may_probe_loads() && self.asked_loads < MOST_ASKED {
            self.asked_loads += 1;
            let at = self.now + MEASURED + (self.unit() * MEASURED as f64) as Micros;
            self.out.push(Action::Alarm { token: ASK_TOKEN, at });
        }
    }

    /// Asks the servers of sessions that were handed over for the load that they have not told.
    fn ask_loads(&mut self) {
        let held = self.sessions.values().filter(|s| s.unsettled).filter_map(|s| s.server.as_ref());
        let untold = |id: &&ServerId| self.servers.get(*id).is_some_and(|server| server.heard.is_none());
        let servers: BTreeSet<_> = held.filter(untold).cloned().collect();
        if !servers.is_empty() {
            self.ask_later();
        }
        self.out.extend(servers.into_iter().map(|server| Action::Probe { server }));
    }

    fn new_session(&mut self, viewing: Viewing) -> Session {
        let spread = 1.0 + PRICE_SPREAD * (2.0 * self.unit() - 1.0);
        let class = &self.set.classes[viewing.class];
        let top = class.top.min(viewing.top).min(self.set.rung_kb.len().saturating_sub(1));
        Session {
            wish: Wish { class: viewing.class, top, spread, rung: class.floor },
            viewing,
            deadline: Micros::MAX,
            aim_at: Micros::MAX,
            tried: Vec::new(),
            ran: Vec::new(),
            server: None,
            sent_at: self.now,
            playing: false,
            closed: false,
            unsettled: false,
        }
    }

    /// Draws holders, picks the least loaded, sets the rung and sends; or gives up at once.
    fn place(&mut self, id: RequestId) {
        let session = &self.sessions[&id];
        let left = session.deadline - self.now;
        if left < LEAST_ATTEMPT || !self.seat_free(session) || !self.may_attempt(session) {
            return self.give_up(id);
        }
        let others = self.asked_by_others();
        let zone = self.set.zone;
        let weighed = self.draw(id).into_iter().map(|server| {
            let to = &self.servers[&server];
            let (link, uplink) = (self.link_load(to, others), self.uplink_load(self.rack_of(to), others));
            let away = if to.entry.zone != zone { ZONE_BIAS } else { 0.0 };
            (server, link.share().max(uplink.share()) + away, link.room().min(uplink.room()))
        });
        let Some((server, _, room)) = weighed.min_by(|a, b| a.1.total_cmp(&b.1)) else {
            return self.give_up(id);
        };
        let wish = self.sessions[&id].wish;
        let floor = self.set.classes[wish.class].floor;
        let fair = self.fair_rung(&wish, self.price(others));
        match (floor..=fair).rev().find(|&rung| self.rate(&wish, rung) <= room) {
            Some(rung) => self.send(id, server, rung),
            None => self.give_up(id),
        }
    }

    // ---- Load and room ----

    fn rate(&self, wish: &Wish, rung: usize) -> f64 {
        self.set.rung_kb.get(rung).copied().unwrap_or(0.0) * self.set.classes[wish.class].scale
    }

    fn asks(&self, wish: &Wish) -> f64 {
        self.rate(wish, wish.rung)
    }

    fn worth(&self, wish: &Wish, rung: usize) -> f64 {
        self.set.rung_worth.get(rung).copied().unwrap_or(0.0) * self.set.classes[wish.class].worth
    }

    fn freshness(&self, at: Micros) -> f64 {
        let half_life =
            self.lasted.map_or(REPORT_HALF_LIFE, |lasted| REPORT_HALF_LIFE.min(REPORT_PART * lasted));
        (-((self.now - at) as f64) / half_life).exp2()
    }

    /// Rates of own sessions on a server.
    fn own_on(&self, server: &Server) -> f64 {
        server.sessions.iter().map(|id| self.asks(&self.sessions[id].wish)).sum()
    }

    fn own_behind(&self, rack: usize) -> f64 {
        self.racks[&rack].servers.iter().map(|id| self.own_on(&self.servers[id])).sum()
    }

    /// What the other gateways ask of an average server, as a share of its size. A gateway sees few of the
    /// sessions of a large fleet, so the last reports tell it, and own sessions times the number of gateways
    /// the less the more gateways there are. Crowds come to all: what others ask is taken to have grown since
    /// a report as own sessions have, but not to have fallen, since this gateway cuts its own rungs as well.
    fn asked_by_others(&self) -> f64 {
        let (own, gateways) = (self.own_in_all(), self.set.gateways.saturating_sub(1) as f64);
        let middle = self.set.rung_kb.get(self.set.rung_kb.len() / 2).copied().unwrap_or(0.0);
        let damp = middle * BY_CHANCE + 1.0;
        let usual = self.lasted.unwrap_or(REPORT_HALF_LIFE / REPORT_PART);
        let filling = !self.took_over && self.begun.is_some_and(|at| ((self.now - at) as f64) < usual);
        let mut told = (self.sessions.len() as f64 * OWN_TELLS / (gateways + 1.0)).min(MOST_OWN_TELL);
        let mut asked = told * own * gateways / self.capacity.max(1.0);
        for (at, _, others, then) in &self.reports {
            // While it fills up, own growth up to what each of the others asks is no growth of theirs.
            let each = if filling { others * self.capacity / gateways.max(1.0) } else { 0.0 };
            let grown = ((own.max(each) + damp) / (then.max(each) + damp)).max(1.0);
            let weight = self.freshness(*at);
            asked += weight * others * grown;
            told += weight;
        }
        if told > 0.0 { asked / told } else { 0.0 }
    }

    fn own_in_all(&self) -> f64 {
        self.sessions.values().filter(|s| s.server.is_some()).map(|s| self.asks(&s.wish)).sum()
    }

    /// What is asked of a link, as far as this gateway can tell: its last report as it ages into the average,
    /// and own sessions.
    fn link_load(&self, server: &Server, others: f64) -> Load {
        let (link, average) = (server.link, others * server.size);
        let (told, weight) = server.heard.as_ref().map_or((0.0, 0.0), |heard| {
            ((heard.asked * link - heard.own).max(0.0), self.freshness(heard.at))
        });
        Load { link, asked: weight * told + (1.0 - weight) * average + self.own_on(server) }
    }

    fn uplink_load(&self, rack: usize, others: f64) -> Load {
        let behind = &self.racks[&rack];
        let loads = behind.servers.iter().map(|id| self.link_load(&self.servers[id], others));
        let mut load = Load { link: behind.uplink, asked: loads.map(|load| load.asked).sum() };
        if let Some(heard) = &behind.heard {
            let told = (heard.asked * load.link - heard.own).max(0.0) + self.own_behind(rack);
            let weight = self.freshness(heard.at);
            load.asked = weight * told + (1.0 - weight) * load.asked;
        }
        load
    }

    /// Stores what a report tells of a link and its rack's uplink.
    fn hear(&mut self, id: &ServerId, link: Option<f64>, uplink: Option<f64>) {
        let Some(server) = self.servers.get(id) else { return };
        let rack = self.rack_of(server);
        // Less than own sessions ask was measured before they came.
        let link = link.filter(|asked| asked * server.link >= BELIEVED * self.own_on(server));
        let told = |asked: f64, own| Heard { at: self.now, asked: asked.clamp(0.0, 10.0), own };
        let link = link.filter(|x| x.is_finite()).map(|x| told(x, self.own_on(server)));
        let uplink = uplink.filter(|x| x.is_finite()).map(|x| told(x, self.own_behind(rack)));
        if let Some(heard) = link {
            let others = (heard.asked * server.link - heard.own).max(0.0) / server.size.max(1.0);
            let own = self.own_in_all();
            self.reports.push_back((self.now, id.clone(), others, own));
            self.reports.drain(..self.reports.len().saturating_sub(REPORTS));
            self.servers.get_mut(id).expect("looked up above").heard = link;
        }
        if uplink.is_some() {
            self.uplinks_told = true;
            self.racks.entry(rack).or_default().heard = uplink;
        }
    }

    /// Exception: where nothing reports on uplinks, a share that falls short though the link bears what is
    /// asked of it tells what is asked of the uplink, until a share there is full again. Guards against
    /// uplinks that give less than they should. Harm: a moment's shortness closes the whole rack for a while.
    fn hear_share(&mut self, id: &ServerId, share: f64) {
        let Some(server) = self.servers.get(id).filter(|_| !self.uplinks_told && share > 0.0) else { return };
        let rack = self.rack_of(server);
        let heard = Heard { at: self.now, asked: share.recip().min(10.0), own: self.own_behind(rack) };
        let bears = || self.link_load(server, self.asked_by_others()).share() < heard.asked;
        let short = share < SHORT && self.set.racks.is_some() && bears();
        if let Some(rack) = self.racks.get_mut(&rack).filter(|_| short || share >= SHORT) {
            rack.heard = short.then_some(heard);
        }
    }

    fn may_probe_loads(&self) -> bool {
        self.set.may_probe && self.set.reporting == Reporting::WhenProbed
    }

    /// With each session one server is asked for its load, of a few drawn the first that has not told it of
    /// late: the loads keep in step with the traffic, at the price of one probe a session.
    fn probe_unknown(&mut self) {
        if self.up.is_empty() || !self.may_probe_loads() {
            return;
        }
        let drawn = [(); DRAW].map(|()| self.below(self.up.len())).map(|k| self.up[k].clone());
        let server = drawn.into_iter().find(|id| !self.servers[id].mute && !self.is_known(id));
        self.out.extend(server.map(|server| Action::Probe { server }));
    }

    // ---- Pick and rung ----

    /// Draws usable holders at random, large ones as much more often as they are larger.
    ///
    /// Exception: in a large fleet few of those drawn have told this gateway their load, so that a pick among
    /// them is blind. Then some of the servers that told theirs of late are drawn as well.
    fn draw(&mut self, id: RequestId) -> Vec<ServerId> {
        // Where most servers show the same trouble its cause is shared, and avoiding them helps nobody.
        let failing = self.struck.iter().filter(|id| !self.servers[*id].mute).count();
        let shared = 2 * failing > self.up.len();
        let mut drawn = Vec::new();
        for by_size in [true, false] {
            for k in 0..self.up.len() {
                if drawn.len() >= DRAW {
                    break;
                }
                let other = k + self.below(self.up.len() - k);
                self.up.swap(k, other);
                let (chance, server) = (self.unit(), &self.up[k]);
                let passed = by_size && chance * self.largest > self.servers[server].size;
                if !passed && !drawn.contains(server) && self.usable(id, server, shared) {
                    drawn.push(server.clone());
                }
            }
        }
        // Few of many cold servers have a turn that is this gateway's: one that has joins the draw.
        if self.set.cold.is_some() && !drawn.iter().any(|id| self.is_cold(&self.servers[id])) {
            let (up, from) = (self.up.len(), self.below(self.up.len()));
            let mut others = (0..up).map(|k| &self.up[(from + k) % up]);
            let open = others.find(|s| self.is_cold(&self.servers[*s]) && self.usable(id, s, shared));
            drawn.extend(open.cloned());
        }
        let mut known = drawn.iter().filter(|id| self.is_known(id)).count();
        let mut told: Vec<_> = (0..self.reports.len()).collect();
        while known < DRAW && !told.is_empty() {
            let k = told.swap_remove(self.below(told.len()));
            let server = &self.reports[k].1;
            if !drawn.contains(server) && self.is_known(server) && self.usable(id, server, shared) {
                known += 1;
                drawn.push(server.clone());
            }
        }
        drawn
    }

    fn is_known(&self, id: &ServerId) -> bool {
        self.servers[id].heard.is_some_and(|heard| self.freshness(heard.at) > 0.5)
    }

    fn usable(&self, id: RequestId, server: &ServerId, shared: bool) -> bool {
        let (session, server) = (&self.sessions[&id], &self.servers[server]);
        let cells = self.set.cells.unwrap_or(1).max(1);
        let from_home = (server.entry.cell % cells + cells - session.viewing.home % cells) % cells;
        server.entry.state == ServerState::Up
            && from_home < session.viewing.copies
            && !session.tried.contains(&server.entry.server)
            && self.group_allows(session, server)
            && self.healthy(session, server, shared)
    }

    /// The rung at which a session earns most, when a kB a second costs `price`.
    fn fair_rung(&self, wish: &Wish, price: f64) -> usize {
        let gain = |rung| self.worth(wish, rung) - price * wish.spread * self.rate(wish, rung);
        let floor = self.set.classes[wish.class].floor;
        (floor..=wish.top).max_by(|&a, &b| gain(a).total_cmp(&gain(b))).unwrap_or(wish.top)
    }

    /// Exception: greedy rungs leave no room for the sessions that come during this one's life. The price
    /// of a kB a second is such that all sessions of all gateways, each at its fair rung, fill the planned
    /// part. Own sessions stand for all, where these are few with the last that ended: what they ask now
    /// stands to what they would ask as what all ask now to the planned part.
    fn price(&self, others: f64) -> f64 {
        let held = self.sessions.values().filter(|s| !s.closed).map(|s| s.wish);
        let past = self.ended.iter().rev().copied();
        let sample: Vec<Wish> =
            held.chain(past).take(self.sessions.len().clamp(SAMPLE, MOST_PRICED)).collect();
        let asked: f64 = sample.iter().map(|wish| self.asks(wish)).sum();
        let all = others * self.capacity + self.own_in_all();
        let planned = self.capacity * PLANNED * asked / all.max(1.0);
        let demand =
            |price: f64| sample.iter().map(|wish| self.rate(wish, self.fair_rung(wish, price))).sum::<f64>();
        if demand(0.0) <= planned {
            return 0.0;
        }
        let (mut low, mut high) = (1e-9_f64, 1.0_f64);
        for _ in 0..24 {
            let middle = (low * high).sqrt();
            if demand(middle) > planned { low = middle } else { high = middle }
        }
        high
    }

    // ---- Attempts ----

    /// From its send, or from being handed over, to its outcome a session has a seat.
    fn seat_free(&self, session: &Session) -> bool {
        let (class, title) = (session.wish.class, &session.viewing.title);
        let held = self.sessions.values().filter(|s| s.server.is_some());
        let seated = held.filter(|s| s.wish.class == class && s.viewing.title == *title).count();
        self.set.classes[class].seats.is_none_or(|seats| seated < seats)
    }

    /// Whether the rules let this session have a(nother) attempt now.
    fn may_attempt(&self, session: &Session) -> bool {
        if session.tried.is_empty() {
            return true;
        }
        let class = &self.set.classes[session.wish.class];
        let ran_in_time = |since: Micros| self.now < session.ran.first().map_or(Micros::MAX, |r| r.1 + since);
        let repeatable = match class.effect {
            Effect::Free => true,
            Effect::Guarded => ran_in_time(class.window),
            Effect::SingleShot => session.ran.is_empty(),
        };
        let within = self.set.max_attempts.is_none_or(|most| session.tried.len() < most);
        repeatable && within && self.budget_left()
    }

    fn budget_left(&self) -> bool {
        let Some(budget) = self.set.budget else { return true };
        let since = self.now - budget.window;
        let extras = self.extras.iter().filter(|&&at| at >= since).count();
        let taken = self.taken.iter().filter(|&&at| at > since).count();
        (extras + 1) as f64 <= budget.free + budget.share * taken as f64
    }

    fn group_allows(&self, session: &Session, server: &Server) -> bool {
        let class = &self.set.classes[session.wish.class];
        let ran = session.ran.iter().filter_map(|(id, _)| self.servers.get(id));
        class.effect != Effect::Guarded
            || ran.map(|ran| &ran.entry).all(|ran| match class.group {
                Group::All => true,
                Group::Zone => ran.zone == server.entry.zone,
                Group::Cell => ran.cell == server.entry.cell,
            })
    }

    fn send(&mut self, id: RequestId, server: ServerId, rung: usize) {
        let session = self.sessions.get_mut(&id).expect("placed sessions are held");
        let class = &self.set.classes[session.wish.class];
        let left = session.deadline - self.now;
        // A class that may be repeated leaves half of its wanted time to a second try.
        let last = self.set.max_attempts.is_some_and(|most| session.tried.len() + 1 >= most);
        let half = (session.aim_at - self.now) / 2;
        let once = last || class.effect == Effect::SingleShot || half < LEAST_ATTEMPT;
        let timeout = if once { left } else { half.min(left) };
        if !session.tried.is_empty() {
            self.extras.push(self.now);
        }
        session.wish.rung = rung;
        session.sent_at = self.now;
        session.tried.push(server.clone());
        self.out.push(Action::Rate { id, rung });
        self.out.push(Action::Send { id, server: server.clone(), timeout });
        if let Some(turn) = self.set.cold.map(|cold| self.turn(&self.servers[&server], cold).0) {
            let given = &mut self.servers.get_mut(&server).expect("drawn from the list").given;
            *given = (turn, if given.0 == turn { given.1 + 1 } else { 1 });
        }
        self.occupy(id, server);
    }

    fn occupy(&mut self, id: RequestId, server: ServerId) {
        if let Some(to) = self.servers.get_mut(&server) {
            to.sessions.insert(id);
        }
        self.sessions.get_mut(&id).expect("held when it is sent").server = Some(server);
    }

    fn vacate(&mut self, id: RequestId) -> Option<ServerId> {
        let server = self.sessions.get_mut(&id)?.server.take()?;
        if let Some(from) = self.servers.get_mut(&server) {
            from.sessions.remove(&id);
        }
        Some(server)
    }

    fn playing(&mut self, id: RequestId, attempt: usize) {
        if let Some(session) = self.sessions.get_mut(&id).filter(|s| attempt + 1 == s.tried.len()) {
            session.playing = true;
            if let Some(server) = session.server.clone() {
                self.answered(&server);
            }
        }
    }

    fn outcome(&mut self, id: RequestId, attempt: usize, status: Status, closed: bool, report: Report) {
        let Some(session) = self.sessions.get(&id) else { return };
        if attempt + 1 != session.tried.len() {
            return;
        }
        let over = closed || session.closed || session.playing;
        let (sent_at, wish, played) = (session.sent_at, session.wish, session.playing);
        let began_here = session.deadline < Micros::MAX;
        let Some(server) = self.vacate(id) else { return };
        let never_ran = matches!(status, Status::Full | Status::ConnectError | Status::Ignored);
        self.weigh_evidence(&server, status);
        self.hear(&server, report.link, report.uplink);
        if over {
            self.sessions.remove(&id);
            if played {
                if began_here && status == Status::Ok {
                    let (lasted, part) = ((self.now - sent_at) as f64, 1.0 / SAMPLE as f64);
                    let before = self.lasted.unwrap_or(REPORT_HALF_LIFE / REPORT_PART);
                    self.lasted = Some(before + part * (lasted - before));
                }
                self.ended.push_back(wish);
                self.ended.drain(..self.ended.len().saturating_sub(SAMPLE));
            }
        } else {
            let session = self.sessions.get_mut(&id).expect("looked up above");
            if !never_ran {
                session.ran.push((server, sent_at));
            }
            self.place(id);
        }
    }

    fn gone(&mut self, id: RequestId) {
        let Some(session) = self.sessions.get_mut(&id) else { return };
        session.closed = true;
        if session.server.is_none() {
            self.sessions.remove(&id);
        }
    }

    fn alarm(&mut self, token: u64) {
        if token == ASK_TOKEN {
            return self.ask_loads();
        }
        if token == LIST_TOKEN {
            if self.set.subscribe {
                self.out.push(Action::Subscribe);
            } else if self.blind {
                self.out.push(Action::Fetch);
            }
            return;
        }
        let Some(id) = self.alarms.remove(&token) else { return };
        let Some(session) = self.sessions.get_mut(&id) else { return };
        // The time-out of the last attempt normally answers first; this one holds whatever happens.
        if !session.playing && !session.closed {
            self.out.push(Action::Fail { id });
            self.gone(id);
        }
    }

    /// The final answer when no attempt is to follow: refused where it may be set up again, else failed.
    fn give_up(&mut self, id: RequestId) {
        let Some(session) = self.sessions.remove(&id) else { return };
        let class = &self.set.classes[session.wish.class];
        let harmless = match class.effect {
            Effect::Free => true,
            Effect::Guarded => session.ran.is_empty() || class.group == Group::All,
            Effect::SingleShot => session.ran.is_empty(),
        };
        let refuse = Action::Refuse { id, retry_after: self.set.max_retry_after };
        let in_time = session.deadline > self.now;
        self.out.push(if harmless && in_time { refuse } else { Action::Fail { id } });
    }

    // ---- Health ----

    fn answered(&mut self, id: &ServerId) {
        self.reached(id);
        self.struck.remove(id);
        if let Some(server) = self.servers.get_mut(id) {
            server.strikes = 0;
            server.avoid_until = 0;
        }
    }

    /// It runs and can be reached, which does not show that set-ups work.
    fn reached(&mut self, id: &ServerId) {
        let Some(server) = self.servers.get_mut(id) else { return };
        server.mute = false;
        server.back = if server.lost { Some(self.now) } else { server.back };
        server.lost = false;
    }

    fn weigh_evidence(&mut self, id: &ServerId, status: Status) {
        let now = self.now;
        let Some(server) = self.servers.get_mut(id) else { return };
        let first = match status {
            Status::Ok => return self.answered(id),
            // It says nothing of other servers, so it does not count as a report.
            Status::Full => return server.heard = Some(Heard { at: now, asked: 1.0, own: 0.0 }),
            Status::Cancelled | Status::Ignored => return,
            Status::Failed => BACK_OFF,
            Status::TimedOut | Status::ConnectError | Status::Reset => UNREACHED,
        };
        server.mute |= status != Status::Failed;
        if matches!(status, Status::ConnectError | Status::Reset) {
            server.lost = true;
        }
        // What ends at one time is one piece of evidence.
        if server.avoid_until <= now {
            server.avoid_until = now + (first << server.strikes.min(BACK_OFF_DOUBLINGS));
            server.strikes += 1;
        }
        self.struck.insert(id.clone());
    }

    /// Probes servers that did not answer, each when its back-off ends. Guards against dead servers, cut
    /// networks and hung processes: a probe finds out what otherwise costs a session its wanted time.
    fn probe_mute(&mut self) {
        for id in self.struck.iter().filter(|_| self.set.may_probe) {
            let Some(server) = self.servers.get_mut(id) else { continue };
            if server.mute && server.entry.state == ServerState::Up && server.avoid_until <= self.now {
                server.avoid_until = self.now + (UNREACHED << server.strikes.min(BACK_OFF_DOUBLINGS));
                self.out.push(Action::Probe { server: id.clone() });
            }
        }
    }

    fn is_short(&self, server: &Server) -> bool {
        server.share.is_some_and(|(share, at)| share < SHORT && self.now - at < SHORT_LASTS)
    }

    fn healthy(&self, session: &Session, server: &Server, shared: bool) -> bool {
        let unreached = server.mute && self.set.may_probe;
        if unreached || self.is_short(server) || !self.cold_pace_allows(server) {
            return false;
        }
        if !server.lost && (server.strikes == 0 || shared) {
            return true;
        }
        // After the back-off one session on trial, and none that may be set up only once while others serve.
        let only_once = self.set.classes[session.wish.class].effect == Effect::SingleShot;
        let safe = !only_once || self.up.iter().all(|id| self.struck.contains(id));
        let on_trial = || server.sessions.iter().any(|id| !self.sessions[id].playing);
        safe && self.now >= server.avoid_until && !on_trial()
    }

    // ---- Cold pace ----

    /// The latest time at which the server may have started, as far as this gateway has been told or has
    /// seen.
    fn last_start(&self, server: &Server) -> Option<Micros> {
        if server.lost {
            return Some(self.now);
        }
        let told = server.entry.started;
        let seen = if told > server.back { None } else { server.back };
        let unknown = if self.blind { self.begun } else { None };
        told.max(seen).max(unknown)
    }

    fn is_cold(&self, server: &Server) -> bool {
        let start = self.set.cold.zip(self.last_start(server));
        start.is_some_and(|(cold, start)| self.now - start < cold.warm_up)
    }

    /// Whether a server may be given a set-up now: it is warm, or its turn leaves this gateway one.
    fn cold_pace_allows(&self, server: &Server) -> bool {
        let Some(cold) = self.set.cold.filter(|_| self.is_cold(server)) else { return true };
        let (turn, within) = self.turn(server, cold);
        // A new process does not know what it gave in the turn in which it began.
        let began_before = self.begun.is_some_and(|begun| begun < self.now - within);
        let given = if server.given.0 == turn { server.given.1 } else { 0 };
        began_before && within < cold.window && given < self.dealt(server, cold, turn)
    }

    /// A cold server's time is cut into turns, of which only the first window is used: whatever window is
    /// looked at, the set-ups in it are of one turn, though some take longer on their way than others.
    fn turn(&self, server: &Server, cold: ColdRule) -> (Micros, Micros) {
        let length = (cold.window * 9 / 4).max(1);
        let phased = self.now + self.mark(server) % 64 * (length / 64);
        (phased / length, phased % length)
    }

    /// How many set-ups this gateway may give a cold server in a turn. What the server bears in a window at
    /// its least warmth, less a quarter since set-ups weigh differently, is dealt to the gateways one by
    /// one; where there is less than one for each, other gateways have their part in the next turn. So
    /// all together stay under the pace though none knows what the others send, and each of many
    /// gateways has a part at some of many cold servers at any time, long enough for a session to come.
    fn dealt(&self, server: &Server, cold: ColdRule, turn: Micros) -> usize {
        let places = self.set.places.get(server.entry.kind).copied().unwrap_or(0.0);
        let per_us = places / cold.warm_up.max(1) as f64 * cold.least_warmth * cold.multiple;
        let all = (per_us * cold.window as f64 * 0.75).floor().max(1.0) as usize;
        let gateways = self.set.gateways.max(1);
        let first = (turn as usize).wrapping_mul(all).wrapping_add(self.mark(server) as usize) % gateways;
        let place = (self.set.me + gateways - first) % gateways;
        all / gateways + usize::from(place < all % gateways)
    }

    /// A number that differs between servers and is the same for all gateways.
    fn mark(&self, server: &Server) -> Micros {
        server.entry.server.0.bytes().fold(0, |mark, byte| (mark * 31 + Micros::from(byte)) % 1_000_003)
    }

    // ---- While it plays: news on delivery ----

    fn noted(&mut self, id: RequestId, server: ServerId, note: Note) {
        match note {
            Note::Rung(rung) => {
                if let Some(session) = self.sessions.get_mut(&id) {
                    session.wish.rung = rung.min(self.set.rung_kb.len().saturating_sub(1));
                }
            }
            Note::LinkAsked(asked) => {
                // The first time the uplink's news comes right after it.
                let again = self.servers.get(&server).is_some_and(|s| s.heard.is_some());
                self.hear(&server, Some(asked), None);
                self.overasked(&server, false, asked);
                if again {
                    self.settle(&server);
                }
            }
            Note::UplinkAsked(asked) => {
                self.hear(&server, None, Some(asked));
                self.overasked(&server, true, asked);
                self.settle(&server);
            }
            Note::Delivered(share) if !share.is_finite() => {}
            Note::Delivered(share) => {
                self.hear_share(&server, share);
                if let Some(to) = self.servers.get_mut(&server) {
                    let before = to.share.replace((share, self.now));
                    // Smoothed, it makes up half of what is missing by the next news once the cause is over.
                    let lasts = |(old, at): (f64, Micros)| {
                        self.now - at < SHORT_LASTS && old < SHORT && 1.0 - share > (1.0 - old) / 2.0
                    };
                    if before.is_some_and(lasts) {
                        self.cut(&server, share);
                    }
                }
            }
        }
    }

    /// Own sessions that play on a server.
    fn playing_on(&self, id: &ServerId) -> Vec<RequestId> {
        let there = self.servers.get(id).into_iter().flat_map(|server| &server.sessions);
        there.copied().filter(|id| self.sessions[id].playing && !self.sessions[id].closed).collect()
    }

    fn set_rung(&mut self, id: RequestId, rung: usize) {
        self.sessions.get_mut(&id).expect("plays here").wish.rung = rung;
        self.out.push(Action::Rate { id, rung });
    }

    /// Exception: a session handed over at the start never had this gateway's one decision on its rung. It
    /// gets it once, upwards only, when its server's load is freshly heard, within this gateway's part of
    /// the room. What is left of that part after whole steps is a chance for one step more, so that many
    /// gateways with one session each use the room that they have together. Guards against a fleet that is
    /// left at low rungs for the life of what played before. Harm: each raise costs a change of rung, which
    /// a session near its end does not earn back.
    fn settle(&mut self, id: &ServerId) {
        let waiting: Vec<_> =
            self.playing_on(id).into_iter().filter(|id| self.sessions[id].unsettled).collect();
        let Some(server) = self.servers.get(id).filter(|s| !waiting.is_empty() && !self.is_short(s)) else {
            return;
        };
        let (others, rack) = (self.asked_by_others(), self.rack_of(server));
        let part = |load: Load, own: f64| load.room() * (own / load.asked.max(1.0)).min(1.0);
        let link = part(self.link_load(server, others), self.own_on(server));
        let uplink = part(self.uplink_load(rack, others), self.own_behind(rack));
        let mut room = link.min(uplink);
        let price = self.price(others);
        for id in waiting {
            let (wish, chance) = (self.sessions[&id].wish, self.unit());
            let step = |from: usize, to: usize| self.rate(&wish, to) - self.rate(&wish, from);
            let fair = self.fair_rung(&wish, price);
            let fits = (wish.rung..=fair).rev().find(|&rung| step(wish.rung, rung) <= room);
            let mut rung = fits.unwrap_or(wish.rung);
            let left = room - step(wish.rung, rung);
            if rung < fair && chance * step(rung, rung + 1) < left {
                rung += 1;
            }
            if rung > wish.rung {
                room -= step(wish.rung, rung);
                self.sessions.get_mut(&id).expect("listed above").unsettled = false;
                self.set_rung(id, rung);
            }
        }
    }

    /// Reports of a link or uplink of which more is asked than it gives tell so at once and in full, while
    /// the delivered share is smoothed and falls for seconds.
    fn overasked(&mut self, id: &ServerId, uplink: bool, asked: f64) {
        let Some(server) = self.servers.get(id).filter(|_| asked.is_finite() && asked > OVERASKED) else {
            return;
        };
        let rack = &self.racks[&self.rack_of(server)];
        let there = if uplink { rack.servers.clone() } else { vec![id.clone()] };
        there.iter().for_each(|id| self.cut(id, 1.0 / asked));
    }

    /// Exception: where delivery is short all sessions there lose far more than a rung, so own rungs go down
    /// by this gateway's part of what is missing. Where that is less than a step it is the chance of one, so
    /// that the cuts of many gateways with one session each add up. Guards against links and uplinks that
    /// give less than they should, titles above their rung and crowds that came at once. Harm: what is cut
    /// stays so, so that shortness that is over in a moment is left alone (`noted`).
    fn cut(&mut self, id: &ServerId, share: f64) {
        let (now, wait) = (self.now, self.set.see + CUT_SHOWS);
        let Some(server) = self.servers.get_mut(id) else { return };
        // The share is smoothed: while it goes on falling before a cut can show, the rest is cut as well.
        let (at, answered) = server.cut;
        let before = if now - at < wait { answered } else { CUT_TO.recip() };
        if share >= SHORT.min(before - FALLS) {
            return;
        }
        server.cut = (now, share);
        let mut wishes: Vec<_> =
            self.playing_on(id).into_iter().map(|id| (id, self.sessions[&id].wish)).collect();
        let own: f64 = wishes.iter().map(|(_, wish)| self.asks(wish)).sum();
        let mut missing = own * (1.0 - share.max(0.0) / before.max(0.01));
        let mut cut = BTreeMap::new();
        while missing > 0.0 {
            // The step down that gives up least worth for each kB.
            let steps = wishes.iter().enumerate().filter_map(|(k, (_, wish))| {
                let floor = self.set.classes[wish.class].floor;
                let lower = wish.rung.checked_sub(1).filter(|&rung| rung >= floor)?;
                let kb = self.asks(wish) - self.rate(wish, lower);
                let worth = self.worth(wish, wish.rung) - self.worth(wish, lower);
                (kb > 0.0).then_some((k, lower, kb, worth / kb))
            });
            let Some((k, lower, kb, _)) = steps.min_by(|a, b| a.3.total_cmp(&b.3)) else { break };
            if missing < kb && self.unit() * kb >= missing {
                break;
            }
            missing -= kb;
            wishes[k].1.rung = lower;
            cut.insert(wishes[k].0, lower);
        }
        cut.into_iter().for_each(|(id, rung)| self.set_rung(id, rung));
    }

    // ---- Chance ----

    fn unit(&mut self) -> f64 {
        (self.rng.next_u64() >> 11) as f64 / (1u64 << 53) as f64
    }

    fn below(&mut self, end: usize) -> usize {
        (self.rng.next_u64() % end.max(1) as u64) as usize
    }
}
