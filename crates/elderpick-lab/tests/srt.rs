//! SRT sessions over an emulated network, in virtual time.

use std::net::SocketAddr;

use elderpick_lab::link::{Link, Weather};
use elderpick_srt::call::{Call, Outcome, Wanted};
use elderpick_srt::keys::{Keys, Passphrase};
use elderpick_srt::listen::{self, Bounds, Caller, Drop, Heard, Listener};
use elderpick_srt::live::{Live, Settings, State};
use elderpick_srt::packet::{self, Extension, Handshake, reason};
use elderpick_srt::seq::Seq;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

const MS: i64 = 1000;
const S: i64 = 1_000_000;
const BOUNDS: Bounds = Bounds { callers: 1000, per_address: 100, linger: 5 * S };

fn from(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn wanted(socket: u32, id: &str) -> Wanted {
    Wanted {
        socket,
        seq: Seq::new(0x7fff_ff00),
        stream_id: id.into(),
        latency: 120 * MS,
        window: 8192,
        keys: None,
        within: 3 * S,
    }
}

fn settings(to: u32, latency: i64) -> Settings {
    Settings {
        to,
        own: Seq::new(0x7fff_ff00),
        peer: Seq::new(0x7fff_ff00),
        peer_stamp: 0,
        latency_in: latency,
        latency_out: latency,
        window: 8192,
        idle: 5 * S,
        keys: None,
        renew_after: 0,
    }
}

/// The payload that has this number.
fn payload(number: u32) -> Vec<u8> {
    let mut rng = ChaCha8Rng::seed_from_u64(u64::from(number));
    let mut bytes = number.to_be_bytes().to_vec();
    let long = rng.random_range(0..1312);
    bytes.extend((0..long).map(|_| rng.random::<u8>()));
    bytes
}

/// Seeds of the weathers; more when asked for.
fn seeds() -> u64 {
    std::env::var("ELDERPICK_SEEDS").ok().and_then(|n| n.parse().ok()).unwrap_or(100)
}

struct Pair {
    now: i64,
    ends: [Live; 2],
    /// From the first to the second and back.
    links: [Link; 2],
    /// Numbers that came out at the second, and when.
    out: Vec<(u32, i64)>,
}

impl Pair {
    fn new(weather: Weather, seed: u64, set: impl Fn(u32) -> Settings) -> Pair {
        let links = [Link::new(weather, seed), Link::new(weather, seed + 1)];
        Pair { now: 0, ends: [Live::new(0, set(2)), Live::new(0, set(1))], links, out: Vec::new() }
    }

    /// Does all that is due now.
    fn turn(&mut self) {
        for k in 0..2 {
            while let Some(datagram) = self.links[k].pop(self.now) {
                self.ends[1 - k].handle(self.now, &datagram);
            }
        }
        for k in 0..2 {
            if self.ends[k].next_timer().is_some_and(|at| at <= self.now) {
                self.ends[k].tick(self.now);
            }
            while let Some(bytes) = self.ends[k].receive(self.now) {
                let number = u32::from_be_bytes([bytes[0], bytes[1], bytes[2], bytes[3]]);
                assert!(bytes == payload(number), "byte for byte: {number}");
                self.out.push((number, self.now));
            }
            let mut datagram = Vec::new();
            while self.ends[k].transmit(self.now, &mut datagram) {
                assert!(datagram.len() <= packet::MOST);
                self.links[k].push(self.now, &datagram);
                datagram.clear();
            }
        }
    }

    /// Goes on until then.
    fn until(&mut self, end: i64) {
        loop {
            self.turn();
            let due =
                self.links.iter().filter_map(Link::next).chain(self.ends.iter().filter_map(Live::next_timer));
            let due = due.min().unwrap_or(end).max(self.now + 1);
            if due > end {
                self.now = end;
                return self.turn();
            }
            self.now = due;
        }
    }

    /// Sends payloads of these numbers, one each so many microseconds.
    fn stream(&mut self, numbers: std::ops::Range<u32>, every: i64) {
        for number in numbers {
            assert!(self.ends[0].send(self.now, &payload(number)));
            self.until(self.now + every);
        }
    }

    fn numbers(&self) -> Vec<u32> {
        self.out.iter().map(|o| o.0).collect()
    }
}

#[test]
fn what_is_delivered_is_in_order_and_whole_over_all_weathers_and_the_wrap() {
    let (mut passed, mut sent) = (0, 0);
    for seed in 0..seeds() {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let weather = Weather {
            delay: rng.random_range(0..30) * MS,
            jitter: rng.random_range(0..20) * MS,
            loss: rng.random_range(0.0..0.2),
            burst: (rng.random_range(0.0..0.01), rng.random_range(0.2..1.0)),
            double: rng.random_range(0.0..0.1),
            rate: None,
        };
        // Numbers wrap after 256 packets.
        let mut pair = Pair::new(weather, seed, |to| settings(to, 400 * MS));
        pair.stream(0..400, 3 * MS);
        pair.ends[0].finish();
        pair.until(pair.now + 8 * S);
        let numbers = pair.numbers();
        assert!(numbers.windows(2).all(|w| w[0] < w[1]), "seed {seed}: in order, once each");
        let counts = pair.ends[1].counts;
        assert_eq!(counts.delivered, numbers.len() as u64, "seed {seed}");
        assert!(numbers.len() as u64 + counts.passed_over >= 390, "seed {seed}: {counts:?}");
        (passed, sent) = (passed + 400 - numbers.len(), sent + 400);
        for end in &pair.ends {
            assert!(end.is_over() && end.next_timer().is_none(), "seed {seed}: {:?}", end.state());
            assert_eq!(end.held(), (0, 0), "seed {seed}: nothing is kept");
        }
    }
    // A fifth of the packets lost at worst, each way, besides bursts, and four round trips of time: nearly all come.
    println!("{passed} of {sent} did not come in time");
    assert!(passed * 200 < sent, "{passed} of {sent} did not come in time");
}

#[test]
fn without_loss_each_packet_comes_out_at_its_time_and_with_too_little_time_it_is_passed_over() {
    let weather = Weather { delay: 20 * MS, jitter: 15 * MS, ..Weather::default() };
    let mut pair = Pair::new(weather, 1, |to| settings(to, 120 * MS));
    pair.stream(0..500, 2 * MS);
    pair.until(pair.now + S);
    assert_eq!(pair.numbers(), (0..500).collect::<Vec<_>>());
    for (number, at) in &pair.out {
        let due = i64::from(*number) * 2 * MS + 120 * MS;
        assert!((due..due + 2 * MS).contains(at), "{number} at {at}, due {due}");
    }
    let weather = Weather { delay: 30 * MS, loss: 0.1, ..Weather::default() };
    let mut pair = Pair::new(weather, 1, |to| settings(to, 50 * MS));
    pair.stream(0..500, 2 * MS);
    pair.until(pair.now + S);
    let numbers = pair.numbers();
    // No second try comes in time; what came is not held up by what did not.
    assert!(numbers.len() < 480 && numbers.windows(2).all(|w| w[0] < w[1]));
    assert_eq!(
        numbers.len() as u64 + pair.ends[1].counts.passed_over,
        1 + u64::from(*numbers.last().unwrap())
    );
}

#[test]
fn a_storm_of_naks_and_old_or_forged_ones_send_nothing_twice_in_a_round_trip() {
    let mut pair = Pair::new(Weather::default(), 1, |to| settings(to, 500 * MS));
    pair.stream(0..50, MS);
    let before = pair.ends[0].counts.again;
    let mut nak = Vec::new();
    let gap = (Seq::new(0x7fff_ff00 + 40), Seq::new(0x7fff_ff00 + 49));
    packet::write_control(&mut nak, &packet::Control::Nak(vec![gap; 100]), 0, 2);
    for _ in 0..1000 {
        pair.ends[0].handle(pair.now, &nak);
        let mut out = Vec::new();
        while pair.ends[0].transmit(pair.now, &mut out) {}
    }
    assert!(pair.ends[0].counts.again - before <= 10, "{:?}", pair.ends[0].counts);
    // Of what never went out, and of what is acknowledged long ago.
    let far = (Seq::new(100_000), Seq::new(200_000));
    nak.clear();
    packet::write_control(&mut nak, &packet::Control::Nak(vec![far]), 0, 2);
    pair.ends[0].handle(pair.now, &nak);
    nak.clear();
    let ack = packet::Control::Ack { number: 5, seq: Seq::new(100_000), full: None };
    packet::write_control(&mut nak, &ack, 0, 2);
    pair.ends[0].handle(pair.now, &nak);
    assert_eq!(pair.ends[0].counts.odd, 2);
    pair.stream(50..80, MS);
    pair.until(pair.now + 2 * S);
    assert_eq!(pair.numbers(), (0..80).collect::<Vec<_>>());
}

#[test]
fn a_new_key_is_used_when_the_other_side_has_it_however_often_its_packet_is_lost() {
    let secret = Passphrase::new("a long passphrase").unwrap();
    let keys = Keys::new([9; 16], &[1; 16]).unwrap();
    for seed in 0..20 {
        let weather = Weather { loss: 0.2, jitter: 5 * MS, ..Weather::default() };
        let mut pair = Pair::new(weather, seed, |to| Settings {
            keys: Some((keys.clone(), secret.clone())),
            renew_after: 50,
            ..settings(to, 500 * MS)
        });
        for part in 0..10u32 {
            pair.stream(part * 40..part * 40 + 40, 5 * MS);
            if pair.ends[0].wants_key().is_some() {
                assert!(pair.ends[0].renew_key(pair.now, &[part as u8 + 2; 16]));
                assert!(!pair.ends[0].renew_key(pair.now, &[0; 16]), "one at a time");
            }
        }
        pair.ends[0].finish();
        pair.until(pair.now + 3 * S);
        assert_eq!(pair.ends[1].counts.undecrypted, 0, "seed {seed}");
        assert!(pair.ends[0].counts.keys >= 2, "seed {seed}: {:?}", pair.ends[0].counts);
        assert!(pair.out.len() > 395, "seed {seed}: {} {:?}", pair.out.len(), pair.ends[0].counts);
    }
}

#[test]
fn silence_ends_both_sides_and_a_lost_shutdown_does_not_keep_one() {
    let mut pair = Pair::new(Weather::default(), 1, |to| settings(to, 120 * MS));
    pair.stream(0..10, MS);
    pair.until(pair.now + 20 * S);
    assert_eq!(pair.ends[1].state(), State::Open, "keep-alives hold it");
    pair.links[0].weather.loss = 1.0;
    pair.ends[0].close();
    pair.until(pair.now + 10 * S);
    assert_eq!((pair.ends[0].state(), pair.ends[1].state()), (State::Closed, State::Silent));
    assert!(!pair.ends[0].send(pair.now, b"late"));
    assert!(pair.ends.iter().all(|end| end.next_timer().is_none()));
}

// ---- Handshake ----

const EXTENSION: Extension = Extension { version: 0x10401, flags: 0xbf, receive_delay: 120, send_delay: 120 };

/// A call through weather to a listener that answers each request once, after a time. How the call ended, how many
/// requests the listener's side saw, and how many answers it made.
fn called(
    weather: Weather,
    seed: u64,
    answer_after: i64,
    yes: bool,
) -> (Option<Outcome>, usize, Listener, i64) {
    let mut listener = Listener::new([3; 32], BOUNDS);
    let mut call = Call::new(0, wanted(77, "#!::r=carex"));
    let mut links = [Link::new(weather, seed), Link::new(weather, seed + 1)];
    let mut asked: Vec<(i64, Caller, Box<Handshake>)> = Vec::new();
    let (mut now, mut outcome, mut requests) = (0, None, 0);
    while now < 12 * S {
        while let Some(datagram) = links[0].pop(now) {
            match listener.handle(now, from(9), &datagram) {
                Heard::Reply(reply) => {
                    assert!(reply.len() <= datagram.len(), "never more out than in");
                    links[1].push(now, &reply);
                }
                Heard::Asked { caller, handshake, .. } => {
                    requests += 1;
                    asked.push((now + answer_after, caller, handshake));
                }
                Heard::Dropped(_) => {}
            }
        }
        asked.retain(|(at, caller, handshake)| {
            if *at > now {
                return true;
            }
            let reply = match yes {
                true => {
                    let answer = listen::answer(handshake, handshake.seq, EXTENSION, None);
                    listener.accept(*caller, handshake, 1234, (&answer, 0))
                }
                false => listener.reject(now, *caller, handshake, reason::OVERLOAD),
            };
            links[1].push(now, &reply.unwrap());
            assert!(listener.reject(now, *caller, handshake, reason::PEER).is_none(), "one answer");
            false
        });
        listener.tick(now);
        while let Some(datagram) = links[1].pop(now) {
            outcome = outcome.or(call.handle(now, Some(&datagram)));
        }
        outcome = outcome.or(call.handle(now, None));
        if let Some(datagram) = call.transmit(now) {
            links[0].push(now, &datagram);
        }
        now += MS;
    }
    (outcome, requests, listener, now)
}

#[test]
fn a_conclusion_that_is_lost_again_and_again_is_one_request_with_one_answer() {
    let mut ends = [0; 3];
    for seed in 0..300 {
        let weather =
            Weather { loss: (seed % 6) as f64 / 10.0, double: 0.3, jitter: 40 * MS, ..Weather::default() };
        let yes = seed % 2 == 0;
        let (outcome, requests, listener, now) = called(weather, seed * 7, 400 * MS, yes);
        assert!(requests <= 1, "seed {seed}: {requests} requests");
        match outcome {
            Some(Outcome::Connected { answer, .. }) => {
                assert!(yes && requests == 1 && answer.socket == 1234, "seed {seed}");
                assert_eq!(answer.extension, Some((true, EXTENSION)), "seed {seed}");
                ends[0] += 1;
            }
            Some(Outcome::Rejected(why)) => {
                assert!(!yes && requests == 1 && why == reason::OVERLOAD, "seed {seed}");
                ends[1] += 1;
            }
            Some(Outcome::TimedOut) => ends[2] += 1,
            None => panic!("seed {seed}: no end"),
        }
        // A refused one is forgotten, an accepted one when its session is.
        let mut listener = listener;
        assert_eq!(listener.known(), usize::from(yes && requests == 1), "seed {seed}");
        listener.forget(now, (from(9), 77));
        listener.tick(now + 2 * BOUNDS.linger);
        assert_eq!((listener.known(), listener.next_timer()), (0, None), "seed {seed}");
    }
    assert!(ends[0] > 100 && ends[1] > 100, "{ends:?}");
}

#[test]
fn an_answer_that_comes_after_the_caller_gave_up_is_nothing_to_it() {
    let (outcome, requests, ..) = called(Weather::default(), 1, 4 * S, true);
    assert_eq!((outcome, requests), (Some(Outcome::TimedOut), 1));
}

#[test]
fn floods_and_forgeries_keep_no_state_and_good_callers_get_through() {
    let mut listener = Listener::new([3; 32], BOUNDS);
    let send = |listener: &mut Listener, call: &mut Call, now, from| {
        let datagram = call.transmit(now).unwrap();
        listener.handle(now, from, &datagram)
    };
    // Ten thousand inductions from one address leave nothing behind.
    for socket in 0..10_000 {
        let mut call = Call::new(0, wanted(socket + 1, ""));
        let heard = send(&mut listener, &mut call, 0, from(5));
        assert!(matches!(heard, Heard::Reply(_)));
    }
    assert_eq!(listener.known(), 0);
    // A cookie is good for its caller alone: not from another port, nor for another socket, nor for long.
    let concluded = |listener: &mut Listener, socket, now| {
        let mut call = Call::new(now, wanted(socket, "#!::r=x"));
        let Heard::Reply(reply) = send(listener, &mut call, now, from(6)) else { panic!() };
        assert!(call.handle(now, Some(&reply)).is_none());
        call.transmit(now).unwrap()
    };
    let good = concluded(&mut listener, 50, 0);
    assert_eq!(listener.handle(0, from(7), &good), Heard::Dropped(Drop::Cookie));
    assert_eq!(listener.handle(200 * S, from(6), &good), Heard::Dropped(Drop::Cookie));
    let mut forged = good.clone();
    forged[packet::HEADER + 27] ^= 1;
    assert_eq!(listener.handle(0, from(6), &forged), Heard::Dropped(Drop::Cookie));
    assert_eq!(listener.handle(0, from(6), &good[..60]), Heard::Dropped(Drop::Malformed));
    assert_eq!(listener.known(), 0);
    // One address fills its own part and no more.
    let mut answers = [0; 2];
    for socket in 0..2 * BOUNDS.per_address as u32 {
        let conclusion = concluded(&mut listener, socket + 1, 0);
        match listener.handle(0, from(6), &conclusion) {
            Heard::Asked { .. } => answers[0] += 1,
            Heard::Reply(reply) => {
                assert!(reply.len() <= conclusion.len());
                answers[1] += 1;
            }
            other => panic!("{other:?}"),
        }
    }
    assert_eq!((answers, listener.over), ([BOUNDS.per_address; 2], BOUNDS.per_address as u64));
    let elsewhere = SocketAddr::from(([127, 0, 0, 2], 6));
    let mut call = Call::new(0, wanted(9, "#!::r=x"));
    let Heard::Reply(reply) = send(&mut listener, &mut call, 0, elsewhere) else { panic!() };
    call.handle(0, Some(&reply));
    assert!(matches!(send(&mut listener, &mut call, 0, elsewhere), Heard::Asked { .. }));
}
