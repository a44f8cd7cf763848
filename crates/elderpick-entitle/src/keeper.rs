//! What is written to a log of seats, in what order, and when it counts as kept.
//!
//! The keeper holds what is taken as the log tells it, so that it can write the log anew without asking anyone: when it
//! has grown, and after any write that failed. A store that failed once is never trusted to hold what it was given
//! before: the next thing it gets is all of it, in a new file (a failed fsync may have lost pages, and a second one
//! would say nothing of them).

use std::collections::BTreeMap;
use std::fmt;

use serde::Deserialize;

use crate::log::{self, End, Record};

/// Where a log is kept.
pub trait Store {
    type Error: fmt::Display;
    /// Writes behind what is there.
    fn append(&mut self, bytes: &[u8]) -> Result<(), Self::Error>;
    /// What was written outlives a loss of power.
    fn sync(&mut self) -> Result<(), Self::Error>;
    /// Puts a whole log in the place of the old one, safe from a loss of power: after a crash there is one or the other.
    fn replace(&mut self, whole: &[u8]) -> Result<(), Self::Error>;
}

/// When records outlive a loss of power. All outlive the process once they are kept.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Sync {
    /// Before they count as kept: one sync for all that came meanwhile.
    Always,
    /// Within a stated time.
    Soon,
    /// When the system likes.
    Never,
}

/// What a log told when it was opened.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct Found {
    pub taken: Vec<(u64, String, String)>,
    pub last: u64,
    /// Why what was taken is not known for certain.
    pub unsure: Option<String>,
}

pub struct Keeper<S> {
    store: S,
    boot: String,
    sync: Sync,
    length: u64,
    taken: BTreeMap<u64, (String, String)>,
    last: u64,
    unsure: bool,
    /// The store has failed and holds who knows what.
    failed: bool,
    unsynced: bool,
    pub rewrites: u64,
}

impl<S: Store> Keeper<S> {
    /// Takes over a store that holds `log`, if it holds one. A log of an earlier boot is whole only if every record
    /// was synced before it counted.
    pub fn open(store: S, log: Option<&[u8]>, boot: &str, sync: Sync) -> (Self, Found) {
        let mut found = Found { taken: Vec::new(), last: 0, unsure: Some("there is no state".into()) };
        if let Some(log) = log {
            let read = log::replay(log);
            found.unsure = match read.end {
                End::Damaged(what) => Some(what),
                End::Whole | End::Torn if read.boot != boot && sync != Sync::Always => {
                    Some("the machine was started anew and records were not synced".into())
                }
                _ if read.unsure => Some("an earlier doubt was not over".into()),
                End::Whole | End::Torn => None,
            };
            (found.taken, found.last) = (read.taken, read.last);
        }
        let taken = found.taken.iter().map(|(seat, l, h)| (*seat, (l.clone(), h.clone()))).collect();
        let mut keeper = Keeper {
            store,
            boot: boot.into(),
            sync,
            length: 0,
            taken,
            last: found.last,
            unsure: found.unsure.is_some(),
            failed: true,
            unsynced: false,
            rewrites: 0,
        };
        let _ = keeper.commit(&[]);
        (keeper, found)
    }

    /// Keeps records. On `Ok` all that was ever given is kept; after an `Err` it is so when a later call gives `Ok`.
    pub fn commit(&mut self, records: &[Record]) -> Result<(), S::Error> {
        for record in records {
            match record {
                Record::Taken { seat, licence, holder } => {
                    self.last = self.last.max(*seat);
                    self.taken.insert(*seat, (licence.clone(), holder.clone()));
                }
                Record::Freed { seat } => {
                    self.taken.remove(seat);
                }
                Record::Last { seat } => self.last = self.last.max(*seat),
                Record::Unsure => self.unsure = true,
                Record::Sure => self.unsure = false,
            }
        }
        if self.failed || log::should_compact(self.length, self.taken.len(), 128) {
            return self.rewrite();
        }
        let mut bytes = Vec::new();
        records.iter().for_each(|record| log::append(&mut bytes, self.length, record));
        if bytes.is_empty() {
            return Ok(());
        }
        self.failed = true;
        self.store.append(&bytes)?;
        if self.sync == Sync::Always {
            self.store.sync()?;
        }
        self.unsynced = self.sync != Sync::Always;
        self.length += bytes.len() as u64;
        self.failed = false;
        Ok(())
    }

    fn rewrite(&mut self) -> Result<(), S::Error> {
        self.failed = true;
        let mut whole = log::begin(&self.boot);
        log::append(&mut whole, 0, &Record::Last { seat: self.last });
        if self.unsure {
            log::append(&mut whole, 0, &Record::Unsure);
        }
        for (seat, (licence, holder)) in &self.taken {
            let record = Record::Taken { seat: *seat, licence: licence.clone(), holder: holder.clone() };
            log::append(&mut whole, 0, &record);
        }
        self.store.replace(&whole)?;
        self.length = whole.len() as u64;
        self.rewrites += 1;
        (self.failed, self.unsynced) = (false, false);
        Ok(())
    }

    /// Syncs what is not synced yet.
    pub fn sync(&mut self) -> Result<(), S::Error> {
        if self.failed || !self.unsynced {
            return Ok(());
        }
        self.failed = true;
        self.store.sync()?;
        (self.failed, self.unsynced) = (false, false);
        Ok(())
    }

    /// Whether a sync is owed by the policy.
    pub fn owes_sync(&self) -> bool {
        self.unsynced && self.sync == Sync::Soon
    }

    pub fn failed(&self) -> bool {
        self.failed
    }

    /// Length of the log in bytes.
    pub fn length(&self) -> u64 {
        self.length
    }
}

#[cfg(test)]
#[path = "../tests/unit/keeper.rs"]
mod tests;
