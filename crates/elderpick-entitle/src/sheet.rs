//! The sheet: licences, terms, and which gateway counts which seats.
//!
//! A licence's seats are cut into parts of at most `block` seats. Each holder belongs to one part, and each part to one
//! gateway for the length of a term, both by a hash that every gateway works out alone. Terms do not overlap, so a seat
//! has one gateway at every moment; a gateway leaves a margin for clocks at both ends of a term.

use std::collections::BTreeMap;

use elderpick_settings::Schema;
use serde::Deserialize;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::Micros;

pub const SCHEMA: &str = include_str!("sheet.cue");

/// What a second device with the holder's token does.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Devices {
    Refuse,
    TakeOver,
}

#[derive(Clone, PartialEq, Eq, Hash, Debug, Deserialize)]
pub struct Licence {
    pub name: String,
    pub tenant: String,
    pub classes: Vec<String>,
    pub seats: u32,
    pub devices: Devices,
}

/// A span of time in which nothing about seats changes.
#[derive(Clone, PartialEq, Eq, Hash, Debug)]
pub struct Term {
    /// Wall time; up to but not with `until`.
    pub from: Micros,
    pub until: Micros,
    pub gateways: Vec<u32>,
    pub block: u32,
    pub licences: BTreeMap<String, Licence>,
}

#[derive(Clone, PartialEq, Eq, Default, Hash, Debug)]
pub struct LicenceSheet {
    /// In order of time, without overlap.
    pub terms: Vec<Term>,
    pub at: BTreeMap<u32, String>,
}

/// Which part of a licence, and which gateway counts it.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct Place {
    pub part: u32,
    pub gateway: u32,
}

impl Licence {
    /// Into how many parts the seats are cut.
    pub fn parts(&self, block: u32) -> u32 {
        self.seats.div_ceil(block.max(1)).max(1)
    }

    /// Seats of one part. Those of all parts add up to the licence's.
    pub fn seats_of(&self, part: u32, block: u32) -> u32 {
        let parts = self.parts(block);
        self.seats / parts + u32::from(part < self.seats % parts)
    }
}

/// Rendezvous hashing: each gateway has a rank for a part and the highest counts it, so that a gateway more or less
/// moves only what is its own.
fn highest(licence: &str, part: u32, gateways: &[u32]) -> u32 {
    let key = xxh3_64_with_seed(licence.as_bytes(), u64::from(part));
    let rank = |gateway: &u32| xxh3_64_with_seed(&gateway.to_le_bytes(), key);
    gateways.iter().copied().max_by_key(|gateway| (rank(gateway), *gateway)).unwrap_or(0)
}

impl Term {
    pub fn place(&self, licence: &Licence, holder: &str) -> Place {
        let part = (xxh3_64(holder.as_bytes()) % u64::from(licence.parts(self.block))) as u32;
        Place { part, gateway: self.counts(licence, part) }
    }

    /// The gateway that counts a part.
    pub fn counts(&self, licence: &Licence, part: u32) -> u32 {
        highest(&licence.name, part, &self.gateways)
    }
}

impl LicenceSheet {
    /// Reads a sheet whole, or tells all that is wrong with it; `file` names it in messages.
    pub fn read(file: &str, text: &str) -> Result<LicenceSheet, String> {
        #[derive(Deserialize)]
        struct RawTerm {
            from: String,
            until: String,
            gateways: Vec<u32>,
            block: u32,
            licences: Vec<Licence>,
        }
        #[derive(Deserialize)]
        struct At {
            gateway: u32,
            uri: String,
        }
        #[derive(Deserialize)]
        struct Raw {
            at: Option<Vec<At>>,
            terms: Vec<RawTerm>,
        }
        let schema = Schema::new("sheet.cue", SCHEMA).map_err(|p| p.to_string())?;
        let raw: Raw = schema.load("#Sheet", file, text).map_err(|p| p.to_string())?;
        let (mut wrong, mut sheet) = (Vec::new(), LicenceSheet::default());
        let mut must = |holds: bool, field: String, rule: &str, found: String| {
            if !holds {
                wrong.push(format!("{file}: {field}: {rule}, found {found}"));
            }
        };
        for (k, term) in raw.terms.into_iter().enumerate() {
            let mut time = |name: &str, text: &str| {
                let read = text.parse::<jiff::Timestamp>().ok().map(|t| t.as_microsecond());
                let field = format!("terms[{k}].{name}");
                must(read.is_some(), field, "must be a time as in 2026-12-01T08:00:00Z", format!("{text:?}"));
                read.unwrap_or(0)
            };
            let (from, until) = (time("from", &term.from), time("until", &term.until));
            must(from < until, format!("terms[{k}].until"), "must be after `from`", term.until);
            let before = sheet.terms.last().map_or(Micros::MIN, |t: &Term| t.until);
            must(
                from >= before,
                format!("terms[{k}].from"),
                "must not be before the last term's end",
                term.from,
            );
            let mut gateways = term.gateways.clone();
            gateways.sort_unstable();
            gateways.dedup();
            let once = gateways.len() == term.gateways.len();
            must(
                once,
                format!("terms[{k}].gateways"),
                "must be given once each",
                format!("{:?}", term.gateways),
            );
            let mut licences = BTreeMap::new();
            for (l, licence) in term.licences.into_iter().enumerate() {
                let field = format!("terms[{k}].licences[{l}].name");
                let name = licence.name.clone();
                must(licences.insert(name.clone(), licence).is_none(), field, "must be given once", name);
            }
            sheet.terms.push(Term { from, until, gateways, block: term.block, licences });
        }
        for (k, at) in raw.at.unwrap_or_default().into_iter().enumerate() {
            let web = at.uri.starts_with("http://") || at.uri.starts_with("https://");
            let sane = web && !at.uri.contains(|c: char| c.is_control() || c.is_whitespace());
            must(
                sane,
                format!("at[{k}].uri"),
                "must begin with http:// or https://",
                format!("{:?}", at.uri),
            );
            let uri = at.uri.trim_end_matches('/').to_owned();
            let twice = sheet.at.insert(at.gateway, uri).is_some();
            must(!twice, format!("at[{k}].gateway"), "must be given once", at.gateway.to_string());
        }
        if wrong.is_empty() { Ok(sheet) } else { Err(wrong.join("\n")) }
    }

    /// The term in force by a clock that is taken as right.
    pub fn now(&self, wall: Micros) -> Option<usize> {
        self.terms.iter().position(|t| t.from <= wall && wall < t.until)
    }

    /// Who counts a holder's seat now, if that is the same for every clock that differs by the skew, and was for the
    /// `hold` before: a gateway that was killed could not end what it let play, which may go on for so long. Where a
    /// term turns and the seat moves nobody is named meanwhile.
    pub fn place(
        &self,
        licence: &str,
        holder: &str,
        wall: Micros,
        skew: Micros,
        hold: Micros,
    ) -> Option<Place> {
        let (oldest, first) = (self.now(wall - skew - hold)?, self.now(wall - skew)?);
        let last = self.now(wall + skew)?;
        let joined = (oldest..last).all(|k| self.terms[k].until == self.terms[k + 1].from);
        let one = |k: usize| self.terms[k].licences.get(licence).map(|l| (l, self.terms[k].place(l, holder)));
        let (of, place) = one(first)?;
        let parts = |k: usize, l: &Licence| l.parts(self.terms[k].block);
        // Of what is over only who counted matters, of what may be in force already all of it.
        let before = |k| one(k).is_none_or(|(l, p)| p == place && parts(k, l) == parts(first, of));
        let same = |k: usize| self.terms[k].block == self.terms[first].block && one(k) == Some((of, place));
        (joined && (oldest..first).all(before) && (first + 1..=last).all(same)).then_some(place)
    }

    /// Until when a gateway goes on counting a holder's seat, less the skew: over the turn of terms as far as they are
    /// known and name it again.
    pub fn counts_until(
        &self,
        licence: &str,
        holder: &str,
        me: u32,
        wall: Micros,
        skew: Micros,
    ) -> Option<Micros> {
        let now = self.now(wall)?;
        let mine = |t: &&Term| t.licences.get(licence).is_some_and(|l| t.place(l, holder).gateway == me);
        let mut until = None;
        for term in self.terms[now..].iter().take_while(mine) {
            if until.is_some_and(|until| until != term.from) {
                break;
            }
            until = Some(term.until);
        }
        until.map(|until| until - skew)
    }

    /// Whether `new` may stand in for this sheet at a moment: a term that has begun and is not over must stay as it is,
    /// since other gateways count by it.
    pub fn may_become(&self, new: &LicenceSheet, wall: Micros, skew: Micros) -> Result<(), String> {
        // What begins within the skew may have begun elsewhere.
        let begun = |t: &&Term| t.from <= wall + skew && wall < t.until + skew;
        for (k, term) in self.terms.iter().enumerate().filter(|(_, t)| begun(t)) {
            let same = new.terms.iter().any(|t| t == term);
            let cut = new.terms.iter().any(|t| t != term && t.from < term.until && term.from < t.until);
            if !same && (cut || term.until > wall) {
                return Err(format!("terms[{k}] has begun: it must stay as it is until its end"));
            }
        }
        Ok(())
    }
}

#[cfg(test)]
#[path = "../tests/unit/sheet.rs"]
mod tests;
