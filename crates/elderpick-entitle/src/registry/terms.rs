//! Terms begin and end, the clock moves, and rights lapse.

use super::{Lease, Revoked, SeatId, SeatRegistry};
use crate::log::Record;
use crate::sheet::LicenceSheet;
use crate::{Micros, Times};

impl SeatRegistry {
    /// Puts another sheet in force, or tells why it cannot be.
    pub fn sheet(&mut self, t: Times, sheet: LicenceSheet) -> Result<(), String> {
        self.sheet.may_become(&sheet, t.wall, self.rules.skew)?;
        self.sheet = sheet;
        self.term = None;
        let all: Vec<SeatId> = self.leases.keys().copied().collect();
        for seat in all {
            // A right that the last known term bounded may go on; what was taken away ends. What only stands for a
            // killed process' seats stays as it is.
            let Some(lease) = self.leases.get(&seat).filter(|l| !l.found) else { continue };
            let right = lease.by_token.min(self.bound(t, &lease.licence, &lease.holder));
            self.put(seat, |lease| {
                let bounded = lease.until == lease.right;
                lease.right = right;
                lease.until = if bounded { right } else { lease.until.min(right) };
            });
        }
        self.advance(t);
        Ok(())
    }

    /// Puts another list of what is withdrawn in force; what plays by it is ended.
    pub fn revoke(&mut self, t: Times, list: Revoked) {
        self.advance(t);
        self.revoked = list;
        let named = |l: &Lease| self.revoked.names(&l.token, &l.holder, &l.licence);
        let ended: Vec<SeatId> =
            self.leases.iter().filter(|(_, l)| named(l) && !l.ending).map(|(id, _)| *id).collect();
        ended.into_iter().for_each(|seat| self.lapse(t, seat));
    }

    /// Ends what has ended by now. All other calls do so first.
    pub fn advance(&mut self, t: Times) {
        if self.closed.is_some_and(|until| until <= t.mono) {
            self.closed = None;
            self.records.push(Record::Sure);
        }
        while let Some(&(at, seat)) = self.ends.first().filter(|(at, _)| *at <= t.mono) {
            self.ends.remove(&(at, seat));
            self.lapse(t, seat);
        }
        let term = self.sheet.now(t.wall);
        if self.term != Some(term) {
            self.turn(term);
        }
        self.look_at_clock(t);
    }

    /// Terms hold by clocks that agree. One that steps by more than the skew is wrong now or was before: nobody takes a
    /// seat by it until it is back, or until all has ended that was given before the step.
    fn look_at_clock(&mut self, t: Times) {
        let offset = t.wall - t.mono;
        let trusted = *self.offset.get_or_insert(offset);
        let near = |a: Micros, b: Micros| (a - b).abs() <= self.rules.skew;
        if near(offset, trusted) {
            self.stepped = None;
            return;
        }
        match self.stepped {
            Some((since, to)) if near(offset, to) => {
                if t.mono - since >= self.rules.hold {
                    (self.offset, self.stepped) = (Some(offset), None);
                }
            }
            _ => self.stepped = Some((t.mono, offset)),
        }
    }

    /// Counts all seats anew by the parts of another term.
    fn turn(&mut self, term: Option<usize>) {
        self.term = Some(term);
        self.used.clear();
        let term = term.and_then(|k| self.sheet.terms.get(k));
        for lease in self.leases.values_mut() {
            let licence = term.and_then(|t| t.licences.get(&lease.licence).map(|l| (t, l)));
            if let Some((term, licence)) = licence {
                lease.part = term.place(licence, &lease.holder).part;
            }
            *self.used.entry((lease.licence.clone(), lease.part)).or_default() += 1;
        }
    }

    /// The right to a seat is over. With a session it is free when that has ended.
    fn lapse(&mut self, t: Times, seat: SeatId) {
        let Some(lease) = self.leases.get(&seat) else { return };
        self.counts.lapsed += 1;
        if lease.playing || lease.pending > 0 {
            self.put(seat, |lease| lease.ending = true);
            self.lapsed.push(seat);
        } else {
            self.free(t, seat);
        }
    }

    pub(super) fn free(&mut self, t: Times, seat: SeatId) {
        if self.leases.get(&seat).is_some_and(|l| t.mono < l.held) {
            return self.put(seat, |lease| {
                (lease.ending, lease.found) = (false, true);
                (lease.by_token, lease.right, lease.until) = (lease.held, lease.held, lease.held);
            });
        }
        let Some(lease) = self.leases.remove(&seat) else { return };
        self.ends.remove(&(lease.until, seat));
        let part = (lease.licence.clone(), lease.part);
        if let Some(used) = self.used.get_mut(&part) {
            *used = used.saturating_sub(1);
            if *used == 0 {
                self.used.remove(&part);
            }
        }
        self.holders.remove(&(lease.licence, lease.holder));
        self.counts.freed += 1;
        self.records.push(Record::Freed { seat: seat.0 });
    }
}
