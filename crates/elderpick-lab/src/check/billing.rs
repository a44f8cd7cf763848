//! Rules on licences and on what is billed.
//!
//! kind: tool

use std::collections::BTreeMap;

use elderpick_ledger::accounts::{Entry, Kind};

use super::{Rule, SEEN, trace_id};
use crate::fleet::MARK;
use crate::issuer::Granted;
use crate::record::{Line, What};

/// Seats in use, as hosts saw it: holders with a session that plays at a host and that its viewer has not ended. The
/// sessions of a killed gateway count until their host ends them.
pub(super) fn licences(lines: &[Line], granted: &[Granted]) -> Rule {
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
