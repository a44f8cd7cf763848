//! Records in numbered segments, each chained to the one before, on a disk that may fail at any time.
//!
//! Nothing is ever written behind what a failed write or sync may have left: the segment is cut where it was known to be
//! good, and the next record begins another one. Each begins with what was known by then, so that a start reads one of
//! them and old ones can be let go. A segment that is not the last one therefore always ends whole; if it
//! does not, or one is missing, that is damage and is told.

use std::fmt::Display;

use crate::accounts::{Record, State};
use crate::chain::{self, End, Link};

/// Where segments are kept, by number from 1.
pub trait Disk {
    type Error: Display;
    /// Makes an empty segment in the place of whatever has its number, safe from a loss of power.
    fn begin(&mut self, segment: u64) -> Result<(), Self::Error>;
    fn append(&mut self, segment: u64, bytes: &[u8]) -> Result<(), Self::Error>;
    /// What was appended outlives a loss of power.
    fn sync(&mut self, segment: u64) -> Result<(), Self::Error>;
    /// Cuts a segment to a length, safe from a loss of power.
    fn cut(&mut self, segment: u64, length: u64) -> Result<(), Self::Error>;
    fn remove(&mut self, segment: u64) -> Result<(), Self::Error>;
    fn read(&self, segment: u64) -> Result<Vec<u8>, Self::Error>;
    /// The first line of a segment with its end, or all that there is of it.
    fn head(&self, segment: u64) -> Result<Vec<u8>, Self::Error>;
    /// The numbers that there are, rising, and the bytes of each.
    fn segments(&self) -> Result<Vec<(u64, u64)>, Self::Error>;
}

/// Why segments cannot be read.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum Unread<E> {
    Disk(E),
    /// It is not what was written there.
    Damaged {
        segment: u64,
        line: usize,
    },
    /// It is not there, and was not let go.
    Missing {
        segment: u64,
    },
}

impl<E: Display> Display for Unread<E> {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Unread::Disk(why) => write!(f, "{why}"),
            Unread::Damaged { segment, line } => {
                write!(f, "{segment:08}.jsonl:{line}: it is not what was written here")
            }
            Unread::Missing { segment } => {
                write!(f, "{segment:08}.jsonl: missing, and later ones are there")
            }
        }
    }
}

/// Where a ledger goes on.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct Place {
    pub segment: u64,
    pub length: u64,
    pub link: Link,
}

/// Where reading begins.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum From {
    /// The oldest segment that is kept: every line is checked, and each state against the records before it.
    Oldest,
    /// The newest segment that tells what was known when it began.
    Newest,
    /// The newest segment that began before this entry was made.
    Entry(u64),
}

/// The state at the head of a segment, if it is there whole, and the link that the chain had.
fn state_of(head: &[u8]) -> Option<(String, Link, State)> {
    let content = head.strip_suffix(b"\n")?.splitn(2, |&b| b == b' ').nth(1)?;
    match serde_json::from_slice(content).ok()? {
        Record::State { gateway, after, state } => Some((gateway, after, *state)),
        _ => None,
    }
}

/// How many entries were made before each segment that tells so, rising.
pub fn index<D: Disk>(disk: &D) -> Result<Vec<(u64, u64)>, D::Error> {
    let mut known = Vec::new();
    for (segment, _) in disk.segments()? {
        if let Some((_, _, state)) = state_of(&disk.head(segment)?) {
            known.push((segment, state.entries()));
        }
    }
    Ok(known)
}

/// Reads records in order from a place on. The first one may be a state, which stands for all before it. A line that is
/// not finished at the very end was never acknowledged. `take` says whether more is wanted; after a segment in which it
/// said no, reading ends.
pub fn read<D: Disk>(
    disk: &D,
    gateway: &str,
    from: From,
    mut take: impl FnMut(&Record) -> bool,
) -> Result<Place, Unread<D::Error>> {
    let mut place = Place { segment: 0, length: 0, link: Link::first(gateway) };
    let there: Vec<u64> = disk.segments().map_err(Unread::Disk)?.into_iter().map(|s| s.0).collect();
    let (Some(&oldest), Some(&last)) = (there.first(), there.last()) else { return Ok(place) };
    // One that could not be written to is empty: reading begins at a state, or at the very first one.
    let tells = |segment: u64| disk.head(segment).map_err(Unread::Disk).map(|head| state_of(&head));
    let mut first = None;
    if from == From::Oldest && oldest > 1 {
        for &segment in &there {
            if tells(segment)?.is_some() {
                first = Some(segment);
                break;
            }
        }
    } else if from != From::Oldest {
        let fits = |s: &State| !matches!(from, From::Entry(number) if s.entries() >= number);
        for &segment in there.iter().rev() {
            if tells(segment)?.is_some_and(|(_, _, state)| fits(&state)) {
                first = Some(segment);
                break;
            }
        }
    }
    let first = first.unwrap_or(oldest);
    let (mut kept, mut more) = (1, true);
    for segment in first..=last {
        if there.binary_search(&segment).is_err() {
            return Err(Unread::Missing { segment });
        }
        let text = disk.read(segment).map_err(Unread::Disk)?;
        if segment == first {
            let end = text.iter().position(|&b| b == b'\n').map_or(text.len(), |k| k + 1);
            match state_of(&text[..end]) {
                Some((name, after, _)) if name == gateway => place.link = after,
                // The very first one may have been written without.
                None if segment == 1 => {}
                _ => return Err(Unread::Damaged { segment, line: 1 }),
            }
        }
        let (link, good, end) = chain::read(&text, &place.link, |record: Record| {
            match &record {
                Record::State { state, .. } => kept = kept.max(state.kept_from()),
                Record::Dropped { before, .. } => kept = kept.max(*before),
                _ => {}
            }
            more = take(&record);
        });
        match end {
            End::Damaged { line } => return Err(Unread::Damaged { segment, line }),
            End::Torn if segment < last => {
                let line = text.iter().filter(|&&b| b == b'\n').count() + 1;
                return Err(Unread::Damaged { segment, line });
            }
            End::Torn | End::Whole => {}
        }
        place = Place { segment, length: good as u64, link };
        if !more {
            return Ok(place);
        }
    }
    if from == From::Oldest && first > kept {
        let damaged = there.binary_search(&kept).is_ok();
        let line = 1;
        return Err(if damaged {
            Unread::Damaged { segment: kept, line }
        } else {
            Unread::Missing { segment: kept }
        });
    }
    // What was let go may be gone, and nothing else.
    match (kept..=last).find(|segment| there.binary_search(segment).is_err()) {
        Some(segment) => Err(Unread::Missing { segment }),
        None => Ok(place),
    }
}

pub struct Segments<D> {
    pub disk: D,
    gateway: String,
    most: u64,
    place: Place,
    /// The last segment may be written to.
    open: bool,
}

impl<D: Disk> Segments<D> {
    /// Goes on from a place, in a new segment. Segments are begun when they are longer than `most` bytes.
    pub fn new(disk: D, gateway: &str, most: u64, place: Place) -> Segments<D> {
        Segments { disk, gateway: gateway.into(), most, place, open: false }
    }

    fn next(&mut self) -> Result<(), D::Error> {
        if self.place.segment > 0 {
            self.disk.cut(self.place.segment, self.place.length)?;
        }
        self.disk.begin(self.place.segment + 1)?;
        (self.place.segment, self.place.length, self.open) = (self.place.segment + 1, 0, true);
        Ok(())
    }

    /// The segment that is written.
    pub fn segment(&self) -> u64 {
        self.place.segment
    }

    /// Writes and syncs records. After an `Err` none of them counts, though a reader after a crash may find them.
    /// `state` is what all records before them come to; each segment begins with it.
    pub fn append(&mut self, state: &State, records: &[Record]) -> Result<(), D::Error> {
        if records.is_empty() {
            return Ok(());
        }
        let (mut text, mut link) = (Vec::new(), self.place.link.clone());
        if !self.open || self.place.length > self.most {
            self.open = false;
            self.next()?;
            let (gateway, after) = (self.gateway.clone(), link.clone());
            let head = Record::State { gateway, after, state: Box::new(state.clone()) };
            link = chain::append(&mut text, &link, &head);
        }
        records.iter().for_each(|record| link = chain::append(&mut text, &link, record));
        self.open = false;
        self.disk.append(self.place.segment, &text)?;
        self.disk.sync(self.place.segment)?;
        self.open = true;
        (self.place.link, self.place.length) = (link, self.place.length + text.len() as u64);
        Ok(())
    }

    /// Removes what was let go. It is no harm if that fails: it is tried again at the next one.
    pub fn remove_before(&mut self, kept: u64) -> Result<(), D::Error> {
        for (segment, _) in self.disk.segments()? {
            if segment < kept {
                self.disk.remove(segment)?;
            }
        }
        Ok(())
    }
}

#[cfg(test)]
#[path = "../tests/unit/segments.rs"]
mod tests;
