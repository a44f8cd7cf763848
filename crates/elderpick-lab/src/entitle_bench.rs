//! Measurements of entitlement: tokens, renewals, the log under each policy, a restart, and how much of a licence's
//! seats each way of sharing them lets viewers use. Figures are of this machine, the last ones of a model.
//!
//! kind: tool

use std::collections::BTreeMap;
use std::path::Path;
use std::time::{Duration, Instant};

use elderpick_entitle::Times;
use elderpick_entitle::keeper::Sync;
use elderpick_entitle::keys::{Algorithm, Key, KeySet};
use elderpick_entitle::log::Record;
use elderpick_entitle::registry::{Rules, SeatId, SeatRegistry};
use elderpick_entitle::sheet::{Devices, Licence, LicenceSheet, Term};
use elderpick_entitle::token::{self, Asked, Claims};
use elderpick_gateway::state::{Journal, create};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

const FAR: i64 = 1_000_000_000_000;

fn claims(holder: String) -> Claims {
    Claims {
        issuer: Some("desk".into()),
        audience: vec!["front".into()],
        holder,
        id: "0123456789abcdef".into(),
        not_before: Some(0),
        expires: FAR,
        tenant: "botany".into(),
        licence: "course".into(),
        classes: vec!["exam".into()],
        titles: vec!["carex-*".into()],
    }
}

fn licence(seats: u32) -> Licence {
    Licence {
        name: "course".into(),
        tenant: "botany".into(),
        classes: vec!["exam".into()],
        seats,
        devices: Devices::Refuse,
    }
}

fn sheet(seats: u32, gateways: u32, block: u32) -> LicenceSheet {
    let licences = [("course".to_owned(), licence(seats))].into();
    let term = Term { from: -FAR, until: FAR, gateways: (0..gateways).collect(), block, licences };
    LicenceSheet { terms: vec![term], at: BTreeMap::new() }
}

fn registry(seats: u32) -> SeatRegistry {
    let rules = Rules { me: 0, grace: 0, skew: 0, linger: 0, hold: 1_000_000, most: 1_000_000 };
    SeatRegistry::new(rules, sheet(seats, 1, u32::MAX))
}

/// How often a second something can be done, over half a second.
fn rate(mut once: impl FnMut()) -> f64 {
    let (began, mut done) = (Instant::now(), 0u64);
    while began.elapsed() < Duration::from_millis(500) {
        for _ in 0..16 {
            once();
        }
        done += 16;
    }
    done as f64 / began.elapsed().as_secs_f64()
}

/// Seats taken a second, each waited for until it is kept; `at_once` of them wait together.
async fn journal(path: &Path, sync: Sync, at_once: u64) -> Result<f64, String> {
    let _ = std::fs::remove_file(path);
    create(path)?;
    let (mut journal, _) = Journal::open(path, sync, Duration::from_millis(50))?;
    let mut kept = journal.kept();
    let (began, mut seat) = (Instant::now(), 0);
    while began.elapsed() < Duration::from_secs(1) {
        for _ in 0..at_once {
            seat += 1;
            let taken = Record::Taken { seat, licence: "course".into(), holder: format!("viewer-{seat}") };
            // The one before is free again, as when viewers come and go.
            let both = [taken, Record::Freed { seat: seat.saturating_sub(at_once) }];
            if !journal.give(&both) {
                return Err("the log is behind".into());
            }
        }
        let given = journal.given();
        kept.wait_for(|k| k.records >= given).await.map_err(|why| why.to_string())?;
    }
    Ok(seat as f64 / began.elapsed().as_secs_f64())
}

/// Time to read a log with so many seats taken and to count them, in milliseconds, and its length.
fn restart(path: &Path, seats: u64) -> Result<(f64, u64), String> {
    let _ = std::fs::remove_file(path);
    create(path)?;
    {
        let (mut journal, _) = Journal::open(path, Sync::Never, Duration::from_secs(1))?;
        for k in 1..=seats {
            let taken = Record::Taken { seat: k, licence: "course".into(), holder: format!("viewer-{k}") };
            while !journal.give(std::slice::from_ref(&taken)) {
                std::thread::sleep(Duration::from_millis(1));
            }
        }
    }
    let length = std::fs::metadata(path).map_or(0, |m| m.len());
    let began = Instant::now();
    let (_journal, found) = Journal::open(path, Sync::Always, Duration::from_secs(1))?;
    let (mut registry, t) = (registry(seats as u32), Times { mono: 0, wall: 0 });
    for (seat, licence, holder) in &found.taken {
        registry.find(t, SeatId(*seat), licence, holder);
    }
    registry.advance(t);
    if registry.taken() as u64 != seats {
        return Err(format!("{} of {seats} seats were found", registry.taken()));
    }
    Ok((began.elapsed().as_secs_f64() * 1e3, length))
}

/// A way of sharing a licence's seats among gateways.
#[derive(Clone, Copy)]
enum Way {
    /// Each gateway has an equal share, and seats who comes to it.
    Shares,
    /// Each holder has a home by its name, each gateway an equal share for those whose home it is.
    Homes,
    /// The issuer cuts shares anew each term by the last term's use.
    Leased,
    /// Parts of so many seats, each at one gateway; viewers are sent there.
    Parts(u32),
}

/// Seats in use in per cent of what could be, with viewers that come to gateways unevenly and shift; all the time, and
/// while one gateway of `gateways` is dead.
fn usable(way: Way, seats: u32, gateways: u32, seed: u64) -> (f64, f64) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let sheet = sheet(seats, gateways, if let Way::Parts(block) = way { block } else { u32::MAX });
    let (term, licence) = (&sheet.terms[0], licence(seats));
    let parts = licence.parts(term.block);
    // What is counted apart: gateways or parts.
    let cells = if let Way::Parts(_) = way { parts } else { gateways } as usize;
    let mut share: Vec<u32> = (0..cells as u32)
        .map(|k| match way {
            Way::Parts(_) => licence.seats_of(k, term.block),
            _ => seats / gateways + u32::from(k < seats % gateways),
        })
        .collect();
    let home =
        |cell: usize| if let Way::Parts(_) = way { term.counts(&licence, cell as u32) } else { cell as u32 };
    let (mut used, mut asked) = (vec![0u32; cells], vec![0u32; cells]);
    // Holders with a session: when it ends, and where it is counted.
    let mut ends: Vec<(u32, usize)> = Vec::new();
    let mut popular: Vec<f64> = (0..gateways).map(|k| 1.0 / f64::from(k + 1)).collect();
    let (mut sum, mut could, mut sum_dead, mut could_dead) = (0u64, 0u64, 0u64, 0u64);
    // A step is a second; sessions last 100 on average; viewers want a fifth more seats than there are.
    let per_step = f64::from(seats) * 1.2 / 100.0;
    for step in 0..20_000u32 {
        if step % 600 == 0 {
            popular.rotate_right(1);
            if let Way::Leased = way {
                // In step with what was asked for, one seat for each to begin with; those in use cannot be taken away.
                let total: u32 = asked.iter().map(|a| a + 1).sum();
                let mut next: Vec<u32> =
                    (0..cells).map(|k| ((asked[k] + 1) * seats / total).max(used[k])).collect();
                while next.iter().sum::<u32>() > seats {
                    let most = (0..cells).max_by_key(|&k| next[k] - used[k]).unwrap_or(0);
                    if next[most] == used[most] {
                        break;
                    }
                    next[most] -= 1;
                }
                let mut k = 0;
                while next.iter().sum::<u32>() < seats {
                    next[k % cells] += 1;
                    k += 1;
                }
                share = next;
                asked.iter_mut().for_each(|a| *a = 0);
            }
        }
        let dead = (step % 2_000 >= 1_500).then_some(step / 2_000 % gateways);
        ends.retain(|&(at, cell)| {
            let over = at <= step;
            used[cell] -= u32::from(over);
            !over
        });
        let mut come = per_step.floor() as u32 + u32::from(rng.random::<f64>() < per_step.fract());
        while come > 0 {
            come -= 1;
            let holder: u64 = rng.random();
            for _ in 0..2 {
                let total: f64 = popular.iter().sum();
                let mut chance = rng.random::<f64>() * total;
                let mut at = 0;
                while at + 1 < gateways as usize && chance >= popular[at] {
                    chance -= popular[at];
                    at += 1;
                }
                let cell = match way {
                    Way::Shares | Way::Leased => at,
                    Way::Homes => (holder % u64::from(gateways)) as usize,
                    Way::Parts(_) => (holder % u64::from(parts)) as usize,
                };
                asked[cell] += 1;
                if used[cell] < share[cell] && dead != Some(home(cell)) {
                    used[cell] += 1;
                    let lasts = -(1.0 - rng.random::<f64>()).ln() * 100.0;
                    ends.push((step + lasts as u32 + 1, cell));
                    break;
                }
            }
        }
        if step > 600 {
            let now: u32 = used.iter().sum();
            let (sum, could) =
                if dead.is_some() { (&mut sum_dead, &mut could_dead) } else { (&mut sum, &mut could) };
            *sum += u64::from(now);
            *could += u64::from(seats);
        }
    }
    let cent = |part: u64, whole: u64| part as f64 * 100.0 / whole.max(1) as f64;
    (cent(sum, could), cent(sum_dead, could_dead))
}

/// Prints all tables.
pub async fn run(folder: &Path) -> Result<(), String> {
    let asked = Asked { audience: "front".into(), issuer: Some("desk".into()), skew: 0 };
    println!("one core, a second:");
    for algorithm in [Algorithm::Hs256, Algorithm::EdDsa] {
        let mut keys = KeySet::default();
        keys.add(Key::new("k", algorithm, [5; 32])?)?;
        let text = token::issue(&claims("viewer".into()), &keys)?;
        let good = rate(|| assert!(token::verify(&text, &keys, &asked, 1).is_ok()));
        let forged = text[..text.len() - 2].to_owned() + "AA";
        let bad = rate(|| assert!(token::verify(&forged, &keys, &asked, 1).is_err()));
        println!("  {:<6} tokens verified {good:>10.0}   forgeries refused {bad:>10.0}", algorithm.name());
    }
    let t = Times { mono: 0, wall: 0 };
    for held in [100u32, 100_000] {
        let mut registry = registry(held + 1);
        let mut names = Vec::new();
        for k in 0..held {
            let claims = claims(format!("viewer-{k}"));
            let seat =
                registry.admit(t, &claims, 1, "exam", "carex-nigra").map_err(|why| format!("{why:?}"))?.seat;
            registry.answered(t, seat, true);
            names.push((seat, claims));
        }
        registry.take_records();
        let mut k = 0;
        let renewed = rate(|| {
            k = (k + 7919) % names.len();
            let (seat, claims) = &names[k];
            assert!(registry.renew(t, *seat, claims, "exam", "carex-nigra").is_ok());
        });
        let one = claims("one more".into());
        let cycled = rate(|| {
            if let Ok(held) = registry.admit(t, &one, 1, "exam", "carex-nigra") {
                registry.answered(t, held.seat, false);
            }
            registry.take_records();
        });
        println!(
            "  registry with {held:>6} seats taken: renewals {renewed:>9.0}   seats taken and freed {cycled:>9.0}"
        );
    }
    println!("\nseats taken and kept a second (a renewal writes nothing):");
    println!("  {:<8} {:>14} {:>14} {:>14}", "sync", "one at a time", "16 at once", "256 at once");
    for (name, sync) in [("always", Sync::Always), ("soon", Sync::Soon), ("never", Sync::Never)] {
        let mut row = format!("  {name:<8}");
        for at_once in [1, 16, 256] {
            row += &format!(" {:>14.0}", journal(&folder.join("seats.log"), sync, at_once).await?);
        }
        println!("{row}");
    }
    println!("\nrestart:");
    for seats in [1_000, 100_000] {
        let (ms, length) = restart(&folder.join("seats.log"), seats)?;
        println!("  {seats:>7} seats taken, log of {:>6} kB: {ms:>7.1} ms", length / 1000);
    }
    println!(
        "\nseats in use, per cent of the licence, eight gateways, viewers uneven and shifting; (one gateway dead):"
    );
    let ways = [
        ("equal shares, viewers where they come", Way::Shares),
        ("equal shares, holders with a home", Way::Homes),
        ("shares cut anew each term by use", Way::Leased),
        ("parts of 8 at a gateway", Way::Parts(8)),
        ("parts of 64 at a gateway", Way::Parts(64)),
        ("the licence whole at a gateway", Way::Parts(u32::MAX)),
    ];
    let sizes = [5, 30, 120, 500];
    let head: Vec<String> = sizes.iter().map(|s| format!("{:>14}", format!("{s} seats"))).collect();
    println!("  {:<40}{}", "", head.concat());
    for (name, way) in ways {
        let cells = sizes.iter().map(|&seats| {
            let (all, dead) = (0..5)
                .map(|seed| usable(way, seats, 8, seed))
                .fold((0.0, 0.0), |a, b| (a.0 + b.0, a.1 + b.1));
            format!("{:>14}", format!("{:.0} ({:.0})", all / 5.0, dead / 5.0))
        });
        println!("  {name:<40}{}", cells.collect::<String>());
    }
    Ok(())
}
