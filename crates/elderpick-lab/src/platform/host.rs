//! A scripted media host.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use elderpick_platform::rtsp::{self, Start};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::mpsc;
use tokio::task::{AbortHandle, spawn_local};

use super::fault;
use crate::signal::Signal;

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
    /// Answers with a `Content-Length` that is so many bytes more than the description.
    Overstates(usize),
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
    /// What it answers set-ups with, if it is not [`description`].
    describe: Cell<Option<Describe>>,
}

/// Makes the description of a session.
pub type Describe = fn(u64) -> Vec<u8>;

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

/// The answer to a session's set-up.
pub fn answer(session: u64) -> Vec<u8> {
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

    pub(super) fn accept(&self, listener: TcpListener) {
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

    /// Another host listens where this one did before it died, under a name of its own.
    pub async fn succeeded_by(&self, name: &str) -> Result<Host, String> {
        let host = Host::at(name, self.address);
        host.come_back().await?;
        Ok(host)
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

    /// Says something on the connection that a session was set up on.
    pub fn say_on_connection_of(&self, session: u64, bytes: &[u8]) {
        if let Some(line) = self.inside.standing.borrow().get(&session) {
            let _ = line.send(Word::Say(bytes.to_vec()));
        }
    }

    /// Resets the connection that a session was set up on, and goes on listening.
    pub fn reset_connection_of(&self, session: u64) {
        if let Some(line) = self.inside.standing.borrow().get(&session) {
            let _ = line.send(Word::Reset);
        }
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

    /// Answers with descriptions of another form from now on.
    pub fn describe_as(&self, describe: Describe) {
        self.inside.describe.set(Some(describe));
    }

    /// Which of its connections a set-up that is undecided came on.
    pub fn connection_of(&self, session: u64) -> Option<usize> {
        self.inside.undecided.borrow().get(&session).copied()
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
                    let reset = matches!(word, Some(Word::Reset));
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
                        // Dropped with the others, the half would say in order that nothing more comes.
                        if reset {
                            writes.forget();
                        }
                        drop(reads);
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

    fn answer(&self, session: u64) -> Vec<u8> {
        let body = self.describe.get().unwrap_or(description)(session);
        answer_of(session, &body, body.len())
    }

    /// A set-up waits for its decision on a connection.
    fn holds(&self, session: u64, connection: usize) {
        let mut undecided = self.undecided.borrow_mut();
        undecided.insert(session, connection);
        let there = undecided.values().filter(|other| **other == connection).count();
        self.most_undecided.set(self.most_undecided.get().max(there));
    }

    pub(super) fn take(self: &Rc<Self>, message: &rtsp::Message, connection: usize, line: &Words) {
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
                    Does::Answers => say(self.answer(session)),
                    Does::Understates(bytes) => {
                        let body = description(session);
                        say(answer_of(session, &body, body.len() - bytes));
                    }
                    Does::Overstates(bytes) => {
                        let body = description(session);
                        say(answer_of(session, &body, body.len() + bytes));
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
                            _ => self.answer(session),
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
