//! Scripts of troubles, and what each kind does to the stand-ins.

use std::rc::Rc;
use std::time::Duration;

use elderpick_settings::Schema;
use serde::Deserialize;

use crate::fleet::Fleet;
use crate::hosts::{Host, State};
use crate::record::What;

const SCHEMA: &str = include_str!("script.cue");
/// The short day that shows broken rules.
pub const MUTANTS: &str = include_str!("mutants.cue");
/// The day that `drill bad-day` plays.
pub const BAD_DAY: &str = include_str!("bad-day.cue");

#[derive(Clone, Debug, Deserialize)]
pub struct Event {
    pub at: i64,
    pub r#for: i64,
    pub kind: String,
    pub share: f64,
    pub by: f64,
}

#[derive(Clone, Debug, Deserialize)]
pub struct Script {
    pub length: i64,
    pub hosts: usize,
    pub racks: usize,
    pub gateways: usize,
    pub arrivals: f64,
    /// Part of the viewers of unlicensed classes that come over SRT.
    pub srt: f64,
    pub events: Vec<Event>,
}

impl Script {
    pub fn read(file: &str, text: &str) -> Result<Script, String> {
        let schema = Schema::new("script.cue", SCHEMA).map_err(|p| p.to_string())?;
        schema.load("#Script", file, text).map_err(|p| p.to_string())
    }

    /// The script stretched to another length.
    pub fn stretched(mut self, to: Option<Duration>) -> Script {
        if let Some(to) = to {
            let times = to.as_micros() as f64 / self.length.max(1) as f64;
            let stretch = |at: &mut i64| *at = (*at as f64 * times) as i64;
            self.events.iter_mut().for_each(|e| {
                stretch(&mut e.at);
                stretch(&mut e.r#for);
            });
            stretch(&mut self.length);
        }
        self
    }
}

fn span(micros: i64) -> Duration {
    Duration::from_micros(micros.max(0) as u64)
}

/// Lets one trouble happen, from its start to its end.
pub async fn play(fleet: Rc<Fleet>, event: Event) {
    tokio::time::sleep(span(event.at)).await;
    let world = fleet.world.clone();
    let wanted = ((world.hosts.len() as f64 * event.share).round() as usize).max(1);
    let mut hosts: Vec<Rc<Host>> = world.hosts.clone();
    while hosts.len() > wanted {
        let k = (world.unit() * hosts.len() as f64) as usize;
        hosts.swap_remove(k.min(hosts.len() - 1));
    }
    world.record.add(What::Trouble { kind: event.kind.clone(), on: true });
    let by = event.by;
    let each =
        |f: &dyn Fn(&mut crate::hosts::Trouble)| hosts.iter().for_each(|h| f(&mut h.trouble.borrow_mut()));
    let lasts = span(event.r#for);
    match event.kind.as_str() {
        "slow" => {
            each(&|t| (t.slow, t.link) = (by, 1.0 / by));
            tokio::time::sleep(lasts).await;
            each(&|t| (t.slow, t.link) = (1.0, 1.0));
        }
        "ageing" => {
            for step in 1..=8 {
                each(&|t| (t.link, t.slow) = (1.0 - (1.0 - 1.0 / by) * step as f64 / 8.0, step as f64));
                tokio::time::sleep(lasts / 8).await;
            }
            each(&|t| (t.slow, t.link) = (1.0, 1.0));
        }
        "neighbour" => {
            for on in [true, false, true, false] {
                each(&|t| t.link = if on { 1.0 / by } else { 1.0 });
                tokio::time::sleep(lasts / 4).await;
            }
        }
        "fast_errors" => {
            each(&|t| t.fails = by.min(1.0));
            tokio::time::sleep(lasts).await;
            each(&|t| t.fails = 0.0);
        }
        "answer_lost" => {
            each(&|t| t.loses_answers = by.min(1.0));
            tokio::time::sleep(lasts).await;
            each(&|t| t.loses_answers = 0.0);
        }
        "hang" => {
            each(&|t| t.hangs = true);
            tokio::time::sleep(lasts).await;
            // What hangs does not come to itself: its process is ended and comes back cold.
            for host in &hosts {
                world.crash(host, false);
                world.announce(host, State::Gone);
                world.restart(host).await;
            }
        }
        "garble" => {
            each(&|t| t.garbles = true);
            tokio::time::sleep(lasts).await;
            each(&|t| t.garbles = false);
        }
        "lies" => {
            each(&|t| t.lies = by);
            tokio::time::sleep(lasts).await;
            each(&|t| t.lies = 1.0);
        }
        "origin_slow" => {
            each(&|t| t.origin = Duration::from_millis(100).mul_f64(by));
            tokio::time::sleep(lasts).await;
            each(&|t| t.origin = Duration::ZERO);
        }
        "report_late" => {
            each(&|t| t.late_reports = Duration::from_secs_f64(by));
            tokio::time::sleep(lasts).await;
            each(&|t| t.late_reports = Duration::ZERO);
        }
        "crash" => {
            for host in &hosts {
                world.crash(host, false);
                world.announce(host, State::Gone);
            }
            tokio::time::sleep(lasts).await;
            for host in &hosts {
                world.restart(host).await;
            }
        }
        "drain" => {
            hosts.iter().for_each(|h| world.announce(h, State::Draining));
            tokio::time::sleep(lasts).await;
            hosts.iter().for_each(|h| world.announce(h, State::Up));
        }
        "uplink" => {
            world.uplinks.borrow_mut()[0] = 1.0 / by;
            tokio::time::sleep(lasts).await;
            world.uplinks.borrow_mut()[0] = 1.0;
        }
        "shared_slow" => {
            world.uplinks.borrow_mut().iter_mut().for_each(|u| *u = 1.0 / by);
            tokio::time::sleep(lasts).await;
            world.uplinks.borrow_mut().iter_mut().for_each(|u| *u = 1.0);
        }
        "discovery_stale" => {
            let before = world.list.late.replace(Duration::from_millis(300).mul_f64(by));
            tokio::time::sleep(lasts).await;
            world.list.late.set(before);
        }
        "discovery_down" => {
            world.list_down(true);
            tokio::time::sleep(lasts).await;
            world.list_down(false);
        }
        "burst" => {
            let before = fleet.crowd.replace(by);
            tokio::time::sleep(lasts).await;
            fleet.crowd.set(before);
        }
        "balancer_roll" => {
            let k = (world.unit() * fleet.gateways.len() as f64) as usize;
            fleet.kill(k).await;
            tokio::time::sleep(lasts).await;
            if let Err(why) = fleet.start_gateway(k).await {
                eprintln!("gateway {k} does not come back: {why}");
            }
        }
        "balancer_stall" => {
            let k = (world.unit() * fleet.gateways.len() as f64) as usize;
            fleet.stall(k, lasts).await;
        }
        // Gateways tell each other nothing: there is nothing to cut.
        "peer_down" => tokio::time::sleep(lasts).await,
        other => eprintln!("no such trouble: {other}"),
    }
    world.record.add(What::Trouble { kind: event.kind, on: false });
}
