//! Unit tests of `keeper.rs`.

use std::cell::RefCell;
use std::rc::Rc;

use super::*;

/// A disk that stops at a chosen byte of a chosen write, and forgets what was not synced if power goes.
#[derive(Default)]
struct Disk {
    file: Option<Vec<u8>>,
    synced: usize,
    /// Bytes that may still be written before it fails, and whether it fails for good.
    left: Option<usize>,
}

#[derive(Clone, Default)]
struct Plate(Rc<RefCell<Disk>>);

impl Store for Plate {
    type Error = &'static str;
    fn append(&mut self, bytes: &[u8]) -> Result<(), &'static str> {
        let disk = &mut *self.0.borrow_mut();
        let fits = disk.left.map_or(bytes.len(), |left| left.min(bytes.len()));
        disk.file.get_or_insert_default().extend(&bytes[..fits]);
        disk.left = disk.left.map(|left| left - fits);
        if fits < bytes.len() { Err("full") } else { Ok(()) }
    }
    fn sync(&mut self) -> Result<(), &'static str> {
        let disk = &mut *self.0.borrow_mut();
        if disk.left == Some(0) {
            return Err("no sync");
        }
        disk.left = disk.left.map(|left| left - 1);
        disk.synced = disk.file.as_ref().map_or(0, Vec::len);
        Ok(())
    }
    fn replace(&mut self, whole: &[u8]) -> Result<(), &'static str> {
        let disk = &mut *self.0.borrow_mut();
        if disk.left.is_some_and(|left| left < whole.len()) {
            disk.left = Some(0);
            return Err("full");
        }
        disk.left = disk.left.map(|left| left - whole.len());
        (disk.file, disk.synced) = (Some(whole.to_vec()), whole.len());
        Ok(())
    }
}

fn taken(seat: u64) -> Record {
    Record::Taken { seat, licence: "l".into(), holder: format!("h{seat}") }
}

fn seats(found: &Found) -> Vec<u64> {
    found.taken.iter().map(|t| t.0).collect()
}

fn open(disk: &Plate, boot: &str, sync: Sync) -> (Keeper<Plate>, Found) {
    let log = disk.0.borrow().file.clone();
    Keeper::open(disk.clone(), log.as_deref(), boot, sync)
}

/// Seats 1 to 6 are taken, odd ones freed. What of it was acknowledged, with the write path cut after `left` bytes.
fn run(disk: &Plate, left: usize, sync: Sync) -> (Vec<u64>, Vec<u64>) {
    open(disk, "b", sync).0.commit(&[Record::Sure]).unwrap();
    let (mut keeper, _) = open(disk, "b", sync);
    disk.0.borrow_mut().left = Some(left);
    let (mut acknowledged, mut asked_free) = (Vec::new(), Vec::new());
    for seat in 1..=6 {
        if keeper.commit(&[taken(seat)]).is_ok() {
            acknowledged.push(seat);
        }
        if seat % 2 == 1 {
            asked_free.push(seat);
            let _ = keeper.commit(&[Record::Freed { seat }]);
        }
    }
    (acknowledged, asked_free)
}

#[test]
fn a_crash_at_every_byte_of_the_write_path_loses_nothing_that_was_acknowledged() {
    for sync in [Sync::Always, Sync::Soon] {
        for left in 0..1200 {
            let disk = Plate::default();
            let (acknowledged, freed) = run(&disk, left, sync);
            // The process is killed; with synced records, power may go as well.
            if sync == Sync::Always {
                let disk = &mut *disk.0.borrow_mut();
                let synced = disk.synced;
                disk.file.as_mut().unwrap().truncate(synced);
            }
            disk.0.borrow_mut().left = None;
            let (_, found) = open(&disk, "b", sync);
            assert_eq!(found.unsure, None, "cut after {left}");
            let there = seats(&found);
            let lost = acknowledged.iter().find(|s| !freed.contains(s) && !there.contains(s));
            assert_eq!(lost, None, "cut after {left}: {there:?}");
        }
    }
}

#[test]
fn a_disk_that_is_full_is_told_and_all_is_kept_when_it_has_room_again() {
    for left in 0..300 {
        let disk = Plate::default();
        let (mut keeper, _) = open(&disk, "b", Sync::Always);
        keeper.commit(&[taken(1)]).unwrap();
        disk.0.borrow_mut().left = Some(left);
        let first = keeper.commit(&[taken(2), Record::Freed { seat: 1 }]);
        assert_eq!(first.is_err(), keeper.failed());
        let _ = keeper.commit(&[taken(3)]);
        disk.0.borrow_mut().left = None;
        keeper.commit(&[]).unwrap();
        let found = open(&disk, "b", Sync::Always).1;
        assert_eq!(seats(&found), [2, 3], "room for {left}");
    }
}

#[test]
fn what_cannot_be_certain_is_told() {
    let disk = Plate::default();
    let unsure = |boot, sync| {
        let (mut keeper, found) = open(&disk, boot, sync);
        (seats(&found), found.unsure.is_some(), keeper.commit(&[]).is_ok()).1
    };
    let sure = || open(&disk, "b", Sync::Always).0.commit(&[Record::Sure]).unwrap();
    assert!(unsure("b", Sync::Always), "no state");
    assert!(unsure("b", Sync::Always), "a second start before the doubt was over");
    sure();
    assert!(!unsure("b", Sync::Always));
    open(&disk, "b", Sync::Soon).0.commit(&[taken(1)]).unwrap();
    assert!(!unsure("b", Sync::Soon), "only the process was killed");
    assert!(unsure("c", Sync::Soon), "records were not synced and the machine began anew");
    sure();
    assert!(!unsure("d", Sync::Always), "they were synced");
    let at = disk.0.borrow().file.as_ref().unwrap().len() - 3;
    disk.0.borrow_mut().file.as_mut().unwrap()[at] ^= 4;
    assert!(open(&disk, "d", Sync::Always).1.unsure.is_some(), "a flipped bit");
}

#[test]
fn the_log_stays_bounded_while_seats_come_and_go() {
    let disk = Plate::default();
    let (mut keeper, _) = open(&disk, "b", Sync::Never);
    for seat in 1..20_000 {
        keeper.commit(&[taken(seat)]).unwrap();
        if seat > 10 {
            keeper.commit(&[Record::Freed { seat: seat - 10 }]).unwrap();
        }
    }
    assert!(keeper.length() < 2 << 20 && keeper.rewrites > 1, "{} bytes", keeper.length());
    assert_eq!(seats(&open(&disk, "b", Sync::Never).1).len(), 10);
}
