//! Gateways whose log nobody reads, on real processes: viewers are answered all the same.

use std::io::{PipeReader, Read};
use std::process::Stdio;
use std::time::Duration;

use elderpick_lab::platform::{Gateway, Host, Journal, Viewers, config};
use elderpick_platform::viewer::{cause, kind};

mod common;

use common::{folder, program, run};

/// More than a pipe holds of what they make at the level `debug`.
const REQUESTS: u64 = 1_000;
const ANSWERED_WITHIN: Duration = Duration::from_secs(2);

/// A gateway with one host, which logs to a pipe, and viewers that are connected to it.
async fn gateway_with_a_pipe(name: &str, level: &str) -> (Gateway, Host, Viewers, PipeReader) {
    let (host, journal) = (Host::start("s-0").await.unwrap(), Journal::start().await.unwrap());
    journal.tell(true, &[(&host, "Ready")]);
    let (reads, writes) = std::io::pipe().unwrap();
    let log = Some((level, Stdio::from(writes)));
    let folder = folder(name);
    let gateway = Gateway::start_logging_to(&program(), &folder, &config(&journal, 256), log).await.unwrap();
    let _ = std::fs::remove_dir_all(&folder);
    let viewers = Viewers::connect(gateway.address).await.unwrap();
    (gateway, host, viewers, reads)
}

/// Asks for a session and ends it.
async fn is_answered(viewers: &mut Viewers, session: u64) {
    viewers.ask(session, "free", None).await.unwrap();
    let answer = async {
        loop {
            let message = viewers.next().await.unwrap().expect("a message");
            if message.session == session && matches!(message.kind, kind::ANSWER | kind::RELEASE) {
                return;
            }
        }
    };
    let answered = tokio::time::timeout(ANSWERED_WITHIN, answer).await;
    assert!(answered.is_ok(), "request {session} is not answered");
    viewers.release(session, cause::ENDED_BY_VIEWER).await.unwrap();
}

/// Guards against a gateway that stands still since the reader of its log has gone: writing to it fails.
#[test]
fn a_closed_log_costs_no_viewer_its_answer() {
    run(async {
        for level in ["info", "debug", "trace"] {
            let (_gateway, _host, mut viewers, reads) =
                gateway_with_a_pipe(&format!("closed-log-{level}"), level).await;
            is_answered(&mut viewers, 1).await;
            drop(reads);
            for session in 2..=REQUESTS / 10 {
                is_answered(&mut viewers, session).await;
            }
        }
    });
}

/// Guards against a gateway that waits until somebody reads its log. Who reads it again is told how much is missing.
#[test]
fn a_log_that_nobody_reads_costs_no_viewer_its_answer() {
    run(async {
        let (_gateway, _host, mut viewers, mut reads) = gateway_with_a_pipe("full-log", "debug").await;
        for session in 1..=REQUESTS {
            is_answered(&mut viewers, session).await;
        }
        let mut read = vec![0; 1 << 17];
        let mut log = Vec::new();
        while !String::from_utf8_lossy(&log).contains("lines of the log were dropped") {
            is_answered(&mut viewers, REQUESTS + 1 + log.len() as u64).await;
            let count = reads.read(&mut read).unwrap();
            log.extend_from_slice(&read[..count]);
            assert!(log.len() < 1 << 22, "nothing tells of what was dropped");
        }
    });
}
