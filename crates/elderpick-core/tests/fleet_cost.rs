//! What events cost, by the number of servers listed.

mod common;

use std::time::{Duration, Instant};

use common::*;
use elderpick_core::api::*;

const FEW: usize = 200;
const MANY: usize = 3_200;
/// An event may cost so many times as much in a large fleet as in a small one.
const MOST_GROWTH: f64 = 1.5;
/// Cells, of which the last has no server.
const CELLS: usize = 40;
/// Events in one round; the fastest of the rounds counts, so that other work on the machine does not.
const EVENTS: usize = 400;
const ROUNDS: usize = 20;

fn listed(number: usize) -> Entry {
    Entry { cell: number % (CELLS - 1), ..entry(&format!("s{number}")) }
}

/// A gateway of a fleet whose racks hold five servers each.
fn fleet(servers: usize) -> Gateway {
    let cold = ColdRule { warm_up: 8 * SECOND, least_warmth: 0.5, multiple: 2.5, window: 1_500 * MS };
    let settings = Settings {
        gateways: 900,
        cells: Some(CELLS),
        racks: Some(servers / 5),
        rack_kb: Some(4_000.0),
        cold: Some(cold),
        ..settings(vec![class(Effect::Free)])
    };
    let mut gateway = Gateway::new(settings, (0..servers).map(listed).collect());
    gateway.now += 60 * SECOND;
    gateway
}

/// The same after each server was replaced by a new one.
fn replaced_fleet(servers: usize) -> Gateway {
    let mut gateway = fleet(servers);
    for number in 0..servers {
        replace(&mut gateway, number, number + servers);
    }
    gateway.now += 60 * SECOND;
    gateway
}

fn replace(gateway: &mut Gateway, old: usize, new: usize) {
    gateway.now += 4 * MS;
    let started = Some(gateway.now);
    let changes = [
        Entry { state: ServerState::Draining, ..listed(old) },
        Entry { started, ..listed(new) },
        Entry { state: ServerState::Gone, ..listed(old) },
    ];
    for change in changes {
        gateway.list(ListKind::Changes, vec![change]);
    }
}

fn fastest(mut gateway: Gateway, mut round: impl FnMut(&mut Gateway)) -> Duration {
    let timed = |_| {
        let began = Instant::now();
        round(&mut gateway);
        began.elapsed()
    };
    (0..ROUNDS).map(timed).min().expect("rounds")
}

/// One server drains and comes back.
fn list_events(gateway: &mut Gateway) {
    for event in 0..EVENTS {
        let state = [ServerState::Draining, ServerState::Up][event % 2];
        gateway.now += MS;
        gateway.list(ListKind::Changes, vec![Entry { state, ..listed(7) }]);
    }
}

/// Requests for titles of one cell, of which each is placed or none; each session ends before the next begins.
fn requests(gateway: &mut Gateway, are_placed: bool, cell: impl Fn(usize) -> usize) {
    for event in 0..EVENTS {
        gateway.now += MS;
        let (id, actions) = gateway.request(Viewing { home: cell(event), copies: 1, ..viewing(0) });
        let is_placed = actions.iter().any(|action| matches!(action, Action::Send { .. }));
        assert_eq!(is_placed, are_placed);
        if is_placed {
            gateway.end(id, 0);
        }
    }
}

fn grows_no_more(what: &str, round: impl Fn(&mut Gateway)) {
    let few = fastest(fleet(FEW), &round);
    let many = fastest(fleet(MANY), &round);
    let replaced = fastest(replaced_fleet(MANY), &round);
    let each = |time: Duration| time.as_secs_f64() * 1e6 / EVENTS as f64;
    let figures = [each(few), each(many), each(replaced)];
    println!("{what}: {figures:.2?} us with {FEW} servers, {MANY}, and {MANY} that were all replaced");
    assert!(figures[1].max(figures[2]) <= figures[0] * MOST_GROWTH, "{what}: {figures:.2?} us");
}

/// Guards against a list whose changes each cost as much as the whole fleet: a burst stopped a gateway for seconds.
#[test]
fn a_change_of_the_list_costs_the_same_in_any_fleet() {
    grows_no_more("change of the list", list_events);
}

#[test]
fn a_placed_request_costs_the_same_in_any_fleet() {
    grows_no_more("placed request", |gateway| requests(gateway, true, |event| event * 7 % (CELLS - 1)));
}

/// Guards against requests that no server can take, and that cost a look at every server: hundreds stopped a gateway.
#[test]
fn a_request_without_a_holder_costs_the_same_in_any_fleet() {
    grows_no_more("request without a holder", |gateway| requests(gateway, false, |_| CELLS - 1));
}

/// Guards against servers that have left and are held for as long as the process lives.
#[test]
fn replaced_servers_are_forgotten() {
    const LISTED: usize = 100;
    const REPLACEMENTS: usize = 100_000;
    let mut gateway = fleet(LISTED);
    let mut most = 0;
    for number in 0..REPLACEMENTS {
        replace(&mut gateway, number, number + LISTED);
        most = most.max(gateway.core.server_count());
    }
    // Of 250 a second those of the last 30 s are remembered.
    assert!(most <= LISTED + 30 * 250 + 1, "{most} servers are held");
    gateway.now += 60 * SECOND;
    replace(&mut gateway, REPLACEMENTS, REPLACEMENTS + LISTED);
    assert_eq!(gateway.core.server_count(), LISTED + 1);
}
