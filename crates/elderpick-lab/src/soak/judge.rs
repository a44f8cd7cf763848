//! Judges a trial by the platform's rules, from the record of its peers alone.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::time::Duration;

use super::process::Process;
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
/// Viewers hear of an end that their gateway could not be told of within this time.
const RELEASED_UNTOLD_WITHIN: Duration = Duration::from_millis(8_050);
/// What is handed over counts so much later.
const HAND_OVER_COUNTS_AFTER: Duration = Duration::from_millis(200);
/// A session that nobody has may stand so long at a host that can be reached.
const STANDS_FOR_NOBODY: Duration = Duration::from_secs(2);
/// A host that was out of reach is told within this time behind that.
const TOLD_AFTER_RETURN: Duration = Duration::from_secs(6);
/// An answer crosses the end of its session within this time, by which every time limit is longer.
const ANSWER_CROSSES_END: Duration = Duration::from_millis(50);
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
    /// A viewer left at its host, whose answer was whole, and had no final answer: none counts behind the end.
    LeftUnanswered,
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
    handed_over: Vec<Duration>,
    /// Its viewer ended it, and is owed no release.
    ended_by_viewer: Option<Duration>,
    arrived: Vec<(Duration, usize)>,
    answered: Vec<Answered>,
    /// Hosts whose answer was not whole.
    broken_at: BTreeSet<usize>,
    full: BTreeSet<usize>,
    /// What each host said of its end.
    ended_by_host: BTreeMap<usize, EndedByHost>,
    /// When the death of each host cut it.
    cut: BTreeMap<usize, Duration>,
    /// When it ended at each host where it stood.
    over_at: BTreeMap<usize, Duration>,
}

/// A host's answer.
struct Answered {
    at: Duration,
    host: usize,
    description: String,
}

/// A host's word that a session is over.
#[derive(Clone, Copy)]
struct EndedByHost {
    at: Duration,
    cause: u8,
}

#[derive(Clone, PartialEq, Eq)]
enum Final {
    Served(String),
    Released,
}

/// The clauses that were broken, in the order of sessions.
pub fn judge(entries: &[Entry]) -> Vec<Break> {
    let (sessions, process) = collect(entries);
    let mut breaks: Vec<_> = sessions
        .iter()
        .flat_map(|(session, seen)| broken(seen, &process).into_iter().map(|clause| (clause, Some(*session))))
        .collect();
    breaks.extend(process.not_ended().map(|_| (Clause::NotEnded, None)));
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
            What::Started
                | What::Killed
                | What::Terminated
                | What::Stopped
                | What::Resumed
                | What::Ended { .. }
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
        | What::AnswerBroken { session, .. }
        | What::Refused { session, .. }
        | What::Withdrawn { session, .. }
        | What::EndedByHost { session, .. }
        | What::Cut { session, .. }
        | What::HandedOver { session }
        | What::ReleasedAtHost { session, .. } => Some(*session),
        What::Closed { .. }
        | What::LeftConnection { .. }
        | What::ReplacementListed { .. }
        | What::HostSuspended { .. }
        | What::HostResumed { .. }
        | What::Started
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
        match session_of(what) {
            Some(session) => sessions.entry(session).or_default().add(*at, what),
            None => process.add(*at, what),
        }
    }
    process.end = entries.last().map(|entry| entry.at).unwrap_or_default();
    sessions.values_mut().for_each(|seen| seen.leave(&process));
    (sessions, process)
}

impl Seen {
    fn add(&mut self, at: Duration, what: &What) {
        match what {
            What::SetUpWritten { connection, paid, patience, .. } => {
                self.written = Some((at, *connection, *patience));
                self.paid = *paid;
            }
            What::GivenUp { .. } => self.given_up = self.given_up.or(Some(at)),
            What::EndedByViewer { .. } => self.ended_by_viewer = self.ended_by_viewer.or(Some(at)),
            What::HandedOver { .. } => self.handed_over.push(at),
            What::Served { description, .. } => self.finals.push((at, Final::Served(description.clone()))),
            What::Released { .. } => self.finals.push((at, Final::Released)),
            What::Arrived { host, .. } => self.arrived.push((at, *host)),
            What::Answered { host, description, .. } => {
                self.answered.push(Answered { at, host: *host, description: description.clone() });
                self.over_at.remove(host);
            }
            What::AnswerBroken { host, .. } => drop(self.broken_at.insert(*host)),
            What::Refused { host, status: FULL, .. } => {
                self.full.insert(*host);
            }
            What::EndedByHost { host, cause, .. } => {
                self.ended_by_host.insert(*host, EndedByHost { at, cause: *cause });
                self.over_at.insert(*host, at);
            }
            What::Cut { host, .. } => {
                self.cut.insert(*host, at);
                self.over_at.insert(*host, at);
            }
            What::ReleasedAtHost { host, .. } => {
                self.over_at.insert(*host, at);
            }
            _ => {}
        }
    }

    /// Who leaves a connection gives up what is open on it.
    fn leave(&mut self, process: &Process) {
        let Some((_, connection, _)) = self.written else { return };
        let Some(left) = process.left(connection) else { return };
        if self.finals.first().is_none_or(|(at, _)| *at > left) {
            self.given_up = Some(self.given_up.map_or(left, |at| at.min(left)));
        }
    }

    /// Hosts where it stands at the end.
    fn standing_at(&self) -> usize {
        let hosts: BTreeSet<_> = self.answered.iter().map(|answered| answered.host).collect();
        hosts.iter().filter(|host| !self.over_at.contains_key(host)).count()
    }

    /// Since when a session that a host answered has no viewer; `None` if its viewer has it, or it is not known.
    fn without_viewer_since(&self, answered: &Answered) -> Option<Duration> {
        let served_here = |what: &Final| *what == Final::Served(answered.description.clone());
        let served = self.finals.iter().any(|(_, what)| served_here(what));
        let first = if served {
            let released = self.finals.iter().find(|(_, what)| *what == Final::Released).map(|(at, _)| *at);
            released.into_iter().chain(self.ended_by_viewer).min()?
        } else {
            let other_answer = self.finals.first().map(|(at, _)| *at);
            other_answer.into_iter().chain(self.given_up).min()?
        };
        Some(first.max(answered.at))
    }

    /// The host whose answer its viewer was given.
    fn serving_host(&self) -> Option<usize> {
        let served = |answered: &&Answered| {
            self.finals.iter().any(|(_, what)| *what == Final::Served(answered.description.clone()))
        };
        self.answered.iter().find(served).map(|answered| answered.host)
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
        (Clause::AfterGiveUp, arrived_after_give_up(seen, process)),
        (Clause::NotReleased, is_not_released(seen, process)),
        (Clause::LeftUnanswered, left_unanswered(seen, process)),
    ];
    checks.into_iter().filter(|(_, broken)| *broken).map(|(clause, _)| clause).collect()
}

fn is_unanswered(seen: &Seen, process: &Process) -> bool {
    let Some((written, connection, patience)) = seen.written else { return false };
    let life = process.life_at(written);
    if life.killed.is_some() {
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
    if let Some((ended, false)) = life.ended {
        let excused = life.terminated.map_or(ended, |at| at + EXCUSED_AT_KILL);
        if written <= excused {
            return false;
        }
    }
    let closed = process.closed(connection).into_iter().chain(life.over_at()).min();
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
    let made =
        |description: &String| seen.answered.iter().any(|answered| answered.description == *description);
    seen.finals.iter().any(|(_, what)| matches!(what, Final::Served(description) if !made(description)))
}

fn is_left_standing(seen: &Seen, process: &Process) -> bool {
    stands_at_the_end(seen, process) || stands_for_nobody(seen, process)
}

fn stands_at_the_end(seen: &Seen, process: &Process) -> bool {
    let ended_by_itself = process.last().ended.is_some_and(|(_, clean)| clean);
    let killed = seen.written.is_some_and(|(written, ..)| process.life_at(written).killed.is_some());
    if killed && seen.handed_over.is_empty() {
        // Its viewer had left, or never heard of it: the process that knew is gone.
        return false;
    }
    let told = seen.was_served() && seen.finals.len() == 1 && seen.given_up.is_none();
    let expected = if told { 1 } else { 0 };
    ended_by_itself && seen.standing_at() > expected
}

/// Whether it stood at a host for long though its viewer has left or never heard of it.
fn stands_for_nobody(seen: &Seen, process: &Process) -> bool {
    seen.answered.iter().any(|answered| {
        let Some(since) = seen.without_viewer_since(answered) else { return false };
        let reachable = process.reachable_since(answered.host, since);
        let reached = if reachable > since { reachable + TOLD_AFTER_RETURN } else { since };
        let until = reached + STANDS_FOR_NOBODY;
        let over = seen.over_at.get(&answered.host).copied().unwrap_or(process.end);
        over > until && process.life_at(since).serves_through(since, until)
    })
}

fn ran_twice(seen: &Seen) -> bool {
    let may_have_run = seen.arrived.iter().filter(|(_, host)| !seen.full.contains(host));
    seen.paid && may_have_run.count() > 1
}

fn arrived_after_give_up(seen: &Seen, process: &Process) -> bool {
    let late = |given_up: Duration| {
        let allowed = |host| process.reachable_since(host, given_up) + ARRIVES_AFTER_GIVE_UP;
        seen.arrived.iter().any(|(arrived, host)| *arrived > allowed(*host))
    };
    seen.given_up.is_some_and(late)
}

/// Whether its viewer left at a host, so long behind that one's answer that it should have had it.
fn left_unanswered(seen: &Seen, process: &Process) -> bool {
    let had_final = |end: Duration| seen.finals.iter().any(|(at, _)| *at <= end);
    let given_up = |end: Duration| seen.given_up.is_some_and(|at| at <= end);
    seen.answered.iter().filter(|answered| !seen.broken_at.contains(&answered.host)).any(|answered| {
        let Some(end) = seen.ended_by_host.get(&answered.host) else { return false };
        let due = answered.at + ANSWER_CROSSES_END + process.stopped_behind(answered.at);
        let runs = process.life_at(answered.at).over_at().is_none_or(|over| over > end.at);
        end.cause == ENDED_BY_VIEWER && end.at > due && runs && !had_final(end.at) && !given_up(end.at)
    })
}

fn is_not_released(seen: &Seen, process: &Process) -> bool {
    let end = seen.serving_host().and_then(|host| seen.ended_by_host.get(&host));
    let by_viewer = end.is_some_and(|end| end.cause == ENDED_BY_VIEWER);
    let viewer_left = by_viewer || seen.given_up.is_some() || seen.ended_by_viewer.is_some();
    let Some(due) = release_due(seen, process).filter(|_| !viewer_left) else { return false };
    !seen.finals.iter().any(|(at, what)| *what == Final::Released && *at <= due)
}

/// When its viewer has to know at the latest that a session is over. `None` if no process had both the session and the
/// time: the platform hands it over, or ends it, by itself.
fn release_due(seen: &Seen, process: &Process) -> Option<Duration> {
    let (served, _) = seen.finals.iter().find(|(_, what)| matches!(what, Final::Served(_)))?;
    let (over, known) = heard_of_end(seen, process)?;
    let handed_over = seen.handed_over.iter().map(|at| *at + HAND_OVER_COUNTS_AFTER);
    let had_since = std::iter::once(*served).chain(handed_over);
    had_since
        .map(|since| (since, known.max(since) + RELEASED_WITHIN))
        .find(|(since, due)| {
            // The process that has it when it ends, or the first that has it behind that.
            let life = process.life_at(*since);
            life.over_at().is_none_or(|ended| ended > over.max(*since))
                && life.serves_through(over.max(*since), *due)
                && *due <= process.end
        })
        .map(|(_, due)| due)
}

/// When a session was over at the host that served it, and when the gateway can know it at the latest: from its host as
/// soon as that can be reached, from the list behind its death, or from its silence.
fn heard_of_end(seen: &Seen, process: &Process) -> Option<(Duration, Duration)> {
    let untold = |over: Duration| over + RELEASED_UNTOLD_WITHIN - RELEASED_WITHIN;
    let host = seen.serving_host()?;
    match seen.cut.get(&host) {
        None => {
            let end = seen.ended_by_host.get(&host)?;
            let told = process.reachable_since(host, end.at);
            Some((end.at, told.min(untold(end.at))))
        }
        Some(&over) => {
            let listed = process.replaced(host).map(|listed| listed.max(over));
            Some((over, listed.unwrap_or(untold(over)).min(untold(over))))
        }
    }
}
