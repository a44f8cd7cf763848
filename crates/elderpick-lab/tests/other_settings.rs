//! Requests that were lost only under settings or loads that the lab had not had before: other class names, long
//! descriptions, one set-up a connection, few descriptors beside many hosts. Each test failed before its fault was mended,
//! but for three: the helpers' own, the late reader's, whose system took all, and that of who sends nothing that can be read.
//! `docs/design/limits.md` has the table of constants that they belong to.

use elderpick_lab::platform::{Does, Host, Journal, Viewers, description, set_up, set_up_of, set_up_with};
use elderpick_platform::MOST_MESSAGE;
use elderpick_platform::viewer::{self, Message, cause, kind};
use serde_json::{Value, json};

mod common;

use common::{World, described, host_saw, run, until, world, world_of};

const SERVED: (u8, Option<u8>) = (kind::ANSWER, None);

async fn connect(world: &World) -> Viewers {
    Viewers::connect(world.gateway.address).await.unwrap()
}

async fn next(viewers: &mut Viewers) -> Message {
    viewers.next().await.unwrap().expect("a message")
}

/// The final answer to a session, whatever else is said before it.
async fn answer_to(viewers: &mut Viewers, session: u64) -> (u8, Option<u8>) {
    loop {
        let message = next(viewers).await;
        if message.session == session {
            return (message.kind, message.cause().ok());
        }
    }
}

async fn asked(viewers: &mut Viewers, session: u64, class: &str) -> (u8, Option<u8>) {
    viewers.ask(session, class, None).await.unwrap();
    answer_to(viewers, session).await
}

fn unprobed(config: &mut Value) {
    config["settings"]["limits"]["may_probe"] = json!(false);
}

async fn one_host(name: &str, sockets: usize, change: impl FnOnce(&mut Value)) -> World {
    let host = Host::start("s-0").await.unwrap();
    world_of(name, vec![host], Journal::start().await.unwrap(), sockets, change).await
}

// ---- Messages that cannot be read, on a connection with other set-ups ----

/// What a viewer may send that cannot be read, and whether the connection can be read on behind it.
fn unreadable() -> Vec<(&'static str, Vec<u8>, bool)> {
    let message = |kind: u8| [&[0, 9, kind][..], &[0; 7], &[77]].concat();
    let many = (100..150).flat_map(|session| set_up_of(session, "free", None, "never", "t")).collect();
    vec![
        ("a message of an unknown type", message(99), true),
        ("a release without a cause", message(kind::RELEASE), true),
        ("fifty set-ups that cannot be read", many, true),
        ("a message that is shorter than its head", vec![0, 3, 1, 2, 3], false),
        ("a message that is longer than any may be", vec![0xff; 400], false),
    ]
}

#[test]
fn what_cannot_be_read_costs_no_other_set_up_its_answer() {
    run(async {
        for (what, bytes, reads_on) in unreadable() {
            let world = one_host("unreadable", 256, unprobed).await;
            let mut viewers = connect(&world).await;
            world.hosts[0].script(&[Does::Holds]);
            viewers.ask(1, "paid", None).await.unwrap();
            until("it is out", || !host_saw(&world, "SETUP", 1).is_empty()).await;
            viewers.write(&bytes).await.unwrap();
            let error = next(&mut viewers).await;
            assert_eq!((error.kind, error.cause()), (kind::RELEASE, Ok(cause::UNREADABLE)), "{what}");
            world.hosts[0].go_on();
            assert_eq!(answer_to(&mut viewers, 1).await, SERVED, "{what}");
            if reads_on {
                assert_eq!(asked(&mut viewers, 2, "free").await, SERVED, "{what}");
            } else {
                assert_eq!(viewers.next().await.unwrap(), None, "{what}: then it is ended");
            }
        }
    });
}

/// Who sends nothing else is read no more after some of them.
#[test]
fn who_sends_only_what_cannot_be_read_is_ended() {
    run(async {
        let world = one_host("only-unreadable", 256, unprobed).await;
        let mut viewers = connect(&world).await;
        for session in 1..=8 {
            viewers.write(&set_up_of(session, "free", None, "never", "t")).await.unwrap();
        }
        for session in 1..=8 {
            assert_eq!(answer_to(&mut viewers, session).await, (kind::RELEASE, Some(cause::UNREADABLE)));
        }
        assert_eq!(viewers.next().await.unwrap(), None);
    });
}

// ---- Names ----

#[test]
fn class_names_are_what_the_settings_say() {
    run(async {
        let names = ["Live & on demand", "Übertragung", "放送", "a:b"];
        let change = |config: &mut Value| {
            let profiles = config["settings"]["profiles"].as_array_mut().unwrap();
            let one = profiles[0].clone();
            *profiles = names
                .iter()
                .map(|name| [(one.clone(), *name)])
                .flat_map(|p| {
                    p.map(|(mut one, name)| {
                        one["name"] = json!(name);
                        one
                    })
                })
                .collect();
        };
        let world = one_host("names", 256, change).await;
        let mut viewers = connect(&world).await;
        for (session, name) in (1..).zip(names) {
            assert_eq!(asked(&mut viewers, session, name).await, SERVED, "{name}");
            assert_eq!(world.hosts[0].asked(session).unwrap().0, name);
        }
        for (session, name) in [(8, "line\r\nbreak"), (9, ""), (10, "tab\t")] {
            assert_eq!(asked(&mut viewers, session, name).await.1, Some(cause::UNREADABLE), "{name:?}");
        }
    });
}

// ---- Long messages ----

/// More than a viewer's connection was allowed to owe: a viewer that reads late gets all that it asked for.
#[test]
fn a_viewer_that_reads_late_gets_all_of_its_answers() {
    run(async {
        let world = one_host("late-reader", 256, unprobed).await;
        let mut viewers = Viewers::connect_narrow(world.gateway.address).await.unwrap();
        let (sessions, bytes) = (1..=60, 15_000);
        world.hosts[0].script(&[Does::Holds; 60]);
        for session in sessions.clone() {
            viewers.ask(session, "paid", None).await.unwrap();
        }
        until("all are out", || sessions.clone().all(|s| !host_saw(&world, "SETUP", s).is_empty())).await;
        world.hosts[0].answer_long(bytes);
        // Another connection's answer tells that the gateway has read those of the first one.
        until("all are answered", || world.hosts[0].done() >= 60).await;
        assert_eq!(asked(&mut connect(&world).await, 100, "free").await, SERVED);
        for _ in sessions {
            let answer = next(&mut viewers).await;
            assert_eq!((answer.kind, described(&answer).len()), (kind::ANSWER, bytes));
        }
    });
}

/// What a viewer may say at most leaves no room for the longer head of the hosts' wire.
#[test]
fn a_set_up_that_is_too_long_for_a_host_is_answered_and_not_sent() {
    run(async {
        let world = one_host("long", 256, unprobed).await;
        let mut viewers = connect(&world).await;
        let empty = set_up_with(1, "free", "8000", 0).len();
        for (session, spare) in [(1, 0), (2, 400)] {
            viewers.write(&set_up_with(session, "free", "8000", MOST_MESSAGE - empty - spare)).await.unwrap();
            let (kind, _) = answer_to(&mut viewers, session).await;
            assert_eq!(kind == kind::ANSWER, spare > 0, "{spare} bytes to spare");
        }
        assert!(world.hosts[0].longest_message() <= MOST_MESSAGE);
        assert_eq!(host_saw(&world, "SETUP", 1), []);
    });
}

// ---- Answers with a wrong length ----

#[test]
fn an_answer_that_understates_its_length_is_not_passed_on() {
    run(async {
        for bytes in [1, 4, 9, 20] {
            let world = one_host("understated", 256, unprobed).await;
            let mut viewers = connect(&world).await;
            world.hosts[0].script(&[Does::Understates(bytes)]);
            let (kind, _) = asked(&mut viewers, 1, "paid").await;
            assert_eq!(kind, kind::RELEASE, "{bytes} bytes are missing");
            until("its host is told", || !host_saw(&world, "TEARDOWN", 1).is_empty()).await;
        }
    });
}

// ---- Limits of the settings ----

/// Few descriptors and many hosts, so that no host may have a line more than two.
#[test]
fn a_connection_carries_no_more_set_ups_than_the_settings_allow() {
    run(async {
        for most in [1, 3] {
            let change = |config: &mut Value| {
                unprobed(config);
                config["settings"]["limits"]["streams_per_conn"] = json!(most);
            };
            let world = one_host("streams", 64, change).await;
            world.hosts[0].script(&[Does::Holds; 60]);
            let mut viewers = connect(&world).await;
            for session in 1..=30 {
                viewers.ask(session, "paid", None).await.unwrap();
            }
            until("some are out", || !host_saw(&world, "SETUP", 1).is_empty()).await;
            // Each set-up that waited goes out once one before it is decided.
            for session in 1..=30 {
                let answered = async {
                    loop {
                        world.hosts[0].go_on();
                        tokio::time::sleep(std::time::Duration::from_millis(2)).await;
                    }
                };
                tokio::select! {
                    answer = next(&mut viewers) => assert!(answer.session > 0, "{session}"),
                    () = answered => {}
                }
            }
            assert!(world.hosts[0].most_on_one_connection() <= most, "{most}");
        }
    });
}

/// Sessions handed over from more hosts than there are descriptors for them: their lines leave those of viewers alone.
#[test]
fn lines_to_hosts_leave_viewers_their_descriptors() {
    run(async {
        let mut hosts = Vec::new();
        for k in 0..80 {
            hosts.push(Host::start(&format!("s-{k}")).await.unwrap());
        }
        let world = world_of("many-hosts", hosts, Journal::start().await.unwrap(), 64, unprobed).await;
        let mut viewers = connect(&world).await;
        for (session, host) in (1..).zip(&world.hosts) {
            viewers.ask(session, "free", Some(&host.name)).await.unwrap();
        }
        // Its lines come up while viewers come one by one, as many as may.
        let mut others = Vec::new();
        for session in 1_000..1_020 {
            let mut other = connect(&world).await;
            assert!(other.test().await.unwrap(), "{session}");
            others.push(other);
        }
        // Each host is asked in its turn: what ends there is told, also where no line was up.
        until("all hosts have been reached", || world.hosts.iter().all(|host| host.taken() > 0)).await;
    });
}

// ---- All have set-ups open ----

#[test]
fn who_finds_all_connections_busy_is_answered() {
    run(async {
        let world = one_host("busy", 64, unprobed).await;
        world.hosts[0].script(&[Does::Holds; 100]);
        let mut busy = Vec::new();
        // As many as the gateway admits, and some more.
        for session in 1..=40 {
            let mut viewers = connect(&world).await;
            viewers.ask(session, "paid", None).await.unwrap();
            busy.push((session, viewers));
        }
        let mut refused = 0;
        for (session, viewers) in &mut busy[24..] {
            let answer = answer_to(viewers, *session).await;
            assert_eq!(answer, (kind::RELEASE, Some(cause::REFUSED)), "{session}");
            refused += 1;
        }
        assert_eq!(refused, 16);
        assert_eq!(host_saw(&world, "SETUP", 40), []);
    });
}

// ---- The list ----

/// A state that no page names, beside a host that is new: the list goes on without the one that cannot be read.
#[test]
fn an_entry_of_the_list_that_cannot_be_read_hides_no_other() {
    run(async {
        let world = one_host("entry", 256, unprobed).await;
        let (odd, other) = (Host::start("s-1").await.unwrap(), Host::start("s-2").await.unwrap());
        let all = [(&world.hosts[0], "Terminating"), (&odd, "Resting"), (&other, "Ready")];
        world.journal.tell(false, &all);
        let mut viewers = connect(&world).await;
        for session in 1..4_000 {
            asked(&mut viewers, session, "free").await;
            if other.taken() > 0 {
                break;
            }
            tokio::time::sleep(std::time::Duration::from_millis(5)).await;
        }
        assert!(other.taken() > 0 && odd.taken() == 0);
    });
}

// ---- A configuration ----

#[test]
fn settings_that_are_null_count_as_missing() {
    run(async {
        let change = |config: &mut Value| {
            let settings = &mut config["settings"];
            for field in
                ["max_attempts", "max_retry_after_us", "connect_timeout_us", "conn_idle_us", "retry_after"]
            {
                settings["limits"][field] = Value::Null;
            }
            for field in
                ["class_floor", "class_scale", "class_seats", "class_top", "see_us", "cabinets", "cells"]
            {
                settings["extra"][field] = Value::Null;
            }
            for field in ["guarantees", "reporting", "registry_mode", "zones"] {
                settings[field] = Value::Null;
            }
            settings["profiles"][0]["worth"] = Value::Null;
            settings["profiles"][0]["on_time_us"] = Value::Null;
        };
        let world = one_host("null", 256, change).await;
        assert_eq!(asked(&mut connect(&world).await, 1, "free").await, SERVED);
    });
}

#[test]
fn the_helpers_see_what_they_should() {
    run(async {
        let world = world("helpers", 1, 256).await;
        let mut viewers = connect(&world).await;
        viewers.write(&set_up(1, "free", None)).await.unwrap();
        assert_eq!(described(&next(&mut viewers).await), description(1));
        let mut bytes = Vec::new();
        viewer::release(&mut bytes, 1, cause::ENDED_BY_VIEWER, None);
        viewers.write(&bytes).await.unwrap();
        assert_eq!(next(&mut viewers).await.kind, kind::RELEASE_HEARD);
    });
}
