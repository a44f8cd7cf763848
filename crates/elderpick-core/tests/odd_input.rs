//! Nonsense, late news and unknown ids lead to a safe answer, never a panic.

mod common;

use common::*;
use elderpick_core::api::*;

#[test]
fn ids_that_are_not_held_are_passed_over() {
    let mut gateway = Gateway::new(settings(vec![class(Effect::Free)]), vec![entry("a")]);
    let id = RequestId(77);
    assert_eq!(gateway.playing(id, 0), vec![]);
    assert_eq!(gateway.outcome(id, 3, Status::Failed), vec![]);
    assert_eq!(gateway.handle(Event::Gone { id }), vec![]);
    assert_eq!(gateway.handle(Event::Alarm { token: 4_711 }), vec![]);
    assert_eq!(gateway.note(id, &server("nobody"), Note::Delivered(0.1)), vec![]);
    let (server, report) = (server("nobody"), link_report(0.5));
    assert_eq!(gateway.handle(Event::Probed { server, status: Status::Ok, report }), vec![]);
}

#[test]
fn an_outcome_of_an_earlier_attempt_changes_nothing() {
    let mut gateway = Gateway::new(settings(vec![class(Effect::Free)]), vec![entry("a"), entry("b")]);
    let (id, _) = gateway.request(viewing(0));
    assert!(sent(&gateway.outcome(id, 0, Status::Full)).is_some());
    assert_eq!(gateway.outcome(id, 0, Status::Full), vec![]);
}

#[test]
fn nonsense_loads_do_not_stop_admission() {
    for asked in [f64::NAN, f64::NEG_INFINITY, f64::INFINITY, -3.0] {
        let mut gateway = Gateway::new(settings(vec![class(Effect::Free)]), vec![entry("a")]);
        let (id, _) = gateway.request(viewing(0));
        gateway.playing(id, 0);
        let (server, status) = (server("a"), Status::Ok);
        gateway.note(id, &server, Note::Delivered(asked));
        gateway.handle(Event::Probed { server, status, report: link_report(asked) });
        gateway.now += 10 * SECOND;
        let (_, actions) = gateway.request(viewing(0));
        assert!(sent(&actions).is_some(), "{asked}: {actions:?}");
    }
}

#[test]
fn a_server_without_capacity_takes_nothing_on_a_site_that_tells_sizes() {
    for weight in [0.0, -1.0, f64::NAN] {
        let servers = vec![Entry { weight, ..entry("a") }, entry("b")];
        let mut gateway = Gateway::new(settings(vec![class(Effect::Free)]), servers);
        for _ in 0..2 {
            assert_eq!(sent(&gateway.request(viewing(0)).1), Some(server("b")), "weight {weight}");
        }
    }
}

#[test]
fn an_empty_list_or_a_title_without_a_holder_is_refused() {
    let mut gateway = Gateway::new(settings(vec![class(Effect::Free)]), vec![]);
    assert!(refused(&gateway.request(viewing(0)).1));
    let mut gateway = Gateway::new(settings(vec![class(Effect::Free)]), vec![entry("a")]);
    assert!(refused(&gateway.request(Viewing { copies: 0, ..viewing(0) }).1));
}

#[test]
fn an_unknown_class_is_answered() {
    let mut gateway = Gateway::new(settings(vec![]), vec![entry("a")]);
    let (id, actions) = gateway.request(viewing(5));
    assert_eq!(actions, vec![Action::Fail { id }]);
}

#[test]
fn bare_settings_are_enough() {
    let bare = Settings {
        rung_kb: vec![],
        rung_worth: vec![],
        cells: None,
        racks: None,
        kb_per_weight: None,
        places: vec![],
        max_retry_after: None,
        reporting: Reporting::Never,
        ..settings(vec![class(Effect::Free)])
    };
    let mut gateway = Gateway::new(bare, vec![entry("a")]);
    let (id, actions) = gateway.request(viewing(0));
    assert_eq!(sent(&actions), Some(server("a")));
    assert_eq!(rung(&actions), Some(0));
    gateway.playing(id, 0);
    assert_eq!(gateway.short(id, &server("a"), 0.5), vec![]);
}

#[test]
fn a_rung_beyond_the_ladder_is_survived() {
    let set = Settings { rung_worth: vec![0.5], ..settings(vec![class(Effect::Free)]) };
    let mut gateway = Gateway::new(set, vec![entry("a")]);
    let low = Viewing { top: 0, ..viewing(0) };
    let ids: Vec<_> = (0..2).map(|_| gateway.request(low.clone()).0).collect();
    for &id in &ids {
        gateway.playing(id, 0);
    }
    gateway.note(ids[0], &server("a"), Note::Rung(99));
    let cut = gateway.short(ids[0], &server("a"), 0.5);
    assert!(cut.iter().all(|a| matches!(a, Action::Rate { rung, .. } if *rung < 3)), "{cut:?}");
    assert!(!cut.is_empty(), "it counts as the top of the ladder");
}

#[test]
fn a_viewer_who_cannot_use_the_floor_is_refused_and_never_raised_past_its_top() {
    let floored = Class { floor: 2, ..class(Effect::Free) };
    let mut gateway = Gateway::new(settings(vec![floored]), vec![entry("a")]);
    let low = Viewing { top: 0, ..viewing(0) };
    assert!(refused(&gateway.request(low.clone()).1));
    let (id, here) = (RequestId(50), server("a"));
    gateway.handle(Event::Open { id, viewing: low, server: here.clone() });
    gateway.note(id, &here, Note::Rung(0));
    assert_eq!(gateway.note(id, &here, Note::LinkAsked(0.1)), vec![]);
}

/// A gateway that stood still finds all that came meanwhile, in a fleet of hundreds: each request has one final answer or
/// one attempt out, nothing goes to what the pile says is draining, and further attempts keep to the budget.
#[test]
fn a_pile_after_a_stall_is_answered_within_the_rules() {
    let budget = BudgetRule { free: 3.0, share: 0.2, window: 10 * SECOND };
    let set = Settings { gateways: 200, budget: Some(budget), ..settings(vec![class(Effect::Free)]) };
    let servers = numbered(300);
    let mut gateway = Gateway::new(set, servers);
    for n in 0..32 {
        gateway.told(&format!("s{n}"), link_report(0.01));
    }
    let held: Vec<_> = (0..200).map(|_| gateway.request(viewing(0))).collect();
    gateway.now += 2 * SECOND;
    let draining: Vec<_> =
        (0..150).map(|n| Entry { state: ServerState::Draining, ..entry(&format!("s{n}")) }).collect();
    gateway.list(ListKind::Changes, draining.clone());
    let (mut again, mut taken) = (0, 0);
    for (id, actions) in held.iter().filter(|(_, actions)| sent(actions).is_some()) {
        taken += 1;
        assert!(!refused(actions));
        let answer = gateway.outcome(*id, 0, Status::TimedOut);
        if let Some(to) = sent(&answer) {
            assert!(draining.iter().all(|entry| entry.server != to), "{to} drains");
            again += 1;
        } else {
            assert!(refused(&answer), "given up at once: {answer:?}");
        }
    }
    assert!(taken > 100, "an empty fleet admits");
    assert!(again > 0 && f64::from(again) <= 3.0 + 0.2 * 200.0, "{again} further attempts");
}

#[test]
fn a_large_fleet_of_nonsense_is_survived() {
    let odd = |n: usize| Entry {
        cell: usize::MAX - n,
        weight: [f64::NAN, -1.0, f64::INFINITY, 0.0, 1.0][n % 5],
        kind: n,
        zone: n,
        started: [None, Some(Micros::MAX / 4), Some(0)][n % 3],
        ..entry(&format!("s{n}"))
    };
    for (racks, rack_kb) in [(Some(0), Some(f64::NAN)), (None, Some(-1.0)), (Some(7), None)] {
        let set = Settings { gateways: 0, racks, rack_kb, ..settings(vec![class(Effect::Free)]) };
        let mut gateway = Gateway::new(set, (0..300).map(odd).collect());
        for n in 0..100 {
            let (id, actions) = gateway.request(Viewing { copies: usize::MAX, ..viewing(0) });
            let Some(server) = sent(&actions) else { continue };
            gateway.playing(id, 0);
            let share = [f64::NAN, f64::NEG_INFINITY, 0.0, 0.5][n % 4];
            for note in [Note::Delivered(share), Note::LinkAsked(share), Note::UplinkAsked(1e300)] {
                gateway.note(id, &server, note);
            }
        }
        gateway.list(ListKind::Full, vec![]);
        assert!(refused(&gateway.request(viewing(0)).1));
    }
}
