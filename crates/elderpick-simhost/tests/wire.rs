//! The adapter on wire lines, good and bad, and as a program.

use std::io::Write;
use std::process::{Command, Output, Stdio};

use elderpick_simhost::Host;
use serde_json::{Value, json};

fn boot_info() -> Value {
    json!({
        "me": 0, "balancers": 1, "az": 0, "new_key": {"deep": [1, 2]},
        "profiles": [{"effect": "free", "group": "all", "on_time_us": 1_000_000, "worth": 2.0}],
        "extra": {"cells": 4, "cabinets": 1, "class_floor": [0], "class_scale": [1.0], "class_seats": [0],
                  "class_top": [2], "kb_per_weight": 1000.0, "places_by_kind": [20],
                  "rung_kb": [100.0, 200.0, 400.0], "worth_by_rung": [0.3, 0.6, 1.0], "see_us": 500_000},
        "guarantees": {"ramp_time_us": 5_000_000, "start_capacity": 0.4, "tip_multiple": 2.0,
                       "overload_for_us": 1_000_000},
        "limits": {"max_attempts": 3, "max_retry_after_us": 800_000, "may_probe": true, "retry_after": true},
        "reporting": {"how": "answers", "names": ["x0", "x1"]},
        "registry_mode": "automatic", "weight_kind": "nominal", "prices": {"probe": 0.01}
    })
}

fn line(ts: i64, news: Value) -> Vec<u8> {
    json!({"ts_us": ts, "news": news}).to_string().into_bytes()
}

fn roster() -> Value {
    json!({"t": "roster", "bank": 3, "members_list": [
        {"host": "10.0.0.1:80", "slot_no": 1, "status": "in_service", "weight": 1.5, "odd": null}]})
}

fn begin(instance: u64) -> [Value; 3] {
    [
        json!({"t": "attach", "i": instance, "entropy": 42, "boot_info": boot_info()}),
        roster(),
        json!({"t": "fleet", "i": instance, "kind": "replace", "version": 1, "bank": 3}),
    ]
}

fn incoming(instance: u64, corr: &str) -> Value {
    json!({"t": "incoming", "i": instance, "corr": corr, "profile": 0, "name_key": "p:a", "item": "p:b",
           "remaining_us": 3_000_000, "first_cell": 0, "holders": 4, "ceiling_rung": 1})
}

fn orders(reply: &str) -> Vec<Value> {
    let reply: Value = serde_json::from_str(reply).expect("a reply is JSON");
    reply["orders"].as_array().expect("with orders").clone()
}

fn begun() -> Host {
    let mut host = Host::default();
    let reply = host.batch(&line(0, json!(begin(3)))).expect("a good batch");
    assert!(orders(&reply).is_empty());
    host
}

#[test]
fn an_empty_batch_has_an_empty_reply() {
    assert_eq!(Host::default().batch(br#"{"ts_us":8412250,"news":[]}"#).unwrap(), r#"{"orders":[]}"#);
}

#[test]
fn a_request_is_rated_and_issued_with_its_id_unaltered() {
    let mut host = begun();
    let corr = "0b4dd7d45d3a91c4";
    let all = orders(&host.batch(&line(10_000_000, json!([incoming(3, corr)]))).unwrap());
    assert_eq!(all[0], json!({"t": "set_alarm", "i": 3, "token": 2, "due_at_us": 13_000_000}));
    assert_eq!(all[1], json!({"t": "set_rate", "i": 3, "corr": corr, "step": 1}));
    assert_eq!(all[2]["t"], "issue");
    assert_eq!((&all[2]["corr"], &all[2]["host"]), (&json!(corr), &json!("10.0.0.1:80")));
}

#[test]
fn outcomes_notes_and_probe_results_are_taken_in() {
    let mut host = begun();
    let (corr, server) = ("00000000000000ff", "10.0.0.1:80");
    host.batch(&line(10_000_000, json!([incoming(3, corr)]))).unwrap();
    let news = json!([
        {"t": "established", "i": 3, "corr": corr, "hop": 0, "host": server, "time_taken_us": 9250},
        {"t": "heartbeat", "i": 3, "corr": corr, "host": server, "hop": 0, "topic": 1, "amount": 0.4},
        {"t": "heartbeat", "i": 3, "corr": corr, "host": server, "hop": 0, "topic": 99, "amount": 0.4},
        {"t": "health_result", "i": 3, "host": server, "code": "Ok", "time_taken_us": 1400,
         "feedback": {"x0": 0.99, "unheard_of": 7.0}},
        {"t": "inbox", "i": 3, "who": 1, "raw": "hi"}]);
    assert_eq!(orders(&host.batch(&line(11_000_000, news)).unwrap()), Vec::<serde_json::Value>::new());
    // Still short a second later.
    let news = json!([{"t": "heartbeat", "i": 3, "corr": corr, "host": server, "hop": 0, "topic": 1, "amount": 0.4}]);
    let all = orders(&host.batch(&line(11_900_000, news)).unwrap());
    assert_eq!(all, vec![json!({"t": "set_rate", "i": 3, "corr": corr, "step": 0})]);
    let over = json!([{"t": "completed", "i": 3, "corr": corr, "done_flag": true, "hop": 0, "host": server,
                       "code": "Ok", "feedback": {"x0": 0.97}}, incoming(3, "00000000000000aa")]);
    let all = orders(&host.batch(&line(12_000_000, over)).unwrap());
    assert_eq!(all[1], json!({"t": "reject", "i": 3, "corr": "00000000000000aa", "stay_away_us": 800_000}));
}

#[test]
fn a_roster_number_is_resolved_in_the_order_of_events() {
    let mut host = begun();
    let later = json!([
        {"t": "fleet", "i": 3, "kind": "update", "version": 2, "bank": 3},
        {"t": "roster", "bank": 3, "members_list": [{"host": "10.0.0.1:80", "slot_no": 1, "status": "terminating"}]},
        incoming(3, "0000000000000001"),
        {"t": "fleet", "i": 3, "kind": "update", "version": 3, "bank": 3},
        incoming(3, "0000000000000002")]);
    let all = orders(&host.batch(&line(10_000_000, later)).unwrap());
    let kinds: Vec<_> = all.iter().map(|order| order["t"].as_str().unwrap()).collect();
    assert_eq!(kinds, ["set_alarm", "set_rate", "issue", "set_alarm", "reject"]);
}

#[test]
fn a_retired_instance_is_forgotten_and_may_begin_again() {
    let mut host = begun();
    assert!(host.batch(&line(1, json!([{"t": "retire", "i": 3}]))).is_ok());
    assert!(host.batch(&line(2, json!([incoming(3, "0000000000000001")]))).is_err());
    let mut again = vec![json!({"t": "retire", "i": 3})];
    again.extend(begin(3));
    assert!(host.batch(&line(3, json!(again))).is_ok());
}

#[test]
fn instances_act_alike_in_one_process_and_in_several() {
    let day = |instances: &[u64]| {
        let mut host = Host::default();
        let mut all = Vec::new();
        host.batch(&line(0, json!(instances.iter().flat_map(|&i| begin(i)).collect::<Vec<_>>()))).unwrap();
        for k in 0..20u64 {
            let asked: Vec<_> =
                instances.iter().map(|&i| incoming(i, &format!("{:016x}", i * 1000 + k))).collect();
            all.extend(orders(&host.batch(&line(10_000_000 + k as i64 * 50_000, json!(asked))).unwrap()));
        }
        all
    };
    let together = day(&[1, 2, 3]);
    for instance in 1..=3 {
        let alone = day(&[instance]);
        let of_it: Vec<_> = together.iter().filter(|order| order["i"] == instance).cloned().collect();
        assert_eq!(alone, of_it);
    }
}

#[test]
fn what_is_no_batch_is_told() {
    let cases: [(&[u8], &str); 7] = [
        (b"not json", "not a batch"),
        (b"[]", "not a batch"),
        (br#"{"ts_us":1}"#, "news"),
        (br#"{"ts_us":1,"news":[{"t":"surprise","i":1}]}"#, "surprise"),
        (br#"{"ts_us":1,"news":[{"t":"tick_due","i":1,"token":-4}]}"#, "not a batch"),
        (br#"{"ts_us":1,"news":[{"t":"tick_due","i":9,"token":4}]}"#, "instance 9"),
        (br#"{"ts_us":1,"news":[{"t":"cancelled_by_client","i":9,"corr":"xyz"}]}"#, "xyz"),
    ];
    for (line, told) in cases {
        let fault = Host::default().batch(line).expect_err("no batch");
        assert!(fault.contains(told), "{fault:?} does not tell of {told:?}");
    }
}

fn run(input: &[u8]) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_elderpick-simhost"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the program starts");
    child.stdin.take().expect("piped").write_all(input).expect("it reads its input");
    child.wait_with_output().expect("it ends")
}

#[test]
fn the_program_answers_line_by_line_and_ends_with_its_input() {
    let done = run(b"{\"ts_us\":1,\"news\":[]}\n{\"ts_us\":2,\"news\":[]}\n");
    assert!(done.status.success());
    assert_eq!(done.stdout, b"{\"orders\":[]}\n{\"orders\":[]}\n");
    assert!(run(b"").status.success());
}

#[test]
fn the_program_names_the_line_that_is_no_batch() {
    let done = run(b"{\"ts_us\":1,\"news\":[]}\n{\"ts_us\":\n");
    assert!(!done.status.success());
    assert_eq!(done.stdout, b"{\"orders\":[]}\n");
    let told = String::from_utf8(done.stderr).unwrap();
    assert!(told.contains("line 2") && told.contains("not a batch"), "{told}");
}
