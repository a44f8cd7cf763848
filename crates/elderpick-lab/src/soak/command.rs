//! The command `soak`: many trials by their seeds, and a table of what they broke.

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::path::{Path, PathBuf};
use std::str::FromStr;
use std::time::Duration;

use clap::Args;

use super::fleet::{self, FleetOutcome, FleetPlan};
use super::judge::Clause;
use super::plan::{Plan, Scenario};
use super::trial::{self, Outcome, TrialError};

/// What crosses within this time does so on the network's account: every time limit of the rules is longer by it.
const ANSWER_MAY_CROSS: Duration = Duration::from_millis(50);
/// Breaks of one trial whose timelines are printed; all of them are counted and kept.
const MOST_PRINTED: usize = 2;

/// A range of seeds, both ends among them: `1-50`, or one seed alone.
#[derive(Clone, Copy, Debug)]
pub struct Seeds {
    first: u64,
    last: u64,
}

/// Why a range of seeds cannot be read.
#[derive(Debug, thiserror::Error)]
#[error("{0:?} is no range of seeds such as 1-50")]
pub struct SeedsError(String);

impl FromStr for Seeds {
    type Err = SeedsError;

    fn from_str(text: &str) -> Result<Seeds, SeedsError> {
        let (first, last) = text.split_once('-').unwrap_or((text, text));
        let number = |text: &str| text.trim().parse().map_err(|_| SeedsError(text.to_owned()));
        let seeds = Seeds { first: number(first)?, last: number(last)? };
        if seeds.first > seeds.last { Err(SeedsError(text.to_owned())) } else { Ok(seeds) }
    }
}

/// What to play.
#[derive(Args, Clone, Debug)]
pub struct Options {
    /// Seeds to play, such as 1-50.
    #[arg(long, default_value = "1-8")]
    pub seeds: Seeds,
    /// Kinds of trouble, joined with '+'.
    #[arg(long, value_enum, value_delimiter = '+', default_value = "shutdowns")]
    pub scenario: Vec<Scenario>,
    /// The longest deadline in milliseconds; drawn by the seed unless it is told.
    #[arg(long)]
    pub deadline_ms: Option<u64>,
    /// Play a fleet of so many gateways that share machines, with all kinds of trouble, in place of one gateway.
    #[arg(long)]
    pub gateways: Option<usize>,
    /// Set-ups a second that each gateway of a fleet gets; drawn by the seed unless it is told.
    #[arg(long, requires = "gateways")]
    pub rate: Option<f64>,
    /// Play another build of this program, such as an earlier release, in place of this one.
    #[arg(long)]
    pub program: Option<PathBuf>,
    /// Keep the records of trials that broke anything in this folder.
    #[arg(long)]
    pub out: Option<PathBuf>,
    /// Keep those of a fleet's gateways that kept all rules, too.
    #[arg(long, requires = "out")]
    pub keep_all: bool,
}

/// Trials so far, by how they ended.
#[derive(Default, Debug)]
pub struct Tally {
    /// Trials that kept all rules.
    pub kept: usize,
    /// Trials that say nothing, since this program ran late.
    pub void: usize,
    /// Seeds of trials that broke a rule.
    pub broken: Vec<u64>,
    /// Breaks, by clause.
    pub clauses: BTreeMap<Clause, usize>,
}

/// Plays all seeds, one after the other, with the gateway that `program` runs.
pub async fn run(program: &Path, folder: &Path, options: &Options) -> Result<Tally, TrialError> {
    let program = options.program.as_deref().unwrap_or(program);
    if let Some(gateways) = options.gateways {
        return run_fleets(program, folder, options, gateways).await;
    }
    let mut tally = Tally::default();
    for seed in options.seeds.first..=options.seeds.last {
        let deadline = options.deadline_ms.map(Duration::from_millis);
        let plan = Plan::draw(seed, &options.scenario, deadline);
        let outcome = trial::run(program, folder, &plan).await?;
        println!("{}", tally.add(&plan, &outcome));
        if let (Some(out), Outcome::Judged { breaks, entries, .. }) = (&options.out, &outcome)
            && !breaks.is_empty()
        {
            std::fs::create_dir_all(out)?;
            let lines: Vec<_> = entries.iter().map(ToString::to_string).collect();
            std::fs::write(out.join(format!("seed-{seed}.txt")), lines.join("\n") + "\n")?;
        }
    }
    Ok(tally)
}

/// Plays all seeds with fleets of so many gateways.
async fn run_fleets(
    program: &Path,
    folder: &Path,
    options: &Options,
    gateways: usize,
) -> Result<Tally, TrialError> {
    let mut tally = Tally::default();
    for seed in options.seeds.first..=options.seeds.last {
        let mut plan = FleetPlan::draw(seed, gateways);
        if let Some(rate) = options.rate {
            plan.set_rate(rate);
        }
        let folder = folder.join(format!("seed-{seed}"));
        let outcome = fleet::run(program, &folder, &plan).await?;
        println!("{}", tally.add_fleet(&plan, &outcome));
        if let Some(out) = &options.out {
            keep_records(&folder, &out.join(format!("seed-{seed}")), &outcome, options.keep_all)?;
        }
        let _ = std::fs::remove_dir_all(&folder);
    }
    Ok(tally)
}

/// Keeps the record and the logs of each gateway for which a clause was broken, or of all.
fn keep_records(folder: &Path, out: &Path, outcome: &FleetOutcome, all: bool) -> std::io::Result<()> {
    for (number, gateway) in outcome.gateways.iter().enumerate() {
        if gateway.breaks.is_empty() && !all {
            continue;
        }
        let (from, to) = (folder.join(format!("gateway-{number}")), out.join(format!("gateway-{number}")));
        std::fs::create_dir_all(&to)?;
        let lines: Vec<_> = gateway.entries.iter().map(ToString::to_string).collect();
        std::fs::write(to.join("record.txt"), lines.join("\n") + "\n")?;
        for file in std::fs::read_dir(from)? {
            let file = file?;
            std::fs::copy(file.path(), to.join(file.file_name()))?;
        }
    }
    Ok(())
}

impl Tally {
    /// Counts a fleet's trial, and tells of it in a line or more.
    fn add_fleet(&mut self, plan: &FleetPlan, outcome: &FleetOutcome) -> String {
        let (seed, late) = (plan.seed, outcome.ran_late.as_millis());
        let mut text =
            format!("seed {seed:>4}  {} gateways  {} machines  ", plan.gateways.len(), plan.machines);
        let (crossed, early) = outcome.crossings();
        let unanswered = outcome.left_unanswered();
        let breaks: Vec<_> = outcome.breaks().collect();
        let _ = write!(
            text,
            "{:>5} set-ups  {:>5} served  {early:>3} left early  {crossed:>3} before their answer  {:>3} unanswered ({} after 50 ms)  {:>3} probes/s  {} breaks",
            outcome.set_ups(),
            outcome.served(),
            unanswered.len(),
            unanswered.iter().filter(|waited| **waited >= ANSWER_MAY_CROSS).count(),
            outcome.most_probes,
            breaks.len(),
        );
        if outcome.is_void() {
            self.void += 1;
            let clauses: Vec<_> = breaks.iter().map(|(_, broken)| broken.clause).collect();
            let _ = write!(text, "  void: this program ran {late} ms late; {clauses:?}");
            return text;
        }
        if breaks.is_empty() {
            self.kept += 1;
        } else {
            self.broken.push(seed);
        }
        for (_, broken) in &breaks {
            *self.clauses.entry(broken.clause).or_default() += 1;
        }
        for (gateway, broken) in breaks.iter().take(MOST_PRINTED) {
            let _ = write!(text, "\n  gateway {gateway}: {broken}");
        }
        text
    }

    /// Counts a trial, and tells of it in a line or more.
    fn add(&mut self, plan: &Plan, outcome: &Outcome) -> String {
        let mut text = format!("seed {:>4}  deadline {:>5} ms  ", plan.seed, plan.deadline.as_millis());
        match outcome {
            Outcome::Void(late) => {
                self.void += 1;
                let _ = write!(text, "void: this program ran {} ms late", late.as_millis());
            }
            Outcome::Judged { set_ups, served, ended_after, breaks, .. } => {
                let ended = ended_after.as_millis();
                let _ = write!(text, "{set_ups:>4} set-ups  {served:>4} served  ended after {ended:>4} ms");
                let _ = write!(text, " of {:>4}  {} breaks", plan.kill_after().as_millis(), breaks.len());
                if breaks.is_empty() {
                    self.kept += 1;
                } else {
                    self.broken.push(plan.seed);
                }
                breaks.iter().for_each(|broken| *self.clauses.entry(broken.clause).or_default() += 1);
                breaks.iter().take(MOST_PRINTED).for_each(|broken| {
                    let _ = write!(text, "\n  {broken}");
                });
            }
        }
        text
    }
}
