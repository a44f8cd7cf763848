//! Totals of a period.

use serde::{Deserialize, Serialize};

use super::Entry;
use crate::Micros;

/// Sums of a tenant in a period.
#[derive(Clone, PartialEq, Eq, Default, Debug, Serialize, Deserialize)]
pub struct Total {
    pub entries: u64,
    pub uses: i64,
    pub at_rung: Vec<Micros>,
    #[serde(default)]
    pub bytes: i64,
}

impl Total {
    pub fn add(&mut self, entry: &Entry) {
        self.sum(1, entry.uses, &entry.at_rung, entry.bytes.unwrap_or(0));
    }

    pub fn merge(&mut self, other: &Total) {
        self.sum(other.entries, other.uses, &other.at_rung, other.bytes);
    }

    pub(super) fn sum(&mut self, entries: u64, uses: i64, at_rung: &[Micros], bytes: i64) {
        self.entries = self.entries.saturating_add(entries);
        self.uses = self.uses.saturating_add(uses);
        self.bytes = self.bytes.saturating_add(bytes);
        if self.at_rung.len() < at_rung.len() {
            self.at_rung.resize(at_rung.len(), 0);
        }
        self.at_rung.iter_mut().zip(at_rung).for_each(|(sum, one)| *sum = sum.saturating_add(*one));
    }

    /// Time at all rungs.
    pub fn time(&self) -> Micros {
        self.at_rung.iter().fold(0, |sum: Micros, one| sum.saturating_add(*one))
    }
}
