//! One gateway's count of seats.
//!
//! A seat is taken by [`SeatRegistry::admit`] for a holder, a viewer whom a token names, and is free again exactly once: when
//! its session is over, when the right to it ends, or, if the gateway was killed meanwhile, when the hold after the
//! restart is over. All calls for one moment have one outcome whatever their order, but for who came first: what has
//! ended by then is ended before anything else is looked at.
//!
//! What must outlive the process is given out as [`Record`]s. A seat that was just taken may be used once its record
//! is kept; the caller sees to that.

mod admission;
mod lease;
mod revoked;
mod terms;
mod types;
mod views;

use std::collections::{BTreeMap, BTreeSet};

use self::lease::Lease;
pub use self::revoked::Revoked;
pub use self::types::{Counts, Denied, Held, Rules, Seat, SeatId, Use};
use crate::log::Record;
use crate::sheet::LicenceSheet;
use crate::{Micros, Times};

#[derive(Clone, PartialEq, Eq, Hash, Debug)]
pub struct SeatRegistry {
    pub rules: Rules,
    sheet: LicenceSheet,
    revoked: Revoked,
    /// The term by which parts are counted; `None` before the first count and after a change.
    term: Option<Option<usize>>,
    /// Wall time less monotonic time, as it was when the clock was last trusted.
    offset: Option<Micros>,
    /// Since when, and to what, the wall clock has stepped away from it.
    stepped: Option<(Micros, Micros)>,
    leases: BTreeMap<SeatId, Lease>,
    holders: BTreeMap<(String, String), SeatId>,
    used: BTreeMap<(String, u32), u32>,
    ends: BTreeSet<(Micros, SeatId)>,
    next: u64,
    closed: Option<Micros>,
    keeps: bool,
    pub counts: Counts,
    records: Vec<Record>,
    lapsed: Vec<SeatId>,
}

impl SeatRegistry {
    /// A registry in which no seat is taken. After a restart [`SeatRegistry::find`] and [`SeatRegistry::close`] tell it more.
    pub fn new(rules: Rules, sheet: LicenceSheet) -> SeatRegistry {
        SeatRegistry {
            rules,
            sheet,
            revoked: Revoked::default(),
            term: None,
            offset: None,
            stepped: None,
            leases: BTreeMap::new(),
            holders: BTreeMap::new(),
            used: BTreeMap::new(),
            ends: BTreeSet::new(),
            next: 1,
            closed: None,
            keeps: true,
            counts: Counts::default(),
            records: Vec::new(),
            lapsed: Vec::new(),
        }
    }

    /// A seat that the log tells to be taken. Its session is lost; it counts for the hold, and its holder may have it
    /// again at once.
    pub fn find(&mut self, t: Times, seat: SeatId, licence: &str, holder: &str) {
        self.next = self.next.max(seat.0 + 1);
        let key = (licence.to_owned(), holder.to_owned());
        if self.holders.contains_key(&key) {
            return;
        }
        self.counts.found += 1;
        let until = t.mono + self.rules.hold;
        let lease = Lease {
            licence: key.0.clone(),
            holder: key.1.clone(),
            token: String::new(),
            device: 0,
            part: 0,
            by_token: until,
            right: until,
            until,
            pending: 0,
            playing: false,
            ending: false,
            found: true,
            held: until,
        };
        self.holders.insert(key, seat);
        self.ends.insert((until, seat));
        self.leases.insert(seat, lease);
        self.term = None;
    }

    /// The log was lost or damaged: what was taken is not known, so nothing is given until all of it has ended.
    pub fn close(&mut self, t: Times) {
        self.closed = Some(t.mono + self.rules.hold);
    }

    /// Names of seats go on after this one.
    pub fn after(&mut self, last: u64) {
        self.next = self.next.max(last + 1);
    }

    /// Whether records can be kept. While they cannot, no seat is taken; what plays goes on.
    pub fn keeps(&mut self, keeps: bool) {
        self.keeps = keeps;
    }

    /// Changes a lease and keeps the order of ends.
    fn put(&mut self, seat: SeatId, change: impl FnOnce(&mut Lease)) {
        let Some(lease) = self.leases.get_mut(&seat) else { return };
        let before = lease.until;
        change(lease);
        let (after, ending) = (lease.until, lease.ending);
        self.ends.remove(&(before, seat));
        if !ending {
            self.ends.insert((after, seat));
        }
    }

    /// One request that was admitted has its answer, or its viewer is gone. `plays`: whether a session has the seat.
    pub fn answered(&mut self, t: Times, seat: SeatId, plays: bool) {
        self.advance(t);
        self.put(seat, |lease| {
            lease.pending = lease.pending.saturating_sub(1);
            lease.playing = plays;
        });
        self.settle(t, seat, true);
    }

    /// A session that had the seat is over; `plays` if another one has it now. One that broke off leaves the seat to
    /// its holder for a while.
    pub fn over(&mut self, t: Times, seat: SeatId, plays: bool, willing: bool) {
        self.advance(t);
        self.put(seat, |lease| lease.playing = plays);
        self.settle(t, seat, willing);
    }

    fn settle(&mut self, t: Times, seat: SeatId, willing: bool) {
        let Some(lease) = self.leases.get(&seat) else { return };
        if lease.playing || lease.pending > 0 {
            return;
        }
        if willing || lease.ending {
            return self.free(t, seat);
        }
        let linger = t.mono + self.rules.linger;
        self.put(seat, |lease| lease.until = lease.right.min(linger));
    }
}
