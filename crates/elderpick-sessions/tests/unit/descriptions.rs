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
    assert!(!known.is_known(&server(0), "free", &outline(WHOLE), || false));
    known.was_whole(&server(0), &class, outline(WHOLE));
    assert!(known.is_known(&server(0), "free", &outline(WHOLE), || false));
    assert!(!known.is_known(&server(0), "free", &outline(CUT), || false));
    assert!(!known.is_known(&server(0), "paid", &outline(WHOLE), || false), "another class");
    assert!(!known.is_known(&server(1), "free", &outline(WHOLE), || false), "another host");
}

/// Guards against one odd host that holds up, or uncovers, what others answer.
#[test]
fn three_hosts_that_agree_tell_what_to_expect_of_a_new_one() {
    let (mut known, class) = (KnownOutlines::default(), Arc::from("free"));
    for number in 0..HOSTS_AGREEING {
        assert!(!known.is_known(&server(9), "free", &outline(WHOLE), || false));
        known.was_whole(&server(number), &class, outline(WHOLE));
    }
    known.was_whole(&server(5), &class, outline(CUT));
    assert!(known.is_known(&server(9), "free", &outline(WHOLE), || false));
    assert!(!known.is_known(&server(9), "free", &outline(CUT), || false));
    assert!(!known.is_known(&server(5), "free", &outline(WHOLE), || false), "it has an outline of its own");
}

#[test]
fn what_was_cut_after_all_is_not_known_any_more() {
    let (mut known, class) = (KnownOutlines::default(), Arc::from("free"));
    for number in 0..4 {
        known.was_whole(&server(number), &class, outline(CUT));
    }
    known.was_cut(&server(0), "free", &outline(CUT));
    assert!(!known.is_known(&server(0), "free", &outline(CUT), || false));
    assert!(!known.is_known(&server(7), "free", &outline(CUT), || false));
    assert!(known.is_known(&server(1), "free", &outline(CUT), || false));
}

#[test]
fn hosts_whose_descriptions_all_differ_are_taken_at_their_word() {
    let (mut known, class) = (KnownOutlines::default(), Arc::from("free"));
    for length in 1..=20 {
        known.was_whole(&server(0), &class, outline(&"x".repeat(length)));
    }
    assert!(known.is_known(&server(0), "free", &outline(&"x".repeat(90)), || false));
    known.was_cut(&server(0), "free", &outline("xx"));
    assert!(!known.is_known(&server(0), "free", &outline(&"x".repeat(90)), || false));
    known.retain(|_| false);
    assert!(known.by_host.is_empty());
}

/// Guards against answers that are held while their viewers leave, though they are as RFC 3264 has it: where nothing
/// else is known, one that has a line for each of its offer is taken to be whole.
#[test]
fn what_answers_its_offer_is_known_unless_its_host_answers_otherwise() {
    let (mut known, class) = (KnownOutlines::default(), Arc::from("free"));
    assert!(known.is_known(&server(0), "free", &outline(CUT), || true));
    known.was_whole(&server(0), &class, outline(WHOLE));
    assert!(!known.is_known(&server(0), "free", &outline(CUT), || true), "it has an outline of its own");
    for number in 0..HOSTS_AGREEING {
        known.was_whole(&server(number), &class, outline(WHOLE));
    }
    assert!(!known.is_known(&server(9), "free", &outline(CUT), || true), "others agree on another one");
}
