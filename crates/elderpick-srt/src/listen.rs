//! A listener's side of the handshake, section 4.3.1 of the draft.
//!
//! A caller proves its address by a cookie before anything is kept of it, and what is sent until then is never more than
//! what came. A conclusion begins one request however often it comes: until it is answered it is known, and once it is,
//! the same bytes answer it again.

use std::collections::{BTreeSet, HashMap};
use std::net::{IpAddr, SocketAddr};

use hmac::{Hmac, Mac};
use sha2::Sha256;

use crate::Micros;
use crate::packet::{self, Control, Extension, Handshake, MAGIC, Packet, Shake, reason};
use crate::seq::Seq;

/// Who calls: address and the caller's socket id.
pub type Caller = (SocketAddr, u32);

/// What comes of a datagram for the listener's socket.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum Heard {
    /// To be sent back.
    Reply(Vec<u8>),
    /// A new request. It waits for [`Listener::accept`] or [`Listener::reject`].
    Asked {
        caller: Caller,
        handshake: Box<Handshake>,
        /// The caller's clock.
        stamp: u32,
    },
    /// Nothing is to be done, and why.
    Dropped(Drop),
}

/// Why a datagram was dropped; for counts.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Drop {
    Malformed,
    /// Neither an induction nor a conclusion.
    Other,
    /// The cookie is not one that was given to this caller lately.
    Cookie,
    /// The request is known and its answer not there yet.
    Waiting,
}

/// Bounds of a listener.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct Bounds {
    /// Callers that are known.
    pub callers: usize,
    pub per_address: usize,
    /// An answer is given again for so long.
    pub linger: Micros,
}

enum State {
    Waits,
    Answered { reply: Vec<u8>, until: Micros },
}

/// Cookies are of a minute, and that before it is good as well.
const MINUTE: Micros = 60_000_000;

pub struct Listener {
    secret: [u8; 32],
    bounds: Bounds,
    callers: HashMap<Caller, State>,
    by_address: HashMap<IpAddr, usize>,
    ends: BTreeSet<(Micros, Caller)>,
    /// Requests turned away since a bound was reached.
    pub over: u64,
}

impl Listener {
    /// `secret` must not be guessable.
    pub fn new(secret: [u8; 32], bounds: Bounds) -> Listener {
        let (callers, by_address, ends) = (HashMap::new(), HashMap::new(), BTreeSet::new());
        Listener { secret, bounds, callers, by_address, ends, over: 0 }
    }

    fn cookie(&self, minute: Micros, (address, socket): Caller) -> u32 {
        // A key of any length will do.
        let Ok(mut mac) = Hmac::<Sha256>::new_from_slice(&self.secret) else { return 0 };
        mac.update(&minute.to_be_bytes());
        match address.ip() {
            IpAddr::V4(ip) => mac.update(&ip.octets()),
            IpAddr::V6(ip) => mac.update(&ip.octets()),
        }
        mac.update(&address.port().to_be_bytes());
        mac.update(&socket.to_be_bytes());
        let sum = mac.finalize().into_bytes();
        u32::from_be_bytes([sum[0], sum[1], sum[2], sum[3]]).max(1)
    }

    /// Takes a datagram whose destination is socket 0.
    pub fn handle(&mut self, now: Micros, from: SocketAddr, datagram: &[u8]) -> Heard {
        let (hs, stamp) = match packet::read(datagram) {
            Err(_) => return Heard::Dropped(Drop::Malformed),
            Ok(Packet::Control { control: Control::Handshake(hs), stamp, .. }) => (hs, stamp),
            Ok(_) => return Heard::Dropped(Drop::Other),
        };
        let caller = (from, hs.socket);
        match hs.shake {
            Shake::Induction => {
                let reply = Handshake {
                    version: 5,
                    encryption: 0,
                    field: MAGIC,
                    cookie: self.cookie(now / MINUTE, caller),
                    extension: None,
                    keys: None,
                    stream_id: None,
                    ..*hs
                };
                Heard::Reply(written(reply, hs.socket))
            }
            Shake::Conclusion => {
                let minute = now / MINUTE;
                if ![minute, minute - 1].iter().any(|&m| self.cookie(m, caller) == hs.cookie) {
                    return Heard::Dropped(Drop::Cookie);
                }
                match self.callers.get(&caller) {
                    Some(State::Waits) => return Heard::Dropped(Drop::Waiting),
                    Some(State::Answered { reply, .. }) => return Heard::Reply(reply.clone()),
                    None => {}
                }
                if hs.version != 5 || !matches!(hs.extension, Some((false, _))) {
                    return Heard::Reply(rejection(&hs, reason::VERSION));
                }
                let here = self.by_address.get(&from.ip()).copied().unwrap_or(0);
                if self.callers.len() >= self.bounds.callers || here >= self.bounds.per_address {
                    self.over += 1;
                    return Heard::Reply(rejection(&hs, reason::BACKLOG));
                }
                self.callers.insert(caller, State::Waits);
                self.by_address.insert(from.ip(), here + 1);
                Heard::Asked { caller, handshake: hs, stamp }
            }
            Shake::Other(_) => Heard::Dropped(Drop::Other),
        }
    }

    /// Answers a request: it plays at this socket, with the rest as in `answer`, whose clock stands at `stamp`. The
    /// answer is given again until [`Listener::forget`].
    pub fn accept(
        &mut self,
        caller: Caller,
        asked: &Handshake,
        socket: u32,
        (answer, stamp): (&Handshake, u32),
    ) -> Option<Vec<u8>> {
        let (cookie, stream_id) = (0, None);
        let reply = Handshake { socket, cookie, stream_id, address: asked.address, ..answer.clone() };
        self.answered(caller, stamped(reply, asked.socket, stamp), Micros::MAX)
    }

    /// Answers a request: no. The answer is given again for a while.
    pub fn reject(&mut self, now: Micros, caller: Caller, asked: &Handshake, why: u32) -> Option<Vec<u8>> {
        self.answered(caller, rejection(asked, why), now + self.bounds.linger)
    }

    /// Nothing for a caller that is not waiting: one request has one answer.
    fn answered(&mut self, caller: Caller, reply: Vec<u8>, until: Micros) -> Option<Vec<u8>> {
        let state = self.callers.get_mut(&caller).filter(|state| matches!(state, State::Waits))?;
        *state = State::Answered { reply: reply.clone(), until };
        if until < Micros::MAX {
            self.ends.insert((until, caller));
        }
        Some(reply)
    }

    /// The session of a caller is over: a late copy of its conclusion is answered a while longer, and then forgotten.
    pub fn forget(&mut self, now: Micros, caller: Caller) {
        match self.callers.get_mut(&caller) {
            Some(State::Answered { until, .. }) if *until == Micros::MAX => {
                *until = now + self.bounds.linger;
                self.ends.insert((*until, caller));
            }
            Some(State::Waits) => self.remove(caller),
            _ => {}
        }
    }

    fn remove(&mut self, caller: Caller) {
        self.callers.remove(&caller);
        if let Some(count) = self.by_address.get_mut(&caller.0.ip()) {
            *count -= 1;
            if *count == 0 {
                self.by_address.remove(&caller.0.ip());
            }
        }
    }

    pub fn next_timer(&self) -> Option<Micros> {
        self.ends.first().map(|(at, _)| *at)
    }

    pub fn tick(&mut self, now: Micros) {
        while let Some(&(at, caller)) = self.ends.first().filter(|(at, _)| *at <= now) {
            self.ends.remove(&(at, caller));
            self.remove(caller);
        }
    }

    /// Callers that are known.
    pub fn known(&self) -> usize {
        self.callers.len()
    }
}

fn written(hs: Handshake, to: u32) -> Vec<u8> {
    stamped(hs, to, 0)
}

fn stamped(hs: Handshake, to: u32, stamp: u32) -> Vec<u8> {
    let mut out = Vec::with_capacity(128);
    packet::write_control(&mut out, &Control::Handshake(Box::new(hs)), stamp, to);
    out
}

/// The answer of a listener that plays itself.
pub fn answer(asked: &Handshake, seq: Seq, extension: Extension, keys: Option<Vec<u8>>) -> Handshake {
    let field = 1 | u16::from(keys.is_some()) << 1;
    Handshake { version: 5, field, seq, extension: Some((true, extension)), keys, stream_id: None, ..*asked }
}

/// A conclusion's answer that says no.
fn rejection(asked: &Handshake, why: u32) -> Vec<u8> {
    let shake = Shake::Other(why);
    let reply = Handshake {
        version: 5,
        field: 0,
        cookie: 0,
        shake,
        extension: None,
        keys: None,
        stream_id: None,
        seq: Seq::new(0),
        ..*asked
    };
    written(reply, asked.socket)
}
