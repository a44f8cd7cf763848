//! Answers whose length does not fit, on real sockets: what their host says next is no part of them, and what is left of
//! them shows that they were cut.

use std::time::Duration;

use elderpick_lab::platform::{Does, Viewers, description};
use elderpick_platform::rtsp;
use elderpick_platform::viewer::{cause, kind};

mod common;

use common::{host_saw, run, until, world};

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
