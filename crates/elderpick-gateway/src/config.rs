//! A gateway's settings as types, and what the decision core makes of them.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use elderpick_core::api::{self, Micros, ServerId};
use elderpick_settings::Schema;
use serde::Deserialize;

/// The schema that ships with the program.
pub const SCHEMA: &str = include_str!("schema.cue");

#[derive(Clone, Copy, PartialEq, Eq, Debug, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Effect {
    Free,
    Guarded,
    Paid,
}

#[derive(Clone, Copy, PartialEq, Eq, Debug, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Group {
    All,
    Zone,
    Cell,
}

#[derive(Clone, Debug, Deserialize)]
pub struct Class {
    pub name: String,
    pub effect: Effect,
    pub group: Group,
    pub window: Micros,
    pub aim: Micros,
    pub patience: Micros,
    pub worth: f64,
    pub scale: f64,
    pub floor: usize,
    pub top: Option<usize>,
    pub seats: Option<usize>,
    pub live: bool,
    pub licensed: bool,
    pub tenant: String,
}

#[derive(Clone, Debug, Deserialize)]
pub struct Rung {
    /// Bytes a second.
    pub rate: i64,
    pub worth: f64,
}

#[derive(Clone, Debug, Deserialize)]
pub struct Kind {
    pub name: String,
    pub places: f64,
}

#[derive(Clone, Debug, Deserialize)]
pub struct List {
    pub address: SocketAddr,
    pub wait: Micros,
}

#[derive(Clone, Debug, Deserialize)]
pub struct Titles {
    pub cells: usize,
    pub copies: usize,
}

#[derive(Clone, Debug, Deserialize)]
pub struct Cold {
    pub warm_up: Micros,
    pub least: f64,
    pub multiple: f64,
    pub window: Micros,
}

#[derive(Clone, Debug, Deserialize)]
pub struct Budget {
    pub free: f64,
    pub share: f64,
    pub window: Micros,
}

#[derive(Clone, Debug, Deserialize)]
pub struct Limits {
    pub connect: Micros,
    pub margin: Micros,
    pub silence: Micros,
    pub mute: Micros,
    pub lead: Micros,
    pub sessions: usize,
    pub connections: usize,
    pub per_address: usize,
    pub header: Micros,
    pub playlist: usize,
    pub idle_per_host: usize,
}

#[derive(Clone, Copy, PartialEq, Eq, Debug, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Reporting {
    Answers,
    Probes,
    Never,
}

#[derive(Clone, Debug, Deserialize)]
pub struct Log {
    pub format: String,
    pub level: String,
}

/// Tokens and seats of licensed classes.
#[derive(Clone, Debug, Deserialize)]
pub struct Entitlement {
    pub keys: PathBuf,
    pub sheet: PathBuf,
    pub revoked: Option<PathBuf>,
    pub state: PathBuf,
    pub audience: String,
    pub issuer: Option<String>,
    pub skew: Micros,
    pub grace: Micros,
    pub linger: Micros,
    pub hold: Micros,
    pub sync: elderpick_entitle::keeper::Sync,
    pub within: Micros,
    pub reload: Micros,
    pub seats: usize,
}

/// Sessions over UDP.
#[derive(Clone, Debug, Deserialize)]
pub struct Srt {
    pub listen: SocketAddr,
    pub callers: usize,
    pub per_address: usize,
    pub linger: Micros,
}

/// What is done with licensed classes while the ledger cannot be kept.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Full {
    GoOn,
    Refuse,
}

/// Use, for billing.
#[derive(Clone, Debug, Deserialize)]
pub struct Ledger {
    pub folder: PathBuf,
    pub zone: String,
    pub every: elderpick_ledger::calendar::Every,
    pub lateness: Micros,
    pub mark: Micros,
    pub commit: Micros,
    pub segment: usize,
    pub keep: usize,
    pub full: Full,
}

/// A gateway's settings; the fields are described in the schema.
#[derive(Clone, Debug, Deserialize)]
pub struct Config {
    pub me: usize,
    pub gateways: usize,
    pub name: String,
    pub listen: SocketAddr,
    pub zone: String,
    pub zones: Vec<String>,
    pub kinds: Vec<Kind>,
    pub classes: Vec<Class>,
    pub ladder: Vec<Rung>,
    pub inventory: PathBuf,
    pub list: List,
    pub titles: Option<Titles>,
    pub racks: usize,
    pub weights: bool,
    pub links: Option<i64>,
    pub rack_links: Option<i64>,
    pub per_weight: Option<i64>,
    pub reporting: Reporting,
    pub probing: bool,
    pub share_delay: Micros,
    pub cold: Option<Cold>,
    pub budget: Option<Budget>,
    pub attempts: usize,
    pub retry_after: Option<Micros>,
    pub limits: Limits,
    pub entitlement: Option<Entitlement>,
    pub ledger: Option<Ledger>,
    pub srt: Option<Srt>,
    pub control: Option<PathBuf>,
    pub drain: Micros,
    pub log: Log,
}

/// A server of the inventory, as the gateway holds it.
#[derive(Clone, Debug)]
pub struct Listed {
    pub address: SocketAddr,
    pub entry: api::Entry,
}

impl Config {
    /// Reads settings text; `file` names it in messages.
    pub fn read(file: &str, text: &str) -> Result<Config, String> {
        let schema = Schema::new("schema.cue", SCHEMA).map_err(|p| p.to_string())?;
        let mut config: Config = schema.load("#Gateway", file, text).map_err(|p| p.to_string())?;
        let mut wrong = Vec::new();
        let mut must = |holds: bool, field: &str, rule: &str, found: String| {
            if !holds {
                wrong.push(format!("{file}: {field}: {rule}, found {found}"));
            }
        };
        must(config.me < config.gateways, "me", "must be under `gateways`", config.me.to_string());
        must(
            config.zones.contains(&config.zone),
            "zone",
            "must be one of `zones`",
            format!("{:?}", config.zone),
        );
        for (k, class) in config.classes.iter().enumerate() {
            let (field, rungs) = (|name: &str| format!("classes[{k}].{name}"), config.ladder.len());
            must(class.floor < rungs, &field("floor"), "must be a rung of `ladder`", class.floor.to_string());
            let top = class.top.unwrap_or(rungs - 1);
            must(top >= class.floor, &field("top"), "must not be under `floor`", top.to_string());
            let twice = config.classes[..k].iter().any(|c| c.name == class.name);
            must(!twice, &field("name"), "must be given once", format!("{:?}", class.name));
            let plain = |c: char| c.is_ascii_alphanumeric() || "-_.".contains(c);
            must(class.name.chars().all(plain), &field("name"), "must be letters, digits, '-', '_', '.'", {
                format!("{:?}", class.name)
            });
            let known = !class.licensed || config.entitlement.is_some();
            must(known, &field("licensed"), "must have `entitlement` in the settings", "none".into());
            let waits = class.patience > config.limits.margin;
            must(waits, &field("patience"), "must be over `limits.margin`", format!("{} us", class.patience));
        }
        let rising = config.ladder.windows(2).all(|w| w[0].rate < w[1].rate);
        must(rising, "ladder", "rates must rise", "one that does not".into());
        if !wrong.is_empty() {
            return Err(wrong.join("\n"));
        }
        let least = config.limits.silence + config.limits.lead;
        let hold = config.entitlement.as_ref().map_or(least, |e| e.hold);
        let rule = "must be at least `limits.silence` and `limits.lead` together";
        if hold < least {
            return Err(format!("{file}: entitlement.hold: {rule}, found {} ms", hold / 1000));
        }
        // Files are named from where the settings stand.
        let folder = Path::new(file).parent().unwrap_or(Path::new("."));
        let mut files = vec![&mut config.inventory];
        files.extend(&mut config.control);
        if let Some(e) = &mut config.entitlement {
            files.extend([&mut e.keys, &mut e.sheet, &mut e.state]);
            files.extend(&mut e.revoked);
        }
        files.extend(config.ledger.as_mut().map(|l| &mut l.folder));
        for path in files {
            *path = folder.join(&path);
        }
        Ok(config)
    }

    /// Reads settings from a file.
    pub fn open(file: &Path) -> Result<Config, String> {
        let name = file.display().to_string();
        let text = std::fs::read_to_string(file).map_err(|why| format!("{name}: {why}"))?;
        Config::read(&name, &text)
    }

    /// Reads the inventory that the settings name.
    pub fn open_inventory(&self) -> Result<BTreeMap<ServerId, Listed>, String> {
        let name = self.inventory.display().to_string();
        let format = elderpick_inventory::Format::of(&name)
            .ok_or_else(|| format!("{name}: must end in .csv, .yaml or .yml"))?;
        let text = std::fs::read(&self.inventory).map_err(|why| format!("{name}: {why}"))?;
        let kinds: Vec<String> = self.kinds.iter().map(|k| k.name.clone()).collect();
        let servers = elderpick_inventory::read(&name, &text, format, &self.zones, &kinds)
            .map_err(|f| f.to_string())?;
        let place = |names: &[String], name: &str| names.iter().position(|n| n == name).unwrap_or(0);
        Ok(servers
            .into_iter()
            .map(|s| {
                let server = ServerId(s.id.into());
                let entry = api::Entry {
                    server: server.clone(),
                    zone: place(&self.zones, &s.zone),
                    kind: place(&kinds, &s.kind),
                    cell: s.cell,
                    state: match s.state {
                        elderpick_inventory::State::Up => api::ServerState::Up,
                        elderpick_inventory::State::Draining => api::ServerState::Draining,
                        elderpick_inventory::State::Gone => api::ServerState::Gone,
                    },
                    weight: s.weight,
                    started: s.started,
                };
                (server, Listed { address: s.address, entry })
            })
            .collect())
    }

    /// What the core is told at its start. `servers` is how many there are.
    pub fn core(&self) -> api::Settings {
        let kb = |rate: i64| rate as f64 / 1e3;
        api::Settings {
            me: self.me,
            gateways: self.gateways,
            zone: self.zones.iter().position(|z| *z == self.zone).unwrap_or(0),
            classes: self
                .classes
                .iter()
                .map(|class| api::Class {
                    effect: match class.effect {
                        Effect::Free => api::Effect::Free,
                        Effect::Guarded => api::Effect::Guarded,
                        Effect::Paid => api::Effect::SingleShot,
                    },
                    group: match class.group {
                        Group::All => api::Group::All,
                        Group::Zone => api::Group::Zone,
                        Group::Cell => api::Group::Cell,
                    },
                    window: class.window,
                    aim: class.aim,
                    worth: class.worth,
                    scale: class.scale,
                    floor: class.floor,
                    top: class.top.unwrap_or(usize::MAX),
                    seats: class.seats,
                })
                .collect(),
            rung_kb: self.ladder.iter().map(|r| kb(r.rate)).collect(),
            rung_worth: self.ladder.iter().map(|r| r.worth).collect(),
            cells: self.titles.as_ref().map(|t| t.cells),
            racks: Some(self.racks),
            rack_kb: self.rack_links.map(kb),
            links_kb: self.links.map(kb),
            kb_per_weight: self.per_weight.map(kb),
            weights: self.weights,
            places: self.kinds.iter().map(|k| k.places).collect(),
            see: self.share_delay,
            cold: self.cold.as_ref().map(|c| api::ColdRule {
                warm_up: c.warm_up,
                least_warmth: c.least,
                multiple: c.multiple,
                window: c.window,
            }),
            budget: self.budget.as_ref().map(|b| api::BudgetRule {
                free: b.free,
                share: b.share,
                window: b.window,
            }),
            max_attempts: Some(self.attempts),
            max_retry_after: self.retry_after,
            reporting: match self.reporting {
                Reporting::Answers => api::Reporting::InAnswers,
                Reporting::Probes => api::Reporting::WhenProbed,
                Reporting::Never => api::Reporting::Never,
            },
            may_probe: self.probing,
            subscribe: true,
        }
    }

    /// First cell that holds a title, and how many in a row do.
    pub fn home(&self, title: &str) -> (usize, usize) {
        match &self.titles {
            Some(t) => (xxhash_rust::xxh3::xxh3_64(title.as_bytes()) as usize % t.cells, t.copies),
            None => (0, usize::MAX),
        }
    }

    /// Rates of a class's ladder in bits a second, as playlists tell them.
    pub fn ladder_bits(&self, class: usize) -> Vec<u64> {
        self.ladder.iter().map(|r| (r.rate as f64 * self.classes[class].scale * 8.0) as u64).collect()
    }
}
