//! More clients than a gateway has connections for, on real sockets: what viewers wait for beside them.

use std::net::SocketAddr;
use std::time::Duration;

use elderpick_lab::platform::{Viewers, set_up};
use elderpick_platform::viewer::kind;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::spawn_local;

mod common;

use common::{run, world};

/// Fewest descriptors that a gateway runs with, and more clients than it has connections for.
const SOCKETS: usize = 64;
const ASKING: usize = 40;
const SILENT: usize = 60;
const VIEWERS: u64 = 12;
/// A set-up waits for its answer this long; what comes later by so much is lost.
const PATIENCE: Duration = Duration::from_secs(3);
const LATE: Duration = Duration::from_millis(550);

/// A client that asks for a class that does not exist, at full speed, and connects again when it is turned away.
async fn asks_for_no_class(to: SocketAddr, number: u64) {
    let ids = 0xbad0_0000 + number * 0x100..;
    let block: Vec<u8> = ids.take(50).flat_map(|id| set_up(id, "no-such-class", None)).collect();
    let mut scrap = vec![0; 1 << 16];
    loop {
        let Ok(mut stream) = TcpStream::connect(to).await else { continue };
        let (mut reads, mut writes) = stream.split();
        let asks = async { while writes.write_all(&block).await.is_ok() {} };
        let reads_all = async { while matches!(reads.read(&mut scrap).await, Ok(1..)) {} };
        tokio::select! { () = asks => {}, () = reads_all => {} }
    }
}

async fn says_nothing(to: SocketAddr) {
    let stream = TcpStream::connect(to).await;
    tokio::time::sleep(Duration::from_secs(60)).await;
    drop(stream);
}

/// Guards against viewers whose set-ups lie for seconds on connections that the system has accepted, behind clients that
/// ask for what does not exist or say nothing.
#[test]
fn viewers_are_answered_in_time_beside_a_crowd_of_other_clients() {
    run(async {
        let world = world("crowd", 1, SOCKETS).await;
        let to = world.gateway.address;
        let asking = (0..ASKING as u64).map(|number| spawn_local(asks_for_no_class(to, number)));
        let asking: Vec<_> = asking.collect();
        tokio::time::sleep(Duration::from_millis(500)).await;
        let silent: Vec<_> = (0..SILENT).map(|_| spawn_local(says_nothing(to))).collect();
        let mut answered = Vec::new();
        for session in 1..=VIEWERS {
            answered.push(spawn_local(async move {
                let mut viewers = Viewers::connect(to).await.unwrap();
                viewers.write(&set_up(session, "free", None)).await.unwrap();
                let answer = async {
                    loop {
                        let message = viewers.next().await.unwrap().expect("an answer");
                        if message.session == session && matches!(message.kind, kind::ANSWER | kind::RELEASE)
                        {
                            return;
                        }
                    }
                };
                tokio::time::timeout(PATIENCE + LATE, answer).await.is_ok()
            }));
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
        for (session, answered) in (1..).zip(answered) {
            assert!(answered.await.unwrap(), "viewer {session} was not answered in time");
        }
        asking.into_iter().chain(silent).for_each(|client| client.abort());
    });
}
