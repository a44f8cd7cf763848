//! A caller's side of the handshake, section 4.3.1 of the draft: induction and conclusion, each again until it is answered.

use crate::Micros;
use crate::keys::{Keys, Passphrase};
use crate::packet::{self, Control, Extension, Handshake, MAGIC, Packet, Shake, flag};
use crate::seq::Seq;

/// What a caller brings.
#[derive(Clone, Debug)]
pub struct Wanted {
    /// Its own socket id and the number of its first packet; not to be guessed.
    pub socket: u32,
    pub seq: Seq,
    pub stream_id: String,
    /// Microseconds of latency, each way.
    pub latency: Micros,
    pub window: u32,
    /// Keys that it makes for the session, and what they are wrapped by.
    pub keys: Option<(Keys, Passphrase)>,
    /// Given up so long after the beginning.
    pub within: Micros,
}

/// How a call went.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum Outcome {
    Connected {
        /// The other side's answer: its socket, the number of its first packet, what it does.
        answer: Box<Handshake>,
        /// The other side's clock.
        stamp: u32,
    },
    /// The reason that the other side gave.
    Rejected(u32),
    TimedOut,
}

enum State {
    Induction,
    /// With the cookie that was given.
    Conclusion(u32),
    Over,
}

const AGAIN: Micros = 250_000;

/// Version 1.4.1, whose behaviour this follows as far as the draft describes it.
pub const VERSION: u32 = 0x0001_0401;

/// What live mode here does.
pub const FLAGS: u32 =
    flag::TSBPD_SEND | flag::TSBPD_RECEIVE | flag::CRYPT | flag::DROP | flag::PERIODIC_NAK | flag::REXMIT;

pub struct Call {
    wanted: Wanted,
    /// A conclusion that is passed on for another caller, and that caller's clock.
    passed: Option<(Handshake, u32)>,
    state: State,
    began: Micros,
    /// When it is sent again.
    due: Micros,
}

impl Call {
    pub fn new(now: Micros, wanted: Wanted) -> Call {
        Call { wanted, passed: None, state: State::Induction, began: now, due: now }
    }

    /// A call in the place of another caller, whose conclusion came just now with this timestamp: all that two ends
    /// agree on is between it and the one that is called. Socket and stream id are this call's own.
    pub fn passing(now: Micros, wanted: Wanted, conclusion: Handshake, stamp: u32) -> Call {
        Call { passed: Some((conclusion, stamp)), ..Call::new(now, wanted) }
    }

    pub fn next_timer(&self) -> Option<Micros> {
        match self.state {
            State::Over => None,
            _ => Some(self.due.min(self.began + self.wanted.within)),
        }
    }

    /// What is to be sent now, if anything is due.
    pub fn transmit(&mut self, now: Micros) -> Option<Vec<u8>> {
        if now < self.due || now - self.began >= self.wanted.within {
            return None;
        }
        let hs = Handshake {
            version: 4,
            encryption: 0,
            field: 2,
            seq: self.wanted.seq,
            mtu: 1500,
            window: self.wanted.window,
            shake: Shake::Induction,
            socket: self.wanted.socket,
            cookie: 0,
            address: [0; 4],
            extension: None,
            keys: None,
            stream_id: None,
        };
        let hs = match self.state {
            State::Over => return None,
            State::Induction => hs,
            State::Conclusion(cookie) if self.passed.is_some() => {
                let (socket, stream_id) = (self.wanted.socket, Some(self.wanted.stream_id.clone()));
                let passed = self.passed.as_ref().map_or(hs, |(passed, _)| passed.clone());
                Handshake { socket, cookie, field: passed.field | 4, stream_id, ..passed }
            }
            State::Conclusion(cookie) => {
                let delay = (self.wanted.latency / 1000).clamp(0, 65_535) as u16;
                let (version, flags) = (VERSION, FLAGS);
                let extension = Extension { version, flags, receive_delay: delay, send_delay: delay };
                let keys = self.wanted.keys.as_ref().and_then(|(keys, secret)| keys.wrap(secret));
                let stream_id = Some(self.wanted.stream_id.clone()).filter(|id| !id.is_empty());
                Handshake {
                    version: 5,
                    encryption: self.wanted.keys.as_ref().map_or(0, |(keys, _)| keys.length() as u16 / 8),
                    field: 1 | u16::from(keys.is_some()) << 1 | u16::from(stream_id.is_some()) << 2,
                    shake: Shake::Conclusion,
                    cookie,
                    extension: Some((false, extension)),
                    keys,
                    stream_id,
                    ..hs
                }
            }
        };
        self.due = now + AGAIN;
        let mut out = Vec::with_capacity(256);
        let stamp = ((now - self.began) as u32).wrapping_add(self.passed.as_ref().map_or(0, |p| p.1));
        packet::write_control(&mut out, &Control::Handshake(Box::new(hs)), stamp, 0);
        Some(out)
    }

    /// Takes a datagram for this socket, or the time. The outcome comes once.
    pub fn handle(&mut self, now: Micros, datagram: Option<&[u8]>) -> Option<Outcome> {
        if matches!(self.state, State::Over) {
            return None;
        }
        if now - self.began >= self.wanted.within {
            self.state = State::Over;
            return Some(Outcome::TimedOut);
        }
        let Ok(Packet::Control { control: Control::Handshake(hs), stamp, to }) = packet::read(datagram?)
        else {
            return None;
        };
        if to != self.wanted.socket {
            return None;
        }
        match (&self.state, hs.shake) {
            (State::Induction, Shake::Induction) if hs.field == MAGIC && hs.cookie != 0 => {
                self.state = State::Conclusion(hs.cookie);
                self.due = now;
                None
            }
            (State::Conclusion(_), Shake::Conclusion) => {
                if !matches!(hs.extension, Some((true, _))) {
                    return None;
                }
                self.state = State::Over;
                Some(Outcome::Connected { answer: hs, stamp })
            }
            (State::Conclusion(_), Shake::Other(why)) if (1000..0xffff_fffd).contains(&why) => {
                self.state = State::Over;
                Some(Outcome::Rejected(why))
            }
            _ => None,
        }
    }
}
