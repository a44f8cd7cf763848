//! Viewers and media hosts over SRT: calls become requests for sessions, packets of admitted ones pass through.
//!
//! The gateway answers inductions and passes the rest of a caller's handshake on to the host that the core chose, so that
//! recovery and encryption stay between the two ends. Of each packet the four bytes of its destination are changed and
//! nothing else.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use elderpick_core::api::Micros;
use elderpick_entitle::registry::Denied;
use elderpick_srt::call::{Call, Outcome, Wanted as Calls};
use elderpick_srt::listen::{Bounds, Caller, Drop as Dropped, Heard, Listener};
use elderpick_srt::packet::{self, Control, Handshake, Packet, reason};
use elderpick_srt::stream_id::StreamId;
use tokio::net::UdpSocket;
use tokio::task::{AbortHandle, spawn_local};

use crate::config;
use crate::engine::{Answer, Ask, Decide, Input, Payer, Token, Via, Wanted};
use crate::entitle::Barred;
use crate::front::Asking;
use crate::shell::Shell;

/// One end of a session: where, and its socket there.
type End = (SocketAddr, u32);

/// A session whose packets pass.
struct Passing {
    token: Token,
    caller: Caller,
    /// Own sockets: that which the caller sends to, and that which the host sends to.
    own: [u32; 2],
    host: End,
    heard: Micros,
}

/// A host that is being called for a session.
struct Calling {
    call: Call,
    at: SocketAddr,
    token: Token,
    caller: Caller,
    asked: Box<Handshake>,
}

/// A call whose request is not answered yet.
struct Waiting {
    ask: Option<Ask>,
    heard: Micros,
}

struct Front<D> {
    shell: Rc<Shell<D>>,
    socket: UdpSocket,
    listener: RefCell<Listener>,
    waiting: RefCell<HashMap<Caller, Waiting>>,
    calling: RefCell<HashMap<u32, Calling>>,
    /// By own socket, each session under both.
    passing: RefCell<HashMap<u32, Rc<RefCell<Passing>>>>,
}

/// Timers are looked at so often.
const TICK: Duration = Duration::from_millis(20);
/// A caller that repeats its conclusion no more has given up.
const GIVEN_UP: Micros = 1_500_000;
/// A host must take a call within this.
const CALL: Micros = 1_500_000;
/// Datagrams that are read before other tasks have their turn.
const BATCH: usize = 64;

/// Begins to listen.
pub(crate) async fn listen<D: Decide + 'static>(
    settings: config::Srt,
    shell: Rc<Shell<D>>,
) -> Result<AbortHandle, String> {
    let told = |why: std::io::Error| format!("srt: cannot listen on {}: {why}", settings.listen);
    let socket = UdpSocket::bind(settings.listen).await.map_err(told)?;
    let address = socket.local_addr().map_err(told)?;
    let bounds =
        Bounds { callers: settings.callers, per_address: settings.per_address, linger: settings.linger };
    let front = Rc::new(Front {
        shell: shell.clone(),
        socket,
        listener: RefCell::new(Listener::new(rand::random(), bounds)),
        waiting: RefCell::default(),
        calling: RefCell::default(),
        passing: RefCell::default(),
    });
    shell.srt.set(Some(address));
    tracing::info!(%address, "listening for SRT");
    Ok(spawn_local(front.run()).abort_handle())
}

impl<D: Decide + 'static> Front<D> {
    async fn run(self: Rc<Self>) {
        let mut buffer = vec![0; packet::MOST + 1];
        let mut tick = tokio::time::interval(TICK);
        tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                ready = self.socket.readable() => {
                    if ready.is_err() {
                        tokio::time::sleep(TICK).await;
                    }
                    for _ in 0..BATCH {
                        match self.socket.try_recv_from(&mut buffer) {
                            // One that is too long came cut: passed on it would be another packet.
                            Ok((length, _)) if length > packet::MOST => {}
                            Ok((length, from)) => self.datagram(from, &mut buffer[..length]),
                            // Nothing more, or news of an earlier datagram that found nobody.
                            Err(why) if why.kind() == std::io::ErrorKind::WouldBlock => break,
                            Err(_) => {}
                        }
                    }
                    tokio::task::yield_now().await;
                }
                _ = tick.tick() => self.tick(),
            }
        }
    }

    /// What the system has no room for is lost, as on any link.
    fn send(&self, to: SocketAddr, datagram: &[u8]) {
        let _ = self.socket.try_send_to(datagram, to);
    }

    fn datagram(self: &Rc<Self>, from: SocketAddr, datagram: &mut [u8]) {
        let now = self.shell.now();
        match packet::destination(datagram) {
            None => {}
            Some(0) => self.call(now, from, datagram),
            Some(own) => {
                let passing = self.passing.borrow().get(&own).cloned();
                if let Some(passing) = passing {
                    return self.pass(now, from, own, &mut passing.borrow_mut(), datagram);
                }
                let mut calling = self.calling.borrow_mut();
                let Some(one) = calling.get_mut(&own).filter(|c| c.at == from) else { return };
                let outcome = one.call.handle(now, Some(datagram));
                drop(calling);
                if let Some(outcome) = outcome {
                    self.called(now, own, outcome);
                }
            }
        }
    }

    /// Passes a packet to the other end. Those that do not come from where the session is are dropped, whatever they say.
    fn pass(&self, now: Micros, from: SocketAddr, own: u32, of: &mut Passing, datagram: &mut [u8]) {
        let of_caller = own == of.own[0];
        let (is, (to, socket)) = if of_caller { (of.caller.0, of.host) } else { (of.host.0, of.caller) };
        if from != is {
            return;
        }
        datagram[12..16].copy_from_slice(&socket.to_be_bytes());
        self.send(to, datagram);
        let heard = of_caller && now - of.heard >= 1_000_000;
        if heard {
            of.heard = now;
            self.shell.with_engine(|e| e.flows(now, of.token, true));
        }
        // A control packet of the type of a shutdown.
        if of_caller && datagram[..2] == [0x80, 5] {
            self.shell.feed(Input::Leave { token: of.token });
        }
    }

    /// A datagram for the listener.
    fn call(self: &Rc<Self>, now: Micros, from: SocketAddr, datagram: &[u8]) {
        let heard = self.listener.borrow_mut().handle(now, from, datagram);
        match heard {
            Heard::Reply(reply) => self.send(from, &reply),
            Heard::Dropped(Dropped::Waiting) => {
                let socket = match packet::read(datagram) {
                    Ok(Packet::Control { control: Control::Handshake(hs), .. }) => hs.socket,
                    _ => return,
                };
                if let Some(waiting) = self.waiting.borrow_mut().get_mut(&(from, socket)) {
                    waiting.heard = now;
                }
            }
            Heard::Dropped(why) => tracing::trace!(%from, ?why, "dropped"),
            Heard::Asked { caller, handshake, stamp } => {
                self.waiting.borrow_mut().insert(caller, Waiting { ask: None, heard: now });
                spawn_local(self.clone().asked(now, caller, handshake, stamp));
            }
        }
    }

    fn reject(&self, caller: Caller, asked: &Handshake, why: u32) {
        self.waiting.borrow_mut().remove(&caller);
        let reply = self.listener.borrow_mut().reject(self.shell.now(), caller, asked, why);
        if let Some(reply) = reply {
            tracing::debug!(from = %caller.0, why, "call rejected");
            self.send(caller.0, &reply);
        }
    }

    /// Makes a call a request, and its answer the call's.
    async fn asked(self: Rc<Self>, came: Micros, caller: Caller, asked: Box<Handshake>, stamp: u32) {
        let wanted = match self.wanted(came, caller, &asked).await {
            Ok(wanted) => wanted,
            Err(why) => return self.reject(caller, &asked, why),
        };
        let (wanted, seating) = wanted;
        let (class, margin) = (wanted.class, self.shell.with_engine(|e| e.config.limits.margin));
        let deadline = came + self.shell.with_engine(|e| e.config.classes[class].patience) - margin;
        let (ask, answer) = self.shell.ask(wanted);
        if let Some(waiting) = self.waiting.borrow_mut().get_mut(&caller) {
            waiting.ask = Some(ask);
        }
        let asking = Asking(self.shell.clone(), ask);
        let answer = answer.await;
        drop(asking);
        drop(seating);
        match answer {
            Ok(Answer::Flows { token, at, stream_id }) => {
                let now = self.shell.now();
                // The host's answer is part of the one that the caller waits for.
                let within = CALL.min(deadline - now).max(0);
                let (socket, latency, window, keys) = (self.free_socket(), 0, asked.window, None);
                let calls = Calls { socket, seq: asked.seq, stream_id, latency, window, keys, within };
                // Its clock went on while it waited.
                let stamp = stamp.wrapping_add((now - came) as u32);
                let call = Call::passing(now, calls, (*asked).clone(), stamp);
                self.calling.borrow_mut().insert(socket, Calling { call, at, token, caller, asked });
                self.tick();
            }
            Ok(Answer::Refused { .. }) => self.reject(caller, &asked, reason::OVERLOAD),
            Ok(Answer::Failed { .. } | Answer::Plays { .. }) => self.reject(caller, &asked, reason::GATEWAY),
            // It gave up.
            Err(_) => {
                self.waiting.borrow_mut().remove(&caller);
                self.listener.borrow_mut().forget(self.shell.now(), caller);
            }
        }
    }

    fn free_socket(&self) -> u32 {
        loop {
            let socket = rand::random::<u32>();
            let taken =
                self.passing.borrow().contains_key(&socket) || self.calling.borrow().contains_key(&socket);
            if socket != 0 && !taken {
                return socket;
            }
        }
    }

    /// The request that a stream id makes, with its seat; or why it is none.
    async fn wanted(
        &self,
        came: Micros,
        caller: Caller,
        asked: &Handshake,
    ) -> Result<(Wanted, Option<crate::entitle::Seating<D>>), u32> {
        let id = StreamId::read(asked.stream_id.as_deref().unwrap_or_default())
            .map_err(|_| reason::BAD_REQUEST)?;
        let sane =
            |t: &str| !t.is_empty() && t.len() <= 256 && !t.contains(['/', '\\']) && t != "." && t != "..";
        if id.mode != "request" || !sane(&id.resource) {
            return Err(reason::BAD_REQUEST);
        }
        let shell = &self.shell;
        let class = id.get("class").unwrap_or_default();
        let class = shell.with_engine(|e| e.config.classes.iter().position(|c| c.name == class));
        let class = class.ok_or(reason::NOT_FOUND)?;
        let seating = match shell.with_engine(|e| e.config.classes[class].licensed) {
            false => None,
            true => {
                let device =
                    if id.session.is_empty() { caller.0.ip().to_string() } else { id.session.clone() };
                let device = xxhash_rust::xxh3::xxh3_64(device.as_bytes());
                match shell.seat(id.get("token"), device, class, &id.resource).await {
                    Ok(seating) => Some(seating),
                    Err(Barred::Denied(Denied::Elsewhere { .. })) => return Err(reason::FORBIDDEN),
                    Err(why) => {
                        return Err(match why.reply(shell.times()).0 {
                            401 => reason::UNAUTHORIZED,
                            403 => reason::FORBIDDEN,
                            _ => reason::OVERLOAD,
                        });
                    }
                }
            }
        };
        let payer = match &seating {
            Some(seating) => seating.payer.clone(),
            None => Payer {
                tenant: shell.with_engine(|e| e.config.classes[class].tenant.clone()),
                licence: String::new(),
                viewer: if id.session.is_empty() { id.user.clone() } else { id.session.clone() },
            },
        };
        let seated = seating.as_ref().map(|s| s.seated);
        // W3C trace context, passed on to media hosts.
        let trace = id.get("trace").filter(|t| t.len() <= 128).map(str::to_owned);
        let (via, title) = (Via::Srt, id.resource);
        let wanted = Wanted { via, class, title, viewer: None, seated, payer, came, top_bits: None, trace };
        Ok((wanted, seating))
    }

    /// A host answered a call, or did not.
    fn called(&self, now: Micros, socket: u32, outcome: Outcome) {
        let Some(one) = self.calling.borrow_mut().remove(&socket) else { return };
        let (answer, stamp) = match outcome {
            Outcome::Connected { answer, stamp } => (answer, stamp),
            Outcome::Rejected(_) | Outcome::TimedOut => {
                tracing::info!(host = %one.at, ?outcome, "the host does not take the call");
                self.shell.feed(Input::Leave { token: one.token });
                return self.reject(one.caller, &one.asked, reason::GATEWAY);
            }
        };
        self.waiting.borrow_mut().remove(&one.caller);
        let own = [self.free_socket(), socket];
        let flows = self.shell.with_engine(|e| e.flows(now, one.token, true));
        let host = (one.at, answer.socket);
        let accept = || self.listener.borrow_mut().accept(one.caller, &one.asked, own[0], (&answer, stamp));
        match flows.then(accept).flatten() {
            Some(reply) => {
                let passing = Passing { token: one.token, caller: one.caller, own, host, heard: now };
                let passing = Rc::new(RefCell::new(passing));
                own.iter().for_each(|own| drop(self.passing.borrow_mut().insert(*own, passing.clone())));
                self.send(one.caller.0, &reply);
            }
            // It ended meanwhile.
            None => {
                self.shut_down(now, host);
                self.reject(one.caller, &one.asked, reason::GATEWAY);
            }
        }
    }

    fn shut_down(&self, now: Micros, (to, socket): End) {
        let mut out = Vec::with_capacity(packet::HEADER);
        packet::write_control(&mut out, &Control::Shutdown, now as u32, socket);
        self.send(to, &out);
    }

    fn tick(&self) {
        let now = self.shell.now();
        self.listener.borrow_mut().tick(now);
        let mut ended = Vec::new();
        for (socket, one) in self.calling.borrow_mut().iter_mut() {
            match one.call.handle(now, None) {
                Some(outcome) => ended.push((*socket, outcome)),
                None => {
                    if let Some(datagram) = one.call.transmit(now) {
                        self.send(one.at, &datagram);
                    }
                }
            }
        }
        ended.into_iter().for_each(|(socket, outcome)| self.called(now, socket, outcome));
        // Callers that gave up before they were answered.
        let gone: Vec<_> = {
            let waiting = self.waiting.borrow();
            let gone = waiting.iter().filter(|(_, w)| now - w.heard > GIVEN_UP);
            gone.filter_map(|(caller, w)| Some((*caller, w.ask?))).collect()
        };
        for (caller, ask) in gone {
            self.waiting.borrow_mut().remove(&caller);
            self.shell.dropped(ask);
        }
        // Sessions that ended: both ends are told.
        let over =
            |p: &Rc<RefCell<Passing>>| !self.shell.with_engine(|e| e.flows(now, p.borrow().token, false));
        let ended: Vec<_> = self.passing.borrow().values().filter(|p| over(p)).cloned().collect();
        for passing in ended {
            let passing = passing.borrow();
            if self.passing.borrow_mut().remove(&passing.own[0]).is_some() {
                self.passing.borrow_mut().remove(&passing.own[1]);
                self.shut_down(now, passing.caller);
                self.shut_down(now, passing.host);
                self.listener.borrow_mut().forget(now, passing.caller);
            }
        }
    }
}
