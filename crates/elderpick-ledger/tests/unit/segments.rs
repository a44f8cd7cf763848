//! Unit tests of `segments.rs`.

use std::collections::BTreeMap;

use super::*;
use crate::accounts::{Accounts, Facts, Outcome};
use crate::calendar::{Calendar, Every};

/// A disk that fails at one operation, in one of several ways, and from then on or just once.
#[derive(Clone, Default)]
struct Faulty {
    /// Bytes, and how many of them outlive a loss of power.
    files: BTreeMap<u64, (Vec<u8>, usize)>,
    operations: usize,
    fails_at: Option<usize>,
    /// Part of the bytes that a failing append writes, in percent.
    part: usize,
    for_good: bool,
}

impl Faulty {
    fn fails(&mut self, what: &'static str) -> Result<(), &'static str> {
        self.operations += 1;
        let fails = |at: usize| if self.for_good { self.operations >= at } else { self.operations == at };
        if self.fails_at.is_some_and(fails) { Err(what) } else { Ok(()) }
    }
}

impl Disk for Faulty {
    type Error = &'static str;
    fn begin(&mut self, segment: u64) -> Result<(), &'static str> {
        self.fails("begin")?;
        self.files.insert(segment, (Vec::new(), 0));
        Ok(())
    }
    fn append(&mut self, segment: u64, bytes: &[u8]) -> Result<(), &'static str> {
        let fails = self.fails("append");
        let written = if fails.is_err() { bytes.len() * self.part / 100 } else { bytes.len() };
        self.files.get_mut(&segment).unwrap().0.extend(&bytes[..written]);
        fails
    }
    fn sync(&mut self, segment: u64) -> Result<(), &'static str> {
        self.fails("sync")?;
        let file = self.files.get_mut(&segment).unwrap();
        file.1 = file.0.len();
        Ok(())
    }
    fn cut(&mut self, segment: u64, length: u64) -> Result<(), &'static str> {
        self.fails("cut")?;
        let file = self.files.get_mut(&segment).unwrap();
        file.0.truncate(length as usize);
        file.1 = length as usize;
        Ok(())
    }
    fn remove(&mut self, segment: u64) -> Result<(), &'static str> {
        self.fails("remove")?;
        self.files.remove(&segment);
        Ok(())
    }
    fn read(&self, segment: u64) -> Result<Vec<u8>, &'static str> {
        Ok(self.files[&segment].0.clone())
    }
    fn head(&self, segment: u64) -> Result<Vec<u8>, &'static str> {
        let text = &self.files[&segment].0;
        Ok(text.split_inclusive(|&b| b == b'\n').next().unwrap_or_default().to_vec())
    }
    fn segments(&self) -> Result<Vec<(u64, u64)>, &'static str> {
        Ok(self.files.iter().map(|(k, f)| (*k, f.0.len() as u64)).collect())
    }
}

fn accounts() -> Accounts {
    Accounts::new(Calendar::new("UTC", Every::Day, 0).unwrap())
}

/// One session, the k-th.
fn session(k: u64) -> [Record; 2] {
    let facts = Facts {
        tenant: "t".into(),
        licence: String::new(),
        class: "c".into(),
        title: "x".into(),
        viewer: String::new(),
        started: 0,
    };
    let over =
        Record::Over { session: k.to_string(), span: 1, tries: 1, outcome: Outcome::Left, bytes: None };
    [Record::Begun { session: k.to_string(), facts, rung: 0 }, over]
}

type Found = (Accounts, Vec<u64>, Place);

/// What a reader finds: the accounts, the numbers of the entries, which must be their sessions', and where it goes on.
fn found(disk: &Faulty, from: From) -> Result<Found, Unread<&'static str>> {
    let (mut accounts, mut entries) = (accounts(), Vec::new());
    let place = read(disk, "g", from, |record| {
        accounts.apply(record, &mut |e| {
            assert_eq!(e.session, e.number.to_string());
            entries.push(e.number);
        });
        true
    })?;
    assert_eq!(accounts.odd(), 0, "each state is what the records before it come to");
    Ok((accounts, entries, place))
}

struct Run {
    segments: Segments<Faulty>,
    accounts: Accounts,
}

impl Run {
    fn new(disk: Faulty) -> Run {
        let (accounts, _, place) = found(&disk, From::Newest).unwrap();
        Run { segments: Segments::new(disk, "g", 600, place), accounts }
    }

    fn take(&mut self, records: &[Record]) -> bool {
        if self.segments.append(self.accounts.state(), records).is_err() {
            return false;
        }
        records.iter().for_each(|r| self.accounts.apply(r, &mut |_| ()));
        true
    }

    /// Exports what is new and lets go of what was handed over.
    fn export(&mut self) {
        if let Ok(record) = self.accounts.prepare() {
            self.take(&[record]);
        }
        let pending = self.accounts.exports().last().filter(|e| e.digest.is_none()).map(|e| e.number);
        if let Some(record) = pending.and_then(|n| self.accounts.hand(n, "x").unwrap()) {
            self.take(&[record]);
        }
        let known = index(&self.segments.disk).unwrap();
        let kept = self.accounts.state().kept_from();
        let begins: Vec<_> = known.into_iter().filter(|(segment, _)| *segment > kept).collect();
        if let Some(record) = self.accounts.let_go(&begins[..begins.len().saturating_sub(2)]) {
            self.take(&[record]);
        }
        let _ = self.segments.remove_before(self.accounts.state().kept_from());
    }
}

/// Sessions in batches, tried again until they are kept or tries run out, and exports between; how many entries
/// were acknowledged.
fn run(disk: Faulty) -> (Faulty, u64) {
    let mut run = Run::new(disk);
    let mut held = Vec::new();
    for batch in 0..14u64 {
        if batch < 12 {
            held.extend((batch * 3 + 1..batch * 3 + 4).flat_map(session));
        }
        if run.take(&held) {
            held.clear();
        }
        if batch % 3 == 2 {
            run.export();
        }
    }
    (run.segments.disk, run.accounts.entries())
}

fn check(disk: &Faulty, acknowledged: u64, case: &str) -> Found {
    let (newest, _, place) = found(disk, From::Newest).unwrap_or_else(|why| panic!("{case}: {why}"));
    let (oldest, entries, _) = found(disk, From::Oldest).unwrap_or_else(|why| panic!("{case}: {why}"));
    assert_eq!(newest.state(), oldest.state(), "{case}: a start knows what all records tell");
    assert!(newest.entries() >= acknowledged, "{case}");
    let all: Vec<u64> = (newest.entries() + 1 - entries.len() as u64..=newest.entries()).collect();
    assert_eq!(entries, all, "{case}: none is missing in what is kept");
    (newest, entries, place)
}

#[test]
fn a_fault_at_every_operation_loses_nothing_acknowledged_and_doubles_nothing() {
    let (whole, all) = run(Faulty::default());
    let (accounts, entries, _) = check(&whole, all, "no fault");
    assert_eq!(all, 36);
    assert!(entries.len() < 36 && accounts.state().kept_from() > 2, "old segments were let go");
    assert!(whole.files.len() < 6);
    let operations = whole.operations;
    assert!(operations > 40, "{operations}");
    for fails_at in 1..=operations {
        for part in [0, 30, 99, 100] {
            for for_good in [false, true] {
                let faulty = Faulty { fails_at: Some(fails_at), part, for_good, ..Faulty::default() };
                let (mut after, acknowledged) = run(faulty);
                let case = format!("operation {fails_at}, {part} per cent, for good {for_good}");
                // A kill: what was written is there. It may hold more than was acknowledged, in order, once each.
                let (accounts, ..) = check(&after, acknowledged, &case);
                if !for_good {
                    assert_eq!(acknowledged, 36, "{case}");
                }
                // It goes on after it.
                after.fails_at = None;
                let mut again = Run::new(after.clone());
                let left_open = again.accounts.start(1, 0);
                assert!(again.take(&left_open), "{case}");
                let next = again.accounts.entries() + 1;
                assert!(next <= accounts.entries() + 4 && again.take(&session(next)), "{case}");
                again.export();
                check(&again.segments.disk, next, &case);
                // A loss of power: what was not synced is gone.
                after.files.values_mut().for_each(|(file, synced)| file.truncate(*synced));
                check(&after, acknowledged, &format!("{case}, power"));
            }
        }
    }
}

/// Segments that are all kept.
fn kept() -> Faulty {
    let mut run = Run::new(Faulty::default());
    (0..12u64).for_each(|b| assert!(run.take(&(b * 3 + 1..b * 3 + 4).flat_map(session).collect::<Vec<_>>())));
    run.segments.disk
}

#[test]
fn damage_in_any_segment_shows_even_if_the_last_one_is_empty() {
    let mut disk = kept();
    let last = disk.files.len() as u64 + 1;
    assert!(last > 4);
    disk.files.insert(last, (Vec::new(), 0));
    assert!(found(&disk, From::Oldest).is_ok() && found(&disk, From::Newest).is_ok());
    for k in 1..last {
        let half = disk.files[&k].0.len() / 2;
        let mut flipped = disk.clone();
        flipped.files.get_mut(&k).unwrap().0[half] ^= 1;
        assert!(matches!(found(&flipped, From::Oldest), Err(Unread::Damaged { .. })), "segment {k}");
        let mut cut = disk.clone();
        cut.files.get_mut(&k).unwrap().0.truncate(half);
        // Whole lines that are gone show by what follows; behind the very last there is nothing.
        assert!(found(&cut, From::Oldest).is_err() || k + 1 == last, "segment {k}");
        let mut without = disk.clone();
        without.files.remove(&k);
        assert!(found(&without, From::Oldest).is_err(), "segment {k}");
        assert!(found(&without, From::Newest).is_err(), "segment {k}");
    }
    assert!(read(&disk, "another", From::Oldest, |_| true).is_err());
    assert!(read(&disk, "another", From::Newest, |_| true).is_err());
}

#[test]
fn entries_are_found_without_reading_all() {
    let disk = kept();
    for number in 1..=36 {
        let mut first = None;
        let mut accounts = accounts();
        let mut seen = Vec::new();
        read(&disk, "g", From::Entry(number), |record| {
            first.get_or_insert_with(|| record.clone());
            accounts.apply(record, &mut |e| seen.push(e.number));
            !seen.contains(&number)
        })
        .unwrap();
        assert!(seen.contains(&number) && seen.len() < 12, "{number}: {seen:?}");
    }
}
