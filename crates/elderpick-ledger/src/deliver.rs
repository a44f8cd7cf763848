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
mod tests {
    use super::*;

    const TAKEN: Answered = Answered::Status { code: 201, after: None };

    #[test]
    fn files_go_in_order_and_one_that_was_taken_never_goes_again() {
        let mut one = Delivery::default();
        assert_eq!(one.begin(), Next::Send { file: 0, after: 0 });
        assert!(matches!(one.answered(Answered::Lost), Next::Send { file: 0, after } if after > 0));
        assert_eq!(one.answered(TAKEN), Next::Send { file: 1, after: 0 });
        let busy = Answered::Status { code: 503, after: Some(3_000_000) };
        assert_eq!(one.answered(busy), Next::Send { file: 1, after: 3_000_000 });
        assert_eq!(one.answered(TAKEN), Next::Send { file: 2, after: 0 });
        assert_eq!(one.answered(TAKEN), Next::Taken);
    }

    #[test]
    fn it_is_given_up_after_a_bounded_time_and_what_is_final_at_once() {
        let mut one = Delivery::default();
        let mut waited = 0;
        let mut steps = 0;
        while let Next::Send { file: 0, after } = one.answered(Answered::Lost) {
            (waited, steps) = (waited + after, steps + 1);
        }
        assert!(steps < 20 && waited < 120_000_000, "{steps} {waited}");
        let status = |code| Answered::Status { code, after: None };
        assert_eq!(Delivery::default().answered(status(422)), Next::Differs);
        assert_eq!(Delivery::default().answered(status(403)), Next::Refused { code: 403 });
        let long = Answered::Status { code: 503, after: Some(i64::MAX) };
        assert_eq!(Delivery::default().answered(long), Next::Send { file: 0, after: LONGEST });
    }
}
