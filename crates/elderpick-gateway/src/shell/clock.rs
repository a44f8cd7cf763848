//! Clocks.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use elderpick_core::api::Micros;

/// Time for the engine: microseconds since 1970, never running backwards.
pub trait Clock {
    fn now(&self) -> Micros;

    /// Wall time as the machine believes now, with its steps.
    fn wall(&self) -> Micros {
        self.now()
    }
}

/// Wall time as it was at the start, going on by the monotonic clock: what gateways agree on as closely as their
/// clocks do, without its steps.
pub struct WallClock {
    pub(super) began: Instant,
    pub(super) wall: Micros,
}

impl WallClock {
    pub fn start() -> WallClock {
        let wall = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_micros() as Micros);
        WallClock { began: Instant::now(), wall }
    }
}

impl Clock for WallClock {
    fn now(&self) -> Micros {
        self.wall + self.began.elapsed().as_micros() as Micros
    }

    fn wall(&self) -> Micros {
        SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_micros() as Micros)
    }
}

pub(crate) fn span(micros: Micros) -> Duration {
    Duration::from_micros(micros.max(0) as u64)
}
