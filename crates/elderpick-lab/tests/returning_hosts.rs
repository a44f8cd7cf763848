//! Hosts that were out of reach and are back, never named by the list, with a gateway that is told of a large fleet.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use elderpick_lab::platform::{Host, Journal, Viewers};
use elderpick_platform::viewer::{cause, kind};
use serde_json::json;

mod common;

use common::{World, run, world_of};

const HOSTS: usize = 3;
const GATEWAYS: usize = 300;
const OUTAGE: Duration = Duration::from_secs(3);
const OBSERVED: Duration = Duration::from_secs(8);
const SESSION: Duration = Duration::from_secs(1);
const PAUSE: Duration = Duration::from_millis(50);
/// A host that is back is used within this time where requests want it.
const USED_WITHIN: Duration = Duration::from_secs(3);
/// From this time on nine in ten requests are served.
const SERVED_FROM: Duration = Duration::from_secs(5);

/// Asks at a steady pace for as long as `time`, and ends each session after a second; gives when each request came and whether it
/// was served.
async fn ask_for(viewers: &mut Viewers, next: &mut u64, time: Duration) -> Vec<(Duration, bool)> {
    let (began, mut asked) = (tokio::time::Instant::now(), Vec::new());
    let mut standing = VecDeque::new();
    while began.elapsed() < time {
        *next += 1;
        let at = began.elapsed();
        viewers.ask(*next, "free", None).await.unwrap();
        let answer = loop {
            let message = viewers.next().await.unwrap().expect("an answer");
            if message.session == *next && message.kind != kind::RELEASE_HEARD {
                break message;
            }
        };
        let served = answer.kind == kind::ANSWER;
        if served {
            standing.push_back((began.elapsed() + SESSION, *next));
        }
        while let Some((_, session)) = standing.pop_front_if(|(due, _)| *due <= began.elapsed()) {
            viewers.release(session, cause::ENDED_BY_VIEWER).await.unwrap();
        }
        asked.push((at, served));
        tokio::time::sleep(PAUSE).await;
    }
    asked
}

fn set_ups(world: &World) -> Vec<usize> {
    let count = |host: &Host| host.seen().iter().filter(|(method, ..)| method == "SETUP").count();
    world.hosts.iter().map(count).collect()
}

/// When each host first got a set-up.
async fn watch_first_set_ups(world: &World, time: Duration) -> BTreeMap<usize, Duration> {
    let (before, began) = (set_ups(world), tokio::time::Instant::now());
    let mut first = BTreeMap::new();
    while began.elapsed() < time {
        for (host, count) in set_ups(world).into_iter().enumerate() {
            if count > before[host] {
                first.entry(host).or_insert(began.elapsed());
            }
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    first
}

#[test]
fn hosts_that_are_back_are_not_used_by_a_gateway_of_a_large_fleet() {
    run(async {
        let mut hosts = Vec::new();
        for number in 0..HOSTS {
            hosts.push(Host::start(&format!("s-{number}")).await.unwrap());
        }
        let told = |config: &mut serde_json::Value| {
            config["settings"]["balancers"] = json!(GATEWAYS);
        };
        let world = world_of("returning", hosts, Journal::start().await.unwrap(), 256, told).await;
        let mut viewers = Viewers::connect(world.gateway.address).await.unwrap();
        let mut next = 0;
        ask_for(&mut viewers, &mut next, Duration::from_secs(1)).await;
        world.hosts.iter().for_each(Host::die);
        ask_for(&mut viewers, &mut next, OUTAGE).await;
        for host in &world.hosts {
            host.come_back().await.unwrap();
        }
        let asking = ask_for(&mut viewers, &mut next, OBSERVED);
        let (asked, first) = tokio::join!(asking, watch_first_set_ups(&world, OBSERVED));
        for host in 0..HOSTS {
            let first = first.get(&host);
            assert!(first.is_some_and(|first| *first <= USED_WITHIN), "s-{host} is first used {first:?}");
        }
        let late: Vec<_> = asked.iter().filter(|(at, _)| *at >= SERVED_FROM).collect();
        let served = late.iter().filter(|(_, served)| *served).count();
        assert!(served * 10 >= late.len() * 9, "{served} of {} served", late.len());
    });
}
