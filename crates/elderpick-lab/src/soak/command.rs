//! The command `soak`: many trials by their seeds, and a table of what they broke.

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::path::{Path, PathBuf};
use std::str::FromStr;
use std::time::Duration;

use clap::Args;

use super::judge::Clause;
use super::plan::{Plan, Scenario};
use super::trial::{self, Outcome, TrialError};

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
    /// Keep the records of trials that broke anything in this folder.
    #[arg(long)]
    pub out: Option<PathBuf>,
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

impl Tally {
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
