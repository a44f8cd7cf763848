//! Two events that cross, on real sockets, in the order that a test forces: the gateway's process is stopped while both
//! happen, or a stand-in holds one of them until the other has. `docs/design/crossings.md` names each path.

use std::collections::BTreeMap;

use elderpick_lab::platform::{
    Does, Host, Journal, Listing, PATIENCE, Speaks, Viewers, answer, answer_with_note, config, set_up,
    set_up_of, set_up_with,
};
use elderpick_platform::rtsp;
use elderpick_platform::viewer::{self, cause, kind};
use nix::sys::signal::Signal;
use serde_json::{Value, json};

mod common;

use common::{World, host_saw, run, until, world, world_of};

/// How a viewer leaves.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum Leaves {
    Closes,
    Resets,
    GivesUp,
}

const LEAVES: [Leaves; 3] = [Leaves::Closes, Leaves::Resets, Leaves::GivesUp];

impl Leaves {
    /// What is left of the connection is kept open.
    async fn leave(self, mut viewers: Viewers, session: u64) -> Option<Viewers> {
        match self {
            Leaves::Closes => drop(viewers),
            Leaves::Resets => viewers.reset().unwrap(),
            Leaves::GivesUp => {
                viewers.release(session, cause::GIVEN_UP).await.unwrap();
                return Some(viewers);
            }
        }
        None
    }
}

async fn connect(world: &World) -> Viewers {
    Viewers::connect(world.gateway.address).await.unwrap()
}

/// Asks, and gives the kind of the final answer and its cause.
async fn asked(viewers: &mut Viewers, session: u64, class: &str) -> (u8, Option<u8>) {
    viewers.ask(session, class, None).await.unwrap();
    ended(viewers, session).await
}

async fn ended(viewers: &mut Viewers, session: u64) -> (u8, Option<u8>) {
    let answer = viewers.next().await.unwrap().expect("an answer");
    assert_eq!(answer.session, session);
    (answer.kind, answer.cause().ok())
}

const SERVED: (u8, Option<u8>) = (kind::ANSWER, None);

/// Connections come up late and calls for load are none, so that what is opened is for the set-up alone.
fn patient(config: &mut Value) {
    config["settings"]["limits"]["connect_timeout_us"] = json!(15_000_000);
    config["settings"]["limits"]["may_probe"] = json!(false);
}

fn unprobed(config: &mut Value) {
    config["settings"]["limits"]["may_probe"] = json!(false);
}

/// A clock of the gateway's own: it closes a connection that holds half a message after 1.5 s. Awaiting the close, and
/// no time of the test's, tells that so much has passed for it.
async fn gateway_has_waited(world: &World) {
    let mut half = connect(world).await;
    half.write(&set_up(1 << 40, "free", None)[..40]).await.unwrap();
    assert_eq!(half.next().await.unwrap(), None, "half a message is not waited for");
}

/// Asks until lines to all hosts are up; they are idle then. The number of sessions is a bound for the wait.
async fn all_lines_up(world: &World, viewers: &mut Viewers) {
    for session in 1..200 {
        assert_eq!(asked(viewers, session, "free").await, SERVED);
        if world.hosts.iter().all(|host| host.taken() > 0) {
            return;
        }
    }
    panic!("a host has no line");
}

/// Whether a connection to a port has been asked for and is not up.
fn is_opening(port: u16) -> bool {
    let table = std::fs::read_to_string("/proc/net/tcp").unwrap();
    let fields = table.lines().map(|line| line.split_whitespace().collect::<Vec<_>>());
    let port = format!(":{port:04X}");
    // 02 is SYN-SENT.
    fields.into_iter().any(|f| f.get(2).is_some_and(|to| to.ends_with(&port)) && f.get(3) == Some(&"02"))
}

// ---- A client that has left ----

#[test]
fn who_left_while_a_line_came_up_is_not_sent_on() {
    run(async {
        for how in LEAVES {
            let host = Host::start_held("s-0").await.unwrap();
            let journal = Journal::start().await.unwrap();
            let world = world_of("left", vec![host], journal, 256, patient).await;
            let mut viewers = connect(&world).await;
            viewers.ask(1, "paid", None).await.unwrap();
            let port = world.hosts[0].address.port();
            until("its line is on its way", || is_opening(port)).await;
            world.gateway.pause().await.unwrap();
            world.hosts[0].let_in();
            // The one that filled the queue, and the gateway's.
            until("the line is up", || world.hosts[0].taken() == 2).await;
            let _open = how.leave(viewers, 1).await;
            world.gateway.resume().unwrap();
            assert_eq!(asked(&mut connect(&world).await, 2, "paid").await, SERVED);
            assert_eq!(host_saw(&world, "SETUP", 1), [], "{how:?}");
        }
    });
}

#[test]
fn who_left_behind_a_refused_attempt_is_not_sent_on_again() {
    run(async {
        for how in LEAVES {
            let hosts = vec![Host::start("s-0").await.unwrap(), Host::start("s-1").await.unwrap()];
            let journal = Journal::start().await.unwrap();
            let world = world_of("refused", hosts, journal, 256, unprobed).await;
            let mut viewers = connect(&world).await;
            all_lines_up(&world, &mut viewers).await;
            world.hosts.iter().for_each(|host| host.script(&[Does::HoldsRefusal(453)]));
            viewers.ask(1_000, "free", None).await.unwrap();
            until("it is out", || host_saw(&world, "SETUP", 1_000).len() == 1).await;
            let first = host_saw(&world, "SETUP", 1_000)[0].0.clone();
            let first = world.hosts.iter().find(|host| host.name == first).unwrap();
            world.gateway.pause().await.unwrap();
            let before = first.done();
            first.go_on();
            until("it is refused", || first.done() > before).await;
            let _open = how.leave(viewers, 1_000).await;
            world.gateway.resume().unwrap();
            let mut others = connect(&world).await;
            assert!(others.test().await.unwrap());
            let second = world.hosts.iter().find(|host| host.name != first.name).unwrap();
            second.go_on();
            for session in 1_001..1_200 {
                let of = second.seen().len();
                others.ask(session, "free", None).await.unwrap();
                assert!(others.next().await.unwrap().is_some());
                if second.seen().len() > of {
                    break;
                }
            }
            assert_eq!(host_saw(&world, "SETUP", 1_000).len(), 1, "{how:?}");
        }
    });
}

#[test]
fn an_answer_to_who_left_before_it_is_released_at_its_host() {
    run(async {
        for how in LEAVES {
            let world = world("unowned", 1, 256).await;
            let mut viewers = connect(&world).await;
            world.hosts[0].script(&[Does::Holds]);
            viewers.ask(1, "paid", None).await.unwrap();
            until("it is out", || !host_saw(&world, "SETUP", 1).is_empty()).await;
            world.gateway.pause().await.unwrap();
            let before = world.hosts[0].done();
            world.hosts[0].go_on();
            until("it is answered", || world.hosts[0].done() > before).await;
            let _open = how.leave(viewers, 1).await;
            world.gateway.resume().unwrap();
            until("its host hears that it is over", || !host_saw(&world, "TEARDOWN", 1).is_empty()).await;
        }
    });
}

/// Nothing tells whether its viewer had left before the answer came; its session would stand for nobody.
#[test]
fn an_answer_that_crosses_the_end_of_its_connection_is_released_at_its_host() {
    run(async {
        for how in [Leaves::Closes, Leaves::Resets] {
            let world = world("crosses", 1, 256).await;
            let mut viewers = connect(&world).await;
            viewers.ask(1, "paid", None).await.unwrap();
            viewers.has_come().await.unwrap();
            how.leave(viewers, 1).await;
            until("its host hears that it is over", || !host_saw(&world, "TEARDOWN", 1).is_empty()).await;
            // Whoever was its viewer, and is there after all, hears of it.
            let mut others = connect(&world).await;
            others.ask(2, "free", None).await.unwrap();
            // Its own answer may be held for a moment, and comes behind that then.
            let mut said = BTreeMap::new();
            for _ in 0..2 {
                let message = others.next().await.unwrap().expect("a message");
                said.insert(message.session, (message.kind, message.cause().ok()));
            }
            let released = (kind::RELEASE, Some(cause::FAILED));
            assert_eq!(said, BTreeMap::from([(1, released), (2, SERVED)]), "{how:?}");
        }
    });
}

/// No connection owns a session: one that ends later ends nothing.
#[test]
fn a_connection_that_ends_behind_its_answers_ends_no_session() {
    run(async {
        let world = world("behind", 1, 256).await;
        let mut viewers = connect(&world).await;
        assert_eq!(asked(&mut viewers, 1, "paid").await, SERVED);
        gateway_has_waited(&world).await;
        drop(viewers);
        gateway_has_waited(&world).await;
        assert_eq!(host_saw(&world, "TEARDOWN", 1), []);
    });
}

#[test]
fn a_set_up_and_its_end_in_one_piece_are_never_sent_on() {
    run(async {
        let world = world("piece", 1, 256).await;
        let mut viewers = connect(&world).await;
        // A line is up and idle: nothing has to be waited for.
        assert_eq!(asked(&mut viewers, 3, "free").await, SERVED);
        let mut piece = set_up(1, "paid", None);
        viewer::release(&mut piece, 1, cause::GIVEN_UP, None);
        viewers.write(&piece).await.unwrap();
        assert_eq!(viewers.next().await.unwrap().unwrap().kind, kind::RELEASE_HEARD);
        assert_eq!(asked(&mut viewers, 2, "paid").await, SERVED);
        assert_eq!(host_saw(&world, "SETUP", 1), []);
    });
}

#[test]
fn a_number_that_was_given_up_is_no_new_viewers() {
    run(async {
        let world = world("again", 1, 256).await;
        let mut viewers = connect(&world).await;
        world.hosts[0].script(&[Does::Holds]);
        viewers.ask(1, "paid", None).await.unwrap();
        until("it is out", || !host_saw(&world, "SETUP", 1).is_empty()).await;
        viewers.release(1, cause::GIVEN_UP).await.unwrap();
        assert_eq!(viewers.next().await.unwrap().unwrap().kind, kind::RELEASE_HEARD);
        assert_eq!(asked(&mut viewers, 1, "paid").await, (kind::RELEASE, Some(cause::UNREADABLE)));
        world.hosts[0].go_on();
        until("the late answer is released", || host_saw(&world, "TEARDOWN", 1).len() >= 2).await;
        assert_eq!(host_saw(&world, "SETUP", 1).len(), 1);
    });
}

// ---- Connections closed at the wrong instant ----

#[test]
fn half_a_message_does_not_cost_the_answer_to_the_one_before() {
    run(async {
        let world = world("half", 1, 256).await;
        let mut viewers = connect(&world).await;
        world.hosts[0].script(&[Does::Holds]);
        let next = set_up(2, "free", None);
        viewers.write(&[&set_up(1, "paid", None)[..], &next[..40]].concat()).await.unwrap();
        until("it is out", || !host_saw(&world, "SETUP", 1).is_empty()).await;
        gateway_has_waited(&world).await;
        world.hosts[0].go_on();
        assert_eq!(ended(&mut viewers, 1).await, SERVED);
    });
}

#[test]
fn the_rest_of_a_message_that_came_while_the_gateway_stood_still_is_read() {
    run(async {
        let world = world("rest", 1, 256).await;
        let mut viewers = connect(&world).await;
        assert_eq!(asked(&mut viewers, 1, "free").await, SERVED);
        let whole = set_up(2, "paid", None);
        viewers.write(&whole[..40]).await.unwrap();
        assert!(connect(&world).await.test().await.unwrap(), "the half was read before");
        world.gateway.pause().await.unwrap();
        // Its time for the rest is over when it goes on, and the rest is there.
        tokio::time::sleep(std::time::Duration::from_millis(1_900)).await;
        viewers.write(&whole[40..]).await.unwrap();
        world.gateway.resume().unwrap();
        assert_eq!(ended(&mut viewers, 2).await, SERVED);
    });
}

#[test]
fn a_line_that_its_host_ended_carries_no_further_set_up() {
    run(async {
        for (reset, behind_a_note) in [(false, false), (false, true), (true, false)] {
            let host = Host::start("s-0").await.unwrap();
            let world = world_of("ended", vec![host], Journal::start().await.unwrap(), 256, unprobed).await;
            let mut viewers = connect(&world).await;
            assert_eq!(asked(&mut viewers, 1, "free").await, SERVED);
            world.gateway.pause().await.unwrap();
            viewers.ask(2, "paid", None).await.unwrap();
            let before = world.hosts[0].done();
            if behind_a_note {
                world.hosts[0].say(&rtsp::response(100, 1, 1));
            }
            world.hosts[0].hang_up(reset);
            let all = before + 1 + usize::from(behind_a_note);
            until("the line is ended", || world.hosts[0].done() == all).await;
            world.gateway.resume().unwrap();
            assert_eq!(ended(&mut viewers, 2).await, SERVED, "reset {reset}, note {behind_a_note}");
            assert_eq!(host_saw(&world, "SETUP", 2).len(), 1);
        }
    });
}

#[test]
fn a_withdrawal_that_went_down_with_its_line_is_said_again() {
    run(async {
        let world = world("withdrawal", 1, 256).await;
        let mut viewers = connect(&world).await;
        world.hosts[0].script(&[Does::Holds]);
        viewers.ask(1, "paid", None).await.unwrap();
        until("it is out", || !host_saw(&world, "SETUP", 1).is_empty()).await;
        let before = world.hosts[0].done();
        world.hosts[0].stop_reading();
        until("it reads no more", || world.hosts[0].done() > before).await;
        viewers.release(1, cause::GIVEN_UP).await.unwrap();
        assert_eq!(viewers.next().await.unwrap().unwrap().kind, kind::RELEASE_HEARD);
        assert!(viewers.test().await.unwrap());
        assert_eq!(host_saw(&world, "TEARDOWN", 1), [], "it went out and was not read");
        world.hosts[0].hang_up(true);
        until("it is said again", || !host_saw(&world, "TEARDOWN", 1).is_empty()).await;
    });
}

#[test]
fn a_session_whose_answer_went_down_with_its_line_is_released() {
    run(async {
        for (does, class) in [(Does::BreaksOff, "paid"), (Does::Spoils, "free")] {
            let world = world("cut", 1, 256).await;
            let mut viewers = connect(&world).await;
            // It stands at its host, which was never told otherwise.
            world.hosts[0].script(&[does]);
            assert_eq!(asked(&mut viewers, 1, class).await.0, kind::RELEASE);
            until("its host is told", || !host_saw(&world, "TEARDOWN", 1).is_empty()).await;
        }
    });
}

/// Seen on a fleet's day: a viewer looked and left in the very moment in which its session began.
#[test]
fn a_session_that_is_over_before_its_answer_is_said_is_not_answered_as_standing() {
    run(async {
        let world = world("moment", 1, 256).await;
        let mut viewers = connect(&world).await;
        world.hosts[0].script(&[Does::EndsAtOnce(31), Does::EndsAtOnce(16), Does::Notes]);
        for session in [1, 2] {
            assert_eq!(asked(&mut viewers, session, "paid").await, (kind::RELEASE, Some(cause::FAILED)));
        }
        assert_eq!(asked(&mut viewers, 3, "paid").await, SERVED, "it stands all the same");
        // Each had one final answer, and the third is the only one that stands.
        world.hosts[0].die();
        assert_eq!(ended(&mut viewers, 3).await, (kind::RELEASE, Some(cause::FAILED)));
        assert!(viewers.test().await.unwrap());
    });
}

/// Few descriptors, so that several set-ups share a line.
#[test]
fn a_line_that_is_used_no_more_keeps_what_is_out_on_it() {
    run(async {
        let host = Host::start("s-0").await.unwrap();
        let world = world_of("shared", vec![host], Journal::start().await.unwrap(), 64, unprobed).await;
        world.hosts[0].script(&[Does::Holds; 40]);
        let mut viewers = connect(&world).await;
        let all = 1..=40_u64;
        for session in all.clone() {
            viewers.ask(session, "paid", None).await.unwrap();
        }
        let seen = || world.hosts[0].seen().iter().filter(|(method, ..)| method == "SETUP").count();
        until("all are out", || seen() == 40).await;
        assert!(world.hosts[0].taken() <= 20, "some share a line");
        // One of each line is given up, whose host has said nothing since: the line is used no more.
        for session in (1..=40).step_by(5) {
            viewers.release(session, cause::GIVEN_UP).await.unwrap();
            assert_eq!(viewers.next().await.unwrap().unwrap().kind, kind::RELEASE_HEARD);
        }
        gateway_has_waited(&world).await;
        world.hosts[0].go_on();
        let mut served: Vec<u64> = Vec::new();
        for _ in all.clone().filter(|session| (session - 1) % 5 != 0) {
            let answer = viewers.next().await.unwrap().unwrap();
            assert_eq!(answer.kind, kind::ANSWER, "session {}", answer.session);
            served.push(answer.session);
        }
        served.sort_unstable();
        assert_eq!(served, all.filter(|session| (session - 1) % 5 != 0).collect::<Vec<_>>());
    });
}

// ---- Lists that go quiet ----

/// A restart that knows of no start of its hosts, with a rule on cold ones that lasts longer than any test: until the
/// list is known to be whole all are cold, and the first of their turns is over.
fn blind(config: &mut Value) {
    let for_good = 1_000_000_000_000_i64;
    config["settings"]["guarantees"] = json!({"start_capacity": 0.5, "ramp_time_us": for_good,
        "tip_multiple": 2.0, "overload_for_us": for_good});
    config["settings"]["limits"]["may_probe"] = json!(false);
}

#[test]
fn a_journal_that_opens_and_stays_silent_proves_nothing() {
    run(async {
        let host = Host::start("s-0").await.unwrap();
        let journal = Journal::start_as(Speaks::NotAtAll).await.unwrap();
        let world = world_of("silent", vec![host], journal, 256, blind).await;
        let mut viewers = connect(&world).await;
        let mut sessions = 1..;
        // Until its silence has ended the first call and a second one is up.
        while world.journal.calls.borrow().len() < 2 {
            let session = sessions.next().unwrap();
            let refused = (kind::RELEASE, Some(cause::REFUSED));
            assert_eq!(asked(&mut viewers, session, "free").await, refused);
            tokio::time::sleep(std::time::Duration::from_millis(5)).await;
        }
        world.journal.speaks.set(Speaks::Well);
        // A comment tells that all was told. The number of tries is a bound for the wait.
        for _ in 0..4_000 {
            if asked(&mut viewers, sessions.next().unwrap(), "free").await == SERVED {
                return;
            }
            tokio::time::sleep(std::time::Duration::from_millis(5)).await;
        }
        panic!("the list is never whole");
    });
}

#[test]
fn an_event_that_trickles_and_never_ends_is_no_sign_of_life() {
    run(async {
        let host = Host::start("s-0").await.unwrap();
        let journal = Journal::start_as(Speaks::Trickling).await.unwrap();
        let world = world_of("trickles", vec![host], journal, 256, unprobed).await;
        until("it is called again", || world.journal.calls.borrow().len() >= 2).await;
    });
}

#[test]
fn a_journal_that_answers_and_closes_is_called_ever_less_often() {
    run(async {
        let host = Host::start("s-0").await.unwrap();
        let journal = Journal::start_as(Speaks::Closing).await.unwrap();
        let world = world_of("closes", vec![host], journal, 256, unprobed).await;
        gateway_has_waited(&world).await;
        // 20 ms, and twice as long each time: seven calls in the first 1.5 s, one or two until the close is seen.
        let calls = world.journal.calls.borrow().len();
        assert!(calls <= 12, "{calls} calls");
        world.journal.speaks.set(Speaks::Well);
        until("it is called again", || world.journal.calls.borrow().len() > calls).await;
    });
}

#[test]
fn an_event_with_a_host_that_cannot_be_read_is_asked_for_again() {
    run(async {
        let host = Host::start("s-0").await.unwrap();
        let world = world_of("spoilt", vec![host], Journal::start().await.unwrap(), 256, unprobed).await;
        until("it is called", || world.journal.calls.borrow().len() == 1).await;
        let other = Host::start("s-1").await.unwrap();
        world.journal.speaks.set(Speaks::Closing);
        world.journal.break_off();
        until("nobody listens any more", || world.journal.calls.borrow().len() >= 2).await;
        world.journal.tell(false, &[(&world.hosts[0], "Gone"), (&other, "Ready")]);
        world.journal.speaks.set(Speaks::SpoiltOnce);
        let mut viewers = connect(&world).await;
        for session in 1..2_000 {
            viewers.ask(session, "free", None).await.unwrap();
            assert!(viewers.next().await.unwrap().is_some());
            if other.seen().iter().any(|(method, ..)| method == "SETUP") {
                let calls = world.journal.calls.borrow();
                return assert!(calls.iter().all(|place| *place == 1), "from the place before it: {calls:?}");
            }
            tokio::time::sleep(std::time::Duration::from_millis(2)).await;
        }
        panic!("the host is never known");
    });
}

// ---- Shutdown ----

/// Until the gateway says that it takes no new viewers.
async fn ending(world: &World) {
    let mut front = connect(world).await;
    for _ in 0..2_000 {
        if !front.test().await.unwrap() {
            return;
        }
        tokio::time::sleep(std::time::Duration::from_millis(2)).await;
    }
    panic!("it is not ending");
}

#[test]
fn what_the_system_has_accepted_when_the_listener_goes_is_answered() {
    run(async {
        let mut world = world("drained", 1, 256).await;
        assert_eq!(asked(&mut connect(&world).await, 1, "free").await, SERVED);
        world.gateway.signal(Signal::SIGTERM).unwrap();
        ending(&world).await;
        world.gateway.pause().await.unwrap();
        // The time in which viewers go on coming is over when it goes on, and these have come within.
        let mut late = Vec::new();
        for session in 2..10 {
            let mut viewers = connect(&world).await;
            viewers.ask(session, "paid", None).await.unwrap();
            late.push((session, viewers));
        }
        tokio::time::sleep(std::time::Duration::from_millis(1_000)).await;
        world.gateway.resume().unwrap();
        for (session, viewers) in &mut late {
            assert_eq!(ended(viewers, *session).await, SERVED);
        }
        let ended = tokio::time::timeout(PATIENCE, world.gateway.child.wait()).await.unwrap().unwrap();
        assert!(ended.success());
    });
}

#[test]
fn a_journal_that_moves_after_sigterm_is_followed() {
    run(async {
        let mut world = world("moves", 1, 256).await;
        let mut viewers = connect(&world).await;
        world.hosts[0].script(&[Does::Holds]);
        viewers.ask(1, "paid", None).await.unwrap();
        until("it is out", || !host_saw(&world, "SETUP", 1).is_empty()).await;
        let next = Journal::start().await.unwrap();
        next.succeed(&world.journal);
        let mut changed = config(&world.journal, 256);
        changed["journal"] = next.address.to_string().into();
        world.gateway.replace(&changed).unwrap();
        world.gateway.signal(Signal::SIGTERM).unwrap();
        ending(&world).await;
        world.gateway.signal(Signal::SIGTERM).unwrap();
        world.gateway.signal(Signal::SIGHUP).unwrap();
        until("the new journal is asked", || !next.calls.borrow().is_empty()).await;
        world.hosts[0].go_on();
        assert_eq!(ended(&mut viewers, 1).await, SERVED);
        assert!(world.gateway.child.wait().await.unwrap().success());
    });
}

#[test]
fn an_attempt_that_fails_after_sigterm_is_made_good_elsewhere() {
    run(async {
        let mut world = world("late", 2, 256).await;
        let mut viewers = connect(&world).await;
        world.hosts.iter().for_each(|host| host.script(&[Does::HoldsRefusal(453)]));
        viewers.ask(1, "paid", None).await.unwrap();
        until("it is out", || host_saw(&world, "SETUP", 1).len() == 1).await;
        world.gateway.signal(Signal::SIGTERM).unwrap();
        ending(&world).await;
        let first = host_saw(&world, "SETUP", 1)[0].0.clone();
        world.hosts.iter().find(|host| host.name == first).unwrap().go_on();
        until("it is out again", || host_saw(&world, "SETUP", 1).len() == 2).await;
        world.hosts.iter().find(|host| host.name != first).unwrap().go_on();
        let (kind, cause) = ended(&mut viewers, 1).await;
        assert_eq!((kind, cause), (kind::RELEASE, Some(cause::REFUSED)));
        assert!(world.gateway.child.wait().await.unwrap().success());
    });
}

/// The host's machine is out of reach when the last answers are given, and back before the process has to end.
#[test]
fn a_release_whose_host_is_out_of_reach_at_the_shutdown_is_tried_once() {
    run(async {
        let mut world = world("unreached", 1, 256).await;
        let mut viewers = connect(&world).await;
        assert_eq!(asked(&mut viewers, 1, "free").await, SERVED);
        world.hosts[0].die();
        viewers.release(1, cause::ENDED_BY_VIEWER).await.unwrap();
        world.gateway.signal(Signal::SIGTERM).unwrap();
        ending(&world).await;
        // Behind the time in which viewers still come, when nothing is open.
        tokio::time::sleep(std::time::Duration::from_millis(1_500)).await;
        world.hosts[0].come_back().await.unwrap();
        assert!(world.gateway.child.wait().await.unwrap().success());
        assert!(!host_saw(&world, "TEARDOWN", 1).is_empty(), "the host is told");
    });
}

/// A host tells of an end on another connection once that of the set-up is closed, and two connections have no order.
#[test]
fn an_end_that_overtakes_its_answer_on_another_connection_leaves_nothing_standing() {
    run(async {
        let world = world("overtakes", 1, 256).await;
        let mut viewers = connect(&world).await;
        world.hosts[0].script(&[Does::Holds, Does::Holds]);
        for session in 1..=2 {
            viewers.ask(session, "free", None).await.unwrap();
            until("it is out", || !host_saw(&world, "SETUP", session).is_empty()).await;
        }
        assert_eq!(world.hosts[0].most_on_one_connection(), 1, "on a connection each");
        world.hosts[0].say_on_connection_of(2, &rtsp::teardown(1, Some(16)));
        until("the gateway has heard it", || world.hosts[0].heard().contains(&1)).await;
        world.hosts[0].say_on_connection_of(1, &answer(1));
        let (kind, _) = ended(&mut viewers, 1).await;
        assert_eq!(kind, kind::RELEASE, "its viewer is not promised what is over");
    });
}

// ---- Replaced hosts ----

/// The list tells of a start up to some seconds late; what was set up meanwhile plays at the new process.
#[test]
fn sessions_that_a_new_process_plays_are_not_released_when_the_list_tells_of_it() {
    run(async {
        let world = world("late-start", 1, 256).await;
        let mut viewers = connect(&world).await;
        assert_eq!(asked(&mut viewers, 1, "free").await, SERVED);
        let unix = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap();
        let host = &world.hosts[0];
        let listing = |born_ms| Listing {
            name: host.name.clone(),
            address: host.address,
            health: "Ready".to_owned(),
            born_ms,
        };
        world.journal.tell_listings(false, &[listing(unix.as_millis() as u64 - 2_000)]);
        // The next news ends what came before it, so that the first was taken by then.
        tokio::time::sleep(std::time::Duration::from_millis(1_500)).await;
        assert!(host_saw(&world, "TEARDOWN", 1).is_empty(), "it plays at the new process");
        let unix = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap();
        world.journal.tell_listings(false, &[listing(unix.as_millis() as u64)]);
        assert_eq!(
            ended(&mut viewers, 1).await,
            (kind::RELEASE, Some(cause::FAILED)),
            "it played at the one before"
        );
    });
}

// ---- Hand-overs ----

#[test]
fn a_session_that_ended_before_its_hand_over_does_not_stand() {
    run(async {
        let world = world("over", 1, 256).await;
        let mut viewers = connect(&world).await;
        assert_eq!(asked(&mut viewers, 1, "free").await, SERVED);
        // Its host ended it while the gateway before was gone, and says so on the first connection.
        world.hosts[0].say(&rtsp::teardown(7, Some(16)));
        until("the gateway has heard it", || world.hosts[0].heard().contains(&7)).await;
        viewers.ask(7, "free", Some("s-0")).await.unwrap();
        assert_eq!(ended(&mut viewers, 7).await, (kind::RELEASE, Some(16)));
        // Ended by its viewer, who is owed no release.
        world.hosts[0].say(&rtsp::teardown(8, Some(31)));
        until("the gateway has heard it", || world.hosts[0].heard().contains(&8)).await;
        viewers.ask(8, "free", Some("s-0")).await.unwrap();
        assert!(viewers.test().await.unwrap());
        // Its viewer releases it on a connection that is read before the one of its hand-over.
        let mut other = connect(&world).await;
        other.release(9, cause::ENDED_BY_VIEWER).await.unwrap();
        assert_eq!(other.next().await.unwrap().unwrap().kind, kind::RELEASE_HEARD);
        viewers.ask(9, "free", Some("s-0")).await.unwrap();
        assert!(viewers.test().await.unwrap());
        until("its host is told", || !host_saw(&world, "TEARDOWN", 9).is_empty()).await;
        // None of them stands: the host's death ends the first session alone.
        world.hosts[0].die();
        assert_eq!(ended(&mut viewers, 1).await, (kind::RELEASE, Some(cause::FAILED)));
        assert!(viewers.test().await.unwrap());
    });
}

#[test]
fn a_hand_over_that_crosses_the_end_of_its_session_does_not_make_it_stand_again() {
    run(async {
        let world = world("crosses", 1, 256).await;
        let mut viewers = connect(&world).await;
        viewers.ask(1, "free", Some("s-0")).await.unwrap();
        assert_eq!(asked(&mut viewers, 2, "free").await, SERVED);
        world.hosts[0].say(&rtsp::teardown(1, Some(16)));
        assert_eq!(ended(&mut viewers, 1).await, (kind::RELEASE, Some(16)));
        viewers.ask(1, "free", Some("s-0")).await.unwrap();
        world.hosts[0].die();
        assert_eq!(ended(&mut viewers, 2).await, (kind::RELEASE, Some(cause::FAILED)));
        assert!(viewers.test().await.unwrap(), "nothing else stood");
    });
}

// ---- Another customer's settings ----

/// Seven classes in no order of their names; the arrays by class are too short, too long, missing, or have zeros.
fn many_classes(config: &mut Value) {
    let settings = &mut config["settings"];
    let class = |name: &str, effect: &str, limit: i64| {
        json!({"name": name, "effect": effect, "group": "all", "on_time_us": limit / 2, "hard_limit_us": limit,
               "window_us": 0, "worth": 1.0, "stream": true})
    };
    settings["profiles"] = json!([
        class("zebra", "free", 40_000_000),
        class("ant", "single_shot", 900_000),
        class("mole", "free", 3_000_000),
        class("ant-eater", "single_shot", 60_000_000)
    ]);
    settings["extra"]["class_floor"] = json!([0, 1]);
    settings["extra"]["class_top"] = json!([0, 1, 1, 0, 5, 5]);
    settings["extra"]["class_scale"] = json!([]);
    settings["extra"].as_object_mut().unwrap().remove("class_seats");
    settings["limits"]["may_probe"] = json!(false);
}

#[test]
fn nothing_of_one_set_up_reaches_anothers() {
    run(async {
        let hosts = vec![Host::start("s-0").await.unwrap(), Host::start("s-1").await.unwrap()];
        let world = world_of("classes", hosts, Journal::start().await.unwrap(), 256, many_classes).await;
        // Each refuses once, so that some are sent a second time.
        world.hosts.iter().for_each(|host| host.script(&[Does::Refuses(454)]));
        let mut viewers = connect(&world).await;
        let wishes = [
            (1, "zebra", 30_000, "00000000000000a1", "0"),
            (2, "ant", 900, "00000000000000b2", "1"),
            (3, "mole", 2_500, "00000000000000c3", "1"),
            (4, "ant-eater", 59_000, "00000000000000d4", "0"),
        ];
        let mut all = Vec::new();
        for (session, class, patience, title, _) in wishes {
            all.extend(set_up_of(session, class, None, &patience.to_string(), title));
            // One that cannot be read, and an unknown class beside a known prefix, between any two.
            all.extend(set_up_of(session + 10, "ant-e", None, "77777", "00000000000000ff"));
            all.extend(set_up_of(session + 20, "mole", None, "not a number", "00000000000000fe"));
        }
        viewers.write(&all).await.unwrap();
        let mut answers = Vec::new();
        for _ in 0..12 {
            let answer = viewers.next().await.unwrap().unwrap();
            answers.push((answer.session, answer.kind));
        }
        answers.sort_unstable();
        let served = |session: u64| (session, if session <= 4 { kind::ANSWER } else { kind::RELEASE });
        assert_eq!(answers, [1, 2, 3, 4, 11, 12, 13, 14, 21, 22, 23, 24].map(served));
        for (session, class, patience, _, top) in wishes {
            let sent = host_saw(&world, "SETUP", session);
            assert!(sent.iter().all(|(_, rung)| rung.as_deref().is_some_and(|rung| rung <= top)), "{sent:?}");
            for (host, _) in sent {
                let host = world.hosts.iter().find(|at| at.name == host).unwrap();
                let (named, waits) = host.asked(session).unwrap();
                assert_eq!(named, class);
                assert!(waits <= patience, "{waits} of {patience}");
            }
        }
        let twice = wishes.iter().filter(|wish| host_saw(&world, "SETUP", wish.0).len() == 2).count();
        assert!(twice > 0, "none was sent a second time");
    });
}

// ---- Releases that cross a close ----

#[test]
fn a_release_that_goes_down_with_its_connection_is_said_on_another() {
    run(async {
        let world = world("unconfirmed", 1, 256).await;
        let mut first = connect(&world).await;
        assert_eq!(asked(&mut first, 1, "free").await, SERVED);
        let (mut leaves, mut stays) = (connect(&world).await, connect(&world).await);
        assert_eq!(asked(&mut leaves, 2, "free").await, SERVED);
        assert_eq!(asked(&mut stays, 3, "free").await, SERVED);
        drop(first);
        // Its own connection is gone, so that its release goes out on the one that was served first of the others.
        assert_eq!(asked(&mut stays, 4, "free").await, SERVED);
        // No answer crosses the end of its connection below.
        gateway_has_waited(&world).await;
        world.hosts[0].end(1, 16);
        until("the gateway has heard it", || world.hosts[0].heard().contains(&1)).await;
        assert!(stays.test().await.unwrap(), "it went out, and not here");
        leaves.reset().unwrap();
        assert_eq!(ended(&mut stays, 1).await, (kind::RELEASE, Some(16)));
        // Said on the way to the one that left, confirmed here: no other connection's end brings it again.
        let mut last = connect(&world).await;
        stays.write(&heard(1)).await.unwrap();
        assert!(stays.test().await.unwrap());
        assert_eq!(asked(&mut last, 5, "free").await, SERVED);
        stays.reset().unwrap();
        assert!(last.test().await.unwrap());
        assert_eq!(asked(&mut last, 6, "free").await, SERVED);
    });
}

/// A viewer's word that it has heard a release.
fn heard(session: u64) -> Vec<u8> {
    let mut bytes = Vec::new();
    viewer::encode(&mut bytes, kind::RELEASE_HEARD, session, &[]).unwrap();
    bytes
}

/// More than one connection takes at once, and more than were kept before.
#[test]
fn all_of_a_crowd_that_is_over_at_once_hear_of_it() {
    run(async {
        let world = world("crowd", 1, 256).await;
        let mut viewers = connect(&world).await;
        let all = 10..6_010_u64;
        for session in all.clone() {
            viewers.ask(session, "free", Some("s-0")).await.unwrap();
        }
        assert!(viewers.test().await.unwrap(), "all are handed over");
        viewers.reset().unwrap();
        world.hosts[0].die();
        // Long enough to be sure that it is lost, while no connection is up that has shown a viewer behind it.
        gateway_has_waited(&world).await;
        let mut others = connect(&world).await;
        others.ask(2, "free", None).await.unwrap();
        let (mut over, mut answered) = (Vec::new(), false);
        while !answered || over.len() < all.clone().count() {
            let message = others.next().await.unwrap().expect("the connection goes on");
            assert_eq!(message.kind, kind::RELEASE);
            match message.session {
                2 => answered = true,
                session => {
                    others.write(&heard(session)).await.unwrap();
                    over.push(session);
                }
            }
        }
        over.sort_unstable();
        assert!(over.into_iter().eq(all), "each once");
    });
}

// ---- A gateway that stood still ----

#[test]
fn time_that_a_set_up_lay_unread_is_no_time_that_its_viewer_waits_on() {
    run(async {
        let world = world_of(
            "unread",
            vec![Host::start("s-0").await.unwrap()],
            Journal::start().await.unwrap(),
            256,
            unprobed,
        )
        .await;
        let mut viewers = connect(&world).await;
        assert_eq!(asked(&mut viewers, 1, "paid").await, SERVED);
        world.gateway.pause().await.unwrap();
        viewers.write(&set_up_of(2, "paid", None, "8000", "7f3a9c21e0b4d655")).await.unwrap();
        viewers.write(&set_up_of(3, "paid", None, "1000", "7f3a9c21e0b4d655")).await.unwrap();
        tokio::time::sleep(std::time::Duration::from_millis(1_500)).await;
        world.gateway.resume().unwrap();
        // However long it takes to go on, less is left than what was left then.
        let mut answers = vec![ended_any(&mut viewers).await, ended_any(&mut viewers).await];
        answers.sort_unstable();
        assert_eq!(answers, [(2, SERVED), (3, (kind::RELEASE, Some(cause::FAILED)))]);
        let (_, waits) = world.hosts[0].asked(2).unwrap();
        assert!(waits <= 6_500, "{waits} ms of 8,000 are left");
        assert_eq!(host_saw(&world, "SETUP", 3), [], "its viewer's time was over");
    });
}

/// The next final answer, whosever.
async fn ended_any(viewers: &mut Viewers) -> (u64, (u8, Option<u8>)) {
    let answer = viewers.next().await.unwrap().expect("an answer");
    (answer.session, (answer.kind, answer.cause().ok()))
}

// ---- Set-ups written into silence ----

/// What its host's system has not taken never arrives, though the network is whole again later: as a cut one is, the
/// line is full and its host reads nothing.
#[test]
fn a_set_up_that_never_arrived_is_taken_back_with_its_viewer() {
    run(async {
        for how in LEAVES {
            let host = Host::start_narrow("s-0").await.unwrap();
            let world = world_of("silence", vec![host], Journal::start().await.unwrap(), 256, unprobed).await;
            let mut viewers = connect(&world).await;
            assert_eq!(asked(&mut viewers, 1, "paid").await, SERVED);
            let before = world.hosts[0].done();
            world.hosts[0].stop_reading();
            until("it reads no more", || world.hosts[0].done() > before).await;
            let mut leaves = connect(&world).await;
            leaves.write(&set_up_with(2, "paid", "8000", 15_000)).await.unwrap();
            assert!(leaves.test().await.unwrap(), "it was read");
            assert!(viewers.test().await.unwrap(), "and written as far as it could be");
            let _open = how.leave(leaves, 2).await;
            gateway_has_waited(&world).await;
            world.hosts[0].read_on();
            until("the line has ended", || world.hosts[0].ended() >= 1).await;
            assert_eq!(asked(&mut viewers, 3, "paid").await, SERVED);
            assert_eq!(host_saw(&world, "SETUP", 2), [], "{how:?}");
        }
    });
}

// ---- Answers and ends ----

/// Which of the two words is read first is left to chance, so many times.
#[test]
fn anothers_word_on_a_session_does_not_end_its_answer() {
    run(async {
        for _ in 0..12 {
            let hosts = vec![Host::start("s-0").await.unwrap(), Host::start("s-1").await.unwrap()];
            let journal = Journal::start().await.unwrap();
            let world = world_of("anothers", hosts, journal, 256, unprobed).await;
            let mut viewers = connect(&world).await;
            all_lines_up(&world, &mut viewers).await;
            world.hosts.iter().for_each(|host| host.script(&[Does::Holds]));
            let session = 1_000;
            viewers.ask(session, "paid", None).await.unwrap();
            until("it is out", || !host_saw(&world, "SETUP", session).is_empty()).await;
            let at = host_saw(&world, "SETUP", session)[0].0.clone();
            world.gateway.pause().await.unwrap();
            for host in &world.hosts {
                let before = host.done();
                let word = match host.name == at {
                    true => answer_with_note(session),
                    false => rtsp::teardown(session, Some(16)),
                };
                host.say(&word);
                until("it is said", || host.done() > before).await;
            }
            world.gateway.resume().unwrap();
            assert_eq!(ended(&mut viewers, session).await, SERVED);
        }
    });
}
