//! Health: what failures of servers change.

mod common;

use common::*;
use elderpick_core::api::*;

fn probed(gateway: &mut Gateway, name: &str, status: Status) {
    gateway.handle(Event::Probed { server: server(name), status, report: Report::default() });
}

/// Found when a zone was cut off: its servers stayed in the list and each session sent there lost its wanted time.
#[test]
fn a_server_that_did_not_answer_gets_a_probe_before_a_session() {
    let set = Settings { may_probe: true, ..settings(vec![class(Effect::Free)]) };
    let mut gateway = Gateway::new(set, vec![entry("cut off"), entry("a"), entry("b"), entry("c")]);
    probed(&mut gateway, "cut off", Status::TimedOut);
    let low = Viewing { top: 0, ..viewing(0) };
    let (_, actions) = gateway.request(low.clone());
    assert_eq!(probes(&actions), vec![], "not during the back-off");
    gateway.now += SECOND;
    let (_, actions) = gateway.request(low.clone());
    assert_eq!(probes(&actions), vec![server("cut off")]);
    for _ in 0..5 {
        let (_, actions) = gateway.request(low.clone());
        assert_eq!(probes(&actions), vec![], "one at a time");
        assert_ne!(sent(&actions), Some(server("cut off")));
    }
    probed(&mut gateway, "cut off", Status::Ok);
    gateway.now += 10 * SECOND;
    let tried = (0..8).any(|_| sent(&gateway.request(low.clone()).1) == Some(server("cut off")));
    assert!(tried, "what answers again is tried again");
}

/// A fast failer sheds its load and would win every draw.
#[test]
fn a_fast_failer_is_left_alone_and_then_tried_by_one_free_session() {
    let paid = class(Effect::SingleShot);
    let mut gateway =
        Gateway::new(settings(vec![class(Effect::Free), paid]), vec![entry("a"), entry("b"), entry("c")]);
    let low = |class| Viewing { top: 0, ..viewing(class) };
    let (id, actions) = gateway.request(low(0));
    let failer = sent(&actions).expect("an empty fleet admits");
    gateway.outcome(id, 0, Status::Failed);
    for _ in 0..6 {
        assert_ne!(sent(&gateway.request(low(0)).1), Some(failer.clone()), "during the back-off");
    }
    gateway.now += 4 * SECOND;
    for _ in 0..6 {
        assert_ne!(sent(&gateway.request(low(1)).1), Some(failer.clone()), "a paid session on trial");
    }
    let trials = (0..6).filter(|_| sent(&gateway.request(low(0)).1) == Some(failer.clone())).count();
    assert_eq!(trials, 1);
}

/// Found with a gateway that has paid sessions alone: once all its servers had died it served nobody, though they were back.
#[test]
fn where_no_server_is_left_one_paid_session_goes_on_trial() {
    let paid = class(Effect::SingleShot);
    let mut gateway = Gateway::new(settings(vec![paid]), vec![entry("a"), entry("b"), entry("c")]);
    let low = Viewing { top: 0, ..viewing(0) };
    let mut lost = Vec::new();
    while lost.len() < 3 {
        let (id, mut actions) = gateway.request(low.clone());
        for attempt in 0.. {
            let Some(server) = sent(&actions) else { break };
            assert!(!lost.contains(&server), "a paid session on trial while others serve");
            lost.push(server);
            actions = gateway.outcome(id, attempt, Status::ConnectError);
        }
        // Beyond the back-off of those that are lost by now.
        gateway.now += 2 * SECOND;
    }
    gateway.now += 10 * SECOND;
    let (id, actions) = gateway.request(low.clone());
    let trial = sent(&actions).expect("none other is left");
    for _ in 0..16 {
        assert_ne!(sent(&gateway.request(low.clone()).1), Some(trial.clone()), "one at a time");
    }
    gateway.playing(id, 0);
    let used = (0..32).filter(|_| sent(&gateway.request(low.clone()).1) == Some(trial.clone())).count();
    assert!(used > 1, "it serves: {used}");
}

#[test]
fn where_most_servers_fail_the_cause_is_shared_and_they_stay_in_use() {
    let mut gateway =
        Gateway::new(settings(vec![class(Effect::Free)]), vec![entry("a"), entry("b"), entry("c")]);
    for _ in 0..2 {
        let (id, _) = gateway.request(viewing(0));
        gateway.outcome(id, 0, Status::Failed);
        gateway.end(id, 1);
    }
    for _ in 0..6 {
        let (id, actions) = gateway.request(viewing(0));
        assert!(sent(&actions).is_some());
        gateway.end(id, 0);
    }
}
