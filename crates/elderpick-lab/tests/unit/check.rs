//! Unit tests of `check.rs`.

use elderpick_ledger::accounts::{Accounts, Facts, Outcome, Record};
use elderpick_ledger::calendar::{Calendar, Every};

use super::*;

/// One session of ten seconds at a host, and the entries of a ledger that tells of it so often and so long.
fn judged(times: usize, span: i64, told: bool) -> usize {
    judged_with(times, span, told, Some(500))
}

fn judged_with(times: usize, span: i64, told: bool, bytes: Option<u64>) -> usize {
    let line = |at: i64, what| Line { at: at * 1_000_000, what };
    let (host, session, trace) = ("h".to_owned(), "s".to_owned(), "00-t-1-01".to_owned());
    let mut lines = vec![
        line(
            1,
            What::SetUp {
                host: host.clone(),
                gateway: "g".into(),
                session: session.clone(),
                class: "c".into(),
                title: "t".into(),
                rung: 0,
                trace,
            },
        ),
        line(1, What::SetUpDone { host: host.clone(), session: session.clone(), how: "plays".into() }),
        line(11, What::Over { host, session, bytes: 500 }),
    ];
    if told {
        lines.push(line(12, What::Replied { trace: "t".into(), code: 200 }));
    }
    let mut entries = Vec::new();
    for _ in 0..times {
        let mut accounts = Accounts::new(Calendar::new("UTC", Every::Day, 0).unwrap());
        let facts = Facts {
            tenant: "t".into(),
            licence: String::new(),
            class: "c".into(),
            title: "t".into(),
            viewer: String::new(),
            started: 0,
        };
        let over = Record::Over {
            session: "s".into(),
            span: span * 1_000_000,
            tries: 1,
            outcome: Outcome::Left,
            bytes,
        };
        for record in [Record::Begun { session: "s".into(), facts, rung: 0 }, over] {
            accounts.apply(&record, &mut |e| entries.push(e));
        }
    }
    billed(&lines, &entries).broken.len()
}

#[test]
fn use_that_is_not_billed_or_twice_or_too_long_is_seen() {
    assert_eq!((judged(1, 10, true), judged(1, 9, true), judged(0, 0, false)), (0, 0, 0));
    assert_eq!((judged_with(1, 10, true, None), judged_with(1, 10, true, Some(499))), (0, 1));
    assert_eq!((judged(0, 0, true), judged(2, 10, true), judged(1, 14, true)), (1, 1, 1));
}
