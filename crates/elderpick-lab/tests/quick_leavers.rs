//! Viewers that leave at their media host soon behind its answer, on real processes: whoever leaves has had its answer.

use std::time::Duration;

use elderpick_lab::platform::{Describe, Host, Journal, Viewers, set_up_offering};
use elderpick_platform::viewer::{cause, kind};

mod common;

use common::{World, host_saw, run, until, world_of};

/// Every time limit of the rules is longer by this: an answer crosses its viewer's end no longer.
const CROSSES_WITHIN: Duration = Duration::from_millis(50);
const HOSTS: usize = 4;
const VIEWERS: u64 = 12;
const PATIENCE_MS: &str = "8000";

const OFFER: &[u8] = b"7f3a9c21e0b4d655\r\nc=IN IP4 127.0.0.1\r\nm=audio 31000 RTP/AVP 0 8 101\r\n";

/// The lines of the offer, each answered by one of its type (RFC 3264).
fn as_offered(session: u64) -> Vec<u8> {
    format!("{session:016x}\r\nc=IN IP4 127.0.0.1\r\nm=audio 32000 RTP/AVP 0\r\n").into_bytes()
}

/// Without a line that was offered.
fn with_an_attribute(session: u64) -> Vec<u8> {
    format!("{session:016x}\r\nm=audio 32000 RTP/AVP 0\r\na=sendonly\r\n").into_bytes()
}

/// A process that has just started, as most of a large fleet are for their little traffic, among hosts that all answer so.
async fn started_world(name: &str, describe: Describe) -> World {
    let mut hosts = Vec::new();
    for number in 0..HOSTS {
        let host = Host::start(&format!("s-{number}")).await.unwrap();
        host.describe_as(describe);
        hosts.push(host);
    }
    world_of(name, hosts, Journal::start().await.unwrap(), 256, |_| {}).await
}

/// How many of the first viewers of a process had no answer as they left at their host, so long behind its answer.
async fn left_unanswered(name: &str, describe: Describe, leaves_after: Duration) -> usize {
    let world = started_world(name, describe).await;
    let mut viewers = Viewers::connect(world.gateway.address).await.unwrap();
    let mut unanswered = 0;
    for session in 1..=VIEWERS {
        viewers.write(&set_up_offering(session, "free", PATIENCE_MS, OFFER)).await.unwrap();
        until("it is out", || !host_saw(&world, "SETUP", session).is_empty()).await;
        tokio::time::sleep(leaves_after).await;
        world.hosts.iter().for_each(|host| host.end(session, cause::ENDED_BY_VIEWER));
        let answer = loop {
            let message = viewers.next().await.unwrap().expect("an answer");
            if message.session == session {
                break message.kind;
            }
        };
        unanswered += usize::from(answer != kind::ANSWER);
    }
    unanswered
}

/// Guards against answers that are held while their viewers leave: no final answer counts behind the end of its session.
#[test]
fn viewers_that_leave_behind_an_answer_as_offered_have_had_it() {
    run(async {
        let unanswered = left_unanswered("left-as-offered", as_offered, CROSSES_WITHIN / 5).await;
        assert_eq!(unanswered, 0, "of {VIEWERS} left without an answer");
    });
}

/// The same where the form of the host's descriptions is its own.
#[test]
fn viewers_that_leave_behind_an_answer_of_another_form_have_had_it() {
    run(async {
        let leaves_after = CROSSES_WITHIN + Duration::from_millis(10);
        let unanswered = left_unanswered("left-other-form", with_an_attribute, leaves_after).await;
        assert_eq!(unanswered, 0, "of {VIEWERS} left without an answer");
    });
}
