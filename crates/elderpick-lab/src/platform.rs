//! Stand-ins of the platform: scripted media hosts, its journal service, viewers, and a gateway's process among them.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::rc::Rc;
use std::time::Duration;

use elderpick_platform::rtsp::{self, Start};
use elderpick_platform::viewer::{self, Message};
use serde_json::{Value, json};
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::process::{Child, Command};
use tokio::sync::mpsc;
use tokio::task::{AbortHandle, spawn_local};

use crate::signal::{Signal, Subscription};

/// What is waited for at most, before a test counts as failed.
pub const PATIENCE: Duration = Duration::from_secs(20);

fn fault(why: impl std::fmt::Display) -> String {
    why.to_string()
}

/// What a host does with a set-up.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Does {
    Answers,
    /// Refuses with this status.
    Refuses(u16),
    /// Answers with what cannot be read and leaves the connection open.
    Spoils,
    /// Closes the connection in the middle of its answer.
    BreaksOff,
    /// Answers twice.
    Doubles,
    /// Answers, tells of poor delivery and ends the session, in one piece.
    EndsAtOnce(u8),
    /// Answers and tells of delivery in one piece.
    Notes,
    /// Says nothing until it is told to go on.
    Holds,
    /// Says nothing until it is told to go on, and refuses then.
    HoldsRefusal(u16),
    /// Answers with a `Content-Length` that is so many bytes less than the description.
    Understates(usize),
}

/// What a host's connection is told to do.
enum Word {
    Say(Vec<u8>),
    Close,
    /// Ends so that the other side sees a reset.
    Reset,
    /// Reads nothing more, until it reads again.
    Deaf,
    Hears,
}

type Words = mpsc::UnboundedSender<Word>;

/// A message that a host got: method, session, and the cause or rung that it names.
pub type Seen = (String, u64, Option<String>);

#[derive(Default)]
struct Inside {
    script: RefCell<VecDeque<Does>>,
    seen: RefCell<Vec<Seen>>,
    /// Class and patience of each set-up, by session.
    asked: RefCell<BTreeMap<u64, (String, u64)>>,
    standing: RefCell<BTreeMap<u64, Words>>,
    heard: RefCell<Vec<u64>>,
    go_on: Signal,
    lines: RefCell<Vec<Words>>,
    /// Connections that were taken, and what was done on all of them as they were told.
    taken: Cell<usize>,
    done: Cell<usize>,
    /// Connections that the gateway has ended.
    ended: Cell<usize>,
    /// The connection of each set-up that is undecided, and most that there were on one at a time.
    undecided: RefCell<BTreeMap<u64, usize>>,
    most_undecided: Cell<usize>,
    /// Bytes of the longest message.
    longest: Cell<usize>,
    /// Bytes of the descriptions with which it answers what it holds.
    long: Cell<Option<usize>>,
}

/// A scripted media host.
pub struct Host {
    pub name: String,
    pub address: SocketAddr,
    inside: Rc<Inside>,
    accepting: RefCell<Option<AbortHandle>>,
    talking: Rc<RefCell<Vec<AbortHandle>>>,
    /// Listens, and takes no connection until it is told to.
    held: RefCell<Option<(TcpListener, TcpStream)>>,
}

/// The description that a host answers a session's set-up with.
pub fn description(session: u64) -> Vec<u8> {
    format!("{session:016x}\r\nm=video 1 RTP/AVP 96\r\n\r\n\u{e9}").into_bytes()
}

fn answer(session: u64) -> Vec<u8> {
    let body = description(session);
    answer_of(session, &body, body.len())
}

/// An answer with this description, of which the head tells so many bytes.
fn answer_of(session: u64, body: &[u8], told: usize) -> Vec<u8> {
    let head =
        format!("RTSP/1.0 200 OK\r\nCSeq: 1\r\nSession: {session:016x}\r\nContent-Length: {told}\r\n\r\n");
    [head.as_bytes(), body].concat()
}

/// An answer with a word on poor delivery right behind it.
pub fn answer_with_note(session: u64) -> Vec<u8> {
    [answer(session), note(session)].concat()
}

fn note(session: u64) -> Vec<u8> {
    let head = "ANNOUNCE rtsp://media/session RTSP/1.0\r\nCSeq: 4\r\n";
    format!("{head}Session: {session:016x}\r\nX-Note: d\r\nP-Amount: 0.551\r\nContent-Length: 0\r\n\r\n")
        .into_bytes()
}

impl Host {
    /// Starts one on a port of the system's.
    pub async fn start(name: &str) -> Result<Host, String> {
        let listener = TcpListener::bind("127.0.0.1:0").await.map_err(fault)?;
        let address = listener.local_addr().map_err(fault)?;
        let host = Host::at(name, address);
        host.accept(listener);
        Ok(host)
    }

    /// Starts one whose system takes little of what it does not read.
    pub async fn start_narrow(name: &str) -> Result<Host, String> {
        let socket = TcpSocket::new_v4().map_err(fault)?;
        socket.set_recv_buffer_size(2_048).map_err(fault)?;
        socket.bind(([127, 0, 0, 1], 0).into()).map_err(fault)?;
        let listener = socket.listen(64).map_err(fault)?;
        let host = Host::at(name, listener.local_addr().map_err(fault)?);
        host.accept(listener);
        Ok(host)
    }

    /// Starts one to which no connection comes up until [`Host::let_in`]: its queue is full.
    pub async fn start_held(name: &str) -> Result<Host, String> {
        let socket = TcpSocket::new_v4().map_err(fault)?;
        socket.bind(([127, 0, 0, 1], 0).into()).map_err(fault)?;
        // One connection fits that is not taken.
        let listener = socket.listen(0).map_err(fault)?;
        let address = listener.local_addr().map_err(fault)?;
        let first = TcpStream::connect(address).await.map_err(fault)?;
        let host = Host::at(name, address);
        *host.held.borrow_mut() = Some((listener, first));
        Ok(host)
    }

    fn at(name: &str, address: SocketAddr) -> Host {
        Host {
            name: name.into(),
            address,
            inside: Rc::default(),
            accepting: RefCell::default(),
            talking: Rc::default(),
            held: RefCell::default(),
        }
    }

    fn accept(&self, listener: TcpListener) {
        let (within, talks) = (self.inside.clone(), self.talking.clone());
        let accepting = spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let inside = within.clone();
                let number = inside.taken.get();
                inside.taken.set(number + 1);
                let talk = spawn_local(async move { inside.talk(stream, number).await });
                talks.borrow_mut().push(talk.abort_handle());
            }
        });
        *self.accepting.borrow_mut() = Some(accepting.abort_handle());
    }

    /// Listens again where it did before it died, as a process that knows of nothing.
    pub async fn come_back(&self) -> Result<(), String> {
        let socket = TcpSocket::new_v4().map_err(fault)?;
        socket.set_reuseaddr(true).map_err(fault)?;
        socket.bind(self.address).map_err(fault)?;
        self.accept(socket.listen(64).map_err(fault)?);
        Ok(())
    }

    /// Takes the connections that were held off; the one that filled the queue is its own.
    pub fn let_in(&self) {
        if let Some((listener, first)) = self.held.borrow_mut().take() {
            drop(first);
            self.accept(listener);
        }
    }

    /// How many connections it has taken.
    pub fn taken(&self) -> usize {
        self.inside.taken.get()
    }

    /// How many of them the gateway has ended, as far as they were read.
    pub fn ended(&self) -> usize {
        self.inside.ended.get()
    }

    /// Most set-ups that one of its connections has carried at a time.
    pub fn most_on_one_connection(&self) -> usize {
        self.inside.most_undecided.get()
    }

    /// How many bytes the longest message had that it got.
    pub fn longest_message(&self) -> usize {
        self.inside.longest.get()
    }

    /// How many things its connections have done, of those that they were told.
    pub fn done(&self) -> usize {
        self.inside.done.get()
    }

    fn tell_lines(&self, word: impl Fn() -> Word) {
        let mut lines = self.inside.lines.borrow_mut();
        lines.retain(|line| line.send(word()).is_ok());
    }

    /// Says something on all its connections.
    pub fn say(&self, bytes: &[u8]) {
        self.tell_lines(|| Word::Say(bytes.to_vec()));
    }

    /// Closes all its connections, or resets them, and goes on listening.
    pub fn hang_up(&self, reset: bool) {
        self.tell_lines(|| if reset { Word::Reset } else { Word::Close });
    }

    /// Reads nothing more on the connections that are up.
    pub fn stop_reading(&self) {
        self.tell_lines(|| Word::Deaf);
    }

    /// Reads again on the connections that are still up for it.
    pub fn read_on(&self) {
        self.tell_lines(|| Word::Hears);
    }

    /// What it does with the next set-ups; after that it answers.
    pub fn script(&self, does: &[Does]) {
        self.inside.script.borrow_mut().extend(does);
    }

    pub fn go_on(&self) {
        self.inside.go_on.send();
    }

    /// Goes on, and answers what it holds with descriptions of so many bytes.
    pub fn answer_long(&self, bytes: usize) {
        self.inside.long.set(Some(bytes));
        self.go_on();
    }

    pub fn seen(&self) -> Vec<Seen> {
        self.inside.seen.borrow().clone()
    }

    /// Class and patience that a set-up named.
    pub fn asked(&self, session: u64) -> Option<(String, u64)> {
        self.inside.asked.borrow().get(&session).cloned()
    }

    /// Sessions whose release the gateway has said to have heard.
    pub fn heard(&self) -> Vec<u64> {
        self.inside.heard.borrow().clone()
    }

    /// Ends a session that stands there.
    pub fn end(&self, session: u64, cause: u8) {
        if let Some(line) = self.inside.standing.borrow_mut().remove(&session) {
            let _ = line.send(Word::Say(rtsp::teardown(session, Some(cause))));
        }
    }

    /// Dies: nothing listens any more and all connections end.
    pub fn die(&self) {
        if let Some(accepting) = self.accepting.borrow_mut().take() {
            accepting.abort();
        }
        self.talking.borrow_mut().drain(..).for_each(|talk| talk.abort());
    }
}

impl Inside {
    async fn talk(self: Rc<Self>, stream: TcpStream, connection: usize) {
        let (mut reads, mut writes) = stream.into_split();
        let (line, mut words) = mpsc::unbounded_channel::<Word>();
        self.lines.borrow_mut().push(line.clone());
        let (mut decoder, mut chunk, mut deaf) = (rtsp::Decoder::default(), vec![0; 4096], false);
        loop {
            tokio::select! {
                word = words.recv() => {
                    let goes_on = match word {
                        Some(Word::Say(word)) => writes.write_all(&word).await.is_ok(),
                        Some(word @ (Word::Deaf | Word::Hears)) => {
                            deaf = matches!(word, Word::Deaf);
                            true
                        }
                        // The deprecated way waits for nothing here: what is unsaid is dropped.
                        #[allow(deprecated)]
                        Some(Word::Reset) => writes.as_ref().set_linger(Some(Duration::ZERO)).is_err(),
                        Some(Word::Close) | None => false,
                    };
                    if !goes_on {
                        drop((reads, writes));
                        return self.done.set(self.done.get() + 1);
                    }
                    self.done.set(self.done.get() + 1);
                }
                read = reads.read(&mut chunk), if !deaf => {
                    let Ok(read @ 1..) = read else { return self.ended.set(self.ended.get() + 1) };
                    decoder.push(&chunk[..read]);
                    while let Ok(Some(message)) = decoder.message() {
                        self.longest.set(self.longest.get().max(message.length()));
                        self.take(&message, connection, &line);
                    }
                }
            }
        }
    }

    /// A set-up waits for its decision on a connection.
    fn holds(&self, session: u64, connection: usize) {
        let mut undecided = self.undecided.borrow_mut();
        undecided.insert(session, connection);
        let there = undecided.values().filter(|other| **other == connection).count();
        self.most_undecided.set(self.most_undecided.get().max(there));
    }

    fn take(self: &Rc<Self>, message: &rtsp::Message, connection: usize, line: &Words) {
        let session = message.session;
        let Start::Request { method } = &message.start else {
            return self.heard.borrow_mut().push(session);
        };
        let detail = message.header("Reason").or_else(|| message.header("P-Level"));
        self.seen.borrow_mut().push((method.clone(), session, detail.map(str::to_owned)));
        let say = |bytes: Vec<u8>| drop(line.send(Word::Say(bytes)));
        match method.as_str() {
            "SETUP" => {
                let told = |name| message.header(name).unwrap_or_default().trim().to_owned();
                let patience = told("X-Patience").parse().unwrap_or_default();
                self.asked.borrow_mut().insert(session, (told("Subject"), patience));
                let does = self.script.borrow_mut().pop_front().unwrap_or(Does::Answers);
                let stands = !matches!(
                    does,
                    Does::Refuses(_)
                        | Does::Spoils
                        | Does::BreaksOff
                        | Does::EndsAtOnce(_)
                        | Does::HoldsRefusal(_)
                );
                if stands {
                    self.standing.borrow_mut().insert(session, line.clone());
                }
                match does {
                    Does::Answers => say(answer(session)),
                    Does::Understates(bytes) => {
                        let body = description(session);
                        say(answer_of(session, &body, body.len() - bytes));
                    }
                    Does::Doubles => say([answer(session), answer(session), answer(!session)].concat()),
                    Does::EndsAtOnce(cause) => {
                        say([answer(session), note(session), rtsp::teardown(session, Some(cause))].concat());
                    }
                    Does::Notes => say(answer_with_note(session)),
                    Does::Refuses(status) => say(rtsp::response(status, 1, session)),
                    Does::Spoils => say(b"RTSP/1.0 200 OK\r\nCSeq: 1\r\n\x07\x01\x02 noise\r\n\r\n".to_vec()),
                    Does::BreaksOff => {
                        say(answer(session)[..60].to_vec());
                        let _ = line.send(Word::Close);
                    }
                    Does::Holds | Does::HoldsRefusal(_) => {
                        let (inside, line) = (self.clone(), line.clone());
                        // Here and not in the task, which may be polled for the first time after the signal.
                        let mut go_on = self.go_on.subscribe();
                        let then = match does {
                            Does::HoldsRefusal(status) => rtsp::response(status, 1, session),
                            _ => answer(session),
                        };
                        self.holds(session, connection);
                        spawn_local(async move {
                            go_on.received().await;
                            inside.undecided.borrow_mut().remove(&session);
                            let long =
                                inside.long.get().map(|bytes| answer_of(session, &vec![b'y'; bytes], bytes));
                            let _ = line.send(Word::Say(long.unwrap_or(then)));
                        });
                    }
                }
            }
            "TEARDOWN" => {
                self.undecided.borrow_mut().remove(&session);
                if self.standing.borrow_mut().remove(&session).is_some() {
                    say(rtsp::teardown(session, Some(31)));
                }
                say(rtsp::response(200, message.cseq, session));
            }
            "OPTIONS" => {
                let state = "X-State: utilization:0.200\r\n";
                let head = format!("RTSP/1.0 200 OK\r\nCSeq: 3\r\nSession: {session:016x}\r\n");
                say(format!("{head}{state}Content-Length: 0\r\n\r\n").into_bytes());
            }
            _ => {}
        }
    }
}

/// How a journal speaks.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Speaks {
    Well,
    /// Answers the call and says nothing more.
    NotAtAll,
    /// Sends an event byte by byte, which does not end.
    Trickling,
    /// Answers the call and closes.
    Closing,
    /// Tells its next event with a host in it that cannot be read, this once, and closes.
    SpoiltOnce,
}

/// The journal service: events from the first on, to whoever asks.
pub struct Journal {
    pub address: SocketAddr,
    told: Rc<RefCell<Vec<Value>>>,
    news: Signal,
    breaks: Signal,
    /// How it answers calls from now on.
    pub speaks: Rc<Cell<Speaks>>,
    /// Streams that are open say nothing more, and stay open.
    mute: Signal,
    /// How many streams have fallen silent.
    pub silent: Rc<Cell<usize>>,
    /// The `Last-Event-ID` of each call.
    pub calls: Rc<RefCell<Vec<u64>>>,
}

impl Journal {
    pub async fn start() -> Result<Journal, String> {
        Journal::start_as(Speaks::Well).await
    }

    pub async fn start_as(speaks: Speaks) -> Result<Journal, String> {
        let listener = TcpListener::bind("127.0.0.1:0").await.map_err(fault)?;
        let address = listener.local_addr().map_err(fault)?;
        let journal = Journal {
            address,
            told: Rc::default(),
            news: Signal::default(),
            breaks: Signal::default(),
            speaks: Rc::new(Cell::new(speaks)),
            mute: Signal::default(),
            silent: Rc::default(),
            calls: Rc::default(),
        };
        let (told, calls) = (journal.told.clone(), journal.calls.clone());
        let (speaks, silent) = (journal.speaks.clone(), journal.silent.clone());
        let (news, breaks, mute) = (journal.news.clone(), journal.breaks.clone(), journal.mute.clone());
        spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let (told, calls) = (told.clone(), calls.clone());
                let (speaks, silent) = (speaks.clone(), silent.clone());
                let signals = (news.subscribe(), breaks.subscribe(), mute.subscribe());
                spawn_local(async move {
                    let _ = tell(stream, &told, signals, &silent, &calls, &speaks).await;
                });
            }
        });
        Ok(journal)
    }

    /// Adds an event with these hosts, each with its state; gives its number.
    pub fn tell(&self, whole: bool, hosts: &[(&Host, &str)]) -> u64 {
        let number = self.told.borrow().len() as u64 + 1;
        let hosts: Vec<_> = hosts
            .iter()
            .map(|(host, health)| {
                json!({"host": host.name, "dial": host.address.to_string(), "site": "here", "class": "one",
                       "block": 0, "health": health, "share": 50.0, "born_ms": 0})
            })
            .collect();
        let event = json!({"pos": number, "hosts": {"seq": number, "whole": whole, "hosts": hosts}});
        self.told.borrow_mut().push(event);
        self.news.send();
        number
    }

    /// Breaks all streams off in the middle of an event that it has not told otherwise.
    pub fn break_off(&self) {
        self.breaks.send();
    }

    /// Falls silent on all streams, which stay open; calls from now on are answered.
    pub fn fall_silent(&self) {
        self.mute.send();
    }

    /// Takes over what another one has told.
    pub fn succeed(&self, other: &Journal) {
        self.told.borrow_mut().clone_from(&other.told.borrow());
    }
}

async fn tell(
    mut stream: TcpStream,
    told: &RefCell<Vec<Value>>,
    (mut news, mut breaks, mut mute): (Subscription, Subscription, Subscription),
    silent: &Cell<usize>,
    calls: &RefCell<Vec<u64>>,
    speaks: &Cell<Speaks>,
) -> std::io::Result<()> {
    let mut head = String::new();
    let (reads, mut writes) = stream.split();
    let mut reads = BufReader::new(reads);
    while !head.ends_with("\r\n\r\n") {
        if reads.read_line(&mut head).await? == 0 {
            return Ok(());
        }
    }
    let last =
        head.lines().find_map(|l| l.to_ascii_lowercase().strip_prefix("last-event-id:")?.trim().parse().ok());
    let mut last: u64 = last.unwrap_or(0);
    calls.borrow_mut().push(last);
    writes
        .write_all(b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n")
        .await?;
    match speaks.get() {
        Speaks::Well => {}
        Speaks::Closing => return Ok(()),
        Speaks::NotAtAll => loop {
            if reads.read_line(&mut head).await? == 0 {
                return Ok(());
            }
        },
        Speaks::Trickling => {
            writes.write_all(b"data: ").await?;
            loop {
                writes.write_all(b"x").await?;
                tokio::time::sleep(Duration::from_millis(200)).await;
            }
        }
        Speaks::SpoiltOnce => {
            let next = told.borrow().get(last as usize).map(Value::to_string);
            let Some(next) = next else { return Ok(()) };
            speaks.set(Speaks::Well);
            let event = next.replace("127.0.0.1:", "127.0.0.1;");
            return writes.write_all(format!("id: {}\ndata: {event}\n\n", last + 1).as_bytes()).await;
        }
    }
    loop {
        let more: Vec<_> = told.borrow().iter().skip(last as usize).cloned().collect();
        for event in more {
            last += 1;
            // Each is told twice: numbers decide.
            for _ in 0..2 {
                writes.write_all(format!("id: {last}\ndata: {event}\n\n").as_bytes()).await?;
            }
        }
        tokio::select! {
            () = news.received() => {}
            () = breaks.received() => {
                return writes.write_all(format!("id: {}\ndata: {{\"pos\":", last + 1).as_bytes()).await;
            }
            () = mute.received() => {
                silent.set(silent.get() + 1);
                while reads.read_line(&mut head).await? > 0 {}
                return Ok(());
            }
            () = tokio::time::sleep(Duration::from_secs(1)) => writes.write_all(b": awake\n\n").await?,
        }
    }
}

/// One connection of viewers.
pub struct Viewers {
    reads: OwnedReadHalf,
    writes: OwnedWriteHalf,
    decoder: viewer::Decoder,
}

impl Viewers {
    pub async fn connect(to: SocketAddr) -> Result<Viewers, String> {
        Viewers::over(TcpStream::connect(to).await.map_err(fault)?)
    }

    /// Connects with a system that takes little of what is not read.
    pub async fn connect_narrow(to: SocketAddr) -> Result<Viewers, String> {
        let socket = TcpSocket::new_v4().map_err(fault)?;
        socket.set_recv_buffer_size(2_048).map_err(fault)?;
        Viewers::over(socket.connect(to).await.map_err(fault)?)
    }

    fn over(stream: TcpStream) -> Result<Viewers, String> {
        // What is written has come when the write returns.
        stream.set_nodelay(true).map_err(fault)?;
        let (reads, writes) = stream.into_split();
        Ok(Viewers { reads, writes, decoder: viewer::Decoder::default() })
    }

    pub async fn write(&mut self, bytes: &[u8]) -> Result<(), String> {
        self.writes.write_all(bytes).await.map_err(fault)
    }

    /// Asks for a session, or hands one over that plays at a host.
    pub async fn ask(&mut self, session: u64, class: &str, at: Option<&str>) -> Result<(), String> {
        self.write(&set_up(session, class, at)).await
    }

    /// Asks whether the gateway takes new viewers, and what it says; what it has read by then was said before.
    pub async fn test(&mut self) -> Result<bool, String> {
        self.write(&[0, 9, viewer::kind::TEST, 0, 0, 0, 0, 0, 0, 0, 9]).await?;
        let answer = self.next().await?.ok_or("closed")?;
        if answer.kind != viewer::kind::TESTED {
            return Err(format!("no answer to a test: {answer:?}"));
        }
        answer.cause().map(|cause| cause == 1).map_err(fault)
    }

    /// Waits until something has come that is not read yet.
    pub async fn has_come(&self) -> Result<(), String> {
        let come = tokio::time::timeout(PATIENCE, self.reads.readable()).await;
        come.map_err(|_| "nothing came".to_owned())?.map_err(fault)
    }

    /// Ends the connection so that the gateway sees a reset.
    #[allow(deprecated)]
    pub fn reset(self) -> Result<(), String> {
        self.writes.as_ref().set_linger(Some(Duration::ZERO)).map_err(fault)
    }

    pub async fn release(&mut self, session: u64, cause: u8) -> Result<(), String> {
        let mut bytes = Vec::new();
        viewer::release(&mut bytes, session, cause, None);
        self.write(&bytes).await
    }

    /// The next message; `None` when the gateway has closed.
    pub async fn next(&mut self) -> Result<Option<Message>, String> {
        loop {
            if let Some(message) = self.decoder.message().map_err(fault)? {
                return Ok(Some(message));
            }
            let mut chunk = [0; 4096];
            let read = tokio::time::timeout(PATIENCE, self.reads.read(&mut chunk)).await;
            match read.map_err(|_| "nothing came".to_owned())? {
                Ok(0) | Err(_) => return Ok(None),
                Ok(read) => self.decoder.push(&chunk[..read]),
            }
        }
    }
}

/// A set-up as viewers send it.
pub fn set_up(session: u64, class: &str, at: Option<&str>) -> Vec<u8> {
    set_up_of(session, class, at, "8000", "7f3a9c21e0b4d655")
}

/// A set-up with a patience of its own and a description of so many bytes.
pub fn set_up_with(session: u64, class: &str, patience: &str, description: usize) -> Vec<u8> {
    let figures = "home:0;copies:1;top:1;viewer:0000000000000001";
    let mut bytes = Vec::new();
    let description = vec![b'x'; description];
    let parameters: [(u8, &[u8]); 5] = [
        (viewer::code::CLASS, class.as_bytes()),
        (viewer::code::PATIENCE, patience.as_bytes()),
        (viewer::code::TITLE, b"7f3a9c21e0b4d655"),
        (viewer::code::FIGURES, figures.as_bytes()),
        (viewer::code::DESCRIPTION, &description),
    ];
    let _ = viewer::encode(&mut bytes, viewer::kind::SET_UP, session, &parameters);
    bytes
}

/// A set-up with a patience and a title of its own.
pub fn set_up_of(session: u64, class: &str, at: Option<&str>, patience: &str, title: &str) -> Vec<u8> {
    let at = at.map(|at| format!(";at:{at}")).unwrap_or_default();
    let figures = format!("home:0;copies:1;top:1;viewer:0000000000000001{at}");
    let mut bytes = Vec::new();
    let parameters: [(u8, &[u8]); 5] = [
        (viewer::code::CLASS, class.as_bytes()),
        (viewer::code::PATIENCE, patience.as_bytes()),
        (viewer::code::TITLE, title.as_bytes()),
        (viewer::code::FIGURES, figures.as_bytes()),
        (viewer::code::DESCRIPTION, b"offer"),
    ];
    // It always fits.
    let _ = viewer::encode(&mut bytes, viewer::kind::SET_UP, session, &parameters);
    bytes
}

/// A gateway's process with its configuration.
pub struct Gateway {
    pub address: SocketAddr,
    pub child: Child,
    config: PathBuf,
}

/// A configuration with two classes, `free` and `paid`, and the hosts that the journal has told.
pub fn config(journal: &Journal, sockets: usize) -> Value {
    let told = journal.told.borrow().clone();
    let profile = |name: &str, effect: &str| {
        json!({"name": name, "effect": effect, "group": "all", "on_time_us": 3_000_000, "hard_limit_us": 8_000_000,
               "window_us": 5_000_000, "worth": 1.0, "stream": true})
    };
    json!({
        "name": "n0", "listen": "127.0.0.1:0", "seed": "8c1f30d27a5be964", "journal": journal.address.to_string(),
        "limits": {"cores": 1.0, "memory_mb": 64, "sockets": sockets},
        "known": {"pos": told.len(), "entries": told},
        "settings": {
            "me": 0, "balancers": 1, "az": 0, "zones": ["here"], "flavors": ["one"],
            "profiles": [profile("free", "free"), profile("paid", "single_shot")],
            "extra": {"cells": 1, "cabinets": 1, "class_floor": [0, 0], "class_scale": [1.0, 1.0],
                      "class_seats": [0, 0], "class_top": [1, 1], "kb_per_weight": 1000.0,
                      "places_by_kind": [500], "rung_kb": [100.0, 200.0], "worth_by_rung": [0.5, 1.0],
                      "see_us": 400_000},
            "guarantees": {},
            "limits": {"max_attempts": 4, "max_retry_after_us": 300_000, "may_probe": true, "retry_after": true,
                       "connect_timeout_us": 250_000, "conn_idle_us": 30_000_000},
            "reporting": {"how": "probe", "names": ["utilization"]},
            "registry_mode": "automatic", "weight_kind": "nominal"
        }
    })
}

impl Gateway {
    /// Starts `program gateway --platform` with this configuration, kept in `folder`.
    pub async fn start(program: &Path, folder: &Path, config: &Value) -> Result<Gateway, String> {
        let path = folder.join("config.json");
        std::fs::write(&path, config.to_string()).map_err(fault)?;
        // Under the limit that the platform sets for it.
        let sockets = config["limits"]["sockets"].as_u64().ok_or("limits.sockets")?;
        let mut command = Command::new("/bin/sh");
        command.arg("-c").arg(format!("ulimit -n {sockets} && exec \"$0\" gateway --platform \"$1\""));
        command.arg(program).arg(&path).kill_on_drop(true);
        let mut child = command.stdin(Stdio::null()).stdout(Stdio::piped()).spawn().map_err(fault)?;
        let mut lines = BufReader::new(child.stdout.take().ok_or("no standard output")?).lines();
        let line = tokio::time::timeout(PATIENCE, lines.next_line()).await.map_err(fault)?.map_err(fault)?;
        let address = line.as_deref().and_then(|l| l.strip_prefix("listening ")?.parse().ok());
        let address = address.ok_or_else(|| format!("the gateway did not start: {line:?}"))?;
        // What else it prints is read and dropped.
        spawn_local(async move { while let Ok(Some(_)) = lines.next_line().await {} });
        Ok(Gateway { address, child, config: path })
    }

    /// Puts another configuration in place.
    pub fn replace(&self, config: &Value) -> Result<(), String> {
        std::fs::write(&self.config, config.to_string()).map_err(fault)
    }

    /// Stops the process where it is: what happens until [`Gateway::resume`] has all happened when it goes on.
    pub async fn pause(&self) -> Result<(), String> {
        self.signal(nix::sys::signal::Signal::SIGSTOP)?;
        let id = self.child.id().ok_or("it has ended")?;
        let stopped = async {
            loop {
                let stat = std::fs::read_to_string(format!("/proc/{id}/stat")).map_err(fault)?;
                if stat.rsplit(')').next().is_some_and(|rest| rest.trim_start().starts_with('T')) {
                    return Ok(());
                }
                tokio::time::sleep(Duration::from_millis(1)).await;
            }
        };
        tokio::time::timeout(PATIENCE, stopped).await.map_err(fault)?
    }

    pub fn resume(&self) -> Result<(), String> {
        self.signal(nix::sys::signal::Signal::SIGCONT)
    }

    pub fn signal(&self, signal: nix::sys::signal::Signal) -> Result<(), String> {
        let id = self.child.id().ok_or("it has ended")?;
        nix::sys::signal::kill(nix::unistd::Pid::from_raw(id as i32), signal).map_err(fault)
    }
}
