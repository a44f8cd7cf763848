//! One gateway's count of seats.
//!
//! A seat is taken by [`Desk::admit`] for a holder, a viewer whom a token names, and is free again exactly once: when
//! its session is over, when the right to it ends, or, if the gateway was killed meanwhile, when the hold after the
//! restart is over. All calls for one moment have one outcome whatever their order, but for who came first: what has
//! ended by then is ended before anything else is looked at.
//!
//! What must outlive the process is given out as [`Record`]s. A seat that was just taken may be used once its record
//! is kept; the caller sees to that.

use std::collections::{BTreeMap, BTreeSet};

use crate::log::Record;
use crate::sheet::{Devices, Sheet};
use crate::token::Claims;
use crate::{Micros, Times};

/// Names a seat as long as it is taken; never given again by the same state.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug)]
pub struct SeatId(pub u64);

#[derive(Clone, PartialEq, Eq, Hash, Debug)]
pub struct Rules {
    /// Number of this gateway in the sheet.
    pub me: u32,
    /// A right lasts so long after its token's end.
    pub grace: Micros,
    /// How far the clocks of gateways and issuers may differ.
    pub skew: Micros,
    /// A seat whose session broke off is kept for its holder so long.
    pub linger: Micros,
    /// After a restart seats of the killed process count as taken so long.
    pub hold: Micros,
    /// Seats that are counted at most.
    pub most: usize,
}

/// What is withdrawn, by name.
#[derive(Clone, PartialEq, Eq, Default, Hash, Debug)]
pub struct Revoked {
    pub tokens: BTreeSet<String>,
    pub holders: BTreeSet<String>,
    pub licences: BTreeSet<String>,
}

/// Most lines of a list of what is revoked.
const MOST_REVOKED: usize = 1_000_000;

impl Revoked {
    /// Reads a list whole: a line each of `token ID`, `holder NAME` or `licence NAME`; `#` begins a comment.
    pub fn read(file: &str, text: &str) -> Result<Revoked, String> {
        let mut list = Revoked::default();
        for (k, line) in text.lines().enumerate().map(|(k, l)| (k + 1, l.trim())) {
            if line.is_empty() || line.starts_with('#') {
                continue;
            }
            let (what, name) = line.split_once(char::is_whitespace).unwrap_or((line, ""));
            let to = match what {
                "token" => &mut list.tokens,
                "holder" => &mut list.holders,
                "licence" => &mut list.licences,
                _ => {
                    return Err(format!(
                        "{file}:{k}: must begin with token, holder or licence, found {what:?}"
                    ));
                }
            };
            let name = name.trim();
            if name.is_empty() {
                return Err(format!("{file}:{k}: {what}: must be followed by a name"));
            }
            to.insert(name.to_owned());
            if k > MOST_REVOKED {
                return Err(format!("{file}: at most {MOST_REVOKED} lines"));
            }
        }
        Ok(list)
    }

    fn names(&self, token: &str, holder: &str, licence: &str) -> bool {
        self.tokens.contains(token) || self.holders.contains(holder) || self.licences.contains(licence)
    }
}

/// A seat that may be used.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct Held {
    pub seat: SeatId,
    /// Taken now: its record must be kept before it is used.
    pub fresh: bool,
    /// Another device played with it: what plays there is to end.
    pub takes_over: bool,
}

/// Why there is no seat.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum Denied {
    Revoked,
    Class,
    Title,
    /// The sheet knows no such licence of that tenant, for that class.
    Licence,
    /// The token's right is over.
    Ended,
    /// Another device of the holder plays.
    Device,
    /// All seats of the licence, or of the holder's part of it, are taken.
    Full,
    /// The holder's last session is being ended.
    Ending,
    /// No term is in force, or one turns.
    Between,
    /// After damage to the state, until the last seat that may have been taken is free.
    Closed {
        until: Micros,
    },
    /// The wall clock has stepped, and it is not known which time is right.
    Clock,
    /// The state cannot be kept: its disk is full or cannot be written.
    NoState,
    /// The table is full.
    Table,
    /// Another gateway counts it; where viewers reach it, if known.
    Elsewhere {
        gateway: u32,
        at: Option<String>,
    },
}

#[derive(Clone, PartialEq, Eq, Hash, Debug)]
struct Lease {
    licence: String,
    holder: String,
    token: String,
    device: u64,
    part: u32,
    /// The token's part in the right, and the right's end by token and terms.
    by_token: Micros,
    right: Micros,
    /// When it is next looked at: at the right's end, or before if nothing plays.
    until: Micros,
    /// Requests that are on their way with it.
    pending: u32,
    playing: bool,
    /// It has lapsed and its session is being ended.
    ending: bool,
    /// Back from the log: no session and no device of it is known.
    found: bool,
    /// It is not free before this: a session that a killed gateway let play may go on.
    held: Micros,
}

impl Lease {
    /// Another token for it: an older one does not shorten what a newer one gave.
    fn renew(&mut self, by_token: Micros, right: Micros, token: &str) {
        self.by_token = self.by_token.max(by_token);
        self.right = self.right.max(right);
        self.until = self.right;
        self.token = token.to_owned();
    }
}

/// Counts since the start.
#[derive(Clone, Copy, PartialEq, Eq, Default, Hash, Debug)]
pub struct Counts {
    pub taken: u64,
    pub again: u64,
    pub renewed: u64,
    pub taken_over: u64,
    pub freed: u64,
    pub lapsed: u64,
    pub found: u64,
    pub full: u64,
    pub denied: u64,
    pub sent_on: u64,
}

/// A seat in use, for those who look.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct Seat {
    pub id: SeatId,
    pub licence: String,
    pub holder: String,
    pub token: String,
    pub state: &'static str,
    /// Until it is looked at again, from now.
    pub left: Micros,
}

/// Use of one part of a licence.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct Use {
    pub licence: String,
    pub part: u32,
    pub gateway: u32,
    pub taken: u32,
    pub seats: u32,
}

#[derive(Clone, PartialEq, Eq, Hash, Debug)]
pub struct Desk {
    pub rules: Rules,
    sheet: Sheet,
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

impl Desk {
    /// A desk that knows of no seat taken. After a restart [`Desk::find`] and [`Desk::close`] tell it more.
    pub fn new(rules: Rules, sheet: Sheet) -> Desk {
        Desk {
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

    /// Puts another sheet in force, or tells why it cannot be.
    pub fn sheet(&mut self, t: Times, sheet: Sheet) -> Result<(), String> {
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

    fn free(&mut self, t: Times, seat: SeatId) {
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
    fn bound(&self, t: Times, licence: &str, holder: &str) -> Micros {
        let (me, skew) = (self.rules.me, self.rules.skew);
        self.sheet.counts_until(licence, holder, me, t.wall, skew).map_or(t.mono, |wall| t.mono_at(wall))
    }

    /// When the right of a token to a seat here ends: the token's part in it, and with that of the terms.
    fn right(&self, t: Times, claims: &Claims) -> (Micros, Micros) {
        let by_token = t.mono_at(claims.expires.saturating_add(self.rules.grace));
        (by_token, by_token.min(self.bound(t, &claims.licence, &claims.holder)))
    }

    /// A viewer asks for a session with a token that was verified. `device` stands for what it asks from: the same for
    /// all tries of one player. A seat that is held is to be followed by [`Desk::answered`].
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

    /// Whether the right to a seat lasts.
    pub fn lasts(&self, seat: SeatId) -> bool {
        self.leases.get(&seat).is_some_and(|l| !l.ending)
    }

    /// When [`Desk::advance`] is next due, on the monotonic clock.
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
