//! The operators' program.

mod entitle;
mod ledger;

use std::path::PathBuf;
use std::process::ExitCode;

use clap::{Args, Parser, Subcommand};

/// A session front: places video sessions on media servers and shapes them.
#[derive(Parser)]
#[command(version, arg_required_else_help = true)]
struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Run one gateway until SIGTERM.
    Gateway(Gateway),
    /// Look at settings.
    #[command(subcommand)]
    Settings(Settings),
    /// Look at inventories.
    #[command(subcommand)]
    Inventory(Inventory),
    /// Make, read and check entitlement tokens.
    #[command(subcommand)]
    Token(entitle::Token),
    /// The keys that sign and verify tokens.
    #[command(subcommand)]
    Keys(entitle::Keys),
    /// Seats of licences: who has them, and whether a sheet is good.
    #[command(subcommand)]
    Seats(entitle::Seats),
    /// Use, for billing: totals, periods, corrections, exports and their reconciliation.
    #[command(subcommand)]
    Ledger(ledger::Ledger),
}

/// By which wire it serves.
#[derive(Args)]
#[group(required = true, multiple = false)]
struct Gateway {
    /// Serve HLS and SRT by these settings.
    #[arg(long, value_name = "FILE")]
    settings: Option<PathBuf>,
    /// Serve on the platform's wire by its configuration.
    #[arg(long, value_name = "FILE")]
    platform: Option<PathBuf>,
}

#[derive(Subcommand)]
enum Settings {
    /// Tell all that is wrong with a settings file.
    Check { file: PathBuf },
    /// Print the schema that settings are checked by.
    Schema,
}

#[derive(Subcommand)]
enum Inventory {
    /// Tell all that is wrong with an inventory in CSV or YAML.
    Check { file: PathBuf },
}

fn main() -> ExitCode {
    match run(Arguments::parse().command) {
        Ok(()) => ExitCode::SUCCESS,
        Err(why) => {
            eprintln!("{why}");
            ExitCode::FAILURE
        }
    }
}

fn run(command: Command) -> Result<(), String> {
    match command {
        Command::Gateway(Gateway { settings: Some(file), .. }) => elderpick_gateway::run(&file),
        Command::Gateway(Gateway { platform, .. }) => {
            elderpick_node::run(&platform.unwrap_or_default(), |_| ()).map_err(|why| why.to_string())
        }
        Command::Settings(Settings::Check { file }) => {
            let config = elderpick_gateway::config::Config::open(&file)?;
            println!(
                "{}: good; {} classes, {} rungs",
                file.display(),
                config.classes.len(),
                config.ladder.len()
            );
            Ok(())
        }
        Command::Token(command) => entitle::token(command),
        Command::Keys(command) => entitle::keys(command),
        Command::Seats(command) => entitle::seats(command),
        Command::Ledger(command) => ledger::ledger(command),
        Command::Settings(Settings::Schema) => {
            print!("{}", elderpick_gateway::config::SCHEMA);
            Ok(())
        }
        Command::Inventory(Inventory::Check { file }) => {
            let name = file.display().to_string();
            let format = elderpick_inventory::Format::of(&name)
                .ok_or_else(|| format!("{name}: must end in .csv, .yaml or .yml"))?;
            let text = std::fs::read(&file).map_err(|why| format!("{name}: {why}"))?;
            let servers =
                elderpick_inventory::read(&name, &text, format, &[], &[]).map_err(|f| f.to_string())?;
            println!("{name}: good; {} servers", servers.len());
            Ok(())
        }
    }
}
