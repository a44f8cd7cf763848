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
mod tests {
    use super::*;

    #[test]
    fn a_short_break_loses_nothing_and_a_long_one_all() {
        let mut one = Listening::default();
        assert_eq!(one.began(7), Next::Listen);
        assert_eq!(one.broke(), Next::Open { after: PAUSE });
        assert_eq!(one.broke(), Next::Open { after: 2 * PAUSE });
        assert_eq!(one.began(7), Next::Listen, "the same process: its sessions play on");
        assert_eq!([one.broke(), one.broke(), one.broke()][2], Next::Lost);
    }

    #[test]
    fn another_process_at_the_same_address_has_none_of_the_sessions() {
        let mut one = Listening::default();
        one.began(7);
        one.broke();
        assert_eq!(one.began(8), Next::Lost);
    }

    #[test]
    fn a_host_that_hangs_up_again_and_again_is_asked_calmly() {
        let mut one = Listening::default();
        let pauses: Vec<_> = (0..40)
            .map(|_| {
                one.began(7);
                one.heard();
                one.broke()
            })
            .collect();
        assert_eq!((pauses[0], pauses[39]), (Next::Open { after: PAUSE }, Next::Open { after: CALM }));
        assert!(!pauses.contains(&Next::Lost));
    }
}
