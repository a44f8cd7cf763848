//! Bad clients: ids that no media host knows, then hundreds of requests at once, and the same again.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::{Duration, Instant};

use crate::Start;
use crate::kit::*;
use crate::site::Site;

const HOSTS: usize = 8;
/// Sessions that one bad client says to play at media hosts, which know none of them.
const UNKNOWN: usize = 30_000;
/// Bad clients that ask, and requests that each sends at once.
const CLIENTS: usize = 8;
const AT_ONCE: usize = 300;
/// How long bad clients say to wait: no class has over 4 s.
const BAD_PATIENCE_MS: &[u8] = b"3500000";
/// The usual viewers wait for so long.
const PATIENCE_MS: u64 = 3_000;
/// An answer may come so much later and only earns nothing; later, or never, it is lost.
const LATE_US: u64 = 500_000;
const SLACK_US: u64 = 50_000;

fn bad_message(ids: &mut Ids, title: &str, at: Option<&str>) -> Vec<u8> {
    let at = at.map_or(String::new(), |at| format!(";at:{at}"));
    let figures = format!("home:0;copies:{HOSTS}{at}");
    let parameters: [(u8, &[u8]); 5] = [
        (180, b"replay"),
        (183, BAD_PATIENCE_MS),
        (192, title.as_bytes()),
        (195, figures.as_bytes()),
        (225, b"v=0"),
    ];
    message(1, ids.next(), &parameters)
}

fn connect(to: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(to).unwrap_or_else(|why| cannot_run(&why.to_string()));
    let _ = stream.set_nodelay(true);
    stream
}

/// Says that sessions play which no media host knows.
fn unknown_ids(to: SocketAddr, names: &[String], record: &Record) -> TcpStream {
    let mut stream = connect(to);
    let mut reads = stream.try_clone().unwrap();
    thread::spawn(move || {
        let mut chunk = [0u8; 65536];
        while let Ok(1..) = reads.read(&mut chunk) {}
    });
    let mut ids = Ids::new();
    for k in 0..UNKNOWN {
        let bytes = bad_message(&mut ids, &format!("b{:06x}", k % 500), Some(&names[k % names.len()]));
        if stream.write_all(&bytes).is_err() {
            record.add("the gateway has closed the bad client's connection");
            break;
        }
    }
    record.add("a bad client has named its unknown sessions");
    stream
}

/// Asks at once, and again as soon as it is turned away. It reads whatever it is sent.
fn many_at_once(to: SocketAddr, until: Instant) {
    let mut ids = Ids::new();
    while Instant::now() < until {
        let mut stream = connect(to);
        let _ = stream.set_read_timeout(Some(Duration::from_millis(500)));
        while Instant::now() < until {
            let bytes: Vec<u8> = (0..AT_ONCE).flat_map(|_| bad_message(&mut ids, "b0", None)).collect();
            if stream.write_all(&bytes).is_err() {
                break;
            }
            let mut chunk = [0u8; 65536];
            let mut read = 0;
            // A refusal has some 30 bytes.
            while read < AT_ONCE * 15 && Instant::now() < until {
                match stream.read(&mut chunk) {
                    Ok(0) => break,
                    Ok(n) => read += n,
                    Err(_) => {}
                }
            }
        }
    }
}

pub fn run(start: &Start) -> bool {
    let record = Record::new(&start.record);
    let site = Site::piedmont(HOSTS);
    let hosts: Vec<Host> =
        (0..HOSTS).map(|k| Host::start(&format!("s-0000000{k}"), k, None, &record)).collect();
    for host in &hosts {
        host.state.lock().unwrap().act = Act::Answer(80);
        // They cannot use what bad clients ask for.
        host.state.lock().unwrap().unknown = Some(("b".into(), 80));
        host.life.store(200_000, Ordering::SeqCst);
        host.quiet.store(true, Ordering::SeqCst);
    }
    let journal = Journal::start(&record);
    journal.tell(true, &hosts.iter().map(|h| h.entry("Ready", 0)).collect::<Vec<_>>());
    let inbox = Inbox::default();
    let addr = free_address();
    let folder = temporary_folder();
    let config = site.config(addr, journal.addr, &journal.known());
    let mut gateway = Gateway::start(&start.root, &folder, addr, &config, &record);
    gateway.wait_ready(&inbox);
    sleep_ms(1_500);
    let viewer = Viewer::connect(addr, &inbox, &record).unwrap_or_else(|| cannot_run("no connection"));

    let began = Instant::now();
    let until = began + Duration::from_secs(35);
    let names: Arc<Vec<String>> = Arc::new(hosts.iter().map(|host| host.name.clone()).collect());
    if start.trouble {
        let (names, record) = (names.clone(), record.clone());
        thread::spawn(move || {
            sleep_ms(6_000);
            let stream = unknown_ids(addr, &names, &record);
            sleep_ms(3_000);
            record.add(&format!("{CLIENTS} bad clients ask {AT_ONCE} times at once, and again"));
            let clients: Vec<_> =
                (0..CLIENTS).map(|_| thread::spawn(move || many_at_once(addr, until))).collect();
            clients.into_iter().for_each(|client| drop(client.join()));
            drop(stream);
        });
    }
    let (mut ids, mut asked, mut k) = (Ids::new(), Vec::new(), 0);
    while Instant::now() < until {
        let session = ids.next();
        asked.push((session, now()));
        viewer.set_up(&Ask {
            session,
            class: if k % 4 == 0 { "first-listen" } else { "replay" }.into(),
            title: format!("m{:06x}", k % 40),
            patience: PATIENCE_MS,
            figures: format!("home:0;copies:{HOSTS};top:0;viewer:{:016x}", ids.next()),
        });
        k += 1;
        sleep_ms(250);
    }
    // What was asked last has its time as well.
    sleep_ms(PATIENCE_MS + LATE_US / 1_000 + 500);
    if gateway.ended() {
        record.add("BROKEN: the gateway has ended by itself");
        return true;
    }
    gateway.stop();
    let (mut broken, mut cut) = (0, 0);
    for (session, at) in &asked {
        let came = inbox.of(*session);
        let bound = at + PATIENCE_MS * 1_000 + LATE_US + SLACK_US;
        match came.iter().find(|came| came.kind == 9 || came.kind == 12) {
            Some(answer) if answer.at <= bound => {}
            Some(answer) => {
                broken += 1;
                let after = (answer.at - at) as f64 / 1e6;
                record.add(&format!("BROKEN: {session:016x} was answered {after:.1} s after it was asked"));
            }
            None => {
                broken += 1;
                record.add(&format!("BROKEN: {session:016x} was never answered"));
            }
        }
        // No media host has ended anything.
        cut += usize::from(came.first().is_some_and(|c| c.kind == 9) && came.iter().any(|c| c.kind == 12));
    }
    record.add(&format!(
        "{} requests of usual viewers, {broken} lost; besides, {cut} sessions that played on at their media hosts were cut",
        asked.len()
    ));
    broken > 0
}
