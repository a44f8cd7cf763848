//! One trial: the world of a gateway's process, its shutdown, and the verdict.

use std::collections::BTreeMap;
use std::io;
use std::path::Path;
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use elderpick_platform::viewer::cause;
use nix::sys::signal::Signal;
use serde_json::{Value, json};
use tokio::task::spawn_local;

use super::host::RandomHost;
use super::judge::{Break, judge};
use super::plan::{LOOKS_EVERY, Plan, Replacement, STALL};
use super::record::{Entry, Record, What};
use super::viewers::{self, Shared};
use crate::platform::{Gateway, Journal, Listing, config};

/// A trial whose own program ran later than this is void.
pub const LATEST: Duration = Duration::from_millis(40);
/// How often it is looked whether the program runs late.
const CLOCK_TICK: Duration = Duration::from_millis(5);
/// What the gateway has sent by its end arrives within this time.
pub(super) const SETTLES: Duration = Duration::from_millis(200);

/// Why a trial could not be played.
#[derive(Debug, thiserror::Error)]
pub enum TrialError {
    /// A stand-in cannot listen.
    #[error("a stand-in cannot listen: {0}")]
    Listen(#[from] io::Error),
    /// The gateway's process cannot be started or told anything.
    #[error("the gateway: {0}")]
    Gateway(String),
}

/// How a trial ended.
#[derive(Debug)]
pub enum Outcome {
    /// The trial's own program ran late by so much: it says nothing.
    Void(Duration),
    /// It was judged. `set_ups` counts what viewers asked for.
    Judged {
        /// How many set-ups were written.
        set_ups: usize,
        /// How many of them were served.
        served: usize,
        /// When the process ended, counted from SIGTERM.
        ended_after: Duration,
        /// The clauses that were broken.
        breaks: Vec<Break>,
        /// All that was seen.
        entries: Vec<Entry>,
    },
}

/// Plays a trial with the gateway that `program` runs, whose configuration is kept in `folder`.
pub async fn run(program: &Path, folder: &Path, plan: &Plan) -> Result<Outcome, TrialError> {
    let record = Record::default();
    let clock = spawn_local(watch_clock(record.clone()));
    let mut hosts = Vec::new();
    for number in 0..plan.hosts {
        hosts.push(RandomHost::start(number, plan, &record).await?);
    }
    let journal = Journal::start().await.map_err(TrialError::Gateway)?;
    let journal = Rc::new(journal);
    journal.tell_listings(true, &hosts.iter().map(|host| listing(host, 0)).collect::<Vec<_>>());
    let mut configuration = configuration(plan, &journal);
    let mut gateway = Gateway::start(program, folder, &configuration).await.map_err(TrialError::Gateway)?;
    let shared = Shared::new(plan, &record, gateway.address);
    let viewers: Vec<_> =
        (0..plan.connections).map(|number| spawn_local(viewers::keep(shared.clone(), number))).collect();
    let looks: Vec<_> = if plan.leaves_at_look > 0.0 {
        hosts.iter().map(|host| spawn_local(watch_delivery(host.clone(), plan.leaves_at_look))).collect()
    } else {
        Vec::new()
    };
    if let (Some(replacement), Some(host)) = (plan.replacement, hosts.into_iter().next()) {
        spawn_local(replace(host, replacement, journal.clone(), record.clone()));
    }
    match plan.kill {
        None => tokio::time::sleep(plan.terminate_at).await,
        Some(kill) => {
            tokio::time::sleep(kill.at).await;
            gateway.signal(Signal::SIGKILL).map_err(TrialError::Gateway)?;
            record.add(What::Killed);
            gateway.child.wait().await?;
            tokio::time::sleep(kill.gone_for).await;
            configuration["listen"] = json!(shared.address.to_string());
            gateway = Gateway::start(program, folder, &configuration).await.map_err(TrialError::Gateway)?;
            record.add(What::Started);
            spawn_local(viewers::hand_over(shared.clone(), standing(&record)));
            tokio::time::sleep(kill.runs_for).await;
        }
    }
    shut_down(gateway, &shared).await?;
    tokio::time::sleep(SETTLES).await;
    viewers.iter().chain(&looks).for_each(|task| task.abort());
    clock.abort();
    Ok(outcome(&record))
}

fn listing(host: &RandomHost, born_ms: u64) -> Listing {
    Listing { name: host.name.clone(), address: host.address, health: "Ready".to_owned(), born_ms }
}

/// Viewers of a host look at their delivery and some leave, for as long as the trial runs.
async fn watch_delivery(host: RandomHost, leaves: f64) {
    loop {
        tokio::time::sleep(LOOKS_EVERY).await;
        host.lose_viewers(leaves);
    }
}

/// Lets the first host die and come back, and the list tell of that.
async fn replace(host: RandomHost, replacement: Replacement, journal: Rc<Journal>, record: Record) {
    tokio::time::sleep(replacement.at).await;
    host.die();
    tokio::time::sleep(replacement.gone_for).await;
    let born = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    if host.come_back().await.is_err() {
        // Its address was taken meanwhile: it stays away.
        return;
    }
    tokio::time::sleep(replacement.told_after).await;
    journal.tell_listings(false, &[listing(&host, born.as_millis() as u64)]);
    record.add(What::ReplacementListed { host: 0 });
}

/// Sessions that their viewers take to stand, each with its host: what a platform hands over to a new process. Those
/// that were cut play nowhere, and nobody could tell the new process of that.
pub(super) fn standing(record: &Record) -> Vec<(u64, String)> {
    let (mut answered, mut served) = (BTreeMap::new(), BTreeMap::new());
    for Entry { what, .. } in record.entries() {
        match what {
            What::Answered { host, session, description } => {
                answered.insert((session, description), host);
            }
            // Of several hosts that answered, its viewer has the one whose description it was given.
            What::Served { session, description } => {
                let host = answered.get(&(session, description)).copied();
                served.extend(host.map(|host| (session, host)));
            }
            What::Released { session, .. }
            | What::GivenUp { session }
            | What::EndedByViewer { session }
            | What::EndedByHost { session, cause: cause::ENDED_BY_VIEWER, .. } => {
                served.remove(&session);
            }
            What::Cut { host, session } if served.get(&session) == Some(&host) => {
                served.remove(&session);
            }
            _ => {}
        }
    }
    served.into_iter().map(|(session, host)| (session, format!("s-{host}"))).collect()
}

/// Tells the gateway to end for good.
async fn shut_down(mut gateway: Gateway, shared: &Rc<Shared>) -> Result<(), TrialError> {
    terminate(&mut gateway, shared, None).await?;
    shared.asks.set(false);
    shared.finished.set(true);
    Ok(())
}

/// Tells the gateway to end and kills it at the earliest time; viewers go on all the while. It may get SIGHUP and
/// SIGTERM `again` some time behind the first.
pub(super) async fn terminate(
    gateway: &mut Gateway,
    shared: &Rc<Shared>,
    again: Option<Duration>,
) -> Result<(), TrialError> {
    let (plan, record) = (&shared.plan, &shared.record);
    record.add(What::Terminated);
    gateway.signal(Signal::SIGTERM).map_err(TrialError::Gateway)?;
    let connecting = shared.clone();
    let connecting = spawn_local(async move {
        tokio::time::sleep(connecting.plan.connects_for).await;
        connecting.connects.set(false);
    });
    let killed_at = tokio::time::Instant::now() + plan.kill_after();
    if let Some(after) = plan.stall_after {
        tokio::time::sleep(after).await;
        // It may have ended by now, with nothing open.
        if gateway.signal(Signal::SIGSTOP).is_ok() {
            record.add(What::Stopped);
            tokio::time::sleep(STALL).await;
            gateway.signal(Signal::SIGCONT).map_err(TrialError::Gateway)?;
            record.add(What::Resumed);
        }
    }
    if let Some(after) = again
        && tokio::time::timeout(after, gateway.child.wait()).await.is_err()
    {
        for signal in [Signal::SIGHUP, Signal::SIGTERM] {
            gateway.signal(signal).map_err(TrialError::Gateway)?;
        }
    }
    let ended = tokio::time::timeout_at(killed_at, gateway.child.wait()).await;
    match ended {
        Ok(status) => record.add(What::Ended { clean: status?.success() }),
        Err(_) => {
            gateway.signal(Signal::SIGKILL).map_err(TrialError::Gateway)?;
            record.add(What::Ended { clean: false });
            gateway.child.wait().await?;
        }
    }
    connecting.abort();
    shared.connects.set(false);
    Ok(())
}

/// Notes how late this program itself runs.
pub(super) async fn watch_clock(record: Record) {
    loop {
        let due = record.now() + CLOCK_TICK;
        tokio::time::sleep(CLOCK_TICK).await;
        record.ran_late(record.now().saturating_sub(due));
    }
}

fn outcome(record: &Record) -> Outcome {
    if record.latest() > LATEST {
        return Outcome::Void(record.latest());
    }
    let entries = record.entries();
    let count = |wanted: fn(&What) -> bool| entries.iter().filter(|entry| wanted(&entry.what)).count();
    let time_of =
        |wanted: fn(&What) -> bool| entries.iter().find(|entry| wanted(&entry.what)).map(|entry| entry.at);
    let ended = time_of(|what| matches!(what, What::Ended { .. })).unwrap_or_default();
    let terminated = time_of(|what| matches!(what, What::Terminated)).unwrap_or_default();
    Outcome::Judged {
        set_ups: count(|what| matches!(what, What::SetUpWritten { .. })),
        served: count(|what| matches!(what, What::Served { .. })),
        ended_after: ended.saturating_sub(terminated),
        breaks: judge(&entries),
        entries,
    }
}

pub(super) fn configuration(plan: &Plan, journal: &Journal) -> Value {
    let mut configuration = config(journal, plan.sockets);
    let settings = &mut configuration["settings"];
    let deadline_us = plan.deadline.as_micros() as u64;
    for class in settings["profiles"].as_array_mut().into_iter().flatten() {
        class["on_time_us"] = json!(deadline_us / 2);
        class["hard_limit_us"] = json!(deadline_us);
    }
    settings["limits"]["connect_timeout_us"] = json!(100_000);
    configuration["seed"] = json!(format!("{:016x}", plan.seed));
    configuration
}
