//! Unit tests of `the crate's root`.

use super::*;

fn lines(text: &str, format: Format) -> Vec<(usize, String)> {
    let zones = ["galway".to_owned()];
    let faults = read("f", text.as_bytes(), format, &zones, &[]).unwrap_err();
    faults.list.into_iter().map(|f| (f.line, f.field)).collect()
}

#[test]
fn both_notations_give_the_same_servers() {
    let csv = "# made by a tool\nid,address,zone,kind,cell,weight,started,state\n\
                   a,127.0.0.1:9001,galway,std,3,2.5,2026-01-02T03:04:05Z,draining\nb,[::1]:9002,galway,std,,,,\n";
    let yaml = "servers:\n- {id: a, address: '127.0.0.1:9001', zone: galway, kind: std, cell: 3, weight: 2.5,\n   \
                    started: 2026-01-02T03:04:05Z, state: draining}\n- id: b\n  address: '[::1]:9002'\n  zone: galway\n  \
                    kind: std\n";
    let a = read("f", csv.as_bytes(), Format::Csv, &[], &[]).unwrap();
    assert_eq!(a, read("f", yaml.as_bytes(), Format::Yaml, &[], &[]).unwrap());
    assert_eq!((a.len(), a[0].cell, a[0].state, a[1].weight), (2, 3, State::Draining, 1.0));
}

#[test]
fn every_bad_row_is_told_and_none_is_taken() {
    let csv = "id,address,zone,kind,cell\na,127.0.0.1:1,galway,x,1\na,127.0.0.1:2,galway,x,1\n\
                   b,nowhere,mars,x,-1\nc,127.0.0.1:1,galway,x,1\nd,127.0.0.1:4\n";
    let wanted = [(3, "id"), (4, "address"), (4, "cell"), (4, "zone"), (5, "address"), (6, "")];
    assert_eq!(lines(csv, Format::Csv), wanted.map(|(n, f)| (n, f.to_string())));
    let yaml = "- id: a\n  address: 127.0.0.1:1\n  zone: galway\n  kind: x\n  wieght: 2\n- 7\n";
    assert_eq!(lines(yaml, Format::Yaml), [(5, "wieght".to_string()), (6, String::new())]);
    assert_eq!(lines("- [", Format::Yaml).len(), 1);
    assert_eq!(lines("id,colour\n", Format::Csv), [(1, "colour".to_string())]);
}

proptest::proptest! {
    #![proptest_config(proptest::prelude::ProptestConfig { cases: 200, failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(7), ..Default::default() })]
    #[test]
    fn any_bytes_are_read_or_refused(text in "[a-z:,\\-\\[\\]{}'\"&*# 0-9\n]{0,60}") {
        for format in [Format::Csv, Format::Yaml] {
            if let Err(faults) = read("f", text.as_bytes(), format, &[], &[]) {
                proptest::prop_assert!(!faults.list.is_empty());
            }
        }
    }
}
