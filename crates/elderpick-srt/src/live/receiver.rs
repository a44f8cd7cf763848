//! The side that receives: data, gaps, and when each packet is due.

use bytes::Bytes;

use super::{ACK, DRIFT_SAMPLES, LIGHT, Live, MOST_ACKS, MOST_GAPS};
use crate::Micros;
use crate::keys::Keys;
use crate::packet::{Control, Data, Key, Told};
use crate::seq::{Seq, unwrap_time};

pub(super) struct Came {
    pub(super) payload: Bytes,
    pub(super) due: Micros,
}

impl Live {
    pub(super) fn offered_keys(&mut self, content: Vec<u8>) {
        let Some((keys, secret)) = &mut self.set.keys else { return };
        match Keys::unwrap(secret, &content) {
            Ok(next) if next.length() == keys.length() => {
                *keys = next;
                self.counts.keys += 1;
                self.queue(Control::Keys { answer: true, content });
            }
            // As the draft's state of a bad secret; the old keys stay.
            _ => self.queue(Control::Keys { answer: true, content: 4u32.to_be_bytes().to_vec() }),
        }
    }

    pub(super) fn drifted(&mut self, now: Micros, stamp: u32) {
        let time = unwrap_time(self.peer_time, stamp);
        let (sum, count) = &mut self.drift;
        (*sum, *count) = (*sum + now - (self.base + time) - self.rtt / 2, *count + 1);
        if *count == DRIFT_SAMPLES {
            self.base += (*sum / *count).clamp(-ACK / 2, ACK / 2);
            self.drift = (0, 0);
        }
    }

    fn peer_seq(&self, position: u64) -> Seq {
        self.set.peer.plus((position & 0x7fff_ffff) as u32)
    }

    pub(super) fn peer_position(&self, seq: Seq) -> u64 {
        let ahead = seq.since(self.peer_seq(self.high));
        self.high.saturating_add_signed(i64::from(ahead))
    }

    pub(super) fn data(&mut self, now: Micros, data: &Data<'_>) {
        // Before the first one there is nothing that a number could be behind.
        if self.high == 0 && data.seq.is_before(self.set.peer) {
            return self.counts.odd += 1;
        }
        let position = self.peer_position(data.seq);
        if position < self.next {
            return self.counts.doubles += 1;
        }
        let at = (position - self.next) as usize;
        if at >= self.set.window as usize {
            return self.counts.refused += 1;
        }
        let time = unwrap_time(self.peer_time, data.stamp);
        self.peer_time = self.peer_time.max(time);
        if self.came.len() <= at {
            self.came.resize_with(at + 1, || None);
        }
        if self.came[at].is_some() {
            return self.counts.doubles += 1;
        }
        let mut payload = data.payload.to_vec();
        if data.key != Key::None || self.set.keys.is_some() {
            let keys = self.set.keys.as_ref();
            if !keys.is_some_and(|(keys, _)| keys.apply(data.key, data.seq, &mut payload)) {
                return self.counts.undecrypted += 1;
            }
        }
        self.counts.received += 1;
        let due = self.base + time + self.set.latency_in;
        self.came[at] = Some(Came { payload: payload.into(), due });
        self.missing.remove(&position);
        if position > self.high {
            let gap = (self.peer_seq(self.high), self.peer_seq(position - 1));
            self.missing.extend((self.high..position).map(|lost| (lost, now)));
            self.queue(Control::Nak(vec![gap]));
        }
        self.high = self.high.max(position + 1);
        self.ack_due = Some(self.ack_due.map_or(now + ACK, |due| due.min(now + ACK)));
        self.since_light += 1;
        if self.since_light >= LIGHT {
            self.since_light = 0;
            let seq = self.peer_seq(self.whole_upto());
            self.queue(Control::Ack { number: 0, seq, full: None });
        }
    }

    /// All before this position came, or is not waited for.
    fn whole_upto(&self) -> u64 {
        self.missing.first_key_value().map_or(self.high, |m| *m.0).max(self.next)
    }

    /// The next payload whose time has come, in order.
    pub fn receive(&mut self, now: Micros) -> Option<Bytes> {
        // What is missing is passed over when the time of the one behind it has come.
        let k = self.came.iter().position(Option::is_some)?;
        if self.came[k].as_ref().is_none_or(|came| now < came.due) {
            return None;
        }
        self.came.drain(..k);
        self.next += k as u64 + 1;
        self.missing = self.missing.split_off(&self.next);
        self.counts.passed_over += k as u64;
        self.counts.delivered += 1;
        self.came.pop_front().flatten().map(|came| came.payload)
    }

    pub(super) fn acknowledge(&mut self, now: Micros) {
        let upto = self.whole_upto();
        self.ack_due = None;
        // It goes again until its answer comes: it may be lost, and tells where the other side stands.
        let answered = self.acks.is_empty();
        if upto == self.acked && answered {
            return;
        }
        self.acked = upto;
        self.ack_number = self.ack_number.wrapping_add(1).max(1);
        if self.acks.len() == MOST_ACKS {
            self.acks.pop_front();
        }
        self.acks.push_back((self.ack_number, now));
        let room = self.set.window.saturating_sub(self.came.len() as u32);
        let (rtt, variance) = (self.rtt as u32, self.variance as u32);
        let full = Told { rtt, variance, room, packets_a_second: 0, capacity: 0, bytes_a_second: 0 };
        let seq = self.peer_seq(upto);
        self.queue(Control::Ack { number: self.ack_number, seq, full: Some(full) });
        self.ack_due = Some(now + (self.rtt + 4 * self.variance).max(ACK));
    }

    pub(super) fn ask_again(&mut self, now: Micros) {
        let every = self.nak_every();
        let mut gaps: Vec<(Seq, Seq)> = Vec::new();
        let (mut last, mut asked, mut asked_gaps) = (None, Vec::new(), 0);
        for (&position, &at) in &self.missing {
            if now - at < every {
                continue;
            }
            let seq = self.peer_seq(position);
            match gaps.last_mut() {
                Some(gap) if last == Some(position - 1) => gap.1 = seq,
                _ if asked_gaps == MOST_GAPS => break,
                _ => {
                    asked_gaps += 1;
                    gaps.push((seq, seq));
                }
            }
            last = Some(position);
            asked.push(position);
        }
        self.missing.extend(asked.into_iter().map(|position| (position, now)));
        if !gaps.is_empty() {
            self.queue(Control::Nak(gaps));
        }
    }
}
