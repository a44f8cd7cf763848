//! Some good answers arrive spoilt: their length does not fit.

use crate::Start;
use crate::kit::*;
use crate::site::Site;

const HOSTS: usize = 4;
/// One in so many answers of each host tells a length that does not fit.
const SPOILT: u64 = 5;
/// An answer comes in two pieces, the second so much later.
const PIECE_MS: u64 = 20;

pub fn run(start: &Start) -> bool {
    let record = Record::new(&start.record);
    let site = Site::piedmont(HOSTS);
    let hosts: Vec<Host> =
        (0..HOSTS).map(|k| Host::start(&format!("s-0000000{k}"), k, None, &record)).collect();
    for host in &hosts {
        let mut state = host.state.lock().unwrap();
        state.pieces = Some(PIECE_MS);
        state.understates = if start.trouble { SPOILT } else { 0 };
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
    let mut ids = Ids::new();
    let mut asked = Vec::new();
    for k in 0..60 {
        let session = ids.next();
        asked.push(session);
        viewer.set_up(&Ask {
            session,
            class: if k % 4 == 0 { "first-listen" } else { "replay" }.into(),
            title: format!("m{:06x}", k % 20),
            patience: 3_000,
            figures: format!("home:0;copies:{HOSTS};top:0;viewer:{:016x}", ids.next()),
        });
        sleep_ms(250);
    }
    sleep_ms(3_000);
    if gateway.ended() {
        cannot_run("the gateway has ended");
    }
    gateway.stop();
    let (mut served, mut broken) = (0, 0);
    for session in &asked {
        let came = inbox.of(*session);
        let Some(answer) = came.iter().find(|came| came.kind == 9) else { continue };
        served += 1;
        if !hosts.iter().any(|host| description(&host.name, *session) == answer.text) {
            broken += 1;
            record.add(&format!(
                "BROKEN: {session:016x} was served with {:?}, which no media host made for it",
                answer.text
            ));
        }
    }
    record.add(&format!("{} requests, {served} served, {broken} with what no media host made", asked.len()));
    if served == 0 {
        cannot_run("nothing was served");
    }
    broken > 0
}
