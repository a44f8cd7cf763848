//! The stand-ins do what the tests rely on.

use elderpick_lab::platform::{Does, Host};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

mod common;

use common::run;

/// More tasks than the runtime polls before it comes back to a test that waits.
const SET_UPS: usize = 200;

fn set_up(session: usize) -> String {
    let head = "SETUP rtsp://media/session RTSP/1.0\r\nCSeq: 1\r\n";
    format!("{head}Session: {session:016x}\r\nContent-Length: 0\r\n\r\n")
}

/// A test tells the host to go on as soon as it sees the last set-up arrive.
#[test]
fn a_host_that_is_told_to_go_on_answers_every_set_up_it_has_seen() {
    run(async {
        let host = Host::start("s-0").await.unwrap();
        host.script(&[Does::Holds; SET_UPS]);
        let mut stream = TcpStream::connect(host.address).await.unwrap();
        stream.write_all((1..=SET_UPS).map(set_up).collect::<String>().as_bytes()).await.unwrap();
        while host.seen().len() < SET_UPS {
            tokio::task::yield_now().await;
        }
        host.go_on();
        let mut text = String::new();
        let mut chunk = [0; 4096];
        while text.matches("200 OK").count() < SET_UPS {
            let read =
                tokio::time::timeout(std::time::Duration::from_secs(20), stream.read(&mut chunk)).await;
            let read = read.expect("an answer is missing").unwrap();
            text.push_str(&String::from_utf8_lossy(&chunk[..read]));
        }
    });
}
