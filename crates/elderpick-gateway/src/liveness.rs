//! Whether a host that is listened to is lost. No I/O and no clock: delays are told, the caller waits.
//!
//! kind: decisions
//!
//! A stream that breaks may be the network's doing or a host's end. What played there is lost for the viewers only in
//! the second case, and held on to for nothing if it is taken for the first. So the stream is opened again a few times,
//! soon; and a host that answers tells when its process began, which shows whether it is the one that was known.

use elderpick_core::api::Micros;

/// What to do next.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Next {
    /// Open the stream after this time.
    Open { after: Micros },
    /// Go on reading.
    Listen,
    /// What the host held is lost; stop.
    Lost,
}

/// Openings that may fail, or break before anything was heard, in a row.
const TRIES: u32 = 3;
const PAUSE: Micros = 50_000;
/// A stream that broke so often without the host being lost is not worth opening at once any more.
const CALM: Micros = 1_000_000;
const OFTEN: u32 = 20;

/// The state of listening to one host.
#[derive(Clone, PartialEq, Eq, Default, Debug)]
pub struct Listening {
    failed: u32,
    broken: u32,
    began: Option<i64>,
}

impl Listening {
    /// The stream could not be opened, or ended.
    pub fn broke(&mut self) -> Next {
        self.failed += 1;
        self.broken = self.broken.saturating_add(1);
        match self.failed {
            TRIES.. => Next::Lost,
            // A host that hangs up again and again is asked at a calm pace.
            _ if self.broken > OFTEN => Next::Open { after: CALM },
            failed => Next::Open { after: PAUSE * Micros::from(failed) },
        }
    }

    /// The host told when its process began.
    pub fn began(&mut self, at: i64) -> Next {
        self.failed = 0;
        match self.began.replace(at) {
            Some(known) if known != at => Next::Lost,
            _ => Next::Listen,
        }
    }

    /// Anything else was heard.
    pub fn heard(&mut self) {
        self.failed = 0;
    }
}

#[cfg(test)]
#[path = "../tests/unit/liveness.rs"]
mod tests;
