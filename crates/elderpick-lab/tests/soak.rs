//! The soak: its judge sees each clause that is broken, and short trials of the program break none.

use std::time::Duration;

use elderpick_lab::soak::judge::judge;
use elderpick_lab::soak::record::{Entry, What};
use elderpick_lab::soak::{Clause, Outcome, Plan, Scenario, run as run_trial};

mod common;

use common::{folder, program, run};

const SESSION: u64 = 1;
const CONNECTION: usize = 0;
const DESCRIPTION: &str = "made by host 0";

fn entry(ms: u64, what: What) -> Entry {
    Entry { at: Duration::from_millis(ms), what }
}

fn written(ms: u64, paid: bool) -> Entry {
    let patience = Duration::from_millis(300);
    entry(ms, What::SetUpWritten { session: SESSION, connection: CONNECTION, paid, patience })
}

fn arrived(ms: u64, host: usize) -> Entry {
    entry(ms, What::Arrived { host, session: SESSION })
}

fn answered(ms: u64, host: usize) -> Entry {
    entry(ms, What::Answered { host, session: SESSION, description: DESCRIPTION.to_owned() })
}

fn served(ms: u64, description: &str) -> Entry {
    entry(ms, What::Served { session: SESSION, description: description.to_owned() })
}

fn released(ms: u64) -> Entry {
    entry(ms, What::Released { session: SESSION, cause: 41 })
}

/// The clauses that are broken where the gateway is told to end at 5 s and ends by itself at 6 s.
fn clauses(entries: Vec<Entry>) -> Vec<Clause> {
    let end = [entry(5_000, What::Terminated), entry(6_000, What::Ended { clean: true })];
    judge(&[entries, end.to_vec()].concat()).into_iter().map(|broken| broken.clause).collect()
}

/// A session as it should be, up to its answer.
fn good() -> Vec<Entry> {
    vec![written(100, true), arrived(101, 0), answered(120, 0), served(121, DESCRIPTION)]
}

#[test]
fn the_judge_passes_what_keeps_the_rules() {
    assert_eq!(clauses(good()), []);
    let ended = entry(200, What::EndedByHost { host: 0, session: SESSION, cause: 16 });
    assert_eq!(clauses([good(), vec![ended, released(300)]].concat()), []);
    assert_eq!(clauses(vec![written(100, false), released(101)]), []);
    let given_up = vec![written(100, false), arrived(101, 0), entry(150, What::GivenUp { session: SESSION })];
    assert_eq!(clauses(given_up), []);
    let crosses = vec![written(100, false), entry(140, What::Closed { connection: CONNECTION })];
    assert_eq!(clauses(crosses), [], "it is sent once more");
    let full = entry(110, What::Refused { host: 0, session: SESSION, status: 453 });
    let again = vec![written(100, true), arrived(101, 0), full, arrived(111, 1), released(150)];
    assert_eq!(clauses(again), [], "it never ran at the first");
}

#[test]
fn the_judge_sees_each_clause_that_is_broken() {
    let second = || served(122, DESCRIPTION);
    let end_at = |ms, cause| entry(ms, What::EndedByHost { host: 0, session: SESSION, cause });
    let cases = [
        (Clause::NoAnswer, vec![written(100, false)]),
        (Clause::NoAnswer, vec![written(100, false), released(1_000)]),
        (
            Clause::NoAnswer,
            vec![written(100, false), arrived(101, 0), entry(140, What::Closed { connection: CONNECTION })],
        ),
        (Clause::SecondAnswer, [good(), vec![second()]].concat()),
        (Clause::SecondAnswer, vec![written(100, false), released(101), released(102)]),
        (
            Clause::WrongAnswer,
            vec![written(100, false), arrived(101, 0), answered(120, 0), served(121, "noise")],
        ),
        (Clause::LeftStanding, vec![written(100, false), arrived(101, 0), answered(120, 0), released(121)]),
        (Clause::Duplicate, vec![written(100, true), arrived(101, 0), arrived(150, 1), released(160)]),
        (
            Clause::AfterGiveUp,
            vec![written(100, false), entry(110, What::GivenUp { session: SESSION }), arrived(250, 0)],
        ),
        (Clause::NotReleased, [good(), vec![end_at(200, 16)]].concat()),
    ];
    for (clause, entries) in cases {
        let text: Vec<_> = entries.iter().map(ToString::to_string).collect();
        assert!(clauses(entries).contains(&clause), "{clause:?} goes unseen:\n{}", text.join("\n"));
    }
    let killed = [entry(5_000, What::Terminated), entry(6_000, What::Ended { clean: false })];
    assert_eq!(judge(&killed)[0].clause, Clause::NotEnded);
}

#[test]
fn the_judge_sees_a_viewer_that_left_without_the_answer_of_its_host() {
    let left = |ms| entry(ms, What::EndedByHost { host: 0, session: SESSION, cause: 31 });
    let answered_late = |left_at| {
        vec![written(100, false), arrived(101, 0), answered(120, 0), left(left_at), released(left_at + 1)]
    };
    assert_eq!(clauses(answered_late(180)), [Clause::LeftUnanswered]);
    assert_eq!(clauses(answered_late(160)), [], "it crosses the end");
    assert_eq!(clauses([good(), vec![left(180)]].concat()), []);
    let broken = entry(120, What::AnswerBroken { host: 0, session: SESSION });
    assert_eq!(clauses([vec![broken], answered_late(180)].concat()), []);
    let given_up = entry(130, What::GivenUp { session: SESSION });
    assert_eq!(clauses([vec![given_up], answered_late(180)].concat()), []);
}

#[test]
fn the_judge_excuses_a_kill_for_what_it_cut_off_only() {
    let killed = |ms| entry(ms, What::Killed);
    let handed_over = |ms| entry(ms, What::HandedOver { session: SESSION });
    assert_eq!(clauses(vec![written(100, false), arrived(101, 0), killed(150)]), []);
    assert_eq!(clauses(vec![killed(50), written(100, false), arrived(101, 0)]), [Clause::NoAnswer]);
    let ended = entry(200, What::EndedByHost { host: 0, session: SESSION, cause: 16 });
    let over = || [good(), vec![killed(150), ended.clone(), handed_over(300)]].concat();
    assert_eq!(clauses(over()), [Clause::NotReleased]);
    assert_eq!(clauses([over(), vec![released(400)]].concat()), []);
    let by_viewer =
        [good(), vec![entry(190, What::EndedByViewer { session: SESSION }), ended.clone()]].concat();
    assert_eq!(clauses(by_viewer), []);
}

#[test]
fn the_judge_knows_when_the_list_tells_of_a_cut() {
    let cut = entry(200, What::Cut { host: 0, session: SESSION });
    let listed = |ms| entry(ms, What::ReplacementListed { host: 0 });
    let lost = || [good(), vec![cut.clone(), listed(1_000)]].concat();
    assert_eq!(clauses(lost()), [Clause::NotReleased]);
    assert_eq!(clauses([lost(), vec![released(2_000)]].concat()), []);
    assert_eq!(clauses([lost(), vec![released(2_100)]].concat()), [Clause::NotReleased]);
}

/// Only the time for which the process was stopped is added to that of a request.
#[test]
fn the_judge_counts_a_standstill_once() {
    let stall = vec![written(100, false), entry(350, What::Stopped), entry(850, What::Resumed)];
    assert_eq!(clauses([stall.clone(), vec![released(1_300)]].concat()), []);
    assert_eq!(clauses([stall, vec![released(1_400)]].concat()), [Clause::NoAnswer]);
}

#[test]
fn the_judge_sees_a_session_that_stands_for_nobody() {
    let left = || entry(110, What::LeftConnection { connection: CONNECTION });
    let answered_late = || vec![written(100, false), arrived(101, 0), left(), answered(120, 0)];
    let released = |ms| entry(ms, What::ReleasedAtHost { host: 0, session: SESSION });
    assert_eq!(clauses([answered_late(), vec![released(500)]].concat()), []);
    assert_eq!(clauses([answered_late(), vec![released(2_500)]].concat()), [Clause::LeftStanding]);
    let ended = entry(130, What::EndedByViewer { session: SESSION });
    assert_eq!(clauses([good(), vec![ended.clone(), released(500)]].concat()), []);
    assert_eq!(clauses([good(), vec![ended.clone(), released(2_500)]].concat()), [Clause::LeftStanding]);
    // A host that cannot be reached is told once it can.
    let cut_off = [entry(125, What::HostSuspended { host: 0 }), entry(1_000, What::HostResumed { host: 0 })];
    let told_later = [cut_off.to_vec(), good(), vec![ended, released(2_500)]].concat();
    assert_eq!(clauses(told_later), []);
}

#[test]
fn the_judge_knows_which_of_several_processes_had_a_session() {
    let ended = |ms| entry(ms, What::EndedByHost { host: 0, session: SESSION, cause: 16 });
    let restarted = || {
        let end = [entry(1_000, What::Terminated), entry(1_500, What::Ended { clean: true })];
        let begin = [entry(2_000, What::Started), entry(2_010, What::HandedOver { session: SESSION })];
        [good(), end.to_vec(), begin.to_vec()].concat()
    };
    assert_eq!(clauses([restarted(), vec![ended(2_500), released(2_600)]].concat()), []);
    assert_eq!(clauses([restarted(), vec![ended(2_500)]].concat()), [Clause::NotReleased]);
    // An end that no process was there for is told by the one that the session is handed over to.
    let between = [restarted()[..6].to_vec(), vec![ended(1_700)], restarted()[6..].to_vec()].concat();
    assert_eq!(clauses(between.clone()), [Clause::NotReleased]);
    assert_eq!(clauses([between, vec![released(3_000)]].concat()), []);
    // What was written to the process before is that one's.
    let unanswered =
        vec![written(100, false), arrived(101, 0), entry(150, What::Killed), entry(200, What::Started)];
    assert_eq!(clauses(unanswered), []);
    let not_ended =
        [entry(50, What::Terminated), entry(90, What::Ended { clean: false }), entry(95, What::Started)];
    assert_eq!(clauses(not_ended.to_vec()), [Clause::NotEnded]);
}

#[test]
fn the_judge_asks_for_the_release_of_an_end_at_the_host_that_served() {
    let ended = |ms, host, cause| entry(ms, What::EndedByHost { host, session: SESSION, cause });
    let cut_elsewhere = entry(130, What::Cut { host: 1, session: SESSION });
    let answered_elsewhere =
        entry(110, What::Answered { host: 1, session: SESSION, description: "made by host 1".to_owned() });
    let both = || [good(), vec![answered_elsewhere.clone(), cut_elsewhere.clone()]].concat();
    assert_eq!(clauses(both()), [], "it plays on where it was served");
    assert_eq!(clauses([both(), vec![ended(200, 0, 16)]].concat()), [Clause::NotReleased]);
    let left_elsewhere =
        [good(), vec![answered_elsewhere.clone(), ended(130, 1, 31), ended(200, 0, 16)]].concat();
    assert_eq!(
        clauses(left_elsewhere),
        [Clause::NotReleased],
        "who left another host is owed this one's end"
    );
}

#[test]
fn the_judge_excuses_a_late_arrival_only_where_the_host_was_out_of_reach() {
    let late = || vec![written(100, false), entry(110, What::GivenUp { session: SESSION }), arrived(900, 0)];
    assert_eq!(clauses(late()), [Clause::AfterGiveUp]);
    let hung = [entry(50, What::HostSuspended { host: 0 }), entry(850, What::HostResumed { host: 0 })];
    assert_eq!(clauses([hung.to_vec(), late()].concat()), []);
    let hung_elsewhere =
        [entry(50, What::HostSuspended { host: 1 }), entry(850, What::HostResumed { host: 1 })];
    assert_eq!(clauses([hung_elsewhere.to_vec(), late()].concat()), [Clause::AfterGiveUp]);
}

/// Guards against answers that are held while their viewers leave, as a look at the delivery makes many do at a time.
#[test]
fn viewers_that_leave_at_a_look_have_had_their_answers() {
    play_short_trials("soak-looks", 21, &[Scenario::Looks]);
}

#[test]
fn short_trials_under_faults_break_no_rule() {
    let scenarios = [
        Scenario::Network,
        Scenario::Clients,
        Scenario::Pieces,
        Scenario::Crowd,
        Scenario::Kills,
        Scenario::Replacements,
    ];
    play_short_trials("soak", 1, &scenarios);
}

/// Twelve trials from this seed on, each with the next scenario and the shutdown at the end.
fn play_short_trials(name: &str, first: u64, scenarios: &[Scenario]) {
    let folder = folder(name);
    run(async {
        for (seed, scenario) in (first..first + 12).zip(scenarios.iter().copied().cycle()) {
            let plan = Plan::draw(seed, &[scenario, Scenario::Shutdowns], None);
            match run_trial(&program(), &folder, &plan).await.unwrap() {
                Outcome::Void(late) => eprintln!("seed {seed}: void, {late:?} late"),
                Outcome::Judged { breaks, .. } => {
                    let texts: Vec<_> = breaks.iter().map(ToString::to_string).collect();
                    assert!(texts.is_empty(), "seed {seed}, {scenario:?}:\n{}", texts.join("\n"));
                }
            }
        }
    });
    let _ = std::fs::remove_dir_all(&folder);
}
