//! All decisions of elderpick, in the order in which a session meets them. The interface is `api.rs`.
//!
//! The ordinary path: draw a few holders of the title at random, take the least loaded by what servers
//! report and what this gateway has set up since, admit at the highest rung that fits the room, set it
//! once, or refuse at once. All else here is an exception to that or a guard that the rules need;
//! `docs/design.md` lists them.

use std::collections::{BTreeMap, VecDeque};

use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{RngCore, SeedableRng};

use crate::api::*;

/// Probes for each session taken, where loads are told to probes only.
const PROBES_A_SESSION: f64 = 0.5;
/// Holders drawn for a session.
const DRAW: usize = 3;
/// Part of a link that is left for the spread of true rates.
const MARGIN: f64 = 0.1;
/// Part of the fleet that a fair rung plans to use.
const PLANNED: f64 = 0.9;
/// Spread of the price between sessions, so that a class does not change its rung all at once.
const PRICE_SPREAD: f64 = 0.25;
/// A report tells half of what it told after this time.
const REPORT_HALF_LIFE: f64 = 12e6;
/// Reports are noisy: only what is asked beyond this, over what is given, counts by itself.
const OVERASKED: f64 = 1.2;
/// Under this share of their rates, sessions count as short.
const SHORT: f64 = 0.97;
/// A share that fell short is taken to last this long without further word.
const SHORT_LASTS: Micros = 2_500_000;
/// After a short share, own sessions are cut to this part of what was delivered: steps between rungs are
/// coarse, so that each gateway's cut goes beyond its part.
const CUT_TO: f64 = 1.04;
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
/// Token of the alarm after which the list is asked for again; requests have the others.
const LIST_TOKEN: u64 = 0;
const LIST_AGAIN: Micros = 1_000_000;

/// What was last heard of the load of a link or uplink.
#[derive(Clone, Copy)]
struct Heard {
    at: Micros,
    /// What was asked over what it gives.
    asked: f64,
    /// Rates of this gateway's own sessions there at the time.
    own: f64,
    /// Taken from a refusal, not from a report: it tells nothing of other servers.
    mark: bool,
}

struct Server {
    entry: Entry,
    heard: Option<Heard>,
    probed_at: Micros,
    /// Delivered share, and when it was heard.
    share: Option<(f64, Micros)>,
    cut_at: Micros,
    strikes: u32,
    avoid_until: Micros,
    /// Did not answer, and no probe has reached it since.
    mute: bool,
    /// Seen to die, and not yet to answer again.
    lost: bool,
    /// First answer after it was seen to die.
    back: Option<Micros>,
    last_send: Micros,
}

#[derive(Default)]
struct Rack {
    heard: Option<Heard>,
}

struct Session {
    viewing: Viewing,
    deadline: Micros,
    aim_at: Micros,
    attempts: usize,
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
    rung: usize,
    spread: f64,
}

/// Capacity of a link or uplink and what is asked of it, in kB a second.
#[derive(Clone, Copy, Default)]
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

struct Survey {
    servers: BTreeMap<ServerId, Load>,
    racks: BTreeMap<usize, Load>,
}

pub struct Controller {
    set: Settings,
    rng: ChaCha8Rng,
    now: Micros,
    begun: Option<Micros>,
    /// The list may be older than this gateway's start.
    blind: bool,
    servers: BTreeMap<ServerId, Server>,
    racks: BTreeMap<usize, Rack>,
    sessions: BTreeMap<RequestId, Session>,
    alarms: BTreeMap<u64, RequestId>,
    next_token: u64,
    /// Requests taken and further attempts made within the budget's window.
    taken: VecDeque<Micros>,
    extras: VecDeque<Micros>,
    probes_due: f64,
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
            servers: BTreeMap::new(),
            racks: BTreeMap::new(),
            sessions: BTreeMap::new(),
            alarms: BTreeMap::new(),
            next_token: LIST_TOKEN + 1,
            taken: VecDeque::new(),
            extras: VecDeque::new(),
            probes_due: 0.0,
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
                    self.reported(&server, report);
                    self.settle(&server);
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
            ListKind::Full | ListKind::Restored => {
                self.servers.values_mut().for_each(|s| s.entry.state = ServerState::Gone);
            }
            ListKind::Changes => {}
        }
        self.blind &= kind == ListKind::Restored;
        for entry in entries {
            match self.servers.get_mut(&entry.server) {
                Some(server) => {
                    if entry.started > server.entry.started {
                        // A new process: what was known of the old one tells nothing of it.
                        server.heard = None;
                        server.share = None;
                        server.strikes = 0;
                        server.avoid_until = 0;
                        server.mute = false;
                        server.lost = false;
                    }
                    server.entry = entry;
                }
                None => {
                    let server = Server {
                        heard: None,
                        probed_at: Micros::MIN / 2,
                        share: None,
                        cut_at: Micros::MIN / 2,
                        strikes: 0,
                        avoid_until: 0,
                        mute: false,
                        lost: false,
                        back: None,
                        last_send: Micros::MIN / 2,
                        entry,
                    };
                    self.servers.insert(server.entry.server.clone(), server);
                }
            }
        }
        // A gateway that has just started holds an old list and knows no load: it asks for the one, so that
        // servers need not pass for cold until something changes, and asks all servers for the other once.
        if kind == ListKind::Restored {
            if !self.set.subscribe {
                self.out.push(Action::Fetch);
            }
            self.probes_due += self.servers.len() as f64;
            self.probe_stalest();
        }
    }

    fn rack_of(&self, server: &Server) -> usize {
        server.entry.cell % self.set.racks.unwrap_or(1).max(1)
    }

    // ---- A session arrives ----

    fn request(&mut self, id: RequestId, viewing: Viewing) {
        self.taken.push_back(self.now);
        if let Some(budget) = self.set.budget {
            while self.taken.front().is_some_and(|&at| at <= self.now - budget.window) {
                self.taken.pop_front();
            }
        } else {
            self.taken.clear();
        }
        self.probe_mute();
        self.probes_due += PROBES_A_SESSION;
        self.probe_stalest();
        let Some(class) = self.set.classes.get(viewing.class) else {
            self.out.push(Action::Fail { id });
            return;
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

    /// A session handed over at the start. It shows that this is no blind restart: the list is of now.
    fn open(&mut self, id: RequestId, viewing: Viewing, server: ServerId) {
        self.blind = false;
        let Some(class) = self.set.classes.get(viewing.class) else { return };
        let rung = class.floor;
        let session = Session {
            attempts: 1,
            server: Some(server),
            playing: true,
            unsettled: true,
            rung,
            ..self.new_session(viewing)
        };
        self.sessions.insert(id, session);
    }

    fn new_session(&mut self, viewing: Viewing) -> Session {
        Session {
            viewing,
            deadline: Micros::MAX,
            aim_at: Micros::MAX,
            attempts: 0,
            tried: Vec::new(),
            ran: Vec::new(),
            server: None,
            sent_at: self.now,
            playing: false,
            closed: false,
            unsettled: false,
            rung: 0,
            spread: 1.0 + PRICE_SPREAD * (2.0 * self.unit() - 1.0),
        }
    }

    /// Draws holders, picks the least loaded, sets the rung and sends; or gives up at once.
    fn place(&mut self, id: RequestId) {
        let session = &self.sessions[&id];
        let left = session.deadline - self.now;
        if left < LEAST_ATTEMPT || !self.seat_free(session) || !self.may_attempt(session) {
            return self.give_up(id);
        }
        let mut holders = self.usable_holders(session);
        let mut drawn = Vec::new();
        while drawn.len() < DRAW && !holders.is_empty() {
            let k = self.rng.next_u64() as usize % holders.len();
            drawn.push(holders.swap_remove(k));
        }
        let survey = self.survey();
        let zone = self.set.zone;
        let weighed = drawn.into_iter().map(|server| {
            let entry = &self.servers[&server];
            let uplink = survey.racks[&self.rack_of(entry)].share();
            let away = if entry.entry.zone != zone { ZONE_BIAS } else { 0.0 };
            let share = survey.servers[&server].share().max(uplink) + away;
            (server, share)
        });
        let Some((server, _)) = weighed.min_by(|a, b| a.1.total_cmp(&b.1)) else { return self.give_up(id) };
        let Some(rung) = self.rung(&self.sessions[&id], &server, &survey) else { return self.give_up(id) };
        self.send(id, server, rung);
    }

    // ---- Load and room ----

    fn rate(&self, session: &Session, rung: usize) -> f64 {
        let scale = self.set.classes[session.viewing.class].scale;
        self.set.rung_kb.get(rung).copied().unwrap_or(0.0) * scale
    }

    fn worth(&self, session: &Session, rung: usize) -> f64 {
        let worth = self.set.classes[session.viewing.class].worth;
        self.set.rung_worth.get(rung).copied().unwrap_or(0.0) * worth
    }

    /// Rates of own sessions by server.
    fn own(&self) -> BTreeMap<&ServerId, f64> {
        let mut own = BTreeMap::new();
        for session in self.sessions.values() {
            if let Some(server) = &session.server {
                *own.entry(server).or_insert(0.0) += self.rate(session, session.rung);
            }
        }
        own
    }

    fn link(&self, server: &Server) -> f64 {
        let weight = if self.set.weights { server.entry.weight } else { 1.0 };
        let link = match (self.set.kb_per_weight, self.set.links_kb) {
            (Some(kb), _) if kb > 0.0 => kb * if weight > 0.0 { weight } else { 0.0 },
            (_, Some(all)) if all > 0.0 => all / self.servers.len().max(1) as f64,
            _ => f64::MAX / 1e6,
        };
        link * self.warmth(server)
    }

    fn freshness(&self, heard: &Heard) -> f64 {
        (-((self.now - heard.at) as f64) / REPORT_HALF_LIFE).exp2()
    }

    /// What is asked of each link and uplink, as far as this gateway can tell.
    fn survey(&self) -> Survey {
        let own = self.own();
        let own_at = |id: &ServerId| own.get(id).copied().unwrap_or(0.0);
        // What the other gateways ask of an average server, as a share of its link.
        let (mut others, mut heard_links) = (0.0, 0.0);
        for server in self.servers.values().filter(|s| s.entry.state != ServerState::Gone) {
            if let Some(heard) = server.heard.as_ref().filter(|heard| !heard.mark) {
                let (weight, link) = (self.freshness(heard), self.link(server));
                others += weight * (heard.asked * link - heard.own).max(0.0);
                heard_links += weight * link;
            }
        }
        let all_links: f64 = self.servers.values().map(|s| self.link(s)).sum();
        let average = if heard_links > 0.0 {
            others / heard_links
        } else {
            own.values().sum::<f64>() * self.set.gateways.saturating_sub(1) as f64 / all_links.max(1.0)
        };
        let mut survey = Survey { servers: BTreeMap::new(), racks: BTreeMap::new() };
        let mut rack_own: BTreeMap<usize, f64> = BTreeMap::new();
        for (id, server) in self.servers.iter().filter(|(_, s)| s.entry.state != ServerState::Gone) {
            let link = self.link(server);
            let others = match &server.heard {
                Some(heard) => {
                    let weight = self.freshness(heard);
                    weight * (heard.asked * link - heard.own).max(0.0) + (1.0 - weight) * average * link
                }
                None => average * link,
            };
            let load = Load { link, asked: own_at(id) + others };
            let rack = self.rack_of(server);
            let uplink = survey.racks.entry(rack).or_default();
            uplink.link += load.link;
            uplink.asked += load.asked;
            *rack_own.entry(rack).or_insert(0.0) += own_at(id);
            survey.servers.insert(id.clone(), load);
        }
        for (rack, load) in &mut survey.racks {
            if let Some(kb) = self.set.rack_kb.filter(|&kb| kb > 0.0) {
                load.link = kb;
            }
            if let Some(heard) = self.racks.get(rack).and_then(|r| r.heard.as_ref()) {
                let told = (heard.asked * load.link - heard.own).max(0.0) + rack_own[rack];
                let weight = self.freshness(heard);
                load.asked = weight * told + (1.0 - weight) * load.asked;
            }
        }
        survey
    }

    fn hear(&mut self, server: &ServerId, link: Option<f64>, uplink: Option<f64>, mark: bool) {
        let own = self.own();
        let Some(entry) = self.servers.get(server) else { return };
        let rack = self.rack_of(entry);
        let own_here = own.get(server).copied().unwrap_or(0.0);
        let in_rack = |id: &ServerId| self.servers.get(id).is_some_and(|s| self.rack_of(s) == rack);
        let own_rack = own.iter().filter(|(id, _)| in_rack(id)).map(|(_, kb)| kb).sum();
        let heard = |asked: f64, own| Heard { at: self.now, asked: asked.clamp(0.0, 10.0), own, mark };
        let link = link.filter(|x| x.is_finite()).map(|x| heard(x, own_here));
        let uplink = uplink.filter(|x| x.is_finite()).map(|x| heard(x, own_rack));
        if let Some(link) = link {
            self.servers.get_mut(server).expect("looked up above").heard = Some(link);
        }
        if let Some(uplink) = uplink {
            self.racks.entry(rack).or_default().heard = Some(uplink);
        }
    }

    fn reported(&mut self, server: &ServerId, report: Report) {
        self.hear(server, report.link, report.uplink, false);
    }

    /// Probes the servers asked longest ago: so many a session keep the price in step with the traffic.
    fn probe_stalest(&mut self) {
        if !self.set.may_probe || self.set.reporting != Reporting::WhenProbed {
            return;
        }
        while self.probes_due >= 1.0 {
            self.probes_due -= 1.0;
            let up = |s: &&mut Server| s.entry.state == ServerState::Up && !s.mute;
            let Some(server) = self.servers.values_mut().filter(up).min_by_key(|s| s.probed_at) else {
                return;
            };
            server.probed_at = self.now;
            self.out.push(Action::Probe { server: server.entry.server.clone() });
        }
    }

    // ---- Pick and rung ----

    fn usable_holders(&self, session: &Session) -> Vec<ServerId> {
        let holds = |server: &Server| {
            let cells = self.set.cells.unwrap_or(0);
            let from_home = match cells {
                0 => 0,
                n => (server.entry.cell % n + n - session.viewing.home % n) % n,
            };
            server.entry.state == ServerState::Up
                && from_home < session.viewing.copies
                && !session.tried.contains(&server.entry.server)
                && self.group_allows(session, server)
        };
        let holders: Vec<_> = self.servers.iter().filter(|(_, s)| holds(s)).collect();
        // Where most servers show the same trouble its cause is shared, and avoiding them helps nobody.
        let shared = 2 * holders.iter().filter(|(_, s)| s.strikes > 0 && !s.mute).count() > holders.len();
        let usable = holders.into_iter().filter(|(id, s)| self.healthy(session, id, s, shared));
        usable.map(|(id, _)| id.clone()).collect()
    }

    fn rung(&self, session: &Session, server: &ServerId, survey: &Survey) -> Option<usize> {
        let class = &self.set.classes[session.viewing.class];
        let rack = self.rack_of(&self.servers[server]);
        let room = survey.servers[server].room().min(survey.racks[&rack].room());
        let fair = self.fair_rung(session, self.price(survey));
        (class.floor..=fair).rev().find(|&rung| self.rate(session, rung) <= room)
    }

    /// The rung at which a session earns most, when a kB a second costs `price`.
    fn fair_rung(&self, session: &Session, price: f64) -> usize {
        let class = &self.set.classes[session.viewing.class];
        let top = class.top.min(session.viewing.top).min(self.set.rung_kb.len().saturating_sub(1));
        let gain = |rung| self.worth(session, rung) - price * session.spread * self.rate(session, rung);
        (class.floor..=top).max_by(|&a, &b| gain(a).total_cmp(&gain(b))).unwrap_or(top)
    }

    /// Exception: greedy rungs leave no room for the sessions that come during this one's life. The price
    /// of a kB a second is such that all sessions of all gateways, each at its fair rung, fill the planned
    /// part.
    fn price(&self, survey: &Survey) -> f64 {
        let mut capacity = 0.0;
        for (rack, uplink) in &survey.racks {
            let servers = self.servers.iter().filter(|(_, s)| self.rack_of(s) == *rack);
            let up = servers.filter(|(_, s)| s.entry.state == ServerState::Up && !s.lost);
            let links: f64 = up.filter_map(|(id, _)| survey.servers.get(id)).map(|load| load.link).sum();
            capacity += links.min(uplink.link);
        }
        let held: Vec<&Session> = self.sessions.values().filter(|s| !s.closed).collect();
        let now_own: f64 = self.own().values().sum();
        let now_all: f64 = survey.servers.values().map(|load| load.asked).sum();
        let gateways = self.set.gateways.max(1) as f64;
        let times = if now_own > 0.0 { gateways.max(now_all / now_own) } else { gateways };
        let planned = capacity * PLANNED;
        let demand =
            |price: f64| held.iter().map(|s| self.rate(s, self.fair_rung(s, price))).sum::<f64>() * times;
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

    fn seat_free(&self, session: &Session) -> bool {
        let (class, title) = (session.viewing.class, &session.viewing.title);
        let Some(seats) = self.set.classes[class].seats else { return true };
        let held = self.sessions.values().filter(|s| s.server.is_some());
        held.filter(|s| s.viewing.class == class && s.viewing.title == *title).count() < seats
    }

    /// Whether the rules let this session have a(nother) attempt now.
    fn may_attempt(&self, session: &Session) -> bool {
        if session.attempts == 0 {
            return true;
        }
        let class = &self.set.classes[session.viewing.class];
        let ran_in_time = |since: Micros| self.now < session.ran.first().map_or(Micros::MAX, |r| r.1 + since);
        let repeatable = match class.effect {
            Effect::Free => true,
            Effect::Guarded => ran_in_time(class.window),
            Effect::SingleShot => session.ran.is_empty(),
        };
        let within = self.set.max_attempts.is_none_or(|most| session.attempts < most);
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
        let class = &self.set.classes[session.viewing.class];
        if class.effect != Effect::Guarded {
            return true;
        }
        session.ran.iter().filter_map(|(id, _)| self.servers.get(id)).all(|ran| match class.group {
            Group::All => true,
            Group::Zone => ran.entry.zone == server.entry.zone,
            Group::Cell => ran.entry.cell == server.entry.cell,
        })
    }

    fn send(&mut self, id: RequestId, server: ServerId, rung: usize) {
        let session = self.sessions.get_mut(&id).expect("placed sessions are held");
        let class = &self.set.classes[session.viewing.class];
        let left = session.deadline - self.now;
        // A class that may be repeated leaves half of its wanted time to a second try.
        let last = self.set.max_attempts.is_some_and(|most| session.attempts + 1 >= most);
        let half = (session.aim_at - self.now) / 2;
        let once = last || class.effect == Effect::SingleShot || half < LEAST_ATTEMPT;
        let timeout = if once { left } else { half.min(left) };
        if session.attempts > 0 {
            self.extras.push_back(self.now);
        }
        session.attempts += 1;
        session.rung = rung;
        session.server = Some(server.clone());
        session.sent_at = self.now;
        session.tried.push(server.clone());
        self.out.push(Action::Rate { id, rung });
        self.out.push(Action::Send { id, server: server.clone(), timeout });
        if let Some(to) = self.servers.get_mut(&server) {
            to.last_send = self.now;
        }
        if let Some(budget) = self.set.budget {
            while self.extras.front().is_some_and(|&at| at < self.now - budget.window) {
                self.extras.pop_front();
            }
        }
    }

    fn playing(&mut self, id: RequestId, attempt: usize) {
        let Some(session) = self.sessions.get_mut(&id) else { return };
        if attempt + 1 == session.attempts {
            session.playing = true;
            if let Some(server) = session.server.clone() {
                self.answered(&server);
            }
        }
    }

    fn outcome(&mut self, id: RequestId, attempt: usize, status: Status, closed: bool, report: Report) {
        let Some(session) = self.sessions.get_mut(&id) else { return };
        if attempt + 1 != session.attempts {
            return;
        }
        let Some(server) = session.server.take() else { return };
        let over = closed || session.closed || session.playing;
        let never_ran = matches!(status, Status::Full | Status::ConnectError | Status::Ignored);
        if !never_ran {
            session.ran.push((server.clone(), session.sent_at));
        }
        self.weigh_evidence(&server, status);
        self.reported(&server, report);
        if over {
            self.sessions.remove(&id);
        } else {
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
            session.closed = true;
            self.out.push(Action::Fail { id });
            if session.server.is_none() {
                self.sessions.remove(&id);
            }
        }
    }

    /// The final answer when no attempt is to follow: refused where it may be set up again, else failed.
    fn give_up(&mut self, id: RequestId) {
        let Some(session) = self.sessions.remove(&id) else { return };
        let class = &self.set.classes[session.viewing.class];
        let harmless = match class.effect {
            Effect::Free => true,
            Effect::Guarded => session.ran.is_empty() || class.group == Group::All,
            Effect::SingleShot => session.ran.is_empty(),
        };
        if harmless && session.deadline > self.now {
            self.out.push(Action::Refuse { id, retry_after: self.set.max_retry_after });
        } else {
            self.out.push(Action::Fail { id });
        }
    }

    // ---- Health ----

    fn answered(&mut self, id: &ServerId) {
        self.reached(id);
        if let Some(server) = self.servers.get_mut(id) {
            server.strikes = 0;
            server.avoid_until = 0;
        }
    }

    /// It runs and can be reached, which does not show that set-ups work.
    fn reached(&mut self, id: &ServerId) {
        let Some(server) = self.servers.get_mut(id) else { return };
        server.mute = false;
        if std::mem::take(&mut server.lost) {
            server.back = Some(self.now);
        }
    }

    fn weigh_evidence(&mut self, id: &ServerId, status: Status) {
        let now = self.now;
        let Some(server) = self.servers.get_mut(id) else { return };
        let first = match status {
            Status::Ok => return self.answered(id),
            Status::Full => return self.hear(id, Some(1.0), None, true),
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
    }

    /// Probes servers that did not answer, each when its back-off ends. Guards against dead servers, cut
    /// networks and hung processes: a probe finds out what otherwise costs a session its wanted time.
    fn probe_mute(&mut self) {
        if !self.set.may_probe {
            return;
        }
        for server in self.servers.values_mut() {
            if server.mute && server.entry.state == ServerState::Up && server.avoid_until <= self.now {
                server.avoid_until = self.now + (UNREACHED << server.strikes.min(BACK_OFF_DOUBLINGS));
                self.out.push(Action::Probe { server: server.entry.server.clone() });
            }
        }
    }

    fn is_short(&self, server: &Server) -> bool {
        server.share.is_some_and(|(share, at)| share < SHORT && self.now - at < SHORT_LASTS)
    }

    fn healthy(&self, session: &Session, id: &ServerId, server: &Server, shared: bool) -> bool {
        if self.is_short(server) || !self.cold_pace_allows(id, server) {
            return false;
        }
        if server.mute && self.set.may_probe {
            return false;
        }
        if !server.lost && (server.strikes == 0 || shared) {
            return true;
        }
        // After the back-off one session on trial, and none that may be set up only once.
        let safe = self.set.classes[session.viewing.class].effect != Effect::SingleShot;
        let on_trial = || self.sessions.values().any(|s| !s.playing && s.server.as_ref() == Some(id));
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

    fn warmth(&self, server: &Server) -> f64 {
        let Some((cold, start)) = self.set.cold.zip(self.last_start(server)) else { return 1.0 };
        let age = (self.now - start) as f64 / cold.warm_up.max(1) as f64;
        (cold.least_warmth + (1.0 - cold.least_warmth) * age).clamp(0.01, 1.0)
    }

    /// Whether a cold server may be given a set-up now. Time is cut into slots, each one gateway's turn,
    /// so that all gateways together stay under the pace though none knows what the others send. Only the
    /// first half of a slot is used, which keeps set-ups of neighbouring slots apart.
    fn cold_pace_allows(&self, id: &ServerId, server: &Server) -> bool {
        let Some((cold, start)) = self.set.cold.zip(self.last_start(server)) else { return true };
        if self.now - start >= cold.warm_up {
            return true;
        }
        let places = self.set.places.get(server.entry.kind).copied().unwrap_or(0.0);
        let per_us = places / cold.warm_up.max(1) as f64 * cold.least_warmth * cold.multiple;
        let per_window = (per_us * cold.window as f64 * 0.75).floor().max(1.0);
        let slot = (2.0 * cold.window as f64 / per_window) as Micros;
        let gateways = self.set.gateways.max(1) as Micros;
        let phase: Micros = id.0.bytes().map(Micros::from).sum::<Micros>() * (slot / 7);
        let (turn, within) = ((self.now + phase) / slot.max(1), (self.now + phase) % slot.max(1));
        turn % gateways == self.set.me as Micros
            && within < slot / 2
            && self.now - server.last_send >= slot / 2
    }

    // ---- While it plays: news on delivery ----

    fn noted(&mut self, id: RequestId, server: ServerId, note: Note) {
        match note {
            Note::Rung(rung) => {
                if let Some(session) = self.sessions.get_mut(&id) {
                    session.rung = rung.min(self.set.rung_kb.len().saturating_sub(1));
                }
            }
            Note::LinkAsked(asked) => {
                self.hear(&server, Some(asked), None, false);
                self.overasked(&server, false, asked);
                self.settle(&server);
            }
            Note::UplinkAsked(asked) => {
                self.hear(&server, None, Some(asked), false);
                self.overasked(&server, true, asked);
            }
            Note::Delivered(share) => self.delivered(&server, share),
        }
    }

    /// Exception: a session handed over at the start never had this gateway's one decision on its rung. It
    /// gets it once, upwards only, when its server's load is freshly heard, within this gateway's part of
    /// the room. Guards against a fleet that is left at low rungs for the life of what played before.
    /// Harm: each raise costs a change of rung, which a session near its end does not earn back.
    fn settle(&mut self, id: &ServerId) {
        let waiting = |s: &Session| s.unsettled && s.playing && !s.closed && s.server.as_ref() == Some(id);
        if !self.sessions.values().any(waiting) || self.servers.get(id).is_none_or(|s| self.is_short(s)) {
            return;
        }
        let survey = self.survey();
        let own = self.own();
        let rack = self.rack_of(&self.servers[id]);
        let in_rack = |id: &ServerId| self.servers.get(id).is_some_and(|s| self.rack_of(s) == rack);
        let own_rack: f64 = own.iter().filter(|(id, _)| in_rack(id)).map(|(_, kb)| kb).sum();
        let part = |load: Load, own: f64| load.room() * (own / load.asked.max(1.0)).min(1.0);
        let Some(here) = survey.servers.get(id) else { return };
        let mut room =
            part(*here, own.get(id).copied().unwrap_or(0.0)).min(part(survey.racks[&rack], own_rack));
        let price = self.price(&survey);
        let mut raises = Vec::new();
        for (id, session) in self.sessions.iter().filter(|(_, s)| waiting(s)) {
            let fair = self.fair_rung(session, price);
            let held = self.rate(session, session.rung);
            let fits = |rung: &usize| self.rate(session, *rung) - held <= room;
            if let Some(rung) = (session.rung + 1..=fair).rev().find(fits) {
                room -= self.rate(session, rung) - held;
                raises.push((*id, rung));
            }
        }
        for (id, rung) in raises {
            let session = self.sessions.get_mut(&id).expect("found above");
            (session.rung, session.unsettled) = (rung, false);
            self.out.push(Action::Rate { id, rung });
        }
    }

    /// Exception: where delivery is short all sessions there lose far more than a rung, so own rungs go
    /// down by this gateway's part of what is missing. Guards against links and uplinks that give less
    /// than they should, titles above their rung and crowds that came at once. Harm: a short dip costs a
    /// change of rung.
    fn delivered(&mut self, id: &ServerId, share: f64) {
        if let Some(server) = self.servers.get_mut(id)
            && share.is_finite()
        {
            server.share = Some((share, self.now));
            self.cut(id, share);
        }
    }

    /// A link or uplink of which more is asked than it gives: reports tell so at once and in full, while the
    /// delivered share is smoothed and falls for seconds.
    fn overasked(&mut self, id: &ServerId, uplink: bool, asked: f64) {
        if !asked.is_finite() || asked <= OVERASKED {
            return;
        }
        let Some(server) = self.servers.get(id) else { return };
        let rack = self.rack_of(server);
        let shared = |(other, s): &(&ServerId, &Server)| *other == id || uplink && self.rack_of(s) == rack;
        let there: Vec<_> = self.servers.iter().filter(shared).map(|(id, _)| id.clone()).collect();
        there.iter().for_each(|id| self.cut(id, 1.0 / asked));
    }

    fn cut(&mut self, id: &ServerId, share: f64) {
        let (now, wait) = (self.now, self.set.see + CUT_SHOWS);
        let Some(server) = self.servers.get_mut(id) else { return };
        if share >= SHORT || now - server.cut_at < wait {
            return;
        }
        server.cut_at = now;
        let here = |s: &Session| s.playing && !s.closed && s.server.as_ref() == Some(id);
        let own: f64 = self.sessions.values().filter(|s| here(s)).map(|s| self.rate(s, s.rung)).sum();
        let mut missing = own * (1.0 - share.max(0.0) * CUT_TO);
        let mut cut = BTreeMap::new();
        while missing > 0.0 {
            // The step down that gives up least worth for each kB.
            let steps = self.sessions.iter().filter(|(_, s)| here(s)).filter_map(|(id, s)| {
                let class = &self.set.classes[s.viewing.class];
                let lower = s.rung.checked_sub(1).filter(|&rung| rung >= class.floor)?;
                let kb = self.rate(s, s.rung) - self.rate(s, lower);
                let worth = self.worth(s, s.rung) - self.worth(s, lower);
                (kb > 0.0).then_some((*id, lower, kb, worth / kb))
            });
            let Some((id, lower, kb, _)) = steps.min_by(|a, b| a.3.total_cmp(&b.3)) else { break };
            missing -= kb;
            self.sessions.get_mut(&id).expect("found above").rung = lower;
            cut.insert(id, lower);
        }
        self.out.extend(cut.into_iter().map(|(id, rung)| Action::Rate { id, rung }));
    }

    fn unit(&mut self) -> f64 {
        (self.rng.next_u64() >> 11) as f64 / (1u64 << 53) as f64
    }
}
