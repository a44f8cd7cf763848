//! A gateway's process on days that the platform has announced, on loopback: a journal that is down while descriptors
//! are short, a reload and then a drain, lists that fall silent or come whole again, requests in pieces, signals right
//! behind an accept, hosts that are all lost.

use elderpick_lab::platform::{Does, Host, Journal, Speaks, Viewers, config, set_up, set_up_with};
use elderpick_platform::viewer::kind;
use nix::sys::signal::Signal;
use serde_json::{Value, json};

mod common;

use common::{World, host_saw, run, until, world, world_of};

async fn connect(world: &World) -> Viewers {
    Viewers::connect(world.gateway.address).await.unwrap()
}

async fn served(viewers: &mut Viewers, session: u64, class: &str) -> bool {
    viewers.ask(session, class, None).await.unwrap();
    let answer = viewers.next().await.unwrap().expect("an answer");
    assert_eq!(answer.session, session);
    answer.kind == kind::ANSWER
}

/// Asks on connections of its own, since some are closed while many wait, until a host has got a set-up.
async fn until_used(world: &World, host: &Host, class: &str, mut session: u64) {
    for _ in 0..4_000 {
        let mut viewers = connect(world).await;
        if viewers.ask(session, class, None).await.is_ok() {
            let _ = viewers.next().await;
        }
        if host.seen().iter().any(|(method, of, _)| method == "SETUP" && *of >= session) {
            return;
        }
        session += 1;
        tokio::time::sleep(std::time::Duration::from_millis(5)).await;
    }
    panic!("{} is never used", host.name);
}

fn unprobed(config: &mut Value) {
    config["settings"]["limits"]["may_probe"] = json!(false);
}

// ---- Descriptors and the journal ----

/// The process may hold 64 descriptors, by the system's own limit.
#[test]
fn idle_clients_take_no_descriptor_from_the_journal_nor_from_hosts() {
    run(async {
        let world = world("idle", 1, 64).await;
        until("the journal is asked", || !world.journal.calls.borrow().is_empty()).await;
        world.journal.speaks.set(Speaks::Closing);
        world.journal.break_off();
        let mut idle = Vec::new();
        for _ in 0..300 {
            idle.push(connect(&world).await);
        }
        let calls = world.journal.calls.borrow().len();
        until("the journal is asked all the same", || world.journal.calls.borrow().len() > calls).await;
        assert!(served(&mut connect(&world).await, 1, "paid").await, "and a viewer is served");
        let other = Host::start("s-1").await.unwrap();
        world.journal.tell(false, &[(&world.hosts[0], "Gone"), (&other, "Ready")]);
        world.journal.speaks.set(Speaks::Well);
        for _ in 0..300 {
            idle.push(connect(&world).await);
        }
        until_used(&world, &other, "paid", 2).await;
    });
}

/// More than a thousand, at one address; what is done before the first test is passed grows with none of them.
#[test]
fn a_restart_with_many_hosts_a_silent_journal_and_a_crowd_serves() {
    run(async {
        let host = Host::start("s-0").await.unwrap();
        let journal = Journal::start_as(Speaks::NotAtAll).await.unwrap();
        let many = |config: &mut Value| {
            // So that descriptors are for set-ups alone, of which each finds one.
            unprobed(config);
            let hosts = &mut config["known"]["entries"][0]["hosts"]["hosts"];
            let one = hosts[0].clone();
            *hosts = (0..1_100)
                .map(|k| {
                    let mut host = one.clone();
                    host["host"] = json!(format!("s-{k}"));
                    host
                })
                .collect();
        };
        let world = world_of("restart", vec![host], journal, 1_024, many).await;
        assert!(connect(&world).await.test().await.unwrap());
        let mut crowd = Vec::new();
        for session in 1..=300 {
            let mut viewers = connect(&world).await;
            viewers.ask(session, "paid", None).await.unwrap();
            crowd.push(viewers);
        }
        for mut viewers in crowd {
            assert_eq!(viewers.next().await.unwrap().expect("an answer").kind, kind::ANSWER);
        }
    });
}

// ---- Lists ----

#[test]
fn a_list_that_falls_silent_late_is_asked_for_again() {
    run(async {
        let world = world("late", 1, 256).await;
        assert!(served(&mut connect(&world).await, 1, "free").await);
        until("the journal is asked", || !world.journal.calls.borrow().is_empty()).await;
        world.journal.fall_silent();
        until("it is silent", || world.journal.silent.get() == 1).await;
        let other = Host::start("s-1").await.unwrap();
        world.journal.tell(false, &[(&world.hosts[0], "Terminating"), (&other, "Ready")]);
        until_used(&world, &other, "free", 2).await;
        assert_eq!(*world.journal.calls.borrow(), [1, 1], "from the place that was held");
    });
}

#[test]
fn a_list_that_comes_whole_again_replaces_the_one_before() {
    run(async {
        let world = world("whole", 1, 256).await;
        let mut viewers = connect(&world).await;
        assert!(served(&mut viewers, 1, "free").await);
        let other = Host::start("s-1").await.unwrap();
        world.journal.tell(true, &[(&other, "Ready")]);
        until_used(&world, &other, "free", 2).await;
        for session in 10_000..10_050 {
            assert!(served(&mut viewers, session, "free").await);
        }
        let last =
            |host: &Host| host.seen().iter().map(|(_, session, _)| *session).filter(|s| *s < 20_000).max();
        assert!(last(&world.hosts[0]).unwrap() < 10_000, "what the list has no more is used no more");
        world.journal.tell(true, &[(&other, "Ready"), (&world.hosts[0], "Ready")]);
        until_used(&world, &world.hosts[0], "free", 10_050).await;
    });
}

// ---- Signals ----

#[test]
fn a_reload_and_then_a_drain_leaves_nothing_unanswered() {
    run(async {
        let mut world = world("reload-drain", 2, 256).await;
        let mut viewers = connect(&world).await;
        world.hosts.iter().for_each(|host| host.script(&[Does::Holds]));
        viewers.ask(1, "paid", None).await.unwrap();
        until("it is out", || !host_saw(&world, "SETUP", 1).is_empty()).await;
        let next = Journal::start().await.unwrap();
        next.succeed(&world.journal);
        next.tell(false, &[(&world.hosts[0], "Terminating")]);
        let mut changed = config(&world.journal, 256);
        changed["journal"] = next.address.to_string().into();
        world.gateway.replace(&changed).unwrap();
        world.gateway.signal(Signal::SIGHUP).unwrap();
        world.gateway.signal(Signal::SIGTERM).unwrap();
        until("the new journal is asked", || !next.calls.borrow().is_empty()).await;
        world.hosts.iter().for_each(|host| host.go_on());
        let answer = viewers.next().await.unwrap().expect("an answer");
        assert_eq!((answer.kind, answer.session), (kind::ANSWER, 1));
        let ended = tokio::time::timeout(elderpick_lab::platform::PATIENCE, world.gateway.child.wait());
        assert!(ended.await.unwrap().unwrap().success());
    });
}

#[test]
fn a_request_that_comes_behind_sigterm_on_a_connection_from_before_is_answered() {
    run(async {
        let mut world = world("accepted", 1, 256).await;
        // Taken in one instant with the signal, in every order that the process may see them in.
        world.gateway.pause().await.unwrap();
        let (mut silent, mut half) = (connect(&world).await, connect(&world).await);
        let whole = set_up(2, "paid", None);
        half.write(&whole[..40]).await.unwrap();
        world.gateway.signal(Signal::SIGTERM).unwrap();
        world.gateway.resume().unwrap();
        silent.ask(1, "paid", None).await.unwrap();
        half.write(&whole[40..]).await.unwrap();
        for (viewers, session) in [(&mut silent, 1), (&mut half, 2)] {
            let answer = viewers.next().await.unwrap().expect("an answer");
            assert_eq!((answer.kind, answer.session), (kind::ANSWER, session));
        }
        assert!(world.gateway.child.wait().await.unwrap().success());
    });
}

// ---- Requests in pieces ----

#[test]
fn requests_that_come_byte_by_byte_and_in_odd_pieces_are_answered() {
    run(async {
        let world = world("pieces", 1, 256).await;
        for (session, piece) in [(1, 1), (3, 3), (5, 7), (7, 61)] {
            let mut viewers = connect(&world).await;
            let both = [set_up(session, "paid", None), set_up(session + 1, "free", None)].concat();
            for piece in both.chunks(piece) {
                viewers.write(piece).await.unwrap();
                // So that each is read by itself.
                tokio::task::yield_now().await;
            }
            let mut answers = Vec::new();
            for _ in 0..2 {
                let answer = viewers.next().await.unwrap().expect("an answer");
                answers.push((answer.session, answer.kind, answer.cause().ok()));
            }
            answers.sort_unstable();
            assert_eq!(answers, [(session, kind::ANSWER, None), (session + 1, kind::ANSWER, None)]);
        }
    });
}

/// The next message goes on coming while the first one is decided and written: there is always something to be read.
#[test]
fn a_request_is_not_given_up_since_the_next_one_trickles_in() {
    run(async {
        let world = world("trickle", 1, 256).await;
        let mut viewers = connect(&world).await;
        assert!(served(&mut viewers, 1, "paid").await, "a line is up");
        for session in (10..40).step_by(2) {
            let address = world.gateway.address;
            let trickle = std::thread::spawn(move || {
                use std::io::{Read, Write};
                let mut stream = std::net::TcpStream::connect(address).unwrap();
                stream.set_nodelay(true).unwrap();
                let next = set_up_with(session + 1, "paid", "8000", 12_000);
                let (some, rest) = next.split_at(40);
                stream.write_all(&[&set_up(session, "paid", None)[..], some].concat()).unwrap();
                rest.iter().for_each(|byte| stream.write_all(&[*byte]).unwrap());
                // The kinds of the first answers, whichever is first.
                let mut both = Vec::new();
                for _ in 0..2 {
                    let mut head = [0; 2];
                    stream.read_exact(&mut head).unwrap();
                    let mut message = vec![0; u16::from_be_bytes(head).into()];
                    stream.read_exact(&mut message).unwrap();
                    both.push(message[0]);
                }
                both
            });
            let both = tokio::task::spawn_blocking(move || trickle.join().unwrap()).await.unwrap();
            assert_eq!(both, [kind::ANSWER; 2], "session {session} and the next");
        }
    });
}

// ---- A gateway that would serve nobody ----

#[test]
fn a_gateway_that_lost_all_its_hosts_serves_again_once_one_is_back() {
    run(async {
        for (class, probes) in [("free", true), ("paid", true), ("free", false), ("paid", false)] {
            let hosts = vec![Host::start("s-0").await.unwrap(), Host::start("s-1").await.unwrap()];
            let change = |config: &mut Value| {
                if !probes {
                    unprobed(config)
                }
            };
            let world = world_of("back", hosts, Journal::start().await.unwrap(), 256, change).await;
            let mut viewers = connect(&world).await;
            for session in 1..=20 {
                assert!(served(&mut viewers, session, class).await);
            }
            world.hosts.iter().for_each(Host::die);
            // What stood is over, and more sessions find nothing.
            let mut sessions = 100..;
            let mut others = connect(&world).await;
            for _ in 0..20 {
                served_or_over(&mut others, sessions.next().unwrap(), class).await;
            }
            world.hosts[0].come_back().await.unwrap();
            until_used(&world, &world.hosts[0], class, 1_000).await;
        }
    });
}

/// Releases of what stood may come before the answer.
async fn served_or_over(viewers: &mut Viewers, session: u64, class: &str) {
    viewers.ask(session, class, None).await.unwrap();
    while viewers.next().await.unwrap().expect("an answer").session != session {}
}
