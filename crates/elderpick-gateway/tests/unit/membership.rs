//! Unit tests of `membership.rs`.

use super::*;

fn membership() -> Membership {
    let listed = |name: &str| {
        let server = ServerId(name.into());
        let state = ServerState::Up;
        let entry =
            Entry { server: server.clone(), zone: 0, kind: 0, cell: 0, state, weight: 1.0, started: None };
        (server, Listed { address: ([127, 0, 0, 1], 9).into(), entry })
    };
    Membership::new(["a", "b"].map(listed).into())
}

fn told(name: &str, state: ServerState, started: Option<Micros>) -> Told {
    (name.to_owned(), state, started)
}

fn state(m: &Membership, name: &str) -> (ServerState, Option<Micros>) {
    let entry = &m.get(&ServerId(name.into())).unwrap().entry;
    (entry.state, entry.started)
}

#[test]
fn each_difference_of_list_and_inventory_has_its_answer() {
    use ServerState::*;
    let mut m = membership();
    assert!(!m.heard());
    let (entries, news) = m.list(ListKind::Full, vec![told("a", Up, Some(50)), told("x", Up, None)]);
    assert_eq!((entries.len(), news, m.heard()), (1, vec!["x".to_owned()], true));
    assert_eq!((state(&m, "a"), state(&m, "b")), ((Up, Some(50)), (Gone, None)));
    // Told again, it is counted and not news.
    assert_eq!(m.list(ListKind::Changes, vec![told("x", Up, None)]).1.len(), 0);
    assert_eq!(m.unknown_told, 2);
    // Old news and news without a start leave the start as it is known.
    m.list(ListKind::Changes, vec![told("a", Up, Some(20))]);
    m.list(ListKind::Changes, vec![told("a", Draining, None)]);
    assert_eq!(state(&m, "a"), (Draining, Some(50)));
    // What the server says itself counts if it is newer, and says nothing of its state.
    let a = ServerId("a".into());
    assert!(m.began(&a, 40).is_none() && m.began(&ServerId("x".into()), 60).is_none());
    assert_eq!(m.began(&a, 60).map(|e| (e.state, e.started)), Some((Draining, Some(60))));
    m.list(ListKind::Changes, vec![told("a", Draining, Some(50))]);
    assert_eq!(state(&m, "a"), (Draining, Some(60)));
    // A failed call changes nothing.
    assert!(m.list(ListKind::Failed, vec![told("a", Up, Some(90))]).0.is_empty());
    assert_eq!(state(&m, "a"), (Draining, Some(60)));
}

#[test]
fn a_drain_is_not_undone_within_its_message_but_by_a_new_process() {
    use ServerState::*;
    let mut m = membership();
    m.list(ListKind::Changes, vec![told("a", Draining, Some(5)), told("a", Up, Some(5))]);
    assert_eq!(state(&m, "a"), (Draining, Some(5)));
    m.list(ListKind::Changes, vec![told("a", Up, Some(5))]);
    assert_eq!(state(&m, "a"), (Up, Some(5)));
    m.list(ListKind::Changes, vec![told("a", Gone, Some(5)), told("a", Up, Some(9))]);
    assert_eq!(state(&m, "a"), (Up, Some(9)));
}
