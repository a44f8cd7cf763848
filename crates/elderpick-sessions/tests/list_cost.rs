//! What the list of hosts costs the session lifecycle, by the number of hosts, and what it remembers of hosts.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::{Duration, Instant};

use elderpick_core::Controller;
use elderpick_core::api::*;
use elderpick_platform::journal::Listed;
use elderpick_platform::viewer::{Figures, SetUp};
use elderpick_sessions::lifecycle::{Input, Lifecycle, Output};

const MS: Micros = 1_000;
const FEW: usize = 200;
const MANY: usize = 3_200;
/// An event may cost so many times as much in a large fleet as in a small one.
const MOST_GROWTH: f64 = 1.5;
/// Events in one round; the fastest of the rounds counts, so that other work on the machine does not.
const EVENTS: usize = 300;
const ROUNDS: usize = 20;

fn listed(number: usize, state: ServerState) -> Listed {
    let entry = Entry {
        server: ServerId(format!("s-{number:05}").into()),
        zone: 0,
        kind: 0,
        cell: number % 40,
        state,
        weight: 1.0,
        started: None,
    };
    let address = SocketAddr::from((Ipv4Addr::new(127, 1, (number >> 8) as u8, number as u8), 4_000));
    Listed { entry, address }
}

fn settings() -> Settings {
    let class = Class {
        effect: Effect::Free,
        group: Group::All,
        window: 0,
        aim: 1_500 * MS,
        worth: 1.0,
        scale: 1.0,
        floor: 0,
        top: 1,
        seats: None,
    };
    Settings {
        me: 0,
        gateways: 1,
        zone: 0,
        classes: vec![class],
        rung_kb: vec![100.0, 200.0],
        rung_worth: vec![0.5, 1.0],
        cells: Some(40),
        racks: Some(40),
        rack_kb: None,
        links_kb: None,
        kb_per_weight: Some(1_000.0),
        weights: true,
        places: vec![500.0],
        see: 0,
        cold: None,
        budget: None,
        max_attempts: Some(4),
        max_retry_after: None,
        reporting: Reporting::Never,
        may_probe: false,
        subscribe: false,
    }
}

struct World {
    lifecycle: Lifecycle,
    now: Micros,
}

impl World {
    fn new(hosts: usize) -> World {
        let lifecycle = Lifecycle::new(Controller::new(7, settings()), vec!["free".into()], Some(40));
        let mut world = World { lifecycle, now: 60_000 * MS };
        let all = (0..hosts).map(|number| listed(number, ServerState::Up)).collect();
        world.take(Input::List { kind: ListKind::Full, hosts: all });
        // A session stands at some hosts, as it does in any fleet.
        for session in 1..=30 {
            world.serve(session);
        }
        world
    }

    fn take(&mut self, input: Input) -> Vec<Output> {
        let mut out = Vec::new();
        self.lifecycle.handle(self.now, input, &mut out);
        out
    }

    fn serve(&mut self, session: u64) {
        let figures = Figures { home: session as usize % 40, copies: 1, top: None, at: None };
        let set_up = SetUp {
            session,
            class: "free".into(),
            patience_ms: 3_000,
            title: "sedge".into(),
            figures,
            description: Default::default(),
        };
        let out = self.take(Input::SetUp { conn: 1, received_at: self.now, set_up });
        let sent = out.iter().find_map(|output| match output {
            Output::SetUp { server, attempt, .. } => Some((server.clone(), *attempt)),
            _ => None,
        });
        let (server, attempt) = sent.expect("there is room");
        let (attempt, description) = (Some(attempt), Default::default());
        self.take(Input::Answer { server, session, attempt, description, ended: None });
    }

    fn change(&mut self, number: usize, state: ServerState) {
        self.now += MS;
        self.take(Input::List { kind: ListKind::Changes, hosts: vec![listed(number, state)] });
        self.lifecycle.next_timer();
    }
}

fn fastest_round(hosts: usize) -> Duration {
    let mut world = World::new(hosts);
    let timed = |_| {
        let began = Instant::now();
        for event in 0..EVENTS {
            world.change(7, [ServerState::Draining, ServerState::Up][event % 2]);
        }
        began.elapsed()
    };
    (0..ROUNDS).map(timed).min().expect("rounds")
}

/// Guards against a list whose changes each cost as much as the whole fleet: a burst stopped a gateway for seconds.
#[test]
fn a_change_of_the_list_costs_the_same_in_any_fleet() {
    let (few, many) = (fastest_round(FEW), fastest_round(MANY));
    let growth = many.as_secs_f64() / few.as_secs_f64();
    println!("{EVENTS} changes: {few:?} with {FEW} hosts, {many:?} with {MANY}");
    assert!(growth <= MOST_GROWTH, "{few:?} with {FEW} hosts, {many:?} with {MANY}: {growth:.1} times");
}

/// Hosts that are counted, found by address and forgotten are the same as by a look at all.
#[test]
fn hosts_that_are_gone_are_counted_no_longer() {
    let mut world = World::new(40);
    assert_eq!(world.lifecycle.hosts(), 40);
    world.change(7, ServerState::Draining);
    world.change(8, ServerState::Gone);
    world.change(8, ServerState::Gone);
    world.change(90, ServerState::Gone);
    assert_eq!(world.lifecycle.hosts(), 39);
    world.change(8, ServerState::Up);
    assert_eq!(world.lifecycle.hosts(), 40);
    let whole = (0..10).map(|number| listed(number, ServerState::Up)).collect();
    world.take(Input::List { kind: ListKind::Full, hosts: whole });
    assert_eq!(world.lifecycle.hosts(), 10);
    // A session stands at it: it is known until that is over.
    assert!(world.lifecycle.address(&listed(20, ServerState::Up).entry.server).is_some());
    assert!(world.lifecycle.address(&listed(39, ServerState::Up).entry.server).is_none());
}
