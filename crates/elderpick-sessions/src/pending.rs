//! Messages that wait for a connection, bounded in number and in time.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::ops::RangeBounds;

use elderpick_core::api::Micros;

/// Keeps messages in order until they can be sent. The oldest make room for new ones.
#[derive(Debug)]
pub struct PendingQueue<T> {
    items: VecDeque<(Micros, T)>,
    most: usize,
    lasts: Micros,
    /// Messages that were dropped at the bound or had become too old.
    pub dropped: u64,
}

impl<T> PendingQueue<T> {
    /// Keeps `most` messages at most, each for `lasts`.
    pub fn new(most: usize, lasts: Micros) -> PendingQueue<T> {
        PendingQueue { items: VecDeque::new(), most, lasts, dropped: 0 }
    }

    /// Adds a message behind the others; the oldest makes room where there is none.
    pub fn push(&mut self, now: Micros, item: T) {
        self.expire(now);
        if self.items.len() >= self.most {
            self.items.pop_front();
            self.dropped += 1;
        }
        self.items.push_back((now, item));
    }

    /// The oldest message that is not too old.
    pub fn pop(&mut self, now: Micros) -> Option<T> {
        self.expire(now);
        self.items.pop_front().map(|(_, item)| item)
    }

    /// All that is not too old, the oldest first.
    pub fn take(&mut self, now: Micros) -> impl Iterator<Item = T> {
        self.expire(now);
        std::mem::take(&mut self.items).into_iter().map(|(_, item)| item)
    }

    /// All that is kept and not too old, the oldest first.
    pub fn iter(&self, now: Micros) -> impl Iterator<Item = &T> {
        let fresh = move |at: &Micros| now - at <= self.lasts;
        self.items.iter().filter(move |(at, _)| fresh(at)).map(|(_, item)| item)
    }

    /// Whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.items.is_empty()
    }

    fn expire(&mut self, now: Micros) {
        while self.items.front().is_some_and(|(at, _)| now - at > self.lasts) {
            self.items.pop_front();
            self.dropped += 1;
        }
    }
}

/// What was of late, by key, bounded in number and in time. The oldest make room for new ones, and each look costs
/// the same however much is held.
#[derive(Debug)]
pub struct ExpiringMap<K, V = ()> {
    values: BTreeMap<K, (Micros, V)>,
    order: BTreeSet<(Micros, K)>,
    most: usize,
    lasts: Micros,
}

impl<K: Ord + Clone, V> ExpiringMap<K, V> {
    /// Holds `most` at most, each for `lasts`.
    pub fn new(most: usize, lasts: Micros) -> ExpiringMap<K, V> {
        ExpiringMap { values: BTreeMap::new(), order: BTreeSet::new(), most, lasts }
    }

    /// Holds it unless it is held already; it stays as old and as it is then.
    pub fn insert(&mut self, now: Micros, key: K, value: V) {
        self.make_room(now);
        if self.values.contains_key(&key) || self.most == 0 {
            return;
        }
        if self.values.len() >= self.most
            && let Some((_, oldest)) = self.order.pop_first()
        {
            self.values.remove(&oldest);
        }
        self.order.insert((now, key.clone()));
        self.values.insert(key, (now, value));
    }

    /// Holds it as of now, whatever was held of it before.
    pub fn renew(&mut self, now: Micros, key: K, value: V) {
        self.remove(now, &key);
        self.insert(now, key, value);
    }

    /// What is held for a key, if it is not too old.
    pub fn get(&self, now: Micros, key: &K) -> Option<&V> {
        self.values.get(key).filter(|(at, _)| now - at <= self.lasts).map(|(_, value)| value)
    }

    /// Whether anything is held for a key that is not too old.
    pub fn contains(&self, now: Micros, key: &K) -> bool {
        self.get(now, key).is_some()
    }

    /// Takes it out if it is still held.
    pub fn remove(&mut self, now: Micros, key: &K) -> Option<V> {
        self.make_room(now);
        let (at, value) = self.values.remove(key)?;
        self.order.remove(&(at, key.clone()));
        Some(value)
    }

    /// The keys of a range that are not too old.
    pub fn keys(&self, now: Micros, range: impl RangeBounds<K>) -> impl Iterator<Item = &K> {
        let fresh = move |at: &Micros| now - at <= self.lasts;
        self.values.range(range).filter(move |(_, (at, _))| fresh(at)).map(|(key, _)| key)
    }

    /// Drops what is too old.
    fn make_room(&mut self, now: Micros) {
        while let Some((_, key)) = self.order.first().filter(|(at, _)| now - at > self.lasts) {
            self.values.remove(key);
            self.order.pop_first();
        }
    }
}
