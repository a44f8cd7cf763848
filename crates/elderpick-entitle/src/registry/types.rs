//! Seats, rules and what is told of them.

use crate::Micros;

/// Names a seat as long as it is taken; never given again by the same state.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug)]
pub struct SeatId(pub u64);

#[derive(Clone, PartialEq, Eq, Hash, Debug)]
pub struct Rules {
    /// Number of this gateway in the sheet.
    pub me: u32,
    /// A right lasts so long after its token's end.
    pub grace: Micros,
    /// How far the clocks of gateways and issuers may differ.
    pub skew: Micros,
    /// A seat whose session broke off is kept for its holder so long.
    pub linger: Micros,
    /// After a restart seats of the killed process count as taken so long.
    pub hold: Micros,
    /// Seats that are counted at most.
    pub most: usize,
}

/// A seat that may be used.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct Held {
    pub seat: SeatId,
    /// Taken now: its record must be kept before it is used.
    pub fresh: bool,
    /// Another device played with it: what plays there is to end.
    pub takes_over: bool,
}

/// Why there is no seat.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum Denied {
    Revoked,
    Class,
    Title,
    /// The sheet knows no such licence of that tenant, for that class.
    Licence,
    /// The token's right is over.
    Ended,
    /// Another device of the holder plays.
    Device,
    /// All seats of the licence, or of the holder's part of it, are taken.
    Full,
    /// The holder's last session is being ended.
    Ending,
    /// No term is in force, or one turns.
    Between,
    /// After damage to the state, until the last seat that may have been taken is free.
    Closed {
        until: Micros,
    },
    /// The wall clock has stepped, and it is not known which time is right.
    Clock,
    /// The state cannot be kept: its disk is full or cannot be written.
    NoState,
    /// The table is full.
    Table,
    /// Another gateway counts it; where viewers reach it, if known.
    Elsewhere {
        gateway: u32,
        at: Option<String>,
    },
}

/// Counts since the start.
#[derive(Clone, Copy, PartialEq, Eq, Default, Hash, Debug)]
pub struct Counts {
    pub taken: u64,
    pub again: u64,
    pub renewed: u64,
    pub taken_over: u64,
    pub freed: u64,
    pub lapsed: u64,
    pub found: u64,
    pub full: u64,
    pub denied: u64,
    pub sent_on: u64,
}

/// A seat in use, for those who look.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct Seat {
    pub id: SeatId,
    pub licence: String,
    pub holder: String,
    pub token: String,
    pub state: &'static str,
    /// Until it is looked at again, from now.
    pub left: Micros,
}

/// Use of one part of a licence.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct Use {
    pub licence: String,
    pub part: u32,
    pub gateway: u32,
    pub taken: u32,
    pub seats: u32,
}
