//! Periods: spans of time that are billed together, by the calendar of a place.

use jiff::civil::Date;
use jiff::tz::TimeZone;
use jiff::{Timestamp, ToSpan};
use serde::{Deserialize, Serialize};

use crate::Micros;

/// How long periods are.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Every {
    Day,
    Month,
}

/// One period: from its first moment up to but not with the next one's.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub struct Period {
    /// As `2026-12` or `2026-12-01`; names sort as time does.
    pub name: String,
    pub from: Micros,
    pub until: Micros,
}

#[derive(Clone, Debug)]
pub struct Calendar {
    name: String,
    zone: TimeZone,
    every: Every,
    /// Entries of a period are taken so long after its end.
    pub lateness: Micros,
}

/// Moments beyond which there is no calendar, some thousand years from now either way.
const LAST: Micros = 200_000_000_000_000_000;

impl Calendar {
    /// `zone` is a name of the IANA database, as `Europe/Dublin`.
    pub fn new(zone: &str, every: Every, lateness: Micros) -> Result<Calendar, String> {
        let name = format!("{zone} by {every:?}").to_lowercase();
        let zone = TimeZone::get(zone).map_err(|why| format!("{zone:?} is no time zone: {why}"))?;
        Ok(Calendar { name, zone, every, lateness: lateness.max(0) })
    }

    /// What cuts time: the zone, and how long periods are.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// The first moment of a day here. Where a day begins in a gap of the clock, the moment after the gap.
    fn begin(&self, day: Date) -> Micros {
        let first = self.zone.to_ambiguous_timestamp(day.at(0, 0, 0, 0)).compatible();
        first.map_or(LAST, Timestamp::as_microsecond)
    }

    /// The period that a moment belongs to.
    pub fn period(&self, wall: Micros) -> Period {
        let moment = Timestamp::from_microsecond(wall.clamp(-LAST, LAST)).unwrap_or_default();
        let day = self.zone.to_datetime(moment).date();
        let (first, next, name) = match self.every {
            Every::Day => (day, day.checked_add(1.day()), day.to_string()),
            Every::Month => {
                let first = day.first_of_month();
                (first, first.checked_add(1.month()), format!("{:04}-{:02}", first.year(), first.month()))
            }
        };
        Period { name, from: self.begin(first), until: next.map_or(LAST, |next| self.begin(next)) }
    }

    /// When a period closes.
    pub fn closes(&self, period: &Period) -> Micros {
        period.until.saturating_add(self.lateness)
    }

    /// Cuts a span into its parts by period: where each begins and how long it is. The parts follow one another and
    /// add up to the whole; a span of nothing has one part of nothing.
    pub fn split(&self, from: Micros, span: Micros) -> Vec<(Period, Micros, Micros)> {
        // Beyond the calendar's ends nothing is cut.
        let (mut at, end) = (from, from.saturating_add(span.max(0)));
        let mut parts = Vec::new();
        loop {
            let period = self.period(at);
            let until = period.until.min(end);
            if until >= end || until <= at {
                parts.push((period, at, end.saturating_sub(at)));
                return parts;
            }
            parts.push((period, at, until - at));
            at = until;
        }
    }
}

#[cfg(test)]
#[path = "../tests/unit/calendar.rs"]
mod tests;
