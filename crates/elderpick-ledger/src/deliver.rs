//! Handing an export over to a receiver that is reached over a network: what is sent next, and what its answers mean.
//!
//! The three files go one after the other, the manifest last: where the receiver has taken that, it has all. Each goes
//! under a key that its name and digest make (the `Idempotency-Key` header of draft-ietf-httpapi-idempotency-key-header),
//! so that one whose answer was lost is sent again without harm. An export counts as handed over when all three were
//! taken; until then it is the next one to be handed over, with the same bytes.

use crate::Micros;

/// Endings of an export's files, in the order in which they are handed over.
pub const ENDINGS: [&str; 3] = ["jsonl", "csv", "manifest.json"];

/// What came of one sending.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Answered {
    Status {
        code: u16,
        /// What `Retry-After` asks for.
        after: Option<Micros>,
    },
    /// No answer: it may have been taken.
    Lost,
}

/// What to do.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Next {
    /// Send this file, after a wait.
    Send { file: usize, after: Micros },
    /// All three are taken.
    Taken,
    /// Given up for now; the export stays the next one.
    Later,
    /// The receiver has something else under this key, which a person must look at.
    Differs,
    /// The receiver does not want it.
    Refused { code: u16 },
}

/// Sendings of one file that may fail in a row.
const TRIES: u32 = 8;
const PAUSE: Micros = 100_000;
const LONGEST: Micros = 10_000_000;

/// One export on its way.
#[derive(Clone, PartialEq, Eq, Default, Debug)]
pub struct Delivery {
    file: usize,
    failed: u32,
}

impl Delivery {
    /// What to do at the beginning.
    pub fn begin(&self) -> Next {
        Next::Send { file: self.file, after: 0 }
    }

    /// The answer to the last sending.
    pub fn answered(&mut self, answer: Answered) -> Next {
        let asked = match answer {
            Answered::Status { code: 200..=299, .. } => {
                (self.file, self.failed) = (self.file + 1, 0);
                return if self.file == ENDINGS.len() { Next::Taken } else { self.begin() };
            }
            Answered::Status { code: 422, .. } => return Next::Differs,
            // Its first sending is still being taken, it is not ready, or it has trouble of its own.
            Answered::Status { code: 408 | 409 | 425 | 429 | 500..=599, after } => after,
            Answered::Status { code, .. } => return Next::Refused { code },
            Answered::Lost => None,
        };
        self.failed += 1;
        if self.failed >= TRIES {
            return Next::Later;
        }
        let own = PAUSE << self.failed.min(16);
        Next::Send { file: self.file, after: asked.unwrap_or(0).max(own).min(LONGEST) }
    }
}

/// The key of a file, as the header's value.
pub fn key(name: &str, ending: &str, digest: &str) -> String {
    format!("\"{name}.{ending}:{digest}\"")
}

#[cfg(test)]
#[path = "../tests/unit/deliver.rs"]
mod tests;
