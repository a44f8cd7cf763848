//! The checker: judges the six rules, that seats of licences are kept and that use is billed, from what went over the sockets. It knows nothing of a gateway's insides.
//!
//! kind: tool

use std::collections::BTreeMap;

use elderpick_ledger::book::{Entry, Kind};

use crate::fleet::{BUDGET, ClassOf, GRACE, MARK};
use crate::issuer::Granted;
use crate::record::{Line, What};

/// What was found of one rule.
#[derive(Clone, Debug)]
pub struct Rule {
    pub number: usize,
    pub name: &'static str,
    /// Events that the rule applied to.
    pub judged: usize,
    /// Broken, each with what was seen.
    pub broken: Vec<String>,
    /// How near the rule came to being broken.
    pub margin: String,
}

/// What became of a class's requests.
#[derive(Clone, Default, Debug)]
pub struct Service {
    pub asked: usize,
    pub plays: usize,
    pub sent_on: usize,
    pub refused: usize,
    pub failed: usize,
    pub left: usize,
    pub whole: usize,
    pub broken: usize,
    pub segments: usize,
    pub short: usize,
    pub rung_changes: usize,
}

#[derive(Clone, Debug)]
pub struct Verdict {
    pub rules: Vec<Rule>,
    pub service: BTreeMap<String, Service>,
    pub further: usize,
    pub downs: usize,
}

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

fn answers<'a>(
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

fn once<'a>(
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

fn drains(lines: &[Line]) -> Rule {
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

fn terms<'a>(lines: &'a [Line], class_of: &impl Fn(&str) -> Option<&'a ClassOf>) -> Rule {
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

fn budget(attempts: &BTreeMap<&str, Vec<Attempt>>, asked: &BTreeMap<&str, (i64, &str, &str)>) -> Rule {
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

/// Seats in use, as hosts saw it: holders with a session that plays at a host and that its viewer has not ended. The
/// sessions of a killed gateway count until their host ends them.
fn licences(lines: &[Line], granted: &[Granted]) -> Rule {
    let (mut broken, mut judged, mut fullest) = (Vec::new(), 0, 0.0f64);
    let mut seats: BTreeMap<&str, &(String, String)> = BTreeMap::new();
    // Sessions at hosts by their name: host, the request that they are for, and whether they play.
    let mut held: BTreeMap<&str, (&str, &str, bool)> = BTreeMap::new();
    for line in lines {
        match &line.what {
            What::Asked { trace, seat: Some(seat), .. } => {
                seats.insert(trace, seat);
            }
            What::SetUp { host, session, trace, .. } if seats.contains_key(trace_id(trace)) => {
                held.insert(session, (host, trace_id(trace), false));
            }
            What::SetUpDone { host, session, how } => {
                let Some(of) = held.get_mut(session.as_str()).filter(|of| of.0 == host) else { continue };
                if how != "plays" {
                    held.remove(session.as_str());
                    continue;
                }
                of.2 = true;
                let (licence, _) = seats[of.1];
                let mut holders: Vec<&str> = held
                    .values()
                    .filter(|of| of.2)
                    .map(|of| seats[of.1])
                    .filter(|s| s.0 == *licence)
                    .map(|s| &*s.1)
                    .collect();
                holders.sort_unstable();
                holders.dedup();
                let Some((_, most, _)) = granted.iter().find(|g| g.0 == licence) else { continue };
                judged += 1;
                fullest = fullest.max(holders.len() as f64 / f64::from(*most));
                if holders.len() > *most as usize {
                    broken.push(format!("{} holders of {licence} play, {most} seats granted", holders.len()));
                }
            }
            What::Over { host, session, .. } if held.get(session.as_str()).is_some_and(|of| of.0 == host) => {
                held.remove(session.as_str());
            }
            What::Down { host, .. } => held.retain(|_, of| of.0 != host),
            What::Played { trace, .. } => held.retain(|_, of| of.1 != trace),
            _ => {}
        }
    }
    let margin = format!("{:.0}% of a licence's seats in use at most", fullest * 100.0);
    Rule { number: 7, name: "seats in use never over granted", judged, broken, margin }
}

/// How much later than it happened a gateway may take note of a host that is lost.
const MUTE: i64 = 2_500_000;

/// Use that is billed, against what hosts played for viewers who were told so. `entries` are those of all gateways.
pub fn billed(lines: &[Line], entries: &[Entry]) -> Rule {
    let mut broken = Vec::new();
    // Sessions at hosts: whose request, at which gateway, and from when until when they played.
    let mut played: BTreeMap<&str, (&str, &str, i64, i64)> = BTreeMap::new();
    let mut answered: BTreeMap<&str, i64> = BTreeMap::new();
    let mut killed: Vec<(&str, i64)> = Vec::new();
    let mut delivered: BTreeMap<&str, i64> = BTreeMap::new();
    let mut set_up: BTreeMap<&str, (&str, &str, &str)> = BTreeMap::new();
    let end = lines.last().map_or(0, |l| l.at);
    for line in lines {
        match &line.what {
            What::SetUp { host, gateway, session, trace, .. } => {
                set_up.insert(session, (host, trace_id(trace), gateway));
            }
            What::SetUpDone { host, session, how } if how == "plays" => {
                if let Some((_, trace, gateway)) = set_up.get(session.as_str()).filter(|of| of.0 == host) {
                    played.insert(session, (trace, gateway, line.at, end));
                }
            }
            What::Over { host, session, bytes }
                if set_up.get(session.as_str()).is_some_and(|of| of.0 == host) =>
            {
                delivered.insert(session, *bytes as i64);
                if let Some(of) = played.get_mut(session.as_str()) {
                    of.3 = of.3.min(line.at);
                }
            }
            What::Down { host, .. } => {
                let there = played.iter_mut().filter(|(session, _)| set_up[*session].0 == host);
                there.for_each(|(_, of)| of.3 = of.3.min(line.at));
            }
            What::GatewayDown { gateway } => killed.push((gateway, line.at)),
            What::Replied { trace, code: 200 } => {
                answered.insert(trace, line.at);
            }
            _ => {}
        }
    }
    let mut bills: BTreeMap<&str, (usize, i64, Option<i64>)> = BTreeMap::new();
    for entry in entries.iter().filter(|e| e.kind == Kind::Use) {
        let bill = bills.entry(&entry.session).or_default();
        bill.0 += usize::from(entry.part == 0);
        bill.1 += entry.span;
        bill.2 = bill.2.into_iter().chain(entry.bytes).reduce(|a, b| a + b);
    }
    let (mut sum, mut sum_billed, mut sum_bytes) = (0, 0, 0);
    for (session, (trace, gateway, from, until)) in &played {
        let kill = killed.iter().find(|(name, at)| name == gateway && at >= from && at - SEEN <= *until);
        match bills.get(session) {
            Some((1, span, bytes)) => {
                sum_bytes += bytes.unwrap_or(0);
                // What no host told, since it was lost, is billed without bytes.
                if let Some(told) = delivered.get(session).filter(|told| bytes.is_some_and(|b| b != **told)) {
                    broken.push(format!("{gateway}: {session} is billed {bytes:?} bytes and got {told}"));
                }
                (sum, sum_billed) = (sum + until - from, sum_billed + span);
                let most = until - from + MUTE + SEEN;
                // What a killed gateway did not mark is lost, and no more than that.
                // One that was over before had been ended by the gateway, which knows how long it was used.
                let held = kill.filter(|(_, at)| at <= until);
                let least = held.map_or(0, |(_, at)| at - from - MARK - 2 * SEEN);
                if *span > most || *span < least {
                    let (ms, held) = (span / 1000, (until - from) / 1000);
                    broken.push(format!("{gateway}: {session} is billed {ms} ms and was held {held} ms"));
                }
            }
            Some((n, ..)) => broken.push(format!("{gateway}: {session} is billed {n} times")),
            // Its viewer was never told, or the gateway was killed before it could write.
            None if !answered.contains_key(trace) => {}
            None if kill.is_some_and(|(_, at)| at - from < 2 * SEEN) => {}
            None => broken.push(format!("{gateway}: {session} was played and is not billed")),
        }
    }
    for session in bills.keys().filter(|s| !played.contains_key(*s)) {
        broken.push(format!("{session} is billed and no host played it"));
    }
    let seconds = |us: i64| us / 1_000_000;
    let (s, of, mb) = (seconds(sum_billed), seconds(sum), sum_bytes as f64 / 1e6);
    let margin = format!("{s} s billed of {of} s held at hosts, {mb:.1} MB");
    Rule { number: 8, name: "use billed is use played", judged: played.len(), broken, margin }
}

impl Verdict {
    pub fn broken(&self) -> bool {
        self.rules.iter().any(|r| !r.broken.is_empty())
    }

    /// The tables, as they are printed.
    pub fn table(&self) -> String {
        let mut out = format!("{:<4} {:<34} {:>7} {:>7}  margin\n", "rule", "", "judged", "broken");
        for r in &self.rules {
            out += &format!(
                "{:<4} {:<34} {:>7} {:>7}  {}\n",
                r.number,
                r.name,
                r.judged,
                r.broken.len(),
                r.margin
            );
        }
        for r in self.rules.iter().filter(|r| !r.broken.is_empty()) {
            for what in r.broken.iter().take(5) {
                out += &format!("  rule {}: {what}\n", r.number);
            }
        }
        out += &format!(
            "\n{:<12} {:>6} {:>6} {:>7} {:>8} {:>7} {:>5} {:>6} {:>7} {:>9} {:>6} {:>6}\n",
            "class",
            "asked",
            "plays",
            "sent on",
            "refused",
            "failed",
            "left",
            "whole",
            "broken",
            "segments",
            "short",
            "rungs"
        );
        for (class, s) in &self.service {
            out += &format!(
                "{class:<12} {:>6} {:>6} {:>7} {:>8} {:>7} {:>5} {:>6} {:>7} {:>9} {:>6} {:>6}\n",
                s.asked,
                s.plays,
                s.sent_on,
                s.refused,
                s.failed,
                s.left,
                s.whole,
                s.broken,
                s.segments,
                s.short,
                s.rung_changes
            );
        }
        out + &format!("further attempts {}, hosts that went down {}\n", self.further, self.downs)
    }
}

#[cfg(test)]
mod tests {
    use elderpick_ledger::book::{Book, Facts, Outcome, Record};
    use elderpick_ledger::calendar::{Calendar, Every};

    use super::*;

    /// One session of ten seconds at a host, and the entries of a ledger that tells of it so often and so long.
    fn judged(times: usize, span: i64, told: bool) -> usize {
        judged_with(times, span, told, Some(500))
    }

    fn judged_with(times: usize, span: i64, told: bool, bytes: Option<u64>) -> usize {
        let line = |at: i64, what| Line { at: at * 1_000_000, what };
        let (host, session, trace) = ("h".to_owned(), "s".to_owned(), "00-t-1-01".to_owned());
        let mut lines = vec![
            line(
                1,
                What::SetUp {
                    host: host.clone(),
                    gateway: "g".into(),
                    session: session.clone(),
                    class: "c".into(),
                    title: "t".into(),
                    rung: 0,
                    trace,
                },
            ),
            line(1, What::SetUpDone { host: host.clone(), session: session.clone(), how: "plays".into() }),
            line(11, What::Over { host, session, bytes: 500 }),
        ];
        if told {
            lines.push(line(12, What::Replied { trace: "t".into(), code: 200 }));
        }
        let mut entries = Vec::new();
        for _ in 0..times {
            let mut book = Book::new(Calendar::new("UTC", Every::Day, 0).unwrap());
            let facts = Facts {
                tenant: "t".into(),
                licence: String::new(),
                class: "c".into(),
                title: "t".into(),
                viewer: String::new(),
                started: 0,
            };
            let over = Record::Over {
                session: "s".into(),
                span: span * 1_000_000,
                tries: 1,
                outcome: Outcome::Left,
                bytes,
            };
            for record in [Record::Begun { session: "s".into(), facts, rung: 0 }, over] {
                book.apply(&record, &mut |e| entries.push(e));
            }
        }
        billed(&lines, &entries).broken.len()
    }

    #[test]
    fn use_that_is_not_billed_or_twice_or_too_long_is_seen() {
        assert_eq!((judged(1, 10, true), judged(1, 9, true), judged(0, 0, false)), (0, 0, 0));
        assert_eq!((judged_with(1, 10, true, None), judged_with(1, 10, true, Some(499))), (0, 1));
        assert_eq!((judged(0, 0, true), judged(2, 10, true), judged(1, 14, true)), (1, 1, 1));
    }
}
