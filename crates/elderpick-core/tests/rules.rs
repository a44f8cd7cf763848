//! The six rules, each at its bound and just past it.

mod common;

use common::*;
use elderpick_core::api::*;

fn fleet(count: usize) -> Vec<Entry> {
    (0..count).map(|n| Entry { cell: n % 8, ..entry(&format!("10.0.0.{n}:80")) }).collect()
}

// ---- One final answer, in time ----

#[test]
fn the_deadline_alarm_answers_an_attempt_that_never_ended() {
    let mut gateway = Gateway::new(settings(vec![class(Effect::SingleShot)]), fleet(3));
    let (id, actions) = gateway.request(viewing(0));
    let Some(Action::Alarm { token, at }) =
        actions.iter().find(|a| matches!(a, Action::Alarm { .. })).cloned()
    else {
        panic!("no alarm set: {actions:?}")
    };
    assert_eq!(at, gateway.now + 3 * SECOND);
    gateway.now = at;
    assert_eq!(gateway.handle(Event::Alarm { token }), vec![Action::Fail { id }]);
    assert_eq!(gateway.handle(Event::Alarm { token }), vec![]);
    assert_eq!(gateway.outcome(id, 0, Status::TimedOut), vec![]);
}

#[test]
fn an_attempt_is_never_given_longer_than_the_viewer_waits() {
    let mut gateway = Gateway::new(settings(vec![class(Effect::SingleShot)]), fleet(3));
    let (_, actions) = gateway.request(Viewing { left: 700 * MS, ..viewing(0) });
    let timeout = actions.iter().find_map(|a| match a {
        Action::Send { timeout, .. } => Some(*timeout),
        _ => None,
    });
    assert_eq!(timeout, Some(700 * MS));
}

#[test]
fn a_time_out_at_the_deadline_is_answered_at_once() {
    let mut gateway = Gateway::new(settings(vec![class(Effect::Free)]), fleet(3));
    let (id, _) = gateway.request(viewing(0));
    gateway.now += 3 * SECOND;
    assert_eq!(gateway.outcome(id, 0, Status::TimedOut), vec![Action::Fail { id }]);
}

#[test]
fn a_viewer_who_left_is_owed_nothing_and_its_attempt_is_not_followed() {
    let mut gateway = Gateway::new(settings(vec![class(Effect::Free)]), fleet(3));
    let (id, _) = gateway.request(viewing(0));
    assert_eq!(gateway.handle(Event::Gone { id }), vec![]);
    assert_eq!(gateway.outcome(id, 0, Status::Failed), vec![]);
}

// ---- No set-up twice ----

#[test]
fn a_paid_session_is_sent_again_only_after_proof_that_it_never_ran() {
    for (status, again) in [
        (Status::Full, true),
        (Status::ConnectError, true),
        (Status::Ignored, true),
        (Status::Failed, false),
        (Status::TimedOut, false),
        (Status::Reset, false),
        (Status::Cancelled, false),
    ] {
        let mut gateway = Gateway::new(settings(vec![class(Effect::SingleShot)]), fleet(4));
        let (id, _) = gateway.request(viewing(0));
        let actions = gateway.outcome(id, 0, status);
        assert_eq!(sent(&actions).is_some(), again, "{status:?}: {actions:?}");
        assert_eq!(failed(&actions), !again, "{status:?}: {actions:?}");
        assert!(!refused(&actions), "{status:?}: {actions:?}");
    }
}

#[test]
fn a_paid_session_that_may_have_run_is_not_refused_later() {
    let set = Settings { max_attempts: Some(2), ..settings(vec![class(Effect::SingleShot)]) };
    let mut gateway = Gateway::new(set, fleet(4));
    let (id, _) = gateway.request(viewing(0));
    assert!(sent(&gateway.outcome(id, 0, Status::Full)).is_some());
    assert!(failed(&gateway.outcome(id, 1, Status::Reset)));
}

#[test]
fn a_free_session_is_sent_elsewhere_after_any_failure() {
    for status in [Status::Failed, Status::TimedOut, Status::Reset, Status::ConnectError, Status::Full] {
        let mut gateway = Gateway::new(settings(vec![class(Effect::Free)]), fleet(4));
        let (id, actions) = gateway.request(viewing(0));
        let first = sent(&actions);
        let second = sent(&gateway.outcome(id, 0, status));
        assert!(second.is_some() && second != first, "{status:?}");
    }
}

#[test]
fn a_guarded_session_is_repeated_within_its_group_and_window_only() {
    let guarded = Class { group: Group::Cell, window: SECOND, ..class(Effect::Guarded) };
    let twins = vec![Entry { cell: 1, ..entry("a") }, Entry { cell: 1, ..entry("b") }];
    let set = settings(vec![guarded]);
    let mut gateway = Gateway::new(set.clone(), twins.clone());
    let (id, _) = gateway.request(viewing(0));
    gateway.now += SECOND - 1;
    assert!(sent(&gateway.outcome(id, 0, Status::Failed)).is_some());

    let mut gateway = Gateway::new(set.clone(), twins);
    let (id, _) = gateway.request(viewing(0));
    gateway.now += SECOND;
    assert!(failed(&gateway.outcome(id, 0, Status::Failed)));

    // Nobody else in its cell: it may not go elsewhere, nor be refused.
    let apart = vec![Entry { cell: 1, ..entry("a") }, Entry { cell: 2, ..entry("b") }];
    let mut gateway = Gateway::new(set, apart);
    let (id, _) = gateway.request(viewing(0));
    assert!(failed(&gateway.outcome(id, 0, Status::Failed)));
}

// ---- Drains ----

#[test]
fn nothing_goes_to_a_draining_gone_or_unlisted_server() {
    for state in [ServerState::Draining, ServerState::Gone] {
        let mut gateway = Gateway::new(settings(vec![class(Effect::Free)]), fleet(2));
        let mut leaving = fleet(1);
        leaving[0].state = state;
        gateway.list(ListKind::Changes, leaving.clone());
        for _ in 0..4 {
            assert_ne!(sent(&gateway.request(viewing(0)).1), Some(leaving[0].server.clone()));
        }
    }
    let mut gateway = Gateway::new(settings(vec![class(Effect::Free)]), fleet(2));
    gateway.list(ListKind::Full, vec![]);
    assert!(refused(&gateway.request(viewing(0)).1));
}

#[test]
fn a_failed_list_call_keeps_the_old_list_and_asks_again() {
    let set = Settings { subscribe: true, ..settings(vec![class(Effect::Free)]) };
    let mut gateway = Gateway::new(set, fleet(2));
    let actions = gateway.list(ListKind::Failed, vec![]);
    let Some(Action::Alarm { token, .. }) = actions.first().cloned() else { panic!("{actions:?}") };
    assert!(sent(&gateway.request(viewing(0)).1).is_some());
    assert_eq!(gateway.handle(Event::Alarm { token }), vec![Action::Subscribe]);
}

// ---- Cold pace ----

fn cold_rule() -> ColdRule {
    ColdRule { warm_up: 12 * SECOND, least_warmth: 0.4, multiple: 2.0, window: SECOND }
}

/// The most set-ups that three gateways together send to one server within the rule's window.
fn heaviest_window(gateways: &mut [Gateway], seconds: Micros) -> usize {
    let mut sends = Vec::new();
    for _ in 0..seconds * 100 {
        for gateway in gateways.iter_mut() {
            gateway.now += 10 * MS;
            let (id, actions) = gateway.request(Viewing { top: 0, ..viewing(0) });
            if sent(&actions).is_some() {
                sends.push(gateway.now);
                gateway.end(id, 0);
            }
        }
    }
    assert!(!sends.is_empty(), "a cold server is to be warmed");
    sends
        .iter()
        .map(|&from| sends.iter().filter(|&&at| at >= from && at < from + SECOND).count())
        .max()
        .unwrap_or(0)
}

#[test]
fn all_gateways_together_keep_the_pace_of_a_cold_server() {
    // 27 places over 12 s at warmth .4, twice: 1.8 set-ups a second at most.
    let make = |me| {
        let set = Settings {
            me,
            gateways: 3,
            places: vec![27.0],
            cold: Some(cold_rule()),
            ..settings(vec![class(Effect::Free)])
        };
        Gateway::new(set, vec![Entry { started: Some(100 * SECOND), ..entry("a") }])
    };
    let mut gateways = [make(0), make(1), make(2)];
    assert!(heaviest_window(&mut gateways, 11) <= 1);
}

/// All of 220 gateways begin at one time with an old list, and each has more requests than it would ever get.
#[test]
fn hundreds_of_gateways_after_a_restart_keep_the_pace_of_each_server() {
    let names = ["a", "b", "c"];
    let set = |me| Settings {
        me,
        gateways: 220,
        places: vec![27.0],
        cold: Some(cold_rule()),
        ..settings(vec![class(Effect::Free)])
    };
    let servers: Vec<_> = names.iter().map(|name| entry(name)).collect();
    let mut gateways: Vec<_> =
        (0..220).map(|me| Gateway::restarted(me as u64, set(me), servers.clone())).collect();
    let mut sends: Vec<(ServerId, Micros)> = Vec::new();
    for _ in 0..220 {
        for gateway in &mut gateways {
            gateway.now += 50 * MS;
            let (id, actions) = gateway.request(Viewing { top: 0, ..viewing(0) });
            if let Some(server) = sent(&actions) {
                sends.push((server, gateway.now));
                gateway.end(id, 0);
            }
        }
    }
    assert!(!sends.is_empty(), "cold servers are to be warmed");
    for (server, from) in &sends {
        let near = sends.iter().filter(|(id, at)| id == server && (*from..*from + SECOND).contains(at));
        assert!(near.count() <= 1, "two set-ups within a second on {server}");
    }
}

#[test]
fn a_warm_server_has_no_pace() {
    let set = Settings { cold: Some(cold_rule()), ..settings(vec![class(Effect::Free)]) };
    let mut gateway = Gateway::new(set, vec![Entry { started: Some(100 * SECOND), ..entry("a") }]);
    gateway.now += 12 * SECOND;
    for _ in 0..5 {
        assert!(sent(&gateway.request(Viewing { top: 0, ..viewing(0) }).1).is_some());
    }
}

#[test]
fn after_a_restart_an_old_list_is_taken_for_cold() {
    let set = Settings { cold: Some(cold_rule()), ..settings(vec![class(Effect::Free)]) };
    let burst = |gateway: &mut Gateway| {
        (0..200).filter(|_| sent(&gateway.request(Viewing { top: 0, ..viewing(0) }).1).is_some()).count()
    };
    let mut blind = Gateway::restarted(1, set.clone(), vec![entry("a")]);
    assert!(burst(&mut blind) <= 1);
    let mut told = Gateway::new(set, vec![entry("a")]);
    assert!(burst(&mut told) > 1);
}

/// Found on a flash crowd after a restart: no change of the list came, and a warm fleet passed for cold.
#[test]
fn a_restarted_gateway_asks_for_the_list_until_it_has_one() {
    let set = settings(vec![class(Effect::Free)]);
    let mut gateway = Gateway::restarted(1, set.clone(), vec![]);
    // Not in the same event: sessions handed over would show that the list is of now.
    let soon = Action::Alarm { token: 0, at: gateway.now };
    assert_eq!(gateway.list(ListKind::Restored, vec![entry("a")]), vec![soon]);
    assert_eq!(gateway.handle(Event::Alarm { token: 0 }), vec![Action::Fetch]);
    let actions = gateway.list(ListKind::Failed, vec![]);
    let Some(Action::Alarm { token, .. }) = actions.first().cloned() else { panic!("{actions:?}") };
    assert_eq!(gateway.handle(Event::Alarm { token }), vec![Action::Fetch]);
    gateway.list(ListKind::Full, vec![entry("a")]);
    assert_eq!(gateway.handle(Event::Alarm { token }), vec![]);
}

/// Found at full size: hundreds of gateways that begin at one time each asked for the whole list.
#[test]
fn a_gateway_with_sessions_handed_over_does_not_ask_for_the_list() {
    let mut gateway = Gateway::restarted(1, settings(vec![class(Effect::Free)]), vec![entry("a")]);
    gateway.open(RequestId(7), &server("a"));
    assert_eq!(gateway.handle(Event::Alarm { token: 0 }), vec![]);
}

#[test]
fn a_server_seen_to_die_is_cold_when_it_answers_again() {
    let set = Settings { cold: Some(cold_rule()), ..settings(vec![class(Effect::Free)]) };
    let mut gateway = Gateway::new(set, vec![entry("a")]);
    let (id, _) = gateway.request(Viewing { top: 0, ..viewing(0) });
    gateway.outcome(id, 0, Status::ConnectError);
    gateway.now += 5 * SECOND;
    let mut count = 0;
    for _ in 0..50 {
        let (id, actions) = gateway.request(Viewing { top: 0, ..viewing(0) });
        if sent(&actions).is_some() {
            gateway.playing(id, 0);
            count += 1;
        }
    }
    assert!(count <= 1, "{count} set-ups at once to a server that may just have started");
}

// ---- Terms ----

#[test]
fn no_rung_under_the_floor_even_when_only_a_lower_one_fits() {
    let floored = Class { floor: 1, ..class(Effect::Free) };
    let mut gateway = Gateway::new(settings(vec![floored]), vec![entry("a")]);
    gateway.told("a", link_report(0.75));
    assert!(refused(&gateway.request(viewing(0)).1));
}

#[test]
fn a_cut_stops_at_the_floor() {
    let floored = Class { floor: 1, ..class(Effect::Free) };
    let mut gateway = Gateway::new(settings(vec![floored]), vec![entry("a")]);
    let (id, _) = gateway.request(Viewing { top: 1, ..viewing(0) });
    gateway.playing(id, 0);
    assert_eq!(gateway.short(id, &server("a"), 0.2), vec![]);
}

#[test]
fn seats_hold_sessions_handed_over_and_attempts_out() {
    let seated = Class { seats: Some(2), ..class(Effect::Free) };
    let mut gateway = Gateway::new(settings(vec![seated]), fleet(3));
    let old = RequestId(900);
    gateway.open(old, &fleet(1)[0].server);
    let (second, actions) = gateway.request(viewing(0));
    assert!(sent(&actions).is_some());
    assert!(refused(&gateway.request(viewing(0)).1));
    let other = Viewing { title: "rush".into(), ..viewing(0) };
    assert!(sent(&gateway.request(other).1).is_some());
    // The viewer left, but the attempt is out and holds its seat until its outcome.
    gateway.handle(Event::Gone { id: second });
    assert!(refused(&gateway.request(viewing(0)).1));
    gateway.end(second, 0);
    assert!(sent(&gateway.request(viewing(0)).1).is_some());
}

// ---- Budget ----

#[test]
fn further_attempts_keep_to_the_budget_of_the_window() {
    let budget = BudgetRule { free: 1.0, share: 0.5, window: 10 * SECOND };
    let set = Settings { budget: Some(budget), ..settings(vec![class(Effect::Free)]) };
    let mut gateway = Gateway::new(set, fleet(8));
    // Two requests taken: one and two halves allow two further attempts, and not a third.
    let (first, _) = gateway.request(viewing(0));
    let (second, _) = gateway.request(viewing(0));
    assert!(sent(&gateway.outcome(first, 0, Status::Full)).is_some());
    assert!(sent(&gateway.outcome(second, 0, Status::Full)).is_some());
    assert!(refused(&gateway.outcome(first, 1, Status::Full)));
    // Once the window has passed, what was taken in it counts no more either: one is free.
    gateway.now += 10 * SECOND + 1;
    let (third, _) = gateway.request(viewing(0));
    assert!(sent(&gateway.outcome(third, 0, Status::Full)).is_some());
    assert!(refused(&gateway.outcome(third, 1, Status::Full)));
}

#[test]
fn attempts_stop_at_the_most_allowed() {
    let set = Settings { max_attempts: Some(2), ..settings(vec![class(Effect::Free)]) };
    let mut gateway = Gateway::new(set, fleet(8));
    let (id, _) = gateway.request(viewing(0));
    assert!(sent(&gateway.outcome(id, 0, Status::Full)).is_some());
    assert!(refused(&gateway.outcome(id, 1, Status::Full)));
}
