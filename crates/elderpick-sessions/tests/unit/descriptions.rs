use super::*;

fn server(number: usize) -> ServerId {
    ServerId(format!("s-{number}").into())
}

fn outline(description: &str) -> Outline {
    Outline::of(description.as_bytes())
}

const WHOLE: &str = "1\r\nm=audio 1 RTP/AVP 0\r\na=sendonly\r\n";
const CUT: &str = "1\r\nm=audio 1 RTP/AVP 0\r\n";

/// Guards against an end that is lost unseen: at a line's end, within a line, and of a description without line ends.
#[test]
fn a_description_without_its_end_has_another_outline() {
    assert_eq!(outline(WHOLE), outline("22\r\nm=audio 31000 RTP/AVP 0 8\r\na=recvonly\r\n"));
    for cut in [CUT, &WHOLE[..WHOLE.len() - 1], &WHOLE[..WHOLE.len() - 2], &WHOLE[..WHOLE.len() - 7], ""] {
        assert_ne!(outline(WHOLE), outline(cut), "{cut:?}");
    }
    assert_ne!(outline("session at s-1"), outline("session at s"));
}

#[test]
fn a_host_is_expected_to_answer_as_it_did_for_the_same_class() {
    let (mut known, class) = (KnownOutlines::default(), Arc::from("free"));
    assert!(!known.is_known(&server(0), "free", &outline(WHOLE)));
    known.was_whole(&server(0), &class, outline(WHOLE));
    assert!(known.is_known(&server(0), "free", &outline(WHOLE)));
    assert!(!known.is_known(&server(0), "free", &outline(CUT)));
    assert!(!known.is_known(&server(0), "paid", &outline(WHOLE)), "another class");
    assert!(!known.is_known(&server(1), "free", &outline(WHOLE)), "another host");
}

/// Guards against one odd host that holds up, or uncovers, what others answer.
#[test]
fn three_hosts_that_agree_tell_what_to_expect_of_a_new_one() {
    let (mut known, class) = (KnownOutlines::default(), Arc::from("free"));
    for number in 0..HOSTS_AGREEING {
        assert!(!known.is_known(&server(9), "free", &outline(WHOLE)));
        known.was_whole(&server(number), &class, outline(WHOLE));
    }
    known.was_whole(&server(5), &class, outline(CUT));
    assert!(known.is_known(&server(9), "free", &outline(WHOLE)));
    assert!(!known.is_known(&server(9), "free", &outline(CUT)));
    assert!(!known.is_known(&server(5), "free", &outline(WHOLE)), "it has an outline of its own");
}

#[test]
fn what_was_cut_after_all_is_not_known_any_more() {
    let (mut known, class) = (KnownOutlines::default(), Arc::from("free"));
    for number in 0..4 {
        known.was_whole(&server(number), &class, outline(CUT));
    }
    known.was_cut(&server(0), "free", &outline(CUT));
    assert!(!known.is_known(&server(0), "free", &outline(CUT)));
    assert!(!known.is_known(&server(7), "free", &outline(CUT)));
    assert!(known.is_known(&server(1), "free", &outline(CUT)));
}

#[test]
fn hosts_whose_descriptions_all_differ_are_taken_at_their_word() {
    let (mut known, class) = (KnownOutlines::default(), Arc::from("free"));
    for length in 1..=20 {
        known.was_whole(&server(0), &class, outline(&"x".repeat(length)));
    }
    assert!(known.is_known(&server(0), "free", &outline(&"x".repeat(90))));
    known.was_cut(&server(0), "free", &outline("xx"));
    assert!(!known.is_known(&server(0), "free", &outline(&"x".repeat(90))));
    known.retain(|_| false);
    assert!(known.by_host.is_empty());
}

/// Guards against holds that cost a viewer its answer, whatever its class's deadline is.
#[test]
fn a_hold_leaves_its_viewer_most_of_its_time() {
    for left in [10_000, 50_000, 100_000, 250_000, 600_000, 20_000_000, 3_600_000_000] {
        let time = hold_time(left).unwrap();
        assert!(time <= REST_WITHIN && time <= left / 2, "{time} of {left}");
    }
    assert_eq!((hold_time(3_000), hold_time(0), hold_time(-1)), (None, None, None));
}
