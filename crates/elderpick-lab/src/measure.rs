//! Measurements of one gateway, all in one run. Figures are of this machine and the stand-ins.
//!
//! kind: tool

use std::collections::BTreeMap;
use std::path::PathBuf;
use std::time::{Duration, Instant};

use elderpick_core::Controller;
use elderpick_core::api::{
    Action, Class, Effect, Entry, Event, Group, ListKind, Reporting, RequestId, ServerId, ServerState,
    Settings, Viewing,
};
use elderpick_hls::{Limits, Media, Reveal, Timeline, Variables};
use hdrhistogram::Histogram;
use http::Method;
use tokio::task::spawn_local;

use crate::fleet::Fleet;
use crate::hosts::Model;
use crate::viewers::{call, call_with};

/// CPU time of a process in seconds, and its resident memory in bytes.
fn usage(process: u32) -> Option<(f64, f64)> {
    let stat = std::fs::read_to_string(format!("/proc/{process}/stat")).ok()?;
    let fields: Vec<&str> = stat.rsplit(')').next()?.split_whitespace().collect();
    let ticks = fields.get(11)?.parse::<f64>().ok()? + fields.get(12)?.parse::<f64>().ok()?;
    let status = std::fs::read_to_string(format!("/proc/{process}/status")).ok()?;
    let kb = status.lines().find_map(|l| l.strip_prefix("VmRSS:"))?.split_whitespace().next()?;
    Some((ticks / 100.0, kb.parse::<f64>().ok()? * 1024.0))
}

/// Microseconds for one request to the core at so many sessions held, median of `rounds`.
fn decision(held: u64, servers: usize, rounds: u64) -> f64 {
    let class = Class {
        effect: Effect::Free,
        group: Group::All,
        window: 0,
        aim: 1_500_000,
        worth: 1.0,
        scale: 1.0,
        floor: 0,
        top: usize::MAX,
        seats: None,
    };
    let settings = Settings {
        me: 0,
        gateways: 1,
        zone: 0,
        classes: vec![class],
        rung_kb: vec![200.0, 400.0, 800.0, 1600.0],
        rung_worth: vec![0.3, 0.6, 1.0, 1.3],
        cells: None,
        racks: Some(4),
        rack_kb: None,
        links_kb: Some(servers as f64 * 1e9),
        kb_per_weight: None,
        weights: false,
        places: vec![1e6],
        see: 1_000_000,
        cold: None,
        budget: None,
        max_attempts: Some(3),
        max_retry_after: None,
        reporting: Reporting::InAnswers,
        may_probe: false,
        subscribe: false,
    };
    let mut core = Controller::new(7, settings);
    let mut actions = Vec::new();
    let entries = (0..servers).map(|k| Entry {
        server: ServerId(format!("box-{k}").into()),
        zone: 0,
        kind: 0,
        cell: k,
        state: ServerState::Up,
        weight: 1.0,
        started: Some(0),
    });
    let entries: Vec<Entry> = entries.collect();
    let viewing = |k: u64| Viewing {
        class: 0,
        title: format!("title-{}", k % 500),
        left: 3_000_000,
        hint: None,
        home: 0,
        copies: usize::MAX,
        top: usize::MAX,
    };
    let mut now = 100_000_000;
    core.handle(now, Event::List { kind: ListKind::Full, entries }, &mut actions);
    for k in 0..held {
        // Handed over rather than asked for: the filling is not what is measured.
        let server = ServerId(format!("box-{}", k as usize % servers).into());
        core.handle(now, Event::Open { id: RequestId(k), viewing: viewing(k), server }, &mut actions);
        actions.clear();
    }
    let mut times = Vec::new();
    for k in 0..rounds {
        now += 1_000;
        let id = RequestId(held + k);
        let event = Event::Request { id, viewing: viewing(k) };
        let began = Instant::now();
        core.handle(now, event, &mut actions);
        times.push(began.elapsed().as_secs_f64() * 1e6);
        debug_assert!(actions.iter().any(|a| matches!(a, Action::Send { .. })));
        actions.clear();
        let status = elderpick_core::api::Status::Cancelled;
        let report = Default::default();
        core.handle(now, Event::Outcome { id, attempt: 0, status, closed: true, report }, &mut actions);
        actions.clear();
    }
    times.sort_by(f64::total_cmp);
    times[times.len() / 2]
}

fn playlists_a_second() -> f64 {
    let list = |rung: usize| {
        let mut text = String::from("#EXTM3U\n#EXT-X-VERSION:6\n#EXT-X-TARGETDURATION:4\n");
        for k in 0..60 {
            text += &format!("#EXTINF:4.0,\nr{rung}/{k}.ts\n");
        }
        text + "#EXT-X-ENDLIST\n"
    };
    let base = url::Url::parse("http://127.0.0.1:9000/s/0/main.m3u8").expect("a URI");
    let texts = [list(0), list(1)];
    let began = Instant::now();
    let mut made = 0u32;
    while began.elapsed() < Duration::from_secs(1) {
        let read =
            |text: &str| Media::parse(text.as_bytes(), &base, &Variables::default(), Limits::default());
        let (Ok(a), Ok(b)) = (read(&texts[0]), read(&texts[1])) else { return 0.0 };
        let mut timeline = Timeline::new(0);
        let of = BTreeMap::from([(0, &a), (1, &b)]);
        timeline.shape(&of, Reveal::Until(100_000_000));
        timeline.change(1);
        made += u32::from(timeline.shape(&of, Reveal::Until(300_000_000)).is_some());
    }
    f64::from(made) / began.elapsed().as_secs_f64()
}

/// Runs all measurements and prints them as they come.
pub async fn run(program: PathBuf) -> Result<(), String> {
    println!("one decision against sessions held, 40 and 240 servers (median of 200, in process)");
    println!("{:>10} {:>14} {:>14}", "held", "40 servers us", "240 servers us");
    for held in [100, 300, 1_000, 3_000, 10_000, 30_000] {
        println!("{held:>10} {:>14.1} {:>14.1}", decision(held, 40, 200), decision(held, 240, 200));
    }
    println!(
        "\nplaylists of 60 segments over a change of rung: {:.0} a second (read and rewritten, in process)",
        playlists_a_second()
    );
    let model = Model {
        ladder: vec![12e3, 24e3, 48e3, 72e3],
        link: 1e10,
        uplink: 1e11,
        places: 100_000,
        set_up: 0,
        silence: 60,
        ..Model::default()
    };
    let fleet = Fleet::start(model, (4, 2, 1), 1, None, program, false).await?;
    let to = fleet.gateways[0].address.get().ok_or("no gateway")?;
    let process = fleet.process(0).ok_or("no gateway")?;
    let host = fleet.world.hosts[0].address.get();
    let path = "/watch/label-clip/carex-nigra/index.m3u8";
    // One after the other, a set-up by the gateway and one asked of the host: the same noise for both.
    let mut through = Histogram::<u64>::new(3).map_err(|why| why.to_string())?;
    let mut direct = through.clone();
    for k in 0..2_000 {
        let began = Instant::now();
        let (code, headers, _) = call(Method::GET, to, path, &[]).await?;
        let _ = through.record(began.elapsed().as_micros() as u64);
        if code != 200 {
            return Err(format!("a set-up was answered {code}"));
        }
        let place = headers.get(http::header::CONTENT_LOCATION).and_then(|p| p.to_str().ok()).unwrap_or("/");
        let began = Instant::now();
        let headers = [("elderpick-gateway", "direct".to_owned())];
        let body =
            format!("{{\"session\":\"{k:032x}\",\"class\":\"label-clip\",\"title\":\"x\",\"rung\":1}}");
        call_with(Method::POST, host, "/sessions", &headers, body).await?;
        let _ = direct.record(began.elapsed().as_micros() as u64);
        call(Method::DELETE, host, &format!("/sessions/{k:032x}"), &headers).await?;
        call(Method::DELETE, to, place, &[]).await?;
    }
    println!("\nlatency of 2,000 requests each, one at a time, a connection each, us");
    println!("{:>22} {:>8} {:>8} {:>8}", "", "p50", "p99", "p99.9");
    for (name, h) in [("set-up by the host", &direct), ("set-up by the gateway", &through)] {
        let at = |q| h.value_at_quantile(q);
        println!("{name:>22} {:>8} {:>8} {:>8}", at(0.5), at(0.99), at(0.999));
    }
    // What a set-up costs the gateway in CPU time, at a few sessions held and at many; and its memory.
    println!(
        "\n{:>8} {:>16} {:>22} {:>18}",
        "held", "CPU us a set-up", "set-ups a core-second", "bytes a session"
    );
    let empty = usage(process).ok_or("no /proc")?;
    let mut held = 0;
    for wanted in [500, 1_000, 2_000, 4_000] {
        let before = usage(process).ok_or("no /proc")?;
        let more = wanted - held;
        let asking: Vec<_> = (0..8)
            .map(|k| {
                spawn_local(async move {
                    let mut played = 0;
                    for _ in 0..(more + 7 - k) / 8 {
                        played +=
                            usize::from(matches!(call(Method::GET, to, path, &[]).await, Ok((200, ..))));
                    }
                    played
                })
            })
            .collect();
        let mut played = 0;
        for one in asking {
            played += one.await.map_err(|why| why.to_string())?;
        }
        held += more;
        let after = usage(process).ok_or("no /proc")?;
        let each = (after.0 - before.0) / played.max(1) as f64;
        let bytes = (after.1 - empty.1) / held as f64;
        println!("{held:>8} {:>16.0} {:>22.0} {bytes:>18.0}", each * 1e6, 1.0 / each.max(1e-9));
    }
    // Playlists over sockets.
    let (_, _, manifest) = call(Method::GET, to, path, &[]).await?;
    let text = String::from_utf8_lossy(&manifest).into_owned();
    let playlist = text.lines().find(|l| l.starts_with("/s/")).ok_or("no playlist")?.to_owned();
    let before = usage(process).ok_or("no /proc")?;
    for _ in 0..1_000 {
        call(Method::GET, to, &playlist, &[]).await?;
    }
    let after = usage(process).ok_or("no /proc")?;
    println!("\na media playlist by the gateway, on sockets: {:.0} us CPU", (after.0 - before.0) * 1e3);
    fleet.end().await;
    Ok(())
}
