//! Clients that leave with much of what they sent unread, and ids that come again behind that, on real sockets.

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use elderpick_lab::platform::{Does, Viewers, set_up, set_up_of};
use elderpick_platform::viewer::{self, cause, kind};

mod common;

use common::{World, host_saw, run, until, world};

/// A gateway whose connections are all used up would hide what is tested here.
const SOCKETS: usize = 256;
/// Set-ups among what a client sends before it leaves.
const ASKED: u64 = 40;
/// Tests behind each set-up: what a look at the connection takes holds few of them.
const TESTS_BETWEEN: usize = 2_000;
/// More ids than a gateway remembers.
const OTHER_IDS: u64 = 60_000;
const IDS_AT_ONCE: usize = 50;
const TITLE: &str = "7f3a9c21e0b4d655";

fn tests(count: usize) -> Vec<u8> {
    let mut bytes = Vec::new();
    (0..count).for_each(|_| viewer::encode(&mut bytes, kind::TEST, 9, &[]).unwrap());
    bytes
}

/// Sends set-ups among tests, as much as both systems take, and leaves. How many set-ups were sent whole.
fn ask_and_leave(to: SocketAddr) -> u64 {
    let mut stream = TcpStream::connect(to).unwrap();
    stream.set_nonblocking(true).unwrap();
    for session in 1..=ASKED {
        let bytes = [set_up(session, "paid", None), tests(TESTS_BETWEEN)].concat();
        if stream.write(&bytes).is_ok_and(|written| written == bytes.len()) {
            continue;
        }
        return session;
    }
    ASKED
}

fn set_ups(world: &World) -> usize {
    (1..=ASKED).map(|session| host_saw(world, "SETUP", session).len()).sum()
}

/// Guards against requests that are sent on though their client has left behind them.
#[test]
fn requests_of_a_client_that_left_with_much_unread_are_not_sent_on() {
    run(async {
        let world = world("left-unread", 2, SOCKETS).await;
        let mut others = Viewers::connect(world.gateway.address).await.unwrap();
        assert!(others.test().await.unwrap());
        world.gateway.pause().await.unwrap();
        let to = world.gateway.address;
        let sent = tokio::task::spawn_blocking(move || ask_and_leave(to)).await.unwrap();
        world.gateway.resume().unwrap();
        // Another client is served meanwhile, and behind all that was unread.
        others.ask(1_000, "free", None).await.unwrap();
        assert_eq!(others.next().await.unwrap().expect("an answer").kind, kind::ANSWER);
        tokio::time::sleep(Duration::from_secs(1)).await;
        println!("{sent} set-ups before the end, {} sent on", set_ups(&world));
        assert_eq!(set_ups(&world), 0, "of {sent} set-ups, all behind their client's end");
    });
}

/// An id that comes again after its client has left runs no second time.
#[test]
fn an_id_that_comes_again_after_its_client_has_left_does_not_run_twice() {
    run(async {
        let world = world("comes-again", 2, SOCKETS).await;
        world.hosts.iter().for_each(|host| host.script(&[Does::Holds]));
        let mut first = Viewers::connect(world.gateway.address).await.unwrap();
        first.ask(1, "paid", None).await.unwrap();
        until("it is out", || !host_saw(&world, "SETUP", 1).is_empty()).await;
        drop(first);
        until("it is withdrawn", || !host_saw(&world, "TEARDOWN", 1).is_empty()).await;
        let mut second = Viewers::connect(world.gateway.address).await.unwrap();
        second.ask(1, "paid", None).await.unwrap();
        let answer = second.next().await.unwrap().expect("an answer");
        assert_eq!(
            (answer.kind, answer.cause()),
            (kind::RELEASE, Ok(cause::UNREADABLE)),
            "it is known as a copy"
        );
        assert_eq!(host_saw(&world, "SETUP", 1).len(), 1);
    });
}

/// Guards against ids that have run and are forgotten because a client sent very many others.
#[test]
fn an_id_that_has_run_is_remembered_beside_very_many_others() {
    run(async {
        let world = world("many-others", 2, SOCKETS).await;
        world.hosts.iter().for_each(|host| host.script(&[Does::Holds]));
        let mut first = Viewers::connect(world.gateway.address).await.unwrap();
        first.ask(1, "paid", None).await.unwrap();
        until("it is out", || !host_saw(&world, "SETUP", 1).is_empty()).await;
        drop(first);
        until("it is withdrawn", || !host_saw(&world, "TEARDOWN", 1).is_empty()).await;
        // They wait for no time at all, so that each is refused.
        let mut busy = Viewers::connect(world.gateway.address).await.unwrap();
        for first_id in (1_000..1_000 + OTHER_IDS).step_by(IDS_AT_ONCE) {
            let ids = first_id..first_id + IDS_AT_ONCE as u64;
            let bytes: Vec<u8> = ids.flat_map(|id| set_up_of(id, "free", None, "1", TITLE)).collect();
            busy.write(&bytes).await.unwrap();
            for _ in 0..IDS_AT_ONCE {
                assert_eq!(busy.next().await.unwrap().expect("a refusal").kind, kind::RELEASE);
            }
        }
        let mut second = Viewers::connect(world.gateway.address).await.unwrap();
        second.ask(1, "paid", None).await.unwrap();
        let answer = second.next().await.unwrap().expect("an answer");
        assert_eq!(
            (answer.kind, answer.cause()),
            (kind::RELEASE, Ok(cause::UNREADABLE)),
            "it is known as a copy"
        );
        assert_eq!(host_saw(&world, "SETUP", 1).len(), 1);
    });
}
