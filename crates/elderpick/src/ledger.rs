//! The ledger, for operators.

use std::path::{Path, PathBuf};

use clap::{Args, Subcommand};
use elderpick_gateway::config::Config;
use elderpick_gateway::control::{self, Asked};
use elderpick_gateway::ledger::{self as store, Command, Ledger as Store};
use elderpick_ledger::reconcile::reconcile;
use serde_json::{Value, json};

#[derive(Args)]
pub struct Of {
    /// The gateway's settings. If it runs it is asked, or else its files are opened.
    #[arg(long, value_name = "FILE")]
    settings: PathBuf,
    /// Print JSON.
    #[arg(long)]
    json: bool,
}

#[derive(Subcommand)]
pub enum Ledger {
    /// Show totals by period and tenant, what is closed and what was exported.
    Show {
        #[command(flatten)]
        of: Of,
    },
    /// Read all records and tell whether they are what was written.
    Verify {
        #[command(flatten)]
        of: Of,
    },
    /// Close a period, as 2026-12: nothing is billed in it any more.
    Close {
        period: String,
        #[command(flatten)]
        of: Of,
    },
    /// Write what is new into a folder, numbered; what was not handed over before goes first, the same bytes.
    Export {
        #[arg(long, value_name = "FOLDER")]
        to: PathBuf,
        #[command(flatten)]
        of: Of,
    },
    /// Write an export again, the same bytes.
    Again {
        export: u64,
        #[arg(long, value_name = "FOLDER")]
        to: PathBuf,
        #[command(flatten)]
        of: Of,
    },
    /// Correct an entry by a difference, in its period or, if that is closed, in the next open one.
    Correct {
        entry: u64,
        /// Uses more or less.
        #[arg(long, default_value_t = 0, allow_hyphen_values = true)]
        uses: i64,
        /// Microseconds more or less at each rung from the lowest, with commas between.
        #[arg(long, value_delimiter = ',', allow_hyphen_values = true)]
        at_rung: Vec<i64>,
        /// Whom to bill, if not the entry's own tenant: to move use, take it from one and give it to the other.
        #[arg(long)]
        tenant: Option<String>,
        #[arg(long)]
        why: String,
        #[command(flatten)]
        of: Of,
    },
    /// Work out the use of all gateways from their exports, and find what is missing, double, edited or out of line.
    Reconcile {
        #[arg(required = true)]
        folders: Vec<PathBuf>,
        /// A session that begins so long after another of the same viewer and title is a retry of it.
        #[arg(long, value_parser = crate::entitle::duration, default_value = "30s")]
        window: i64,
        /// Print CSV.
        #[arg(long)]
        csv: bool,
    },
}

/// Has a command done by the gateway if it runs, or else with its files.
fn done(of: &Of, command: Command) -> Result<Value, String> {
    let config = Config::open(&of.settings)?;
    let settings = config.ledger.as_ref().ok_or("the settings have no `ledger`")?;
    if let Some(path) = &config.control {
        let text = serde_json::to_string(&command).map_err(|why| why.to_string())?;
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
        let runtime = runtime.map_err(|why| format!("no runtime: {why}"))?;
        match runtime.block_on(control::ask(path, "/ledger", Some(text))) {
            Ok(done) => return Ok(done),
            Err(Asked::Refused(why)) => return Err(why),
            Err(Asked::Away(_)) => {}
        }
    }
    Store::open(&config.name, settings)?.run(command)
}

fn absolute(path: &Path) -> Result<PathBuf, String> {
    std::path::absolute(path).map_err(|why| format!("{}: {why}", path.display()))
}

fn print(of: &Of, done: &Value, text: impl FnOnce(&Value) -> String) {
    println!("{}", if of.json { done.to_string() } else { text(done) });
}

pub fn ledger(command: Ledger) -> Result<(), String> {
    match command {
        Ledger::Show { of } => print(&of, &done(&of, Command::Show)?, show),
        Ledger::Verify { of } => {
            let config = Config::open(&of.settings)?;
            let settings = config.ledger.as_ref().ok_or("the settings have no `ledger`")?;
            let (records, entries, odd) = store::verify(&config.name, settings)?;
            let told = json!({ "records": records, "entries": entries, "odd": odd });
            print(&of, &told, |_| {
                format!("good: {records} records, {entries} entries, {odd} that do not fit")
            });
        }
        Ledger::Close { period, of } => {
            print(&of, &done(&of, Command::Close { period })?, |done| {
                format!("{} is closed", done["closed"])
            });
        }
        Ledger::Export { to, of } => {
            let done = done(&of, Command::Export { to: absolute(&to)? })?;
            print(&of, &done, |done| {
                format!("export {}: {} in {}", done["export"], done["name"], to.display())
            });
        }
        Ledger::Again { export, to, of } => {
            let done = done(&of, Command::Again { to: absolute(&to)?, export })?;
            print(&of, &done, |done| format!("export {export}: {} in {}", done["name"], to.display()));
        }
        Ledger::Correct { entry, uses, at_rung, tenant, why, of } => {
            let done = done(&of, Command::Correct { entry, uses, at_rung, tenant, why })?;
            print(&of, &done, |done| {
                format!("entry {} corrects {entry}, billed in {}", done["entry"], done["period"])
            });
        }
        Ledger::Reconcile { folders, window, csv } => {
            let report = reconcile(&store::exports(&folders)?, window);
            if csv {
                println!("period,tenant,sessions,uses,us");
                for ((period, tenant), b) in &report.billed {
                    let tenant = tenant.replace('"', "\"\"");
                    println!("{period},\"{tenant}\",{},{},{}", b.sessions, b.uses, b.total.time());
                }
                report.findings.iter().for_each(|finding| eprintln!("{finding}"));
            } else {
                print!("{}", report.table());
            }
            if !report.clean() {
                return Err("something is not as it must be".into());
            }
        }
    }
    Ok(())
}

fn show(shown: &Value) -> String {
    let list = |name: &str| shown[name].as_array().cloned().unwrap_or_default();
    let word = |v: &Value| v.as_str().map_or_else(|| v.to_string(), str::to_owned);
    let mut out =
        format!("{:<10} {:<20} {:>9} {:>9} {:>14}\n", "period", "tenant", "entries", "uses", "seconds");
    for total in list("totals") {
        let us = total["us"].as_i64().unwrap_or(0);
        let seconds = format!("{}.{:06}", us / 1_000_000, (us % 1_000_000).abs());
        out += &format!(
            "{:<10} {:<20} {:>9} {:>9} {seconds:>14}\n",
            word(&total["period"]),
            word(&total["tenant"]),
            word(&total["entries"]),
            word(&total["uses"])
        );
    }
    let exports = list("exports");
    let handed = exports.iter().filter(|e| e["handed"] == json!(true)).count();
    out + &format!(
        "{} entries, epoch {}, {} sessions play, {} exports, {handed} handed over",
        shown["entries"],
        shown["epoch"],
        shown["open"],
        exports.len()
    )
}
