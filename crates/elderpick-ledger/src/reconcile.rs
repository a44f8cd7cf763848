//! The use of all gateways, worked out from their exports and nothing else.
//!
//! What a retry is across gateways cannot be agreed on by them; it is worked out here, by who plays what and when: a
//! session that begins within a window after another one of the same viewer, class and title has ended is the same use.
//! Sessions of one viewer that lie over one another at two gateways are both real time at media servers; they are one
//! use, and shown as counted at two.

use std::collections::BTreeMap;
use std::fmt;

use serde::{Deserialize, Serialize};

use crate::Micros;
use crate::accounts::{Entry, Kind, Total};
use crate::chain::Hash;
use crate::export::{Export, Manifest};

/// Something that is not as it must be.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub enum Finding {
    /// An export is missing between others.
    Missing { gateway: String, export: u64 },
    /// Two exports have one number and differ.
    Twice { gateway: String, export: u64 },
    /// An export does not follow the one before it: one of them was edited, or the gateway went on from an old state.
    Broken { gateway: String, export: u64 },
    /// Entries are missing between two exports, or stand in both.
    Numbers { gateway: String, export: u64 },
    /// Two processes went on from the same records: one ran from an old copy of the disk.
    Epochs { gateway: String, epoch: u64 },
    /// The gateway knows that use is missing.
    Gap { gateway: String, from: Micros, span: Micros, why: String },
    /// A correction corrects an entry that no export has.
    Orphan { gateway: String, entry: u64 },
    /// One viewer's sessions of a title lie over one another by so long, at two gateways.
    Over { tenant: String, viewer: String, title: String, span: Micros },
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let s = |us: &Micros| us / 1_000_000;
        match self {
            Finding::Missing { gateway, export } => write!(f, "{gateway}: export {export} is missing"),
            Finding::Twice { gateway, export } => {
                write!(f, "{gateway}: export {export} is there twice and differs")
            }
            Finding::Broken { gateway, export } => {
                write!(f, "{gateway}: export {export} does not follow the one before it")
            }
            Finding::Numbers { gateway, export } => {
                write!(f, "{gateway}: entries are missing or double before those of export {export}")
            }
            Finding::Epochs { gateway, epoch } => {
                write!(f, "{gateway}: two processes have epoch {epoch}; one went on from an old copy")
            }
            Finding::Gap { gateway, from, span, why } => {
                write!(f, "{gateway}: use is not known for {} s from {from} us: {why}", s(span))
            }
            Finding::Orphan { gateway, entry } => {
                write!(f, "{gateway}: entry {entry} corrects one that is in no export")
            }
            Finding::Over { tenant, viewer, title, span } => {
                write!(f, "{tenant}: {viewer:?} played {title:?} at two gateways at once, for {} s", s(span))
            }
        }
    }
}

/// Use of a tenant in a period, of all gateways.
#[derive(Clone, PartialEq, Eq, Default, Debug)]
pub struct Billed {
    /// Sessions, and uses with retries counted as part of their first try.
    pub sessions: i64,
    pub uses: i64,
    pub total: Total,
}

/// What came of the exports.
#[derive(Clone, PartialEq, Eq, Default, Debug)]
pub struct Report {
    /// By period and tenant.
    pub billed: BTreeMap<(String, String), Billed>,
    pub findings: Vec<Finding>,
    pub gateways: usize,
    pub exports: usize,
    pub entries: u64,
    /// Findings that were counted and not told.
    pub more: u64,
}

/// A session that may be the retry of another one, or have one itself: so much of it as is needed to see that.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Debug, Serialize, Deserialize)]
pub struct Seen {
    /// Tenant, licence, class, title, viewer.
    pub who: [String; 5],
    pub from: Micros,
    pub span: Micros,
    pub gateway: usize,
    pub number: u64,
    pub period: String,
    /// Of a session that was cut at a period's end; only the first part may be a retry.
    pub part: u32,
}

impl Seen {
    /// One of so many heaps, each of which may be looked at alone: all sessions that may belong together are in one.
    pub fn heap(&self, of: usize) -> usize {
        let mut hash = Hash::default();
        for word in &self.who {
            hash.take(&(word.len() as u64).to_le_bytes());
            hash.take(word.as_bytes());
        }
        let digits = hash.digest();
        let number = u64::from_str_radix(&digits[..15], 16).unwrap_or(0);
        (number % of.max(1) as u64) as usize
    }
}

/// Tenants that bear another name on the bill, all of them or by licence. Ledgers and their totals stay as they are.
#[derive(Clone, PartialEq, Eq, Default, Debug)]
pub struct Renamed(BTreeMap<(String, String), String>);

impl Renamed {
    /// Reads a table with the columns `tenant,licence,to`; an empty licence stands for all that have no row of their own.
    pub fn read(table: &[u8]) -> Result<Renamed, String> {
        let mut renamed = Renamed::default();
        let mut reader = csv::Reader::from_reader(table);
        let head = reader.headers().map_err(|why| why.to_string())?;
        if head.iter().ne(["tenant", "licence", "to"]) {
            return Err("line 1: must be tenant,licence,to".into());
        }
        for row in reader.records() {
            let row = row.map_err(|why| why.to_string())?;
            let line = row.position().map_or(0, csv::Position::line);
            let word = |k: usize| row.get(k).unwrap_or_default().trim().to_owned();
            if word(0).is_empty() || word(2).is_empty() {
                return Err(format!("line {line}: tenant and to must not be empty"));
            }
            if renamed.0.insert((word(0), word(1)), word(2)).is_some() {
                return Err(format!("line {line}: {:?} with licence {:?} is there twice", word(0), word(1)));
            }
        }
        Ok(renamed)
    }

    fn rename(&self, entry: &mut Entry) {
        if self.0.is_empty() {
            return;
        }
        let own = self.0.get(&(entry.tenant.clone(), entry.licence.clone()));
        if let Some(to) = own.or_else(|| self.0.get(&(entry.tenant.clone(), String::new()))) {
            entry.tenant.clone_from(to);
        }
    }
}

/// Findings that are told; more are counted.
const MOST_FINDINGS: usize = 10_000;

/// The series of one gateway's exports, as far as it was taken.
struct Series {
    name: String,
    number: u64,
    digest: String,
    last: u64,
    /// Numbers of entries that some export had, as ranges.
    known: Vec<(u64, u64)>,
    epochs: BTreeMap<u64, u64>,
}

/// Takes exports one after the other and holds none of their entries. Gateways come one after the other, the exports of
/// each by their numbers; see [`Reconciler::next`].
pub struct Reconciler {
    report: Report,
    renamed: Renamed,
    series: Option<Series>,
    window: Micros,
    /// Numbers its gateways from here on.
    first: usize,
}

impl Reconciler {
    pub fn new(window: Micros, renamed: Renamed) -> Reconciler {
        Reconciler { report: Report::default(), renamed, series: None, window, first: 0 }
    }

    /// One of several that share the gateways among them, each gateway at one of them; see [`Reconciler::merge`].
    pub fn part(&self, part: u32) -> Reconciler {
        let first = (part as usize + 1) << 20;
        Reconciler { first, ..Reconciler::new(self.window, self.renamed.clone()) }
    }

    /// Takes in what another one found.
    pub fn merge(&mut self, other: Reconciler) {
        let (report, other) = (&mut self.report, other.report);
        report.gateways += other.gateways;
        report.exports += other.exports;
        report.entries += other.entries;
        report.more += other.more;
        for (key, billed) in other.billed {
            let into = report.billed.entry(key).or_default();
            into.sessions = into.sessions.saturating_add(billed.sessions);
            into.uses = into.uses.saturating_add(billed.uses);
            into.total.merge(&billed.total);
        }
        other.findings.into_iter().for_each(|finding| self.find(finding));
    }

    fn find(&mut self, finding: Finding) {
        let findings = &mut self.report.findings;
        if findings.last() == Some(&finding) {
        } else if findings.len() < MOST_FINDINGS {
            findings.push(finding);
        } else {
            self.report.more += 1;
        }
    }

    /// Begins the next export. Whether its entries are to be given; not those of one that came already.
    ///
    /// # Panics
    ///
    /// Where exports do not come in order of gateway and number.
    pub fn next(&mut self, manifest: &Manifest, digest: &str) -> bool {
        let name = || manifest.gateway.clone();
        let (export, report) = (manifest.export, &mut self.report);
        report.exports += 1;
        let mut series = self.series.take();
        if series.as_ref().is_none_or(|s| s.name != manifest.gateway) {
            assert!(series.is_none_or(|s| s.name < manifest.gateway), "exports come in order");
            let (known, epochs) = (Vec::new(), BTreeMap::new());
            report.gateways += 1;
            series = Some(Series { name: name(), number: 0, digest: String::new(), last: 0, known, epochs });
        }
        let Some(mut s) = series else { return false };
        assert!(s.number <= export, "exports come in order");
        if s.number == export && s.number > 0 {
            if s.digest != digest {
                self.find(Finding::Twice { gateway: name(), export });
            }
            self.series = Some(s);
            return false;
        }
        let missing = s.number + 1..export;
        let whole = missing.is_empty();
        missing.take(1000).for_each(|export| self.find(Finding::Missing { gateway: name(), export }));
        if whole && manifest.before != s.digest {
            self.find(Finding::Broken { gateway: name(), export });
        }
        if whole && manifest.first != s.last.saturating_add(1) || manifest.first <= s.last {
            self.find(Finding::Numbers { gateway: name(), export });
        }
        (s.number, s.digest, s.last) = (export, digest.into(), manifest.last);
        match s.known.last_mut() {
            Some((_, last)) if last.saturating_add(1) == manifest.first => *last = manifest.last,
            _ => s.known.push((manifest.first, manifest.last)),
        }
        self.series = Some(s);
        true
    }

    /// Takes an entry of the export that was begun. A session that is to be looked at with others comes back.
    pub fn entry(&mut self, mut entry: Entry) -> Option<Seen> {
        self.renamed.rename(&mut entry);
        self.report.entries += 1;
        let key = (entry.period.clone(), entry.tenant.clone());
        let billed = match self.report.billed.get_mut(&key) {
            Some(billed) => billed,
            None => self.report.billed.entry(key).or_default(),
        };
        billed.total.add(&entry);
        billed.sessions = billed.sessions.saturating_add(entry.uses);
        billed.uses = billed.uses.saturating_add(entry.uses);
        let series = self.series.as_mut()?;
        let gateway = series.name.clone();
        let again = *series.epochs.entry(entry.epoch).or_insert(entry.nonce) != entry.nonce;
        let number = entry.number;
        // An entry can only correct what was made before it.
        let known = |of: u64| of < number && series.known.iter().any(|(a, z)| (*a..=*z).contains(&of));
        let orphan = entry.kind == Kind::Correction && !entry.corrects.is_some_and(known);
        if again {
            self.find(Finding::Epochs { gateway: gateway.clone(), epoch: entry.epoch });
        }
        if orphan {
            self.find(Finding::Orphan { gateway: gateway.clone(), entry: number });
        }
        if entry.kind == Kind::Gap {
            let (from, span, why) = (entry.from, entry.span, entry.why.clone());
            self.find(Finding::Gap { gateway, from, span, why });
        }
        (entry.kind == Kind::Use && !entry.viewer.is_empty()).then_some(Seen {
            who: [entry.tenant, entry.licence, entry.class, entry.title, entry.viewer],
            from: entry.from,
            span: entry.span,
            gateway: self.first + self.report.gateways,
            number,
            period: entry.period,
            part: entry.part,
        })
    }

    /// Looks at all sessions of one heap: those that go on from another one are part of its use.
    pub fn heap(&mut self, mut heap: Vec<Seen>) {
        heap.sort();
        let mut going: Option<Going> = None;
        let mut who: Option<[String; 5]> = None;
        for seen in heap {
            if who.as_ref() != Some(&seen.who) {
                (who, going) = (Some(seen.who.clone()), None);
            }
            let until = seen.from.saturating_add(seen.span);
            match &mut going {
                Some(g) if seen.from <= g.until.saturating_add(self.window) => {
                    let [tenant, _, _, title, viewer] = seen.who;
                    if seen.part == 0 {
                        let billed = self.report.billed.entry((seen.period, tenant.clone())).or_default();
                        billed.uses = billed.uses.saturating_sub(1);
                    }
                    let span = g.until.min(until).saturating_sub(seen.from);
                    let elsewhere = g.gateway != seen.gateway;
                    if until > g.until {
                        *g = Going { until, gateway: seen.gateway };
                    }
                    if span > 0 && elsewhere {
                        self.find(Finding::Over { tenant, viewer, title, span });
                    }
                }
                _ => going = Some(Going { until, gateway: seen.gateway }),
            }
        }
    }

    pub fn finish(mut self) -> Report {
        self.report.findings.sort();
        self.report.findings.dedup();
        self.report
    }
}

/// A use that may still go on: where it is, and until when.
struct Going {
    until: Micros,
    gateway: usize,
}

/// Takes exports in any order, all in memory.
pub fn reconcile(exports: &[Export], window: Micros) -> Report {
    let mut sorted: Vec<&Export> = exports.iter().collect();
    sorted.sort_by_key(|e| (&e.manifest.gateway, e.manifest.export, &e.digest));
    let mut reconciler = Reconciler::new(window, Renamed::default());
    let mut seen = Vec::new();
    for export in sorted {
        if reconciler.next(&export.manifest, &export.digest) {
            seen.extend(export.entries.iter().filter_map(|e| reconciler.entry(e.clone())));
        }
    }
    reconciler.heap(seen);
    reconciler.finish()
}

impl Report {
    /// Whether anything is not as it must be.
    pub fn clean(&self) -> bool {
        self.findings.is_empty() && self.more == 0
    }

    /// A plain table, with a bar for the time.
    pub fn table(&self) -> String {
        let most = self.billed.values().map(|b| b.total.time()).max().unwrap_or(0).max(1);
        let mut out = format!(
            "{:<10} {:<20} {:>9} {:>9} {:>14} {:>14}  time\n",
            "period", "tenant", "sessions", "uses", "seconds", "bytes"
        );
        for ((period, tenant), b) in &self.billed {
            let time = b.total.time();
            let bar = "#".repeat((i128::from(time.max(0)) * 30 / i128::from(most)) as usize);
            let seconds = format!("{}.{:06}", time / 1_000_000, (time % 1_000_000).abs());
            out += &format!(
                "{period:<10} {tenant:<20} {:>9} {:>9} {seconds:>14} {:>14}  {bar}\n",
                b.sessions, b.uses, b.total.bytes
            );
        }
        out +=
            &format!("{} entries in {} exports of {} gateways\n", self.entries, self.exports, self.gateways);
        out = self.findings.iter().fold(out, |out, finding| out + &format!("! {finding}\n"));
        if self.more > 0 {
            out += &format!("! and {} more\n", self.more);
        }
        out
    }
}

#[cfg(test)]
#[path = "../tests/unit/reconcile.rs"]
mod tests;
