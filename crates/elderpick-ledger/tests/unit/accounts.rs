//! Unit tests of `accounts.rs`.

use proptest::prelude::*;

use super::*;
use crate::calendar::Every;

const S: Micros = 1_000_000;
const DAY: Micros = 86_400 * S;
/// The first day of 2026, UTC.
const START: Micros = 1_767_225_600 * S;

fn accounts() -> Accounts {
    Accounts::new(Calendar::new("UTC", Every::Day, 3600 * S).unwrap())
}

fn facts(started: Micros) -> Facts {
    Facts {
        tenant: "botany".into(),
        licence: "course".into(),
        class: "exam".into(),
        title: "carex".into(),
        viewer: "ann".into(),
        started,
    }
}

fn all(accounts: &mut Accounts, records: &[Record]) -> Vec<Entry> {
    let mut out = Vec::new();
    records.iter().for_each(|r| accounts.apply(r, &mut |e| out.push(e)));
    out
}

fn session(name: &str, started: Micros, span: Micros) -> [Record; 2] {
    let begun = Record::Begun { session: name.into(), facts: facts(started), rung: 1 };
    [begun, Record::Over { session: name.into(), span, tries: 1, outcome: Outcome::Left, bytes: None }]
}

#[test]
fn a_session_over_midnight_is_cut_and_its_changes_of_rung_fall_where_they_were() {
    let mut accounts = accounts();
    let started = START + DAY - 100 * S;
    let [begun, over] = session("s", started, 250 * S);
    let down = Record::Rung { session: "s".into(), at: 60 * S, rung: 0 };
    let up = Record::Rung { session: "s".into(), at: 200 * S, rung: 2 };
    let entries = all(&mut accounts, &[begun, down, up, over]);
    let told: Vec<_> = entries.iter().map(|e| (&*e.period, e.uses, e.span, e.at_rung.clone())).collect();
    assert_eq!(
        told,
        [
            ("2026-01-01", 1, 100 * S, vec![40 * S, 60 * S]),
            ("2026-01-02", 0, 150 * S, vec![100 * S, 0, 50 * S]),
        ]
    );
}

#[test]
fn what_is_late_and_what_corrects_goes_to_the_next_open_period_and_closed_totals_stand() {
    let mut accounts = accounts();
    let entries = all(&mut accounts, &session("a", START + 5 * S, 10 * S));
    let day = accounts.calendar().period(START);
    assert_eq!(accounts.close(&day, day.until + 3599 * S), Err(Refused::TooEarly(day.until + 3600 * S)));
    let closed = accounts.close(&day, day.until + 3600 * S).unwrap();
    all(&mut accounts, &[closed]);
    assert_eq!(accounts.close(&day, day.until + DAY), Err(Refused::Closed));
    let before = accounts.totals()[&("2026-01-01".into(), "botany".into())].clone();
    let late = all(&mut accounts, &session("b", START + 50 * S, 10 * S));
    assert_eq!((&*late[0].period, late[0].late_for.as_deref()), ("2026-01-02", Some("2026-01-01")));
    let change = |of: &Entry, uses, time: Micros| Correction {
        of: of.number,
        period: of.period.clone(),
        tenant: of.tenant.clone(),
        licence: of.licence.clone(),
        class: of.class.clone(),
        uses,
        bytes: 0,
        at_rung: vec![0, time],
        why: "billed to the wrong course".into(),
        at: START + 2 * DAY,
    };
    let record = accounts.correct(&entries[0], change(&entries[0], -1, -10 * S)).unwrap();
    let corrected = all(&mut accounts, &[record]);
    let told = (&*corrected[0].period, corrected[0].late_for.as_deref(), corrected[0].corrects);
    assert_eq!(told, ("2026-01-02", Some("2026-01-01"), Some(1)));
    // And the correction was wrong.
    let record = accounts.correct(&corrected[0], change(&corrected[0], 1, 10 * S)).unwrap();
    assert_eq!(all(&mut accounts, &[record])[0].corrects, Some(corrected[0].number));
    assert_eq!(accounts.totals()[&("2026-01-01".into(), "botany".into())], before);
    let next = &accounts.totals()[&("2026-01-02".into(), "botany".into())];
    assert_eq!((next.entries, next.uses, next.time()), (3, 1, 10 * S));
    let nothing = Correction { uses: 0, at_rung: vec![], ..change(&entries[0], 0, 0) };
    assert_eq!(accounts.correct(&entries[0], nothing), Err(Refused::Empty));
}

#[test]
fn a_killed_process_leaves_what_was_marked_and_the_next_epoch_says_so() {
    let mut accounts = accounts();
    let begun = Record::Begun { session: "s".into(), facts: facts(START), rung: 0 };
    let epoch = accounts.start(7, START);
    all(&mut accounts, &epoch);
    all(&mut accounts, &[begun, Record::Marks { list: vec![("s".into(), 15 * S), ("gone".into(), S)] }]);
    let records = accounts.start(8, START + 60 * S);
    let entries = all(&mut accounts, &records);
    assert_eq!((entries[0].span, entries[0].outcome, entries[0].epoch), (15 * S, Some(Outcome::Killed), 2));
    assert_eq!((accounts.open(), accounts.odd(), accounts.epoch()), (0, 0, 2));
}

#[test]
fn exports_are_numbered_without_gaps_and_each_is_handed_over_once() {
    let mut accounts = accounts();
    assert_eq!(accounts.prepare(), Err(Refused::Nothing));
    all(&mut accounts, &session("a", START, S));
    let first = accounts.prepare().unwrap();
    assert_eq!(first, Record::Prepared { export: 1, first: 1, last: 1 });
    all(&mut accounts, &[first]);
    all(&mut accounts, &session("b", START, S));
    assert_eq!(accounts.prepare(), Err(Refused::Pending(1)));
    assert_eq!(accounts.hand(2, "x"), Err(Refused::Export));
    let handed = accounts.hand(1, "x").unwrap().unwrap();
    all(&mut accounts, &[handed]);
    assert_eq!((accounts.hand(1, "x"), accounts.hand(1, "y")), (Ok(None), Err(Refused::Export)));
    assert_eq!(accounts.prepare(), Ok(Record::Prepared { export: 2, first: 2, last: 2 }));
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, rng_seed: proptest::test_runner::RngSeed::Fixed(13), ..Default::default() })]
    #[test]
    fn parts_of_any_session_add_up_to_it(
        started in 0i64..3 * DAY,
        span in 0i64..4 * DAY,
        changes in proptest::collection::vec((0i64..4 * DAY, 0usize..5), 0..12),
        closed in 0i64..4,
    ) {
        let mut accounts = accounts();
        if closed > 0 {
            all(&mut accounts, &[Record::Closed { until: START + closed * DAY }]);
        }
        let [begun, mut over] = session("s", START + started, span);
        let told = span as u64 * 3 + 7;
        if let Record::Over { bytes, .. } = &mut over {
            *bytes = Some(told);
        }
        let mut records = vec![begun];
        let mut changes = changes;
        changes.sort_unstable();
        let inside = changes.iter().filter(|c| c.0 < span);
        records.extend(inside.map(|&(at, rung)| Record::Rung { session: "s".into(), at, rung }));
        records.push(over);
        let entries = all(&mut accounts, &records);
        prop_assert_eq!(entries.iter().map(|e| e.span).sum::<i64>(), span);
        prop_assert_eq!(entries.iter().flat_map(|e| &e.at_rung).sum::<i64>(), span);
        prop_assert_eq!(entries.iter().map(|e| e.uses).sum::<i64>(), 1);
        prop_assert_eq!(entries.iter().filter_map(|e| e.bytes).sum::<i64>(), told as i64);
        prop_assert!(entries.iter().all(|e| e.bytes.is_some_and(|b| b >= 0)));
        for entry in &entries {
            prop_assert_eq!(entry.at_rung.iter().sum::<i64>(), entry.span);
            prop_assert!(accounts.calendar().period(START + closed * DAY).name <= entry.period || closed == 0);
        }
        let total: i64 = accounts.totals().values().map(Total::time).sum();
        prop_assert_eq!(total, span);
    }
}
