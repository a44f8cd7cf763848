//! A resting connection of viewers ends; the front has another one open, on which it only tests.

use std::sync::atomic::Ordering;

use crate::Start;
use crate::kit::*;
use crate::site::Site;

const HOSTS: usize = 4;
const SESSIONS: usize = 6;
/// What has stood and is over must be released towards its client within this time of the media host's release ...
const RELEASED_WITHIN_US: u64 = 1_000_000;
/// ... and within this time of its end if no release could be sent.
const LATEST_US: u64 = 8_000_000;
const SLACK_US: u64 = 50_000;

pub fn run(start: &Start) -> bool {
    let record = Record::new(&start.record);
    let site = Site::piedmont(HOSTS);
    let hosts: Vec<Host> =
        (0..HOSTS).map(|k| Host::start(&format!("s-0000000{k}"), k, None, &record)).collect();
    hosts.iter().for_each(|host| host.life.store(200_000, Ordering::SeqCst));
    let journal = Journal::start(&record);
    journal.tell(true, &hosts.iter().map(|h| h.entry("Ready", 0)).collect::<Vec<_>>());

    let inbox = Inbox::default();
    let addr = free_address();
    let folder = temporary_folder();
    let config = site.config(addr, journal.addr, &journal.known());
    let mut gateway = Gateway::start(&start.root, &folder, addr, &config, &record);
    gateway.wait_ready(&inbox);
    let connect = || Viewer::connect(addr, &inbox, &record).unwrap_or_else(|| cannot_run("no connection"));
    let (tests, viewer) = (connect(), connect());
    let mut ids = Ids::new();
    let test = |seconds: u64| {
        for _ in 0..seconds {
            if !tests.test(0xfeed) {
                cannot_run("the gateway has closed the connection of the tests");
            }
            sleep_ms(1_000);
        }
    };
    test(2);
    let sessions: Vec<u64> = (0..SESSIONS).map(|_| ids.next()).collect();
    for (k, session) in sessions.iter().enumerate() {
        viewer.set_up(&Ask {
            session: *session,
            class: if k % 3 == 0 { "first-listen" } else { "replay" }.into(),
            title: format!("m{k:06x}"),
            patience: 3_000,
            figures: format!("home:0;copies:{HOSTS};top:3;viewer:{:016x}", ids.next()),
        });
        sleep_ms(200);
    }
    test(3);
    let stands: Vec<u64> = sessions.into_iter().filter(|s| inbox.served(*s).is_some()).collect();
    if stands.is_empty() {
        cannot_run("no session stands");
    }
    if start.trouble {
        viewer.end();
    }
    test(5);
    let mut ended = Vec::new();
    for session in &stands {
        for host in hosts.iter().filter(|host| host.standing().contains(session)) {
            ended.push((*session, now()));
            host.end(*session, 16);
        }
    }
    test(12);
    if gateway.ended() {
        cannot_run("the gateway has ended");
    }
    let over = now();
    gateway.stop();
    let mut broken = 0;
    for (session, end) in &ended {
        let released = inbox.released(*session).filter(|at| *at < over);
        match released {
            Some(at) if at <= end + RELEASED_WITHIN_US + SLACK_US => {}
            Some(at) => record.add(&format!(
                "late: {session:016x} was released {:.1} s after its end",
                (at - end) as f64 / 1e6
            )),
            None => {
                record.add(&format!("{session:016x} was not released in {:.1} s", (over - end) as f64 / 1e6))
            }
        }
        if released.is_none_or(|at| at > end + LATEST_US + SLACK_US) {
            broken += 1;
            record.add(&format!("BROKEN: {session:016x} is over, and its viewer was not told within 8 s"));
        }
    }
    record.add(&format!("{} sessions ended by their hosts, {broken} left standing", ended.len()));
    if ended.is_empty() {
        cannot_run("no session was ended");
    }
    broken > 0
}
