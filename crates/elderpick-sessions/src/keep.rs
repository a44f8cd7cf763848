//! Words that wait for a connection, bounded in number and in time.

use std::collections::{BTreeSet, VecDeque};

use elderpick_core::api::Micros;

/// Keeps words in order until they can be said. The oldest make room for new ones.
#[derive(Debug)]
pub struct Kept<T> {
    words: VecDeque<(Micros, T)>,
    most: usize,
    lasts: Micros,
    /// Words that were dropped at the bound or had become too old.
    pub dropped: u64,
}

impl<T> Kept<T> {
    /// Keeps `most` words at most, each for `lasts`.
    pub fn new(most: usize, lasts: Micros) -> Kept<T> {
        Kept { words: VecDeque::new(), most, lasts, dropped: 0 }
    }

    pub fn push(&mut self, now: Micros, word: T) {
        self.expire(now);
        if self.words.len() >= self.most {
            self.words.pop_front();
            self.dropped += 1;
        }
        self.words.push_back((now, word));
    }

    /// All that is still worth saying.
    pub fn take(&mut self, now: Micros) -> impl Iterator<Item = T> {
        self.expire(now);
        std::mem::take(&mut self.words).into_iter().map(|(_, word)| word)
    }

    /// Takes a word out if it is still kept; the others stay as old as they are.
    pub fn remove(&mut self, now: Micros, word: &T) -> bool
    where
        T: PartialEq,
    {
        self.expire(now);
        let at = self.words.iter().position(|(_, kept)| kept == word);
        at.and_then(|at| self.words.remove(at)).is_some()
    }

    /// Keeps a word unless it is kept already; it stays as old as it is then.
    pub fn push_once(&mut self, now: Micros, word: T)
    where
        T: PartialEq,
    {
        if !self.contains(now, &word) {
            self.push(now, word);
        }
    }

    /// Whether a word is still kept.
    pub fn contains(&self, now: Micros, word: &T) -> bool
    where
        T: PartialEq,
    {
        self.iter(now).any(|kept| kept == word)
    }

    /// All that is kept and not too old, the oldest first.
    pub fn iter(&self, now: Micros) -> impl Iterator<Item = &T> {
        let fresh = move |at: &Micros| now - at <= self.lasts;
        self.words.iter().filter(move |(at, _)| fresh(at)).map(|(_, word)| word)
    }

    pub fn is_empty(&self) -> bool {
        self.words.is_empty()
    }

    fn expire(&mut self, now: Micros) {
        while self.words.front().is_some_and(|(at, _)| now - at > self.lasts) {
            self.words.pop_front();
            self.dropped += 1;
        }
    }
}

/// Numbers that were used of late, bounded in number and in time. The oldest make room for new ones.
#[derive(Debug)]
pub struct Used {
    numbers: BTreeSet<u64>,
    order: VecDeque<(Micros, u64)>,
    most: usize,
    lasts: Micros,
}

impl Used {
    /// Knows `most` numbers at most, each for `lasts`.
    pub fn new(most: usize, lasts: Micros) -> Used {
        Used { numbers: BTreeSet::new(), order: VecDeque::new(), most, lasts }
    }

    pub fn push(&mut self, now: Micros, number: u64) {
        if !self.numbers.insert(number) {
            return;
        }
        self.order.push_back((now, number));
        let old = |at: &Micros| now - at > self.lasts;
        while self.order.len() > self.most || self.order.front().is_some_and(|(at, _)| old(at)) {
            let Some((_, number)) = self.order.pop_front() else { break };
            self.numbers.remove(&number);
        }
    }

    pub fn contains(&self, number: u64) -> bool {
        self.numbers.contains(&number)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_oldest_words_make_room_and_old_ones_are_not_said() {
        let mut kept = Kept::new(2, 100);
        (0..3).for_each(|k| kept.push(k, k));
        assert_eq!((kept.take(50).collect::<Vec<_>>(), kept.dropped), (vec![1, 2], 1));
        kept.push(60, 7);
        kept.push(60, 8);
        assert!(kept.remove(100, &8) && !kept.remove(100, &8), "once");
        assert_eq!((kept.take(161).count(), kept.dropped, kept.is_empty()), (0, 2, true));
    }

    #[test]
    fn numbers_are_known_until_they_are_old_or_make_room() {
        let mut used = Used::new(2, 100);
        (0..3).for_each(|k| used.push(k, k as u64));
        assert_eq!([0, 1, 2].map(|k| used.contains(k)), [false, true, true]);
        used.push(3, 2);
        assert!(used.contains(1), "a number that is known takes no room");
        used.push(150, 7);
        assert_eq!([1, 2, 7].map(|k| used.contains(k)), [false, false, true]);
    }
}
