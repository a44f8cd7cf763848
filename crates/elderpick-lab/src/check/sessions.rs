//! Rules on answers, attempts and terms of sessions.
//!
//! kind: tool

use std::collections::BTreeMap;

use super::{Attempt, Rule, SEEN, Service};
use crate::fleet::{BUDGET, ClassOf, GRACE};
use crate::record::{Line, What};

pub(super) fn answers<'a>(
    lines: &'a [Line],
    asked: &BTreeMap<&str, (i64, &str, &str)>,
    class_of: &impl Fn(&str) -> Option<&'a ClassOf>,
    was_away: &impl Fn(&str, i64, i64) -> bool,
    service: &mut BTreeMap<String, Service>,
    end: i64,
) -> Rule {
    let (mut broken, mut replies, mut worst) = (Vec::new(), BTreeMap::<&str, usize>::new(), i64::MAX);
    let mut excused = 0;
    for line in lines {
        let (trace, code) = match &line.what {
            What::Replied { trace, code } => (trace, Some(*code)),
            What::LeftWaiting { trace, patient } => {
                let Some((at, gateway, class)) = asked.get(trace.as_str()) else { continue };
                service.entry((*class).to_owned()).or_default().left += 1;
                *replies.entry(trace).or_default() += 1;
                if *patient && was_away(gateway, *at, line.at) {
                    excused += 1;
                } else if *patient {
                    broken.push(format!("{gateway} did not answer a {class} request in time"));
                }
                continue;
            }
            What::CutOff { trace } => (trace, None),
            What::Played { trace, whole, segments, short, rung_changes } => {
                let Some((_, _, class)) = asked.get(trace.as_str()) else { continue };
                let of = service.entry((*class).to_owned()).or_default();
                of.whole += usize::from(*whole);
                of.broken += usize::from(!whole);
                of.segments += segments;
                of.short += short;
                of.rung_changes += rung_changes;
                continue;
            }
            _ => continue,
        };
        let Some((at, gateway, class)) = asked.get(trace.as_str()) else { continue };
        *replies.entry(trace).or_default() += 1;
        let of = service.entry((*class).to_owned()).or_default();
        match code {
            Some(200) => of.plays += 1,
            Some(307) => of.sent_on += 1,
            Some(503 | 403) => of.refused += 1,
            Some(502 | 504) => of.failed += 1,
            Some(other) => broken.push(format!("{gateway} answered {other}")),
            None if was_away(gateway, *at, line.at) => excused += 1,
            None => broken.push(format!("{gateway} closed a connection without an answer")),
        }
        if code.is_some() && !was_away(gateway, *at, line.at) {
            let patience = class_of(class).map_or(0, |c| c.patience);
            worst = worst.min(patience - (line.at - at));
        }
    }
    for (trace, (at, gateway, class)) in asked {
        let patience = class_of(class).map_or(0, |c| c.patience);
        match replies.get(trace).copied().unwrap_or(0) {
            1 => {}
            0 if at + patience + 1_000_000 > end => {}
            n => broken.push(format!("{gateway} gave {n} answers to one {class} request")),
        }
    }
    let margin = match worst {
        i64::MAX => "none judged".into(),
        worst => format!("{} ms left at worst, {excused} excused by a gateway's end or stall", worst / 1000),
    };
    Rule { number: 1, name: "one answer each, in time", judged: asked.len(), broken, margin }
}

pub(super) fn once<'a>(
    lines: &[Line],
    attempts: &BTreeMap<&str, Vec<Attempt>>,
    viewers: &BTreeMap<&str, &str>,
    class_of: &impl Fn(&str) -> Option<&'a ClassOf>,
) -> Rule {
    let (mut broken, mut overlap) = (Vec::new(), 0);
    // A viewer has one session: tries that come while the first is out join it.
    let mut by_viewer: BTreeMap<&str, Vec<&Attempt>> = BTreeMap::new();
    for (trace, of) in attempts {
        by_viewer.entry(viewers.get(trace).unwrap_or(trace)).or_default().extend(of);
    }
    for (viewer, of) in &mut by_viewer {
        of.sort_by_key(|a| a.at);
        for pair in of.windows(2) {
            overlap = overlap.max(pair[0].done - pair[1].at);
            if pair[1].at + SEEN < pair[0].done && pair[0].gateway == pair[1].gateway {
                let (a, b) = (pair[0].host, pair[1].host);
                broken.push(format!("viewer {viewer}: at {b} while still out at {a}"));
            }
        }
    }
    for (trace, of) in attempts {
        let paid = of.first().and_then(|a| class_of(a.class)).is_some_and(|c| c.paid);
        if let Some(k) = of.iter().position(|a| a.how != "full").filter(|&k| paid && k + 1 < of.len()) {
            broken.push(format!("{trace}: paid, sent again after it {} at {}", of[k].how, of[k].host));
        }
    }
    for line in lines {
        let What::Replied { trace, code: 503 } = &line.what else { continue };
        let Some(of) = attempts.get(trace.as_str()) else { continue };
        let paid = of.first().and_then(|a| class_of(a.class)).is_some_and(|c| c.paid);
        if paid && of.iter().any(|a| a.how != "full" && a.at < line.at) {
            broken.push(format!("{trace}: paid, refused though it may have run"));
        }
    }
    let judged = attempts.values().map(Vec::len).sum();
    let margin = format!("{} ms of two attempts seen at once at worst", overlap.max(0) / 1000);
    Rule { number: 2, name: "paid once, one attempt at a time", judged, broken, margin }
}

pub(super) fn drains(lines: &[Line]) -> Rule {
    let (mut broken, mut judged, mut latest) = (Vec::new(), 0, 0);
    // Since when a gateway knows that a server takes nothing new.
    let mut told: BTreeMap<(&str, &str), i64> = BTreeMap::new();
    for line in lines {
        match &line.what {
            What::GatewayUp { gateway } => told.retain(|(name, _), _| name != gateway),
            What::Told { gateway, host, state } if state == "up" => {
                told.remove(&(gateway.as_str(), host.as_str()));
            }
            What::Told { gateway, host, .. } => {
                judged += 1;
                told.entry((gateway, host)).or_insert(line.at);
            }
            What::SetUp { gateway, host, .. } => {
                let Some(since) = told.get(&(gateway.as_str(), host.as_str())) else { continue };
                latest = latest.max(line.at - since);
                if line.at - since > GRACE {
                    broken.push(format!(
                        "{gateway} sent to {host} {} ms after it was told",
                        (line.at - since) / 1000
                    ));
                }
            }
            _ => {}
        }
    }
    let margin = format!("last set-up {} ms after a notice, {} allowed", latest / 1000, GRACE / 1000);
    Rule { number: 3, name: "drains kept", judged, broken, margin }
}

pub(super) fn terms<'a>(lines: &'a [Line], class_of: &impl Fn(&str) -> Option<&'a ClassOf>) -> Rule {
    let (mut broken, mut judged, mut fullest) = (Vec::new(), 0, 0.0f64);
    let mut class_by_session: BTreeMap<&str, &str> = BTreeMap::new();
    // Sessions that hold a seat: where, and of which gateway, class and title.
    let mut held: BTreeMap<&str, (&str, (&str, &str, &str))> = BTreeMap::new();
    for line in lines {
        match &line.what {
            What::SetUp { host, gateway, session, class, title, rung, .. } => {
                judged += 1;
                class_by_session.insert(session, class);
                let Some(known) = class_of(class) else { continue };
                if *rung < known.floor {
                    broken.push(format!(
                        "{gateway} set {class} up at rung {rung}, its floor is {}",
                        known.floor
                    ));
                }
                let Some(seats) = known.seats else { continue };
                let key = (gateway.as_str(), class.as_str(), title.as_str());
                held.insert(session, (host, key));
                let taken = held.values().filter(|(_, of)| *of == key).count();
                fullest = fullest.max(taken as f64 / seats as f64);
                if taken > seats {
                    broken.push(format!("{gateway} holds {taken} of {class} {title}, {seats} seats"));
                }
            }
            What::RungSet { session, rung, .. } => {
                judged += 1;
                let class = class_by_session.get(session.as_str()).copied().unwrap_or_default();
                if class_of(class).is_some_and(|c| *rung < c.floor) {
                    broken.push(format!("{class} was put to rung {rung}, under its floor"));
                }
            }
            What::SetUpDone { how, .. } if matches!(how.as_str(), "plays" | "lost") => {}
            What::SetUpDone { host, session, .. } | What::Over { host, session, .. }
                if held.get(session.as_str()).is_some_and(|(at, _)| at == host) =>
            {
                held.remove(session.as_str());
            }
            What::Down { host, .. } => held.retain(|_, (at, _)| at != host),
            What::GatewayDown { gateway } => held.retain(|_, (_, of)| of.0 != gateway),
            _ => {}
        }
    }
    let margin = format!("{:.0}% of a title's seats taken at most", fullest * 100.0);
    Rule { number: 5, name: "floors and seats kept", judged, broken, margin }
}

pub(super) fn budget(
    attempts: &BTreeMap<&str, Vec<Attempt>>,
    asked: &BTreeMap<&str, (i64, &str, &str)>,
) -> Rule {
    let (free, share, window) = BUDGET;
    let mut further: BTreeMap<&str, Vec<i64>> = BTreeMap::new();
    for of in attempts.values() {
        for attempt in &of[1..] {
            further.entry(attempt.gateway).or_default().push(attempt.at);
        }
    }
    let mut taken: BTreeMap<&str, Vec<i64>> = BTreeMap::new();
    for (at, gateway, _) in asked.values() {
        taken.entry(gateway).or_default().push(*at);
    }
    let (mut broken, mut judged, mut fullest) = (Vec::new(), 0, 0.0f64);
    for (gateway, mut times) in further {
        times.sort_unstable();
        let taken = taken.get(gateway).cloned().unwrap_or_default();
        for (k, &at) in times.iter().enumerate() {
            judged += 1;
            // A request is asked a little before it is taken, and an attempt seen a little after it was made.
            let made = times[..=k].iter().filter(|&&t| t > at - window + SEEN).count() as f64;
            let of = taken.iter().filter(|&&t| t >= at - window - SEEN && t <= at).count() as f64;
            let allowed = free + share * of;
            fullest = fullest.max(made / allowed);
            if made > allowed {
                broken.push(format!("{gateway} made {made} further attempts, {allowed:.1} allowed"));
            }
        }
    }
    let margin = format!("{:.0}% of the budget used at most", fullest * 100.0);
    Rule { number: 6, name: "further attempts within budget", judged, broken, margin }
}
