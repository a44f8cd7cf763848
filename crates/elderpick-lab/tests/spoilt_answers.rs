//! Answers whose length does not fit, on real sockets: what their host says next is no part of them, and what is left of
//! them shows that they were cut.

use std::time::Duration;

use elderpick_lab::platform::{Does, Viewers, description, set_up_offering};
use elderpick_platform::rtsp;
use elderpick_platform::viewer::{cause, kind};

mod common;

use common::{World, host_saw, run, until, world};

/// The host of session 1 answers session 2 on the same connection with so many bytes too much, and ends session 1 then.
async fn is_not_served(overstated: usize) {
    let world = world(&format!("overstated-{overstated}"), 1, 256).await;
    let mut viewers = Viewers::connect(world.gateway.address).await.unwrap();
    viewers.ask(1, "free", None).await.unwrap();
    assert_eq!(viewers.next().await.unwrap().expect("an answer").kind, kind::ANSWER);
    world.hosts[0].script(&[Does::Overstates(overstated)]);
    viewers.ask(2, "free", None).await.unwrap();
    until("it is out", || !host_saw(&world, "SETUP", 2).is_empty()).await;
    assert_eq!(world.hosts[0].taken(), 1, "on the same connection");
    world.hosts[0].end(1, cause::GIVEN_UP);
    let answer = loop {
        let message = viewers.next().await.unwrap().expect("an answer");
        if message.session == 2 {
            break message;
        }
    };
    assert_eq!(answer.kind, kind::RELEASE, "{overstated} bytes too much: {:?}", common::described(&answer));
}

/// Behind a part of its name a method still looks like one.
#[test]
fn an_answer_takes_the_beginning_of_the_next_message_along() {
    run(async {
        for overstated in [1, 3, 7] {
            is_not_served(overstated).await;
        }
    });
}

#[test]
fn an_answer_takes_the_whole_next_message_along() {
    run(async {
        is_not_served(rtsp::teardown(1, Some(cause::GIVEN_UP)).len()).await;
    });
}

/// The rest of an answer that understates its length comes by itself, some milliseconds later.
#[test]
fn an_answer_whose_rest_comes_later_is_served_without_it() {
    run(async {
        let world = world("understated", 1, 256).await;
        let mut viewers = Viewers::connect(world.gateway.address).await.unwrap();
        world.hosts[0].script(&[Does::Holds]);
        viewers.ask(1, "free", None).await.unwrap();
        until("it is out", || !host_saw(&world, "SETUP", 1).is_empty()).await;
        let body = description(1);
        let (told, rest) = body.split_at(body.len() - 4);
        let head = format!(
            "RTSP/1.0 200 OK\r\nCSeq: 1\r\nSession: {:016x}\r\nContent-Length: {}\r\n\r\n",
            1,
            told.len()
        );
        world.hosts[0].say_on_connection_of(1, &[head.as_bytes(), told].concat());
        tokio::time::sleep(Duration::from_millis(2)).await;
        world.hosts[0].say_on_connection_of(1, rest);
        let answer = viewers.next().await.unwrap().expect("an answer");
        assert_eq!(answer.kind, kind::RELEASE, "it is served cut: {:?}", common::described(&answer));
    });
}

const OFFER: &[u8] = b"v=0\r\nm=video 5004 RTP/AVP 96\r\n";
const CONNECTION_LINE: &[u8] = b"c=IN IP4 127.0.0.1\r\n";
const MEDIA_LINE: &[u8] = b"m=audio 31000 RTP/AVP 0 8 101\r\n";

/// A set-up whose offer describes one medium.
fn set_up_with_a_medium(session: u64) -> Vec<u8> {
    set_up_offering(session, "free", "8000", OFFER)
}

/// An answer to session 1, and a part of it in a later piece.
async fn answers_in_pieces(world: &World, told: &[u8], later: Duration, rest: &[u8]) {
    answers_session_in_pieces(world, 1, told, later, rest).await;
}

async fn answers_session_in_pieces(world: &World, session: u64, told: &[u8], later: Duration, rest: &[u8]) {
    let host = &world.hosts[0];
    let head = format!(
        "RTSP/1.0 200 OK\r\nCSeq: 1\r\nSession: {session:016x}\r\nContent-Length: {}\r\n\r\n",
        told.len()
    );
    host.say_on_connection_of(session, &[head.as_bytes(), told].concat());
    tokio::time::sleep(later).await;
    host.say_on_connection_of(session, rest);
}

/// Session 1, whose offer describes one medium, is out.
async fn is_out(name: &str) -> (World, Viewers) {
    let world = world(name, 1, 256).await;
    let mut viewers = Viewers::connect(world.gateway.address).await.unwrap();
    world.hosts[0].script(&[Does::Holds]);
    viewers.write(&set_up_with_a_medium(1)).await.unwrap();
    until("it is out", || !host_saw(&world, "SETUP", 1).is_empty()).await;
    (world, viewers)
}

/// Guards against an answer that is served without its last line, which comes in a later piece.
#[test]
fn an_answer_cut_before_the_medium_that_was_offered_is_not_served() {
    run(async {
        let (world, mut viewers) = is_out("cut-before-medium").await;
        answers_in_pieces(&world, CONNECTION_LINE, Duration::from_millis(20), MEDIA_LINE).await;
        let answer = viewers.next().await.unwrap().expect("an answer");
        assert_eq!(answer.kind, kind::RELEASE, "it is served cut: {:?}", common::described(&answer));
    });
}

/// The same for an answer that is cut in the middle of a line.
#[test]
fn an_answer_cut_within_a_line_is_not_served() {
    run(async {
        let (world, mut viewers) = is_out("cut-within-line").await;
        let (told, rest) = MEDIA_LINE.split_at(MEDIA_LINE.len() - 4);
        answers_in_pieces(&world, told, Duration::from_millis(20), rest).await;
        let answer = viewers.next().await.unwrap().expect("an answer");
        assert_eq!(answer.kind, kind::RELEASE, "it is served cut: {:?}", common::described(&answer));
    });
}

/// An answer that has less than its offer and is whole is served, as it is.
#[test]
fn an_answer_without_the_medium_that_was_offered_is_served_if_nothing_follows() {
    run(async {
        let (world, mut viewers) = is_out("no-medium").await;
        answers_in_pieces(&world, CONNECTION_LINE, Duration::ZERO, b"").await;
        let answer = viewers.next().await.unwrap().expect("an answer");
        assert_eq!((answer.kind, common::described(&answer)), (kind::ANSWER, CONNECTION_LINE.to_vec()));
    });
}

/// Guards against an answer that is served without its last line behind the media lines, which comes in a later piece:
/// the first of its host, and one behind a whole one.
#[test]
fn an_answer_cut_behind_the_medium_that_was_offered_is_not_served() {
    run(async {
        let attribute = b"a=sendonly\r\n";
        let (cut, whole) =
            ([CONNECTION_LINE, MEDIA_LINE].concat(), [CONNECTION_LINE, MEDIA_LINE, attribute].concat());
        let later = Duration::from_millis(20);
        let (world, mut viewers) = is_out("cut-behind-medium").await;
        answers_in_pieces(&world, &cut, later, attribute).await;
        let answer = viewers.next().await.unwrap().expect("an answer");
        assert_eq!(answer.kind, kind::RELEASE, "it is served cut: {:?}", common::described(&answer));

        let (world, mut viewers) = is_out("cut-behind-whole").await;
        answers_in_pieces(&world, &whole, Duration::ZERO, b"").await;
        let answer = viewers.next().await.unwrap().expect("an answer");
        assert_eq!((answer.kind, common::described(&answer)), (kind::ANSWER, whole));
        asks_again(&world, &mut viewers).await;
        answers_session_in_pieces(&world, 2, &cut, later, attribute).await;
        let answer = viewers.next().await.unwrap().expect("an answer");
        assert_eq!(answer.kind, kind::RELEASE, "it is served cut: {:?}", common::described(&answer));
    });
}

/// Session 2, whose offer describes one medium, is out.
async fn asks_again(world: &World, viewers: &mut Viewers) {
    world.hosts[0].script(&[Does::Holds]);
    viewers.write(&set_up_with_a_medium(2)).await.unwrap();
    until("it is out", || !host_saw(world, "SETUP", 2).is_empty()).await;
}

/// Guards against a session that stays served though what came behind its answer shows that this was cut: it looked
/// like another of its host's that was whole.
#[test]
fn a_session_ends_whose_answer_was_passed_on_cut() {
    run(async {
        let (world, mut viewers) = is_out("passed-on-cut").await;
        let told = [CONNECTION_LINE, MEDIA_LINE].concat();
        answers_in_pieces(&world, &told, Duration::ZERO, b"").await;
        assert_eq!(viewers.next().await.unwrap().expect("an answer").kind, kind::ANSWER);
        asks_again(&world, &mut viewers).await;
        let (later, rest) = (Duration::from_millis(20), b"a=rtpmap:101 telephone-event/8000\r\n");
        answers_session_in_pieces(&world, 2, &told, later, rest).await;
        assert_eq!(viewers.next().await.unwrap().expect("an answer").kind, kind::ANSWER);
        let end = viewers.next().await.unwrap().expect("an end");
        assert_eq!((end.kind, end.session), (kind::RELEASE, 2));
        until("its host is told", || !host_saw(&world, "TEARDOWN", 2).is_empty()).await;
    });
}
