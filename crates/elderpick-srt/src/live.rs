//! A live session after its handshake: packets in order and in time, section 4 of the draft.
//!
//! The sender keeps what it sent until it is acknowledged or too late (4.6), and sends again what a NAK tells is missing
//! (4.8). The receiver gives each packet out at its own time (4.5): the sender's timestamp, the latency, and how the
//! clocks of the two drift apart (4.7). What has not come by then is passed over.

mod receiver;
mod sender;
mod timers;
mod types;

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use self::receiver::Came;
use self::sender::Sent;
pub use self::types::{Counts, Settings, State};
use crate::Micros;
use crate::keys::Keys;
use crate::packet::{self, Control, Key, Packet};
use crate::seq::Seq;

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
}
