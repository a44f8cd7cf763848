//! Seats of a title are given away while a session of it still stands at a media host that hangs.

use std::collections::BTreeSet;
use std::io;
use std::time::Duration;

use crate::Place;
use crate::gateway::{Gateway, Settings};
use crate::world::{Happened, Mode, World, release, set_up};

const CLASS: &str = "first-listen";
const TITLE: &str = "7f3a9c21e0b4d655";
const SEATS: usize = 2;
/// One of twenty media hosts hangs, for less than the 6 s for which hosts fall silent.
const HOSTS: usize = 20;
const HANGS_FOR: Duration = Duration::from_secs(5);

/// Sessions of the title that have been set up at hosts, or are being, and have not come to their end there.
fn held(world: &World) -> BTreeSet<u64> {
    let all = world.hosts.iter().flat_map(|host| &host.sessions);
    all.filter(|(_, s)| s.class == CLASS && s.title == TITLE).map(|(session, _)| *session).collect()
}

pub fn play(place: &Place) -> io::Result<Vec<String>> {
    let mut world = World::new(&place.record)?;
    for number in 0..HOSTS {
        world.add_host(number % 4)?;
    }
    let all: Vec<_> = (0..HOSTS).collect();
    world.tell(&all);
    let settings = Settings { seats: SEATS as f64, ..Settings::small() };
    let mut gateway = Gateway::new(&place.root, &place.folder, settings)?;
    let viewers = gateway.start(&mut world)?;
    world.pass(Duration::from_secs(2));
    let ask =
        |session: u64| set_up(session, CLASS, 3_000, TITLE, "home:0;copies:4;top:3;viewer:0000000000000001");
    let mut next = 0x5ea7_0000_0000_0001_u64;
    let mut seated = Vec::new();
    // Seats are filled.
    while seated.len() < SEATS {
        if next > 0x5ea7_0000_0000_0020 {
            return Err(io::Error::other("the seats are not filled"));
        }
        let (session, from) = (next, world.happened.len());
        next += 1;
        world.record.say(format!("a viewer asks: {session:016x}"));
        let bytes = ask(session);
        world.send(viewers, &bytes);
        world.run(Duration::from_secs(4), |world| answered(world, from, session).is_some());
        if answered(&world, from, session) == Some(true) {
            seated.push(session);
        }
    }
    let leaves = seated[0];
    let host = world.whereabouts(leaves)[0];
    if place.trouble {
        world.record.say(format!("host {host} hangs"));
        world.hosts[host].mode = Mode::Hangs;
    }
    world.pass(Duration::from_millis(300));
    world.record.say(format!("the viewer of {leaves:016x} ends it"));
    world.send(viewers, &release(leaves, 16));
    // Viewers go on asking for the title, as they come again after refusals.
    let mut broken = Vec::new();
    let mut most = 0;
    let mut asked = Duration::ZERO;
    while asked < HANGS_FOR - Duration::from_millis(300) {
        let session = next;
        next += 1;
        world.record.say(format!("a viewer asks: {session:016x}"));
        let bytes = ask(session);
        world.send(viewers, &bytes);
        world.pass(Duration::from_millis(400));
        asked += Duration::from_millis(400);
        let now = held(&world);
        if now.len() > SEATS && now.len() > most {
            most = now.len();
            let line = format!(
                "{} sessions of title {TITLE} and class {CLASS} are held, the seats are {SEATS}: {now:016x?}; \
                 {leaves:016x} stands at host {host}",
                now.len()
            );
            world.record.say(&line);
            broken.push(line);
        }
    }
    if place.trouble {
        world.hosts[host].mode = Mode::Serves;
        world.record.say(format!("host {host} goes on"));
    }
    world.pass(Duration::from_secs(1));
    world.record.say(format!("held at the end: {:016x?}", held(&world)));
    if gateway.ended() {
        return Err(io::Error::other("the gateway has ended"));
    }
    Ok(broken)
}

fn answered(world: &World, from: usize, of: u64) -> Option<bool> {
    world.happened[from..].iter().find_map(|(_, happened)| match happened {
        Happened::Answer { session, .. } if *session == of => Some(true),
        Happened::Release { session, .. } if *session == of => Some(false),
        _ => None,
    })
}
