//! Servers by the cell whose titles they hold: a draw looks at holders of its title alone.

use std::collections::BTreeMap;

use rand_chacha::ChaCha8Rng;

use super::{ById, Controller, random_below};
use crate::api::{ServerId, Viewing};

/// Servers in no order, each found at once.
#[derive(Default)]
pub(super) struct ServerList {
    list: Vec<ServerId>,
    places: ById<usize>,
}

impl ServerList {
    pub(super) fn add(&mut self, id: &ServerId) {
        if !self.contains(id) {
            self.places.insert(id.clone(), self.list.len());
            self.list.push(id.clone());
        }
    }

    pub(super) fn remove(&mut self, id: &ServerId) {
        let Some(place) = self.places.remove(id) else { return };
        self.list.swap_remove(place);
        if let Some(moved) = self.list.get(place) {
            self.places.insert(moved.clone(), place);
        }
    }

    pub(super) fn contains(&self, id: &ServerId) -> bool {
        self.places.contains_key(id)
    }

    pub(super) fn all(&self) -> &[ServerId] {
        &self.list
    }
}

/// The servers that hold a title and may be sent to, by number.
pub(super) struct Holders<'a> {
    /// The lists of cells, each with the number of its first server.
    cells: Vec<(usize, &'a [ServerId])>,
    pub(super) count: usize,
}

impl<'a> Holders<'a> {
    fn new(lists: impl Iterator<Item = &'a [ServerId]>) -> Holders<'a> {
        let mut count = 0;
        let numbered = |list: &'a [ServerId]| {
            let first = count;
            count += list.len();
            (first, list)
        };
        let cells = lists.filter(|list| !list.is_empty()).map(numbered).collect();
        Holders { cells, count }
    }

    pub(super) fn get(&self, number: usize) -> &'a ServerId {
        let (first, list) = self.cells[self.cells.partition_point(|(first, _)| *first <= number) - 1];
        &list[number - first]
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = &'a ServerId> {
        self.cells.iter().flat_map(|(_, list)| list.iter())
    }

    /// All of them in a random order, each number drawn when it is asked for.
    pub(super) fn shuffled(&self) -> Shuffle {
        Shuffle { count: self.count, drawn: 0, moved: BTreeMap::new() }
    }
}

/// Numbers up to a count in a random order (Fisher and Yates), of which only those that moved are kept.
pub(super) struct Shuffle {
    count: usize,
    drawn: usize,
    moved: BTreeMap<usize, usize>,
}

impl Shuffle {
    pub(super) fn next(&mut self, rng: &mut ChaCha8Rng) -> Option<usize> {
        let place = self.drawn;
        if place >= self.count {
            return None;
        }
        self.drawn += 1;
        let other = place + random_below(rng, self.count - place);
        let at = |place: usize| self.moved.get(&place).copied().unwrap_or(place);
        let (here, there) = (at(place), at(other));
        self.moved.insert(other, here);
        Some(there)
    }
}

impl Controller {
    /// The cells that hold a title.
    pub(super) fn cells_of_title(&self, viewing: &Viewing) -> impl Iterator<Item = usize> + use<> {
        let (cells, home) = (self.cells(), viewing.home);
        (0..viewing.copies.min(cells)).map(move |copy| (home % cells + copy) % cells)
    }

    /// The servers that hold a title and may be sent to.
    pub(super) fn holders(&self, viewing: &Viewing) -> Holders<'_> {
        if viewing.copies >= self.cells() {
            return Holders::new(std::iter::once(self.up.all()));
        }
        Holders::new(
            self.cells_of_title(viewing).filter_map(|cell| self.up_by_cell.get(&cell).map(ServerList::all)),
        )
    }

    /// Those of them that may be cold. While the list may be old all may be.
    pub(super) fn cold_holders(&self, viewing: &Viewing) -> Vec<&ServerId> {
        if self.list_may_be_old {
            return self.holders(viewing).iter().collect();
        }
        let cells = self.cells_of_title(viewing).filter_map(|cell| self.cold_by_cell.get(&cell));
        cells.flatten().collect()
    }

    /// A server may be cold from now on.
    pub(super) fn note_cold(&mut self, id: &ServerId) {
        let Some(server) = self.servers.get(id).filter(|server| self.is_cold(server)) else { return };
        let cell = self.cell_of(server);
        if self.up.contains(id) {
            self.cold_by_cell.entry(cell).or_default().insert(id.clone());
        }
    }

    /// Forgets which of a title's holders were cold and are no longer.
    pub(super) fn forget_warm(&mut self, viewing: &Viewing) {
        for cell in self.cells_of_title(viewing) {
            let Some(mut cold) = self.cold_by_cell.remove(&cell) else { continue };
            cold.retain(|id| self.servers.get(id).is_some_and(|server| self.is_cold(server)));
            if !cold.is_empty() {
                self.cold_by_cell.insert(cell, cold);
            }
        }
    }
}
