//! Bad clients hold all connections that the gateway admits, others say nothing: usual viewers wait to be accepted.

use std::collections::BTreeMap;
use std::io;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc;
use std::thread;
use std::time::{Duration, Instant};

use crate::Place;
use crate::asking::Asking;
use crate::gateway::{Gateway, Settings};
use crate::world::{Happened, World, hold_descriptors, set_up};

const HOSTS: usize = 16;
/// Others that connect and say nothing.
const SILENT: usize = 300;
/// Usual viewers come on connections of their own.
const EVERY: Duration = Duration::from_millis(250);
const PATIENCE_MS: u64 = 3_000;
const LATE: Duration = Duration::from_millis(550);
const USUAL: u64 = 60;

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
    let mut asking = place.trouble.then(|| Asking::start(gateway.addr));
    world.pass(Duration::from_secs(1));
    let (came_up, coming) = mpsc::channel();
    let silent = Arc::new(AtomicBool::new(false));
    let mut written: BTreeMap<u64, Instant> = BTreeMap::new();
    let began = Instant::now();
    let mut k = 0_u64;
    while began.elapsed() < EVERY * USUAL as u32 + Duration::from_secs(6) {
        if k == 8 && place.trouble && !silent.swap(true, Ordering::Relaxed) {
            world.record.say(format!("{SILENT} clients connect and say nothing"));
            for _ in 0..SILENT {
                let to = gateway.addr;
                thread::spawn(move || {
                    let stream = TcpStream::connect_timeout(&to, Duration::from_secs(20));
                    thread::sleep(Duration::from_secs(40));
                    drop(stream);
                });
            }
        }
        if k < USUAL && began.elapsed() >= EVERY * k as u32 {
            let (to, came_up, session) = (gateway.addr, came_up.clone(), 0x600d_0000_0000_0000 + k);
            thread::spawn(move || {
                let stream = TcpStream::connect_timeout(&to, Duration::from_secs(3));
                let _ = came_up.send((session, stream));
            });
            k += 1;
        }
        while let Ok((session, stream)) = coming.try_recv() {
            let Ok(stream) = stream else {
                world.record.say(format!("the connection for {session:016x} does not come up"));
                continue;
            };
            let viewer = world.adopt(stream);
            world.record.say(format!("a viewer asks on connection {viewer}: {session:016x}"));
            let figures = "home:0;copies:4;top:3;viewer:0000000000000001";
            let bytes = set_up(session, "replay", PATIENCE_MS, "7f3a9c21e0b4d655", figures);
            written.insert(session, Instant::now());
            world.send(viewer, &bytes);
        }
        world.pass(Duration::from_millis(5));
    }
    if let Some(asking) = &mut asking {
        asking.end();
    }
    let mut broken = Vec::new();
    for (session, at) in &written {
        let heard = world.happened.iter().find_map(|(at, happened)| match happened {
            Happened::Answer { session: of, .. } | Happened::Release { session: of, .. } if of == session => {
                Some(*at)
            }
            _ => None,
        });
        let over = *at + Duration::from_millis(PATIENCE_MS);
        match heard {
            Some(heard) if heard <= over + LATE => {}
            Some(heard) => {
                broken.push(format!("{session:016x} was answered {:.1?} behind its time", heard - over))
            }
            None => broken.push(format!("{session:016x} was not answered")),
        }
    }
    let line = format!("{} of {} requests of usual viewers are lost", broken.len(), written.len());
    world.record.say(&line);
    println!("{line}");
    if gateway.ended() {
        return Err(io::Error::other("the gateway has ended"));
    }
    Ok(broken)
}
