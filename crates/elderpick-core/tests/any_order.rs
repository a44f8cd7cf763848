//! Arbitrary legal orders of events: the rules hold on the actions.

mod common;

use std::collections::{BTreeMap, VecDeque};

use common::*;
use elderpick_core::api::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};

const SERVERS: usize = 6;
const WINDOW: Micros = 5 * SECOND;

#[derive(Clone, Debug)]
enum Step {
    Wait(Micros),
    Ask { class: usize, title: u8, top: usize },
    Answer { which: usize, status: usize },
    Play { which: usize },
    Leave { which: usize },
    List { server: usize, state: usize, restarted: bool },
    Load { server: usize, asked: f64 },
    Short { which: usize, share: f64 },
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        3 => (1..2_000i64).prop_map(|ms| Step::Wait(ms * MS)),
        5 => (0..3usize, 0..2u8, 0..3usize).prop_map(|(class, title, top)| Step::Ask { class, title, top }),
        4 => (any::<usize>(), 0..7usize).prop_map(|(which, status)| Step::Answer { which, status }),
        3 => any::<usize>().prop_map(|which| Step::Play { which }),
        1 => any::<usize>().prop_map(|which| Step::Leave { which }),
        1 => (0..SERVERS, 0..3usize, any::<bool>())
            .prop_map(|(server, state, restarted)| Step::List { server, state, restarted }),
        1 => (0..SERVERS, 0.0..1.2f64).prop_map(|(server, asked)| Step::Load { server, asked }),
        1 => (any::<usize>(), 0.0..1.0f64).prop_map(|(which, share)| Step::Short { which, share }),
    ]
}

/// What the outside knows of a request.
struct Held {
    class: usize,
    title: u8,
    top: usize,
    deadline: Micros,
    attempts: usize,
    out: Option<ServerId>,
    playing: bool,
    answered: bool,
    left: bool,
    may_have_run: bool,
}

struct World {
    gateway: Gateway,
    held: BTreeMap<RequestId, Held>,
    states: Vec<ServerState>,
    started: Vec<Option<Micros>>,
    alarms: Vec<(Micros, u64)>,
    taken: VecDeque<Micros>,
    extras: VecDeque<Micros>,
    cold_sends: Vec<(usize, Micros)>,
}

const STATUSES: [Status; 7] = [
    Status::Ok,
    Status::Failed,
    Status::Full,
    Status::TimedOut,
    Status::ConnectError,
    Status::Reset,
    Status::Cancelled,
];

impl World {
    fn new() -> Self {
        let classes = vec![
            class(Effect::Free),
            Class { floor: 1, seats: Some(2), ..class(Effect::SingleShot) },
            Class { window: SECOND, ..class(Effect::Guarded) },
        ];
        let set = Settings {
            cold: Some(ColdRule { warm_up: 10 * SECOND, least_warmth: 0.5, multiple: 2.0, window: SECOND }),
            budget: Some(BudgetRule { free: 2.0, share: 0.2, window: WINDOW }),
            max_attempts: Some(3),
            ..settings(classes)
        };
        let servers = in_own_cells(SERVERS);
        World {
            gateway: Gateway::new(set, servers),
            held: BTreeMap::new(),
            states: vec![ServerState::Up; SERVERS],
            started: vec![None; SERVERS],
            alarms: Vec::new(),
            taken: VecDeque::new(),
            extras: VecDeque::new(),
            cold_sends: Vec::new(),
        }
    }

    fn number(server: &ServerId) -> usize {
        server.0[1..].parse().expect("servers are numbered")
    }

    /// Checks each action against the rules and carries it out.
    fn check(&mut self, actions: Vec<Action>) {
        let now = self.gateway.now;
        for action in actions {
            match action {
                Action::Rate { id, rung } => {
                    let held = &self.held[&id];
                    assert!(rung <= held.top, "a rung above the viewer's");
                    assert!(held.class != 1 || rung >= 1, "a rung under the floor");
                }
                Action::Send { id, server, timeout } => self.check_send(now, id, server, timeout),
                Action::Refuse { id, .. } => {
                    let held = self.held.get_mut(&id).expect("refused what was asked");
                    assert!(
                        !held.answered && held.out.is_none(),
                        "a second answer, or one with an attempt out"
                    );
                    assert!(held.class != 1 || !held.may_have_run, "refused what may have run");
                    assert!(now <= held.deadline, "too late");
                    held.answered = true;
                }
                Action::Fail { id } => {
                    let held = self.held.get_mut(&id).expect("failed what was asked");
                    assert!(!held.answered, "a second answer");
                    assert!(now <= held.deadline, "too late");
                    held.answered = true;
                }
                Action::Alarm { token, at } => self.alarms.push((at, token)),
                Action::Probe { .. } | Action::Subscribe | Action::Fetch => {
                    panic!("not allowed here: {action:?}")
                }
            }
        }
    }

    fn check_send(&mut self, now: Micros, id: RequestId, server: ServerId, timeout: Micros) {
        let n = Self::number(&server);
        assert_eq!(self.states[n], ServerState::Up, "sent to a server that drains or is gone");
        let seated = |h: &&Held| h.class == 1 && h.out.is_some();
        let title = self.held[&id].title;
        if self.held[&id].class == 1 {
            let seats = self.held.values().filter(seated).filter(|h| h.title == title).count();
            assert!(seats < 2, "more sessions than seats");
        }
        let held = self.held.get_mut(&id).expect("sent what was asked");
        assert!(held.out.is_none(), "two attempts out");
        assert!(!held.answered && !held.left, "sent after its end");
        assert!(held.class != 1 || !held.may_have_run, "paid for twice");
        assert!(now + timeout <= held.deadline, "out beyond the deadline");
        if held.attempts > 0 {
            self.extras.push_back(now);
            let within = |at: &&Micros| **at >= now - WINDOW;
            let extras = self.extras.iter().filter(within).count() as f64;
            let taken = self.taken.iter().filter(|&&at| at > now - WINDOW).count() as f64;
            assert!(extras <= 2.0 + 0.2 * taken, "over the budget");
        }
        held.attempts += 1;
        assert!(held.attempts <= 3, "more attempts than allowed");
        held.out = Some(server);
        if self.started[n].is_some_and(|at| now - at < 10 * SECOND) {
            // 20 places over 10 s at warmth .5, twice: two a second.
            let recent = self.cold_sends.iter().filter(|&&(s, at)| s == n && at > now - SECOND).count();
            assert!(recent < 2, "a cold server is pushed over");
            self.cold_sends.push((n, now));
        }
    }

    fn event(&mut self, event: Event) {
        let actions = self.gateway.handle(event);
        self.check(actions);
    }

    fn wait(&mut self, until: Micros) {
        loop {
            self.alarms.sort();
            match self.alarms.first().copied() {
                Some((at, token)) if at <= until => {
                    self.alarms.remove(0);
                    self.gateway.now = at.max(self.gateway.now);
                    self.event(Event::Alarm { token });
                }
                _ => break,
            }
        }
        self.gateway.now = until;
        for held in self.held.values() {
            let owed = !held.answered && !held.left && !held.playing;
            assert!(!owed || held.deadline > until, "a request went unanswered");
        }
    }

    /// The request that a step means, among those for which `fits` holds.
    fn pick(&self, which: usize, fits: impl Fn(&Held) -> bool) -> Option<RequestId> {
        let all: Vec<_> = self.held.iter().filter(|(_, h)| fits(h)).map(|(id, _)| *id).collect();
        (!all.is_empty()).then(|| all[which % all.len()])
    }

    fn step(&mut self, step: Step) {
        let now = self.gateway.now;
        match step {
            Step::Wait(time) => self.wait(now + time),
            Step::Ask { class, title, top } => {
                let top = if class == 1 { top.max(1) } else { top };
                let id = RequestId(self.held.len() as u64 + 1);
                let held = Held {
                    class,
                    title,
                    top,
                    deadline: now + 3 * SECOND,
                    attempts: 0,
                    out: None,
                    playing: false,
                    answered: false,
                    left: false,
                    may_have_run: false,
                };
                self.held.insert(id, held);
                self.taken.push_back(now);
                let viewing = Viewing { title: title.to_string(), top, ..viewing(class) };
                self.event(Event::Request { id, viewing });
                let held = &self.held[&id];
                assert!(held.out.is_some() || held.answered, "held back without an attempt or an answer");
            }
            Step::Answer { which, status } => {
                let Some(id) = self.pick(which, |h| h.out.is_some()) else { return };
                let held = self.held.get_mut(&id).expect("picked from those held");
                let status = STATUSES[status];
                let closed = held.playing || held.answered || held.left || status == Status::Ok;
                held.may_have_run |= !matches!(status, Status::Full | Status::ConnectError);
                held.out = None;
                held.playing = false;
                held.answered |= closed;
                let attempt = held.attempts - 1;
                self.event(Event::Outcome { id, attempt, status, closed, report: Report::default() });
                let held = &self.held[&id];
                assert!(held.out.is_some() || held.answered || held.left, "held back after an outcome");
            }
            Step::Play { which } => {
                let Some(id) = self.pick(which, |h| h.out.is_some() && !h.playing && !h.answered) else {
                    return;
                };
                let held = self.held.get_mut(&id).expect("picked from those held");
                held.playing = true;
                let attempt = held.attempts - 1;
                self.event(Event::Playing { id, attempt });
            }
            Step::Leave { which } => {
                let Some(id) = self.pick(which, |h| !h.answered && !h.left && !h.playing) else { return };
                self.held.get_mut(&id).expect("picked from those held").left = true;
                self.event(Event::Gone { id });
            }
            Step::List { server, state, restarted } => {
                self.states[server] = [ServerState::Up, ServerState::Draining, ServerState::Gone][state];
                if restarted {
                    self.started[server] = Some(now);
                }
                let (state, started) = (self.states[server], self.started[server]);
                let entry = Entry { cell: server, state, started, ..entry(&format!("s{server}")) };
                self.event(Event::List { kind: ListKind::Changes, entries: vec![entry] });
            }
            Step::Load { server: n, asked } => {
                let (server, status) = (server(&format!("s{n}")), Status::Ok);
                self.event(Event::Probed { server, status, report: link_report(asked) });
            }
            Step::Short { which, share } => {
                let Some(id) = self.pick(which, |h| h.playing) else { return };
                let server = self.held[&id].out.clone().expect("what plays has a server");
                self.event(Event::Noted { id, server, note: Note::Delivered(share) });
            }
        }
    }
}

proptest! {
    #![proptest_config(Config {
        cases: 400,
        rng_seed: RngSeed::Fixed(20_261_201),
        failure_persistence: None,
        ..Config::default()
    })]

    #[test]
    fn the_rules_hold_in_any_order_of_events(steps in prop::collection::vec(step(), 1..160)) {
        let mut world = World::new();
        for step in steps {
            world.step(step);
        }
        let end = world.gateway.now + 10 * SECOND;
        world.wait(end);
    }
}
