//! Bad clients hold the connections that the gateway admits: ends of sessions are told to them.

use std::collections::BTreeMap;
use std::io;
use std::time::{Duration, Instant};

use crate::Place;
use crate::asking::Asking;
use crate::gateway::{Gateway, Settings};
use crate::world::{Happened, World, hold_descriptors, set_up};

const HOSTS: usize = 16;
const SESSIONS: u64 = 12;
const TITLE: &str = "7f3a9c21e0b4d655";
/// A viewer has to know within this time that its session is over, if it could not be told at once.
const TOLD: Duration = Duration::from_millis(8_050);

pub fn play(place: &Place) -> io::Result<Vec<String>> {
    if !hold_descriptors(900) {
        return Err(io::Error::other("too few descriptors for the clients"));
    }
    let mut world = World::new(&place.record)?;
    for number in 0..HOSTS {
        world.add_host(number % 4)?;
    }
    let all: Vec<_> = (0..HOSTS).collect();
    world.tell(&all);
    let mut gateway = Gateway::new(&place.root, &place.folder, Settings::small())?;
    gateway.start(&mut world)?;
    world.pass(Duration::from_secs(2));
    for k in 0..SESSIONS {
        let viewer = world.connect(gateway.addr)?;
        let session = 0x600d_0000_0000_0000 + k;
        world.record.say(format!("a viewer asks on connection {viewer}: {session:016x}"));
        let bytes = set_up(session, "replay", 3_000, TITLE, "home:0;copies:4;top:3;viewer:0000000000000001");
        world.send(viewer, &bytes);
        world.pass(Duration::from_millis(150));
    }
    let mut asking = place.trouble.then(|| Asking::start(gateway.addr));
    if place.trouble {
        world.record.say("bad clients ask, and ask again as soon as they are turned away");
    }
    world.pass(Duration::from_secs(3));
    let mut over: BTreeMap<u64, Instant> = BTreeMap::new();
    let mut next = 0x600d_0000_0001_0000_u64;
    for k in 0..40_u64 {
        let session = 0x600d_0000_0000_0000 + k;
        if k < SESSIONS
            && let Some(host) = world.whereabouts(session).first().copied()
        {
            world.end(host, session, 16);
            over.insert(session, Instant::now());
        }
        // Other viewers come meanwhile, on connections of their own that stay open.
        if let Ok(viewer) = world.connect(gateway.addr) {
            let bytes =
                set_up(next, "greeting", 4_000, TITLE, "home:0;copies:4;top:3;viewer:0000000000000002");
            next += 1;
            world.send(viewer, &bytes);
        }
        world.pass(Duration::from_millis(400));
    }
    if let Some(asking) = &mut asking {
        asking.end();
    }
    world.pass(Duration::from_secs(5));
    let mut broken = Vec::new();
    for (session, at) in &over {
        let heard = world.happened.iter().find_map(|(at, happened)| match happened {
            Happened::Release { session: of, .. } if of == session => Some(*at),
            _ => None,
        });
        match heard {
            Some(heard) if heard.saturating_duration_since(*at) <= TOLD => {}
            Some(heard) => broken
                .push(format!("{session:016x} was over for {:.1?} before its viewer was told", heard - *at)),
            None => broken.push(format!("{session:016x} is over and its viewer was never told")),
        }
    }
    let line = format!("{} of {} ends were not told in time", broken.len(), over.len());
    world.record.say(&line);
    println!("{line}");
    if gateway.ended() {
        return Err(io::Error::other("the gateway has ended"));
    }
    Ok(broken)
}
