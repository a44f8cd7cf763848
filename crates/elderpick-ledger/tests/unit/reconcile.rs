//! Unit tests of `reconcile.rs`.

use super::*;
use crate::accounts::{Accounts, Correction, Facts, Outcome, Record};
use crate::calendar::{Calendar, Every};
use crate::export;

const S: Micros = 1_000_000;
const START: Micros = 1_767_225_600 * S;

struct Gateway {
    name: &'static str,
    accounts: Accounts,
    entries: Vec<Entry>,
    exports: Vec<Export>,
}

impl Gateway {
    fn new(name: &'static str) -> Gateway {
        let accounts = Accounts::new(Calendar::new("UTC", Every::Day, 0).unwrap());
        let mut gateway = Gateway { name, accounts, entries: vec![], exports: vec![] };
        gateway.take(&gateway.accounts.start(name.len() as u64, START));
        gateway
    }

    fn take(&mut self, records: &[Record]) {
        let entries = &mut self.entries;
        records.iter().for_each(|r| self.accounts.apply(r, &mut |e| entries.push(e)));
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
        let over =
            Record::Over { session: session.clone(), span, tries: 1, outcome: Outcome::Left, bytes: None };
        self.take(&[Record::Begun { session, facts, rung: 0 }, over]);
    }

    fn export(&mut self) {
        let Record::Prepared { export, first, last } = self.accounts.prepare().unwrap() else { panic!() };
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
        self.take(&[self.accounts.hand(export, &read.digest).unwrap().unwrap()]);
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
    let over =
        Finding::Over { tenant: "botany".into(), viewer: "bob".into(), title: "carex".into(), span: 6 * S };
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
    let mut old = Gateway { name: "a", accounts: a.accounts.clone(), entries: vec![], exports: vec![] };
    old.accounts = Accounts::new(Calendar::new("UTC", Every::Day, 0).unwrap());
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
        bytes: 0,
        at_rung: vec![-10 * S],
        why: "a test".into(),
        at: START,
    };
    a.take(&[a.accounts.correct(&a.entries[1], change).unwrap()]);
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
