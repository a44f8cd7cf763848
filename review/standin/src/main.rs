//! One case of the review: `standin CASE ROOT RECORD`. `TROUBLE=0` leaves the disruption out.
//! Exit status: 0 the rule held, 1 it was broken, 2 the case could not run.

mod drain_slow;
mod hang;
mod kit;
mod lost_release;
mod memory;
mod site;
mod wrong_data;

use std::path::PathBuf;

/// What a case is started with.
pub struct Start {
    pub root: PathBuf,
    /// Where `record.txt` is written.
    pub record: PathBuf,
    pub trouble: bool,
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, root, record] = &arguments[..] else { kit::cannot_run("usage: standin CASE ROOT RECORD") };
    kit::watchdog(112);
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let start = Start { root: root.into(), record: record.into(), trouble };
    let broken = match case.as_str() {
        "drain-slow" => drain_slow::run(&start),
        "hang" => hang::run(&start),
        "wrong-data" => wrong_data::run(&start),
        "memory" => memory::run(&start),
        "lost-release" => lost_release::run(&start),
        _ => kit::cannot_run("no such case"),
    };
    println!("{}", if broken { "broken" } else { "held" });
    kit::finish(i32::from(broken));
}
