//! A stand-in for a network between two ends: delay, jitter, loss in single packets and in bursts, reordering, doubles and a
//! rate, all from one seed and in whatever time it is given.
//!
//! kind: stand-in

use std::collections::BTreeMap;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// What a link does to packets. Times in microseconds, chances from 0 to 1.
#[derive(Clone, Copy, Debug)]
pub struct Weather {
    pub delay: i64,
    /// More delay, of any length up to this; packets overtake each other by it.
    pub jitter: i64,
    pub loss: f64,
    /// Chance that a burst of loss begins with a packet, and that it ends with one.
    pub burst: (f64, f64),
    pub double: f64,
    /// Bytes a second; what waits longer than a quarter of a second is dropped.
    pub rate: Option<f64>,
}

impl Default for Weather {
    fn default() -> Self {
        Weather { delay: 10_000, jitter: 0, loss: 0.0, burst: (0.0, 1.0), double: 0.0, rate: None }
    }
}

const MOST_QUEUED: f64 = 250_000.0;

/// One direction.
pub struct Link {
    pub weather: Weather,
    rng: ChaCha8Rng,
    under_way: BTreeMap<(i64, u64), Vec<u8>>,
    number: u64,
    in_burst: bool,
    /// When what was taken so far has left.
    busy: f64,
    pub dropped: u64,
}

impl Link {
    pub fn new(weather: Weather, seed: u64) -> Link {
        let rng = ChaCha8Rng::seed_from_u64(seed);
        Link { weather, rng, under_way: BTreeMap::new(), number: 0, in_burst: false, busy: 0.0, dropped: 0 }
    }

    /// Takes a packet.
    pub fn push(&mut self, now: i64, packet: &[u8]) {
        let w = self.weather;
        let turns = if self.in_burst { w.burst.1 } else { w.burst.0 };
        self.in_burst ^= self.rng.random_bool(turns);
        let mut leaves = now as f64;
        if let Some(rate) = w.rate {
            self.busy = self.busy.max(leaves);
            if self.busy - leaves > MOST_QUEUED {
                self.dropped += 1;
                return;
            }
            self.busy += packet.len() as f64 / rate * 1e6;
            leaves = self.busy;
        }
        if self.in_burst || self.rng.random_bool(w.loss) {
            self.dropped += 1;
            return;
        }
        for _ in 0..1 + usize::from(self.rng.random_bool(w.double)) {
            let at = leaves as i64 + w.delay + self.rng.random_range(0..=w.jitter);
            self.number += 1;
            self.under_way.insert((at, self.number), packet.to_vec());
        }
    }

    /// When the next packet comes out.
    pub fn next(&self) -> Option<i64> {
        self.under_way.first_key_value().map(|((at, _), _)| *at)
    }

    /// A packet that is out by now.
    pub fn pop(&mut self, now: i64) -> Option<Vec<u8>> {
        self.next().filter(|at| *at <= now)?;
        self.under_way.pop_first().map(|(_, packet)| packet)
    }
}
