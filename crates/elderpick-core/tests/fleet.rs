//! Hundreds of gateways and one set of servers, in virtual time: what is harmless in one gateway and not in all.

mod common;

use std::collections::BTreeMap;

use common::*;
use elderpick_core::Controller;
use elderpick_core::api::*;

const SERVERS: usize = 200;
const RULE: ColdRule =
    ColdRule { warm_up: 12 * SECOND, least_warmth: 0.4, multiple: 2.5, window: 1_500 * MS };
const PLACES: f64 = 574.0;
/// What a server bears in a window when it has just started, by the rule's own words.
const BUDGET: f64 = PLACES / 12.0 * 0.4 * 2.5 * 1.5;

fn site(me: usize, gateways: usize) -> Settings {
    Settings {
        me,
        gateways,
        cells: Some(SERVERS),
        racks: Some(20),
        kb_per_weight: Some(1e6),
        places: vec![PLACES],
        cold: Some(RULE),
        ..settings(vec![class(Effect::Free)])
    }
}

/// Six in ten of the servers start within seven seconds, from 100 s on.
fn renewed() -> Vec<Entry> {
    let started =
        |n: usize| (n % 10 < 6).then(|| 100 * SECOND + n as Micros * 7 * SECOND / SERVERS as Micros);
    let entries = in_own_cells(SERVERS).into_iter().enumerate();
    entries.map(|(n, entry)| Entry { started: started(n), ..entry }).collect()
}

/// Sends of all gateways to each server; `each` is how many requests the gateway has in a second. All have the list
/// from 107 s on, and those that `restart` names begin again, knowing nothing, at 109 s.
fn sends(
    gateways: usize,
    seconds: Micros,
    each: impl Fn(usize) -> f64,
    restart: impl Fn(usize) -> bool,
) -> BTreeMap<ServerId, Vec<Micros>> {
    let mut sends: BTreeMap<ServerId, Vec<Micros>> = BTreeMap::new();
    for me in 0..gateways {
        let new = |began, at| {
            let set = site(me, gateways);
            let mut gateway = Gateway { core: Controller::new(me as u64 + 1, set), now: began, next: 1 };
            gateway.list(ListKind::Restored, vec![]);
            gateway.now = at;
            gateway.list(ListKind::Full, renewed());
            gateway
        };
        let mut gateway = new(100 * SECOND, 107 * SECOND);
        let mut restarts = restart(me);
        let pause = (1e6 / each(me)) as Micros;
        // Each at a phase of its own.
        let mut at = 107 * SECOND + pause * (me as Micros * 7 % 11) / 11;
        while at < (107 + seconds) * SECOND {
            if restarts && at >= 109 * SECOND {
                restarts = false;
                gateway = new(at, at);
            }
            gateway.now = at;
            let viewing = Viewing { top: 0, copies: SERVERS, title: at.to_string(), ..viewing(0) };
            let (id, actions) = gateway.request(viewing);
            if let Some(server) = sent(&actions) {
                sends.entry(server).or_default().push(at);
                gateway.playing(id, 0);
            }
            at += pause;
        }
    }
    sends.values_mut().for_each(|times| times.sort_unstable());
    sends
}

fn heaviest(times: &[Micros]) -> usize {
    let within = |k: usize| times[k..].iter().take_while(|at| **at < times[k] + RULE.window).count();
    (0..times.len()).map(within).max().unwrap_or(0)
}

/// Sends to servers that started, in a window on the average, and the most in any.
fn to_cold(sends: &BTreeMap<ServerId, Vec<Micros>>, seconds: Micros) -> (f64, usize) {
    let cold: Vec<_> = renewed().into_iter().filter(|e| e.started.is_some()).map(|e| e.server).collect();
    let times: Vec<_> = cold.iter().filter_map(|id| sends.get(id)).collect();
    let all: usize = times.iter().map(|times| times.len()).sum();
    let windows = (seconds * SECOND) as f64 / RULE.window as f64;
    (all as f64 / windows / cold.len() as f64, times.iter().map(|times| heaviest(times)).max().unwrap_or(0))
}

/// Found on days when most servers are replaced: turns of a few milliseconds went round all gateways, and new servers
/// had hardly a session until they were warm.
#[test]
fn new_servers_of_a_large_fleet_are_used_within_their_pace() {
    for gateways in [300, 350] {
        // Some see several times the mean of three a second.
        let sends = sends(gateways, 5, |me| if me % 10 == 0 { 12.0 } else { 2.0 }, |_| false);
        let (mean, most) = to_cold(&sends, 5);
        assert!(most as f64 <= BUDGET, "{most} in a window of {BUDGET}");
        // 3 a second from each are 6.75 in a window on each server, were they spread evenly.
        assert!(mean >= 2.5, "{mean} in the mean window");
    }
}

/// Far more than the fleet was planned for, and nine in ten gateways begin again in the middle of it.
#[test]
fn no_burst_and_no_restart_takes_new_servers_beyond_their_pace() {
    let sends = sends(300, 5, |me| if me % 3 == 0 { 60.0 } else { 15.0 }, |me| me % 10 != 0);
    let (mean, most) = to_cold(&sends, 5);
    assert!(most as f64 <= BUDGET, "{most} in a window of {BUDGET}");
    assert!(mean >= BUDGET / 6.0, "{mean} in the mean window");
}

/// Guards against a fleet that passes for full since a server that started anew as it left reports a little load.
#[test]
fn the_last_report_of_a_server_that_has_left_closes_no_other() {
    let settings = Settings { gateways: 3, racks: Some(4), ..settings(vec![class(Effect::Free)]) };
    let mut gateway = Gateway::new(settings, in_own_cells(4));
    let at_first = Viewing { home: 0, copies: 1, ..viewing(0) };
    let (id, actions) = gateway.request(at_first);
    assert!(actions.iter().any(|action| matches!(action, Action::Send { .. })));
    let left = Entry { state: ServerState::Gone, started: Some(gateway.now), ..entry("s0") };
    gateway.list(ListKind::Changes, vec![left]);
    gateway.handle(Event::Outcome {
        id,
        attempt: 0,
        status: Status::Ok,
        closed: true,
        report: link_report(0.5),
    });
    let (_, actions) = gateway.request(Viewing { home: 1, copies: 3, ..viewing(0) });
    assert!(actions.iter().any(|action| matches!(action, Action::Send { .. })), "{actions:?}");
}
