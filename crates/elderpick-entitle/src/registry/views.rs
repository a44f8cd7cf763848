//! What others may know of seats.

use super::{Lease, Seat, SeatId, SeatRegistry, Use};
use crate::log::Record;
use crate::{Micros, Times};

impl SeatRegistry {
    /// Whether the right to a seat lasts.
    pub fn lasts(&self, seat: SeatId) -> bool {
        self.leases.get(&seat).is_some_and(|l| !l.ending)
    }

    /// When [`SeatRegistry::advance`] is next due, on the monotonic clock.
    pub fn next_end(&self) -> Option<Micros> {
        self.ends.first().map(|(at, _)| *at)
    }

    /// What is to be kept, in order.
    pub fn take_records(&mut self) -> Vec<Record> {
        std::mem::take(&mut self.records)
    }

    /// Seats whose sessions are to be ended.
    pub fn take_lapsed(&mut self) -> Vec<SeatId> {
        std::mem::take(&mut self.lapsed)
    }

    pub fn taken(&self) -> usize {
        self.leases.len()
    }

    /// For how long from now nothing is given since the state was lost.
    pub fn closed_for(&self, t: Times) -> Option<Micros> {
        self.closed.map(|until| (until - t.mono).max(0))
    }

    pub fn seats(&self, t: Times) -> Vec<Seat> {
        let state = |l: &Lease| match l {
            Lease { ending: true, .. } => "ending",
            Lease { playing: true, .. } => "plays",
            Lease { found: true, .. } => "held since the restart",
            Lease { pending: 0, .. } => "kept for its holder",
            _ => "asked for",
        };
        let one = |(id, l): (&SeatId, &Lease)| Seat {
            id: *id,
            licence: l.licence.clone(),
            holder: l.holder.clone(),
            token: l.token.clone(),
            state: state(l),
            left: (l.until - t.mono).max(0),
        };
        self.leases.iter().map(one).collect()
    }

    /// All parts of all licences in force, with what is taken here.
    pub fn uses(&self, t: Times) -> Vec<Use> {
        let Some(term) = self.sheet.now(t.wall).and_then(|k| self.sheet.terms.get(k)) else {
            return Vec::new();
        };
        let mut all = Vec::new();
        for licence in term.licences.values() {
            all.extend((0..licence.parts(term.block)).map(|part| Use {
                licence: licence.name.clone(),
                part,
                gateway: term.counts(licence, part),
                taken: self.used.get(&(licence.name.clone(), part)).copied().unwrap_or(0),
                seats: licence.seats_of(part, term.block),
            }));
        }
        all
    }
}
