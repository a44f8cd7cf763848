//! The session lifecycle in virtual time, with the real module behind it.

use std::collections::{BTreeMap, BTreeSet};

use bytes::Bytes;
use elderpick_core::Controller;
use elderpick_core::api::*;
use elderpick_platform::journal::Listed;
use elderpick_platform::viewer::{Figures, SetUp, cause};
use elderpick_sessions::health::Opened;
use elderpick_sessions::lifecycle::{AttemptId, Input, LONGEST_OUTAGE, Lifecycle, Output};
use proptest::prelude::*;

const MS: Micros = 1_000;
const PATIENCE: Micros = 1_000 * MS;

fn server(name: &str) -> ServerId {
    ServerId(name.into())
}

fn class(effect: Effect, seats: Option<usize>) -> Class {
    Class {
        effect,
        group: Group::All,
        window: 5_000 * MS,
        aim: 500 * MS,
        worth: 1.0,
        scale: 1.0,
        floor: 0,
        top: usize::MAX,
        seats,
    }
}

fn settings() -> Settings {
    Settings {
        me: 0,
        gateways: 1,
        zone: 0,
        classes: vec![class(Effect::Free, None), class(Effect::SingleShot, Some(2))],
        rung_kb: vec![100.0, 200.0],
        rung_worth: vec![0.5, 1.0],
        cells: Some(4),
        racks: Some(1),
        rack_kb: None,
        links_kb: None,
        kb_per_weight: Some(100_000.0),
        weights: true,
        places: vec![2_000.0],
        see: 500 * MS,
        cold: None,
        budget: None,
        max_attempts: Some(3),
        max_retry_after: Some(400 * MS),
        reporting: Reporting::WhenProbed,
        may_probe: true,
        subscribe: false,
    }
}

fn listed(name: &str, state: ServerState, started: Option<Micros>) -> Listed {
    let entry = Entry { server: server(name), zone: 0, kind: 0, cell: 0, state, weight: 1.0, started };
    // Each name has an address of its own.
    let port = name.bytes().fold(9, |port: u16, byte| port.wrapping_mul(31).wrapping_add(u16::from(byte)));
    Listed { address: ([127, 0, 0, 1], port).into(), entry }
}

fn asks(session: u64, class: &str) -> SetUp {
    let figures = Figures { home: 0, copies: 4, top: None, at: None };
    let (class, title) = (class.to_owned(), "t".to_owned());
    SetUp { session, class, patience_ms: 1_000, title, figures, description: Bytes::from_static(b"offer") }
}

/// Tables are checked behind each input while no more sessions are held.
const MOST_CHECKED: usize = 1_000;

struct World {
    lifecycle: Lifecycle,
    now: Micros,
    /// The last attempt of each session.
    attempts: BTreeMap<u64, AttemptId>,
}

impl World {
    fn new(hosts: &[&str]) -> World {
        let classes = vec!["free".to_owned(), "paid".to_owned()];
        let lifecycle = Lifecycle::new(Controller::new(1, settings()), classes, Some(4));
        let mut world = World { lifecycle, now: 1_000_000 * MS, attempts: BTreeMap::new() };
        let hosts = hosts.iter().map(|name| listed(name, ServerState::Up, None)).collect();
        world.feed(Input::List { kind: ListKind::Full, hosts });
        world
    }

    /// What is done about it, calls for load left out.
    fn feed(&mut self, input: Input) -> Vec<Output> {
        let mut out = Vec::new();
        self.lifecycle.handle(self.now, input, &mut out);
        // It costs a pass over all that is held.
        if self.lifecycle.held() < MOST_CHECKED {
            assert_eq!(self.lifecycle.inconsistencies(), 0, "tables that do not fit the sessions");
        }
        out.retain(|o| !matches!(o, Output::Probe { .. }));
        for output in &out {
            if let Output::SetUp { session, attempt, .. } = output {
                self.attempts.insert(*session, *attempt);
            }
        }
        out
    }

    /// The number of a session's last attempt.
    fn attempt(&self, session: u64) -> AttemptId {
        self.attempts.get(&session).copied().unwrap_or(0)
    }

    fn refuse(&mut self, server: &ServerId, session: u64, status: Status) -> Vec<Output> {
        let (server, attempt, report) = (server.clone(), self.attempt(session), Report::default());
        self.feed(Input::Refused { server, session, attempt, status, report })
    }

    fn released(&mut self, server: &ServerId, session: u64, cause: u8) -> Vec<Output> {
        let (server, attempt) = (server.clone(), Some(self.attempt(session)));
        self.feed(Input::Released { server, session, attempt, cause, report: Report::default() })
    }

    fn ask(&mut self, session: u64, class: &str) -> Vec<Output> {
        self.feed(Input::SetUp { conn: 5, received_at: self.now, set_up: asks(session, class) })
    }

    /// Lets time pass, tick by tick.
    fn pass(&mut self, span: Micros) -> Vec<Output> {
        let (end, mut out) = (self.now + span, Vec::new());
        while let Some(due) = self.lifecycle.next_timer().filter(|due| *due <= end) {
            self.now = due.max(self.now);
            out.extend(self.feed(Input::Tick));
        }
        self.now = end;
        out
    }

    fn list(&mut self, host: Listed) -> Vec<Output> {
        self.feed(Input::List { kind: ListKind::Changes, hosts: vec![host] })
    }

    fn answer(&mut self, at: &ServerId, session: u64) -> Vec<Output> {
        let (attempt, description) = (Some(self.attempt(session)), Bytes::from_static(b"answer"));
        self.feed(Input::Answer { server: at.clone(), session, attempt, description, ended: None })
    }

    /// Sets a session up, and where it plays then.
    fn play(&mut self, session: u64, class: &str) -> ServerId {
        let at = sent(&self.ask(session, class)).expect("there is room");
        assert!(matches!(&self.answer(&at, session)[..], [Output::Answer { .. }]));
        at
    }
}

/// Where a set-up goes.
fn sent(out: &[Output]) -> Option<ServerId> {
    out.iter().find_map(|o| match o {
        Output::SetUp { server, .. } => Some(server.clone()),
        _ => None,
    })
}

/// The cause of the final answer that it does not stand.
fn turned(out: &[Output]) -> Option<u8> {
    out.iter().find_map(|o| match o {
        Output::Rejected { cause, .. } => Some(*cause),
        _ => None,
    })
}

#[test]
fn an_outcome_proves_only_what_it_may() {
    use Status::*;
    type End = fn(ServerId, AttemptId) -> Input;
    for (status, proves) in [(Full, true), (Ignored, true), (Failed, false), (Reset, false)] {
        let mut world = World::new(&["a", "b"]);
        let first = sent(&world.ask(1, "paid")).unwrap();
        let out = world.refuse(&first, 1, status);
        let second = sent(&out);
        assert_eq!(
            (second.is_some(), turned(&out)),
            (proves, (!proves).then_some(cause::FAILED)),
            "{status:?}"
        );
        assert_ne!(second, Some(first));
    }
    let ends: [(End, bool); 4] = [
        (|server, attempt| Input::ConnectionLost { server, session: 1, attempt, begun: false }, true),
        (|server, attempt| Input::NotSent { server, session: 1, attempt }, true),
        (|server, attempt| Input::ConnectionLost { server, session: 1, attempt, begun: true }, false),
        (
            |server, attempt| {
                let (attempt, report) = (Some(attempt), Report::default());
                Input::Released { server, session: 1, attempt, cause: 16, report }
            },
            false,
        ),
    ];
    for (end, proves) in ends {
        let mut world = World::new(&["a", "b"]);
        let first = sent(&world.ask(1, "paid")).unwrap();
        let out = world.feed(end(first, world.attempt(1)));
        assert_eq!((sent(&out).is_some(), turned(&out)), (proves, (!proves).then_some(cause::FAILED)));
    }
}

#[test]
fn what_is_given_up_is_answered_at_once_and_told_when_to_come_back() {
    let mut world = World::new(&[]);
    let refused =
        Output::Rejected { conn: 5, session: 1, cause: cause::REFUSED, retry_after: Some(400 * MS) };
    assert_eq!(world.ask(1, "paid"), [refused]);
    assert_eq!((world.lifecycle.open(), world.lifecycle.held()), (0, 0));
}

#[test]
fn a_time_out_withdraws_before_anything_else_is_sent_and_a_late_answer_is_released() {
    let mut world = World::new(&["a", "b"]);
    let first = sent(&world.ask(1, "free")).unwrap();
    let out = world.pass(250 * MS);
    let withdrawn = Output::Withdraw { server: first.clone(), session: 1, attempt: 1 };
    let withdrawn = out.iter().position(|o| *o == withdrawn);
    let again = out.iter().position(|o| matches!(o, Output::SetUp { .. }));
    assert!(withdrawn.unwrap() < again.unwrap());
    let late = Output::Release { server: first.clone(), session: 1, cause: cause::ENDED_BY_VIEWER };
    assert_eq!(world.answer(&first, 1), [late]);
    assert_eq!(world.answer(&first, 1), [], "a second copy of it is nobody's");
    let second = sent(&out).unwrap();
    assert!(matches!(&world.answer(&second, 1)[..], [Output::Answer { conn: 5, session: 1, .. }]));
}

#[test]
fn in_one_instant_what_is_heard_first_counts() {
    for answered in [true, false] {
        let mut world = World::new(&["a"]);
        let at = sent(&world.ask(1, "paid")).unwrap();
        world.now += PATIENCE;
        let mut finals = 0;
        for step in [answered, !answered] {
            let out = if step { world.answer(&at, 1) } else { world.feed(Input::Tick) };
            finals +=
                out.iter().filter(|o| matches!(o, Output::Answer { .. } | Output::Rejected { .. })).count();
            let withdrawn = out.contains(&Output::Withdraw { server: at.clone(), session: 1, attempt: 1 });
            assert_eq!(withdrawn, !answered && !step);
        }
        assert_eq!((finals, world.lifecycle.open()), (1, 0));
        assert_eq!(world.lifecycle.counts.served, u64::from(answered));
    }
}

/// Found on a fleet's day with bad clients: a request that was refused at once was sent to hosts under its number, with
/// another's title, for who had copied it.
#[test]
fn a_number_that_was_answered_is_not_sent_on_again() {
    for served in [false, true] {
        let mut world = World::new(&["a"]);
        let at = sent(&world.ask(1, "paid")).unwrap();
        if served {
            world.answer(&at, 1);
            world.released(&at, 1, cause::GIVEN_UP);
        } else {
            assert!(turned(&world.refuse(&at, 1, Status::Failed)).is_some());
        }
        assert_eq!(world.lifecycle.held(), 0);
        let copied = SetUp { title: "another".into(), ..asks(1, "paid") };
        let out = world.feed(Input::SetUp { conn: 6, received_at: world.now, set_up: copied });
        let cause = cause::UNREADABLE;
        assert_eq!(out, [Output::Rejected { conn: 6, session: 1, cause, retry_after: None }]);
        assert!(sent(&world.ask(2, "paid")).is_some());
    }
}

/// Whoever knows the number of an open request could end it, and its viewer had no answer.
#[test]
fn a_set_up_is_given_up_only_by_who_asked() {
    let mut world = World::new(&["a"]);
    let at = sent(&world.ask(1, "free")).unwrap();
    assert_eq!(world.feed(Input::Release { conn: 6, session: 1, cause: cause::GIVEN_UP }), []);
    assert!(matches!(&world.answer(&at, 1)[..], [Output::Answer { conn: 5, session: 1, .. }]));
    let out = world.feed(Input::Release { conn: 6, session: 1, cause: cause::ENDED_BY_VIEWER });
    assert!(matches!(&out[..], [Output::Release { .. }]), "what stands may be ended on any connection");
}

#[test]
fn doubled_answers_and_answers_nobody_asked_for_are_dropped() {
    let mut world = World::new(&["a"]);
    let at = world.play(1, "free");
    assert_eq!(world.answer(&at, 1), []);
    assert_eq!(world.answer(&at, 99), []);
    assert_eq!(world.lifecycle.held(), 1);
}

#[test]
fn an_end_that_overtakes_its_answer_on_another_connection_leaves_nothing_standing() {
    let mut world = World::new(&["a"]);
    let at = sent(&world.ask(1, "free")).unwrap();
    let released = Input::Released {
        server: at.clone(),
        session: 1,
        attempt: None,
        cause: 16,
        report: Report::default(),
    };
    assert!(world.feed(released).is_empty(), "the answer decides");
    assert_eq!(turned(&world.answer(&at, 1)), Some(cause::FAILED));
    assert_eq!((world.lifecycle.held(), world.lifecycle.counts.ended_around_answer), (0, 1));
}

#[test]
fn ends_right_behind_their_answer_are_counted() {
    let mut world = World::new(&["a"]);
    for (session, pause) in [(1, MS), (2, 100 * MS)] {
        let at = world.play(session, "free");
        world.pass(pause);
        world.released(&at, session, cause::ENDED_BY_VIEWER);
    }
    assert_eq!(world.lifecycle.counts.ended_around_answer, 1, "not of the one that ended later");
}

#[test]
fn a_set_up_that_waits_is_not_written_to_a_host_that_drains_or_is_another_process() {
    let changes = [
        listed("a", ServerState::Draining, None),
        listed("a", ServerState::Up, Some(5)),
        listed("a", ServerState::Gone, None),
    ];
    for change in changes {
        let mut world = World::new(&["a"]);
        let at = sent(&world.ask(1, "paid")).unwrap();
        assert!(world.lifecycle.may_write(&at, 1, world.attempt(1), world.now));
        assert!(
            !world.lifecycle.may_write(&at, 1, world.attempt(1), world.now + PATIENCE),
            "its time is over"
        );
        let out = world.list(change);
        assert!(!world.lifecycle.may_write(&at, 1, world.attempt(1), world.now));
        assert!(sent(&out).is_none());
    }
    let mut world = World::new(&["a"]);
    let at = sent(&world.ask(1, "free")).unwrap();
    world.feed(Input::Release { conn: 5, session: 1, cause: cause::GIVEN_UP });
    assert!(!world.lifecycle.may_write(&at, 1, world.attempt(1), world.now), "its viewer has left");
}

/// Guards against a further attempt of a guarded class that waited for a connection until its window was over.
#[test]
fn a_guarded_attempt_is_not_written_behind_its_window() {
    let window = 100 * MS;
    let mut world = World::new(&["a", "b"]);
    let classes = vec![Class { window, ..class(Effect::Guarded, None) }];
    let core = Controller::new(1, Settings { classes, ..settings() });
    world.lifecycle = Lifecycle::new(core, vec!["free".to_owned()], Some(4));
    let hosts = ["a", "b"].map(|name| listed(name, ServerState::Up, None)).into();
    world.feed(Input::List { kind: ListKind::Full, hosts });
    let first = sent(&world.ask(1, "free")).unwrap();
    world.now += 50 * MS;
    let second = sent(&world.refuse(&first, 1, Status::Failed)).unwrap();
    let attempt = world.attempt(1);
    assert!(world.lifecycle.may_write(&second, 1, attempt, world.now + 49 * MS));
    assert!(!world.lifecycle.may_write(&second, 1, attempt, world.now + 50 * MS));
}

#[test]
fn a_dead_hosts_sessions_are_given_back_once_and_their_seats_are_free() {
    let mut world = World::new(&["a"]);
    let at = world.play(1, "paid");
    world.play(2, "paid");
    assert_eq!(turned(&world.ask(3, "paid")), Some(cause::REFUSED), "both seats are taken");
    world.feed(Input::Opened { server: at.clone(), how: Opened::Up });
    world.feed(Input::HostDisconnected {
        server: at.clone(),
        whole: false,
        unheard: Vec::new(),
        made_room: false,
    });
    let mut over = Vec::new();
    for _ in 0..40 {
        for output in world.pass(50 * MS) {
            match output {
                Output::Open { server } => {
                    world.feed(Input::Opened { server, how: Opened::Refused });
                }
                Output::SessionEnded { conn, session, .. } => over.push((conn, session)),
                _ => {}
            }
        }
    }
    assert_eq!(over, [(Some(5), 1), (Some(5), 2)]);
    assert_eq!((world.lifecycle.held(), world.lifecycle.counts.hosts_lost), (0, 1));
    let back = listed("a", ServerState::Up, Some(world.now - 1));
    world.list(back);
    world.play(4, "paid");
}

#[test]
fn a_host_that_falls_silent_is_given_up_within_six_seconds() {
    let mut world = World::new(&["a"]);
    let at = world.play(1, "free");
    world.feed(Input::Opened { server: at.clone(), how: Opened::Up });
    let (start, mut over) = (world.now, None);
    while over.is_none() && world.now - start < 60_000 * MS {
        let mut out = world.pass(50 * MS);
        if out.iter().any(|o| matches!(o, Output::Open { .. })) {
            world.now += 250 * MS;
            out = world.feed(Input::Opened { server: at.clone(), how: Opened::Silent });
        }
        let told = out.iter().any(|o| matches!(o, Output::SessionEnded { session: 1, .. }));
        over = told.then_some(world.now - start);
    }
    assert!(over.unwrap() < 6_000 * MS, "{over:?}");
}

/// The list tells of a start up to some seconds late.
#[test]
fn what_was_set_up_at_a_new_process_stands_when_the_list_tells_of_it() {
    let mut world = World::new(&["a"]);
    world.play(1, "free");
    world.pass(2_000 * MS);
    let started = world.now - 1_000 * MS;
    world.play(2, "free");
    sent(&world.ask(3, "paid")).unwrap();
    let out = world.list(listed("a", ServerState::Up, Some(started)));
    let over: Vec<_> = out.iter().filter(|o| matches!(o, Output::SessionEnded { .. })).collect();
    assert!(matches!(over[..], [Output::SessionEnded { session: 1, .. }]), "{over:?}");
    assert!(out.iter().any(|o| matches!(o, Output::Forget { before: Some(at), .. } if *at > started)));
    assert!(matches!(&world.answer(&server("a"), 3)[..], [Output::Answer { session: 3, .. }]));
    assert_eq!(world.lifecycle.held(), 2);
}

#[test]
fn another_process_under_a_hosts_name_ends_what_stood_there() {
    let mut world = World::new(&["a"]);
    let at = world.play(1, "free");
    let out = world.list(listed("a", ServerState::Up, Some(world.now)));
    assert!(out.contains(&Output::SessionEnded { conn: Some(5), session: 1, cause: cause::FAILED }));
    assert!(out.contains(&Output::Forget { server: at, before: Some(world.now + 200 * MS) }));
}

#[test]
fn a_seat_is_free_when_the_host_says_so_or_after_a_second() {
    for says in [true, false] {
        let mut world = World::new(&["a"]);
        let at = world.play(1, "paid");
        world.play(2, "paid");
        let out = world.feed(Input::Release { conn: 5, session: 1, cause: cause::ENDED_BY_VIEWER });
        assert_eq!(out, [Output::Release { server: at.clone(), session: 1, cause: cause::ENDED_BY_VIEWER }]);
        assert_eq!(turned(&world.ask(3, "paid")), Some(cause::REFUSED));
        if says {
            assert_eq!(world.released(&at, 1, cause::ENDED_BY_VIEWER), []);
        } else {
            assert!(world.pass(1_000 * MS).iter().all(|o| !matches!(o, Output::SessionEnded { .. })));
        }
        assert!(sent(&world.ask(4, "paid")).is_some());
    }
}

#[test]
fn a_release_that_may_have_gone_down_with_its_connection_is_said_again_until_it_is_heard() {
    let mut world = World::new(&["a"]);
    let at = world.play(1, "free");
    world.play(2, "free");
    world.feed(Input::Opened { server: at.clone(), how: Opened::Up });
    let release = Output::Release { server: at.clone(), session: 1, cause: cause::ENDED_BY_VIEWER };
    let said = |out: Vec<Output>| out.into_iter().filter(|o| *o == release).count();
    assert_eq!(said(world.feed(Input::Release { conn: 5, session: 1, cause: cause::ENDED_BY_VIEWER })), 1);
    let closed = || Input::HostDisconnected {
        server: at.clone(),
        whole: false,
        unheard: vec![1, 2],
        made_room: false,
    };
    assert_eq!(said(world.feed(closed())), 1, "and nothing of session 2");
    world.feed(Input::ReleaseConfirmed { server: at.clone(), session: 1 });
    assert_eq!(said(world.feed(closed())), 0);
    assert_eq!(world.lifecycle.held(), 1);
}

/// The gateway stood still from before its host became another process, which it hears of first.
#[test]
fn a_hand_over_that_lay_unread_since_before_its_host_was_another_process_does_not_stand() {
    let mut world = World::new(&["a"]);
    let received_at = world.now;
    world.pass(1_500 * MS);
    world.list(listed("a", ServerState::Up, Some(received_at + 500 * MS)));
    let mut hand = |received_at, session| {
        let mut handed = asks(session, "free");
        handed.figures.at = Some("a".into());
        let out = world.feed(Input::SetUp { conn: 5, received_at, set_up: handed });
        (out, world.lifecycle.held())
    };
    let (out, held) = hand(received_at, 1);
    let over = Output::SessionEnded { conn: Some(5), session: 1, cause: cause::FAILED };
    let release = |o: &Output| matches!(o, Output::Release { session: 1, .. });
    assert!(held == 0 && out.contains(&over) && out.iter().any(release), "{out:?}");
    let (out, held) = hand(received_at + 1_500 * MS, 2);
    assert_eq!((out, held), (vec![], 1), "what came since plays at the new one");
}

/// More at once than were remembered before.
#[test]
fn all_releases_of_a_crowd_are_said_again_until_they_are_heard() {
    let mut world = World::new(&["a"]);
    let crowd = 1..=5_000_u64;
    for session in crowd.clone() {
        let mut handed = asks(session, "free");
        handed.figures.at = Some("a".into());
        world.feed(Input::SetUp { conn: 5, received_at: world.now, set_up: handed });
    }
    for session in crowd.clone() {
        world.feed(Input::Release { conn: 5, session, cause: cause::ENDED_BY_VIEWER });
    }
    let at = ServerId("a".into());
    let closed = || Input::HostDisconnected {
        server: at.clone(),
        whole: false,
        unheard: crowd.clone().collect(),
        made_room: false,
    };
    let released = |out: Vec<Output>| out.iter().filter(|o| matches!(o, Output::Release { .. })).count();
    assert_eq!(released(world.feed(closed())), 5_000);
    for session in crowd.clone().filter(|session| session % 5 > 0) {
        world.feed(Input::ReleaseConfirmed { server: at.clone(), session });
    }
    assert_eq!(released(world.feed(closed())), 1_000);
}

/// A host that hangs, or a network that is cut, may go on after any time. Answers that nobody asked for come all the
/// while; they do not keep what was given up any younger.
#[test]
fn a_late_answer_to_what_was_given_up_is_released_however_long_its_host_hung() {
    for seconds in [1, 11, 31, 120, 599, 601] {
        let mut world = World::new(&["a"]);
        let at = sent(&world.ask(1, "free")).unwrap();
        world.feed(Input::Release { conn: 5, session: 1, cause: cause::GIVEN_UP });
        for _ in 0..seconds {
            world.pass(1_000 * MS);
            assert_eq!(world.answer(&at, 99), []);
        }
        let released = Output::Release { server: at.clone(), session: 1, cause: cause::ENDED_BY_VIEWER };
        let expected = if seconds * 1_000 * MS <= LONGEST_OUTAGE { vec![released] } else { vec![] };
        assert_eq!(world.answer(&at, 1), expected, "after {seconds} s");
    }
}

/// What was said into a cut network is known to be lost only once its line breaks, which may be long after the cut.
#[test]
fn withdrawals_and_releases_are_said_again_however_late_their_line_breaks() {
    for seconds in [1, 11, 31, 120, 599] {
        let mut world = World::new(&["a"]);
        let at = sent(&world.ask(1, "free")).unwrap();
        world.feed(Input::Release { conn: 5, session: 1, cause: cause::GIVEN_UP });
        assert_eq!(sent(&world.ask(2, "free")), Some(at.clone()));
        world.answer(&at, 2);
        world.feed(Input::Release { conn: 5, session: 2, cause: cause::ENDED_BY_VIEWER });
        world.pass(seconds * 1_000 * MS);
        let out = world.feed(Input::HostDisconnected {
            server: at.clone(),
            whole: false,
            unheard: vec![1, 2],
            made_room: false,
        });
        let again = |session| Output::Release { server: at.clone(), session, cause: cause::ENDED_BY_VIEWER };
        assert_eq!(out, [again(1), again(2)], "after {seconds} s");
    }
}

/// A release is as old as the last time that it was said.
#[test]
fn what_is_released_anew_is_remembered_anew() {
    let mut world = World::new(&["a"]);
    let at = sent(&world.ask(1, "free")).unwrap();
    world.feed(Input::Release { conn: 5, session: 1, cause: cause::GIVEN_UP });
    world.pass(LONGEST_OUTAGE - 1_000 * MS);
    assert_eq!(world.answer(&at, 1).len(), 1, "a late answer is released");
    world.pass(2_000 * MS);
    let out =
        world.feed(Input::HostDisconnected { server: at, whole: false, unheard: vec![1], made_room: false });
    assert_eq!(out.len(), 1, "the release is two seconds old, whatever the withdrawal is");
}

/// Its own end may be heard long before the front hands it over: a start may take thirty seconds.
#[test]
fn a_hand_over_long_behind_its_end_does_not_stand() {
    let mut world = World::new(&["a"]);
    world.released(&server("a"), 1, cause::FAILED);
    world.pass(30_000 * MS);
    let mut handed = asks(1, "free");
    handed.figures.at = Some("a".into());
    let out = world.feed(Input::SetUp { conn: 5, received_at: world.now, set_up: handed });
    assert_eq!(out, [Output::SessionEnded { conn: Some(5), session: 1, cause: cause::FAILED }]);
    assert_eq!(world.lifecycle.held(), 0);
}

#[test]
fn a_connection_is_known_to_have_sessions_until_the_last_is_over() {
    let mut world = World::new(&["a"]);
    let at = sent(&world.ask(1, "free")).unwrap();
    assert!(!world.lifecycle.has_sessions_on(5), "it is only asked for");
    world.answer(&at, 1);
    let mut handed = asks(2, "free");
    handed.figures.at = Some("a".into());
    world.feed(Input::SetUp { conn: 5, received_at: world.now, set_up: handed });
    world.released(&at, 1, cause::FAILED);
    assert!(world.lifecycle.has_sessions_on(5) && !world.lifecycle.has_sessions_on(6));
    world.feed(Input::Release { conn: 6, session: 2, cause: cause::ENDED_BY_VIEWER });
    assert!(world.lifecycle.has_sessions_on(5), "its host has not said so");
    world.feed(Input::ReleaseConfirmed { server: at, session: 2 });
    assert!(!world.lifecycle.has_sessions_on(5));
}

/// Where the settings tell of no cells any host holds any title, and any cell that a viewer names will do.
#[test]
fn without_cells_a_set_up_may_name_any() {
    let classes = vec!["free".to_owned(), "paid".to_owned()];
    let settings = Settings { cells: None, racks: None, ..settings() };
    let mut world = World::new(&[]);
    world.lifecycle = Lifecycle::new(Controller::new(1, settings), classes, None);
    world.feed(Input::List { kind: ListKind::Full, hosts: vec![listed("a", ServerState::Up, None)] });
    let mut set_up = asks(1, "free");
    (set_up.figures.home, set_up.figures.copies) = (4, 3);
    assert!(
        sent(&world.feed(Input::SetUp { conn: 5, received_at: world.now, set_up: set_up.clone() })).is_some()
    );
    (set_up.session, set_up.figures.copies) = (2, 0);
    let out = world.feed(Input::SetUp { conn: 5, received_at: world.now, set_up });
    assert_eq!(turned(&out), Some(cause::UNREADABLE), "no copies are out of range all the same");
}

#[test]
fn handed_over_sessions_owe_no_answer_and_end_once() {
    let mut world = World::new(&["a"]);
    let mut handed = asks(1, "free");
    handed.figures.at = Some("a".into());
    handed.patience_ms = 4_294_967;
    for _ in 0..2 {
        let hand = Input::SetUp { conn: 5, received_at: world.now, set_up: handed.clone() };
        let out = world.feed(hand);
        assert!(
            !out.iter()
                .any(|o| matches!(o, Output::Answer { .. } | Output::Rejected { .. } | Output::SetUp { .. }))
        );
    }
    assert_eq!(
        (world.lifecycle.held(), world.lifecycle.counts.handed_over, world.lifecycle.open()),
        (1, 1, 0)
    );
    let over = Output::SessionEnded { conn: Some(5), session: 1, cause: 16 };
    assert_eq!(world.released(&server("a"), 1, 16), [over]);
    assert_eq!(world.released(&server("a"), 1, 16), [], "hosts say it again on the next connection");
    handed.figures.at = Some("nowhere".into());
    let hand = Input::SetUp { conn: 5, received_at: world.now, set_up: handed };
    let lost = Output::SessionEnded { conn: Some(5), session: 1, cause: cause::FAILED };
    assert_eq!(world.feed(hand), [lost]);
}

/// Its host took the address of one that the process before had it set up at, before the list told of that.
#[test]
fn a_session_handed_over_at_a_host_that_the_list_names_later_is_left_standing() {
    let mut world = World::new(&["a"]);
    let mut handed = asks(1, "free");
    handed.figures.at = Some("b".into());
    let hand = Input::SetUp { conn: 5, received_at: world.now, set_up: handed };
    let lost = Output::SessionEnded { conn: Some(5), session: 1, cause: cause::FAILED };
    assert_eq!(world.feed(hand), [lost]);
    world.pass(500 * MS);
    let out = world.list(listed("b", ServerState::Up, Some(world.now)));
    let release = Output::Release { server: server("b"), session: 1, cause: cause::ENDED_BY_VIEWER };
    assert_eq!(out, [release], "its host is told");
}

#[test]
fn a_closed_connection_gives_its_set_ups_up_and_leaves_what_stands() {
    let mut world = World::new(&["a"]);
    world.play(1, "free");
    let at = sent(&world.ask(2, "free")).unwrap();
    assert_eq!(
        world.feed(Input::ClientDisconnected { conn: 5 }),
        [Output::Withdraw { server: at, session: 2, attempt: 2 }]
    );
    assert_eq!((world.lifecycle.held(), world.lifecycle.open(), world.lifecycle.open_on(5)), (1, 0, 0));
}

#[test]
fn bounds_turn_away_and_forget_nothing() {
    let mut world = World::new(&["a"]);
    let twice = |world: &mut World, class| turned(&world.ask(1, class));
    assert_eq!(twice(&mut world, "no such"), Some(cause::UNREADABLE));
    assert_eq!(twice(&mut world, "free"), None);
    assert_eq!(twice(&mut world, "free"), Some(cause::UNREADABLE), "the id of an open set-up");
    let mut far = asks(2, "free");
    far.figures.home = 4;
    assert_eq!(
        turned(&world.feed(Input::SetUp { conn: 5, received_at: world.now, set_up: far })),
        Some(cause::UNREADABLE)
    );
    let answers: Vec<_> = (10..100).map(|id| turned(&world.ask(id, "free"))).collect();
    assert_eq!(answers.iter().flatten().count(), 90 - 63, "64 set-ups are open on one connection at most");
    assert!(answers.iter().flatten().all(|c| *c == cause::REFUSED));
    world.feed(Input::ClientDisconnected { conn: 5 });
    assert_eq!((world.lifecycle.held(), world.lifecycle.open()), (0, 0));
}

/// What must hold, judged from the outside.
#[derive(Default)]
struct Judge {
    /// Deadline and class of each request that has no final answer.
    owed: BTreeMap<u64, (Micros, bool)>,
    /// Where an attempt is out.
    out: BTreeMap<u64, ServerId>,
    /// Paid requests of which an attempt may have run.
    ran: BTreeSet<u64>,
    barred: BTreeSet<ServerId>,
}

impl Judge {
    fn see(&mut self, now: Micros, outputs: &[Output]) {
        for output in outputs {
            match output {
                Output::Answer { session, .. } => {
                    assert!(self.owed.remove(session).is_some(), "answered twice");
                    self.out.remove(session);
                }
                Output::Rejected { session, cause, .. } => {
                    let (_, paid) = self.owed.remove(session).expect("answered twice");
                    assert!(
                        !paid || *cause != cause::REFUSED || !self.ran.contains(session),
                        "refused what may have run"
                    );
                    if paid && self.out.contains_key(session) {
                        assert_ne!(*cause, cause::REFUSED);
                    }
                }
                Output::Withdraw { session, .. } => {
                    self.ran.extend(self.out.remove(session).map(|_| *session));
                }
                // Closing what leads to a host gives up all that is out there.
                Output::Forget { server, .. } => {
                    let there = self.out.extract_if(.., |_, at| at == server);
                    self.ran.extend(there.map(|(session, _)| session));
                }
                Output::SetUp { server, session, .. } => {
                    assert!(self.out.insert(*session, server.clone()).is_none(), "two attempts out");
                    assert!(self.owed.contains_key(session), "nobody waits for it");
                    let (deadline, paid) = self.owed[session];
                    assert!(now < deadline && (!paid || !self.ran.contains(session)), "a paid set-up twice");
                    assert!(!self.barred.contains(server), "to a draining host");
                }
                _ => {}
            }
        }
        assert!(self.owed.values().all(|(deadline, _)| *deadline >= now), "a request without an answer");
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(20), ..Default::default() })]

    #[test]
    fn in_any_order_the_rules_hold(steps in proptest::collection::vec((0..12u8, any::<u16>()), 1..120)) {
        let names = ["a", "b", "c", "d"];
        let (mut world, mut judge, mut next) = (World::new(&names), Judge::default(), 1);
        for (kind, pick) in steps {
            let pick = usize::from(pick);
            let nth = |sessions: Vec<u64>| sessions.get(pick % sessions.len().max(1)).copied().unwrap_or(0);
            let host = server(names[pick % 4]);
            let session = nth(judge.out.keys().copied().collect());
            let at = judge.out.get(&session).cloned().unwrap_or(host.clone());
            let outputs = match kind {
                0..=2 => {
                    let paid = pick % 2 == 1;
                    judge.owed.insert(next, (world.now + PATIENCE, paid));
                    next += 1;
                    world.ask(next - 1, if paid { "paid" } else { "free" })
                }
                3 => world.answer(&at, session),
                4 | 5 => {
                    use Status::*;
                    let status = [Full, Failed, Ignored, Reset][pick / 7 % 4];
                    if judge.out.remove(&session).is_some() && matches!(status, Failed | Reset) {
                        judge.ran.insert(session);
                    }
                    world.refuse(&at, session, status)
                }
                6 => {
                    let begun = pick / 7 % 2 == 0;
                    if judge.out.remove(&session).is_some() && begun {
                        judge.ran.insert(session);
                    }
                    let attempt = world.attempt(session);
                    world.feed(Input::ConnectionLost { server: at, session, attempt, begun })
                }
                7 => {
                    let session = nth(judge.owed.keys().copied().collect());
                    judge.owed.remove(&session);
                    world.feed(Input::Release { conn: 5, session, cause: cause::GIVEN_UP })
                }
                8 => {
                    let state = [ServerState::Up, ServerState::Draining, ServerState::Gone][pick / 7 % 3];
                    if state == ServerState::Up { judge.barred.remove(&host) } else { judge.barred.insert(host) };
                    world.list(listed(names[pick % 4], state, None))
                }
                9 => {
                    let cause = [16, 31, 41][pick / 7 % 3];
                    if judge.out.remove(&session).is_some() {
                        judge.ran.insert(session);
                    }
                    world.released(&at, session, cause)
                }
                _ => {
                    for _ in 0..pick % 400 {
                        let step = world.pass(MS);
                        judge.see(world.now, &step);
                    }
                    Vec::new()
                }
            };
            judge.see(world.now, &outputs);
        }
        for _ in 0..=PATIENCE / MS {
            let step = world.pass(MS);
            judge.see(world.now, &step);
        }
        prop_assert!(judge.owed.is_empty(), "no request is left without an answer");
        prop_assert_eq!(world.lifecycle.open(), 0);
    }
}
