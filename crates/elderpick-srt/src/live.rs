//! A live session after its handshake: packets in order and in time, section 4 of the draft.
//!
//! The sender keeps what it sent until it is acknowledged or too late (4.6), and sends again what a NAK tells is missing
//! (4.8). The receiver gives each packet out at its own time (4.5): the sender's timestamp, the latency, and how the
//! clocks of the two drift apart (4.7). What has not come by then is passed over.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use bytes::Bytes;

use crate::Micros;
use crate::keys::{Keys, Passphrase};
use crate::packet::{self, Control, Data, Key, MOST_PAYLOAD, Packet, Told};
use crate::seq::{Seq, unwrap_time};

/// What two sides agreed on.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The other side's socket.
    pub to: u32,
    /// Numbers of the first packets, own and the other side's.
    pub own: Seq,
    pub peer: Seq,
    /// The timestamp of the other side's last handshake packet, and when it came.
    pub peer_stamp: u32,
    /// Delay of what comes, and of what goes.
    pub latency_in: Micros,
    pub latency_out: Micros,
    /// Packets that are kept at most, each way.
    pub window: u32,
    /// The session ends when nothing is heard for so long.
    pub idle: Micros,
    pub keys: Option<(Keys, Passphrase)>,
    /// A new key is wanted after so many packets sent; 0 for never.
    pub renew_after: u64,
}

/// How a session stands.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum State {
    Open,
    /// No more is taken to be sent; what was is still on its way.
    Finishing,
    /// Over: closed here, by the other side, or since nothing was heard.
    Closed,
    ClosedByPeer,
    Silent,
}

/// Counts of a session.
#[derive(Clone, Copy, PartialEq, Eq, Default, Debug)]
pub struct Counts {
    pub sent: u64,
    pub again: u64,
    pub received: u64,
    pub doubles: u64,
    /// Given out, and passed over since they did not come in time.
    pub delivered: u64,
    pub passed_over: u64,
    /// Given up by the sender, or not taken since the window was full.
    pub too_late: u64,
    pub refused: u64,
    /// Malformed, or not for this session.
    pub odd: u64,
    pub undecrypted: u64,
    pub keys: u64,
}

struct Sent {
    payload: Bytes,
    key: Key,
    stamp: u32,
    /// When it was taken, and when it went out last.
    taken: Micros,
    went: Option<Micros>,
}

struct Came {
    payload: Bytes,
    due: Micros,
}

/// Times of the draft: full acknowledgements (3.2.4), keep-alives (3.2.3), the shortest time between NAKs (4.8.2).
const ACK: Micros = 10_000;
const KEEP_ALIVE: Micros = 1_000_000;
const LEAST_NAK: Micros = 20_000;
/// A light acknowledgement goes after so many packets (4.8.1).
const LIGHT: u32 = 64;
/// What is to be sent is given up after 1.25 times the latency, and at the earliest after this (4.6).
const LEAST_LATE: Micros = 1_000_000;
const FIRST_RTT: Micros = 100_000;
/// Samples of a clock's drift that are averaged (4.7).
const DRIFT_SAMPLES: i64 = 1000;
/// Acknowledgements whose answer is awaited, control packets that wait to be sent, gaps of one NAK, and packets that one
/// time-out sends again.
const MOST_ACKS: usize = 64;
const MOST_CONTROL: usize = 64;
const MOST_GAPS: usize = 100;
const MOST_AGAIN: u64 = 64;

pub struct Live {
    set: Settings,
    state: State,
    began: Micros,
    control: VecDeque<Control>,
    last_sent: Micros,
    last_heard: Micros,
    /// Round-trip time and its variance.
    rtt: Micros,
    variance: Micros,
    pub counts: Counts,

    // What goes. Positions count packets from the session's first.
    sent: VecDeque<Sent>,
    first: u64,
    /// The next that never went out yet.
    fresh: u64,
    again: BTreeSet<u64>,
    room: u32,
    progress: Micros,
    doublings: u32,
    key: Key,
    /// Sent with this key; and key material that is not acknowledged yet.
    with_key: u64,
    offered: Option<(Keys, Key, Micros)>,

    // What comes.
    came: VecDeque<Option<Came>>,
    next: u64,
    /// One more than the highest that came.
    high: u64,
    missing: BTreeMap<u64, Micros>,
    peer_time: i64,
    base: Micros,
    drift: (i64, i64),
    acks: VecDeque<(u32, Micros)>,
    ack_number: u32,
    acked: u64,
    ack_due: Option<Micros>,
    since_light: u32,
}

impl Live {
    pub fn new(now: Micros, set: Settings) -> Live {
        let key = if set.keys.is_some() { Key::Even } else { Key::None };
        Live {
            state: State::Open,
            began: now,
            control: VecDeque::new(),
            last_sent: now,
            last_heard: now,
            rtt: FIRST_RTT,
            variance: FIRST_RTT / 2,
            counts: Counts::default(),
            sent: VecDeque::new(),
            first: 0,
            fresh: 0,
            again: BTreeSet::new(),
            room: set.window,
            progress: now,
            doublings: 0,
            key,
            with_key: 0,
            offered: None,
            came: VecDeque::new(),
            next: 0,
            high: 0,
            missing: BTreeMap::new(),
            peer_time: i64::from(set.peer_stamp),
            base: now - i64::from(set.peer_stamp),
            drift: (0, 0),
            acks: VecDeque::new(),
            ack_number: 0,
            acked: 0,
            ack_due: None,
            since_light: 0,
            set,
        }
    }

    pub fn state(&self) -> State {
        self.state
    }

    pub fn is_over(&self) -> bool {
        matches!(self.state, State::Closed | State::ClosedByPeer | State::Silent)
    }

    /// Smoothed round-trip time.
    pub fn rtt(&self) -> Micros {
        self.rtt
    }

    /// Packets that are kept to be sent again, and to be given out.
    pub fn held(&self) -> (usize, usize) {
        (self.sent.len(), self.came.iter().flatten().count())
    }

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

    fn own_seq(&self, position: u64) -> Seq {
        self.set.own.plus((position & 0x7fff_ffff) as u32)
    }

    fn own_position(&self, seq: Seq) -> u64 {
        let ahead = seq.since(self.own_seq(self.first));
        self.first.saturating_add_signed(i64::from(ahead))
    }

    /// Lets go of what is acknowledged, before a position.
    fn let_go(&mut self, upto: u64) {
        while self.first < upto && self.sent.pop_front().is_some() {
            self.first += 1;
        }
        self.fresh = self.fresh.max(self.first);
        self.again = self.again.split_off(&self.first);
    }

    fn late_after(&self) -> Micros {
        (self.set.latency_out + self.set.latency_out / 4).max(LEAST_LATE)
    }

    fn give_up_late(&mut self, now: Micros) {
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

    fn offer(&mut self, now: Micros) {
        let Some((_, secret)) = &self.set.keys else { return };
        let Some((next, _, due)) = &mut self.offered else { return };
        *due = now + self.rtt + self.rtt / 2 + LEAST_NAK;
        if let Some(content) = next.wrap(secret) {
            self.queue(Control::Keys { answer: false, content });
        }
    }

    /// No more is taken; the session closes when all that was has been acknowledged or is too late.
    pub fn finish(&mut self) {
        if self.state == State::Open {
            self.state = State::Finishing;
        }
    }

    /// Ends at once; the other side is told.
    pub fn close(&mut self) {
        if !self.is_over() {
            self.control.clear();
            self.control.push_back(Control::Shutdown);
            self.end(State::Closed);
        }
    }

    fn end(&mut self, state: State) {
        self.state = state;
        self.sent.clear();
        self.again.clear();
        self.missing.clear();
        (self.ack_due, self.offered) = (None, None);
        if state == State::Silent {
            self.control.clear();
        }
    }

    fn queue(&mut self, control: Control) {
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

    // ---- What comes ----

    /// Takes a datagram that came from the other side's address.
    pub fn handle(&mut self, now: Micros, datagram: &[u8]) {
        if self.is_over() {
            return;
        }
        let packet = match packet::read(datagram) {
            Ok(packet) => packet,
            Err(_) => return self.counts.odd += 1,
        };
        match packet {
            Packet::Data(data) => {
                self.last_heard = now;
                self.data(now, &data);
            }
            // A late copy of the handshake says nothing of the session.
            Packet::Control { control: Control::Handshake(_), .. } => {}
            Packet::Control { control, stamp, .. } => {
                self.last_heard = now;
                self.told(now, control, stamp);
            }
        }
    }

    fn told(&mut self, now: Micros, control: Control, stamp: u32) {
        match control {
            Control::Ack { number, seq, full } => {
                let upto = self.own_position(seq);
                if upto > self.fresh {
                    return self.counts.odd += 1;
                }
                if upto > self.first {
                    self.let_go(upto);
                    (self.progress, self.doublings) = (now, 0);
                }
                if let Some(told) = full {
                    self.room = told.room;
                    self.measured(i64::from(told.rtt), Some(i64::from(told.variance)));
                    self.queue(Control::AckAck { number });
                }
            }
            Control::Nak(gaps) => self.lost(now, &gaps),
            Control::AckAck { number } => {
                let Some(k) = self.acks.iter().position(|a| a.0 == number) else { return };
                let rtt = now - self.acks[k].1;
                self.acks.drain(..=k);
                self.measured(rtt, None);
                self.drifted(now, stamp);
            }
            Control::DropRequest { first, last, .. } => {
                // What the other side does not have any more is not waited for.
                let (from, upto) = (self.peer_position(first), self.peer_position(last) + 1);
                let gone: Vec<u64> = self.missing.range(from..upto.max(from)).map(|m| *m.0).collect();
                for position in gone {
                    self.missing.remove(&position);
                }
            }
            Control::Shutdown => self.end(State::ClosedByPeer),
            Control::Keys { answer: false, content } => self.offered_keys(content),
            Control::Keys { answer: true, content } => {
                let Some((_, secret)) = &self.set.keys else { return };
                let took = self.offered.as_ref().and_then(|(next, ..)| next.wrap(secret));
                if let (true, Some((next, which, _))) = (took == Some(content), self.offered.take()) {
                    (self.key, self.with_key) = (which, 0);
                    self.counts.keys += 1;
                    if let Some((keys, _)) = &mut self.set.keys {
                        *keys = next;
                    }
                }
            }
            Control::KeepAlive | Control::Handshake(_) => {}
        }
    }

    fn offered_keys(&mut self, content: Vec<u8>) {
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

    /// A round trip took so long, or the other side says that it is so (4.10).
    fn measured(&mut self, rtt: Micros, variance: Option<Micros>) {
        let rtt = rtt.clamp(0, 10_000_000);
        match variance {
            Some(variance) => (self.rtt, self.variance) = (rtt, variance.clamp(0, 10_000_000)),
            None => {
                self.variance = (3 * self.variance + (self.rtt - rtt).abs()) / 4;
                self.rtt = (7 * self.rtt + rtt) / 8;
            }
        }
    }

    fn drifted(&mut self, now: Micros, stamp: u32) {
        let time = unwrap_time(self.peer_time, stamp);
        let (sum, count) = &mut self.drift;
        (*sum, *count) = (*sum + now - (self.base + time) - self.rtt / 2, *count + 1);
        if *count == DRIFT_SAMPLES {
            self.base += (*sum / *count).clamp(-ACK / 2, ACK / 2);
            self.drift = (0, 0);
        }
    }

    fn lost(&mut self, now: Micros, gaps: &[(Seq, Seq)]) {
        for &(first, last) in gaps {
            let (from, upto) = (self.own_position(first), self.own_position(last) + 1);
            if upto > self.fresh || from > upto {
                self.counts.odd += 1;
                continue;
            }
            if from < self.first {
                let last = self.own_seq(upto.min(self.first) - 1);
                self.queue(Control::DropRequest { message: 0, first, last });
            }
            for position in from.max(self.first)..upto {
                let sent = self.sent.get((position - self.first) as usize);
                // One that went just now is on its way, however often it is asked for.
                let rested = |s: &Sent| s.went.is_none_or(|went| now - went >= self.rtt.max(ACK));
                if sent.is_some_and(rested) {
                    self.again.insert(position);
                }
            }
        }
    }

    fn peer_seq(&self, position: u64) -> Seq {
        self.set.peer.plus((position & 0x7fff_ffff) as u32)
    }

    fn peer_position(&self, seq: Seq) -> u64 {
        let ahead = seq.since(self.peer_seq(self.high));
        self.high.saturating_add_signed(i64::from(ahead))
    }

    fn data(&mut self, now: Micros, data: &Data<'_>) {
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

    // ---- Time ----

    /// When [`Live::tick`] or [`Live::receive`] is due next.
    pub fn next_timer(&self) -> Option<Micros> {
        let out = self.came.iter().flatten().next().map(|c| c.due);
        if self.is_over() {
            return out;
        }
        if self.state == State::Finishing && self.sent.is_empty() {
            return Some(self.last_sent);
        }
        let idle = self.last_heard + self.set.idle;
        let alive = self.last_sent + KEEP_ALIVE;
        let nak = self.missing.values().min().map(|at| at + self.nak_every());
        let again = (!self.sent.is_empty()).then_some(self.progress + self.time_out());
        let offered = self.offered.as_ref().map(|o| o.2);
        let others = [out, nak, again, self.ack_due, offered].into_iter().flatten();
        others.chain([idle, alive]).min()
    }

    fn nak_every(&self) -> Micros {
        ((self.rtt + 4 * self.variance) / 2).max(LEAST_NAK)
    }

    fn time_out(&self) -> Micros {
        (self.rtt + 4 * self.variance + 2 * ACK) << self.doublings.min(2)
    }

    pub fn tick(&mut self, now: Micros) {
        if self.is_over() {
            return;
        }
        if now - self.last_heard >= self.set.idle {
            return self.end(State::Silent);
        }
        self.give_up_late(now);
        if self.state == State::Finishing && self.sent.is_empty() {
            return self.close();
        }
        if now - self.last_sent >= KEEP_ALIVE {
            self.queue(Control::KeepAlive);
            self.last_sent = now;
        }
        if self.ack_due.is_some_and(|due| due <= now) {
            self.acknowledge(now);
        }
        self.ask_again(now);
        if !self.sent.is_empty() && now - self.progress >= self.time_out() {
            // Nothing tells of the last ones: no later packet shows that they are missing.
            self.again.extend(self.first..self.fresh.min(self.first + MOST_AGAIN));
            self.progress = now;
            self.doublings += 1;
        }
        if self.offered.as_ref().is_some_and(|o| o.2 <= now) {
            self.offer(now);
        }
    }

    fn acknowledge(&mut self, now: Micros) {
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

    fn ask_again(&mut self, now: Micros) {
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
