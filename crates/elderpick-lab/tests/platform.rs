//! A gateway's process on the platform's wire among scripted hosts, viewers and journal, on loopback.

use std::path::Path;
use std::process::Command;

use elderpick_lab::platform::{Does, Host, Journal, PATIENCE, Viewers, config, description, set_up};
use elderpick_platform::viewer::{self, cause, kind};
use nix::sys::signal::Signal;

mod common;

use common::{described, folder, host_saw, program, run, until, world};

#[test]
fn a_calm_run_from_set_up_to_release() {
    run(async {
        let world = world("calm", 3, 256).await;
        let mut viewers = Viewers::connect(world.gateway.address).await.unwrap();
        viewers.write(&[0, 9, kind::TEST, 0, 0, 0, 0, 0, 0, 0, 9]).await.unwrap();
        let test = viewers.next().await.unwrap().unwrap();
        assert_eq!((test.kind, test.session, test.cause()), (kind::TESTED, 9, Ok(1)));
        for session in 1..=20 {
            viewers.ask(session, if session % 2 == 0 { "free" } else { "paid" }, None).await.unwrap();
            let answer = viewers.next().await.unwrap().unwrap();
            assert_eq!((answer.kind, answer.session), (kind::ANSWER, session));
            assert_eq!(described(&answer), description(session), "unchanged");
        }
        // The host ends one: its viewer hears, over whatever connection is open.
        drop(viewers);
        let mut others = Viewers::connect(world.gateway.address).await.unwrap();
        others.ask(21, "free", None).await.unwrap();
        assert_eq!(others.next().await.unwrap().unwrap().kind, kind::ANSWER);
        let at = &host_saw(&world, "SETUP", 1)[0].0;
        world.hosts.iter().find(|host| host.name == *at).unwrap().end(1, 16);
        let over = others.next().await.unwrap().unwrap();
        assert_eq!((over.kind, over.session, over.cause()), (kind::RELEASE, 1, Ok(16)));
        // A viewer ends one: its host hears, and the viewer is owed no release.
        others.release(2, 31).await.unwrap();
        assert_eq!(others.next().await.unwrap().unwrap().kind, kind::RELEASE_HEARD);
        until("the host is told", || !host_saw(&world, "TEARDOWN", 2).is_empty()).await;
        assert_eq!(host_saw(&world, "TEARDOWN", 2)[0].1.as_deref(), Some("cause=31"));
    });
}

/// Fewer descriptors than hosts: the line that is missed least makes room, and no host is left out.
#[test]
fn more_hosts_than_lines_are_all_used() {
    run(async {
        let world = world("many", 60, 64).await;
        let mut viewers = Viewers::connect(world.gateway.address).await.unwrap();
        for session in 1..=400 {
            viewers.ask(session, "free", None).await.unwrap();
            let answer = viewers.next().await.unwrap().unwrap();
            assert_eq!((answer.kind, answer.session), (kind::ANSWER, session));
            viewers.release(session, 31).await.unwrap();
            assert_eq!(viewers.next().await.unwrap().unwrap().kind, kind::RELEASE_HEARD);
        }
        let used = world.hosts.iter().filter(|host| host.seen().iter().any(|seen| seen.0 == "SETUP")).count();
        // Three eighths of 64 descriptors are hosts'.
        assert!(used > 40, "{used} of 60 hosts were used");
    });
}

#[test]
fn spoilt_cut_and_doubled_answers_cost_only_their_own_set_up() {
    run(async {
        for (session, does) in [(1, Does::Spoils), (2, Does::BreaksOff), (3, Does::Refuses(500))] {
            let world = self::world("spoilt", 1, 256).await;
            let mut viewers = Viewers::connect(world.gateway.address).await.unwrap();
            world.hosts[0].script(&[does]);
            viewers.ask(session, "paid", None).await.unwrap();
            let answer = viewers.next().await.unwrap().unwrap();
            assert_eq!(
                (answer.kind, answer.session, answer.cause()),
                (kind::RELEASE, session, Ok(cause::FAILED))
            );
            assert_eq!(host_saw(&world, "SETUP", session).len(), 1, "it may have run");
        }
        let world = self::world("full", 1, 256).await;
        let mut viewers = Viewers::connect(world.gateway.address).await.unwrap();
        world.hosts[0].script(&[Does::Refuses(453)]);
        viewers.ask(4, "paid", None).await.unwrap();
        let answer = viewers.next().await.unwrap().unwrap();
        assert_eq!((answer.session, answer.cause()), (4, Ok(cause::REFUSED)), "it never ran");
        // A standing session's host answers twice and for a session that nobody asked for.
        let world = self::world("doubled", 1, 256).await;
        let mut viewers = Viewers::connect(world.gateway.address).await.unwrap();
        world.hosts[0].script(&[Does::Doubles]);
        for session in [5, 6] {
            viewers.ask(session, "free", None).await.unwrap();
            let answer = viewers.next().await.unwrap().unwrap();
            assert_eq!((answer.kind, answer.session), (kind::ANSWER, session));
        }
    });
}

#[test]
fn a_dead_hosts_viewers_are_told() {
    run(async {
        let world = world("dead", 1, 256).await;
        let mut viewers = Viewers::connect(world.gateway.address).await.unwrap();
        viewers.ask(1, "free", None).await.unwrap();
        assert_eq!(viewers.next().await.unwrap().unwrap().kind, kind::ANSWER);
        viewers.ask(2, "free", Some("s-0")).await.unwrap();
        world.hosts[0].die();
        let mut over = Vec::new();
        for _ in 0..2 {
            let message = viewers.next().await.unwrap().unwrap();
            over.push((message.kind, message.session));
        }
        over.sort_unstable();
        assert_eq!(over, [(kind::RELEASE, 1), (kind::RELEASE, 2)]);
    });
}

#[test]
fn bad_clients_get_an_error_or_a_close_and_cost_others_nothing() {
    run(async {
        let world = world("bad", 1, 256).await;
        let mut wide = set_up(7, "free", None);
        wide[..2].copy_from_slice(&[0xff, 0xff]);
        wide.resize(1 << 20, 1);
        let mut short = set_up(7, "free", None);
        short[..2].copy_from_slice(&[0, 3]);
        let half = set_up(7, "free", None)[..40].to_vec();
        let bad = [
            wide,
            short,
            half,
            vec![0xff; 4096],
            set_up(7, "none", None),
            set_up(0, "free", None),
            Vec::new(),
        ];
        for bytes in bad {
            let mut one = Viewers::connect(world.gateway.address).await.unwrap();
            // It may be closed before all is written.
            let _ = one.write(&bytes).await;
            match one.next().await.unwrap() {
                Some(message) => assert_eq!(message.kind, kind::RELEASE),
                None => continue,
            }
        }
        let mut viewers = Viewers::connect(world.gateway.address).await.unwrap();
        viewers.ask(1, "free", None).await.unwrap();
        assert_eq!(viewers.next().await.unwrap().unwrap().kind, kind::ANSWER);
        assert_eq!(world.hosts[0].seen().iter().filter(|(method, ..)| method == "SETUP").count(), 1);
    });
}

#[test]
fn silent_connections_beyond_the_descriptors_leave_room_for_viewers() {
    run(async {
        let world = world("silent", 1, 64).await;
        let mut silent = Vec::new();
        for _ in 0..200 {
            silent.push(Viewers::connect(world.gateway.address).await.unwrap());
        }
        let mut viewers = Viewers::connect(world.gateway.address).await.unwrap();
        viewers.ask(1, "free", None).await.unwrap();
        assert_eq!(viewers.next().await.unwrap().unwrap().kind, kind::ANSWER);
        for one in &mut silent {
            assert_eq!(one.next().await.unwrap(), None, "closed");
        }
    });
}

#[test]
fn releases_wait_for_the_next_viewers_connection() {
    run(async {
        let world = world("waits", 1, 256).await;
        let mut viewers = Viewers::connect(world.gateway.address).await.unwrap();
        viewers.ask(1, "free", None).await.unwrap();
        assert_eq!(viewers.next().await.unwrap().unwrap().kind, kind::ANSWER);
        drop(viewers);
        world.hosts[0].end(1, 16);
        until("the gateway has heard it", || !world.hosts[0].heard().is_empty()).await;
        let mut others = Viewers::connect(world.gateway.address).await.unwrap();
        others.ask(2, "free", None).await.unwrap();
        let mut came = Vec::new();
        for _ in 0..2 {
            let message = others.next().await.unwrap().unwrap();
            came.push((message.kind, message.session));
        }
        came.sort_unstable();
        assert_eq!(came, [(kind::ANSWER, 2), (kind::RELEASE, 1)]);
    });
}

#[test]
fn a_journal_that_breaks_off_in_an_event_is_asked_again_from_the_place_held() {
    run(async {
        let world = world("broken", 2, 256).await;
        until("it is asked", || world.journal.calls.borrow().len() == 1).await;
        world.journal.break_off();
        until("it is asked again", || world.journal.calls.borrow().len() == 2).await;
        assert_eq!(*world.journal.calls.borrow(), [1, 1]);
        // What comes on the new stream is taken: another host, the only one left for new sessions.
        let third = Host::start("s-9").await.unwrap();
        let all = [(&world.hosts[0], "Gone"), (&world.hosts[1], "Gone"), (&third, "Ready")];
        world.journal.tell(false, &all);
        let mut viewers = Viewers::connect(world.gateway.address).await.unwrap();
        // The number of tries is a bound for the wait.
        for session in 1..2_000 {
            viewers.ask(session, "free", None).await.unwrap();
            assert!(viewers.next().await.unwrap().is_some());
            if third.seen().iter().any(|(method, ..)| method == "SETUP") {
                return;
            }
        }
        panic!("the new host never gets a set-up");
    });
}

#[test]
fn hundreds_withdrawn_at_once_leave_nothing_out() {
    run(async {
        let world = world("withdrawn", 1, 256).await;
        let mut viewers = Viewers::connect(world.gateway.address).await.unwrap();
        world.hosts[0].script(&[Does::Holds; 300]);
        let mut bytes = Vec::new();
        for session in 1..=300 {
            bytes.extend(set_up(session, "free", None));
            viewer::release(&mut bytes, session, cause::GIVEN_UP, None);
        }
        viewers.write(&bytes).await.unwrap();
        for _ in 0..300 {
            let message = viewers.next().await.unwrap().unwrap();
            assert_eq!(message.kind, kind::RELEASE_HEARD, "no answer is owed: {message:?}");
        }
        let of = |method: &str| world.hosts[0].seen().iter().filter(|(m, ..)| m == method).count();
        until("each that went out is withdrawn", || of("SETUP") <= of("TEARDOWN")).await;
    });
}

#[test]
fn a_reload_moves_to_the_new_journal_and_loses_no_event() {
    run(async {
        let world = world("reload", 2, 256).await;
        let next = Journal::start().await.unwrap();
        next.succeed(&world.journal);
        next.tell(false, &[(&world.hosts[0], "Terminating")]);
        until("the first journal is asked", || !world.journal.calls.borrow().is_empty()).await;
        // A bad file changes nothing.
        world.gateway.replace(&"not an object".into()).unwrap();
        world.gateway.signal(Signal::SIGHUP).unwrap();
        let mut changed = config(&world.journal, 256);
        changed["journal"] = next.address.to_string().into();
        let mut viewers = Viewers::connect(world.gateway.address).await.unwrap();
        viewers.ask(1, "free", None).await.unwrap();
        assert_eq!(viewers.next().await.unwrap().unwrap().kind, kind::ANSWER);
        world.gateway.replace(&changed).unwrap();
        world.gateway.signal(Signal::SIGHUP).unwrap();
        until("the new journal is asked", || !next.calls.borrow().is_empty()).await;
        assert_eq!(*next.calls.borrow(), [1], "from the place that was held");
        next.tell(false, &[]);
        // Once it is told of, nothing new goes to the host that drains; the number of tries is a bound for the wait.
        let mut settled = 0;
        for session in 2..2_000 {
            viewers.ask(session, "free", None).await.unwrap();
            assert_eq!(viewers.next().await.unwrap().unwrap().kind, kind::ANSWER);
            settled = if host_saw(&world, "SETUP", session)[0].0 == "s-1" { settled + 1 } else { 0 };
            if settled > 40 {
                return;
            }
        }
        panic!("the drained host still gets set-ups");
    });
}

#[test]
fn sigterm_leaves_nothing_unanswered_and_what_stands_standing() {
    run(async {
        let mut world = world("term", 1, 256).await;
        let mut viewers = Viewers::connect(world.gateway.address).await.unwrap();
        viewers.ask(1, "free", None).await.unwrap();
        assert_eq!(viewers.next().await.unwrap().unwrap().kind, kind::ANSWER);
        world.hosts[0].script(&[Does::Holds]);
        viewers.ask(2, "paid", None).await.unwrap();
        until("it is out", || !host_saw(&world, "SETUP", 2).is_empty()).await;
        world.gateway.signal(Signal::SIGTERM).unwrap();
        // Viewers that have not heard go on coming.
        let mut late = Viewers::connect(world.gateway.address).await.unwrap();
        late.ask(3, "paid", None).await.unwrap();
        assert_eq!(late.next().await.unwrap().unwrap().kind, kind::ANSWER);
        world.hosts[0].go_on();
        let answer = viewers.next().await.unwrap().unwrap();
        assert_eq!((answer.kind, answer.session), (kind::ANSWER, 2));
        assert_eq!(viewers.next().await.unwrap(), None);
        let ended = tokio::time::timeout(PATIENCE, world.gateway.child.wait()).await.unwrap().unwrap();
        assert!(ended.success());
        assert!(host_saw(&world, "TEARDOWN", 1).is_empty(), "it is handed over, not ended");
    });
}

#[test]
fn a_bad_configuration_is_one_line_that_names_file_and_fault() {
    let folder = folder("config");
    let start = |path: &Path| {
        let out = Command::new(program()).args(["gateway", "--platform"]).arg(path).output().unwrap();
        (out.status.success(), String::from_utf8_lossy(&out.stderr).into_owned())
    };
    let file = folder.join("config.json");
    let cases = [
        (None, "No such file"),
        (Some("{"), "EOF"),
        (Some(r#"{"name":"n","listen":"x"}"#), "listen"),
        (
            Some(
                r#"{"name":"n","listen":"127.0.0.1:0","seed":"xyz","journal":"127.0.0.1:1","settings":{"profiles":[{"effect":"free"}]},
                "limits":{"cores":1.0,"memory_mb":64,"sockets":256}}"#,
            ),
            "seed",
        ),
        (
            Some(
                r#"{"name":"n","listen":"127.0.0.1:0","seed":"1","journal":"127.0.0.1:1","settings":{},
                "limits":{"cores":1.0,"memory_mb":64,"sockets":8}}"#,
            ),
            "limits.sockets",
        ),
    ];
    for (text, names) in cases {
        let _ = std::fs::remove_file(&file);
        if let Some(text) = text {
            std::fs::write(&file, text).unwrap();
        }
        let (good, why) = start(&file);
        let named = why.contains("config.json") && why.contains(names);
        assert!(!good && named && why.trim().lines().count() == 1, "{why}");
    }
    let _ = std::fs::remove_dir_all(&folder);
}
