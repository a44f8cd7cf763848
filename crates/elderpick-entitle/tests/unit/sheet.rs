//! Unit tests of `sheet.rs`.

use super::*;

pub fn licence(seats: u32) -> Licence {
    Licence {
        name: "course".into(),
        tenant: "t".into(),
        classes: vec!["c".into()],
        seats,
        devices: Devices::Refuse,
    }
}

const SHEET: &str = r#"
at: [{gateway: 0, uri: "http://127.0.0.1:80/"}]
terms: [
    {from: "2026-12-01T08:00:00Z", until: "2026-12-01T09:00:00Z", gateways: [0, 1],
     licences: [{name: "a", tenant: "t", classes: ["c"], seats: 3}]},
    {from: "2026-12-01T09:00:00Z", until: "2026-12-01T10:00:00Z", gateways: [0, 1, 2], licences: []},
]
"#;

#[test]
fn parts_add_up_to_the_licence_and_each_has_one_gateway() {
    for seats in [0, 1, 3, 63, 64, 65, 1000] {
        for block in [1, 2, 64, 5000] {
            let l = licence(seats);
            let sum: u32 = (0..l.parts(block)).map(|p| l.seats_of(p, block)).sum();
            assert_eq!(sum, seats);
            assert!((0..l.parts(block)).all(|p| l.seats_of(p, block) <= block));
        }
    }
}

#[test]
fn a_gateway_more_moves_only_what_becomes_its_own() {
    let (few, more): (Vec<u32>, Vec<u32>) = ((0..9).collect(), (0..10).collect());
    let moved = (0..2000).filter(|&p| highest("l", p, &few) != highest("l", p, &more));
    let (moved, to): (Vec<u32>, Vec<u32>) = moved.map(|p| (p, highest("l", p, &more))).unzip();
    assert!(to.iter().all(|&g| g == 9));
    assert!((100..300).contains(&moved.len()), "about a tenth: {}", moved.len());
}

#[test]
fn a_sheet_is_read_whole_or_refused_with_all_that_is_wrong() {
    let sheet = LicenceSheet::read("s.cue", SHEET).unwrap();
    assert_eq!((sheet.terms.len(), &*sheet.at[&0]), (2, "http://127.0.0.1:80"));
    let bad = SHEET.replace("T09:00:00Z\", until", "T08:59:00Z\", until").replace("http:", "ftp:");
    let why = LicenceSheet::read("s.cue", &bad).unwrap_err();
    assert!(why.contains("terms[1].from") && why.contains("at[0].uri"), "{why}");
    let why = LicenceSheet::read("s.cue", &SHEET.replace("seats: 3", "seats: -3")).unwrap_err();
    assert!(why.contains("s.cue:5:") && why.contains("seats"), "{why}");
}

#[test]
fn a_term_that_has_begun_cannot_be_changed_and_the_next_can() {
    let old = LicenceSheet::read("s.cue", SHEET).unwrap();
    let during = old.terms[0].from + 60_000_000;
    let shrunk = LicenceSheet::read("s.cue", &SHEET.replace("seats: 3", "seats: 2")).unwrap();
    assert!(old.may_become(&shrunk, during, 1_000_000).is_err());
    assert!(old.may_become(&shrunk, old.terms[0].from - 2_000_000, 1_000_000).is_ok());
    let longer = LicenceSheet::read("s.cue", &SHEET.replace("[0, 1, 2]", "[0, 1, 2, 3]")).unwrap();
    assert!(old.may_become(&longer, during, 1_000_000).is_ok());
    let gone = LicenceSheet { terms: vec![old.terms[1].clone()], ..old.clone() };
    assert!(old.may_become(&gone, during, 1_000_000).is_err());
    assert!(old.may_become(&gone, old.terms[0].until + 1, 0).is_ok());
}

/// A licence that the first term cuts at one gateway and the second at another.
fn turning(moves: bool) -> (LicenceSheet, String) {
    let sheet = LicenceSheet::read("s.cue", SHEET).unwrap();
    let names = (0..).map(|k| format!("l{k}"));
    let home = |name: &str, k: usize| highest(name, 0, &sheet.terms[k].gateways);
    let name = { names }.find(|name| (home(name, 0) != home(name, 1)) == moves).unwrap();
    let mut sheet = sheet;
    let one = Licence { name: name.clone(), ..licence(3) };
    sheet.terms.iter_mut().for_each(|t| t.licences = [(name.clone(), one.clone())].into());
    (sheet, name)
}

#[test]
fn while_a_seat_moves_nobody_counts_it_for_as_long_as_clocks_may_differ() {
    let (sheet, name) = turning(true);
    let turn = sheet.terms[0].until;
    let at = |wall| sheet.place(&name, "h", wall, 10, 50).map(|p| p.gateway);
    let (old, new) = (at(turn - 11).unwrap(), at(turn + 60).unwrap());
    assert_ne!(old, new);
    assert_eq!([at(turn - 10), at(turn), at(turn + 59)], [None; 3]);
    assert_eq!(sheet.counts_until(&name, "h", old, turn - 100, 10), Some(turn - 10));
    assert_eq!(sheet.counts_until(&name, "h", new, turn + 10, 10), Some(sheet.terms[1].until - 10));
    // Two clocks that differ by the skew each never both name a gateway for one moment.
    for moment in turn - 40..turn + 90 {
        for (slow, fast) in [(-10, 10), (10, -10)] {
            let (a, b) = (at(moment + slow), at(moment + fast));
            assert!(a.is_none() || b.is_none() || a == b, "at {moment}");
        }
    }
}

#[test]
fn a_seat_that_stays_is_counted_over_the_turn_unless_its_licence_changes() {
    let (mut sheet, name) = turning(false);
    let turn = sheet.terms[0].until;
    let home = sheet.place(&name, "h", turn - 1, 10, 50).unwrap().gateway;
    assert_eq!(sheet.counts_until(&name, "h", home, turn - 9, 10), Some(sheet.terms[1].until - 10));
    sheet.terms[1].licences.get_mut(&name).unwrap().seats = 2;
    assert_eq!(sheet.place(&name, "h", turn - 1, 10, 50), None);
    assert!(sheet.place(&name, "h", turn + 10, 10, 50).is_some());
}
