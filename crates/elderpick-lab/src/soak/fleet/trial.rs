//! One trial of a fleet, from its start to the verdict.

use std::path::Path;
use std::rc::Rc;
use std::time::Duration;

use elderpick_platform::viewer::cause;
use tokio::task::spawn_local;

use super::gateway::FleetGateway;
use super::machine::Machine;
use super::plan::FleetPlan;
use crate::platform::Listing;
use crate::soak::judge::{Break, Clause, judge};
use crate::soak::record::{Entry, Record, What};
use crate::soak::trial::{LATEST, TrialError, watch_clock};

/// A viewer that leaves within this time behind its host's answer has left early.
const EARLY: Duration = Duration::from_millis(250);

/// What one gateway's record shows.
#[derive(Debug)]
pub struct GatewayOutcome {
    /// The clauses that were broken.
    pub breaks: Vec<Break>,
    /// All that was seen.
    pub entries: Vec<Entry>,
}

/// How a trial ended.
#[derive(Debug)]
pub struct FleetOutcome {
    /// How late the trial's own program ran at most; it says nothing if that is too much, see [`FleetOutcome::is_void`].
    pub ran_late: Duration,
    /// By gateway.
    pub gateways: Vec<GatewayOutcome>,
    /// Most probes that a machine got within a second.
    pub most_probes: usize,
}

impl FleetOutcome {
    /// Whether the trial's own program ran too late for it to say anything.
    pub fn is_void(&self) -> bool {
        self.ran_late > LATEST
    }

    fn count(&self, counts: impl Fn(&What) -> bool) -> usize {
        let entries = self.gateways.iter().flat_map(|gateway| &gateway.entries);
        entries.filter(|entry| counts(&entry.what)).count()
    }

    /// Set-ups that were written.
    pub fn set_ups(&self) -> usize {
        self.count(|what| matches!(what, What::SetUpWritten { .. }))
    }

    /// Set-ups that were served.
    pub fn served(&self) -> usize {
        self.count(|what| matches!(what, What::Served { .. }))
    }

    /// Answers that viewers read behind the moment in which they had left at their host; and viewers that left there
    /// soon behind the host's answer.
    pub fn crossings(&self) -> (usize, usize) {
        let of_all = self.gateways.iter().map(|gateway| crossings(&gateway.entries));
        of_all.fold((0, 0), |all, one| (all.0 + one.0, all.1 + one.1))
    }

    /// Of each set-up whose viewer left at its host before it had any final answer: how long that was behind the host's
    /// answer. A platform that counts no answer behind the end has lost such a request.
    pub fn left_unanswered(&self) -> Vec<Duration> {
        self.gateways.iter().flat_map(|gateway| left_unanswered(&gateway.entries)).collect()
    }

    /// All breaks, with the number of their gateway.
    pub fn breaks(&self) -> impl Iterator<Item = (usize, &Break)> {
        let by_gateway = self.gateways.iter().enumerate();
        by_gateway.flat_map(|(number, gateway)| gateway.breaks.iter().map(move |broken| (number, broken)))
    }
}

fn crossings(entries: &[Entry]) -> (usize, usize) {
    let (mut answered, mut left) = (std::collections::BTreeMap::new(), std::collections::BTreeSet::new());
    let (mut crossed, mut early) = (0, 0);
    for Entry { at, what } in entries {
        match what {
            What::Answered { session, .. } => drop(answered.insert(*session, *at)),
            What::EndedByHost { session, cause: cause::ENDED_BY_VIEWER, .. } => {
                left.insert(*session);
                early += usize::from(answered.get(session).is_some_and(|answered| *at - *answered < EARLY));
            }
            What::Served { session, .. } => crossed += usize::from(left.contains(session)),
            _ => {}
        }
    }
    (crossed, early)
}

fn left_unanswered(entries: &[Entry]) -> Vec<Duration> {
    let (mut waiting, mut waited) = (std::collections::BTreeMap::new(), Vec::new());
    for Entry { at, what } in entries {
        match what {
            What::Answered { host, session, .. } => drop(waiting.insert(*session, (*host, *at))),
            What::Served { session, .. } | What::Released { session, .. } | What::GivenUp { session } => {
                waiting.remove(session);
            }
            What::EndedByHost { host, session, cause: cause::ENDED_BY_VIEWER } => {
                let answered = waiting.remove(session).filter(|(answering, _)| answering == host);
                waited.extend(answered.map(|(_, answered)| *at - answered));
            }
            _ => {}
        }
    }
    waited
}

/// Plays a trial with the gateway that `program` runs, whose files are kept in `folder`.
pub async fn run(program: &Path, folder: &Path, plan: &FleetPlan) -> Result<FleetOutcome, TrialError> {
    let record = Record::default();
    let clock = spawn_local(watch_clock(record.clone()));
    let records: Vec<_> = plan.gateways.iter().map(|_| record.beside()).collect();
    let mut machines = Vec::new();
    for number in 0..plan.machines {
        machines.push(Machine::start(number, plan, &records).await?);
    }
    let gateways = start_gateways(program, folder, plan, &records).await?;
    for (number, gateway) in gateways.iter().enumerate() {
        let list: Vec<_> = machines.iter().map(|machine| machine.listing(number, "Ready")).collect();
        gateway.tell(true, &list);
    }
    let running: Vec<_> = gateways
        .iter()
        .zip(&plan.gateways)
        .map(|(gateway, lives)| spawn_local(gateway.clone().run(lives.clone())))
        .collect();
    let mut faults: Vec<_> =
        machines.iter().map(|machine| spawn_local(machine.clone().watch_delivery())).collect();
    faults.extend(gateways.iter().map(|gateway| spawn_local(gateway.clone().suffer_journal())));
    for trouble in plan.troubles.iter().copied() {
        let (machine, gateways) = (machines[trouble.machine].clone(), gateways.clone());
        let successor = plan.machines + trouble.machine;
        faults.push(spawn_local(async move {
            let tell = |listings: &dyn Fn(usize) -> Vec<Listing>, over: Option<usize>| {
                for (number, gateway) in gateways.iter().enumerate() {
                    gateway.tell(false, &listings(number));
                    over.into_iter().for_each(|host| gateway.note_replaced(host));
                }
            };
            if let Err(why) = machine.suffer(trouble, successor, tell).await {
                eprintln!("a machine's trouble cannot be played: {why}");
            }
        }));
    }
    for gateway in running {
        gateway.await.map_err(|why| TrialError::Gateway(why.to_string()))??;
    }
    faults.iter().for_each(|task| task.abort());
    clock.abort();
    let outcome = |record: &Record| {
        let entries = record.entries();
        // What a proxy kept back or lost cannot be passed on: those are counted by `left_unanswered`.
        let breaks = judge(&entries).into_iter().filter(|broken| broken.clause != Clause::LeftUnanswered);
        GatewayOutcome { breaks: breaks.collect(), entries }
    };
    Ok(FleetOutcome {
        ran_late: record.latest(),
        gateways: records.iter().map(outcome).collect(),
        most_probes: machines.iter().map(|machine| machine.most_probes()).max().unwrap_or_default(),
    })
}

async fn start_gateways(
    program: &Path,
    folder: &Path,
    plan: &FleetPlan,
    records: &[Record],
) -> Result<Vec<Rc<FleetGateway>>, TrialError> {
    let mut gateways = Vec::new();
    for (number, record) in records.iter().enumerate() {
        let of_gateway = plan.of_gateway(number);
        let places = (program, folder);
        let mut gateway =
            FleetGateway::new(number, records.len(), of_gateway, record.clone(), places).await?;
        gateway.journal_trouble = plan.journals[number];
        gateways.push(Rc::new(gateway));
    }
    Ok(gateways)
}
