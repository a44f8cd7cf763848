//! Unit tests of `log.rs`.

use proptest::prelude::*;

use super::*;

fn written(records: &[Record]) -> (Vec<u8>, Vec<usize>) {
    let (mut log, mut ends) = (begin("boot"), Vec::new());
    ends.push(log.len());
    for record in records {
        append(&mut log, 0, record);
        ends.push(log.len());
    }
    (log, ends)
}

fn some() -> Vec<Record> {
    let taken = |seat| Record::Taken { seat, licence: "course".into(), holder: format!("h{seat}") };
    vec![taken(1), taken(2), Record::Freed { seat: 1 }, taken(3), Record::Last { seat: 9 }, taken(10)]
}

#[test]
fn what_is_written_is_read_in_one_piece_or_in_many() {
    let (log, _) = written(&some());
    let mut pieces = begin("boot");
    for record in &some() {
        let mut piece = Vec::new();
        append(&mut piece, pieces.len() as u64, record);
        pieces.extend(piece);
    }
    assert_eq!(log, pieces);
    let read = replay(&log);
    let seats: Vec<u64> = read.taken.iter().map(|t| t.0).collect();
    assert_eq!((seats, read.last, read.records, read.end), (vec![2, 3, 10], 10, 6, End::Whole));
    assert_eq!(read.good, log.len() as u64);
}

#[test]
fn a_log_cut_at_any_byte_tells_all_that_was_finished_and_is_no_damage() {
    let (log, ends) = written(&some());
    for cut in ends[0]..=log.len() {
        let whole = ends.iter().filter(|&&end| end <= cut).count() - 1;
        let read = replay(&log[..cut]);
        assert_eq!((read.records, read.good as usize), (whole, ends[whole]), "cut at {cut}");
        assert_eq!(read.end, if cut == ends[whole] { End::Whole } else { End::Torn }, "cut at {cut}");
    }
    assert!((0..ends[0]).all(|cut| matches!(replay(&log[..cut]).end, End::Damaged(_))));
}

#[test]
fn any_flipped_bit_after_the_first_line_is_damage() {
    let (log, ends) = written(&some());
    for bit in ends[0] * 8..log.len() * 8 {
        let mut bad = log.clone();
        bad[bit / 8] ^= 1 << (bit % 8);
        assert!(matches!(replay(&bad).end, End::Damaged(_)), "bit {bit}");
    }
}

#[test]
fn a_frame_that_is_missing_is_damage() {
    let (log, ends) = written(&some());
    for k in 0..some().len() - 1 {
        let without = [&log[..ends[k]], &log[ends[k + 1]..]].concat();
        assert!(matches!(replay(&without).end, End::Damaged(_)), "without {k}");
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, rng_seed: proptest::test_runner::RngSeed::Fixed(11), ..Default::default() })]
    #[test]
    fn any_bytes_are_read_without_a_panic(bytes in proptest::collection::vec(any::<u8>(), 0..400), headed: bool) {
        let log = if headed { [begin("b"), bytes].concat() } else { bytes };
        let read = replay(&log);
        prop_assert!(read.good <= log.len() as u64);
    }
}
