//! A gateway's process at its end, with connections of viewers that are busy until it is killed.

use std::time::Duration;

use elderpick_lab::soak::{Outcome, Plan, Scenario, run as run_trial};

mod common;

use common::{folder, program, run};

/// A trial that is void, since the machine was busy, is played again so often.
const MOST_VOID: usize = 5;

/// Plays the seeds with this longest deadline: no rule is broken, and the process ends by itself.
fn plays(deadline_ms: u64, seeds: std::ops::RangeInclusive<u64>, scenarios: &[Scenario]) {
    let names: Vec<_> = scenarios.iter().map(|scenario| format!("{scenario:?}")).collect();
    let folder = folder(&format!("shutdown-{deadline_ms}-{}", names.join("-")));
    run(async {
        for seed in seeds {
            let plan = Plan::draw(seed, scenarios, Some(Duration::from_millis(deadline_ms)));
            let mut judged = false;
            for _ in 0..MOST_VOID {
                match run_trial(&program(), &folder, &plan).await.unwrap() {
                    Outcome::Void(late) => eprintln!("seed {seed}: void, {late:?} late"),
                    Outcome::Judged { breaks, set_ups, .. } => {
                        assert!(set_ups > 0, "seed {seed}");
                        let texts: Vec<_> = breaks.iter().map(ToString::to_string).collect();
                        assert!(texts.is_empty(), "seed {seed}, {deadline_ms} ms:\n{}", texts.join("\n"));
                        judged = true;
                        break;
                    }
                }
            }
            assert!(judged, "seed {seed}, {deadline_ms} ms: void {MOST_VOID} times");
        }
    });
    let _ = std::fs::remove_dir_all(&folder);
}

#[test]
fn set_ups_on_busy_connections_are_lost_at_shutdown_with_short_deadlines() {
    plays(1, 1..=2, &[Scenario::Shutdowns]);
    plays(50, 1..=3, &[Scenario::Shutdowns]);
    plays(100, 1..=4, &[Scenario::Shutdowns]);
    plays(300, 1..=4, &[Scenario::Shutdowns, Scenario::Pieces]);
}

#[test]
fn set_ups_on_busy_connections_are_lost_at_shutdown_with_long_deadlines() {
    plays(1_000, 1..=4, &[Scenario::Shutdowns]);
    plays(3_000, 1..=2, &[Scenario::Shutdowns]);
    plays(20_000, 1..=2, &[Scenario::Shutdowns]);
}

#[test]
fn a_standstill_or_hanging_hosts_within_the_shutdown_lose_set_ups() {
    plays(300, 1..=4, &[Scenario::Stalls, Scenario::Crowd]);
    plays(1_000, 1..=2, &[Scenario::Stalls, Scenario::Pieces, Scenario::Clients]);
}
