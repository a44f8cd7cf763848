//! What one gateway knows of use: the fold of its records.
//!
//! A session's records tell when it began, each change of its rung, marks of how far it has come, and its end. From them
//! come entries, one for each period that the session touches, numbered without gaps in the order of the records. A
//! period that is closed takes nothing more: what is late, and corrections, go to the next open one and say whose they
//! are, so that a closed period's totals never change.

mod exports;
mod record;
mod refused;
mod total;

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

pub use self::record::{Correction, Entry, Facts, Kind, Outcome, Record};
pub use self::refused::Refused;
pub use self::total::Total;
use crate::Micros;
use crate::calendar::{Calendar, Period};

/// A session that plays.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
struct Open {
    facts: Facts,
    /// Changes of rung, by time from the start.
    rungs: Vec<(Micros, usize)>,
    marked: Micros,
}

/// An export, and what it was acknowledged with.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct Export {
    pub number: u64,
    pub first: u64,
    pub last: u64,
    pub digest: Option<String>,
}

/// Changes of rung that a session keeps apart; later ones count at the rung that it had last.
const MOST_RUNGS: usize = 4096;
/// Rungs of a ladder.
const MOST_RUNG: usize = 64;

/// Entries of one export at most, so that those who read it need not hold more.
pub const MOST_EXPORTED: u64 = 1_000_000;

/// All that records come to, as it can be written down.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct State {
    epoch: (u64, u64),
    /// Name of the calendar that the last epoch told.
    cut_by: String,
    open: BTreeMap<String, Open>,
    #[serde(with = "rows")]
    totals: BTreeMap<(String, String), Total>,
    entries: u64,
    /// Periods up to this moment are closed.
    closed: Micros,
    exports: Vec<Export>,
    odd: u64,
    /// The first segment that is kept, and how many entries were made before it.
    kept: (u64, u64),
}

impl State {
    fn new() -> State {
        State {
            epoch: (0, 0),
            cut_by: String::new(),
            open: BTreeMap::new(),
            totals: BTreeMap::new(),
            entries: 0,
            closed: Micros::MIN,
            exports: Vec::new(),
            odd: 0,
            kept: (1, 0),
        }
    }

    /// Entries that were made so far.
    pub fn entries(&self) -> u64 {
        self.entries
    }

    /// The first segment that is kept.
    pub fn kept_from(&self) -> u64 {
        self.kept.0
    }
}

/// Totals as rows: JSON has no keys of two words.
mod rows {
    use super::*;
    use serde::{Deserializer, Serializer};

    pub fn serialize<S: Serializer>(
        of: &BTreeMap<(String, String), Total>,
        to: S,
    ) -> Result<S::Ok, S::Error> {
        to.collect_seq(of)
    }

    pub fn deserialize<'de, D: Deserializer<'de>>(
        from: D,
    ) -> Result<BTreeMap<(String, String), Total>, D::Error> {
        Ok(Vec::deserialize(from)?.into_iter().collect())
    }
}

/// What a gateway knows of use.
#[derive(Clone, Debug)]
pub struct Accounts {
    calendar: Calendar,
    state: State,
}

impl Accounts {
    pub fn new(calendar: Calendar) -> Accounts {
        Accounts { calendar, state: State::new() }
    }

    /// Goes on from what was known once.
    pub fn resume(calendar: Calendar, state: State) -> Accounts {
        Accounts { calendar, state }
    }

    pub fn state(&self) -> &State {
        &self.state
    }

    /// Records that did not fit what was known; none, unless records are of two gateways.
    pub fn odd(&self) -> u64 {
        self.state.odd
    }

    /// Takes a record in, and gives out the entries that come of it.
    pub fn apply(&mut self, record: &Record, out: &mut impl FnMut(Entry)) {
        match record {
            Record::Epoch { epoch, nonce, calendar, .. } => {
                self.state.epoch = (*epoch, *nonce);
                self.state.cut_by.clone_from(calendar);
            }
            Record::Begun { session, facts, rung } => {
                let open = Open { facts: facts.clone(), rungs: vec![(0, *rung)], marked: 0 };
                self.state.odd += u64::from(self.state.open.insert(session.clone(), open).is_some());
            }
            Record::Rung { session, at, rung } => match self.state.open.get_mut(session) {
                Some(open) if open.rungs.len() < MOST_RUNGS => {
                    let at = (*at).max(open.rungs.last().map_or(0, |r| r.0));
                    open.rungs.push((at, *rung));
                    open.marked = open.marked.max(at);
                }
                Some(_) => {}
                None => self.state.odd += 1,
            },
            Record::Marks { list } => {
                for (session, span) in list {
                    if let Some(open) = self.state.open.get_mut(session) {
                        open.marked = open.marked.max(*span);
                    }
                }
            }
            Record::Over { session, span, tries, outcome, bytes } => match self.state.open.remove(session) {
                Some(open) => self.ended(session, &open, *span, (*tries, *outcome, *bytes), out),
                None => self.state.odd += 1,
            },
            Record::Gap { from, until, why } => {
                let (period, late_for) = self.place(*from);
                let span = until.saturating_sub(*from).max(0);
                let gap = Entry {
                    kind: Kind::Gap,
                    from: *from,
                    span,
                    why: why.clone(),
                    ..self.blank(period, late_for)
                };
                self.enter(gap, out);
            }
            Record::Corrected(c) => {
                let own = self.calendar.period(self.state.closed.max(0));
                let is_closed = self.state.closed > Micros::MIN && c.period < own.name;
                let (period, late_for) = match is_closed {
                    true => (own.name, Some(c.period.clone())),
                    false => (c.period.clone(), None),
                };
                let entry = Entry {
                    kind: Kind::Correction,
                    tenant: c.tenant.clone(),
                    licence: c.licence.clone(),
                    class: c.class.clone(),
                    uses: c.uses,
                    from: c.at,
                    at_rung: c.at_rung.clone(),
                    bytes: (c.bytes != 0).then_some(c.bytes),
                    corrects: Some(c.of),
                    why: c.why.clone(),
                    ..self.blank(period, late_for)
                };
                self.enter(entry, out);
            }
            Record::Closed { until } => self.state.closed = self.state.closed.max(*until),
            Record::Prepared { export, first, last } => {
                self.state.exports.push(Export { number: *export, first: *first, last: *last, digest: None });
            }
            Record::Handed { export, digest } => {
                match self.state.exports.iter_mut().find(|e| e.number == *export) {
                    Some(handed) => handed.digest = Some(digest.clone()),
                    None => self.state.odd += 1,
                }
            }
            Record::Dropped { before, entries } => {
                self.state.kept = self.state.kept.max((*before, *entries));
                // The last one is what the next one names as the one before it.
                let (gone, last) = (self.state.kept.1, self.state.exports.last().map_or(0, |e| e.number));
                self.state.exports.retain(|e| e.last > gone || e.number == last);
            }
            Record::State { state, .. } if self.state == State::new() => self.state = (**state).clone(),
            Record::State { state, .. } => self.state.odd += u64::from(**state != self.state),
        }
    }

    /// The period that takes what is of a moment now, and that which it is of if that is closed.
    fn place(&self, at: Micros) -> (String, Option<String>) {
        let own = self.calendar.period(at);
        match own.from < self.state.closed {
            true => (self.calendar.period(self.state.closed).name, Some(own.name)),
            false => (own.name, None),
        }
    }

    fn blank(&self, period: String, late_for: Option<String>) -> Entry {
        Entry {
            number: 0,
            epoch: self.state.epoch.0,
            nonce: self.state.epoch.1,
            kind: Kind::Use,
            period,
            late_for,
            tenant: String::new(),
            licence: String::new(),
            class: String::new(),
            title: String::new(),
            session: String::new(),
            viewer: String::new(),
            part: 0,
            parts: 1,
            uses: 0,
            tries: 0,
            from: 0,
            span: 0,
            at_rung: Vec::new(),
            bytes: None,
            outcome: None,
            corrects: None,
            why: String::new(),
        }
    }

    fn enter(&mut self, mut entry: Entry, out: &mut impl FnMut(Entry)) {
        self.state.entries += 1;
        entry.number = self.state.entries;
        self.state.totals.entry((entry.period.clone(), entry.tenant.clone())).or_default().add(&entry);
        out(entry);
    }

    fn ended(
        &mut self,
        session: &str,
        open: &Open,
        span: Micros,
        (tries, outcome, bytes): (u32, Outcome, Option<u64>),
        out: &mut impl FnMut(Entry),
    ) {
        let facts = &open.facts;
        let parts = self.calendar.split(facts.started, span.max(0));
        let count = parts.len() as u32;
        for (part, (_, from, long)) in parts.into_iter().enumerate() {
            let (period, late_for) = self.place(from);
            let begins = from.saturating_sub(facts.started);
            // Delivered evenly, as far as is known; the last part takes what rounding leaves.
            let upto = |at: Micros| {
                let of = bytes.map(|b| i128::from(b).min(i128::from(i64::MAX)));
                of.map(|b| if at >= span { b } else { b * i128::from(at.max(0)) / i128::from(span.max(1)) })
            };
            let ends = if part as u32 + 1 == count { span } else { begins.saturating_add(long) };
            let begun = if part == 0 { Some(0) } else { upto(begins) };
            let bytes = upto(ends).zip(begun).map(|(z, a)| (z - a) as i64);
            let entry = Entry {
                tenant: facts.tenant.clone(),
                licence: facts.licence.clone(),
                class: facts.class.clone(),
                title: facts.title.clone(),
                session: session.to_owned(),
                viewer: facts.viewer.clone(),
                part: part as u32,
                parts: count,
                uses: i64::from(part == 0),
                tries,
                from,
                span: long,
                at_rung: at_rungs(&open.rungs, begins, begins.saturating_add(long)),
                bytes,
                outcome: Some(outcome),
                ..self.blank(period, late_for)
            };
            self.enter(entry, out);
        }
    }

    /// A session plays.
    pub fn begin(&self, session: &str, facts: Facts, rung: usize) -> Result<Record, Refused> {
        let free = !self.state.open.contains_key(session);
        let session = session.to_owned();
        free.then_some(Record::Begun { session, facts, rung }).ok_or(Refused::Session)
    }

    /// What a process that begins has to tell: its epoch, and the end of what the one before left open.
    pub fn start(&self, nonce: u64, at: Micros) -> Vec<Record> {
        let epoch =
            Record::Epoch { epoch: self.state.epoch.0 + 1, nonce, at, calendar: self.calendar.name().into() };
        let killed = self.state.open.iter().map(|(session, open)| Record::Over {
            session: session.clone(),
            span: open.marked,
            tries: 1,
            outcome: Outcome::Killed,
            bytes: None,
        });
        std::iter::once(epoch).chain(killed).collect()
    }

    /// The earliest period that is not closed, if it may be closed at a moment.
    pub fn close(&self, period: &Period, now: Micros) -> Result<Record, Refused> {
        if period.until <= self.state.closed {
            return Err(Refused::Closed);
        }
        let at = self.calendar.closes(period);
        if now < at {
            return Err(Refused::TooEarly(at));
        }
        Ok(Record::Closed { until: period.until })
    }

    /// Corrects an entry, which the caller has looked up.
    pub fn correct(&self, of: &Entry, change: Correction) -> Result<Record, Refused> {
        if of.number == 0
            || of.number > self.state.entries
            || change.of != of.number
            || change.period != of.period
        {
            return Err(Refused::NoEntry);
        }
        let nothing = change.uses == 0 && change.bytes == 0 && change.at_rung.iter().all(|&t| t == 0);
        if nothing || change.why.trim().is_empty() || change.at_rung.len() > MOST_RUNG {
            return Err(Refused::Empty);
        }
        Ok(Record::Corrected(change))
    }

    pub fn totals(&self) -> &BTreeMap<(String, String), Total> {
        &self.state.totals
    }

    pub fn entries(&self) -> u64 {
        self.state.entries
    }

    pub fn epoch(&self) -> u64 {
        self.state.epoch.0
    }

    /// The calendar that the records were cut by, if it is another one than these accounts': entries that were exported
    /// and periods that were closed would not be what they were.
    pub fn other_calendar(&self) -> Option<&str> {
        Some(&*self.state.cut_by).filter(|name| !name.is_empty() && *name != self.calendar.name())
    }

    /// Sessions that play, as far as is known.
    pub fn open(&self) -> usize {
        self.state.open.len()
    }

    /// Periods up to this moment are closed.
    pub fn closed(&self) -> Micros {
        self.state.closed
    }

    pub fn calendar(&self) -> &Calendar {
        &self.calendar
    }
}

/// Time at each rung between two moments of a session. It adds up to the time between them.
fn at_rungs(rungs: &[(Micros, usize)], from: Micros, until: Micros) -> Vec<Micros> {
    let mut at = Vec::new();
    for (k, &(begins, rung)) in rungs.iter().enumerate() {
        let ends = rungs.get(k + 1).map_or(Micros::MAX, |next| next.0);
        let long = ends.min(until).saturating_sub(begins.max(from));
        if long > 0 {
            let rung = rung.min(MOST_RUNG - 1);
            if at.len() <= rung {
                at.resize(rung + 1, 0);
            }
            at[rung] += long;
        }
    }
    at
}

#[cfg(test)]
#[path = "../tests/unit/accounts.rs"]
mod tests;
