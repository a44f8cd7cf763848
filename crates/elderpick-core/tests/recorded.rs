//! Decisions on recorded sequences of events are the same, action for action, whatever the text of the module is.
//!
//! A change that means to decide otherwise changes the digests below, which the failing test prints.

mod common;

use std::collections::{BTreeMap, BTreeSet};

use common::*;
use elderpick_core::api::*;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{RngCore, SeedableRng};

const STEPS: usize = 6_000;
/// Steps whose actions share a digest.
const PART: usize = 1_500;

/// The 64-bit FNV-1a hash, which is the same on every machine.
const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0100_0000_01b3;

const STATUSES: [Status; 8] = [
    Status::Ok,
    Status::Failed,
    Status::Full,
    Status::TimedOut,
    Status::ConnectError,
    Status::Reset,
    Status::Cancelled,
    Status::Ignored,
];

/// What a sequence is made of.
#[derive(Clone)]
struct Shape {
    settings: Settings,
    servers: usize,
    /// The least load that a report tells, as a share of the link.
    least_load: f64,
    /// Notes on sessions that play, for each twenty steps.
    notes: usize,
}

/// A session as the sequence sees it.
#[derive(Default)]
struct Open {
    attempts: usize,
    server: Option<ServerId>,
    playing: bool,
}

struct Sequence {
    gateway: Gateway,
    rng: ChaCha8Rng,
    open: BTreeMap<RequestId, Open>,
    probed: Vec<ServerId>,
    alarms: BTreeSet<(Micros, u64)>,
    asked: u64,
    shape: Shape,
    digest: u64,
}

impl Sequence {
    fn new(shape: Shape) -> Sequence {
        Sequence {
            gateway: Gateway::new(shape.settings.clone(), in_own_cells(shape.servers)),
            rng: ChaCha8Rng::seed_from_u64(20_261_202),
            open: BTreeMap::new(),
            probed: Vec::new(),
            alarms: BTreeSet::new(),
            asked: 0,
            shape,
            digest: FNV_OFFSET,
        }
    }

    fn below(&mut self, end: usize) -> usize {
        (self.rng.next_u64() % end as u64) as usize
    }

    fn unit(&mut self) -> f64 {
        (self.rng.next_u64() >> 11) as f64 / (1_u64 << 53) as f64
    }

    fn record(&mut self, text: &str) {
        for byte in text.bytes() {
            self.digest = (self.digest ^ u64::from(byte)).wrapping_mul(FNV_PRIME);
        }
    }

    fn event(&mut self, event: Event) {
        for action in self.gateway.handle(event) {
            self.record(&format!("{} {action:?}\n", self.gateway.now));
            match action {
                Action::Send { id, server, .. } => {
                    let open = self.open.entry(id).or_default();
                    open.attempts += 1;
                    open.server = Some(server);
                }
                Action::Refuse { id, .. } => drop(self.open.remove(&id)),
                Action::Fail { id } if !self.open[&id].playing => drop(self.open.remove(&id)),
                Action::Alarm { token, at } => drop(self.alarms.insert((at, token))),
                Action::Probe { server } => self.probed.push(server),
                Action::Rate { .. } | Action::Fail { .. } | Action::Subscribe | Action::Fetch => {}
            }
        }
    }

    fn wait(&mut self, time: Micros) {
        let until = self.gateway.now + time;
        while let Some((at, token)) = self.alarms.first().copied().filter(|(at, _)| *at <= until) {
            self.alarms.pop_first();
            self.gateway.now = at.max(self.gateway.now);
            self.event(Event::Alarm { token });
        }
        self.gateway.now = until;
    }

    fn pick(&mut self, fits: impl Fn(&Open) -> bool) -> Option<(RequestId, ServerId)> {
        let fits = |(id, open): (&RequestId, &Open)| {
            let server = open.server.clone().filter(|_| fits(open))?;
            Some((*id, server))
        };
        let all: Vec<_> = self.open.iter().filter_map(fits).collect();
        let chosen = self.below(all.len().max(1));
        all.into_iter().nth(chosen)
    }

    fn report(&mut self) -> Report {
        let least = self.shape.least_load;
        let link = (self.below(3) > 0).then(|| least + self.unit() * (1.3 - least));
        let uplink = (self.below(4) == 0).then(|| least + self.unit() * (1.3 - least));
        Report { link, uplink, streams: None }
    }

    fn ask(&mut self) {
        self.asked += 1;
        let (class, title) = (self.below(3), self.below(4).to_string());
        let (home, copies, top) = (self.below(8), 1 + self.below(8), self.below(3));
        let left = 200 * MS + self.below(3_000) as Micros * MS;
        let viewing = Viewing { title, left, home, copies, top, ..viewing(class) };
        let id = RequestId(self.asked);
        self.open.insert(id, Open::default());
        if self.below(12) > 0 {
            return self.event(Event::Request { id, viewing });
        }
        let server = server(&format!("s{}", self.below(self.shape.servers)));
        self.open.insert(id, Open { attempts: 1, server: Some(server.clone()), playing: true });
        self.event(Event::Open { id, viewing, server });
    }

    fn outcome(&mut self) {
        let Some((id, _)) = self.pick(|_| true) else { return };
        let status = if self.below(3) > 0 { Status::Ok } else { STATUSES[self.below(STATUSES.len())] };
        let report = self.report();
        let open = self.open.get_mut(&id).expect("picked");
        let (attempt, closed) = (open.attempts - 1, open.playing || status == Status::Ok);
        open.server = None;
        if closed {
            self.open.remove(&id);
        }
        self.event(Event::Outcome { id, attempt, status, closed, report });
    }

    fn list(&mut self) {
        let state = match self.below(8) {
            0 => ServerState::Draining,
            1 => ServerState::Gone,
            _ => ServerState::Up,
        };
        let cell = self.below(self.shape.servers);
        let started = (self.below(4) == 0).then_some(self.gateway.now);
        let weight = 0.5 + self.unit();
        let entry = Entry { zone: cell % 2, cell, state, started, weight, ..entry(&format!("s{cell}")) };
        let kind = if self.below(10) == 0 { ListKind::Failed } else { ListKind::Changes };
        let entries = if kind == ListKind::Failed { vec![] } else { vec![entry] };
        self.event(Event::List { kind, entries });
    }

    fn note(&mut self) {
        let Some((id, server)) = self.pick(|open| open.playing) else { return };
        let note = match self.below(5) {
            0 | 1 => Note::Delivered(self.unit() * 1.1),
            2 => Note::LinkAsked(self.unit() * 1.6),
            3 => Note::UplinkAsked(self.unit() * 1.6),
            _ => Note::Rung(self.below(4)),
        };
        self.event(Event::Noted { id, server, note });
    }

    fn probed(&mut self) {
        let Some(server) = self.probed.pop() else { return };
        let status = if self.below(4) > 0 { Status::Ok } else { STATUSES[self.below(STATUSES.len())] };
        let report = self.report();
        self.event(Event::Probed { server, status, report });
    }

    fn step(&mut self) {
        match self.below(20 + self.shape.notes) {
            0..=3 => {
                let time = self.below(800) as Micros * MS;
                self.wait(time);
            }
            4..=7 => self.ask(),
            8..=12 => self.outcome(),
            13 | 14 => {
                let Some((id, _)) = self.pick(|open| !open.playing) else { return };
                let open = self.open.get_mut(&id).expect("picked");
                open.playing = true;
                let attempt = open.attempts - 1;
                self.event(Event::Playing { id, attempt });
            }
            15 => {
                let Some((id, _)) = self.pick(|open| !open.playing) else { return };
                self.event(Event::Gone { id });
            }
            16 => self.list(),
            17 | 18 => self.probed(),
            _ => self.note(),
        }
    }

    fn digests(mut self) -> Vec<u64> {
        (1..=STEPS)
            .filter_map(|step| {
                self.step();
                (step % PART == 0).then_some(self.digest)
            })
            .collect()
    }
}

fn classes() -> Vec<Class> {
    vec![
        class(Effect::Free),
        Class { floor: 1, seats: Some(9), ..class(Effect::SingleShot) },
        Class { group: Group::Zone, scale: 1.5, worth: 2.0, ..class(Effect::Guarded) },
    ]
}

fn one_gateway() -> Shape {
    Shape { settings: settings(classes()), servers: 24, least_load: 0.0, notes: 1 }
}

fn fleet() -> Shape {
    let settings = Settings {
        me: 7,
        gateways: 40,
        cold: Some(ColdRule { warm_up: 10 * SECOND, least_warmth: 0.5, multiple: 2.0, window: SECOND }),
        budget: Some(BudgetRule { free: 5.0, share: 0.2, window: 5 * SECOND }),
        max_attempts: Some(4),
        places: vec![80.0],
        reporting: Reporting::WhenProbed,
        may_probe: true,
        ..settings(classes())
    };
    Shape { settings, ..one_gateway() }
}

fn loaded_fleet() -> Shape {
    let settings = Settings { gateways: 4, kb_per_weight: Some(6_000.0), ..fleet().settings };
    Shape { settings, servers: 8, least_load: 0.6, notes: 1 }
}

fn short_delivery() -> Shape {
    let settings = Settings { gateways: 4, kb_per_weight: Some(6_000.0), ..fleet().settings };
    Shape { settings, servers: 4, least_load: 0.0, notes: 16 }
}

fn fleet_that_tells_little() -> Shape {
    let settings = Settings {
        gateways: 3,
        cells: None,
        kb_per_weight: None,
        links_kb: Some(20_000.0),
        rack_kb: Some(3_000.0),
        weights: false,
        max_retry_after: None,
        reporting: Reporting::Never,
        may_probe: true,
        subscribe: true,
        ..settings(classes())
    };
    Shape { settings, ..one_gateway() }
}

#[test]
fn recorded_sequences_are_decided_as_before() {
    let recorded: [(Shape, [u64; STEPS / PART]); 5] = [
        (one_gateway(), [0x1b309915f393aef5, 0xe00562fd29be4ce9, 0x2a1925ad954c5b8c, 0xda5387d0c94d422f]),
        (fleet(), [0x8700c33f2bb2c82f, 0x399958e3aac1eb79, 0xea7970566e92d386, 0xcced64ba0d848f46]),
        (loaded_fleet(), [0xdf8d06f3a9fa1e5d, 0x121377ad90414dce, 0xf94f9e64545fec46, 0x911c2291b2aa8123]),
        (short_delivery(), [0xb2b12dc4876f9ee0, 0x15a4ec567206942c, 0x4f0312c36d16c4c7, 0xffc264aec03891c5]),
        (
            fleet_that_tells_little(),
            [0xb76eb7c9401b40ac, 0xa2980d482f35c5be, 0x48468a6a81cb1277, 0x43424bb708824a47],
        ),
    ];
    let decided: Vec<_> = recorded.iter().map(|(shape, _)| Sequence::new(shape.clone()).digests()).collect();
    let before: Vec<_> = recorded.iter().map(|(_, digests)| digests.to_vec()).collect();
    assert_eq!(decided, before);
}
