//! Measurements of SRT: what loss costs at which latency, what a packet costs the state machine and the gateway.
//!
//! kind: tool

use std::path::PathBuf;
use std::time::{Duration, Instant};

use elderpick_srt::live::{Live, Settings};
use elderpick_srt::packet;
use elderpick_srt::seq::Seq;

use crate::fleet::Fleet;
use crate::hosts::Model;
use crate::link::{Link, Weather};
use crate::srt::{Ended, play};

const MS: i64 = 1000;

fn settings(to: u32, latency: i64) -> Settings {
    Settings {
        to,
        own: Seq::new(0),
        peer: Seq::new(0),
        peer_stamp: 0,
        latency_in: latency,
        latency_out: latency,
        window: 8192,
        idle: 5_000_000,
        keys: None,
        renew_after: 0,
    }
}

/// One session in virtual time: parts in a million of 20,000 packets that were not in time, and packets sent again for
/// each hundred.
fn weathered(loss: f64, latency: i64) -> (f64, f64) {
    const PACKETS: u64 = 20_000;
    let weather = Weather { delay: 20 * MS, jitter: 2 * MS, loss, ..Weather::default() };
    let mut links = [Link::new(weather, 1), Link::new(weather, 2)];
    let mut ends = [Live::new(0, settings(2, latency)), Live::new(0, settings(1, latency))];
    let mut out = Vec::new();
    let mut now = 0;
    for k in 0..PACKETS as i64 + 1500 {
        if k < PACKETS as i64 {
            ends[0].send(now, &[0; 188]);
        }
        // One packet each 2 ms; timers and links have a grain of 1 ms.
        for _ in 0..2 {
            for side in 0..2 {
                while let Some(datagram) = links[side].pop(now) {
                    ends[1 - side].handle(now, &datagram);
                }
                if ends[side].next_timer().is_some_and(|at| at <= now) {
                    ends[side].tick(now);
                }
                while ends[side].receive(now).is_some() {}
                while ends[side].transmit(now, &mut out) {
                    links[side].push(now, &out);
                    out.clear();
                }
            }
            now += MS;
        }
    }
    let missing = PACKETS - ends[1].counts.delivered.min(PACKETS);
    let share = |n: u64, of: f64| n as f64 * of / PACKETS as f64;
    (share(missing, 1e6), share(ends[0].counts.again, 100.0))
}

/// Processor time of a process so far.
fn processor(process: u32) -> Option<Duration> {
    let stat = std::fs::read_to_string(format!("/proc/{process}/stat")).ok()?;
    let fields: Vec<&str> = stat.rsplit_once(')')?.1.split_whitespace().collect();
    let ticks = fields.get(11)?.parse::<u64>().ok()? + fields.get(12)?.parse::<u64>().ok()?;
    // Linux counts these in hundredths of a second.
    Some(Duration::from_millis(ticks * 10))
}

/// Prints all tables.
pub async fn run(program: PathBuf) -> Result<(), String> {
    println!(
        "not in time, in a million packets (sent again, in a hundred); round trip 40 to 44 ms, loss each way:\n"
    );
    println!("{:>8} {:>18} {:>18} {:>18} {:>18}", "loss", "60 ms", "120 ms", "250 ms", "500 ms");
    for loss in [0.01, 0.05, 0.10] {
        let cells = [60, 120, 250, 500].map(|latency| {
            let (missing, again) = weathered(loss, latency * MS);
            format!("{missing:>9.0} ({again:>5.1})")
        });
        println!(
            "{:>7.0}% {:>18} {:>18} {:>18} {:>18}",
            loss * 100.0,
            cells[0],
            cells[1],
            cells[2],
            cells[3]
        );
    }
    let (mut a, mut b) = (Live::new(0, settings(2, 0)), Live::new(0, settings(1, 0)));
    let (began, mut out, mut now, mut count) = (Instant::now(), Vec::new(), 0, 0u64);
    while began.elapsed() < Duration::from_millis(800) {
        a.send(now, &[0; packet::MOST_PAYLOAD]);
        for turn in 0..2 {
            let (from, to) = if turn == 0 { (&mut a, &mut b) } else { (&mut b, &mut a) };
            from.tick(now);
            while from.transmit(now, &mut out) {
                to.handle(now, &out);
                out.clear();
            }
            while to.receive(now).is_some() {}
        }
        (now, count) = (now + 100, count + 1);
    }
    let rate = count as f64 / began.elapsed().as_secs_f64();
    println!(
        "\nstate machine, one core, both ends: {rate:.0} data packets a second, {:.0} Mbit/s",
        rate * packet::MOST_PAYLOAD as f64 * 8.0 / 1e6
    );
    println!("\nthrough the gateway, {} s each (hosts and players share another core):", LASTS.as_secs());
    println!(
        "{:>9} {:>11} {:>11} {:>14} {:>12}",
        "sessions", "answer p50", "answer max", "data packets", "gateway us"
    );
    let model = Model { link: 1e9, uplink: 1e10, places: 10_000, set_up: 0, ..Model::default() };
    let fleet = Fleet::start(model, (4, 2, 1), 1, None, program, false).await?;
    let (at, process) = (fleet.srt(0).await?, fleet.process(0).ok_or("no gateway")?);
    for sessions in [1usize, 20, 100] {
        let before = processor(process).ok_or("no processor time")?;
        let id = "#!::r=carex-nigra,class=label-clip".to_owned();
        let all = (0..sessions).map(|_| tokio::task::spawn_local(play(at, id.clone(), false, LASTS)));
        let mut played = Vec::new();
        for one in all.collect::<Vec<_>>() {
            let one = one.await.map_err(|why| why.to_string())??;
            if one.ended != Ended::Left {
                return Err(format!("a session ended: {one:?}"));
            }
            played.push(one);
        }
        let took = processor(process).ok_or("no processor time")? - before;
        let mut answered: Vec<i64> = played.iter().map(|p| p.answered).collect();
        answered.sort_unstable();
        let packets: u64 = played.iter().map(|p| p.packets).sum();
        println!(
            "{sessions:>9} {:>8} us {:>8} us {packets:>14} {:>12.1}",
            answered[sessions / 2],
            answered[sessions - 1],
            took.as_micros() as f64 / packets as f64
        );
    }
    println!(
        "\n(gateway us: its processor time for each data packet, with the acknowledgements that belong to it)"
    );
    fleet.end().await;
    Ok(())
}

const LASTS: Duration = Duration::from_secs(5);
