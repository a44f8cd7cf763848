//! Events of the journal service: changes to the list of media hosts, numbered from 1.

use std::net::SocketAddr;

use elderpick_core::api::{Entry, Micros, ServerId, ServerState};
use serde::Deserialize;
use serde::de::IgnoredAny;
use thiserror::Error;

/// Most hosts that one event may name.
const MOST_HOSTS: usize = 10_000;

/// Why an event cannot be read.
#[derive(Error, Debug)]
pub enum EventError {
    /// It is no JSON, or not of an event's form.
    #[error(transparent)]
    Syntax(#[from] serde_json::Error),
    /// It names more hosts than any list may have.
    #[error("event {0} names over {MOST_HOSTS} hosts")]
    TooManyHosts(u64),
}

/// Why an entry of the list cannot be used.
#[derive(Error, Clone, PartialEq, Eq, Debug)]
pub enum HostError {
    /// Its address cannot be read.
    #[error("host {host}: {dial:?} is no address")]
    Address {
        /// The host's name.
        host: String,
        /// What stands in place of an address.
        dial: String,
    },
    /// A field is missing or of another type.
    #[error("an entry of the list has a field that cannot be read")]
    Field,
}

/// One numbered event.
#[derive(Deserialize, Clone, Debug)]
pub struct Event {
    /// Its number.
    pub pos: u64,
    /// What it tells of hosts.
    pub hosts: Hosts,
}

/// The part of an event that tells of hosts.
#[derive(Deserialize, Clone, Debug)]
pub struct Hosts {
    /// The whole list, or what has changed.
    #[serde(default)]
    pub whole: bool,
    /// The hosts that it names.
    #[serde(default)]
    pub hosts: Vec<HostEntry>,
}

/// An entry of an event, if it can be read: one that cannot must hide neither the others nor the events behind it.
#[derive(Deserialize, Clone, Debug)]
#[serde(untagged)]
pub enum HostEntry {
    /// It can be read.
    Readable(Host),
    /// It cannot.
    Unreadable(IgnoredAny),
}

impl HostEntry {
    /// The host as the list tells it; the error says why it cannot be read.
    pub fn listed(&self, zones: &[String], kinds: &[String]) -> Result<Listed, HostError> {
        match self {
            HostEntry::Readable(host) => host.listed(zones, kinds),
            HostEntry::Unreadable(_) => Err(HostError::Field),
        }
    }
}

/// A media host, as an event names it.
#[derive(Deserialize, Clone, Debug)]
pub struct Host {
    /// Its name.
    pub host: String,
    /// Where it listens.
    pub dial: String,
    /// The name of its zone.
    #[serde(default)]
    pub site: String,
    /// The name of its kind.
    #[serde(default)]
    pub class: String,
    /// Its cell.
    #[serde(default)]
    pub block: usize,
    /// Whether it may be used.
    pub health: Health,
    /// Its weight.
    #[serde(default = "one")]
    pub share: f64,
    /// When it started, in Unix milliseconds, if that was late; else 0.
    #[serde(default)]
    pub born_ms: f64,
}

fn one() -> f64 {
    1.0
}

/// Whether a host may be used.
#[derive(Deserialize, Clone, Copy, PartialEq, Eq, Debug)]
pub enum Health {
    /// It takes new sessions.
    Ready,
    /// It takes no new sessions.
    Terminating,
    /// It has left the list.
    Gone,
}

/// A media host as the list tells it.
#[derive(Clone, PartialEq, Debug)]
pub struct Listed {
    /// Where it listens.
    pub address: SocketAddr,
    /// What the decision module is told of it.
    pub entry: Entry,
}

/// Reads the data of an event.
pub fn parse(data: &str) -> Result<Event, EventError> {
    let event: Event = serde_json::from_str(data)?;
    if event.hosts.hosts.len() > MOST_HOSTS {
        return Err(EventError::TooManyHosts(event.pos));
    }
    Ok(event)
}

impl Host {
    /// The host with its zone and kind as their places in the settings' lists.
    pub fn listed(&self, zones: &[String], kinds: &[String]) -> Result<Listed, HostError> {
        let place = |names: &[String], name: &str| names.iter().position(|n| n == name);
        let no_address = |_| HostError::Address { host: self.host.clone(), dial: self.dial.clone() };
        let address = self.dial.parse().map_err(no_address)?;
        let entry = Entry {
            server: ServerId(self.host.as_str().into()),
            // A zone or kind that the settings do not name is like no other.
            zone: place(zones, &self.site).unwrap_or(zones.len()),
            kind: place(kinds, &self.class).unwrap_or(kinds.len()),
            cell: self.block,
            state: match self.health {
                Health::Ready => ServerState::Up,
                Health::Terminating => ServerState::Draining,
                Health::Gone => ServerState::Gone,
            },
            weight: if self.share.is_finite() { self.share } else { 0.0 },
            started: (self.born_ms > 0.0).then(|| self.born_ms as Micros * 1_000),
        };
        Ok(Listed { address, entry })
    }
}
