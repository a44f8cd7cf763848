//! What a gateway is told at its start: the platform's configuration, and the simulator's settings in it.
//!
//! The settings are the same object in the simulator's first message, under the same names and in the same units, so
//! that both ways in share this text.

use std::net::SocketAddr;

use elderpick_core::api::{BudgetRule, Class, ColdRule, Effect, Group, Micros, Reporting as How, Settings};
use serde::Deserialize;
use serde_json::Value;
use thiserror::Error;

use crate::journal;

/// The platform's configuration, as `NODE_CONFIG` names it.
#[derive(Deserialize, Clone, Debug)]
pub struct Boot {
    /// The gateway's name, for logs and the journal service.
    pub name: String,
    /// Where viewers connect to.
    pub listen: SocketAddr,
    /// For random numbers: hexadecimal.
    pub seed: String,
    /// The machine that it has.
    pub limits: Machine,
    /// Where the journal service listens.
    pub journal: SocketAddr,
    /// What the journal service has told up to the start.
    #[serde(default)]
    pub known: Known,
    /// The settings of the deployment.
    pub settings: BootInfo,
}

/// The machine that a gateway has.
#[derive(Deserialize, Clone, Copy, Debug)]
pub struct Machine {
    /// Share of processor cores.
    pub cores: f64,
    /// Memory, in MB.
    pub memory_mb: u64,
    /// Descriptors.
    pub sockets: usize,
}

/// Events of the journal service up to the start.
#[derive(Deserialize, Clone, Default, Debug)]
pub struct Known {
    /// The events, the oldest first.
    #[serde(default)]
    pub entries: Vec<journal::Event>,
}

/// Largest whole number that a floating-point figure holds exactly.
const MOST_WHOLE: f64 = 9_007_199_254_740_992.0;

/// Makes one form of what may be written in two: a field that is `null` is one that is missing, and a whole number is a
/// whole number however it is written.
fn normalize(value: &mut Value) {
    match value {
        Value::Object(fields) => {
            fields.retain(|_, field| !field.is_null());
            fields.values_mut().for_each(normalize);
        }
        Value::Array(values) => values.iter_mut().for_each(normalize),
        Value::Number(number) if !number.is_i64() && !number.is_u64() => {
            let whole = number.as_f64().filter(|n| n.fract() == 0.0 && n.abs() <= MOST_WHOLE);
            if let Some(whole) = whole {
                *value = Value::from(whole as i64);
            }
        }
        _ => {}
    }
}

/// Fewest descriptors that a gateway can work with.
const LEAST_SOCKETS: usize = 64;

/// Why a configuration cannot be used. The text names the field that is wrong.
#[derive(Error, Debug)]
pub enum BootError {
    /// It is no JSON.
    #[error(transparent)]
    Syntax(#[from] serde_json::Error),
    /// A field is missing or of another type.
    #[error(transparent)]
    Field(#[from] serde_path_to_error::Error<serde_json::Error>),
    /// A gateway cannot work with so few descriptors.
    #[error("limits.sockets: {0} is under {LEAST_SOCKETS}")]
    TooFewSockets(usize),
    /// There is no class that a viewer could ask for.
    #[error("settings.profiles: no class")]
    NoClass,
    /// The seed is no hexadecimal number.
    #[error("seed: {0:?} is not hexadecimal")]
    Seed(String),
    /// A class cannot be used.
    #[error("settings.profiles: {0}")]
    Class(#[from] UnknownEffect),
}

/// A class has an effect that the platform does not have.
#[derive(Error, Clone, PartialEq, Eq, Debug)]
#[error("{0:?} is no effect of a class")]
pub struct UnknownEffect(pub Option<String>);

impl Boot {
    /// Reads a configuration.
    pub fn parse(text: &[u8]) -> Result<Boot, BootError> {
        let mut value: Value = serde_json::from_slice(text)?;
        normalize(&mut value);
        let boot: Boot = serde_path_to_error::deserialize(value)?;
        if boot.limits.sockets < LEAST_SOCKETS {
            return Err(BootError::TooFewSockets(boot.limits.sockets));
        }
        if boot.settings.profiles.is_empty() {
            return Err(BootError::NoClass);
        }
        boot.seed()?;
        settings(&boot.settings)?;
        Ok(boot)
    }

    /// The longest deadline of all classes, if the settings tell any.
    pub fn longest_deadline(&self) -> Option<Micros> {
        self.settings.profiles.iter().map(|class| class.hard_limit_us).filter(|us| *us > 0).max()
    }

    /// The seed as a number.
    pub fn seed(&self) -> Result<u64, BootError> {
        u64::from_str_radix(&self.seed, 16).map_err(|_| BootError::Seed(self.seed.clone()))
    }
}

/// The settings of a deployment. What is missing has its default, as in the simulator.
#[derive(Deserialize, Clone, Debug)]
pub struct BootInfo {
    /// This gateway's number.
    #[serde(default)]
    pub me: usize,
    /// How many gateways there are.
    #[serde(default)]
    pub balancers: usize,
    /// This gateway's zone, as its place in `zones`.
    #[serde(default)]
    pub az: usize,
    /// The classes of sessions.
    #[serde(default)]
    pub profiles: Vec<Profile>,
    /// The ladder of rungs, and what servers and uplinks give.
    #[serde(default)]
    pub extra: Extra,
    /// The rules on further attempts and on cold servers.
    #[serde(default)]
    pub guarantees: Guarantees,
    /// Limits on connections and attempts.
    #[serde(default)]
    pub limits: Limits,
    /// How hosts report their load.
    #[serde(default)]
    pub reporting: Reporting,
    /// How the list is followed: `subscribe`, or by asking for it.
    pub registry_mode: Option<String>,
    /// What weights in the list mean: `none` if nothing.
    pub weight_kind: Option<String>,
    /// Names of zones and of kinds of hosts.
    #[serde(default)]
    pub zones: Vec<String>,
    /// Names of kinds of hosts.
    #[serde(default)]
    pub flavors: Vec<String>,
}

/// A class of sessions.
#[derive(Deserialize, Clone, Debug)]
pub struct Profile {
    /// The class's name on the viewers' wire.
    #[serde(default)]
    pub name: String,
    /// What repeating a set-up does: `free`, `guarded` or `single_shot`.
    #[serde(default)]
    pub effect: Option<String>,
    /// Where a guarded class may be repeated: `zone`, `cell`, or anywhere.
    #[serde(default)]
    pub group: Option<String>,
    /// How long a guarded class may be repeated, in microseconds.
    #[serde(default)]
    pub window_us: i64,
    /// The wanted time to the first picture, in microseconds.
    #[serde(default)]
    pub on_time_us: i64,
    /// The deadline of a request, in microseconds.
    #[serde(default)]
    pub hard_limit_us: i64,
    /// What a session earns, over those of other classes.
    #[serde(default)]
    pub worth: f64,
}

/// What the ladder of rungs, links and uplinks give. Lists by class are in the order of the classes.
#[derive(Deserialize, Clone, Default, Debug)]
#[serde(default)]
pub struct Extra {
    /// What all links give together, in kB a second.
    pub all_links_kb: Option<f64>,
    /// How many racks there are.
    pub cabinets: Option<usize>,
    /// How many cells there are.
    pub cells: Option<usize>,
    /// The lowest rung, by class.
    pub class_floor: Vec<usize>,
    /// Rates over those of the ladder, by class.
    pub class_scale: Vec<f64>,
    /// Sessions of one title that a gateway may hold, by class; 0 for any number.
    pub class_seats: Vec<f64>,
    /// The highest rung, by class.
    pub class_top: Vec<usize>,
    /// What a link gives for each unit of weight, in kB a second.
    pub kb_per_weight: Option<f64>,
    /// Streams that a host runs at most, by kind.
    pub places_by_kind: Vec<f64>,
    /// What an uplink gives, in kB a second.
    pub rack_kb: Option<f64>,
    /// The rate of each rung, in kB a second.
    pub rung_kb: Vec<f64>,
    /// How late delivered shares are, in microseconds.
    pub see_us: i64,
    /// What each rung earns.
    pub worth_by_rung: Vec<f64>,
}

/// The rules on further attempts and on cold servers.
#[derive(Deserialize, Clone, Default, Debug)]
#[serde(default)]
pub struct Guarantees {
    /// Further attempts that are always allowed.
    pub extra_floor: Option<f64>,
    /// Further attempts for each request.
    pub further_ratio: Option<f64>,
    /// Time within which these are counted, in microseconds.
    pub look_back_us: Option<i64>,
    /// What a host bears at its start, as a share of what it bears when it is warm.
    pub start_capacity: Option<f64>,
    /// How long a host counts as cold, in microseconds.
    pub ramp_time_us: Option<i64>,
    /// How many times its share a cold host bears.
    pub tip_multiple: Option<f64>,
    /// Time within which that is counted, in microseconds.
    pub overload_for_us: Option<i64>,
}

/// Limits on connections and attempts.
#[derive(Deserialize, Clone, Default, Debug)]
#[serde(default)]
pub struct Limits {
    /// A connection that is not up by then counts as refused; 0 where it is not told.
    pub connect_timeout_us: i64,
    /// Media hosts close connections that were idle so long; 0 where it is not told.
    pub conn_idle_us: i64,
    /// Attempts that one connection to a media host carries at a time.
    pub streams_per_conn: Option<usize>,
    /// Attempts for one session at most.
    pub max_attempts: Option<usize>,
    /// The longest time that a refusal may ask a viewer to wait, in microseconds.
    pub max_retry_after_us: i64,
    /// Whether hosts may be probed.
    pub may_probe: bool,
    /// Whether refusals may tell when to come back.
    pub retry_after: bool,
}

/// How hosts report their load.
#[derive(Deserialize, Clone, Default, Debug)]
#[serde(default)]
pub struct Reporting {
    /// `probe`, `answers`, or not at all.
    pub how: Option<String>,
    /// Names of the figures.
    pub names: Vec<String>,
}

/// A class of the decision module.
fn class(number: usize, profile: &Profile, extra: &Extra) -> Result<Class, UnknownEffect> {
    Ok(Class {
        effect: match profile.effect.as_deref() {
            Some("free") => Effect::Free,
            Some("guarded") => Effect::Guarded,
            Some("single_shot") => Effect::SingleShot,
            other => return Err(UnknownEffect(other.map(str::to_owned))),
        },
        group: match profile.group.as_deref() {
            Some("zone") => Group::Zone,
            Some("cell") => Group::Cell,
            _ => Group::All,
        },
        window: profile.window_us,
        aim: profile.on_time_us,
        worth: profile.worth,
        scale: extra.class_scale.get(number).copied().unwrap_or(1.0),
        floor: extra.class_floor.get(number).copied().unwrap_or(0),
        top: extra.class_top.get(number).copied().unwrap_or(usize::MAX),
        seats: extra.class_seats.get(number).filter(|&&seats| seats > 0.0).map(|&seats| seats as usize),
    })
}

/// The settings of the decision module.
pub fn settings(info: &BootInfo) -> Result<Settings, UnknownEffect> {
    let BootInfo { extra, guarantees: rules, limits, .. } = info;
    let classes = info.profiles.iter().enumerate().map(|(number, profile)| class(number, profile, extra));
    let classes = classes.collect::<Result<Vec<_>, _>>()?;
    let cold =
        rules.ramp_time_us.zip(rules.start_capacity).zip(rules.tip_multiple.zip(rules.overload_for_us));
    let budget = rules.further_ratio.zip(rules.extra_floor).zip(rules.look_back_us);
    let by_weight = info.weight_kind.as_deref() != Some("none");
    Ok(Settings {
        me: info.me,
        gateways: info.balancers,
        zone: info.az,
        classes,
        rung_kb: extra.rung_kb.clone(),
        rung_worth: extra.worth_by_rung.clone(),
        cells: extra.cells,
        racks: extra.cabinets,
        rack_kb: extra.rack_kb,
        links_kb: extra.all_links_kb,
        kb_per_weight: extra.kb_per_weight,
        weights: by_weight,
        places: extra.places_by_kind.clone(),
        see: extra.see_us,
        cold: cold.map(|((warm_up, least_warmth), (multiple, window))| ColdRule {
            warm_up,
            least_warmth,
            multiple,
            window,
        }),
        budget: budget.map(|((share, free), window)| BudgetRule { free, share, window }),
        max_attempts: limits.max_attempts,
        max_retry_after: limits.retry_after.then_some(limits.max_retry_after_us as Micros),
        reporting: match info.reporting.how.as_deref() {
            Some("probe") => How::WhenProbed,
            Some("answers") => How::InAnswers,
            _ => How::Never,
        },
        may_probe: limits.may_probe,
        subscribe: info.registry_mode.as_deref() == Some("subscribe"),
    })
}
