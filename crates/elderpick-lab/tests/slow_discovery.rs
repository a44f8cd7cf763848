//! A journal service that takes long for each call, on real sockets.

use std::time::Duration;

use elderpick_lab::platform::{Host, Journal, Speaks, Viewers};
use serde_json::json;

mod common;

use common::{World, run, world_of};

/// Times that a call takes, in milliseconds: the longest is below that after which a silent service counts as told.
const CALLS_TAKE_MS: [u64; 4] = [200, 900, 1_500, 3_000];
/// Behind the answer of a call that came at the worst time, and the grace for what was told.
const SLACK: Duration = Duration::from_millis(700);
/// A call that is lost with the service's break is made again by then.
const NEXT_CALL: Duration = Duration::from_secs(1);
const REQUESTS: u64 = 30;
const PAUSE: Duration = Duration::from_millis(10);

async fn slow_world(name: &str, ms: u64) -> World {
    let hosts = vec![Host::start("s-0").await.unwrap(), Host::start("s-1").await.unwrap()];
    let journal = Journal::start_as(Speaks::Late(ms)).await.unwrap();
    world_of(&format!("{name}-{ms}"), hosts, journal, 256, |_| {}).await
}

fn set_ups(host: &Host) -> usize {
    host.seen().iter().filter(|(method, ..)| method == "SETUP").count()
}

/// Host 0 drains. Nothing goes there once a call has had its time.
async fn drain_is_followed(world: &World, journal: &Journal, within: Duration, first: u64) {
    journal.tell(false, &[(&world.hosts[0], "Terminating")]);
    tokio::time::sleep(within).await;
    let before = set_ups(&world.hosts[0]);
    let mut viewers = Viewers::connect(world.gateway.address).await.unwrap();
    for session in first..first + REQUESTS {
        viewers.ask(session, "free", None).await.unwrap();
        tokio::time::sleep(PAUSE).await;
    }
    assert_eq!(set_ups(&world.hosts[0]), before, "to a host that drains");
    assert!(set_ups(&world.hosts[1]) > 0, "the other one serves");
}

/// Plays at all times that a call may take, side by side.
fn for_each_time<P: Future<Output = ()> + 'static>(play: impl Fn(u64) -> P) {
    run(async {
        let plays = CALLS_TAKE_MS.map(|ms| tokio::task::spawn_local(play(ms)));
        for play in plays {
            play.await.unwrap();
        }
    });
}

/// Guards against calls that are given up while their answers are on their way, so that no news is ever read.
#[test]
fn a_drain_is_followed_however_long_each_call_takes() {
    for_each_time(|ms| async move {
        let world = slow_world("slow-start", ms).await;
        drain_is_followed(&world, &world.journal, Duration::from_millis(ms) + SLACK, 1).await;
    });
}

/// The same behind a break of the stream.
#[test]
fn a_drain_behind_a_break_is_followed_however_long_each_call_takes() {
    for_each_time(|ms| async move {
        let world = slow_world("slow-break", ms).await;
        let answered = Duration::from_millis(ms) + SLACK;
        tokio::time::sleep(answered).await;
        world.journal.break_off();
        drain_is_followed(&world, &world.journal, answered + NEXT_CALL, 1).await;
    });
}

/// The same at another service, behind a signal to read the configuration again.
#[test]
fn a_drain_behind_a_move_is_followed_however_long_each_call_takes() {
    for_each_time(|ms| async move {
        let world = slow_world("slow-move", ms).await;
        let answered = Duration::from_millis(ms) + SLACK;
        tokio::time::sleep(answered).await;
        let other = Journal::start_as(Speaks::Late(ms)).await.unwrap();
        other.succeed(&world.journal);
        let mut config = elderpick_lab::platform::config(&other, 256);
        config["listen"] = json!(world.gateway.address.to_string());
        world.gateway.replace(&config).unwrap();
        world.gateway.signal(nix::sys::signal::Signal::SIGHUP).unwrap();
        drain_is_followed(&world, &other, answered + NEXT_CALL, 1).await;
    });
}

/// How long a gateway stands still, and the part of it before the requests come.
const STANDS_STILL_BEFORE: Duration = Duration::from_millis(1_500);
const ASKED_MEANWHILE: u64 = 8;

/// Guards against set-ups that go out behind a standstill before the list's news is read, which came first.
#[test]
fn what_the_list_told_while_the_gateway_stood_still_counts_before_anything_is_sent() {
    run(async {
        let hosts = vec![Host::start("s-0").await.unwrap(), Host::start("s-1").await.unwrap()];
        let world = world_of("standstill-news", hosts, Journal::start().await.unwrap(), 256, |_| {}).await;
        let mut viewers = Viewers::connect(world.gateway.address).await.unwrap();
        // All is up and followed by then.
        tokio::time::sleep(Duration::from_millis(300)).await;
        assert!(viewers.test().await.unwrap());
        world.gateway.pause().await.unwrap();
        world.journal.tell(false, &[(&world.hosts[0], "Terminating")]);
        tokio::time::sleep(STANDS_STILL_BEFORE).await;
        for session in 1..=ASKED_MEANWHILE {
            viewers.ask(session, "free", None).await.unwrap();
        }
        world.gateway.resume().unwrap();
        for _ in 0..ASKED_MEANWHILE {
            viewers.next().await.unwrap().expect("an answer");
        }
        assert_eq!(set_ups(&world.hosts[0]), 0, "to a host that has drained for seconds");
    });
}
