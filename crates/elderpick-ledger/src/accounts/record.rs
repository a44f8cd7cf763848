//! What the ledger writes down, and the entries that follow from it.

use serde::{Deserialize, Serialize};

use super::State;
use crate::Micros;
use crate::chain::Link;

/// Who has a session and what it plays.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct Facts {
    /// Who pays.
    pub tenant: String,
    pub licence: String,
    pub class: String,
    pub title: String,
    /// Who plays, as far as it is known: the holder of an entitlement, or a player's own id. Empty if nothing is.
    pub viewer: String,
    /// Wall time of the start.
    pub started: Micros,
}

/// How a session ended.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// Its viewer left or fell silent.
    Left,
    /// Its media host ended it or was lost.
    Cut,
    /// The right to it ended.
    Lapsed,
    /// The gateway was killed; the use is as it was marked last.
    Killed,
}

/// One thing that happened. Spans are monotonic, from the session's start.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Record {
    /// A process of the gateway began. `nonce` tells two that continue the same records apart.
    Epoch {
        epoch: u64,
        nonce: u64,
        at: Micros,
        /// Name of the calendar that it cuts time by.
        #[serde(default)]
        calendar: String,
    },
    Begun {
        session: String,
        facts: Facts,
        rung: usize,
    },
    Rung {
        session: String,
        at: Micros,
        rung: usize,
    },
    /// How far sessions that play have come, and how many requests each has had.
    Marks {
        list: Vec<(String, Micros)>,
    },
    Over {
        session: String,
        span: Micros,
        tries: u32,
        outcome: Outcome,
        /// What its media host says that it delivered.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        bytes: Option<u64>,
    },
    /// Use that is not in the records, and why.
    Gap {
        from: Micros,
        until: Micros,
        why: String,
    },
    Corrected(Correction),
    Closed {
        until: Micros,
    },
    /// An export holds the entries from `first` to `last`.
    Prepared {
        export: u64,
        first: u64,
        last: u64,
    },
    /// It was handed over, and this is the digest of its manifest.
    Handed {
        export: u64,
        digest: String,
    },
    /// Segments before this one, which hold the records of the first `entries` entries and no others, are kept no more.
    Dropped {
        before: u64,
        entries: u64,
    },
    /// What was known when a segment began, and the end of the chain then: reading may begin here.
    State {
        gateway: String,
        after: Link,
        state: Box<State>,
    },
}

/// A change to what an entry told. Amounts are differences and may be below zero.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct Correction {
    /// Number of the entry that it corrects, which may be a correction itself.
    pub of: u64,
    /// The period of that entry.
    pub period: String,
    pub tenant: String,
    pub licence: String,
    pub class: String,
    pub uses: i64,
    pub at_rung: Vec<Micros>,
    #[serde(default)]
    pub bytes: i64,
    pub why: String,
    pub at: Micros,
}

/// What an entry is.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    Use,
    Correction,
    Gap,
}

/// One line of the ledger.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct Entry {
    pub number: u64,
    pub epoch: u64,
    pub nonce: u64,
    pub kind: Kind,
    /// The period that it is billed in.
    pub period: String,
    /// The period that it is of, if that was closed already.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub late_for: Option<String>,
    pub tenant: String,
    pub licence: String,
    pub class: String,
    pub title: String,
    pub session: String,
    pub viewer: String,
    /// Which part of the session it is, of how many.
    pub part: u32,
    pub parts: u32,
    /// One for the first part of a session, none for the others.
    pub uses: i64,
    /// Requests that joined the session, with the first.
    pub tries: u32,
    /// Wall time of its beginning, and how long.
    pub from: Micros,
    pub span: Micros,
    /// Time at each rung from the lowest.
    pub at_rung: Vec<Micros>,
    /// Bytes delivered, if the media host told; the parts of a session add up to them.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub bytes: Option<i64>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub outcome: Option<Outcome>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub corrects: Option<u64>,
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub why: String,
}
