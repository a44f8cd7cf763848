//! Measurements of the ledger: writing, reading back, exporting, reconciling, and what it adds to a reply.
//!
//! kind: tool

use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

use elderpick_gateway::config;
use elderpick_gateway::ledger::{Command, Ledger, reconcile};
use elderpick_ledger::accounts::{Facts, Outcome, Record};
use elderpick_ledger::calendar::Every;
use elderpick_ledger::reconcile::Renamed;
use hdrhistogram::Histogram;
use http::Method;

use crate::fleet::Fleet;
use crate::hosts::Model;
use crate::viewers::call;

fn settings(folder: PathBuf) -> config::Ledger {
    config::Ledger {
        folder,
        zone: "Europe/Dublin".into(),
        every: Every::Month,
        lateness: 0,
        mark: 5_000_000,
        commit: 0,
        segment: 64 << 20,
        keep: 1 << 40,
        full: config::Full::GoOn,
    }
}

/// The records of one session, made of its number alone.
fn session(k: u64) -> [Record; 3] {
    let facts = Facts {
        tenant: format!("tenant-{}", k % 40),
        licence: format!("course-{}", k % 300),
        class: "exam-sheet".into(),
        title: format!("carex-{}", k % 1000),
        viewer: format!("viewer-{}", k % 50_000),
        started: 1_767_225_600_000_000 + (k * 7_919 % 2_500_000) as i64 * 1_000_000,
    };
    let session = format!("{k:032x}");
    let rung = Record::Rung { session: session.clone(), at: 20_000_000, rung: 2 };
    let over = Record::Over {
        session: session.clone(),
        span: 60_000_000,
        tries: 1,
        outcome: Outcome::Left,
        bytes: Some(k * 1_000),
    };
    [Record::Begun { session, facts, rung: 1 }, rung, over]
}

fn resident() -> f64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|l| l.strip_prefix("VmHWM:")).unwrap_or("0");
    line.split_whitespace().next().and_then(|kb| kb.parse::<f64>().ok()).unwrap_or(0.0) / 1e3
}

/// Prints all tables; `entries` are written in all, by four gateways.
pub async fn run(folder: &Path, entries: u64, program: PathBuf) -> Result<(), String> {
    println!("written and synced, entries a second (three records each):");
    for at_once in [1u64, 16, 256, 4096] {
        let own = folder.join(format!("rate-{at_once}"));
        let mut ledger = Ledger::open("g", &settings(own))?;
        ledger.begin()?;
        let (began, mut k) = (Instant::now(), 0);
        while began.elapsed() < Duration::from_millis(700) {
            let batch: Vec<Record> = (k..k + at_once).flat_map(session).collect();
            ledger.take(&batch)?;
            k += at_once;
        }
        println!("  {at_once:>5} with one sync {:>10.0}", k as f64 / began.elapsed().as_secs_f64());
    }
    println!("\n{entries} entries in four ledgers:");
    let (began, to) = (Instant::now(), folder.join("exports"));
    let mut bytes = 0;
    for g in 0..4 {
        let (name, own) = (format!("gateway-{g}"), folder.join(format!("ledger-{g}")));
        let mut ledger = Ledger::open(&name, &settings(own.clone()))?;
        ledger.begin()?;
        for from in (0..entries / 4).step_by(2000) {
            let upto = (from + 2000).min(entries / 4);
            let batch: Vec<Record> = (from..upto).flat_map(|k| session(k * 4 + g)).collect();
            ledger.take(&batch)?;
        }
        let files = std::fs::read_dir(own).map_err(|why| why.to_string())?;
        bytes += files.flatten().filter_map(|f| Some(f.metadata().ok()?.len())).sum::<u64>();
    }
    println!(
        "  written in {:.1} s, {:.0} bytes an entry on disk",
        began.elapsed().as_secs_f64(),
        bytes as f64 / entries as f64
    );
    let began = Instant::now();
    for g in 0..4 {
        drop(Ledger::open(&format!("gateway-{g}"), &settings(folder.join(format!("ledger-{g}"))))?);
    }
    println!("  read back at a start in {:.1} s", began.elapsed().as_secs_f64());
    let began = Instant::now();
    for g in 0..4 {
        let name = format!("gateway-{g}");
        let mut ledger = Ledger::open(&name, &settings(folder.join(format!("ledger-{g}"))))?;
        while {
            let done = ledger.run(Command::Export { to: to.display().to_string() })?;
            done["waiting"].as_u64().is_some_and(|waiting| waiting > 0)
        } {}
    }
    println!("  exported in {:.1} s", began.elapsed().as_secs_f64());
    let began = Instant::now();
    let report = reconcile(&[to], 30_000_000, Renamed::default())?;
    println!("  reconciled in {:.1} s, {:.0} MB resident at most", began.elapsed().as_secs_f64(), resident());
    if report.entries < entries {
        return Err(format!("{} entries came back", report.entries));
    }
    println!("\nset-up through the gateway, microseconds, the ledger on and off by turns:");
    let model =
        Model { link: 1e9, uplink: 1e10, places: 100_000, segments: 3600, set_up: 0, ..Model::default() };
    let fleet = Fleet::start(model, (4, 2, 1), 1, None, program, false).await?;
    let told = |why: std::io::Error| why.to_string();
    let on = std::fs::read_to_string(fleet.path("gateway-0.cue")).map_err(told)?;
    let off: String = on.lines().filter(|l| !l.starts_with("ledger:")).map(|l| format!("{l}\n")).collect();
    let mut took =
        [Histogram::<u64>::new(3), Histogram::<u64>::new(3)].map(|h| h.map_err(|why| why.to_string()));
    for round in 0..8 {
        let which = round % 2;
        fleet.put("gateway-0.cue", if which == 0 { &on } else { &off })?;
        fleet.kill(0).await;
        fleet.start_gateway(0).await?;
        let to = fleet.gateways[0].address.get().ok_or("no address")?;
        for k in 0..600 {
            let began = Instant::now();
            let path = format!("/watch/label-clip/carex-{k}/index.m3u8");
            let (code, headers, _) = call(Method::GET, to, &path, &[]).await?;
            let micros = began.elapsed().as_micros() as u64;
            if code != 200 {
                return Err(format!("answered {code}"));
            }
            if let (Ok(took), true) = (&mut took[which], k >= 50) {
                took.record(micros).map_err(|why| why.to_string())?;
            }
            let place =
                headers.get(http::header::CONTENT_LOCATION).and_then(|p| p.to_str().ok()).unwrap_or("/");
            call(Method::DELETE, to, place, &[]).await?;
        }
    }
    for (name, took) in ["on", "off"].into_iter().zip(took) {
        let took = took?;
        let at = |q| took.value_at_quantile(q);
        println!(
            "  {name:<4} p50 {:>6}  p90 {:>6}  p99 {:>6}  ({} set-ups)",
            at(0.5),
            at(0.9),
            at(0.99),
            took.len()
        );
    }
    Ok(())
}
