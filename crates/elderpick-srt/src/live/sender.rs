//! The side that sends: data, keys and acknowledgements of the peer.

use bytes::Bytes;

use super::{LEAST_LATE, LEAST_NAK, Live, MOST_CONTROL, State};
use crate::Micros;
use crate::packet::{self, Control, Data, Key, MOST_PAYLOAD};
use crate::seq::Seq;

pub(super) struct Sent {
    pub(super) payload: Bytes,
    pub(super) key: Key,
    pub(super) stamp: u32,
    /// When it was taken, and when it went out last.
    taken: Micros,
    pub(super) went: Option<Micros>,
}

impl Live {
    // ---- What goes ----

    /// Takes a payload to be sent. `false`, and it is not taken, when the session takes no more or the window is full.
    pub fn send(&mut self, now: Micros, payload: &[u8]) -> bool {
        if self.state != State::Open || payload.len() > MOST_PAYLOAD {
            return false;
        }
        self.give_up_late(now);
        if self.sent.len() >= self.set.window as usize {
            self.counts.refused += 1;
            return false;
        }
        let position = self.first + self.sent.len() as u64;
        let mut payload = payload.to_vec();
        if let Some((keys, _)) = &self.set.keys {
            keys.apply(self.key, self.own_seq(position), &mut payload);
            self.with_key += 1;
        }
        if self.sent.is_empty() {
            self.progress = now;
        }
        let stamp = (now - self.began) as u32;
        let payload = payload.into();
        self.sent.push_back(Sent { payload, key: self.key, stamp, taken: now, went: None });
        true
    }

    pub(super) fn own_seq(&self, position: u64) -> Seq {
        self.set.own.plus((position & 0x7fff_ffff) as u32)
    }

    pub(super) fn own_position(&self, seq: Seq) -> u64 {
        let ahead = seq.since(self.own_seq(self.first));
        self.first.saturating_add_signed(i64::from(ahead))
    }

    /// Lets go of what is acknowledged, before a position.
    pub(super) fn let_go(&mut self, upto: u64) {
        while self.first < upto && self.sent.pop_front().is_some() {
            self.first += 1;
        }
        self.fresh = self.fresh.max(self.first);
        self.again = self.again.split_off(&self.first);
    }

    fn late_after(&self) -> Micros {
        (self.set.latency_out + self.set.latency_out / 4).max(LEAST_LATE)
    }

    pub(super) fn give_up_late(&mut self, now: Micros) {
        let late = self.late_after();
        let count = self.sent.iter().take_while(|s| now - s.taken > late).count() as u64;
        if count > 0 {
            self.counts.too_late += count;
            self.let_go(self.first + count);
        }
    }

    /// Whether the other side should be given a new key, and how long it is: see [`Live::renew_key`].
    pub fn wants_key(&self) -> Option<usize> {
        let due = self.set.renew_after > 0 && self.with_key >= self.set.renew_after;
        let (keys, _) = self.set.keys.as_ref().filter(|_| due && self.offered.is_none())?;
        Some(keys.length()).filter(|_| !self.in_use(self.other_key()))
    }

    fn other_key(&self) -> Key {
        if self.key == Key::Even { Key::Odd } else { Key::Even }
    }

    /// Whether something that may be sent again was encrypted by a key: the other side must not lose that one.
    fn in_use(&self, key: Key) -> bool {
        self.sent.iter().any(|sent| sent.key == key)
    }

    /// Offers a new key. It is sent until it is acknowledged, and only then used.
    pub fn renew_key(&mut self, now: Micros, key: &[u8]) -> bool {
        let Some((keys, _)) = &self.set.keys else { return false };
        let (which, mut next) = (self.other_key(), keys.clone());
        if self.offered.is_some() || self.in_use(which) || !next.renew(which, key) {
            return false;
        }
        self.offered = Some((next, which, now));
        self.offer(now);
        true
    }

    pub(super) fn offer(&mut self, now: Micros) {
        let Some((_, secret)) = &self.set.keys else { return };
        let Some((next, _, due)) = &mut self.offered else { return };
        *due = now + self.rtt + self.rtt / 2 + LEAST_NAK;
        if let Some(content) = next.wrap(secret) {
            self.queue(Control::Keys { answer: false, content });
        }
    }

    pub(super) fn queue(&mut self, control: Control) {
        // A later one of the kind tells all that this one would.
        if self.control.len() < MOST_CONTROL {
            self.control.push_back(control);
        }
    }

    /// Writes the next datagram that is to go now into an empty buffer. Called until it says `false`.
    pub fn transmit(&mut self, now: Micros, out: &mut Vec<u8>) -> bool {
        let stamp = (now - self.began) as u32;
        if let Some(control) = self.control.pop_front() {
            packet::write_control(out, &control, stamp, self.set.to);
            self.last_sent = now;
            return true;
        }
        if self.is_over() {
            return false;
        }
        while let Some(position) = self.again.pop_first() {
            if position >= self.first && self.write(now, position, true, out) {
                return true;
            }
        }
        let window = u64::from(self.set.window.min(self.room.max(1)));
        if self.fresh < self.first + (self.sent.len() as u64).min(window) {
            self.fresh += 1;
            return self.write(now, self.fresh - 1, false, out);
        }
        false
    }

    fn write(&mut self, now: Micros, position: u64, again: bool, out: &mut Vec<u8>) -> bool {
        let (seq, to) = (self.own_seq(position), self.set.to);
        let Some(sent) = self.sent.get_mut((position - self.first) as usize) else { return false };
        sent.went = Some(now);
        let message = (position as u32).wrapping_add(1) & 0x3ff_ffff;
        let (key, stamp, payload) = (sent.key, sent.stamp, &*sent.payload);
        packet::write_data(out, &Data { seq, key, again, message, stamp, to, payload });
        self.counts.sent += 1;
        self.counts.again += u64::from(again);
        self.last_sent = now;
        true
    }
}
