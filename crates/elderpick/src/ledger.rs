//! The ledger, for operators.

use std::path::{Path, PathBuf};

use clap::{Args, Subcommand};
use elderpick_gateway::config::Config;
use elderpick_gateway::control::{self, Asked};
use elderpick_gateway::ledger::{self as store, Command, Ledger as Store};
use elderpick_ledger::reconcile::Renamed;
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
    /// Hand over what is new, numbered; what was not handed over before goes first, the same bytes.
    Export {
        /// A folder, or `http://ADDRESS:PORT/PATH` of a receiver.
        #[arg(long, value_name = "WHERE")]
        to: String,
        #[command(flatten)]
        of: Of,
    },
    /// Hand an export over again, the same bytes.
    Again {
        export: u64,
        #[arg(long, value_name = "WHERE")]
        to: String,
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
        /// Bytes more or less.
        #[arg(long, default_value_t = 0, allow_hyphen_values = true)]
        bytes: i64,
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
        /// A table `tenant,licence,to` of tenants that bear another name on the bill.
        #[arg(long, value_name = "FILE")]
        renamed: Option<PathBuf>,
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

/// A folder's path from the root, for a gateway that runs elsewhere; a receiver's address as it is.
fn place(to: &str) -> Result<String, String> {
    if to.starts_with("http://") {
        return Ok(to.into());
    }
    let path = std::path::absolute(Path::new(to)).map_err(|why| format!("{to}: {why}"))?;
    path.into_os_string().into_string().map_err(|_| format!("{to}: the path must be UTF-8"))
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
            // One export has so many entries at most; there may be more.
            loop {
                let done = done(&of, Command::Export { to: place(&to)? })?;
                print(&of, &done, |done| format!("export {}: {} in {to}", done["export"], done["name"]));
                if done["waiting"].as_u64().unwrap_or(0) == 0 {
                    break;
                }
            }
        }
        Ledger::Again { export, to, of } => {
            let done = done(&of, Command::Again { to: place(&to)?, export })?;
            print(&of, &done, |done| format!("export {export}: {} in {to}", done["name"]));
        }
        Ledger::Correct { entry, uses, at_rung, bytes, tenant, why, of } => {
            let done = done(&of, Command::Correct { entry, uses, at_rung, bytes, tenant, why })?;
            print(&of, &done, |done| {
                format!("entry {} corrects {entry}, billed in {}", done["entry"], done["period"])
            });
        }
        Ledger::Reconcile { folders, window, renamed, csv } => {
            let renamed = match &renamed {
                None => Renamed::default(),
                Some(file) => {
                    let named = |why: String| format!("{}: {why}", file.display());
                    let table = std::fs::read(file).map_err(|why| named(why.to_string()))?;
                    Renamed::read(&table).map_err(named)?
                }
            };
            let report = store::reconcile(&folders, window, renamed)?;
            if csv {
                println!("period,tenant,sessions,uses,us,bytes");
                for ((period, tenant), b) in &report.billed {
                    let tenant = tenant.replace('"', "\"\"");
                    let (time, bytes) = (b.total.time(), b.total.bytes);
                    println!("{period},\"{tenant}\",{},{},{time},{bytes}", b.sessions, b.uses);
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
