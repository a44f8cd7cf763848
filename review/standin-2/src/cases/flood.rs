//! Bad clients send hundreds of requests at once; the requests of usual viewers run out of time meanwhile.

use std::collections::BTreeMap;
use std::io;
use std::time::{Duration, Instant};

use crate::Place;
use crate::gateway::{Gateway, Settings};
use crate::world::{Happened, World, hold_descriptors, set_up};

/// Most media hosts that a fleet may have.
const HOSTS: usize = 3_200;
/// Hosts of a cell: four to eight.
const CELL: usize = 8;
const BAD_CLIENTS: usize = 40;
/// "Hundreds of requests at once."
const AT_ONCE: u64 = 300;
/// They wait for longer than any class does.
const BAD_PATIENCE_MS: u64 = 60_000;
/// Usual viewers come so often, and wait so long.
const EVERY: Duration = Duration::from_millis(200);
const PATIENCE_MS: u64 = 800;
/// An answer that is later than this behind its request's time is lost, with the protocol page's 50 ms.
const LATE: Duration = Duration::from_millis(550);
const USUAL: u64 = 50;

pub fn play(place: &Place) -> io::Result<Vec<String>> {
    if !hold_descriptors(HOSTS as u64 + 600) {
        return Err(io::Error::other("too few descriptors for the media hosts"));
    }
    let mut world = World::new(&place.record)?;
    // The hosts of one cell, the last, are gone.
    let cells = HOSTS / CELL + 1;
    for host in 0..HOSTS {
        world.add_host(host % (cells - 1))?;
    }
    let all: Vec<_> = (0..HOSTS).collect();
    world.tell(&all);
    let settings = Settings { cells, racks: HOSTS / 5, balancers: 900, ..Settings::small() };
    let mut gateway = Gateway::new(&place.root, &place.folder, settings)?;
    let viewers = gateway.start(&mut world)?;
    world.pass(Duration::from_secs(3));
    let title = "7f3a9c21e0b4d655";
    let empty_cell = format!("home:{};copies:1;top:3;viewer:0000000000000bad", cells - 1);
    let mut bad = Vec::new();
    if place.trouble {
        for _ in 0..BAD_CLIENTS {
            bad.push(world.connect(gateway.addr)?);
        }
    }
    let mut written: BTreeMap<u64, Instant> = BTreeMap::new();
    for k in 0..USUAL {
        if k == 5 {
            for (number, client) in bad.iter().enumerate() {
                let first = 0xbad0_0000_0000_0000 + number as u64 * 0x1_0000;
                let all = (first..first + AT_ONCE)
                    .flat_map(|id| set_up(id, "replay", BAD_PATIENCE_MS, title, &empty_cell));
                let bytes: Vec<u8> = all.collect();
                world.send(*client, &bytes);
            }
            world.record.say(format!("{} bad clients send {AT_ONCE} requests each, at once", bad.len()));
        }
        let session = 0x600d_0000_0000_0000 + k;
        let figures = format!("home:{};copies:4;top:3;viewer:{k:016x}", (k as usize * 7) % (cells - 5));
        let bytes = set_up(session, "replay", PATIENCE_MS, title, &figures);
        world.record.say(format!("a viewer asks: {session:016x}, waits for {PATIENCE_MS} ms"));
        written.insert(session, Instant::now());
        world.send(viewers, &bytes);
        world.pass(EVERY);
    }
    world.run(Duration::from_secs(20), |world| {
        let open = |session: &u64| answered(world, *session).is_none();
        !written.keys().any(open)
    });
    let mut broken = Vec::new();
    for (session, at) in &written {
        match answered(&world, *session) {
            Some(heard) => {
                let over = *at + Duration::from_millis(PATIENCE_MS);
                let late = heard.saturating_duration_since(over);
                if late > LATE {
                    broken.push(format!("{session:016x} was answered {late:.1?} behind its time"));
                }
            }
            None => broken.push(format!("{session:016x} was never answered")),
        }
    }
    world.record.say(format!("{} of {} requests of usual viewers are lost", broken.len(), written.len()));
    println!("{} of {} requests of usual viewers are lost", broken.len(), written.len());
    if gateway.ended() {
        return Err(io::Error::other("the gateway has ended"));
    }
    Ok(broken)
}

fn answered(world: &World, of: u64) -> Option<Instant> {
    world.happened.iter().find_map(|(at, happened)| match happened {
        Happened::Answer { session, .. } | Happened::Release { session, .. } if *session == of => Some(*at),
        _ => None,
    })
}
