//! Who gets a seat, and for how long.

use super::{Denied, Held, Lease, SeatId, SeatRegistry};
use crate::log::Record;
use crate::sheet::Devices;
use crate::token::Claims;
use crate::{Micros, Times};

impl SeatRegistry {
    fn allowed(
        &self,
        t: Times,
        claims: &Claims,
        class: &str,
        title: &str,
    ) -> Result<(u32, u32, Devices), Denied> {
        if self.revoked.names(&claims.id, &claims.holder, &claims.licence) {
            return Err(Denied::Revoked);
        }
        if !claims.allows_class(class) {
            return Err(Denied::Class);
        }
        if !claims.allows_title(title) {
            return Err(Denied::Title);
        }
        let term = self.sheet.now(t.wall).ok_or(Denied::Between)?;
        let term = &self.sheet.terms[term];
        let licence = term.licences.get(&claims.licence).ok_or(Denied::Licence)?;
        if licence.tenant != claims.tenant || !licence.classes.iter().any(|c| c == class) {
            return Err(Denied::Licence);
        }
        let (skew, hold) = (self.rules.skew, self.rules.hold);
        let place = self.sheet.place(&claims.licence, &claims.holder, t.wall, skew, hold);
        let place = place.ok_or(Denied::Between)?;
        if place.gateway != self.rules.me {
            let at = self.sheet.at.get(&place.gateway).cloned();
            return Err(Denied::Elsewhere { gateway: place.gateway, at });
        }
        Ok((place.part, licence.seats_of(place.part, term.block), licence.devices))
    }

    /// How long the terms let a holder's seat be counted here.
    pub(super) fn bound(&self, t: Times, licence: &str, holder: &str) -> Micros {
        let (me, skew) = (self.rules.me, self.rules.skew);
        self.sheet.counts_until(licence, holder, me, t.wall, skew).map_or(t.mono, |wall| t.mono_at(wall))
    }

    /// When the right of a token to a seat here ends: the token's part in it, and with that of the terms.
    pub(super) fn right(&self, t: Times, claims: &Claims) -> (Micros, Micros) {
        let by_token = t.mono_at(claims.expires.saturating_add(self.rules.grace));
        (by_token, by_token.min(self.bound(t, &claims.licence, &claims.holder)))
    }

    /// A viewer asks for a session with a token that was verified. `device` stands for what it asks from: the same for
    /// all tries of one player. A seat that is held is to be followed by [`SeatRegistry::answered`].
    pub fn admit(
        &mut self,
        t: Times,
        claims: &Claims,
        device: u64,
        class: &str,
        title: &str,
    ) -> Result<Held, Denied> {
        self.advance(t);
        let held = self.decide(t, claims, device, class, title);
        match &held {
            Ok(held) if held.fresh => self.counts.taken += 1,
            Ok(held) => {
                self.counts.again += 1;
                self.counts.taken_over += u64::from(held.takes_over);
            }
            Err(Denied::Elsewhere { .. }) => self.counts.sent_on += 1,
            Err(Denied::Full) => self.counts.full += 1,
            Err(_) => self.counts.denied += 1,
        }
        held
    }

    fn decide(
        &mut self,
        t: Times,
        claims: &Claims,
        device: u64,
        class: &str,
        title: &str,
    ) -> Result<Held, Denied> {
        let (part, seats, devices) = self.allowed(t, claims, class, title)?;
        let (by_token, right) = self.right(t, claims);
        if right <= t.mono {
            return Err(Denied::Ended);
        }
        let key = (claims.licence.clone(), claims.holder.clone());
        if let Some(&seat) = self.holders.get(&key) {
            let lease = &self.leases[&seat];
            if lease.ending {
                return Err(Denied::Ending);
            }
            let busy = lease.playing || lease.pending > 0;
            let other = busy && lease.device != device;
            if other && devices == Devices::Refuse {
                return Err(Denied::Device);
            }
            self.put(seat, |lease| {
                if lease.found {
                    (lease.by_token, lease.right) = (by_token, right);
                }
                lease.renew(by_token, right, &claims.id);
                lease.device = device;
                lease.pending += 1;
                lease.found = false;
            });
            return Ok(Held { seat, fresh: false, takes_over: other });
        }
        if let Some(until) = self.closed {
            return Err(Denied::Closed { until });
        }
        if self.stepped.is_some() {
            return Err(Denied::Clock);
        }
        if !self.keeps {
            return Err(Denied::NoState);
        }
        let used = self.used.get(&(claims.licence.clone(), part)).copied().unwrap_or(0);
        if used >= seats {
            return Err(Denied::Full);
        }
        if self.leases.len() >= self.rules.most {
            return Err(Denied::Table);
        }
        let seat = SeatId(self.next);
        self.next += 1;
        let lease = Lease {
            licence: claims.licence.clone(),
            holder: claims.holder.clone(),
            token: claims.id.clone(),
            device,
            part,
            by_token,
            right,
            until: right,
            pending: 1,
            playing: false,
            ending: false,
            found: false,
            held: t.mono,
        };
        self.leases.insert(seat, lease);
        self.holders.insert(key, seat);
        self.ends.insert((right, seat));
        *self.used.entry((claims.licence.clone(), part)).or_default() += 1;
        let (licence, holder) = (claims.licence.clone(), claims.holder.clone());
        self.records.push(Record::Taken { seat: seat.0, licence, holder });
        Ok(Held { seat, fresh: true, takes_over: false })
    }

    /// The holder of a seat brings another token for it: its right lasts as long as the token's from now on.
    pub fn renew(
        &mut self,
        t: Times,
        seat: SeatId,
        claims: &Claims,
        class: &str,
        title: &str,
    ) -> Result<(), Denied> {
        self.advance(t);
        self.allowed(t, claims, class, title)?;
        let (by_token, right) = self.right(t, claims);
        let lease = self.leases.get(&seat).filter(|l| !l.ending).ok_or(Denied::Ended)?;
        if (&lease.licence, &lease.holder) != (&claims.licence, &claims.holder) {
            return Err(Denied::Licence);
        }
        if right <= t.mono {
            return Err(Denied::Ended);
        }
        self.counts.renewed += 1;
        self.put(seat, |lease| {
            lease.renew(by_token, right, &claims.id);
        });
        Ok(())
    }
}
