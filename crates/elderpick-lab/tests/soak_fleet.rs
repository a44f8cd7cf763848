//! Fleets of real gateways that share machines behind fault proxies, restarted in series: seeded trials, and their judge.

use elderpick_lab::soak::fleet::{self, FleetPlan};

mod common;

use common::{folder, program, run};

/// Each trial: its seed, and how many gateways it has.
const TRIALS: [(u64, usize); 4] = [(1, 24), (2, 12), (4, 24), (8, 6)];
/// A trial that breaks a rule while this program ran late, since the machine was busy, is played again so often.
const MOST_VOID: usize = 3;
/// So many have to be judged, however busy the machine is.
const LEAST_JUDGED: usize = 2;

#[test]
fn fleets_under_faults_lose_sessions_of_hosts_that_are_gone() {
    let folder = folder("soak-fleet");
    let mut judged = 0;
    run(async {
        for (seed, gateways) in TRIALS {
            for _ in 0..MOST_VOID {
                let plan = FleetPlan::draw(seed, gateways);
                let outcome = fleet::run(&program(), &folder.join(seed.to_string()), &plan).await.unwrap();
                assert!(outcome.served() > 0, "seed {seed}");
                let breaks = outcome.breaks().map(|(gateway, broken)| format!("gateway {gateway}: {broken}"));
                let breaks: Vec<_> = breaks.collect();
                // What keeps all rules though this program ran late keeps them.
                if outcome.is_void() && !breaks.is_empty() {
                    eprintln!("seed {seed}: void, {:?} late", outcome.ran_late);
                    continue;
                }
                assert!(breaks.is_empty(), "seed {seed}, {gateways} gateways:\n{}", breaks.join("\n"));
                judged += 1;
                break;
            }
        }
    });
    assert!(judged >= LEAST_JUDGED, "{judged} trials were judged");
    let _ = std::fs::remove_dir_all(&folder);
}
