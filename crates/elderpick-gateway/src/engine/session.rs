//! A session and its state.
//!
//! kind: decisions

use elderpick_core::api::{Micros, Report, ServerId, Status};
use elderpick_ledger::accounts::Outcome;

use super::{Ask, Token, Wanted};
use crate::play::Play;

pub(super) enum State {
    /// Attempts are made.
    Placing,
    Playing(Box<Play>),
    /// Packets pass.
    Flowing,
    /// An attempt of a class with seats failed and may have run: the host is being told that it is not wanted, and the
    /// core hears how it ended when that is done. Until then the seat counts as held.
    Clearing {
        attempt: usize,
        status: Status,
        report: Report,
    },
    /// The host is being told that it is over.
    Releasing(Status),
}

pub(super) struct Session {
    pub(super) token: Token,
    pub(super) alias: Token,
    pub(super) wanted: Wanted,
    pub(super) asks: Vec<Ask>,
    pub(super) state: State,
    /// Attempts sent so far, and where the last went if it is still out or plays.
    pub(super) attempts: usize,
    pub(super) server: Option<ServerId>,
    pub(super) rung: usize,
    pub(super) last: Status,
    pub(super) seen: Micros,
    /// Requests that had it, with the first.
    pub(super) tries: u32,
    /// When its use ended and how, once it has.
    pub(super) used: Option<(Micros, Outcome)>,
    /// What its host says that it delivered.
    pub(super) bytes: Option<u64>,
}

impl Session {
    /// Its requests wait for their answer.
    pub(super) fn is_placed(&self) -> bool {
        matches!(self.state, State::Placing | State::Clearing { .. })
    }

    pub(super) fn plays(&self) -> bool {
        matches!(self.state, State::Playing(_) | State::Flowing)
    }
}
