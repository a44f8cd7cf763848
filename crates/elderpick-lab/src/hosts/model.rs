//! What a host is, and what troubles it.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

/// What the stand-ins are like.
#[derive(Clone, Debug)]
pub struct Model {
    /// Bytes a second of each rung.
    pub ladder: Vec<f64>,
    pub link: f64,
    pub uplink: f64,
    pub places: usize,
    pub warm_up: i64,
    pub least: f64,
    pub multiple: f64,
    pub window: i64,
    /// Seconds of a segment, and segments of a recorded title.
    pub segment: u64,
    pub segments: usize,
    /// Microseconds of one set-up.
    pub set_up: u64,
    /// Seconds after which gateways count a silent viewer as gone; hosts wait a little longer.
    pub silence: u64,
}

impl Default for Model {
    fn default() -> Self {
        Model {
            ladder: vec![12e3, 24e3, 48e3, 72e3],
            link: 400e3,
            uplink: 1_200e3,
            places: 24,
            warm_up: 6_000_000,
            least: 0.1,
            multiple: 3.0,
            window: 1_000_000,
            segment: 1,
            segments: 6,
            set_up: 3_000,
            silence: 5,
        }
    }
}

/// Troubles of one host at the moment.
#[derive(Clone, Debug)]
pub struct Trouble {
    /// Part of its link that is left.
    pub link: f64,
    /// Times that a set-up takes longer.
    pub slow: f64,
    pub fails: f64,
    pub hangs: bool,
    pub loses_answers: f64,
    /// Says of its load this times the truth.
    pub lies: f64,
    /// Gives a playlist that is none.
    pub garbles: bool,
    pub late_reports: Duration,
    pub origin: Duration,
}

impl Default for Trouble {
    fn default() -> Self {
        Trouble {
            link: 1.0,
            slow: 1.0,
            fails: 0.0,
            hangs: false,
            loses_answers: 0.0,
            lies: 1.0,
            garbles: false,
            late_reports: Duration::ZERO,
            origin: Duration::ZERO,
        }
    }
}

#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum State {
    Up,
    Draining,
    Gone,
}

impl State {
    pub(super) fn name(self) -> &'static str {
        match self {
            State::Up => "up",
            State::Draining => "draining",
            State::Gone => "gone",
        }
    }
}

pub(crate) struct Session {
    pub(crate) rung: usize,
    /// Of the last change of rung.
    pub(super) order: u64,
    /// Its true rate over the ladder's.
    pub(super) rate: f64,
    pub(super) title: String,
    pub(super) gateway: String,
    pub(crate) seen: i64,
    /// Bytes of segments that went out.
    pub(crate) sent: Rc<Cell<u64>>,
}
