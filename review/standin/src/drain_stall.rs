//! The gateway stands still for a while, and finds all that came meanwhile.

use crate::Start;
use crate::kit::*;
use crate::site::Site;

const HOSTS: usize = 6;
/// The gateway stands still for so long.
const STILL_MS: u64 = 1_900;
const SLACK_US: u64 = 50_000;

pub fn run(start: &Start) -> bool {
    let record = Record::new(&start.folder.join("record.txt"));
    let site = Site::galway(HOSTS);
    let hosts: Vec<Host> =
        (0..HOSTS).map(|k| Host::start(&format!("s-0000000{k}"), k, None, &record)).collect();
    let journal = Journal::start(&record);
    journal.tell(true, &hosts.iter().map(|h| h.entry("Ready", 0)).collect::<Vec<_>>());

    let inbox = Inbox::default();
    let addr = free_address();
    let folder = temporary_folder();
    let config = site.config(addr, journal.addr, &journal.known());
    let mut gateway = Gateway::start(&start.root, &folder, addr, &config, &record);
    gateway.wait_ready(&inbox);
    let viewer = Viewer::connect(addr, &inbox, &record).unwrap_or_else(|| cannot_run("no connection"));
    let mut ids = Ids::new();
    let mut k = 0;
    let mut ask = |count: usize, every_ms: u64| {
        for _ in 0..count {
            k += 1;
            viewer.set_up(&Ask {
                session: ids.next(),
                class: if k % 3 == 0 { "sheet-zoom" } else { "label-clip" }.into(),
                title: format!("c{:06x}", k % 50),
                patience: if k % 3 == 0 { 5_000 } else { 3_000 },
                figures: format!("home:0;copies:{HOSTS};top:3;viewer:{:016x}", ids.next()),
            });
            sleep_ms(every_ms);
        }
    };
    sleep_ms(2_000);
    ask(12, 150);
    let mut told = Vec::new();
    for host in hosts.iter().take(4) {
        ask(6, 250);
        sleep_ms(300);
        if start.trouble {
            gateway.signal("STOP");
        }
        sleep_ms(100);
        told.push((host.clone(), journal.tell(false, &[host.entry("Terminating", 0)])));
        // Later than the grace allows a set-up to the host.
        sleep_ms(site.grace_ms + 200);
        ask(6, 50);
        sleep_ms(STILL_MS - 100 - site.grace_ms - 200 - 6 * 50);
        if start.trouble {
            gateway.signal("CONT");
        }
        sleep_ms(500);
    }
    if gateway.ended() {
        cannot_run("the gateway has ended");
    }
    gateway.stop();
    let mut broken = 0;
    for (host, told) in &told {
        let arrived = host.arrived.lock().unwrap();
        let late = told + site.grace_ms * 1000 + SLACK_US;
        for a in arrived.iter().filter(|a| a.first > late) {
            broken += 1;
            record.add(&format!(
                "BROKEN: set-up {:016x} reached {} at {:.1} ms, {:.3} s after the journal service had its drain",
                a.session, a.host, record.ms(a.first), (a.first - told) as f64 / 1e6
            ));
        }
    }
    record.add(&format!("{broken} set-ups later than the rule allows"));
    broken > 0
}
