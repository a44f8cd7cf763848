//! Judges a trial by the platform's rules, from the record of its peers alone.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::time::Duration;

use super::record::{Connection, Entry, What};

/// A set-up that crosses the end of its connection within this time is sent once more, on a new one.
const CROSSES_CLOSE: Duration = Duration::from_millis(50);
/// An answer may be so late; it earns nothing then.
const LATE_ANSWER: Duration = Duration::from_millis(500);
/// What the gateway took later than this after SIGTERM and SIGKILL finds unanswered is lost.
const EXCUSED_AT_KILL: Duration = Duration::from_millis(700);
/// An attempt may arrive so long after its viewer gave up.
const ARRIVES_AFTER_GIVE_UP: Duration = Duration::from_millis(100);
/// Viewers hear of the end of a session within this time.
const RELEASED_WITHIN: Duration = Duration::from_millis(1_050);
/// The status that proves that a set-up never ran.
const FULL: u16 = 453;
/// The cause of an end that its viewer is not owed a release for.
const ENDED_BY_VIEWER: u8 = 31;

/// A clause of the rules.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub enum Clause {
    /// A set-up that was taken got no final answer in time.
    NoAnswer,
    /// A set-up got a second answer.
    SecondAnswer,
    /// A set-up was served with something that no host made for it.
    WrongAnswer,
    /// A session stands at a host and nobody was told.
    LeftStanding,
    /// A paid set-up ran more than once.
    Duplicate,
    /// An attempt arrived after its viewer had given up.
    AfterGiveUp,
    /// A viewer was not told in time that its session is over.
    NotReleased,
    /// The gateway had to be killed, or failed.
    NotEnded,
}

/// A clause that was broken.
#[derive(Clone, Debug)]
pub struct Break {
    /// The clause.
    pub clause: Clause,
    /// The session that it was broken for, if it was one.
    pub session: Option<u64>,
    /// All that was seen of that session.
    pub timeline: Vec<Entry>,
}

impl fmt::Display for Break {
    fn fmt(&self, out: &mut fmt::Formatter) -> fmt::Result {
        write!(out, "{:?}", self.clause)?;
        if let Some(session) = self.session {
            write!(out, " {session:016x}")?;
        }
        self.timeline.iter().try_for_each(|entry| write!(out, "\n    {entry}"))
    }
}

/// What is known of one session.
#[derive(Default)]
struct Seen {
    written: Option<(Duration, Connection, Duration)>,
    paid: bool,
    given_up: Option<Duration>,
    finals: Vec<(Duration, Final)>,
    handed_over: Option<Duration>,
    /// Its viewer ended it, and is owed no release.
    ended_by_viewer: bool,
    arrived: Vec<(Duration, usize)>,
    answered: Vec<(usize, String)>,
    full: BTreeSet<usize>,
    ended_by_host: Option<(Duration, u8)>,
    cut: Option<(Duration, usize)>,
    standing_at: BTreeSet<usize>,
}

#[derive(Clone, PartialEq, Eq)]
enum Final {
    Served(String),
    Released,
}

/// What is known of the gateway and its connections.
#[derive(Default)]
struct Process {
    closed: BTreeMap<Connection, Duration>,
    /// When the list told that a host runs anew.
    replaced: BTreeMap<usize, Duration>,
    terminated: Option<Duration>,
    killed: Option<Duration>,
    stopped: Option<Duration>,
    resumed: Option<Duration>,
    ended: Option<(Duration, bool)>,
}

impl Process {
    /// Whether it was killed without a warning behind this time.
    fn was_killed_since(&self, time: Duration) -> bool {
        self.killed.is_some_and(|killed| killed >= time)
    }

    /// For how long behind this time the process was stopped: it can answer nothing meanwhile.
    fn stopped_behind(&self, time: Duration) -> Duration {
        let (Some(stopped), Some(resumed)) = (self.stopped, self.resumed) else { return Duration::ZERO };
        resumed.saturating_sub(stopped.max(time))
    }
}

/// The clauses that were broken, in the order of sessions.
pub fn judge(entries: &[Entry]) -> Vec<Break> {
    let (sessions, process) = collect(entries);
    let mut breaks: Vec<_> = sessions
        .iter()
        .flat_map(|(session, seen)| broken(seen, &process).into_iter().map(|clause| (clause, Some(*session))))
        .collect();
    if !process.ended.is_some_and(|(_, clean)| clean) {
        breaks.push((Clause::NotEnded, None));
    }
    let timeline = |session: Option<u64>| {
        let of_session = entries.iter().filter(|entry| session.is_none() || concerns(&entry.what, session));
        let of_process = |entry: &&Entry| session.is_some() || concerns(&entry.what, None);
        of_session.filter(of_process).cloned().collect()
    };
    breaks
        .into_iter()
        .map(|(clause, session)| Break { clause, session, timeline: timeline(session) })
        .collect()
}

/// Whether something was seen of a session, or with `None` of the process.
fn concerns(what: &What, of: Option<u64>) -> bool {
    session_of(what) == of
        || matches!(
            what,
            What::Killed | What::Terminated | What::Stopped | What::Resumed | What::Ended { .. }
        )
}

fn session_of(what: &What) -> Option<u64> {
    match what {
        What::SetUpWritten { session, .. }
        | What::GivenUp { session }
        | What::EndedByViewer { session }
        | What::Served { session, .. }
        | What::Released { session, .. }
        | What::Arrived { session, .. }
        | What::Answered { session, .. }
        | What::Refused { session, .. }
        | What::Withdrawn { session, .. }
        | What::EndedByHost { session, .. }
        | What::Cut { session, .. }
        | What::HandedOver { session }
        | What::ReleasedAtHost { session, .. } => Some(*session),
        What::Closed { .. }
        | What::ReplacementListed { .. }
        | What::Killed
        | What::Terminated
        | What::Stopped
        | What::Resumed
        | What::Ended { .. } => None,
    }
}

fn collect(entries: &[Entry]) -> (BTreeMap<u64, Seen>, Process) {
    let (mut sessions, mut process) = (BTreeMap::<u64, Seen>::new(), Process::default());
    for Entry { at, what } in entries {
        match what {
            What::Closed { connection } => drop(process.closed.insert(*connection, *at)),
            What::ReplacementListed { host } => {
                process.replaced.insert(*host, *at);
            }
            What::Killed => process.killed = Some(*at),
            What::Terminated => process.terminated = Some(*at),
            What::Stopped => process.stopped = Some(*at),
            What::Resumed => process.resumed = Some(*at),
            What::Ended { clean } => process.ended = Some((*at, *clean)),
            what => {
                if let Some(session) = session_of(what) {
                    sessions.entry(session).or_default().add(*at, what);
                }
            }
        }
    }
    (sessions, process)
}

impl Seen {
    fn add(&mut self, at: Duration, what: &What) {
        match what {
            What::SetUpWritten { connection, paid, patience, .. } => {
                self.written = Some((at, *connection, *patience));
                self.paid = *paid;
            }
            What::GivenUp { .. } => self.given_up = Some(at),
            What::EndedByViewer { .. } => self.ended_by_viewer = true,
            What::HandedOver { .. } => self.handed_over = Some(at),
            What::Served { description, .. } => self.finals.push((at, Final::Served(description.clone()))),
            What::Released { .. } => self.finals.push((at, Final::Released)),
            What::Arrived { host, .. } => self.arrived.push((at, *host)),
            What::Answered { host, description, .. } => {
                self.answered.push((*host, description.clone()));
                self.standing_at.insert(*host);
            }
            What::Refused { host, status: FULL, .. } => {
                self.full.insert(*host);
            }
            What::EndedByHost { host, cause, .. } => {
                self.ended_by_host = Some((at, *cause));
                self.standing_at.remove(host);
            }
            What::Cut { host, .. } => {
                self.cut = Some((at, *host));
                self.standing_at.remove(host);
            }
            What::ReleasedAtHost { host, .. } => {
                self.standing_at.remove(host);
            }
            _ => {}
        }
    }

    fn was_served(&self) -> bool {
        self.finals.iter().any(|(_, what)| matches!(what, Final::Served(_)))
    }
}

fn broken(seen: &Seen, process: &Process) -> Vec<Clause> {
    let checks = [
        (Clause::NoAnswer, is_unanswered(seen, process)),
        (Clause::SecondAnswer, has_second_answer(seen)),
        (Clause::WrongAnswer, has_wrong_answer(seen)),
        (Clause::LeftStanding, is_left_standing(seen, process)),
        (Clause::Duplicate, ran_twice(seen)),
        (Clause::AfterGiveUp, arrived_after_give_up(seen)),
        (Clause::NotReleased, is_not_released(seen, process)),
    ];
    checks.into_iter().filter(|(_, broken)| *broken).map(|(clause, _)| clause).collect()
}

fn is_unanswered(seen: &Seen, process: &Process) -> bool {
    let Some((written, connection, patience)) = seen.written else { return false };
    if process.was_killed_since(written) {
        // It may be killed outright, and answers nothing then.
        return false;
    }
    let due = written + patience;
    let last = due + LATE_ANSWER + process.stopped_behind(due);
    let answered = seen.finals.first().map(|(at, _)| *at);
    if let Some(answered) = answered {
        return answered > last;
    }
    if seen.given_up.is_some() {
        return false;
    }
    if let Some((ended, false)) = process.ended {
        let excused = process.terminated.map_or(ended, |at| at + EXCUSED_AT_KILL);
        if written <= excused {
            return false;
        }
    }
    let closed = process.closed.get(&connection).copied();
    let closed = closed.into_iter().chain(process.ended.map(|(at, _)| at)).min();
    let crosses = closed.is_some_and(|closed| written + CROSSES_CLOSE >= closed);
    !crosses || !seen.arrived.is_empty()
}

fn has_second_answer(seen: &Seen) -> bool {
    // Behind an answer one release may come; behind a release nothing.
    let behind = seen.finals.iter().skip(1);
    let served_again = behind.clone().any(|(_, what)| matches!(what, Final::Served(_)));
    let first_is_served = matches!(seen.finals.first(), Some((_, Final::Served(_))));
    served_again || (!first_is_served && behind.count() > 0)
}

fn has_wrong_answer(seen: &Seen) -> bool {
    let made = |description: &String| seen.answered.iter().any(|(_, made)| made == description);
    seen.finals.iter().any(|(_, what)| matches!(what, Final::Served(description) if !made(description)))
}

fn is_left_standing(seen: &Seen, process: &Process) -> bool {
    let ended_by_itself = process.ended.is_some_and(|(_, clean)| clean);
    let killed = seen.written.is_some_and(|(written, ..)| process.was_killed_since(written));
    if killed && seen.handed_over.is_none() {
        // Its viewer had left, or never heard of it: the process that knew is gone.
        return false;
    }
    let told = seen.was_served() && seen.finals.len() == 1 && seen.given_up.is_none();
    let expected = if told { 1 } else { 0 };
    ended_by_itself && seen.standing_at.len() > expected
}

fn ran_twice(seen: &Seen) -> bool {
    let may_have_run = seen.arrived.iter().filter(|(_, host)| !seen.full.contains(host));
    seen.paid && may_have_run.count() > 1
}

fn arrived_after_give_up(seen: &Seen) -> bool {
    let late = |given_up: Duration| {
        seen.arrived.iter().any(|(arrived, _)| *arrived > given_up + ARRIVES_AFTER_GIVE_UP)
    };
    seen.given_up.is_some_and(late)
}

fn is_not_released(seen: &Seen, process: &Process) -> bool {
    let served = seen.finals.iter().find(|(_, what)| matches!(what, Final::Served(_)));
    let Some((served, _)) = served else { return false };
    let Some(ended) = heard_of_end(seen, process) else { return false };
    if process.was_killed_since(*served) && seen.handed_over.is_none() {
        return false;
    }
    let last = ended.max(*served).max(seen.handed_over.unwrap_or_default()) + RELEASED_WITHIN;
    // While it ends, the connections of viewers are closed, and the next process tells.
    let runs = process.terminated.is_none_or(|terminated| last < terminated);
    let by_viewer = seen.ended_by_host.is_some_and(|(_, cause)| cause == ENDED_BY_VIEWER);
    let viewer_left = by_viewer || seen.given_up.is_some() || seen.ended_by_viewer;
    let released = seen.finals.iter().any(|(at, what)| *what == Final::Released && *at <= last);
    !viewer_left && runs && !released
}

/// When the gateway can know at the latest that a session is over: from its host, or from the list behind its death.
fn heard_of_end(seen: &Seen, process: &Process) -> Option<Duration> {
    match seen.cut {
        None => seen.ended_by_host.map(|(at, _)| at),
        Some((at, host)) => process.replaced.get(&host).map(|listed| at.max(*listed)),
    }
}
