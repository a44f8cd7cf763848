//! Ends of sessions that no viewer would hear of, on real sockets, in the order that a test forces.

use std::time::Duration;

use elderpick_lab::platform::{Does, Host, Journal, Listing, Viewers};
use elderpick_platform::rtsp;
use elderpick_platform::viewer::{cause, kind};
use serde_json::json;

mod common;

use common::{World, host_saw, run, until, world, world_of};

async fn connect(world: &World) -> Viewers {
    Viewers::connect(world.gateway.address).await.unwrap()
}

/// Waits for the next message on a session, and gives its kind.
async fn next_kind(viewers: &mut Viewers, session: u64) -> u8 {
    let message = viewers.next().await.unwrap().expect("a message");
    assert_eq!(message.session, session);
    message.kind
}

async fn is_served(viewers: &mut Viewers, session: u64) {
    viewers.ask(session, "free", None).await.unwrap();
    assert_eq!(next_kind(viewers, session).await, kind::ANSWER);
}

fn listing(host: &Host, health: &str, born_ms: u64) -> Listing {
    Listing { name: host.name.clone(), address: host.address, health: health.to_owned(), born_ms }
}

fn unix_ms() -> u64 {
    std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap().as_millis() as u64
}

/// Sessions 1 and 2 stand on a connection each at one host, which has taken just these.
async fn two_connections(name: &str) -> (World, Viewers) {
    let hosts = vec![Host::start("s-0").await.unwrap()];
    let journal = Journal::start().await.unwrap();
    let unprobed = |config: &mut serde_json::Value| {
        config["settings"]["limits"]["may_probe"] = json!(false);
    };
    let world = world_of(name, hosts, journal, 256, unprobed).await;
    let mut viewers = connect(&world).await;
    world.hosts[0].script(&[Does::Holds]);
    viewers.ask(1, "free", None).await.unwrap();
    until("it is out", || !host_saw(&world, "SETUP", 1).is_empty()).await;
    is_served(&mut viewers, 2).await;
    world.hosts[0].go_on();
    assert_eq!(next_kind(&mut viewers, 1).await, kind::ANSWER);
    assert_eq!(world.hosts[0].taken(), 2);
    (world, viewers)
}

/// The host says on the next connection what went down with the one that was reset; while another one is up, the
/// gateway has to open that by itself.
#[test]
fn an_end_that_went_down_with_a_reset_connection_is_never_asked_for() {
    run(async {
        let (world, mut viewers) = two_connections("reset-noticed").await;
        let host = &world.hosts[0];
        world.gateway.pause().await.unwrap();
        // The set-up comes first, so that connections are looked at before the one that was reset is read.
        viewers.ask(3, "free", None).await.unwrap();
        let done = host.done();
        host.reset_connection_of(1);
        until("it is reset", || host.done() > done).await;
        world.gateway.resume().unwrap();
        assert_eq!(next_kind(&mut viewers, 3).await, kind::ANSWER);
        let opened = async {
            while host.taken() < 3 {
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
        };
        assert!(
            tokio::time::timeout(Duration::from_secs(1), opened).await.is_ok(),
            "no connection is opened"
        );
        host.say(&rtsp::teardown(1, Some(cause::GIVEN_UP)));
        assert_eq!(next_kind(&mut viewers, 1).await, kind::RELEASE);
    });
}

/// A host dies, and before two connections to it were refused another one listens at its address.
#[test]
fn sessions_of_a_host_whose_address_another_one_took_stand_for_nobody() {
    run(async {
        let world = world("address-taken", 1, 256).await;
        let mut viewers = connect(&world).await;
        is_served(&mut viewers, 1).await;
        world.gateway.pause().await.unwrap();
        world.hosts[0].die();
        // What listened before is gone once its tasks have run.
        tokio::time::sleep(Duration::from_millis(20)).await;
        let successor = world.hosts[0].succeeded_by("s-1").await.unwrap();
        world.gateway.resume().unwrap();
        until("a connection leads to the successor", || successor.taken() > 0).await;
        world.journal.tell_listings(false, &[listing(&world.hosts[0], "Gone", 0)]);
        world.journal.tell_listings(false, &[listing(&successor, "Ready", unix_ms())]);
        let released = tokio::time::timeout(Duration::from_secs(8), next_kind(&mut viewers, 1)).await;
        assert_eq!(released.ok(), Some(kind::RELEASE), "its viewer is told within 8 s");
    });
}

/// Before the list tells of it, a set-up for the host that died comes to the one that listens at its address, and plays
/// there: its viewer hears that it is over, and so does the host.
#[test]
fn a_session_that_a_successor_plays_under_the_old_name_is_left_standing() {
    run(async {
        let (world, mut viewers) = two_connections("successor-plays").await;
        world.gateway.pause().await.unwrap();
        world.hosts[0].die();
        tokio::time::sleep(Duration::from_millis(20)).await;
        let born = unix_ms();
        let successor = world.hosts[0].succeeded_by("s-1").await.unwrap();
        world.gateway.resume().unwrap();
        until("a connection leads to the successor", || successor.taken() > 0).await;
        is_served(&mut viewers, 3).await;
        world.journal.tell_listings(false, &[listing(&world.hosts[0], "Gone", 0)]);
        world.journal.tell_listings(false, &[listing(&successor, "Ready", born)]);
        let mut over = Vec::new();
        for _ in 1..=3 {
            let message = viewers.next().await.unwrap().expect("a release");
            assert_eq!(message.kind, kind::RELEASE);
            over.push(message.session);
        }
        over.sort_unstable();
        assert_eq!(over, [1, 2, 3], "each viewer is told once");
        let released = || successor.seen().iter().any(|(method, of, _)| method == "TEARDOWN" && *of == 3);
        until("the successor is told", released).await;
    });
}

/// While a gateway ends and no viewers' connection is left, it can tell nobody of an end: the host tells the next process
/// what was not confirmed.
#[test]
fn an_end_that_can_be_told_to_nobody_at_the_shutdown_is_confirmed_and_lost() {
    run(async {
        let mut world = world("end-at-shutdown", 1, 256).await;
        let mut viewers = connect(&world).await;
        is_served(&mut viewers, 1).await;
        world.gateway.signal(nix::sys::signal::Signal::SIGTERM).unwrap();
        drop(viewers);
        tokio::time::sleep(Duration::from_millis(200)).await;
        world.hosts[0].end(1, cause::GIVEN_UP);
        assert!(world.gateway.child.wait().await.unwrap().success());
        assert!(!world.hosts[0].heard().contains(&1), "the next process is to hear of it");
    });
}

/// Viewers are told of an end within this time of their host's release.
const TOLD_WITHIN: Duration = Duration::from_secs(1);

/// Session 1 stands, and the connection that it was asked for on has ended.
async fn stands_without_its_connection(world: &World) {
    let mut viewers = connect(world).await;
    is_served(&mut viewers, 1).await;
    drop(viewers);
    tokio::time::sleep(Duration::from_millis(200)).await;
}

/// Guards against ends that wait for a set-up though a connection of viewers is open, on which the front only tests.
#[test]
fn an_end_is_told_on_a_connection_that_has_carried_nothing_but_tests() {
    run(async {
        let world = world("tested-connection", 1, 256).await;
        let mut front = connect(&world).await;
        assert!(front.test().await.unwrap());
        stands_without_its_connection(&world).await;
        assert!(front.test().await.unwrap());
        world.hosts[0].end(1, cause::GIVEN_UP);
        let told = tokio::time::timeout(TOLD_WITHIN, next_kind(&mut front, 1)).await;
        assert_eq!(told, Ok(kind::RELEASE));
    });
}

/// The same for a connection on which something else could not be read.
#[test]
fn an_end_is_told_on_a_connection_that_has_carried_an_unreadable_message_too() {
    run(async {
        let world = world("partly-unreadable-connection", 1, 256).await;
        let mut front = connect(&world).await;
        is_served(&mut front, 2).await;
        // A release without a cause.
        front.write(&[0, 9, kind::RELEASE, 0, 0, 0, 0, 0, 0, 0, 7]).await.unwrap();
        assert_eq!(next_kind(&mut front, 7).await, kind::RELEASE);
        stands_without_its_connection(&world).await;
        world.hosts[0].end(1, cause::GIVEN_UP);
        let told = tokio::time::timeout(TOLD_WITHIN, next_kind(&mut front, 1)).await;
        assert_eq!(told, Ok(kind::RELEASE));
    });
}

/// Guards against a stranger's connection, which can be read and no more, taking the only word of an end.
#[test]
fn an_end_told_on_a_strangers_connection_is_told_again_where_a_viewer_asks() {
    run(async {
        let world = world("strangers-connection", 1, 256).await;
        stands_without_its_connection(&world).await;
        let mut stranger = connect(&world).await;
        assert!(stranger.test().await.unwrap());
        world.hosts[0].end(1, cause::GIVEN_UP);
        assert_eq!(next_kind(&mut stranger, 1).await, kind::RELEASE);
        let mut front = connect(&world).await;
        front.ask(2, "free", None).await.unwrap();
        let told = async { while front.next().await.unwrap().expect("a message").session != 1 {} };
        assert!(tokio::time::timeout(TOLD_WITHIN, told).await.is_ok(), "the front is not told");
    });
}

/// Guards against ends that are told only to clients that ask for what does not exist.
#[test]
fn an_end_told_to_a_client_that_asks_for_no_class_is_told_again_where_a_viewer_asks() {
    run(async {
        let world = world("no-such-class", 1, 256).await;
        stands_without_its_connection(&world).await;
        let mut stranger = connect(&world).await;
        stranger.ask(7, "no-such-class", None).await.unwrap();
        assert_eq!(next_kind(&mut stranger, 7).await, kind::RELEASE);
        world.hosts[0].end(1, cause::GIVEN_UP);
        assert_eq!(next_kind(&mut stranger, 1).await, kind::RELEASE);
        let mut viewers = connect(&world).await;
        viewers.ask(2, "free", None).await.unwrap();
        let told = async { while viewers.next().await.unwrap().expect("a message").session != 1 {} };
        assert!(tokio::time::timeout(TOLD_WITHIN, told).await.is_ok(), "its viewer is not told");
    });
}

/// The same where that client has asked for what exists before.
#[test]
fn an_end_told_to_a_client_that_turns_bad_is_told_again_to_another() {
    run(async {
        let world = world("turns-bad", 1, 256).await;
        stands_without_its_connection(&world).await;
        let mut stranger = connect(&world).await;
        is_served(&mut stranger, 7).await;
        world.hosts[0].end(1, cause::GIVEN_UP);
        assert_eq!(next_kind(&mut stranger, 1).await, kind::RELEASE);
        let mut viewers = connect(&world).await;
        is_served(&mut viewers, 2).await;
        stranger.ask(8, "no-such-class", None).await.unwrap();
        let told = tokio::time::timeout(TOLD_WITHIN, next_kind(&mut viewers, 1)).await;
        assert_eq!(told, Ok(kind::RELEASE));
    });
}

/// Guards against ends that wait for a set-up though a connection of viewers is open, on which nothing has come yet.
#[test]
fn an_end_is_told_on_a_connection_that_has_carried_nothing() {
    run(async {
        let world = world("silent-connection", 1, 256).await;
        stands_without_its_connection(&world).await;
        let mut silent = connect(&world).await;
        tokio::time::sleep(Duration::from_millis(100)).await;
        world.hosts[0].end(1, cause::GIVEN_UP);
        let told = tokio::time::timeout(TOLD_WITHIN, next_kind(&mut silent, 1)).await;
        assert_eq!(told, Ok(kind::RELEASE));
    });
}

/// Guards against a silent client that takes the only word of an end.
#[test]
fn an_end_told_on_a_silent_connection_is_told_again_where_something_comes() {
    run(async {
        let world = world("silent-stranger", 1, 256).await;
        stands_without_its_connection(&world).await;
        let mut silent = connect(&world).await;
        tokio::time::sleep(Duration::from_millis(100)).await;
        world.hosts[0].end(1, cause::GIVEN_UP);
        assert_eq!(next_kind(&mut silent, 1).await, kind::RELEASE);
        let mut front = connect(&world).await;
        front.write(&[0, 9, kind::TEST, 0, 0, 0, 0, 0, 0, 0, 9]).await.unwrap();
        let told = async { while front.next().await.unwrap().expect("a message").session != 1 {} };
        assert!(tokio::time::timeout(TOLD_WITHIN, told).await.is_ok(), "the front is not told");
    });
}
