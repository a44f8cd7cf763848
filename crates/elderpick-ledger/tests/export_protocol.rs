//! Exports in every order of steps: a gateway that prepares, writes its files, and records that they were handed over,
//! killed anywhere and restored from nothing but its records, while use goes on.

use std::collections::{BTreeMap, HashSet, VecDeque};

use elderpick_ledger::accounts::{Accounts, Entry, Facts, Outcome, Record};
use elderpick_ledger::calendar::{Calendar, Every};
use elderpick_ledger::chain::digest;
use elderpick_ledger::export::{self, Files};

/// What is done wrong on purpose.
#[derive(Clone, Copy, PartialEq, Debug)]
enum Fault {
    None,
    /// What is written is all that is new at the time, not what was prepared.
    WritesWhatIsNew,
    /// After a kill what was prepared is taken for handed over.
    TakesForHanded,
}

#[derive(Clone, PartialEq, Eq, Hash)]
struct World {
    /// Records that are kept, as they are written; the gateway's memory is their fold.
    records: Vec<String>,
    sessions: u8,
    kills: u8,
    /// Files at the receiver: 0 JSON lines, 1 CSV, 2 manifest, of each export.
    there: BTreeMap<(u64, u8), Vec<u8>>,
    /// The export that is being written, and how many of its files are: lost with the process.
    writing: Option<(u64, u8)>,
}

#[derive(Clone, Copy, Debug)]
enum Step {
    Use,
    Prepare,
    Write,
    Hand,
    Kill,
}

fn fold(world: &World) -> (Accounts, Vec<Entry>) {
    let mut accounts = Accounts::new(Calendar::new("UTC", Every::Day, 0).unwrap());
    let mut entries = Vec::new();
    for record in &world.records {
        accounts.apply(&serde_json::from_str(record).unwrap(), &mut |e| entries.push(e));
    }
    (accounts, entries)
}

fn files(accounts: &Accounts, entries: &[Entry], number: u64, fault: Fault) -> Files {
    let of = accounts.exports().iter().find(|e| e.number == number).unwrap();
    let before = accounts.exports().iter().find(|e| e.number + 1 == number).and_then(|e| e.digest.clone());
    let last = if fault == Fault::WritesWhatIsNew { entries.len() } else { of.last as usize };
    let of = &entries[of.first as usize - 1..last];
    export::write("g", number, &before.unwrap_or_default(), of).unwrap()
}

fn keep(world: &mut World, record: &Record) {
    world.records.push(serde_json::to_string(record).unwrap());
}

fn step(world: &World, step: Step, fault: Fault) -> Option<World> {
    let mut next = world.clone();
    let (accounts, entries) = fold(world);
    match step {
        Step::Use => {
            if world.sessions == 3 {
                return None;
            }
            next.sessions += 1;
            let session = world.sessions.to_string();
            let facts = Facts {
                tenant: "t".into(),
                licence: String::new(),
                class: "c".into(),
                title: "x".into(),
                viewer: session.clone(),
                started: 0,
            };
            keep(&mut next, &Record::Begun { session: session.clone(), facts, rung: 0 });
            keep(
                &mut next,
                &Record::Over { session, span: 1, tries: 1, outcome: Outcome::Left, bytes: None },
            );
        }
        Step::Prepare => {
            if world.writing.is_some() {
                return None;
            }
            let pending = accounts.exports().last().filter(|e| e.digest.is_none()).map(|e| e.number);
            let number = match pending {
                Some(number) if fault == Fault::TakesForHanded => {
                    keep(&mut next, &Record::Handed { export: number, digest: "unknown".into() });
                    return Some(next);
                }
                Some(number) => number,
                None => {
                    let record = accounts.prepare().ok()?;
                    keep(&mut next, &record);
                    accounts.exports().last().map_or(1, |e| e.number + 1)
                }
            };
            next.writing = Some((number, 0));
        }
        Step::Write => {
            let (number, done) = world.writing.filter(|w| w.1 < 3)?;
            let of = files(&accounts, &entries, number, fault);
            let bytes = [of.jsonl, of.csv, of.manifest][done as usize].clone();
            next.there.insert((number, done), bytes);
            next.writing = Some((number, done + 1));
        }
        Step::Hand => {
            let (number, _) = world.writing.filter(|w| w.1 == 3)?;
            let record = accounts.hand(number, &digest(&world.there[&(number, 2)])).ok()?;
            record.iter().for_each(|record| keep(&mut next, record));
            next.writing = None;
        }
        Step::Kill => {
            if world.kills == 3 {
                return None;
            }
            next.kills += 1;
            next.writing = None;
        }
    }
    Some(next)
}

/// What must hold: bytes at the receiver never change, what stands whole there reads well and follows on, and what the
/// gateway takes for handed over is there.
fn wrong(before: &World, after: &World) -> Option<&'static str> {
    if before.there.iter().any(|(name, bytes)| after.there.get(name) != Some(bytes)) {
        return Some("bytes that were written changed");
    }
    let (accounts, _) = fold(after);
    let (mut last, mut link) = (0, String::new());
    for number in 1.. {
        let part = |k| after.there.get(&(number, k)).cloned();
        let (Some(jsonl), Some(csv), Some(manifest)) = (part(0), part(1), part(2)) else {
            let handed = accounts.exports().iter().any(|e| e.number == number && e.digest.is_some());
            return handed.then_some("what counts as handed over is not there");
        };
        let Ok(read) = export::read(&Files { manifest, jsonl, csv }) else {
            return Some("it cannot be read");
        };
        if read.manifest.first != last + 1 || read.manifest.before != link {
            return Some("it does not follow the one before it");
        }
        (last, link) = (read.manifest.last, read.digest);
    }
    None
}

fn search(fault: Fault) -> (usize, Option<&'static str>) {
    let start = World { records: vec![], sessions: 0, kills: 0, there: BTreeMap::new(), writing: None };
    let (mut seen, mut left) = (HashSet::new(), VecDeque::from([start]));
    while let Some(world) = left.pop_front() {
        for one in [Step::Use, Step::Prepare, Step::Write, Step::Hand, Step::Kill] {
            let Some(next) = step(&world, one, fault) else { continue };
            if let Some(what) = wrong(&world, &next) {
                return (seen.len(), Some(what));
            }
            if seen.insert(next.clone()) {
                left.push_back(next);
            }
        }
    }
    (seen.len(), None)
}

#[test]
fn in_no_order_of_steps_do_exports_change_lack_or_double_anything() {
    let (states, wrong) = search(Fault::None);
    println!("{states} states, all that three sessions and three kills reach");
    assert_eq!(wrong, None);
    assert!(states > 100);
}

#[test]
fn seeded_faults_are_found() {
    for fault in [Fault::WritesWhatIsNew, Fault::TakesForHanded] {
        let (states, wrong) = search(fault);
        let what = wrong.unwrap_or_else(|| panic!("{fault:?} is not found in {states} states"));
        println!("{fault:?}: {what}, after {states} states");
    }
}
