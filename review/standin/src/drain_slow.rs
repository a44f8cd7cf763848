//! Discovery is slow: the journal service answers each call after a second and a half.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use crate::Start;
use crate::kit::*;
use crate::site::Site;

const CELLS: usize = 6;
/// Titles are held by so many cells in a row.
const COPIES: usize = 2;
/// The journal service answers a call after this time.
const SLOW_MS: u64 = 1_500;
/// What the journal service has to tell counts as told after this time at the latest.
const TOLD_AFTER_US: u64 = 4_000_000;
const SLACK_US: u64 = 50_000;

fn home_of(title: &str) -> usize {
    title.split('-').next_back().and_then(|n| n.parse().ok()).unwrap_or(0)
}

fn holds(cell: usize, home: usize) -> bool {
    (cell + CELLS - home) % CELLS < COPIES
}

pub fn run(start: &Start) -> bool {
    let record = Record::new(&start.record);
    let site = Site::piedmont(CELLS);
    let hosts: Vec<Host> =
        (0..CELLS).map(|k| Host::start(&format!("s-0000000{k}"), k, None, &record)).collect();
    let journal = Journal::start(&record);
    journal.tell(true, &hosts.iter().map(|h| h.entry("Ready", 0)).collect::<Vec<_>>());
    journal.delay.store(if start.trouble { SLOW_MS } else { 0 }, Ordering::SeqCst);
    hosts.iter().for_each(|host| host.life.store(6_000, Ordering::SeqCst));

    let inbox = Inbox::default();
    let addr = free_address();
    let folder = temporary_folder();
    let config = site.config(addr, journal.addr, &journal.known());
    let mut gateway = Gateway::start(&start.root, &folder, addr, &config, &record);
    gateway.wait_ready(&inbox);
    let viewer = Viewer::connect(addr, &inbox, &record).unwrap_or_else(|| cannot_run("no connection"));

    let mut ids = Ids::new();
    let began = Instant::now();
    let passed = |seconds: u64| began.elapsed() >= Duration::from_secs(seconds);
    let (mut drained, mut removed) = (None, None);
    let mut successor: Option<Host> = None;
    let mut k = 0;
    while !passed(40) {
        if drained.is_none() && passed(12) {
            drained = Some(journal.tell(false, &[hosts[0].entry("Terminating", 0)]));
        }
        if successor.is_none() && passed(24) {
            hosts[0].die();
            sleep_ms(500);
            let host = Host::start("s-000000aa", 3, Some(hosts[0].addr), &record);
            let entries = [hosts[0].entry("Gone", 0), host.entry("Ready", now() / 1000)];
            removed = Some(journal.tell(false, &entries));
            successor = Some(host);
        }
        let home = k % CELLS;
        k += 1;
        viewer.set_up(&Ask {
            session: ids.next(),
            class: if k % 4 == 0 { "first-listen" } else { "replay" }.into(),
            title: format!("m{:06x}-{home}", k / CELLS % 40),
            patience: 3_000,
            figures: format!("home:{home};copies:{COPIES};top:0;viewer:{:016x}", ids.next()),
        });
        sleep_ms(170);
    }
    if gateway.ended() {
        cannot_run("the gateway has ended");
    }
    gateway.stop();
    judge(&record, &hosts[0], successor, drained.unwrap(), removed.unwrap(), site.grace_ms * 1000)
}

fn judge(
    record: &Arc<Record>,
    host: &Host,
    successor: Option<Host>,
    drained: u64,
    removed: u64,
    grace: u64,
) -> bool {
    let late = |told: u64| told + TOLD_AFTER_US + grace + SLACK_US;
    let before = host.arrived.lock().unwrap().iter().filter(|a| a.first < drained).count();
    record.add(&format!("{} got {before} set-ups before the list told of its end", host.name));
    if before == 0 {
        cannot_run("the host got no set-up before it drained");
    }
    let mut broken = 0;
    for a in host.arrived.lock().unwrap().iter().filter(|a| a.first > late(drained)) {
        broken += 1;
        record.add(&format!(
            "BROKEN: set-up {:016x} reached {} at {:.1} ms, {:.1} s after the journal service had its drain",
            a.session,
            a.host,
            record.ms(a.first),
            (a.first - drained) as f64 / 1e6
        ));
    }
    for a in successor.iter().flat_map(|h| h.arrived.lock().unwrap().clone()) {
        if a.first > late(removed) && !holds(3, home_of(&a.title)) {
            broken += 1;
            record.add(&format!(
                "BROKEN: set-up {:016x}, title {}, meant for {}, reached its successor, which does not hold it, at {:.1} ms, \
                 {:.1} s after the journal service had told of it",
                a.session, a.title, host.name, record.ms(a.first), (a.first - removed) as f64 / 1e6
            ));
        }
    }
    record.add(&format!("{broken} set-ups later than the rule allows"));
    broken > 0
}
