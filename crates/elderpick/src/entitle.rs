//! Tokens, keys and seats, for operators.

use std::io::{Read, Write};
use std::os::unix::fs::OpenOptionsExt;
use std::path::{Path, PathBuf};
use std::time::{SystemTime, UNIX_EPOCH};

use clap::{Args, Subcommand, ValueEnum};
use elderpick_entitle::keys::{Algorithm, Key, KeySet};
use elderpick_entitle::sheet::LicenceSheet;
use elderpick_entitle::token::{self, Asked, Claims};
use elderpick_gateway::config::Config;
use elderpick_gateway::{control, state};
use serde_json::{Value, json};

#[derive(Subcommand)]
pub enum Token {
    /// Write a token, signed by the key of the set that signs.
    Issue(Issue),
    /// Show what a token says, without verifying it. `-` reads it from standard input.
    Inspect { token: String },
    /// Tell whether a gateway would take a token. `-` reads it from standard input.
    Verify {
        token: String,
        #[arg(long, value_name = "FILE")]
        keys: PathBuf,
        #[arg(long)]
        audience: String,
        #[arg(long)]
        issuer: Option<String>,
        #[arg(long, value_parser = duration, default_value = "2s")]
        skew: i64,
    },
}

#[derive(Args)]
pub struct Issue {
    /// The key set, with the private part of the key that signs.
    #[arg(long, value_name = "FILE")]
    keys: PathBuf,
    #[arg(long)]
    audience: String,
    /// Who holds it: one seat of the licence.
    #[arg(long)]
    holder: String,
    #[arg(long)]
    tenant: String,
    #[arg(long)]
    licence: String,
    /// How long it is good, as in 2h.
    #[arg(long = "for", value_parser = duration)]
    lasts: i64,
    #[arg(long)]
    issuer: Option<String>,
    /// The token's own id; drawn if not given.
    #[arg(long)]
    id: Option<String>,
    /// Only for this class; may be given several times.
    #[arg(long)]
    class: Vec<String>,
    /// Only for titles of this pattern, as in 'carex-*'; may be given several times.
    #[arg(long)]
    title: Vec<String>,
}

#[derive(Clone, Copy, ValueEnum)]
pub enum Kind {
    /// Gateways get the public half only.
    #[value(name = "EdDSA")]
    EdDsa,
    /// One secret for all; whoever verifies can also sign.
    #[value(name = "HS256")]
    Hs256,
}

#[derive(Subcommand)]
pub enum Keys {
    /// Add a key that signs from now on; the one before goes on verifying. Makes the file if there is none.
    New {
        file: PathBuf,
        #[arg(long, value_enum, default_value = "EdDSA")]
        algorithm: Kind,
        /// Its name in tokens; the time if not given.
        #[arg(long)]
        id: Option<String>,
    },
    /// Show the keys of a set, without what they are made of.
    List { file: PathBuf },
    /// Take nothing any more that a key signed, or from a time on.
    Retire {
        file: PathBuf,
        id: String,
        /// As in 2026-12-01T08:00:00Z; now if not given.
        #[arg(long)]
        at: Option<jiff::Timestamp>,
    },
    /// Print the set as gateways need it, without private halves.
    Public { file: PathBuf },
}

#[derive(Subcommand)]
pub enum Seats {
    /// Show which seats are taken: from the gateway if it runs, or else from its log.
    Show {
        /// The gateway's settings.
        #[arg(long, value_name = "FILE")]
        settings: PathBuf,
        /// Print JSON.
        #[arg(long)]
        json: bool,
    },
    /// Make an empty log of seats for a gateway that has never run. Without it a gateway supposes that its log was lost,
    /// and gives no seat for the hold.
    Init {
        #[arg(long, value_name = "FILE")]
        settings: PathBuf,
    },
    /// Tell all that is wrong with a sheet of licences, and whether it may follow the one in force.
    Check {
        sheet: PathBuf,
        #[arg(long, value_name = "SHEET")]
        after: Option<PathBuf>,
    },
}

pub fn duration(text: &str) -> Result<i64, String> {
    let span: jiff::SignedDuration = text.parse().map_err(|why: jiff::Error| why.to_string())?;
    i64::try_from(span.as_micros()).map_err(|why| why.to_string())
}

fn now() -> i64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_micros() as i64)
}

fn time(micros: i64) -> String {
    jiff::Timestamp::from_microsecond(micros).map_or_else(|_| micros.to_string(), |t| t.to_string())
}

fn read(file: &Path) -> Result<String, String> {
    std::fs::read_to_string(file).map_err(|why| format!("{}: {why}", file.display()))
}

fn key_set(file: &Path) -> Result<KeySet, String> {
    KeySet::read(read(file)?.as_bytes()).map_err(|why| format!("{}: {why}", file.display()))
}

/// Writes a file whole or not at all, for its owner alone.
fn write(file: &Path, text: &str) -> Result<(), String> {
    let told = |why: std::io::Error| format!("{}: {why}", file.display());
    let new = file.with_extension("new");
    let mut to = std::fs::OpenOptions::new()
        .create(true)
        .write(true)
        .truncate(true)
        .mode(0o600)
        .open(&new)
        .map_err(told)?;
    to.write_all(text.as_bytes()).and_then(|()| to.sync_all()).map_err(told)?;
    std::fs::rename(&new, file).map_err(told)
}

/// A token as an argument, or from standard input, where no list of processes shows it.
fn brought(text: String) -> Result<String, String> {
    if text != "-" {
        return Ok(text);
    }
    let mut text = String::new();
    let read = std::io::stdin().take(token::MOST as u64 + 64).read_to_string(&mut text);
    read.map_err(|why| format!("standard input: {why}"))?;
    Ok(text.trim().to_owned())
}

fn shown(claims: &Claims) -> Value {
    json!({ "issuer": claims.issuer, "audience": claims.audience, "holder": claims.holder, "id": claims.id,
        "not_before": claims.not_before.map(time), "expires": time(claims.expires), "tenant": claims.tenant,
        "licence": claims.licence, "classes": claims.classes, "titles": claims.titles })
}

pub fn token(command: Token) -> Result<(), String> {
    match command {
        Token::Issue(issue) => {
            let now = now();
            let claims = Claims {
                issuer: issue.issuer,
                audience: vec![issue.audience],
                holder: issue.holder,
                id: issue.id.unwrap_or_else(|| format!("{:032x}", rand::random::<u128>())),
                not_before: Some(now),
                expires: now + issue.lasts,
                tenant: issue.tenant,
                licence: issue.licence,
                classes: issue.class,
                titles: issue.title,
            };
            println!("{}", token::issue(&claims, &key_set(&issue.keys)?)?);
        }
        Token::Inspect { token } => {
            let (algorithm, key, claims) = token::inspect(&brought(token)?).map_err(|why| why.to_string())?;
            println!("not verified; {algorithm} by key {key}\n{:#}", shown(&claims));
        }
        Token::Verify { token, keys, audience, issuer, skew } => {
            let asked = Asked { audience, issuer, skew };
            let claims = token::verify(&brought(token)?, &key_set(&keys)?, &asked, now());
            println!("good\n{:#}", shown(&claims.map_err(|why| why.to_string())?));
        }
    }
    Ok(())
}

pub fn keys(command: Keys) -> Result<(), String> {
    match command {
        Keys::New { file, algorithm, id } => {
            let mut keys = if file.exists() { key_set(&file)? } else { KeySet::default() };
            let algorithm = match algorithm {
                Kind::EdDsa => Algorithm::EdDsa,
                Kind::Hs256 => Algorithm::Hs256,
            };
            let id = id.unwrap_or_else(|| format!("k{}", now() / 1_000_000));
            keys.add(Key::new(&id, algorithm, rand::random())?)?;
            write(&file, &keys.write(true))?;
            println!(
                "{id} signs from now on; give gateways the output of: elderpick keys public {}",
                file.display()
            );
        }
        Keys::List { file } => {
            println!("{:<24} {:<9} {:<9} {:<8} verifies until", "key", "algorithm", "state", "private");
            for key in key_set(&file)?.iter() {
                let private = if key.can_sign() { "here" } else { "-" };
                let until = key.until.map_or("-".into(), time);
                println!(
                    "{:<24} {:<9} {:<9} {private:<8} {until}",
                    key.id,
                    key.algorithm().name(),
                    key.state.name()
                );
            }
        }
        Keys::Retire { file, id, at } => {
            let mut keys = key_set(&file)?;
            keys.retire(&id, at.map(|at| at.as_microsecond()))?;
            write(&file, &keys.write(true))?;
            println!("{id}: {}", at.map_or("retired".into(), |at| format!("verifies until {at}")));
        }
        Keys::Public { file } => {
            let keys = key_set(&file)?;
            if keys.iter().any(|k| k.algorithm() == Algorithm::Hs256) {
                eprintln!(
                    "a key is HS256: what follows can sign tokens, keep it as secret as the file itself"
                );
            }
            print!("{}", keys.write(false));
        }
    }
    Ok(())
}

pub fn seats(command: Seats) -> Result<(), String> {
    match command {
        Seats::Show { settings, json } => show(&settings, json),
        Seats::Init { settings } => {
            let config = Config::open(&settings)?;
            let entitlement = config.entitlement.ok_or("the settings have no `entitlement`")?;
            state::create(&entitlement.state)?;
            println!("{}: made", entitlement.state.display());
            Ok(())
        }
        Seats::Check { sheet, after } => {
            let open = |file: &Path| LicenceSheet::read(&file.display().to_string(), &read(file)?);
            let new = open(&sheet)?;
            if let Some(old) = after {
                let skew = 2_000_000;
                let may = open(&old)?.may_become(&new, now(), skew);
                may.map_err(|why| format!("{}: {why}", sheet.display()))?;
            }
            for (k, term) in new.terms.iter().enumerate() {
                let seats: u64 = term.licences.values().map(|l| u64::from(l.seats)).sum();
                let (from, until) = (time(term.from), time(term.until));
                let (licences, gateways) = (term.licences.len(), term.gateways.len());
                println!(
                    "terms[{k}]: {from} to {until}, {licences} licences, {seats} seats, {gateways} gateways"
                );
            }
            Ok(())
        }
    }
}

fn show(settings: &Path, as_json: bool) -> Result<(), String> {
    let config = Config::open(settings)?;
    let entitlement = config.entitlement.as_ref().ok_or("the settings have no `entitlement`")?;
    let live = config.control.as_ref().map(|path| {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
        let runtime = runtime.map_err(|why| format!("no runtime: {why}"))?;
        runtime.block_on(control::ask(path, "/seats", None)).map_err(|why| why.to_string())
    });
    let shown = match live {
        Some(Ok(shown)) => shown,
        not => {
            let why = not.and_then(Result::err).unwrap_or_else(|| "the settings name no `control`".into());
            eprintln!("not from the gateway ({why}); from its log {}", entitlement.state.display());
            let log = std::fs::read(&entitlement.state);
            let log = log.map_err(|why| format!("{}: {why}", entitlement.state.display()))?;
            let read = elderpick_entitle::log::replay(&log);
            let taken = read.taken.iter().map(|(seat, licence, holder)| {
                json!({ "seat": seat, "licence": licence, "holder": holder, "state": "in the log" })
            });
            json!({ "seats": taken.collect::<Vec<_>>(), "records": read.records, "unsure": read.unsure,
                "end": format!("{:?}", read.end) })
        }
    };
    if as_json {
        println!("{shown}");
        return Ok(());
    }
    let list = |name: &str| shown[name].as_array().cloned().unwrap_or_default();
    let text = |v: &Value| v.as_str().map_or_else(|| v.to_string(), str::to_owned);
    if !list("parts").is_empty() {
        println!("{:<24} {:>5} {:>8} {:>7} {:>7}", "licence", "part", "gateway", "taken", "seats");
        for part in list("parts") {
            let here = if part["here"] == json!(true) { "" } else { "  counted at its gateway" };
            let taken = if here.is_empty() { text(&part["taken"]) } else { "-".into() };
            println!(
                "{:<24} {:>5} {:>8} {taken:>7} {:>7}{here}",
                text(&part["licence"]),
                text(&part["part"]),
                text(&part["gateway"]),
                text(&part["seats"])
            );
        }
        println!();
    }
    println!("{:<8} {:<24} {:<24} {:>9}  state", "seat", "licence", "holder", "left s");
    for seat in list("seats") {
        let left = seat["left_ms"].as_i64().map_or("-".into(), |ms| format!("{}", ms / 1000));
        println!(
            "{:<8} {:<24} {:<24} {left:>9}  {}",
            text(&seat["seat"]),
            text(&seat["licence"]),
            text(&seat["holder"]),
            text(&seat["state"])
        );
    }
    if let Some(ms) = shown["closed_ms"].as_i64() {
        println!("\nno new seats for {} s: the state was lost or damaged", ms / 1000);
    }
    if shown["state"]["kept"] == json!(false) {
        println!("\nno new seats: the state cannot be kept, look at its disk");
    }
    for name in ["counts", "records", "unsure", "end"] {
        if !shown[name].is_null() {
            println!("{name}: {}", text(&shown[name]));
        }
    }
    Ok(())
}
