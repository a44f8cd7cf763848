//! What one trial does, drawn from its seed: the same on every machine.

use std::time::Duration;

use clap::ValueEnum;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// A kind of trouble.
#[derive(Clone, Copy, PartialEq, Eq, Debug, ValueEnum)]
pub enum Scenario {
    /// The gateway is told to end while its connections are busy, and killed at the earliest time.
    Shutdowns,
    /// Hosts reset connections under requests, idle ones, and in the middle of answers.
    Network,
    /// Viewers give up, leave at their hosts around the answer, and close connections.
    Clients,
    /// All that is written comes in pieces.
    Pieces,
    /// Ten times the requests for a moment.
    Crowd,
    /// The gateway is killed, starts again at its address, and is handed the sessions that stand.
    Kills,
    /// A host dies, comes back at its address, and the list tells late of its start.
    Replacements,
    /// The gateway's process stands still for half a second within its shutdown.
    Stalls,
    /// Viewers look at their delivery every 250 ms, all of them at one moment, and some leave at their hosts.
    Looks,
}

/// Deadlines of a trial that is not told one.
const DEADLINES_MS: [u64; 5] = [100, 300, 1_000, 2_000, 3_000];
/// A longer deadline counts as this one at a shutdown.
const LONGEST_COUNTED: Duration = Duration::from_secs(3);
/// A gateway may be killed so long after SIGTERM, beside the longest deadline.
const KILL_AFTER_DEADLINE: Duration = Duration::from_millis(700);

/// What the list tells has its consequences within this time.
const SETTLES: Duration = Duration::from_millis(1_300);
/// How long a process stands still, and how long before the kill it goes on at the latest.
pub const STALL: Duration = Duration::from_millis(500);
const RESUMES_BEFORE_KILL: Duration = Duration::from_millis(100);

/// The earliest time after SIGTERM at which a gateway may be killed, for its longest deadline.
fn kill_after(deadline: Duration) -> Duration {
    deadline.min(LONGEST_COUNTED) + KILL_AFTER_DEADLINE
}

/// Shares of set-ups that a host treats so, from 0 to 1; the rest is answered.
#[derive(Clone, Copy, Debug)]
pub struct HostShares {
    /// Never answered.
    pub silent: f64,
    /// Refused as full.
    pub full: f64,
    /// Failed.
    pub failed: f64,
    /// The connection is reset while the set-up is open.
    pub reset: f64,
    /// The connection is closed in the middle of the answer.
    pub cut: f64,
    /// The viewer leaves at the host right behind the answer.
    pub left: f64,
    /// The answer cannot be read, or tells a length that does not fit.
    pub spoilt: f64,
    /// The answer comes twice, the second time some milliseconds later.
    pub doubled: f64,
}

/// A kill without a warning, and the start behind it.
#[derive(Clone, Copy, Debug)]
pub struct Kill {
    /// When the process is killed.
    pub at: Duration,
    /// How long it is gone.
    pub gone_for: Duration,
    /// How long it runs then until it is told to end.
    pub runs_for: Duration,
}

/// The death of the first host, and its return at the same address.
#[derive(Clone, Copy, Debug)]
pub struct Replacement {
    /// When it dies.
    pub at: Duration,
    /// How long it is gone.
    pub gone_for: Duration,
    /// How long behind its return the list tells of it.
    pub told_after: Duration,
}

impl Replacement {
    /// When the list tells of the return.
    pub fn told_at(&self) -> Duration {
        self.at + self.gone_for + self.told_after
    }
}

/// What one trial does.
#[derive(Clone, Debug)]
pub struct Plan {
    /// The seed that all of it is drawn from.
    pub seed: u64,
    /// The kinds of trouble.
    pub scenarios: Vec<Scenario>,
    /// The longest deadline of the classes.
    pub deadline: Duration,
    /// How many media hosts there are.
    pub hosts: usize,
    /// How many connections viewers keep.
    pub connections: usize,
    /// Set-ups a second, on all connections together.
    pub rate: f64,
    /// What hosts do.
    pub shares: HostShares,
    /// Share of set-ups that their viewers give up before their time.
    pub gives_up: f64,
    /// Whether hosts and viewers write in pieces.
    pub pieces: bool,
    /// A crowd comes at this time.
    pub crowd_at: Option<Duration>,
    /// When the gateway is told to end. It is told in each trial, since only then all is settled.
    pub terminate_at: Duration,
    /// The process is killed at this time and is gone for so long.
    pub kill: Option<Kill>,
    /// The first host dies and is replaced.
    pub replacement: Option<Replacement>,
    /// The process stands still this long after it was told to end.
    pub stall_after: Option<Duration>,
    /// For how long after that new connections come.
    pub connects_for: Duration,
    /// Descriptors of the gateway.
    pub sockets: usize,
    /// How long sessions that are not left early stand at most.
    pub longest_session: Duration,
    /// Share of a host's viewers that leave at each look at their delivery.
    pub leaves_at_look: f64,
    /// Offers and descriptions have the lines of the platform's own; else a line of no type each.
    pub described_in_lines: bool,
    /// How often viewers reset each of their connections, a second.
    pub client_resets: f64,
}

/// Viewers look at their delivery so often, and this share of them leaves at a look.
pub const LOOKS_EVERY: Duration = Duration::from_millis(250);
const LEAVES_AT_LOOK: f64 = 0.3;
/// Sessions that are not left early stand so long at most, unless a trial says otherwise.
const LONGEST_SESSION: Duration = Duration::from_millis(1_500);

impl Plan {
    /// Draws a trial. `deadline` is drawn as well unless it is told.
    pub fn draw(seed: u64, scenarios: &[Scenario], deadline: Option<Duration>) -> Plan {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let has = |scenario| scenarios.contains(&scenario);
        let drawn = Duration::from_millis(DEADLINES_MS[random.random_range(0..DEADLINES_MS.len())]);
        let network = if has(Scenario::Network) { 0.06 } else { 0.0 };
        let shares = HostShares {
            silent: if random.random_bool(0.5) { 0.05 } else { 0.5 },
            full: random.random_range(0.0..0.1),
            failed: random.random_range(0.0..0.05),
            reset: network,
            cut: network,
            left: if has(Scenario::Clients) { 0.1 } else { 0.0 },
            spoilt: 0.0,
            doubled: 0.0,
        };
        let crowd_at = random.random_range(300..900);
        let stall_at: f64 = random.random();
        let deadline = deadline.unwrap_or(drawn);
        let kill = Kill {
            at: Duration::from_millis(random.random_range(600..1_200)),
            gone_for: Duration::from_millis(random.random_range(50..800)),
            runs_for: Duration::from_millis(random.random_range(1_500..2_500)),
        };
        let replacement = Replacement {
            at: Duration::from_millis(random.random_range(400..900)),
            gone_for: Duration::from_millis(random.random_range(20..800)),
            told_after: Duration::from_millis(random.random_range(10..1_500)),
        };
        let replacement = has(Scenario::Replacements).then_some(replacement);
        let terminate_at = Duration::from_millis(random.random_range(700..1_300));
        let settled = replacement.map_or(Duration::ZERO, |replacement| replacement.told_at() + SETTLES);
        let latest_stall = kill_after(deadline).saturating_sub(STALL + RESUMES_BEFORE_KILL);
        Plan {
            seed,
            scenarios: scenarios.to_vec(),
            deadline,
            hosts: random.random_range(2..=5),
            connections: random.random_range(2..=6),
            rate: random.random_range(30.0..90.0),
            shares,
            gives_up: if has(Scenario::Clients) { 0.15 } else { 0.0 },
            pieces: has(Scenario::Pieces) || random.random_bool(0.3),
            crowd_at: has(Scenario::Crowd).then(|| Duration::from_millis(crowd_at)),
            kill: has(Scenario::Kills).then_some(kill),
            stall_after: has(Scenario::Stalls).then(|| latest_stall.mul_f64(stall_at)),
            replacement,
            terminate_at: terminate_at.max(settled),
            connects_for: Duration::from_millis(random.random_range(200..=400)),
            sockets: random.random_range(96..=512),
            longest_session: LONGEST_SESSION,
            leaves_at_look: if has(Scenario::Looks) { LEAVES_AT_LOOK } else { 0.0 },
            described_in_lines: seed.is_multiple_of(2),
            client_resets: 0.0,
        }
    }

    /// The earliest time after SIGTERM at which the gateway may be killed.
    pub fn kill_after(&self) -> Duration {
        kill_after(self.deadline)
    }

    /// A random generator for one part of the trial, which no other part's draws change.
    pub fn random(&self, part: u64) -> ChaCha8Rng {
        let mut random = ChaCha8Rng::seed_from_u64(self.seed);
        random.set_stream(part + 1);
        random
    }
}
