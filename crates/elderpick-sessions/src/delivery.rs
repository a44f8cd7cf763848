//! How messages of media hosts come in: whole, or in pieces with pauses between them.
//!
//! An answer that may be cut is held until its rest would have come. A viewer that leaves at its host meanwhile has had
//! no answer, and none counts behind the end. So an answer is held for no longer than pauses that were seen suggest, and
//! not at all where messages come whole.

use elderpick_core::api::Micros;

use crate::descriptions::REST_WITHIN;

/// An answer is held for this part of the time that its viewer has left; the rest is for its way back.
const PART_OF_TIME_LEFT: Micros = 4;
/// A shorter hold is none: timers are no finer.
const SHORTEST_HOLD: Micros = 1_000;
/// An answer is held so long where no longer pause was seen: within the 50 ms by which all time limits are longer.
const USUAL_HOLD: Micros = 40_000;
/// Segments that were sent at once come within this time of one another: that is no pause.
const SHORTEST_PAUSE: Micros = 1_000;
/// An answer is held for so many times the longest pause that was seen.
const PAUSES_HELD: Micros = 2;
/// Answers in a row that were held and were whole, none in pieces: none is held any more.
const MOST_UNFOUNDED: u32 = 2;

/// Whether a message that came with this as the longest time between its pieces came in pieces with a pause.
pub fn is_pause(time: Micros) -> bool {
    time >= SHORTEST_PAUSE
}

/// What was seen of how messages of hosts come in.
#[derive(Default, Debug)]
pub struct Delivery {
    /// The longest pause within a message that was whole in the end, of those that count.
    longest_pause: Micros,
    /// Answers in a row that were held for nothing.
    unfounded: u32,
}

impl Delivery {
    /// How long an answer that may be cut is held, whose viewer waits for so long yet; `None` if it is to be passed on
    /// at once.
    pub fn hold_time(&self, left: Micros) -> Option<Micros> {
        if self.unfounded >= MOST_UNFOUNDED {
            return None;
        }
        let suggested = (PAUSES_HELD * self.longest_pause).clamp(USUAL_HOLD, REST_WITHIN);
        let time = (left / PART_OF_TIME_LEFT).min(suggested);
        (time >= SHORTEST_HOLD).then_some(time)
    }

    /// A message was whole at last, with this as the longest pause between its pieces.
    pub fn came_in_pieces(&mut self, pause: Micros) {
        if is_pause(pause) {
            self.longest_pause = self.longest_pause.max(pause);
            self.unfounded = 0;
        }
    }

    /// An answer that was held had come whole.
    pub fn held_for_nothing(&mut self) {
        self.unfounded = self.unfounded.saturating_add(1);
        if self.unfounded >= MOST_UNFOUNDED {
            self.longest_pause = 0;
        }
    }

    /// An answer was cut, and its rest came later.
    pub fn was_cut(&mut self) {
        self.unfounded = 0;
    }
}

#[cfg(test)]
#[path = "../tests/unit/delivery.rs"]
mod tests;
