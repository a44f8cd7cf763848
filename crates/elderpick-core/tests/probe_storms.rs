//! Probes of hundreds of gateways at one set of servers, in virtual time: each takes a little of a server's link.

mod common;

use std::cmp::Reverse;
use std::collections::{BTreeSet, BinaryHeap};

use common::*;
use elderpick_core::api::*;

const GATEWAYS: usize = 300;
const SERVERS: usize = 180;
/// Sessions that each gateway is handed at its start, and requests that it gets in a second.
const HANDED_OVER: usize = 40;
const REQUESTS: Micros = 3;
/// Servers tell a new load so often at most: what asks them oftener learns nothing.
const LOADS_PER_SECOND: f64 = 10.0;
const WINDOW: Micros = SECOND;
const BEGINS: Micros = 100 * SECOND;
/// A probe's way to a server and back, and how long one that is not answered is waited for.
const ANSWERED_IN: Micros = 2 * MS;
const TIMEOUT: Micros = 250 * MS;

/// Servers that cannot be reached for a while: the first of the list.
#[derive(Clone, Copy)]
struct Outage {
    servers: usize,
    from: Micros,
    to: Micros,
}

impl Outage {
    fn takes(&self, server: &ServerId, at: Micros) -> bool {
        (self.from..self.to).contains(&at) && (0..self.servers).any(|n| *server.0 == *format!("s{n}"))
    }
}

#[derive(Clone, PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    Request,
    /// All sessions at servers that cannot be reached are lost.
    Lost,
    Alarm(u64),
    Answer(ServerId),
    NoAnswer(ServerId),
}

fn site(me: usize) -> Settings {
    Settings {
        me,
        gateways: GATEWAYS,
        cells: Some(SERVERS),
        racks: Some(20),
        kb_per_weight: Some(1e6),
        reporting: Reporting::WhenProbed,
        may_probe: true,
        ..settings(vec![class(Effect::Free)])
    }
}

/// When this gateway's probes reach servers, over so many seconds.
fn probes_of(me: usize, seconds: Micros, outage: Outage) -> Vec<(Micros, ServerId)> {
    let mut gateway = Gateway::seeded(me as u64 + 1, site(me), in_own_cells(SERVERS));
    gateway.now = BEGINS;
    let mut due = BinaryHeap::new();
    let mut reached = Vec::new();
    let at_server = |n: usize| server(&format!("s{}", (me * 7 + n * 11) % SERVERS));
    let mut follow = |now: Micros, actions: Vec<Action>, due: &mut BinaryHeap<Reverse<(Micros, Due)>>| {
        for (token, at) in actions.iter().filter_map(alarm) {
            due.push(Reverse((at, Due::Alarm(token))));
        }
        for server in probes(&actions) {
            if outage.takes(&server, now) {
                due.push(Reverse((now + TIMEOUT, Due::NoAnswer(server))));
            } else {
                reached.push((now, server.clone()));
                due.push(Reverse((now + ANSWERED_IN, Due::Answer(server))));
            }
        }
    };
    for n in 0..HANDED_OVER {
        let id = RequestId(1_000_000 + n as u64);
        let viewing = Viewing { copies: SERVERS, ..viewing(0) };
        let actions = gateway.handle(Event::Open { id, viewing, server: at_server(n) });
        follow(BEGINS, actions, &mut due);
    }
    let pause = SECOND / REQUESTS;
    due.push(Reverse((BEGINS + pause * (me as Micros * 7 % 11) / 11, Due::Request)));
    due.push(Reverse((outage.from, Due::Lost)));
    while let Some(Reverse((at, what))) = due.pop() {
        if at >= BEGINS + seconds * SECOND {
            break;
        }
        gateway.now = at;
        let actions = match what {
            Due::Request => {
                due.push(Reverse((at + pause, Due::Request)));
                let viewing = Viewing { copies: SERVERS, title: at.to_string(), ..viewing(0) };
                let (id, actions) = gateway.request(viewing);
                let ended = sent(&actions).map(|_| [gateway.playing(id, 0), gateway.end(id, 0)].concat());
                [actions, ended.unwrap_or_default()].concat()
            }
            Due::Lost => {
                let lost = (0..HANDED_OVER).filter(|n| outage.takes(&at_server(*n), at));
                lost.flat_map(|n| {
                    let id = RequestId(1_000_000 + n as u64);
                    let (status, report) = (Status::Reset, Report::default());
                    gateway.handle(Event::Outcome { id, attempt: 0, status, closed: true, report })
                })
                .collect()
            }
            Due::Alarm(token) => gateway.handle(Event::Alarm { token }),
            Due::Answer(server) => gateway.told(&server.0, link_report(0.4)),
            Due::NoAnswer(server) => {
                let report = Report::default();
                gateway.handle(Event::Probed { server, status: Status::TimedOut, report })
            }
        };
        follow(at, actions, &mut due);
    }
    reached
}

/// Times at which probes of all gateways reach the first so many servers.
fn probes_at(servers: usize, seconds: Micros, outage: Outage) -> Vec<Micros> {
    let names: BTreeSet<_> = (0..servers).map(|n| server(&format!("s{n}"))).collect();
    let all = (0..GATEWAYS).flat_map(|me| probes_of(me, seconds, outage));
    let mut times: Vec<_> = all.filter(|(_, to)| names.contains(to)).map(|(at, _)| at).collect();
    times.sort_unstable();
    times
}

/// Most probes for each of so many servers in any second.
fn busiest(times: &[Micros], servers: usize) -> f64 {
    let from = |k: usize| times.partition_point(|at| *at < times[k] + WINDOW) - k;
    (0..times.len()).map(from).max().unwrap_or(0) as f64 / servers as f64
}

const NONE: Outage = Outage { servers: 0, from: BEGINS, to: BEGINS };

#[test]
fn gateways_that_start_together_probe_all_servers_at_once() {
    let times = probes_at(SERVERS, 6, NONE);
    let most = busiest(&times, SERVERS);
    assert!(most <= LOADS_PER_SECOND, "{most} probes a server in a second");
    // Loads are asked for all the same.
    assert!(times.len() >= SERVERS * 6, "{} probes in six seconds", times.len());
}

#[test]
fn servers_that_come_back_are_probed_by_all_gateways_at_once() {
    let outage = Outage { servers: SERVERS / 3, from: BEGINS + 5 * SECOND, to: BEGINS + 11 * SECOND };
    let times = probes_at(outage.servers, 16, outage);
    let back: Vec<_> = times.into_iter().filter(|at| *at >= outage.to).collect();
    let most = busiest(&back, outage.servers);
    assert!(most <= LOADS_PER_SECOND, "{most} probes a server in a second");
    // All together find out at once.
    let first = back.iter().filter(|at| **at < outage.to + SECOND).count();
    assert!(first >= outage.servers, "{first} probes in the first second");
}
