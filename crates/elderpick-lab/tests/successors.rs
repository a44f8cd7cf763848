//! A new process at the address of one that has gone, on real sockets: what goes to it, and what is never run again.

use std::time::Duration;

use elderpick_lab::platform::{Does, Host, Listing, Viewers};
use elderpick_platform::viewer::kind;

mod common;

use common::{World, host_saw, run, until, world};

/// After it was told that a host has gone nothing goes there any more, a grace of 0.25 s and 50 ms of slack later.
const GRACE: Duration = Duration::from_millis(300);
/// Requests come for so long, one in each pause.
const REQUESTS: u64 = 60;
const PAUSE: Duration = Duration::from_millis(10);

fn listing(host: &Host, health: &str) -> Listing {
    Listing { name: host.name.clone(), address: host.address, health: health.to_owned(), born_ms: 0 }
}

fn set_ups(host: &Host) -> usize {
    host.seen().iter().filter(|(method, ..)| method == "SETUP").count()
}

async fn ask_for_a_while(world: &World, first: u64) {
    let mut viewers = Viewers::connect(world.gateway.address).await.unwrap();
    for session in first..first + REQUESTS {
        viewers.ask(session, "free", None).await.unwrap();
        tokio::time::sleep(PAUSE).await;
    }
    for _ in 0..REQUESTS {
        let _ = viewers.next().await;
    }
}

/// Host 0 dies while an attempt of each class is out there, and another process takes its address before any list
/// tells of either.
async fn succeeded(name: &str) -> (World, Host, Viewers) {
    let world = world(name, 2, 256).await;
    let mut viewers = Viewers::connect(world.gateway.address).await.unwrap();
    world.hosts.iter().for_each(|host| host.script(&[Does::Holds, Does::Holds, Does::Holds, Does::Holds]));
    // Of four that may not run twice some are out at each host.
    for session in 1..=4 {
        viewers.ask(session, "paid", None).await.unwrap();
        until("it is out", || !host_saw(&world, "SETUP", session).is_empty()).await;
    }
    world.hosts[0].die();
    // Its listener is closed when its tasks have ended.
    tokio::time::sleep(PAUSE).await;
    let successor = world.hosts[0].succeeded_by("s-9").await.unwrap();
    (world, successor, viewers)
}

/// What may run only once and was out at a process that died is not sent to the one that took its address.
#[test]
fn what_was_out_at_a_process_that_died_does_not_run_again_at_its_successor() {
    run(async {
        let (world, successor, mut viewers) = succeeded("successor-once").await;
        let out_at_dead = set_ups(&world.hosts[0]);
        for _ in 0..out_at_dead {
            assert_eq!(viewers.next().await.unwrap().expect("an answer").kind, kind::RELEASE);
        }
        ask_for_a_while(&world, 100).await;
        let again: Vec<_> =
            successor.seen().into_iter().filter(|(method, id, _)| method == "SETUP" && *id <= 4).collect();
        println!("{out_at_dead} were out, {} ran again", again.len());
        assert!(again.is_empty(), "{again:?}");
    });
}

/// Guards against requests that go to the process at an address whose host, as the list has told, is gone.
#[test]
fn nothing_new_goes_to_the_address_of_a_host_that_has_gone() {
    run(async {
        let (world, successor, _viewers) = succeeded("successor-address").await;
        ask_for_a_while(&world, 100).await;
        let before = set_ups(&successor);
        world.journal.tell_listings(false, &[listing(&world.hosts[0], "Gone")]);
        tokio::time::sleep(GRACE).await;
        let told = set_ups(&successor);
        ask_for_a_while(&world, 300).await;
        println!("{before} before it was told, {told} within the grace, {} in the end", set_ups(&successor));
        assert_eq!(set_ups(&successor), told, "to a host that no list names");
        // It is a host like any other once the list names it.
        world.journal.tell_listings(false, &[listing(&successor, "Ready")]);
        tokio::time::sleep(GRACE).await;
        ask_for_a_while(&world, 500).await;
        assert!(set_ups(&successor) > told, "it is used under its own name");
    });
}
