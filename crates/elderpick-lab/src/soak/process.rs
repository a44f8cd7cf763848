//! What a record tells of the gateway's processes, one behind the other, of its connections and of its hosts.

use std::collections::BTreeMap;
use std::time::Duration;

use super::record::{Connection, What};

/// One process of a gateway.
#[derive(Clone, Copy, Default, Debug)]
pub(super) struct Life {
    pub began: Duration,
    pub terminated: Option<Duration>,
    pub killed: Option<Duration>,
    /// When it ended behind SIGTERM, and whether by itself and without an error.
    pub ended: Option<(Duration, bool)>,
}

impl Life {
    /// When it ended, in whatever way.
    pub fn over_at(&self) -> Option<Duration> {
        self.killed.into_iter().chain(self.ended.map(|(at, _)| at)).min()
    }

    /// Whether it ran all that time and was not told to end.
    pub fn serves_through(&self, from: Duration, until: Duration) -> bool {
        let stopped = |at: Option<Duration>| at.is_some_and(|at| at <= until);
        from >= self.began && !stopped(self.terminated) && !stopped(self.over_at())
    }
}

/// What is known of a gateway's processes, its connections, and its hosts.
pub(super) struct Process {
    lives: Vec<Life>,
    closed: BTreeMap<Connection, Duration>,
    left: BTreeMap<Connection, Duration>,
    /// When the list told that a host runs anew or is gone.
    replaced: BTreeMap<usize, Duration>,
    /// When each host could not be reached: since, and until.
    suspended: BTreeMap<usize, Vec<(Duration, Option<Duration>)>>,
    stopped: Option<Duration>,
    resumed: Option<Duration>,
    /// The end of the record.
    pub end: Duration,
}

impl Default for Process {
    fn default() -> Process {
        Process {
            lives: vec![Life::default()],
            closed: BTreeMap::new(),
            left: BTreeMap::new(),
            replaced: BTreeMap::new(),
            suspended: BTreeMap::new(),
            stopped: None,
            resumed: None,
            end: Duration::ZERO,
        }
    }
}

impl Process {
    /// Takes what is no session's.
    pub fn add(&mut self, at: Duration, what: &What) {
        match what {
            What::Closed { connection } => drop(self.closed.insert(*connection, at)),
            What::LeftConnection { connection } => drop(self.left.insert(*connection, at)),
            What::ReplacementListed { host } => drop(self.replaced.insert(*host, at)),
            What::HostSuspended { host } => self.suspended.entry(*host).or_default().push((at, None)),
            What::HostResumed { host } => {
                if let Some((_, until)) = self.suspended.entry(*host).or_default().last_mut() {
                    *until = Some(at);
                }
            }
            What::Started => self.start(at),
            What::Killed => {
                self.current().killed = Some(at);
                self.lives.push(Life { began: at, ..Life::default() });
            }
            What::Terminated => self.current().terminated = Some(at),
            What::Stopped => self.stopped = Some(at),
            What::Resumed => self.resumed = Some(at),
            What::Ended { clean } => self.current().ended = Some((at, *clean)),
            _ => {}
        }
    }

    fn start(&mut self, at: Duration) {
        match self.current().ended {
            Some(_) => self.lives.push(Life { began: at, ..Life::default() }),
            None => self.current().began = at,
        }
    }

    fn current(&mut self) -> &mut Life {
        self.lives.last_mut().expect("there is always one")
    }

    /// The last process.
    pub fn last(&self) -> &Life {
        self.lives.last().expect("there is always one")
    }

    /// The process that ran at this time, or ran last before it.
    pub fn life_at(&self, time: Duration) -> &Life {
        self.lives.iter().rev().find(|life| life.began <= time).unwrap_or(&self.lives[0])
    }

    /// Processes that were told to end and did not do so by themselves, or were never told.
    pub fn not_ended(&self) -> impl Iterator<Item = &Life> {
        self.lives.iter().filter(|life| life.killed.is_none() && !life.ended.is_some_and(|(_, clean)| clean))
    }

    /// When a viewers' connection was closed.
    pub fn closed(&self, connection: Connection) -> Option<Duration> {
        self.closed.get(&connection).copied()
    }

    /// When viewers reset a connection.
    pub fn left(&self, connection: Connection) -> Option<Duration> {
        self.left.get(&connection).copied()
    }

    /// When the list told that a host runs anew or is gone.
    pub fn replaced(&self, host: usize) -> Option<Duration> {
        self.replaced.get(&host).copied()
    }

    /// The first moment from this time on in which a host could be reached.
    pub fn reachable_since(&self, host: usize, time: Duration) -> Duration {
        let suspended = self.suspended.get(&host).into_iter().flatten();
        let behind = suspended.filter(|(_, until)| until.is_none_or(|until| until > time));
        behind.fold(time, |reachable, (_, until)| reachable.max(until.unwrap_or(self.end)))
    }

    /// For how long behind this time the process was stopped: it can answer nothing meanwhile.
    pub fn stopped_behind(&self, time: Duration) -> Duration {
        let (Some(stopped), Some(resumed)) = (self.stopped, self.resumed) else { return Duration::ZERO };
        resumed.saturating_sub(stopped.max(time))
    }
}
