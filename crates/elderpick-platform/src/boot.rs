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
    pub name: String,
    pub listen: SocketAddr,
    /// For random numbers: hexadecimal.
    pub seed: String,
    pub limits: Machine,
    pub journal: SocketAddr,
    #[serde(default)]
    pub known: Known,
    pub settings: BootInfo,
}

/// The machine that a gateway has.
#[derive(Deserialize, Clone, Copy, Debug)]
pub struct Machine {
    pub cores: f64,
    pub memory_mb: u64,
    /// Descriptors.
    pub sockets: usize,
}

/// Events of the journal service up to the start.
#[derive(Deserialize, Clone, Default, Debug)]
pub struct Known {
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

    /// The seed as a number.
    pub fn seed(&self) -> Result<u64, BootError> {
        u64::from_str_radix(&self.seed, 16).map_err(|_| BootError::Seed(self.seed.clone()))
    }
}

#[derive(Deserialize, Clone, Debug)]
pub struct BootInfo {
    #[serde(default)]
    pub me: usize,
    #[serde(default)]
    pub balancers: usize,
    #[serde(default)]
    pub az: usize,
    #[serde(default)]
    pub profiles: Vec<Profile>,
    #[serde(default)]
    pub extra: Extra,
    #[serde(default)]
    pub guarantees: Guarantees,
    #[serde(default)]
    pub limits: Limits,
    #[serde(default)]
    pub reporting: Reporting,
    pub registry_mode: Option<String>,
    pub weight_kind: Option<String>,
    /// Names of zones and of kinds of hosts.
    #[serde(default)]
    pub zones: Vec<String>,
    #[serde(default)]
    pub flavors: Vec<String>,
}

#[derive(Deserialize, Clone, Debug)]
pub struct Profile {
    /// The class's name on the viewers' wire.
    #[serde(default)]
    pub name: String,
    #[serde(default)]
    pub effect: Option<String>,
    #[serde(default)]
    pub group: Option<String>,
    #[serde(default)]
    pub window_us: i64,
    #[serde(default)]
    pub on_time_us: i64,
    #[serde(default)]
    pub worth: f64,
}

#[derive(Deserialize, Clone, Default, Debug)]
#[serde(default)]
pub struct Extra {
    pub all_links_kb: Option<f64>,
    pub cabinets: Option<usize>,
    pub cells: Option<usize>,
    pub class_floor: Vec<usize>,
    pub class_scale: Vec<f64>,
    pub class_seats: Vec<f64>,
    pub class_top: Vec<usize>,
    pub kb_per_weight: Option<f64>,
    pub places_by_kind: Vec<f64>,
    pub rack_kb: Option<f64>,
    pub rung_kb: Vec<f64>,
    pub see_us: i64,
    pub worth_by_rung: Vec<f64>,
}

#[derive(Deserialize, Clone, Default, Debug)]
#[serde(default)]
pub struct Guarantees {
    pub extra_floor: Option<f64>,
    pub further_ratio: Option<f64>,
    pub look_back_us: Option<i64>,
    pub start_capacity: Option<f64>,
    pub ramp_time_us: Option<i64>,
    pub tip_multiple: Option<f64>,
    pub overload_for_us: Option<i64>,
}

#[derive(Deserialize, Clone, Default, Debug)]
#[serde(default)]
pub struct Limits {
    /// A connection that is not up by then counts as refused; 0 where it is not told.
    pub connect_timeout_us: i64,
    /// Media hosts close connections that were idle so long; 0 where it is not told.
    pub conn_idle_us: i64,
    /// Attempts that one connection to a media host carries at a time.
    pub streams_per_conn: Option<usize>,
    pub max_attempts: Option<usize>,
    pub max_retry_after_us: i64,
    pub may_probe: bool,
    pub retry_after: bool,
}

#[derive(Deserialize, Clone, Default, Debug)]
#[serde(default)]
pub struct Reporting {
    pub how: Option<String>,
    pub names: Vec<String>,
}

/// The settings of the decision module.
pub fn settings(info: &BootInfo) -> Result<Settings, UnknownEffect> {
    let BootInfo { extra, guarantees: rules, limits, .. } = info;
    let classes = info.profiles.iter().enumerate().map(|(c, profile)| {
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
            scale: extra.class_scale.get(c).copied().unwrap_or(1.0),
            floor: extra.class_floor.get(c).copied().unwrap_or(0),
            top: extra.class_top.get(c).copied().unwrap_or(usize::MAX),
            seats: extra.class_seats.get(c).filter(|&&seats| seats > 0.0).map(|&seats| seats as usize),
        })
    });
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
