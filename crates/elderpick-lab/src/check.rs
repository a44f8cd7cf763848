//! The checker: judges the six rules, that seats of licences are kept and that use is billed, from what went over the sockets. It knows nothing of a gateway's insides.
//!
//! kind: tool

mod billing;
mod sessions;
mod verdict;

use std::collections::BTreeMap;

pub use self::billing::billed;
use self::billing::licences;
use self::sessions::{answers, budget, drains, once, terms};
pub use self::verdict::{Rule, Service, Verdict};
use crate::fleet::ClassOf;
use crate::issuer::Granted;
use crate::record::{Line, What};

/// Two sockets do not see one moment at the same time: what closes is seen so much later at the other end.
const SEEN: i64 = 150_000;

struct Attempt<'a> {
    at: i64,
    done: i64,
    how: &'a str,
    host: &'a str,
    gateway: &'a str,
    class: &'a str,
}

fn trace_id(traceparent: &str) -> &str {
    traceparent.split('-').nth(1).unwrap_or(traceparent)
}

pub fn check(lines: &[Line], classes: &[ClassOf], granted: &[Granted]) -> Verdict {
    let class_of = |name: &str| classes.iter().find(|c| c.name == name);
    let end = lines.last().map_or(0, |l| l.at);
    // Attempts by the viewer's request, and when gateways were down or stood still.
    let mut attempts: BTreeMap<&str, Vec<Attempt>> = BTreeMap::new();
    let mut open: BTreeMap<(&str, &str), Vec<(&str, usize)>> = BTreeMap::new();
    let mut away: Vec<(&str, i64, i64)> = Vec::new();
    let mut service: BTreeMap<String, Service> = BTreeMap::new();
    let mut asked: BTreeMap<&str, (i64, &str, &str)> = BTreeMap::new();
    let mut viewers: BTreeMap<&str, &str> = BTreeMap::new();
    let mut downs = 0;
    for line in lines {
        match &line.what {
            What::SetUp { host, gateway, session, class, trace, .. } => {
                let of = attempts.entry(trace_id(trace)).or_default();
                open.entry((host, session)).or_default().push((trace_id(trace), of.len()));
                of.push(Attempt { at: line.at, done: end, how: "out", host, gateway, class });
            }
            What::SetUpDone { host, session, how } => {
                let mine = open.get_mut(&(host.as_str(), session.as_str())).and_then(Vec::pop);
                if let Some(attempt) = mine.and_then(|(trace, k)| attempts.get_mut(trace)?.get_mut(k)) {
                    (attempt.done, attempt.how) = (line.at, how);
                }
            }
            What::GatewayDown { gateway } => away.push((gateway, line.at, i64::MAX)),
            What::GatewayUp { gateway } => {
                let down = away.iter_mut().rfind(|(name, _, until)| name == gateway && *until == i64::MAX);
                if let Some(down) = down {
                    down.2 = line.at;
                }
            }
            What::Trouble { kind, on } => {
                if let Some(gateway) = kind.strip_prefix("stall of ") {
                    match on {
                        true => away.push((gateway, line.at, i64::MAX)),
                        // What it had on its hands is late as well.
                        false => {
                            let held = away.iter_mut().rfind(|(n, _, u)| *n == gateway && *u == i64::MAX);
                            if let Some(held) = held {
                                held.2 = line.at;
                            }
                        }
                    }
                }
            }
            What::Asked { trace, viewer, gateway, class, .. } => {
                asked.insert(trace, (line.at, gateway, class));
                viewers.insert(trace, viewer);
                service.entry(class.clone()).or_default().asked += 1;
            }
            What::Down { .. } => downs += 1,
            _ => {}
        }
    }
    let was_away = |gateway: &str, from: i64, to: i64| {
        away.iter().any(|(name, down, up)| *name == gateway && *down <= to + SEEN && *up >= from - SEEN)
    };
    let mut rules = Vec::new();
    rules.push(answers(lines, &asked, &class_of, &was_away, &mut service, end));
    rules.push(once(lines, &attempts, &viewers, &class_of));
    rules.push(drains(lines));
    let pushed: Vec<String> = lines
        .iter()
        .filter_map(|l| match &l.what {
            What::Down { host, pushed: true } => Some(format!("{host} was pushed over")),
            _ => None,
        })
        .collect();
    let cold = lines.iter().filter(|l| matches!(l.what, What::Up { .. })).count();
    let margin = format!("{cold} came back cold");
    rules.push(Rule { number: 4, name: "no cold server pushed over", judged: cold, broken: pushed, margin });
    rules.push(terms(lines, &class_of));
    rules.push(budget(&attempts, &asked));
    rules.push(licences(lines, granted));
    let further = attempts.values().map(|a| a.len() - 1).sum();
    Verdict { rules, service, further, downs }
}

#[cfg(test)]
#[path = "../tests/unit/check.rs"]
mod tests;
