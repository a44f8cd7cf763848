//! Bad clients: hundreds of requests withdrawn at once, with a figure out of range, and the same again.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::Start;
use crate::kit::*;
use crate::site::Site;

const HOSTS: usize = 8;
/// Bad clients, and requests that each sends and withdraws at once.
const CLIENTS: usize = 8;
const AT_ONCE: usize = 60;
/// How long they say to wait, in ms: no class has over 4 s.
const PATIENCE_MS: &[u8] = b"3500000";
/// They do so for so long at most.
const LONGEST: Duration = Duration::from_secs(85);

fn set_up(ids: &mut Ids) -> (u64, Vec<u8>) {
    let session = ids.next();
    let figures = format!("home:0;copies:{HOSTS};top:0;viewer:{:016x}", ids.next());
    let title = format!("b{:06x}", session % 500);
    let parameters: [(u8, &[u8]); 5] = [
        (180, b"replay"),
        (183, PATIENCE_MS),
        (192, title.as_bytes()),
        (195, figures.as_bytes()),
        (225, b"v=0\r\n"),
    ];
    (session, message(1, session, &parameters))
}

/// One bad client. It reads whatever it is sent.
fn bad_client(to: SocketAddr, until: Instant, sent: &AtomicU64) {
    let mut ids = Ids::new();
    while Instant::now() < until {
        let Ok(mut stream) = TcpStream::connect_timeout(&to, Duration::from_millis(500)) else {
            sleep_ms(20);
            continue;
        };
        let _ = stream.set_nodelay(true);
        let mut reads = stream.try_clone().unwrap();
        thread::spawn(move || {
            let mut chunk = [0u8; 65536];
            while let Ok(1..) = reads.read(&mut chunk) {}
        });
        while Instant::now() < until {
            let all: Vec<_> = (0..AT_ONCE).map(|_| set_up(&mut ids)).collect();
            let asked: Vec<u8> = all.iter().flat_map(|(_, bytes)| bytes.clone()).collect();
            let ends: Vec<u8> = all.iter().flat_map(|(id, _)| message(12, *id, &[(222, &[16])])).collect();
            if stream.write_all(&asked).is_err() {
                break;
            }
            sleep_ms(8);
            if stream.write_all(&ends).is_err() {
                break;
            }
            sent.fetch_add(AT_ONCE as u64, Ordering::Relaxed);
            sleep_ms(10);
        }
    }
}

fn resident_kb(process: u32) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{process}/status")).unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS:")).unwrap_or_default();
    line.split_whitespace().nth(1).and_then(|n| n.parse().ok()).unwrap_or(0)
}

pub fn run(start: &Start) -> bool {
    let record = Record::new(&start.record);
    let site = Site { sockets: 512, memory_mb: 48, ..Site::piedmont(HOSTS) };
    let hosts: Vec<Host> =
        (0..HOSTS).map(|k| Host::start(&format!("s-0000000{k}"), k, None, &record)).collect();
    for host in &hosts {
        host.state.lock().unwrap().act = Act::Answer(80);
        // They cannot use what bad clients ask for.
        host.state.lock().unwrap().unknown = Some(("b".into(), 80));
        host.life.store(5_000, Ordering::SeqCst);
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
    let viewer = Viewer::connect(addr, &inbox, &record).unwrap_or_else(|| cannot_run("no connection"));
    sleep_ms(1_500);
    record.add(&format!("resident: {} kB", resident_kb(gateway.child.id())));

    let until = Instant::now() + LONGEST;
    let sent = Arc::new(AtomicU64::new(0));
    if start.trouble {
        for _ in 0..CLIENTS {
            let sent = sent.clone();
            thread::spawn(move || bad_client(addr, until, &sent));
        }
    }
    let (mut ids, mut most, mut k) = (Ids::new(), 0, 0);
    let bound = site.memory_mb * 1_024;
    while Instant::now() < until && most <= bound {
        if k % 25 == 0 {
            viewer.set_up(&Ask {
                session: ids.next(),
                class: if k % 100 == 0 { "first-listen" } else { "replay" }.into(),
                title: format!("m{:06x}", k % 40),
                patience: 3_000,
                figures: format!("home:0;copies:{HOSTS};top:0;viewer:{:016x}", ids.next()),
            });
        }
        k += 1;
        let resident = resident_kb(gateway.child.id());
        if gateway.ended() {
            record.add("BROKEN: the gateway has ended by itself");
            return true;
        }
        most = most.max(resident);
        if k % 50 == 0 {
            let sent = sent.load(Ordering::Relaxed);
            record.add(&format!(
                "resident: {resident} kB; {sent} requests were sent and withdrawn by bad clients"
            ));
        }
        sleep_ms(20);
    }
    record.add(&format!("at most {most} kB resident, of {} MB", site.memory_mb));
    let broken = most > bound;
    if broken {
        record.add("BROKEN: over limits.memory_mb; the platform kills the gateway");
    }
    gateway.stop();
    broken
}
