//! Six in ten media hosts of a fleet of the largest size are replaced within 7 s; requests run out of time meanwhile.

use std::collections::BTreeMap;
use std::io;
use std::time::{Duration, Instant};

use crate::Place;
use crate::gateway::{Gateway, Settings};
use crate::world::{Happened, World, hold_descriptors, set_up, unix_ms};

/// Most media hosts that a fleet may have.
const HOSTS: usize = 3_200;
/// Hosts of a cell: four to eight.
const CELL: usize = 8;
/// Six in ten are replaced within 7 s.
const REPLACED: f64 = 0.6;
const WITHIN: Duration = Duration::from_secs(7);
/// The grace of the settings, with the protocol page's 50 ms.
const GRACE: Duration = Duration::from_millis(300);
/// Viewers come so often, and wait so long.
const EVERY: Duration = Duration::from_millis(125);
const PATIENCE_MS: u64 = 800;
/// An answer that is later than this behind its request's time is lost, with the protocol page's 50 ms.
const LATE: Duration = Duration::from_millis(550);

pub fn play(place: &Place) -> io::Result<Vec<String>> {
    let replaced = if place.trouble { (HOSTS as f64 * REPLACED) as usize } else { 0 };
    if !hold_descriptors((HOSTS + replaced) as u64 + 1_000) {
        return Err(io::Error::other("too few descriptors for the media hosts"));
    }
    let mut world = World::new(&place.record)?;
    let cells = HOSTS / CELL;
    for host in 0..HOSTS {
        world.add_host(host % cells)?;
    }
    let all: Vec<_> = (0..HOSTS).collect();
    world.tell(&all);
    let settings = Settings { cells, racks: HOSTS / 5, balancers: 900, ..Settings::small() };
    let mut gateway = Gateway::new(&place.root, &place.folder, settings)?;
    let viewers = gateway.start(&mut world)?;
    world.pass(Duration::from_secs(3));
    let title = "7f3a9c21e0b4d655";
    let mut written: BTreeMap<u64, Instant> = BTreeMap::new();
    let mut told: BTreeMap<usize, Instant> = BTreeMap::new();
    let mut gone: Vec<(Instant, usize)> = Vec::new();
    world.longest_pause = Duration::ZERO;
    let began = Instant::now();
    let (calm, all_over) = (Duration::from_secs(2), Duration::from_secs(16));
    let (mut k, mut replaced_now) = (0_u64, 0);
    while began.elapsed() < all_over {
        // What is due of the replacement: an old host drains and its successor starts; then the old one is gone.
        let part = (began.elapsed().saturating_sub(calm).as_secs_f64() / WITHIN.as_secs_f64()).min(1.0);
        let due = (replaced as f64 * part) as usize;
        while replaced_now < due {
            let old = replaced_now;
            replaced_now += 1;
            world.hosts[old].health = "Terminating";
            world.tell(&[old]);
            told.insert(old, Instant::now());
            let block = world.hosts[old].block;
            let new = world.add_host(block)?;
            world.hosts[new].born_ms = unix_ms();
            world.tell(&[new]);
            gone.push((Instant::now() + Duration::from_secs(2), old));
        }
        while gone.first().is_some_and(|(at, _)| *at <= Instant::now()) {
            let (_, old) = gone.remove(0);
            world.hosts[old].health = "Gone";
            world.tell(&[old]);
        }
        if Instant::now() >= began + EVERY * k as u32 {
            let session = 0xc0a0_0000_0000_0000 + k;
            let figures = format!("home:{};copies:4;top:3;viewer:{k:016x}", (k as usize * 7) % cells);
            let bytes = set_up(session, "replay", PATIENCE_MS, title, &figures);
            written.insert(session, Instant::now());
            world.send(viewers, &bytes);
            k += 1;
        }
        world.pass(Duration::from_millis(5));
    }
    world.pass(Duration::from_secs(5));
    let pause = world.longest_pause;
    let mut broken = Vec::new();
    let mut most = Duration::ZERO;
    for (at, happened) in &world.happened {
        let Happened::SetUp { host, session } = happened else {
            continue;
        };
        let Some(told) = told.get(host) else { continue };
        let behind = at.saturating_duration_since(*told);
        most = most.max(behind);
        if behind > GRACE {
            broken.push(format!(
                "host {host} got set-up {session:016x} {behind:.1?} after it was told to drain"
            ));
        }
    }
    let drains = broken.len();
    for (session, at) in &written {
        let heard = world.happened.iter().find_map(|(at, happened)| match happened {
            Happened::Answer { session: of, .. } | Happened::Release { session: of, .. } if of == session => {
                Some(*at)
            }
            _ => None,
        });
        let over = *at + Duration::from_millis(PATIENCE_MS);
        if heard.is_none_or(|heard| heard > over + LATE) {
            broken.push(format!("{session:016x} was not answered in time"));
        }
    }
    let served = world.happened.iter().filter(|(_, h)| matches!(h, Happened::Answer { .. })).count();
    let line = format!(
        "{} set-ups asked for, {served} served, {drains} to hosts that drain, {} not answered in time; latest {most:.1?} behind; the stand-ins paused for {pause:.1?} at most",
        written.len(),
        broken.len() - drains
    );
    world.record.say(&line);
    println!("{line}");
    if gateway.ended() {
        return Err(io::Error::other("the gateway has ended"));
    }
    Ok(broken)
}
