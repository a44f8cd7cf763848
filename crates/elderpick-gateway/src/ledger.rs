//! The ledger at work: its folder of segments, the thread that writes it, and what operators do with it.
//!
//! Nothing that viewers wait for waits for this. What the thread has no time for is left out and told as a gap.

mod files;
mod uses;
mod writer;

use std::fs::File;
use std::ops::ControlFlow;
use std::path::PathBuf;
use std::time::{SystemTime, UNIX_EPOCH};

use elderpick_ledger::Micros;
use elderpick_ledger::accounts::{Accounts, Correction, Entry, Kind, Record};
use elderpick_ledger::calendar::Calendar;
use elderpick_ledger::segments::{self, Disk, From, Segments};
use handover::Work;
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};

use self::files::{Files, read, told};
pub(crate) use self::uses::Uses;
pub use self::writer::Writer;
use crate::config;

mod handover;
mod office;

pub use office::{exports, reconcile};

/// What operators ask of a ledger.
#[derive(Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Command {
    Show,
    /// Closes the period of this name.
    Close {
        period: String,
    },
    /// Hands over what is new, to a folder or `http://` receiver, or what an export that was not handed over had.
    Export {
        to: String,
    },
    /// Hands an export over again: the same bytes.
    Again {
        to: String,
        export: u64,
    },
    Correct {
        entry: u64,
        uses: i64,
        at_rung: Vec<Micros>,
        #[serde(default)]
        bytes: i64,
        tenant: Option<String>,
        why: String,
    },
}

/// A gateway's ledger, open.
pub struct Ledger {
    gateway: String,
    accounts: Accounts,
    folder: PathBuf,
    segments: Segments<Files>,
    /// Bytes of records that are kept, about.
    keep: u64,
    /// The segment at whose beginning it was looked last whether old ones can go.
    looked: u64,
    _lock: File,
}

fn now() -> Micros {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_micros() as Micros)
}

impl Ledger {
    /// Opens the ledger of the settings and reads it whole. `Err` tells a person what is wrong.
    pub fn open(gateway: &str, settings: &config::Ledger) -> Result<Ledger, String> {
        let folder = &settings.folder;
        std::fs::create_dir_all(folder).map_err(told(folder))?;
        let lock = File::create(folder.join("lock")).map_err(told(folder))?;
        lock.try_lock().map_err(|_| format!("{}: another process has this ledger", folder.display()))?;
        let mut accounts = Accounts::new(Calendar::new(&settings.zone, settings.every, settings.lateness)?);
        let place = read(folder, gateway, From::Newest, |record| {
            accounts.apply(record, &mut |_| ());
            ControlFlow::Continue(())
        })?;
        if let Some(other) = accounts.other_calendar() {
            let folder = folder.display();
            return Err(format!(
                "{folder}: ledger.zone, ledger.every: must stay {other}, or take another folder"
            ));
        }
        let files = Files { folder: folder.clone(), file: None };
        let segments = Segments::new(files, gateway, settings.segment as u64, place);
        let keep = settings.keep as u64;
        let (gateway, folder) = (gateway.into(), folder.clone());
        Ok(Ledger { gateway, accounts, folder, segments, keep, looked: 0, _lock: lock })
    }

    /// Begins a new epoch: what the process before left open ends where it was marked last.
    pub fn begin(&mut self) -> Result<(), String> {
        let records = self.accounts.start(rand::random(), now());
        self.take(&records)
    }

    /// Keeps records and then counts them.
    pub fn take(&mut self, records: &[Record]) -> Result<(), String> {
        self.segments.append(self.accounts.state(), records).map_err(told(&self.folder))?;
        records.iter().for_each(|record| self.accounts.apply(record, &mut |_| ()));
        Ok(())
    }

    /// Lets go of old segments when the folder has more than is to be kept; looked at once a segment. Only what was
    /// handed over goes.
    pub fn tidy(&mut self) -> Result<(), String> {
        if self.looked == self.segments.segment() {
            return Ok(());
        }
        self.looked = self.segments.segment();
        let there = self.segments.disk.segments().map_err(told(&self.folder))?;
        let mut over = there.iter().map(|s| s.1).sum::<u64>().saturating_sub(self.keep);
        if over > 0 {
            // The first that may stay: all before it are over what is kept.
            let stay = there.iter().find(|(_, bytes)| {
                let stays = over == 0;
                over = over.saturating_sub(*bytes);
                stays
            });
            let upto = stay.map_or(self.looked, |s| s.0);
            let kept = self.accounts.state().kept_from();
            let begins = segments::index(&self.segments.disk).map_err(told(&self.folder))?;
            let begins: Vec<_> = begins.into_iter().filter(|(s, _)| *s > kept && *s <= upto).collect();
            if let Some(record) = self.accounts.let_go(&begins) {
                self.take(&[record])?;
            }
            if self.accounts.state().kept_from() < upto {
                let waiting = self.accounts.waiting();
                tracing::warn!(waiting, "the ledger is over keep, and its oldest entries are not exported");
            }
        }
        self.segments.remove_before(self.accounts.state().kept_from()).map_err(told(&self.folder))
    }

    fn entry(&self, number: u64) -> Result<Entry, String> {
        let mut found = None;
        let of = (&*self.folder, &*self.gateway, self.accounts.calendar());
        handover::entries(of, (number, number), |entry| {
            found = Some(entry);
            Ok(())
        })?;
        found.ok_or_else(|| "there is no such entry".into())
    }

    fn work(&self, number: u64, to: &str) -> Result<Work, String> {
        let exports = self.accounts.exports();
        let of = exports
            .iter()
            .find(|e| e.number == number)
            .ok_or("there is no such export, or it is kept no more")?;
        let before = exports.iter().find(|e| e.number + 1 == number).and_then(|e| e.digest.clone());
        if number > 1 && before.is_none() {
            return Err("what comes before this export is kept no more".into());
        }
        Ok(Work {
            folder: self.folder.clone(),
            gateway: self.gateway.clone(),
            calendar: self.accounts.calendar().clone(),
            number,
            first: of.first,
            last: of.last,
            before: before.unwrap_or_default(),
            to: to.into(),
        })
    }

    /// Begins what a command asks. What is worked out beside the records' thread comes back as work.
    fn begin_command(&mut self, command: Command) -> Result<Begun, String> {
        match command {
            Command::Export { to } => {
                let pending = self.accounts.exports().last().filter(|e| e.digest.is_none()).map(|e| e.number);
                let number = match pending {
                    Some(number) => number,
                    None => {
                        let record = self.accounts.prepare().map_err(|why| why.to_string())?;
                        self.take(std::slice::from_ref(&record))?;
                        self.accounts.exports().last().map_or(0, |e| e.number)
                    }
                };
                Ok(Begun::Work(self.work(number, &to)?, true))
            }
            Command::Again { to, export } => Ok(Begun::Work(self.work(export, &to)?, false)),
            other => self.quick(other).map(Begun::Done),
        }
    }

    /// An export was handed over, for the first time or again.
    fn handed(&mut self, number: u64, first: bool, done: (String, String)) -> Result<Value, String> {
        let (name, digest) = done;
        if first {
            let record = self.accounts.hand(number, &digest).map_err(|why| why.to_string())?;
            self.take(&record.into_iter().collect::<Vec<_>>())?;
        }
        let waiting = self.accounts.waiting();
        Ok(json!({ "export": number, "name": name, "digest": digest, "waiting": waiting }))
    }

    /// Does what an operator asks.
    pub fn run(&mut self, command: Command) -> Result<Value, String> {
        match self.begin_command(command)? {
            Begun::Done(done) => Ok(done),
            Begun::Work(work, first) => {
                let number = work.number;
                let done = work.run()?;
                self.handed(number, first, done)
            }
        }
    }

    fn quick(&mut self, command: Command) -> Result<Value, String> {
        let refused = |why: elderpick_ledger::accounts::Refused| why.to_string();
        match command {
            Command::Show => {
                let totals = self.accounts.totals().iter().map(|((period, tenant), total)| {
                    json!({ "period": period, "tenant": tenant, "entries": total.entries, "uses": total.uses,
                        "us": total.time(), "at_rung_us": total.at_rung, "bytes": total.bytes })
                });
                let exports = self.accounts.exports().iter().map(|e| {
                    json!({ "export": e.number, "first": e.first, "last": e.last, "handed": e.digest.is_some() })
                });
                Ok(
                    json!({ "gateway": self.gateway, "epoch": self.accounts.epoch(), "entries": self.accounts.entries(),
                    "open": self.accounts.open(), "closed_us": self.accounts.closed(), "odd": self.accounts.odd(),
                    "totals": totals.collect::<Vec<_>>(), "exports": exports.collect::<Vec<_>>() }),
                )
            }
            Command::Close { period } => {
                let day = if period.len() == 7 { format!("{period}-15") } else { period.clone() };
                let day: jiff::civil::Date = day.parse().map_err(|_| format!("{period:?} is no period"))?;
                let noon = day.at(12, 0, 0, 0).in_tz("UTC").map_err(|why| why.to_string())?;
                let of = self.accounts.calendar().period(noon.timestamp().as_microsecond());
                if of.name != period {
                    return Err(format!("{period:?} is no period: the one of that time is {:?}", of.name));
                }
                let record = self.accounts.close(&of, now()).map_err(refused)?;
                self.take(&[record])?;
                Ok(json!({ "closed": of.name }))
            }
            Command::Correct { entry, uses, at_rung, bytes, tenant, why } => {
                let of = self.entry(entry)?;
                let change = Correction {
                    of: entry,
                    period: of.period.clone(),
                    tenant: tenant.unwrap_or_else(|| of.tenant.clone()),
                    licence: of.licence.clone(),
                    class: of.class.clone(),
                    uses,
                    at_rung,
                    bytes,
                    why,
                    at: now(),
                };
                let record = self.accounts.correct(&of, change).map_err(refused)?;
                self.take(&[record])?;
                let number = self.accounts.entries();
                let period = self.entry(number)?.period;
                Ok(json!({ "entry": number, "kind": Kind::Correction, "period": period }))
            }
            Command::Export { .. } | Command::Again { .. } => Err("it takes its time".into()),
        }
    }
}

/// Reads all records of a ledger, also of a gateway that runs: how many records and entries, and how many records did
/// not fit what was known.
pub fn verify(gateway: &str, settings: &config::Ledger) -> Result<(u64, u64, u64), String> {
    let mut accounts = Accounts::new(Calendar::new(&settings.zone, settings.every, settings.lateness)?);
    let mut records = 0;
    read(&settings.folder, gateway, From::Oldest, |record| {
        records += 1;
        accounts.apply(record, &mut |_| ());
        ControlFlow::Continue(())
    })?;
    Ok((records, accounts.entries(), accounts.odd()))
}

/// How a command began.
enum Begun {
    Done(Value),
    /// An export that is to be handed over, for the first time or again.
    Work(Work, bool),
}
