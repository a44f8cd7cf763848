//! The drills, as operators run them.

use std::process::Command;

fn lab(arguments: &[&str]) -> (bool, String) {
    let out = Command::new(env!("CARGO_BIN_EXE_elderpick-lab")).args(arguments).output().unwrap();
    let text = String::from_utf8_lossy(&out.stdout).into_owned() + &String::from_utf8_lossy(&out.stderr);
    (out.status.success(), text)
}

#[test]
fn a_bad_day_keeps_the_rules() {
    let (good, text) = lab(&["drill", "bad-day", "--seed", "1", "--for", "12s"]);
    assert!(good, "{text}");
}

#[test]
fn each_double_that_breaks_a_rule_is_caught_at_it() {
    let (good, text) = lab(&["drill", "mutants"]);
    assert!(good, "{text}");
}

#[test]
fn the_demo_plays_and_ends_by_itself() {
    let (good, text) = lab(&["demo", "--for", "3s"]);
    assert!(good && text.contains("curl -i http://127.0.0.1:"), "{text}");
    let played =
        text.lines().filter_map(|l| l.split("plays").nth(1)?.split_whitespace().next()?.parse::<u32>().ok());
    assert!(played.sum::<u32>() > 0, "{text}");
}
