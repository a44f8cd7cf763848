//! Clients that send at full speed: what others wait for their answers beside them, on real sockets.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use elderpick_lab::platform::{Viewers, set_up_of};
use elderpick_platform::viewer::{self, cause, kind};

mod common;

use common::{run, world};

/// Others ask one after the other, and each waits for so long.
const ASKED: u64 = 40;
const PATIENCE_MS: &str = "1000";
const PATIENCE: Duration = Duration::from_secs(1);
/// Messages that a busy client writes at a time.
const MESSAGES_AT_ONCE: u64 = 5_000;

/// A client that sends messages at full speed, and reads what it is sent.
struct BusyClient {
    stop: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
}

impl BusyClient {
    fn start(to: SocketAddr, message: impl Fn(u64) -> Vec<u8> + Send + 'static) -> BusyClient {
        let mut writes = TcpStream::connect(to).unwrap();
        let mut reads = writes.try_clone().unwrap();
        let stop = Arc::new(AtomicBool::new(false));
        let stopped = stop.clone();
        let writing = std::thread::spawn(move || {
            let mut next = 0;
            while !stopped.load(Ordering::SeqCst) {
                let bytes: Vec<u8> = (next..next + MESSAGES_AT_ONCE).flat_map(&message).collect();
                next += MESSAGES_AT_ONCE;
                if writes.write_all(&bytes).is_err() {
                    return;
                }
            }
            let _ = writes.shutdown(std::net::Shutdown::Both);
        });
        let reading = std::thread::spawn(move || {
            let mut chunk = [0; 1 << 16];
            while let Ok(1..) = reads.read(&mut chunk) {}
        });
        BusyClient { stop, threads: vec![writing, reading] }
    }

    fn stop(self) {
        self.stop.store(true, Ordering::SeqCst);
        self.threads.into_iter().for_each(|thread| thread.join().unwrap());
    }
}

/// How long each of the others waits for its answer beside a busy client.
async fn waits_beside(name: &str, message: impl Fn(u64) -> Vec<u8> + Send + 'static) -> Vec<Duration> {
    let world = world(name, 1, 256).await;
    let mut viewers = Viewers::connect(world.gateway.address).await.unwrap();
    let busy = BusyClient::start(world.gateway.address, message);
    let mut waits = Vec::new();
    for session in 1..=ASKED {
        let asked = Instant::now();
        viewers.write(&set_up_of(session, "free", None, PATIENCE_MS, "7f3a9c21e0b4d655")).await.unwrap();
        let answer = viewers.next().await.unwrap().expect("an answer");
        assert_eq!(answer.session, session);
        waits.push(asked.elapsed());
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    busy.stop();
    waits
}

fn late(waits: &[Duration]) -> Vec<Duration> {
    waits.iter().copied().filter(|wait| *wait > PATIENCE).collect()
}

fn test_message(session: u64) -> Vec<u8> {
    let mut bytes = Vec::new();
    viewer::encode(&mut bytes, kind::TEST, session, &[]).unwrap();
    bytes
}

fn release_of_an_unknown_session(number: u64) -> Vec<u8> {
    let mut bytes = Vec::new();
    viewer::release(&mut bytes, u64::MAX - number, cause::ENDED_BY_VIEWER, None);
    bytes
}

/// Guards against a connection that is read for as long as anything comes on it, while all others wait.
#[test]
fn others_are_answered_in_time_beside_a_client_that_tests_at_full_speed() {
    run(async {
        let waits = waits_beside("busy-tests", test_message).await;
        assert!(late(&waits).is_empty(), "later than their viewers wait: {:?}", late(&waits));
    });
}

/// The same with messages that each leave something to remember.
#[test]
fn others_are_answered_in_time_beside_a_client_that_ends_unknown_sessions_at_full_speed() {
    run(async {
        let waits = waits_beside("busy-ends", release_of_an_unknown_session).await;
        assert!(late(&waits).is_empty(), "later than their viewers wait: {:?}", late(&waits));
    });
}
