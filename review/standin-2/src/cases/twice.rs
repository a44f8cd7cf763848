//! Two requests under one number.

use std::io;
use std::time::Duration;

use crate::Place;
use crate::gateway::{Gateway, Settings};
use crate::world::{Happened, World, set_up};

const HOSTS: usize = 16;
const CLIENTS: u64 = 10;

pub fn play(place: &Place) -> io::Result<Vec<String>> {
    let mut world = World::new(&place.record)?;
    for number in 0..HOSTS {
        world.add_host(number % 4)?;
    }
    let all: Vec<_> = (0..HOSTS).collect();
    world.tell(&all);
    let mut gateway = Gateway::new(&place.root, &place.folder, Settings::small())?;
    gateway.start(&mut world)?;
    world.pass(Duration::from_secs(2));
    let mut clients = Vec::new();
    for number in 0..CLIENTS {
        let viewer = world.connect(gateway.addr)?;
        let first = 0x7ec1_0000_0000_0000 + number * 16;
        let second = if place.trouble { first } else { first + 1 };
        let mut bytes = Vec::new();
        for (session, title) in [(first, "7f3a9c21e0b4d655"), (second, "9d41c07a5be2f318")] {
            world.record.say(format!("client {viewer} asks: {session:016x}, title {title}"));
            let figures = "home:0;copies:4;top:3;viewer:0000000000000001";
            bytes.extend(set_up(session, "replay", 3_000, title, figures));
        }
        world.send(viewer, &bytes);
        clients.push((viewer, first, second));
        world.pass(Duration::from_millis(200));
    }
    world.pass(Duration::from_secs(4));
    let mut broken = Vec::new();
    for (viewer, first, second) in clients {
        let finals = |of: u64| -> Vec<&str> {
            let to = |happened: &Happened| match happened {
                Happened::Answer { viewer: at, session } if (*at, *session) == (viewer, of) => Some("served"),
                Happened::Release { viewer: at, session, .. } if (*at, *session) == (viewer, of) => {
                    Some("refused or failed")
                }
                _ => None,
            };
            world.happened.iter().filter_map(|(_, happened)| to(happened)).collect()
        };
        let heard = finals(first);
        if place.trouble && heard.contains(&"served") {
            broken.push(format!("client {viewer}, two requests under {first:016x}: {heard:?}"));
        }
        if !place.trouble {
            for session in [first, second] {
                if finals(session).len() != 1 {
                    broken.push(format!("client {viewer}, {session:016x}: {:?}", finals(session)));
                }
            }
        }
    }
    if gateway.ended() {
        return Err(io::Error::other("the gateway has ended"));
    }
    Ok(broken)
}
