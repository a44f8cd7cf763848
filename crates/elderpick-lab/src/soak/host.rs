//! A media host that draws what it does with each set-up.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use elderpick_platform::rtsp::{self, Start};
use elderpick_platform::viewer::cause;
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::task::{AbortHandle, spawn_local};

use super::load::MachineLoad;
use super::pieces;
use super::plan::Plan;
use super::record::{Record, What};
use super::reserved::ReservedAddress;

/// The status of a host that is full.
const FULL: u16 = 453;
/// The status of a host that fails.
const ERROR: u16 = 500;
/// Connections that its system takes before it does.
const BACKLOG: u32 = 256;
/// Answers take at least so long.
const LEAST_WORK: Duration = Duration::from_millis(2);
/// Sessions stand at least so long, unless their viewers leave.
const SHORTEST_SESSION: Duration = Duration::from_millis(20);
/// A viewer that leaves around its answer does so within this time behind it.
const LEAVES_WITHIN_US: u64 = 1_500;

/// What is written on a connection.
enum Output {
    Message(Vec<u8>),
    /// So much of a message, and then the end.
    Cut(Vec<u8>),
    Reset,
}

type Outputs = mpsc::UnboundedSender<Output>;

/// A session that stands, and the connection that it was set up on.
struct Standing {
    outputs: Outputs,
}

struct Inside {
    number: usize,
    plan: Plan,
    record: Record,
    random: RefCell<ChaCha8Rng>,
    /// The load of the machine that it runs on, which other hosts may share.
    load: Rc<MachineLoad>,
    /// Set-ups that are open, by session.
    open: RefCell<BTreeSet<u64>>,
    standing: RefCell<BTreeMap<u64, Standing>>,
    connections: RefCell<Vec<Outputs>>,
    /// What runs for it, and ends with its process.
    tasks: RefCell<Vec<AbortHandle>>,
    /// Ends that the gateway has not confirmed: sent on the next connection as well.
    unconfirmed: RefCell<BTreeMap<u64, Vec<u8>>>,
}

/// A media host that draws what it does with each set-up. Clones are the same host.
#[derive(Clone)]
pub struct RandomHost {
    /// Its name in the list.
    pub name: String,
    /// Where it listens.
    pub address: SocketAddr,
    reserved: Rc<ReservedAddress>,
    inside: Rc<Inside>,
}

impl RandomHost {
    /// Starts one on a port of the system's.
    pub async fn start(number: usize, plan: &Plan, record: &Record) -> std::io::Result<RandomHost> {
        RandomHost::start_on(number, plan, record, Rc::default()).await
    }

    /// Starts one on a machine with this load.
    pub async fn start_on(
        number: usize,
        plan: &Plan,
        record: &Record,
        load: Rc<MachineLoad>,
    ) -> std::io::Result<RandomHost> {
        let reserved = Rc::new(ReservedAddress::take()?);
        let listener = reserved.listen(BACKLOG).await?;
        let address = reserved.address;
        let inside = Rc::new(Inside {
            number,
            plan: plan.clone(),
            record: record.clone(),
            random: RefCell::new(plan.random(number as u64)),
            load,
            open: RefCell::default(),
            standing: RefCell::default(),
            connections: RefCell::default(),
            tasks: RefCell::default(),
            unconfirmed: RefCell::default(),
        });
        inside.clone().accept(listener);
        Ok(RandomHost { name: format!("s-{number}"), address, reserved, inside })
    }

    /// Its process dies: its connections end and its sessions are cut.
    pub fn die(&self) {
        let inside = &self.inside;
        inside.tasks.borrow_mut().drain(..).for_each(|task| task.abort());
        inside.connections.borrow_mut().clear();
        let host = inside.number;
        // Ends that may not have arrived go down with it: the list alone tells of them.
        for (session, _) in std::mem::take(&mut *inside.unconfirmed.borrow_mut()) {
            inside.record.add(What::Cut { host, session });
        }
        for session in std::mem::take(&mut *inside.open.borrow_mut()) {
            inside.record.add(What::Withdrawn { host, session });
        }
        for (session, _) in std::mem::take(&mut *inside.standing.borrow_mut()) {
            inside.load.session_ended();
            inside.record.add(What::Cut { host, session });
        }
    }

    /// Tells the gateway of each session's delivery, as a share of its rate.
    pub fn tell_delivery(&self, share: f64) {
        for (session, standing) in self.inside.standing.borrow().iter() {
            let _ = standing.outputs.send(Output::Message(delivery_note(*session, share)));
        }
    }

    /// Some viewers leave, this share of them.
    pub fn lose_viewers(&self, share: f64) {
        let sessions: Vec<_> = self.inside.standing.borrow().keys().copied().collect();
        for session in sessions {
            let leaves = self.inside.random.borrow_mut().random_bool(share);
            if leaves {
                self.inside.end(session, cause::ENDED_BY_VIEWER);
            }
        }
    }

    /// Another process listens where it did, once the one before is gone.
    pub async fn come_back(&self) -> std::io::Result<()> {
        self.inside.clone().accept(self.reserved.listen(BACKLOG).await?);
        Ok(())
    }
}

/// A note on a session that stands.
fn delivery_note(session: u64, share: f64) -> Vec<u8> {
    let head = "ANNOUNCE rtsp://media/session RTSP/1.0\r\nCSeq: 4\r\n";
    format!("{head}Session: {session:016x}\r\nX-Note: d\r\nP-Amount: {share:.3}\r\nContent-Length: 0\r\n\r\n")
        .into_bytes()
}

/// The lines behind the first of a description that has the platform's lines.
const LINES: &str = "c=IN IP4 127.0.0.1\r\nm=audio 31000 RTP/AVP 0 8 101\r\n";

/// The description that a host answers a session's set-up with.
fn description(host: usize, session: u64, in_lines: bool) -> String {
    let lines = if in_lines { LINES } else { "" };
    format!("{session:016x} at {host}\r\n{lines}")
}

fn answer(session: u64, body: &str) -> Vec<u8> {
    answer_with(session, body.len(), body)
}

/// An answer with this description, of which the head tells this length.
fn answer_with(session: u64, length: usize, body: &str) -> Vec<u8> {
    let head =
        format!("RTSP/1.0 200 OK\r\nCSeq: 1\r\nSession: {session:016x}\r\nContent-Length: {length}\r\n\r\n");
    [&head, body].concat().into_bytes()
}

/// Ways to spoil an answer.
const SPOILS: u32 = 3;
/// Most bytes by which a length is overstated, and understated.
const MOST_OVERSTATED: usize = 160;
const MOST_UNDERSTATED: usize = 8;
/// A second answer comes within this time.
const DOUBLED_WITHIN_US: u64 = 5_000;

/// An answer that no viewer may be given.
fn spoilt_answer(random: &mut ChaCha8Rng, session: u64, body: &str) -> Vec<u8> {
    match random.random_range(0..SPOILS) {
        0 => answer_with(session, body.len() + random.random_range(1..=MOST_OVERSTATED), body),
        1 => answer_with(session, body.len() - random.random_range(1..=MOST_UNDERSTATED), body),
        _ => b"RTSP/1.0 200 OK\r\nCSeq: 1\r\n\x07\x01\x02 noise\r\n\r\n".to_vec(),
    }
}

impl Inside {
    fn accept(self: Rc<Self>, listener: TcpListener) {
        let inside = self.clone();
        let accepting = spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let talking = spawn_local(inside.clone().talk(stream));
                inside.tasks.borrow_mut().push(talking.abort_handle());
            }
        });
        self.tasks.borrow_mut().push(accepting.abort_handle());
    }

    /// One connection, until either side ends it.
    async fn talk(self: Rc<Self>, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let (mut reads, writes) = stream.into_split();
        let (outputs, queue) = mpsc::unbounded_channel();
        self.connections.borrow_mut().push(outputs.clone());
        for end in self.unconfirmed.borrow().values() {
            let _ = outputs.send(Output::Message(end.clone()));
        }
        let mut writing = spawn_local(self.clone().write(writes, queue));
        self.tasks.borrow_mut().push(writing.abort_handle());
        let (mut decoder, mut chunk) = (rtsp::Decoder::default(), vec![0; 4096]);
        let mut set_up_here = BTreeSet::new();
        loop {
            let read = tokio::select! {
                read = reads.read(&mut chunk) => read,
                _ = &mut writing => break,
            };
            let Ok(read @ 1..) = read else { break };
            decoder.push(&chunk[..read]);
            while let Ok(Some(message)) = decoder.message() {
                match &message.start {
                    Start::Request { method } => {
                        if method == "SETUP" {
                            set_up_here.insert(message.session);
                        }
                        self.clone().request(method, &message, &outputs);
                    }
                    Start::Response { .. } => drop(self.unconfirmed.borrow_mut().remove(&message.session)),
                }
            }
        }
        // Set-ups that are open on a connection are given up when it closes.
        for session in set_up_here {
            if self.open.borrow_mut().remove(&session) {
                self.record.add(What::Withdrawn { host: self.number, session });
            }
        }
        self.connections.borrow_mut().retain(|other| !other.same_channel(&outputs));
        writing.abort();
    }

    async fn write(
        self: Rc<Self>,
        mut writes: tokio::net::tcp::OwnedWriteHalf,
        mut queue: mpsc::UnboundedReceiver<Output>,
    ) {
        while let Some(output) = queue.recv().await {
            let written = match output {
                Output::Message(bytes) => {
                    pieces::write(&mut writes, &self.random, self.plan.pieces, &bytes).await
                }
                Output::Cut(bytes) => {
                    let _ = writes.write_all(&bytes).await;
                    break;
                }
                Output::Reset => {
                    // It waits for nothing here: what is unsent is dropped.
                    #[allow(deprecated)]
                    let _ = writes.as_ref().set_linger(Some(Duration::ZERO));
                    return writes.forget();
                }
            };
            if written.is_err() {
                break;
            }
        }
        let _ = writes.shutdown().await;
    }

    fn request(self: Rc<Self>, method: &str, message: &rtsp::Message, outputs: &Outputs) {
        let session = message.session;
        let send = |bytes| drop(outputs.send(Output::Message(bytes)));
        match method {
            "SETUP" => {
                self.record.add(What::Arrived { host: self.number, session });
                self.open.borrow_mut().insert(session);
                spawn_local(self.serve(session, outputs.clone()));
            }
            "TEARDOWN" => {
                if self.open.borrow_mut().remove(&session) {
                    self.record.add(What::Withdrawn { host: self.number, session });
                }
                if self.standing.borrow_mut().remove(&session).is_some() {
                    self.load.session_ended();
                    self.record.add(What::ReleasedAtHost { host: self.number, session });
                    send(rtsp::teardown(session, Some(cause::ENDED_BY_VIEWER)));
                }
                send(rtsp::response(200, message.cseq, session));
            }
            "OPTIONS" => {
                self.load.probed();
                let state = format!("X-State: utilization:{:.3}\r\n", self.load.utilization());
                let head = format!("RTSP/1.0 200 OK\r\nCSeq: 3\r\nSession: {session:016x}\r\n");
                send(format!("{head}{state}Content-Length: 0\r\n\r\n").into_bytes());
            }
            _ => {}
        }
    }

    /// Decides on a set-up, works on it, and keeps its session until it ends.
    async fn serve(self: Rc<Self>, session: u64, outputs: Outputs) {
        let shares = self.plan.shares;
        let (draw, work) = {
            let mut random = self.random.borrow_mut();
            let most = (self.plan.deadline / 2).max(LEAST_WORK + Duration::from_millis(1));
            (random.random::<f64>(), random.random_range(LEAST_WORK..most))
        };
        let mut bound = shares.silent;
        if draw < bound {
            return;
        }
        tokio::time::sleep(work).await;
        if !self.open.borrow_mut().remove(&session) {
            return;
        }
        for (share, status) in [(shares.full, FULL), (shares.failed, ERROR)] {
            bound += share;
            if draw < bound {
                self.record.add(What::Refused { host: self.number, session, status });
                drop(outputs.send(Output::Message(rtsp::response(status, 1, session))));
                return;
            }
        }
        bound += shares.reset;
        if draw < bound {
            self.record.add(What::Withdrawn { host: self.number, session });
            drop(outputs.send(Output::Reset));
            return;
        }
        let description = description(self.number, session, self.plan.described_in_lines);
        let mut bytes = answer(session, &description);
        bound += shares.cut;
        let is_spoilt = draw > 1.0 - shares.spoilt;
        if is_spoilt {
            bytes = spoilt_answer(&mut self.random.borrow_mut(), session, &description);
        } else if draw > 1.0 - shares.spoilt - shares.doubled {
            self.clone().answer_again(outputs.clone(), bytes.clone());
        }
        self.record.add(What::Answered { host: self.number, session, description });
        if is_spoilt || draw < bound {
            self.record.add(What::AnswerBroken { host: self.number, session });
        }
        self.standing.borrow_mut().insert(session, Standing { outputs: outputs.clone() });
        self.load.session_began();
        if draw < bound {
            let whole = self.random.borrow_mut().random_range(1..bytes.len());
            drop(outputs.send(Output::Cut(bytes[..whole].to_vec())));
        } else {
            drop(outputs.send(Output::Message(bytes)));
        }
        self.end_in_time(session, draw < bound + shares.left).await;
    }

    /// Sends an answer a second time, some milliseconds later.
    fn answer_again(self: Rc<Self>, outputs: Outputs, bytes: Vec<u8>) {
        let after = Duration::from_micros(self.random.borrow_mut().random_range(0..DOUBLED_WITHIN_US));
        spawn_local(async move {
            tokio::time::sleep(after).await;
            let _ = outputs.send(Output::Message(bytes));
        });
    }

    /// Waits until a session ends by itself.
    async fn end_in_time(&self, session: u64, left: bool) {
        let (lasts, cause) = {
            let mut random = self.random.borrow_mut();
            let lasts = random.random_range(SHORTEST_SESSION..self.plan.longest_session);
            let leaves = Duration::from_micros(random.random_range(0..LEAVES_WITHIN_US));
            if left { (leaves, cause::ENDED_BY_VIEWER) } else { (lasts, cause::GIVEN_UP) }
        };
        tokio::time::sleep(lasts).await;
        self.end(session, cause);
    }

    /// Ends a session that stands.
    fn end(&self, session: u64, cause: u8) {
        let Some(standing) = self.standing.borrow_mut().remove(&session) else { return };
        self.load.session_ended();
        self.record.add(What::EndedByHost { host: self.number, session, cause });
        let end = rtsp::teardown(session, Some(cause));
        self.unconfirmed.borrow_mut().insert(session, end.clone());
        // On its own connection, else on any; on the next one as well, unless it is confirmed by then.
        if standing.outputs.send(Output::Message(end.clone())).is_ok() {
            return;
        }
        let other = self.connections.borrow().iter().find(|other| !other.is_closed()).cloned();
        if let Some(other) = other {
            let _ = other.send(Output::Message(end));
        }
    }
}
