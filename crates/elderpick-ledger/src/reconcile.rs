//! The use of all gateways, worked out from their exports and nothing else.
//!
//! What a retry is across gateways cannot be agreed on by them; it is worked out here, by who plays what and when: a
//! session that begins within a window after another one of the same viewer, class and title has ended is the same use.
//! Sessions of one viewer that lie over one another at two gateways are both real time at media servers; they are one
//! use, and shown as counted at two.

use std::collections::BTreeMap;
use std::fmt;

use crate::Micros;
use crate::book::{Entry, Kind, Total};
use crate::export::Export;

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
}

/// A use that may still go on: where it is, and until when.
struct Going {
    until: Micros,
    gateway: usize,
}

/// Takes exports in any order.
pub fn reconcile(exports: &[Export], window: Micros) -> Report {
    let mut report = Report { exports: exports.len(), ..Report::default() };
    let mut of: BTreeMap<&str, BTreeMap<u64, &Export>> = BTreeMap::new();
    for export in exports {
        let (gateway, number) = (&*export.manifest.gateway, export.manifest.export);
        let before = of.entry(gateway).or_default().insert(number, export);
        if before.is_some_and(|before| before.digest != export.digest) {
            report.findings.push(Finding::Twice { gateway: gateway.into(), export: number });
        }
    }
    report.gateways = of.len();
    let mut sessions: Vec<(usize, &Entry)> = Vec::new();
    for (k, (gateway, exports)) in of.iter().enumerate() {
        series(gateway, exports, &mut report.findings);
        for entry in exports.values().flat_map(|e| &e.entries) {
            report.entries += 1;
            let billed = report.billed.entry((entry.period.clone(), entry.tenant.clone())).or_default();
            billed.total.add(entry);
            billed.sessions = billed.sessions.saturating_add(entry.uses);
            billed.uses = billed.uses.saturating_add(entry.uses);
            if entry.kind == Kind::Use && entry.part == 0 && !entry.viewer.is_empty() {
                sessions.push((k, entry));
            }
        }
    }
    retries(&sessions, window, &mut report);
    report.findings.sort();
    report
}

/// Looks at the exports of one gateway as a row.
fn series(gateway: &str, exports: &BTreeMap<u64, &Export>, findings: &mut Vec<Finding>) {
    let name = || gateway.to_owned();
    let mut next = 1;
    let (mut digest, mut last) = ("", 0u64);
    let mut epochs: BTreeMap<u64, u64> = BTreeMap::new();
    let mut known = std::collections::BTreeSet::new();
    for (&number, export) in exports {
        let missing = next..number;
        let whole = missing.is_empty();
        findings.extend(missing.take(1000).map(|export| Finding::Missing { gateway: name(), export }));
        if whole && export.manifest.before != digest {
            findings.push(Finding::Broken { gateway: name(), export: number });
        }
        if whole && export.manifest.first != last.saturating_add(1) || export.manifest.first <= last {
            findings.push(Finding::Numbers { gateway: name(), export: number });
        }
        (next, digest, last) = (number.saturating_add(1), &export.digest, export.manifest.last);
        for entry in &export.entries {
            known.insert(entry.number);
            if *epochs.entry(entry.epoch).or_insert(entry.nonce) != entry.nonce {
                findings.push(Finding::Epochs { gateway: name(), epoch: entry.epoch });
            }
            match entry.kind {
                Kind::Gap => findings.push(Finding::Gap {
                    gateway: name(),
                    from: entry.from,
                    span: entry.span,
                    why: entry.why.clone(),
                }),
                Kind::Correction if !entry.corrects.is_some_and(|of| known.contains(&of)) => {
                    findings.push(Finding::Orphan { gateway: name(), entry: entry.number });
                }
                _ => {}
            }
        }
    }
    findings.dedup();
}

/// Counts sessions that go on from another as part of its use.
fn retries(sessions: &[(usize, &Entry)], window: Micros, report: &mut Report) {
    // The whole of a session, not its first part alone: the parts of it follow one another.
    let mut by: BTreeMap<[&str; 5], Vec<(usize, &Entry)>> = BTreeMap::new();
    for &(k, e) in sessions {
        by.entry([&e.tenant, &e.licence, &e.class, &e.title, &e.viewer]).or_default().push((k, e));
    }
    for ([tenant, _, _, title, viewer], mut of) in by {
        of.sort_by_key(|(k, e)| (e.from, *k, e.number));
        let mut going: Option<Going> = None;
        for (gateway, entry) in of {
            let until = entry.from.saturating_add(entry.span);
            match &mut going {
                Some(g) if entry.from <= g.until.saturating_add(window) => {
                    if let Some(billed) = report.billed.get_mut(&(entry.period.clone(), entry.tenant.clone()))
                    {
                        billed.uses = billed.uses.saturating_sub(1);
                    }
                    let over = g.until.min(until).saturating_sub(entry.from);
                    if over > 0 && g.gateway != gateway {
                        report.findings.push(Finding::Over {
                            tenant: tenant.into(),
                            viewer: viewer.into(),
                            title: title.into(),
                            span: over,
                        });
                    }
                    if until > g.until {
                        *g = Going { until, gateway };
                    }
                }
                _ => going = Some(Going { until, gateway }),
            }
        }
    }
}

impl Report {
    /// Whether anything is not as it must be.
    pub fn clean(&self) -> bool {
        self.findings.is_empty()
    }

    /// A plain table, with a bar for the time.
    pub fn table(&self) -> String {
        let most = self.billed.values().map(|b| b.total.time()).max().unwrap_or(0).max(1);
        let mut out = format!(
            "{:<10} {:<20} {:>9} {:>9} {:>14}  time\n",
            "period", "tenant", "sessions", "uses", "seconds"
        );
        for ((period, tenant), b) in &self.billed {
            let time = b.total.time();
            let bar = "#".repeat((i128::from(time.max(0)) * 30 / i128::from(most)) as usize);
            let seconds = format!("{}.{:06}", time / 1_000_000, (time % 1_000_000).abs());
            out +=
                &format!("{period:<10} {tenant:<20} {:>9} {:>9} {seconds:>14}  {bar}\n", b.sessions, b.uses);
        }
        out +=
            &format!("{} entries in {} exports of {} gateways\n", self.entries, self.exports, self.gateways);
        self.findings.iter().fold(out, |out, finding| out + &format!("! {finding}\n"))
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::book::{Book, Correction, Facts, Outcome, Record};
    use crate::calendar::{Calendar, Every};
    use crate::export;

    const S: Micros = 1_000_000;
    const START: Micros = 1_767_225_600 * S;

    struct Gateway {
        name: &'static str,
        book: Book,
        entries: Vec<Entry>,
        exports: Vec<Export>,
    }

    impl Gateway {
        fn new(name: &'static str) -> Gateway {
            let book = Book::new(Calendar::new("UTC", Every::Day, 0).unwrap());
            let mut gateway = Gateway { name, book, entries: vec![], exports: vec![] };
            gateway.take(&gateway.book.start(name.len() as u64, START));
            gateway
        }

        fn take(&mut self, records: &[Record]) {
            let entries = &mut self.entries;
            records.iter().for_each(|r| self.book.apply(r, &mut |e| entries.push(e)));
        }

        fn session(&mut self, viewer: &str, from: Micros, span: Micros) {
            let facts = Facts {
                tenant: "botany".into(),
                licence: "course".into(),
                class: "exam".into(),
                title: "carex".into(),
                viewer: viewer.into(),
                started: START + from,
            };
            let session = format!("{viewer}-{from}");
            let over = Record::Over { session: session.clone(), span, tries: 1, outcome: Outcome::Left };
            self.take(&[Record::Begun { session, facts, rung: 0 }, over]);
        }

        fn export(&mut self) {
            let Record::Prepared { export, first, last } = self.book.prepare().unwrap() else { panic!() };
            self.take(&[Record::Prepared { export, first, last }]);
            let before = self.exports.last().map_or(String::new(), |e| e.digest.clone());
            let entries = &self.entries[first as usize - 1..last as usize];
            let files = export::write(self.name, export, &before, entries).unwrap();
            assert_eq!(
                files,
                export::write(self.name, export, &before, entries).unwrap(),
                "the same bytes again"
            );
            let read = export::read(&files).unwrap();
            self.take(&[self.book.hand(export, &read.digest).unwrap().unwrap()]);
            self.exports.push(read);
        }
    }

    fn billed(report: &Report) -> (i64, i64, Micros) {
        let b = &report.billed[&("2026-01-01".to_owned(), "botany".to_owned())];
        (b.sessions, b.uses, b.total.time())
    }

    #[test]
    fn a_retry_at_another_gateway_is_part_of_its_first_try_and_time_is_counted_as_played() {
        let (mut a, mut b) = (Gateway::new("a"), Gateway::new("b"));
        a.session("ann", 0, 10 * S);
        b.session("ann", 12 * S, 20 * S);
        a.session("ann", 200 * S, 5 * S);
        b.session("bob", 0, 10 * S);
        a.session("bob", 4 * S, 10 * S);
        a.session("", 0, S);
        b.session("", 0, S);
        a.export();
        b.export();
        let report = reconcile(&[a.exports.clone(), b.exports.clone()].concat(), 30 * S);
        assert_eq!(billed(&report), (7, 5, 57 * S));
        let over = Finding::Over {
            tenant: "botany".into(),
            viewer: "bob".into(),
            title: "carex".into(),
            span: 6 * S,
        };
        assert_eq!(report.findings, [over]);
        let back = reconcile(&[b.exports, a.exports].concat(), 30 * S);
        assert_eq!(report, back, "whatever the order");
    }

    #[test]
    fn what_is_missing_double_edited_or_from_an_old_copy_is_found() {
        let mut a = Gateway::new("a");
        for k in 0..4 {
            a.session("ann", k * 100 * S, S);
            a.export();
        }
        let all = a.exports.clone();
        assert!(reconcile(&all, S).clean());
        let without = [all[0].clone(), all[2].clone(), all[3].clone()];
        assert_eq!(reconcile(&without, S).findings, [Finding::Missing { gateway: "a".into(), export: 2 }]);
        // The second was written anew, with other sums and a manifest that fits them.
        let mut edited = a.entries[1].clone();
        edited.at_rung = vec![9 * S];
        let files = export::write("a", 2, &all[0].digest, &[edited]).unwrap();
        let forged = [all[0].clone(), export::read(&files).unwrap(), all[2].clone(), all[3].clone()];
        assert_eq!(reconcile(&forged, S).findings, [Finding::Broken { gateway: "a".into(), export: 3 }]);
        let both = [&all[..], &forged[1..2]].concat();
        assert!(reconcile(&both, S).findings.contains(&Finding::Twice { gateway: "a".into(), export: 2 }));
        // A disk from before the third export: the gateway starts again from there.
        let mut old = Gateway { name: "a", book: a.book.clone(), entries: vec![], exports: vec![] };
        old.book = Book::new(Calendar::new("UTC", Every::Day, 0).unwrap());
        old.take(&[Record::Epoch { epoch: 1, nonce: 99, at: START, calendar: String::new() }]);
        old.session("eve", 0, S);
        old.export();
        let findings = reconcile(&[&all[1..], &old.exports].concat(), S).findings;
        assert!(findings.contains(&Finding::Epochs { gateway: "a".into(), epoch: 1 }), "{findings:?}");
    }

    #[test]
    fn gaps_are_told_and_a_correction_needs_what_it_corrects() {
        let mut a = Gateway::new("a");
        a.take(&[Record::Gap { from: START, until: START + 7 * S, why: "disk full".into() }]);
        a.session("ann", 0, 10 * S);
        a.export();
        let change = Correction {
            of: 2,
            period: "2026-01-01".into(),
            tenant: "botany".into(),
            licence: "course".into(),
            class: "exam".into(),
            uses: -1,
            at_rung: vec![-10 * S],
            why: "a test".into(),
            at: START,
        };
        a.take(&[a.book.correct(&a.entries[1], change).unwrap()]);
        a.export();
        let report = reconcile(&a.exports, S);
        assert_eq!(billed(&report), (0, 0, 0));
        let why = "disk full".to_owned();
        assert_eq!(report.findings, [Finding::Gap { gateway: "a".into(), from: START, span: 7 * S, why }]);
        let alone = reconcile(&a.exports[1..], S).findings;
        assert!(alone.contains(&Finding::Orphan { gateway: "a".into(), entry: 3 }), "{alone:?}");
    }

    #[test]
    fn a_file_that_was_changed_is_not_read() {
        let mut a = Gateway::new("a");
        a.session("ann", 0, 10 * S);
        let good = export::write("a", 1, "", &a.entries).unwrap();
        assert!(export::read(&good).is_ok());
        for bit in (0..good.jsonl.len() * 8).step_by(5) {
            let mut bad = good.clone();
            bad.jsonl[bit / 8] ^= 1 << (bit % 8);
            assert!(export::read(&bad).is_err());
        }
        for cut in 0..good.csv.len() {
            let mut bad = good.clone();
            bad.csv.truncate(cut);
            assert!(export::read(&bad).is_err());
        }
    }
}
