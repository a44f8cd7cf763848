//! Why a change is refused.

use std::fmt;

use crate::Micros;

/// Why something cannot be done.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum Refused {
    /// The session is not open, or is already.
    Session,
    /// The period does not close before this.
    TooEarly(Micros),
    /// It is closed already.
    Closed,
    /// There is no such entry.
    NoEntry,
    /// A correction must say why, and change something.
    Empty,
    /// The last export was not handed over yet.
    Pending(u64),
    /// Nothing new to export.
    Nothing,
    /// There is no such export, or it was handed over with another digest.
    Export,
}

impl fmt::Display for Refused {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Refused::Session => f.write_str("the session is not as the record supposes"),
            Refused::TooEarly(at) => write!(f, "the period does not close before {at} us"),
            Refused::Closed => f.write_str("the period is closed already"),
            Refused::NoEntry => f.write_str("there is no such entry"),
            Refused::Empty => f.write_str("a correction must change something and say why"),
            Refused::Pending(export) => write!(f, "export {export} was not handed over yet"),
            Refused::Nothing => f.write_str("there is nothing new to export"),
            Refused::Export => f.write_str("there is no such export, or it was handed over with other bytes"),
        }
    }
}
