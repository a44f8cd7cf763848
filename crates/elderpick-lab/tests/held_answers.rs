//! Answers that are held until their rest would have come, on real sockets: what that costs their viewers.

use std::time::{Duration, Instant};

use elderpick_lab::platform::{Describe, Does, Host, Journal, Viewers, set_up_offering};
use elderpick_platform::viewer::{cause, kind};
use serde_json::json;

mod common;

use common::{World, host_saw, run, until, world, world_of};

/// Fewest descriptors that a gateway runs with, and connections to one host that it then opens.
const LEAST_SOCKETS: usize = 64;
const CONNECTIONS: u64 = 8;

/// Between two pieces of an answer: twice as long is held.
const PAUSE: Duration = Duration::from_millis(130);

const OFFER: &[u8] = b"v=0\r\nm=video 5004 RTP/AVP 96\r\n";

fn with_the_lines_of_the_offer(session: u64) -> Vec<u8> {
    format!("{session:016x}\r\nm=video 31000 RTP/AVP 96\r\n").into_bytes()
}

fn with_fewer_lines(session: u64) -> Vec<u8> {
    format!("{session:016x}\r\n").into_bytes()
}

fn without_a_line(session: u64) -> Vec<u8> {
    format!("session {session:016x}").into_bytes()
}

/// So many hosts whose descriptions look like this, for viewers that all wait for so long.
async fn world_with(name: &str, hosts: usize, describe: Describe, patience_ms: u64) -> World {
    let mut all = Vec::new();
    for number in 0..hosts {
        let host = Host::start(&format!("s-{number}")).await.unwrap();
        host.describe_as(describe);
        all.push(host);
    }
    world_of(name, all, Journal::start().await.unwrap(), 256, |config| {
        for profile in config["settings"]["profiles"].as_array_mut().unwrap() {
            profile["on_time_us"] = json!(patience_ms * 1_000);
            profile["hard_limit_us"] = json!(patience_ms * 1_000);
        }
    })
    .await
}

/// Asks for a session; how long the answer took, if it was served.
async fn ask(viewers: &mut Viewers, session: u64, patience_ms: u64) -> Option<Duration> {
    let began = Instant::now();
    let set_up = set_up_offering(session, "free", &patience_ms.to_string(), OFFER);
    viewers.write(&set_up).await.unwrap();
    loop {
        let message = viewers.next().await.unwrap().expect("an answer");
        if message.session != session {
            continue;
        }
        match message.kind {
            kind::ANSWER => return Some(began.elapsed()),
            kind::RELEASE => return None,
            _ => {}
        }
    }
}

/// The first host answers a session in pieces with a pause between them, so that answers which may be cut are held for
/// longer than that from then on.
async fn shows_a_pause(world: &World, viewers: &mut Viewers) {
    const SESSION: u64 = 1_000;
    let host = &world.hosts[0];
    host.script(&[Does::Holds]);
    viewers.write(&set_up_offering(SESSION, "free", "8000", OFFER)).await.unwrap();
    until("it is out", || !host_saw(world, "SETUP", SESSION).is_empty()).await;
    let body = b"s=-\r\nc=IN IP4 127.0.0.1\r\nm=audio 31000 RTP/AVP 0\r\na=sendonly\r\n";
    let head = format!(
        "RTSP/1.0 200 OK\r\nCSeq: 1\r\nSession: {SESSION:016x}\r\nContent-Length: {}\r\n\r\n",
        body.len()
    );
    host.say_on_connection_of(SESSION, head.as_bytes());
    tokio::time::sleep(PAUSE).await;
    host.say_on_connection_of(SESSION, body);
    // What it holds still comes as a second copy, which shows that the first was whole.
    host.go_on();
    let answer = viewers.next().await.unwrap().expect("an answer");
    assert_eq!((answer.session, answer.kind), (SESSION, kind::ANSWER));
}

/// Guards against viewers that are never served since the answers of their hosts are of another form than their offers,
/// and are held for longer than the viewers wait.
#[test]
fn hosts_of_any_form_serve_their_viewers_at_every_deadline() {
    const REQUESTS: u64 = 100;
    run(async {
        let forms: [(&str, Describe); 3] =
            [("offer", with_the_lines_of_the_offer), ("fewer", with_fewer_lines), ("none", without_a_line)];
        for patience_ms in [50, 100, 250, 600, 20_000] {
            for (name, describe) in forms {
                let world = world_with(&format!("{name}-{patience_ms}"), 4, describe, patience_ms).await;
                let mut viewers = Viewers::connect(world.gateway.address).await.unwrap();
                let mut times = Vec::new();
                for session in 1..=REQUESTS {
                    times.extend(ask(&mut viewers, session, patience_ms).await);
                    viewers.release(session, cause::ENDED_BY_VIEWER).await.unwrap();
                }
                let served = times.len() as u64;
                assert!(
                    served * 100 >= REQUESTS * 99,
                    "{name}, {patience_ms} ms: {served} of {REQUESTS} served"
                );
                if patience_ms >= 1_000 {
                    let held = times.iter().filter(|time| **time >= Duration::from_millis(200)).count();
                    assert!(held <= 3, "{name}, {patience_ms} ms: {held} answers were held");
                }
                times.sort_unstable();
                println!("{name}, {patience_ms} ms: median {:?}, 99th percentile {:?}", times[50], times[98]);
            }
        }
    });
}

/// Guards against a host that is held to be late since its answer waits: the attempt's own time ends meanwhile.
#[test]
fn a_host_whose_answer_is_held_is_not_late() {
    run(async {
        let world = world_with("held-is-not-late", 1, with_fewer_lines, 1_000).await;
        let mut viewers = Viewers::connect(world.gateway.address).await.unwrap();
        shows_a_pause(&world, &mut viewers).await;
        world.hosts[0].script(&[Does::Holds]);
        let mut asked = std::pin::pin!(ask(&mut viewers, 1, 1_000));
        // The attempt has half of the second; its answer would be held until behind that.
        let answers = async {
            until("it is out", || !host_saw(&world, "SETUP", 1).is_empty()).await;
            tokio::time::sleep(Duration::from_millis(380)).await;
            world.hosts[0].go_on();
        };
        let (served, ()) = tokio::join!(&mut asked, answers);
        let took = served.expect("it is served");
        assert!(took >= Duration::from_millis(500), "it was not held behind its attempt's time: {took:?}");
        assert_eq!(host_saw(&world, "SETUP", 1).len(), 1, "one attempt");
        assert!(host_saw(&world, "TEARDOWN", 1).is_empty(), "it is not withdrawn");
    });
}

/// Guards against descriptions that are never learned, since each viewer leaves while its answer is held.
#[test]
fn an_answer_whose_viewer_leaves_while_it_is_held_shows_what_is_whole() {
    run(async {
        let world = world_with("left-while-held", 1, with_fewer_lines, 20_000).await;
        let mut viewers = Viewers::connect(world.gateway.address).await.unwrap();
        shows_a_pause(&world, &mut viewers).await;
        viewers.write(&set_up_offering(1, "free", "20000", OFFER)).await.unwrap();
        until("it is out", || !host_saw(&world, "SETUP", 1).is_empty()).await;
        tokio::time::sleep(Duration::from_millis(50)).await;
        viewers.release(1, cause::GIVEN_UP).await.unwrap();
        until("its host is told", || !host_saw(&world, "TEARDOWN", 1).is_empty()).await;
        let took = ask(&mut viewers, 2, 20_000).await.expect("it is served");
        assert!(took < Duration::from_millis(200), "it is held again: {took:?}");
    });
}

/// Guards against an answer that is passed on when the hold of the one before it on its connection would have ended.
#[test]
fn each_of_two_answers_on_one_connection_is_held_for_its_own_time() {
    run(async {
        // One connection more than the hosts' descriptors would have to be opened for each set-up to have its own.
        let world = world("held-on-one-connection", 1, LEAST_SOCKETS).await;
        let host = &world.hosts[0];
        let mut viewers = Viewers::connect(world.gateway.address).await.unwrap();
        shows_a_pause(&world, &mut viewers).await;
        host.script(&[Does::Holds; CONNECTIONS as usize + 1]);
        for session in 1..=CONNECTIONS + 1 {
            viewers.write(&set_up_offering(session, "free", "8000", OFFER)).await.unwrap();
        }
        until("all are out", || (1..=CONNECTIONS + 1).all(|session| host.connection_of(session).is_some()))
            .await;
        let shared = |a: &u64| (1..*a).find(|b| host.connection_of(*a) == host.connection_of(*b));
        let second =
            (2..=CONNECTIONS + 1).find(|a| shared(a).is_some()).expect("two are out on one connection");
        let first = shared(&second).unwrap();
        let say = |session: u64, told: &[u8]| {
            let head = format!(
                "RTSP/1.0 200 OK\r\nCSeq: 1\r\nSession: {session:016x}\r\nContent-Length: {}\r\n\r\n",
                told.len()
            );
            host.say_on_connection_of(session, &[head.as_bytes(), told].concat());
        };
        say(first, b"c=IN IP4 127.0.0.1\r\n");
        tokio::time::sleep(Duration::from_millis(150)).await;
        say(second, b"c=IN IP4 127.0.0.1\r\nb=AS:128\r\n");
        tokio::time::sleep(Duration::from_millis(175)).await;
        host.say_on_connection_of(second, b"m=audio 31000 RTP/AVP 0\r\n");
        let (mut first_is, mut second_is) = (None, None);
        while first_is.is_none() || second_is.is_none() {
            let message = viewers.next().await.unwrap().expect("an answer");
            match message.session {
                session if session == first => first_is = first_is.or(Some(message.kind)),
                session if session == second => second_is = second_is.or(Some(message.kind)),
                _ => {}
            }
        }
        assert_eq!((first_is, second_is), (Some(kind::ANSWER), Some(kind::RELEASE)));
    });
}
