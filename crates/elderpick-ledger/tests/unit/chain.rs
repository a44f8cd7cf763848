//! Unit tests of `chain.rs`.

use super::*;

fn written() -> (Vec<u8>, Link) {
    let (mut text, mut link) = (Vec::new(), Link::first("g"));
    for k in 0..5 {
        link = append(&mut text, &link, &format!("record {k}"));
    }
    (text, link)
}

fn taken(text: &[u8]) -> (usize, Link, End) {
    let mut count = 0;
    let (link, good, end) = read::<String>(text, &Link::first("g"), |_| count += 1);
    assert!(good <= text.len());
    (count, link, end)
}

#[test]
fn a_text_cut_anywhere_tells_what_was_finished() {
    let (text, link) = written();
    assert_eq!(taken(&text), (5, link, End::Whole));
    for cut in 0..text.len() {
        let (count, _, end) = taken(&text[..cut]);
        assert_eq!(count, text[..cut].iter().filter(|&&b| b == b'\n').count());
        assert_eq!(end == End::Whole, cut == 0 || text[cut - 1] == b'\n');
        assert!(!matches!(end, End::Damaged { .. }));
    }
}

#[test]
fn what_was_edited_removed_or_moved_shows() {
    let (text, _) = written();
    for bit in 0..text.len() * 8 {
        let mut bad = text.clone();
        bad[bit / 8] ^= 1 << (bit % 8);
        assert_ne!(taken(&bad).2, End::Whole, "bit {bit}");
    }
    let lines: Vec<&[u8]> = text.split_inclusive(|&b| b == b'\n').collect();
    for k in 0..4 {
        let mut without = lines.clone();
        without.remove(k);
        assert!(matches!(taken(&without.concat()).2, End::Damaged { .. }));
        let mut moved = lines.clone();
        moved.swap(k, k + 1);
        assert!(matches!(taken(&moved.concat()).2, End::Damaged { .. }));
    }
}
