//! What one trial of a fleet does, drawn from its seed.

use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::soak::plan::{HostShares, Plan};

/// Longest deadlines that are drawn.
const DEADLINES_MS: [u64; 3] = [600, 1_000, 2_000];
/// A trial begins its faults behind this time.
const QUIET_FOR: Duration = Duration::from_millis(800);
/// Faults of machines begin within this time.
const FAULTS_WITHIN: Duration = Duration::from_millis(6_500);
/// Sessions stand so long at most: some through several processes of their gateway.
const LONGEST_SESSION: Duration = Duration::from_secs(9);
/// The seeds of one trial's gateways lie so far apart from the next trial's.
const SEEDS_PER_TRIAL: u64 = 1_024;

/// How a gateway's process ends.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum LifeEnd {
    /// By SIGTERM, with SIGKILL at the earliest time.
    Terminated,
    /// By SIGKILL without a warning.
    Killed,
}

/// One process of a gateway.
#[derive(Clone, Debug)]
pub struct LifePlan {
    /// How long it runs until it is told to end, or killed.
    pub runs_for: Duration,
    /// How it ends.
    pub end: LifeEnd,
    /// How long the gateway is gone then.
    pub gone_for: Duration,
    /// When it gets SIGHUP, each time with another journal.
    pub hang_ups: Vec<Duration>,
    /// It gets SIGHUP and a second SIGTERM so long behind the first.
    pub signals_again_after: Option<Duration>,
}

/// What happens to the journal of a gateway.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum JournalTrouble {
    /// Its streams break off in the middle of an event.
    BreaksOff,
    /// Its streams stay open and say nothing more.
    FallsSilent,
    /// For a while it answers calls and closes.
    Closes {
        /// For how long.
        lasts: Duration,
    },
    /// For a while calls are answered, and nothing is said.
    Mute {
        /// For how long.
        lasts: Duration,
    },
}

/// What happens to a machine.
#[derive(Clone, Copy, Debug)]
pub enum Trouble {
    /// Its process dies and comes back at its address under its name.
    Replaced {
        /// How long it is gone.
        gone_for: Duration,
    },
    /// Its process dies and another one, under another name, takes its address.
    Succeeded {
        /// How long nothing listens there.
        gone_for: Duration,
        /// It is told to be draining so long before.
        drains_for: Duration,
    },
    /// It reads and writes nothing for a while, and goes on.
    Hangs {
        /// For how long.
        lasts: Duration,
    },
    /// The network cuts it off, without a word, and heals.
    CutOff {
        /// For how long.
        lasts: Duration,
    },
}

/// A machine's trouble, and when the list tells of it.
#[derive(Clone, Copy, Debug)]
pub struct MachineTrouble {
    /// The machine.
    pub machine: usize,
    /// When it begins.
    pub at: Duration,
    /// What it is.
    pub trouble: Trouble,
    /// How long behind the change the list tells of it.
    pub told_after: Duration,
}

/// Shares of connections to machines that the proxy treats so; the rest is passed on.
#[derive(Clone, Copy, Debug)]
pub struct ProxyShares {
    /// Reset as soon as it is up.
    pub reset_new: f64,
    /// Reset behind some bytes of the gateway's, in the middle of a message.
    pub reset_request: f64,
    /// Reset behind some bytes of the machine's.
    pub reset_answer: f64,
    /// Reset after some time, whatever is on it.
    pub reset_later: f64,
    /// Ended in order after some time.
    pub closed_later: f64,
    /// Silent for a moment in the middle of an answer.
    pub stalls: f64,
}

/// What one trial of a fleet does.
#[derive(Clone, Debug)]
pub struct FleetPlan {
    /// The seed that all of it is drawn from.
    pub seed: u64,
    /// The processes of each gateway.
    pub gateways: Vec<Vec<LifePlan>>,
    /// How many machines there are at first.
    pub machines: usize,
    /// What viewers and media hosts do.
    pub base: Plan,
    /// What happens to the journal of each gateway, and when.
    pub journals: Vec<Option<(Duration, JournalTrouble)>>,
    /// What happens to machines.
    pub troubles: Vec<MachineTrouble>,
    /// What happens to connections.
    pub proxy: ProxyShares,
    /// Sessions that a machine's link carries at their full rate.
    pub capacity: f64,
    /// Sessions that a probe counts for.
    pub probe_cost: f64,
    /// Share of sessions at a machine that is short which are left at each look of their viewers.
    pub leaves_when_short: f64,
    /// A crowd comes to all gateways at this time.
    pub crowd_at: Option<Duration>,
}

impl FleetPlan {
    /// Draws a trial of so many gateways.
    pub fn draw(seed: u64, gateways: usize) -> FleetPlan {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let deadline = Duration::from_millis(DEADLINES_MS[random.random_range(0..DEADLINES_MS.len())]);
        let machines = random.random_range(5..=8);
        let crowd_at = random.random_bool(0.3).then(|| draw_time(&mut random, QUIET_FOR, FAULTS_WITHIN));
        let mut base = Plan::draw(seed, &[], Some(deadline));
        base.hosts = machines;
        base.connections = random.random_range(2..=4);
        base.rate = random.random_range(6.0..14.0);
        base.shares = HostShares {
            silent: 0.03,
            full: 0.03,
            failed: 0.02,
            reset: 0.02,
            cut: 0.02,
            left: 0.06,
            spoilt: 0.03,
            doubled: 0.03,
        };
        base.gives_up = 0.1;
        base.crowd_at = crowd_at;
        base.kill = None;
        base.longest_session = LONGEST_SESSION;
        base.client_resets = 0.4;
        let troubles = (0..machines).flat_map(|machine| draw_trouble(&mut random, machine)).collect();
        let mut lives: Vec<_> = (0..gateways).map(|_| draw_lives(&mut random)).collect();
        // Of a stream of their own: what else a seed draws stays as it is.
        let mut others = ChaCha8Rng::seed_from_u64(seed);
        others.set_stream(1);
        let journals = (0..gateways).map(|_| draw_journal_trouble(&mut others)).collect();
        for life in lives.iter_mut().flatten() {
            life.signals_again_after = others.random_bool(0.3).then(|| draw_ms(&mut others, 10..1_200));
        }
        // About as much as is asked for in the mean, so that some machines are short at times.
        let asked = gateways as f64 * base.rate * LONGEST_SESSION.as_secs_f64() / 2.0 / machines as f64;
        FleetPlan {
            seed,
            gateways: lives,
            machines,
            base,
            journals,
            troubles,
            proxy: ProxyShares {
                reset_new: 0.02,
                reset_request: 0.02,
                reset_answer: 0.03,
                reset_later: 0.08,
                closed_later: 0.05,
                stalls: 0.05,
            },
            capacity: asked * random.random_range(0.5..1.2),
            probe_cost: 0.2,
            leaves_when_short: 0.1,
            crowd_at,
        }
    }

    /// Lets each gateway get so many set-ups a second, and machines carry as many more or fewer sessions.
    pub fn set_rate(&mut self, rate: f64) {
        self.capacity *= rate / self.base.rate;
        self.base.rate = rate;
    }

    /// What the viewers of a gateway do, and the hosts towards it.
    pub fn of_gateway(&self, gateway: usize) -> Plan {
        Plan { seed: self.seed * SEEDS_PER_TRIAL + gateway as u64, ..self.base.clone() }
    }
}

fn draw_time(random: &mut ChaCha8Rng, from: Duration, to: Duration) -> Duration {
    random.random_range(from..to)
}

fn draw_ms(random: &mut ChaCha8Rng, range: std::ops::Range<u64>) -> Duration {
    Duration::from_millis(random.random_range(range))
}

fn draw_trouble(random: &mut ChaCha8Rng, machine: usize) -> Option<MachineTrouble> {
    let kind = random.random_range(0..8);
    let at = draw_time(random, QUIET_FOR, FAULTS_WITHIN);
    let trouble = match kind {
        0 => Trouble::Replaced { gone_for: draw_ms(random, 5..1_500) },
        1 => Trouble::Succeeded { gone_for: draw_ms(random, 1..60), drains_for: Duration::ZERO },
        2 => Trouble::Succeeded { gone_for: draw_ms(random, 1..800), drains_for: draw_ms(random, 200..900) },
        3 => Trouble::Hangs { lasts: draw_ms(random, 200..4_000) },
        4 => Trouble::CutOff { lasts: draw_ms(random, 200..5_000) },
        _ => return None,
    };
    Some(MachineTrouble { machine, at, trouble, told_after: draw_ms(random, 10..1_500) })
}

fn draw_journal_trouble(random: &mut ChaCha8Rng) -> Option<(Duration, JournalTrouble)> {
    let at = draw_time(random, QUIET_FOR, FAULTS_WITHIN);
    let lasts = draw_ms(random, 300..3_000);
    let trouble = match random.random_range(0..10) {
        0 => JournalTrouble::BreaksOff,
        1 => JournalTrouble::FallsSilent,
        2 => JournalTrouble::Closes { lasts },
        3 => JournalTrouble::Mute { lasts },
        _ => return None,
    };
    Some((at, trouble))
}

/// Up to three processes behind one another, of which each but the last ends early.
fn draw_lives(random: &mut ChaCha8Rng) -> Vec<LifePlan> {
    let count = random.random_range(1..=3);
    let mut lives: Vec<_> = (0..count)
        .map(|_| LifePlan {
            runs_for: draw_ms(random, 1_200..3_500),
            end: if random.random_bool(0.6) { LifeEnd::Terminated } else { LifeEnd::Killed },
            gone_for: draw_ms(random, 20..900),
            hang_ups: (0..random.random_range(0..3)).map(|_| draw_ms(random, 300..1_100)).collect(),
            signals_again_after: None,
        })
        .collect();
    if let Some(last) = lives.last_mut() {
        last.end = LifeEnd::Terminated;
        // All that happened before has had its consequences by then.
        last.runs_for = draw_ms(random, 3_500..6_000);
    }
    lives
}
