//! Exports: numbered, prepared, and handed over once.

use super::{Accounts, Export, MOST_EXPORTED, Record, Refused};

impl Accounts {
    /// Sets apart what is new for the next export. One that is prepared goes first.
    pub fn prepare(&self) -> Result<Record, Refused> {
        let last = self.state.exports.last();
        if let Some(pending) = last.filter(|e| e.digest.is_none()) {
            return Err(Refused::Pending(pending.number));
        }
        let first = last.map_or(1, |e| e.last + 1);
        if first > self.state.entries {
            return Err(Refused::Nothing);
        }
        let last_entry = self.state.entries.min(first.saturating_add(MOST_EXPORTED - 1));
        Ok(Record::Prepared { export: last.map_or(1, |e| e.number + 1), first, last: last_entry })
    }

    /// An export was taken. A second time with the same bytes is no harm and needs no record.
    pub fn hand(&self, export: u64, digest: &str) -> Result<Option<Record>, Refused> {
        let known = self.state.exports.iter().find(|e| e.number == export).ok_or(Refused::Export)?;
        match &known.digest {
            None => Ok(Some(Record::Handed { export, digest: digest.into() })),
            Some(before) if before == digest => Ok(None),
            Some(_) => Err(Refused::Export),
        }
    }

    /// How many entries stand in exports that were handed over, from the first on.
    pub fn handed(&self) -> u64 {
        let handed = self.state.exports.iter().take_while(|e| e.digest.is_some());
        handed.last().map_or(0, |e| e.last).max(self.state.kept.1)
    }

    /// Entries that an export still awaits.
    pub fn waiting(&self) -> u64 {
        self.state.entries.saturating_sub(self.handed())
    }

    /// Lets go of old segments. `begins` tells of those that might be the first to be kept, rising, how many entries
    /// were made before each. Only what was handed over goes; open sessions stand in the state that a segment begins
    /// with.
    pub fn let_go(&self, begins: &[(u64, u64)]) -> Option<Record> {
        let handed = self.handed();
        let &(before, entries) = begins.iter().rfind(|(_, entries)| *entries <= handed)?;
        (before > self.state.kept.0).then_some(Record::Dropped { before, entries })
    }

    pub fn exports(&self) -> &[Export] {
        &self.state.exports
    }
}
