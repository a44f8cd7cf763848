//! Stand-ins that speak SRT: the side of a media host, and a player.
//!
//! kind: stand-in
//!
//! A host sends one packet each 20 ms, as large as the session's rung asks: its number, the rung, and zeros.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use elderpick_srt::Micros;
use elderpick_srt::call::{Call, FLAGS, Outcome, VERSION, Wanted};
use elderpick_srt::keys::{Keys, Passphrase};
use elderpick_srt::listen::{self, Bounds, Heard, Listener};
use elderpick_srt::live::{Live, Settings};
use elderpick_srt::packet::{self, Extension, Handshake, reason};
use elderpick_srt::seq::Seq;
use tokio::net::UdpSocket;

use crate::hosts::{Host, World};
use crate::record::now;

const EVERY: Micros = 20_000;
const TICK: Duration = Duration::from_millis(10);
const IDLE: Micros = 3_000_000;
/// What hosts and players know of each other that gateways do not.
const SECRET: &str = "between host and player";

fn settings(to: u32, own: Seq, hs: &Handshake, stamp: u32, keys: Option<(Keys, Passphrase)>) -> Settings {
    let latency = hs.extension.map_or(120_000, |(_, e)| i64::from(e.receive_delay.max(e.send_delay)) * 1000);
    Settings {
        to,
        own,
        peer: hs.seq,
        peer_stamp: stamp,
        latency_in: latency,
        latency_out: latency,
        window: 8192,
        idle: IDLE,
        keys,
        renew_after: 100,
    }
}

struct Flowing {
    live: Live,
    to: SocketAddr,
    session: String,
    number: u32,
    due: Micros,
}

/// A host's side, until its process ends.
pub async fn host(world: Rc<World>, host: Rc<Host>) {
    let Ok(socket) = UdpSocket::bind("127.0.0.1:0").await else { return };
    host.srt.set(socket.local_addr().ok());
    let bounds = Bounds { callers: 10_000, per_address: 10_000, linger: 2_000_000 };
    let mut listener = Listener::new(rand::random(), bounds);
    let mut flowing: HashMap<u32, Flowing> = HashMap::new();
    let mut next = 1;
    let mut buffer = vec![0; 2048];
    let mut tick = tokio::time::interval(TICK);
    tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        let came = tokio::select! {
            came = socket.recv_from(&mut buffer) => came.ok(),
            // Nothing flows and nobody is remembered: there is nothing to wake up for.
            _ = tick.tick(), if !flowing.is_empty() || listener.next_timer().is_some() => None,
        };
        let at = now();
        if let Some((length, from)) = came {
            let datagram = &buffer[..length];
            match packet::destination(datagram) {
                Some(0) => match listener.handle(at, from, datagram) {
                    Heard::Reply(reply) => drop(socket.try_send_to(&reply, from)),
                    Heard::Dropped(_) => {}
                    Heard::Asked { caller, handshake, stamp } => {
                        let session = handshake.stream_id.clone().unwrap_or_default();
                        let secret = Passphrase::new(SECRET);
                        let keys = handshake.keys.as_ref().zip(secret).map(|(content, secret)| {
                            Keys::unwrap(&secret, content).map(|keys| (keys, secret))
                        });
                        let reply = match (host.sessions.borrow().contains_key(&session), keys) {
                            (false, _) => listener.reject(at, caller, &handshake, reason::NOT_FOUND),
                            (_, Some(Err(_))) => listener.reject(at, caller, &handshake, reason::BAD_SECRET),
                            (true, keys) => {
                                let delay = handshake.extension.map_or(120, |(_, e)| e.receive_delay);
                                let extension = Extension {
                                    version: VERSION,
                                    flags: FLAGS,
                                    receive_delay: delay,
                                    send_delay: delay,
                                };
                                let (own, content) = (handshake.seq, handshake.keys.clone());
                                let answer = listen::answer(&handshake, own, extension, content);
                                let keys = keys.and_then(Result::ok);
                                let set = settings(handshake.socket, own, &handshake, stamp, keys);
                                let live = Live::new(at, set);
                                next += 1;
                                flowing.insert(next, Flowing { live, to: from, session, number: 0, due: at });
                                listener.accept(caller, &handshake, next, (&answer, 0))
                            }
                        };
                        if let Some(reply) = reply {
                            let _ = socket.try_send_to(&reply, from);
                        }
                    }
                },
                Some(own) => {
                    if let Some(one) = flowing.get_mut(&own).filter(|one| one.to == from) {
                        one.live.handle(at, datagram);
                    }
                }
                None => {}
            }
        }
        listener.tick(at);
        let mut out = Vec::with_capacity(packet::MOST);
        flowing.retain(|_, one| {
            let (rung, sent) = match host.sessions.borrow_mut().get_mut(&one.session) {
                Some(held) if !one.live.is_over() => {
                    held.seen = at;
                    (held.rung, held.sent.clone())
                }
                held => {
                    // Ended by the gateway, or by the player: a gateway that lives ends it here as well.
                    let ended = held.is_none();
                    if ended {
                        one.live.close();
                    }
                    while one.live.transmit(at, &mut out) {
                        let _ = socket.try_send_to(&out, one.to);
                        out.clear();
                    }
                    return false;
                }
            };
            while one.due <= at {
                one.due += EVERY;
                let size = (world.model.ladder[rung] * EVERY as f64 / 1e6) as usize;
                let mut payload = vec![0; size.clamp(5, packet::MOST_PAYLOAD)];
                payload[..4].copy_from_slice(&one.number.to_be_bytes());
                payload[4] = rung as u8;
                if one.live.send(at, &payload) {
                    one.number += 1;
                    sent.set(sent.get() + payload.len() as u64);
                }
            }
            if let Some(length) = one.live.wants_key() {
                one.live.renew_key(at, &vec![rand::random(); length]);
            }
            if one.live.next_timer().is_some_and(|due| due <= at) {
                one.live.tick(at);
            }
            while one.live.transmit(at, &mut out) {
                let _ = socket.try_send_to(&out, one.to);
                out.clear();
            }
            true
        });
    }
}

/// What a player saw.
#[derive(Clone, PartialEq, Debug)]
pub enum Ended {
    /// It ended by itself when it had played so long.
    Left,
    /// The other side ended it, or fell silent.
    Cut,
    Rejected(u32),
    TimedOut,
}

#[derive(Clone, Debug)]
pub struct Played {
    pub ended: Ended,
    /// From the first packet sent to the answer.
    pub answered: Micros,
    pub packets: u64,
    /// Packets out of order, or that never came.
    pub wrong: u64,
    pub rungs: Vec<u8>,
    /// New keys that the host gave.
    pub keys: u64,
}

/// Plays for so long what a stream id names.
pub async fn play(
    to: SocketAddr,
    stream_id: String,
    encrypted: bool,
    lasts: Duration,
) -> Result<Played, String> {
    play_with(to, stream_id, encrypted, (PATIENCE, lasts), |_| ()).await
}

const PATIENCE: Duration = Duration::from_secs(3);

/// The same for a caller that waits so long for its answer, and says at once whether it plays or why not.
pub async fn play_with(
    to: SocketAddr,
    stream_id: String,
    encrypted: bool,
    (patience, lasts): (Duration, Duration),
    answered: impl Fn(Option<u32>),
) -> Result<Played, String> {
    let told = |why: std::io::Error| why.to_string();
    let socket = UdpSocket::bind("127.0.0.1:0").await.map_err(told)?;
    socket.connect(to).await.map_err(told)?;
    let began = now();
    let keys = Keys::new(rand::random(), &rand::random::<[u8; 16]>()).zip(Passphrase::new(SECRET));
    let keys = keys.filter(|_| encrypted);
    let (own, socket_id) = (Seq::new(rand::random()), rand::random::<u32>().max(1));
    let wanted = Wanted {
        socket: socket_id,
        seq: own,
        stream_id,
        latency: 120_000,
        window: 8192,
        keys: keys.clone(),
        within: patience.as_micros() as i64,
    };
    let mut call = Call::new(began, wanted);
    let mut played =
        Played { ended: Ended::TimedOut, answered: 0, packets: 0, wrong: 0, rungs: Vec::new(), keys: 0 };
    let mut live: Option<Live> = None;
    let mut tick = tokio::time::interval(TICK);
    let mut buffer = vec![0; 2048];
    loop {
        let came = tokio::select! {
            came = socket.recv(&mut buffer) => came.ok(),
            _ = tick.tick() => None,
        };
        let at = now();
        let Some(flow) = &mut live else {
            let outcome = call.handle(at, came.map(|length| &buffer[..length]));
            match outcome {
                None => {}
                Some(Outcome::Connected { answer, stamp }) => {
                    played.answered = at - began;
                    answered(None);
                    live = Some(Live::new(at, settings(answer.socket, own, &answer, stamp, keys.clone())));
                    continue;
                }
                Some(Outcome::Rejected(why)) => {
                    played.answered = at - began;
                    answered(Some(why));
                    return Ok(Played { ended: Ended::Rejected(why), ..played });
                }
                Some(Outcome::TimedOut) => return Ok(played),
            }
            if let Some(datagram) = call.transmit(at) {
                let _ = socket.try_send(&datagram);
            }
            continue;
        };
        if let Some(length) = came {
            flow.handle(at, &buffer[..length]);
        }
        while let Some(payload) = flow.receive(at) {
            let number = payload.first_chunk().map_or(u32::MAX, |n| u32::from_be_bytes(*n));
            played.wrong += u64::from(u64::from(number) != played.packets);
            played.packets += 1;
            let rung = payload.get(4).copied().unwrap_or(u8::MAX);
            if played.rungs.last() != Some(&rung) {
                played.rungs.push(rung);
            }
        }
        if flow.next_timer().is_some_and(|due| due <= at) {
            flow.tick(at);
        }
        let cut = flow.is_over();
        let left = at - began > lasts.as_micros() as i64;
        if left {
            flow.close();
        }
        let mut out = Vec::new();
        while flow.transmit(at, &mut out) {
            let _ = socket.try_send(&out);
            out.clear();
        }
        if cut || left {
            played.keys = flow.counts.keys;
            played.ended = if cut { Ended::Cut } else { Ended::Left };
            return Ok(played);
        }
    }
}
