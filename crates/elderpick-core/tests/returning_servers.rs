//! How soon a gateway uses servers again that were out of reach, in virtual time, whatever the size of its fleet.

mod common;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

use common::*;
use elderpick_core::api::*;

const BEGINS: Micros = 100 * SECOND;
/// The outage begins so long behind the start.
const QUIET: Micros = 5 * SECOND;
/// How long is looked at behind the return.
const OBSERVED: Micros = 20 * SECOND;
/// A message's way to a server and back, and how long an answer to a probe is waited for.
const ANSWERED_IN: Micros = 2 * MS;
const PROBE_TIMEOUT: Micros = 250 * MS;
const SESSION_LASTS: Micros = SECOND;
/// A server that is back is used within this time where requests want it.
const USED_WITHIN: Micros = 3 * SECOND;
/// What a probe takes is nothing at so many a second.
const LOADS_PER_SECOND: f64 = 10.0;

/// What becomes of what is sent to servers that are out.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum Outage {
    Silent,
    Refused,
}

#[derive(Clone, Copy, Debug)]
struct Case {
    gateways: usize,
    servers: usize,
    /// The first so many are out.
    out: usize,
    outage: Outage,
    lasts: Micros,
    requests_per_second: Micros,
}

impl Case {
    fn returns(&self) -> Micros {
        BEGINS + QUIET + self.lasts
    }

    fn is_out(&self, server: &ServerId, at: Micros) -> bool {
        let out = (0..self.out).any(|n| *server.0 == *format!("s{n}"));
        out && (BEGINS + QUIET..self.returns()).contains(&at)
    }

    fn settings(&self, me: usize) -> Settings {
        Settings {
            me,
            gateways: self.gateways,
            cells: Some(self.servers),
            kb_per_weight: Some(1e9),
            reporting: Reporting::WhenProbed,
            may_probe: true,
            max_attempts: Some(4),
            ..settings(vec![class(Effect::Free)])
        }
    }
}

#[derive(Clone, PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    Request,
    Probed(ServerId, bool),
    Attempted(RequestId, usize, Option<bool>),
    Over(RequestId, usize),
    Alarm(u64),
}

/// What one gateway did behind the return.
#[derive(Default)]
struct Seen {
    /// When the first session was sent to each server that was out, counted from the return.
    first: BTreeMap<ServerId, Micros>,
    /// Requests and sessions in each second.
    asked: Vec<usize>,
    served: Vec<usize>,
    /// When probes reached servers that were out, counted from the return.
    probes: Vec<Micros>,
}

struct Trial {
    case: Case,
    gateway: Gateway,
    due: BinaryHeap<Reverse<(Micros, Due)>>,
    seen: Seen,
}

impl Trial {
    fn follow(&mut self, actions: &[Action], sends: &mut BTreeMap<RequestId, usize>) {
        let (now, returns) = (self.gateway.now, self.case.returns());
        for (token, at) in actions.iter().filter_map(alarm) {
            self.due.push(Reverse((at, Due::Alarm(token))));
        }
        for action in actions {
            match action {
                Action::Probe { server } => {
                    let out = self.case.is_out(server, now);
                    let after = match self.case.outage {
                        Outage::Silent if out => PROBE_TIMEOUT,
                        _ => ANSWERED_IN,
                    };
                    if now >= returns && (0..self.case.out).any(|n| *server.0 == *format!("s{n}")) {
                        self.seen.probes.push(now - returns);
                    }
                    self.due.push(Reverse((now + after, Due::Probed(server.clone(), !out))));
                }
                Action::Send { id, server, timeout } => {
                    let attempt = *sends.entry(*id).and_modify(|sent| *sent += 1).or_insert(0);
                    let (after, answered) = match (self.case.is_out(server, now), self.case.outage) {
                        (false, _) => (ANSWERED_IN, Some(true)),
                        (true, Outage::Silent) => (*timeout, None),
                        (true, Outage::Refused) => (ANSWERED_IN, Some(false)),
                    };
                    if now >= returns && !self.seen.first.contains_key(server) {
                        self.seen.first.insert(server.clone(), now - returns);
                    }
                    self.due.push(Reverse((now + after, Due::Attempted(*id, attempt, answered))));
                }
                _ => {}
            }
        }
    }

    fn second(&self) -> Option<usize> {
        usize::try_from((self.gateway.now - self.case.returns()).div_euclid(SECOND)).ok()
    }

    fn step(&mut self, due: Due) -> Vec<Action> {
        let second = self.second();
        let count = |counts: &mut Vec<usize>| {
            if let Some(second) = second {
                counts.resize(counts.len().max(second + 1), 0);
                counts[second] += 1;
            }
        };
        match due {
            Due::Request => {
                let pause = SECOND / self.case.requests_per_second;
                self.due.push(Reverse((self.gateway.now + pause, Due::Request)));
                count(&mut self.seen.asked);
                let title = self.gateway.now.to_string();
                self.gateway.request(Viewing { copies: self.case.servers, title, ..viewing(0) }).1
            }
            Due::Probed(server, true) => self.gateway.told(&server.0, link_report(0.0)),
            Due::Probed(server, false) => {
                let status = match self.case.outage {
                    Outage::Silent => Status::TimedOut,
                    Outage::Refused => Status::ConnectError,
                };
                self.gateway.handle(Event::Probed { server, status, report: Report::default() })
            }
            Due::Attempted(id, attempt, Some(true)) => {
                count(&mut self.seen.served);
                self.due.push(Reverse((self.gateway.now + SESSION_LASTS, Due::Over(id, attempt))));
                self.gateway.playing(id, attempt)
            }
            Due::Attempted(id, attempt, Some(false)) => {
                self.gateway.outcome(id, attempt, Status::ConnectError)
            }
            Due::Attempted(id, attempt, None) => self.gateway.outcome(id, attempt, Status::TimedOut),
            Due::Over(id, attempt) => self.gateway.end(id, attempt),
            Due::Alarm(token) => self.gateway.handle(Event::Alarm { token }),
        }
    }
}

/// Plays one of the gateways, by itself: each decides alone.
fn play(case: Case, me: usize) -> Seen {
    let mut gateway = Gateway::seeded(me as u64 + 1, case.settings(me), in_own_cells(case.servers));
    gateway.now = BEGINS;
    let phase = SECOND / case.requests_per_second * (me as Micros % 17) / 17;
    let due = BinaryHeap::from([Reverse((BEGINS + phase, Due::Request))]);
    let mut trial = Trial { case, gateway, due, seen: Seen::default() };
    let mut sends = BTreeMap::new();
    while let Some(Reverse((at, due))) = trial.due.pop() {
        if at >= case.returns() + OBSERVED {
            break;
        }
        trial.gateway.now = at;
        let actions = trial.step(due);
        trial.follow(&actions, &mut sends);
    }
    trial.seen
}

fn share_served(seen: &Seen, seconds: std::ops::Range<usize>) -> f64 {
    let sum = |counts: &[usize]| counts.iter().take(seconds.end).skip(seconds.start).sum::<usize>() as f64;
    sum(&seen.served) / sum(&seen.asked).max(1.0)
}

/// Times behind the return at which one of so many gateways first used each server that was out, in order; servers that
/// it did not use while it was observed come last.
fn first_uses(servers: usize, out: usize, gateways: usize) -> Vec<Micros> {
    let mut times = Vec::new();
    for outage in [Outage::Silent, Outage::Refused] {
        for seconds in [1, 8, 60] {
            let lasts = seconds * SECOND;
            let case = Case { gateways, servers, out, outage, lasts, requests_per_second: 20 };
            for me in 0..3 {
                let seen = play(case, me);
                let served = share_served(&seen, 5..20);
                assert!(served >= 0.9, "{served} served from the fifth second, {case:?}");
                let first = |n: usize| seen.first.get(&server(&format!("s{n}"))).copied();
                times.extend((0..out).map(|n| first(n).unwrap_or(Micros::MAX)));
            }
        }
    }
    times.sort_unstable();
    times
}

/// Found on the release that paced probes by the number of gateways: one of 300 used a host again after half a minute.
#[test]
fn a_gateway_of_a_large_fleet_finds_servers_that_are_back_after_minutes() {
    for gateways in [1, 30, 300, 900] {
        let times = first_uses(3, 3, gateways);
        let last = times.last().copied();
        assert!(
            last <= Some(USED_WITHIN),
            "{gateways} gateways: the last server is used {last:?} behind its return"
        );
    }
}

/// Where there are more servers than a request needs, a gateway of a large fleet uses most as soon as one alone does.
#[test]
fn a_gateway_of_a_large_fleet_uses_few_of_many_servers_that_are_back() {
    let part = |times: &[Micros], part: f64| times[(times.len() as f64 * part) as usize];
    for (servers, out) in [(20, 20), (20, 10)] {
        let most = part(&first_uses(servers, out, 300), 0.9);
        assert!(most <= USED_WITHIN, "{most} until nine in ten of {out} are used");
    }
    let (alone, of_many) = (first_uses(200, 10, 1), first_uses(200, 10, 300));
    let (alone, of_many) = (part(&alone, 0.5), part(&of_many, 0.5));
    assert!(of_many <= alone * 5 / 4, "{of_many} until half are used, {alone} by a gateway alone");
}

/// The other end of the same pace: what all of a fleet ask of one server that is back.
#[test]
fn all_gateways_of_a_large_fleet_probe_one_server_that_is_back_within_a_second() {
    for out in [1, 10, 60] {
        let (gateways, servers, outage) = (300, 180, Outage::Silent);
        let case = Case { gateways, servers, out, outage, lasts: 8 * SECOND, requests_per_second: 3 };
        let mut times: Vec<_> = (0..gateways).flat_map(|me| play(case, me).probes).collect();
        times.sort_unstable();
        let within = |from: Micros| times.iter().filter(|at| (from..from + SECOND).contains(*at)).count();
        let most = (0..20).map(|k| within(k * SECOND / 2)).max().unwrap_or(0) as f64 / out as f64;
        assert!(most <= LOADS_PER_SECOND, "{most} probes in a second at each of {out} servers");
    }
}
