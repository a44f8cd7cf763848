//! Answers that understate their length by their last line are served without it.

use std::collections::BTreeSet;
use std::io;
use std::time::Duration;

use crate::Place;
use crate::gateway::{Gateway, Settings};
use crate::world::{Does, Happened, World, description, set_up};

const HOSTS: usize = 16;
const VIEWERS: u64 = 60;
/// One answer in five of each host is spoilt.
const SPOILT: usize = 5;
/// The last line of an answer comes so much later than the rest, as the network may deliver it; it does so for whole
/// answers as well.
const PAUSE: Duration = Duration::from_millis(20);

pub fn play(place: &Place) -> io::Result<Vec<String>> {
    let mut world = World::new(&place.record)?;
    for number in 0..HOSTS {
        world.add_host(number % 4)?;
    }
    world.pieces = Some(PAUSE);
    let all: Vec<_> = (0..HOSTS).collect();
    world.tell(&all);
    if place.trouble {
        for (number, host) in world.hosts.iter_mut().enumerate() {
            // Each host begins elsewhere, so that as many are spoilt at any time.
            let answers = (0..VIEWERS as usize).map(|k| (k + number) % SPOILT == 0);
            host.next =
                answers.map(|spoilt| if spoilt { Does::Understates } else { Does::Answers }).collect();
        }
    }
    let mut gateway = Gateway::new(&place.root, &place.folder, Settings::small())?;
    let viewers = gateway.start(&mut world)?;
    world.pass(Duration::from_secs(2));
    for k in 0..VIEWERS {
        let session = 0xc070_0000_0000_0000 + k;
        let figures = format!("home:0;copies:4;top:1;viewer:{k:016x}");
        world.record.say(format!("a viewer asks: {session:016x}"));
        let bytes = set_up(session, "greeting", 4_000, "7f3a9c21e0b4d655", &figures);
        world.send(viewers, &bytes);
        world.pass(Duration::from_millis(200));
    }
    world.pass(Duration::from_secs(5));
    let names: Vec<_> = world.hosts.iter().map(|host| host.name.clone()).collect();
    let (mut broken, mut served) = (Vec::new(), 0);
    for (_, happened) in &world.happened {
        let Happened::Answer { session, description: given, .. } = happened else { continue };
        served += 1;
        let made: BTreeSet<_> = names.iter().map(|name| description(*session, name)).collect();
        if !made.contains(given) {
            broken.push(format!("{session:016x} was served with {given:?}, which no media host made"));
        }
    }
    let line = format!("{} of {served} served with what no media host made", broken.len());
    world.record.say(&line);
    println!("{line}");
    if gateway.ended() {
        return Err(io::Error::other("the gateway has ended"));
    }
    if served < 20 {
        return Err(io::Error::other("too few viewers were served"));
    }
    Ok(broken)
}
