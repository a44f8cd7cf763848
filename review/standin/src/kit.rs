//! Stand-ins for viewers, media hosts and the journal service, on threads and the standard library alone.

use std::collections::{BTreeMap, HashMap};
use std::fs::File;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, ChildStdin, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Unix time in microseconds.
pub fn now() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_micros() as u64)
}

pub fn sleep_ms(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

/// `record.txt`: one line for each thing sent, answered or run.
pub struct Record {
    file: Mutex<File>,
    began: u64,
}

impl Record {
    pub fn new(path: &Path) -> Arc<Record> {
        let file = File::create(path).unwrap_or_else(|why| cannot_run(&format!("record: {why}")));
        Arc::new(Record { file: Mutex::new(file), began: now() })
    }

    pub fn add(&self, line: &str) {
        let at = (now() - self.began) as f64 / 1e3;
        let _ = writeln!(self.file.lock().unwrap(), "{at:10.1} ms  {line}");
    }

    pub fn ms(&self, at: u64) -> f64 {
        at.saturating_sub(self.began) as f64 / 1e3
    }
}

/// Processes that were started and have not ended, each with a pipe to a shell that ends it if this process dies first.
static STARTED: Mutex<Vec<(u32, ChildStdin)>> = Mutex::new(Vec::new());
/// The temporary folder.
static FOLDER: Mutex<Option<PathBuf>> = Mutex::new(None);

/// Ends all that was started, and this process.
pub fn finish(code: i32) -> ! {
    for (process, mut guard) in STARTED.lock().unwrap().drain(..) {
        let kill = format!("kill -CONT {process}; kill -KILL {process}");
        let _ = Command::new("/bin/sh").arg("-c").arg(kill).stderr(Stdio::null()).status();
        let _ = guard.write_all(b"ended\n");
    }
    if let Some(folder) = FOLDER.lock().unwrap().take()
        && std::env::var_os("KEEP").is_none()
    {
        let _ = std::fs::remove_dir_all(folder);
    }
    std::process::exit(code)
}

pub fn cannot_run(why: &str) -> ! {
    eprintln!("cannot run: {why}");
    finish(2)
}

/// Ends the case after so many seconds, whatever happens.
pub fn watchdog(seconds: u64) {
    thread::spawn(move || {
        thread::sleep(Duration::from_secs(seconds));
        cannot_run("it took too long");
    });
}

// ---------------------------------------------------------------- media hosts

/// What a host does with a set-up.
#[derive(Clone, Copy, PartialEq, Debug)]
pub enum Act {
    /// Answers after so many milliseconds.
    Answer(u64),
}

/// A set-up that arrived at a host.
#[derive(Clone, Debug)]
pub struct Arrived {
    pub host: String,
    pub session: u64,
    pub title: String,
    /// When its first byte was read.
    pub first: u64,
}

pub struct HostState {
    pub act: Act,
    /// One in so many answers tells a length that lacks its last line; 0 for none. Each answer comes in two pieces then.
    pub understates: u64,
    /// Each answer comes in two pieces, its last line so many milliseconds behind the rest.
    pub pieces: Option<u64>,
    answers: u64,
    /// Titles that begin so it cannot use: answered with an error after so many milliseconds.
    pub unknown: Option<(String, u64)>,
    /// Sessions that stand: the connection that they were set up on.
    pub standing: BTreeMap<u64, TcpStream>,
    /// Set-ups that are open, by session: the connection's number.
    pub open: BTreeMap<u64, u64>,
    /// Connections that are open, by number.
    pub conns: BTreeMap<u64, TcpStream>,
    /// Ends that the gateway has not confirmed: said again on the next connection.
    pub unconfirmed: BTreeMap<u64, u8>,
}

/// A media host. Clones are the same host.
#[derive(Clone)]
pub struct Host {
    pub name: String,
    pub addr: SocketAddr,
    pub cell: usize,
    pub state: Arc<Mutex<HostState>>,
    pub arrived: Arc<Mutex<Vec<Arrived>>>,
    /// How long sessions stand, in ms.
    pub life: Arc<AtomicU64>,
    /// What concerns titles that it cannot use is not recorded.
    pub quiet: Arc<AtomicBool>,
    dead: Arc<AtomicBool>,
    queue: Queue,
    record: Arc<Record>,
}

/// What is done later, the earliest first.
type Queue = Arc<Mutex<Option<std::sync::mpsc::Sender<(Instant, Box<dyn FnOnce() + Send>)>>>>;

pub fn description(host: &str, session: u64) -> String {
    format!("{session:016x} {host}\r\nc=IN IP4 127.0.0.1\r\nm=audio 31000 RTP/AVP 0 8 101\r\n")
}

fn teardown(session: u64, cause: u8) -> String {
    format!(
        "TEARDOWN rtsp://media/session RTSP/1.0\r\nCSeq: 2\r\nSession: {session:016x}\r\nReason: cause={cause}\r\n\
         Content-Length: 0\r\n\r\n"
    )
}

fn response(status: u16, cseq: &str, session: u64, extra: &str, body: &str) -> String {
    format!(
        "RTSP/1.0 {status} X\r\nCSeq: {cseq}\r\nSession: {session:016x}\r\n{extra}Content-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

impl Host {
    /// Starts one on this address, or on a free port.
    pub fn start(name: &str, cell: usize, at: Option<SocketAddr>, record: &Arc<Record>) -> Host {
        let at = at.unwrap_or_else(|| "127.0.0.1:0".parse().unwrap());
        let listener = TcpListener::bind(at).unwrap_or_else(|why| cannot_run(&format!("host {at}: {why}")));
        let addr = listener.local_addr().unwrap();
        let state = HostState {
            act: Act::Answer(20),
            understates: 0,
            pieces: None,
            answers: 0,
            unknown: None,
            standing: BTreeMap::new(),
            open: BTreeMap::new(),
            conns: BTreeMap::new(),
            unconfirmed: BTreeMap::new(),
        };
        let host = Host {
            name: name.into(),
            addr,
            cell,
            state: Arc::new(Mutex::new(state)),
            arrived: Arc::default(),
            life: Arc::new(AtomicU64::new(20_000)),
            quiet: Arc::default(),
            dead: Arc::default(),
            queue: Arc::default(),
            record: record.clone(),
        };
        let me = host.clone();
        thread::spawn(move || me.accept(listener));
        host
    }

    fn accept(&self, listener: TcpListener) {
        listener.set_nonblocking(true).unwrap();
        let mut number = 0;
        while !self.dead.load(Ordering::SeqCst) {
            match listener.accept() {
                Ok((stream, _)) => {
                    let _ = stream.set_nonblocking(false);
                    let _ = stream.set_nodelay(true);
                    number += 1;
                    let (me, n) = (self.clone(), number);
                    thread::spawn(move || me.talk(stream, n));
                }
                Err(_) => sleep_ms(1),
            }
        }
    }

    /// Its process dies: connections end, sessions are cut.
    pub fn die(&self) -> Vec<u64> {
        self.dead.store(true, Ordering::SeqCst);
        let mut state = self.state.lock().unwrap();
        for conn in std::mem::take(&mut state.conns).into_values() {
            let _ = conn.shutdown(std::net::Shutdown::Both);
        }
        state.open.clear();
        let cut = std::mem::take(&mut state.standing).into_keys().collect::<Vec<_>>();
        self.record.add(&format!("host {} dies; {} sessions are cut", self.name, cut.len()));
        cut
    }

    pub fn standing(&self) -> Vec<u64> {
        self.state.lock().unwrap().standing.keys().copied().collect()
    }

    /// Ends a session, as `cause` says.
    pub fn end(&self, session: u64, cause: u8) {
        let mut state = self.state.lock().unwrap();
        let Some(mut conn) = state.standing.remove(&session) else { return };
        state.unconfirmed.insert(session, cause);
        let text = teardown(session, cause);
        // On the connection of its set-up, otherwise on any open one; and on the next one that is opened.
        let same = |other: &TcpStream| other.peer_addr().ok() == conn.peer_addr().ok();
        let mut sent = state.conns.values().any(same) && conn.write_all(text.as_bytes()).is_ok();
        if !sent {
            for other in state.conns.values_mut() {
                if other.write_all(text.as_bytes()).is_ok() {
                    sent = true;
                    break;
                }
            }
        }
        drop(state);
        self.record.add(&format!("host {} ends {session:016x} cause {cause} sent {sent}", self.name));
    }

    fn talk(&self, stream: TcpStream, number: u64) {
        {
            let mut state = self.state.lock().unwrap();
            if self.dead.load(Ordering::SeqCst) {
                return;
            }
            state.conns.insert(number, stream.try_clone().unwrap());
            let ends: Vec<_> = state.unconfirmed.iter().map(|(s, c)| teardown(*s, *c)).collect();
            let mut to = &stream;
            ends.iter().for_each(|end| drop(to.write_all(end.as_bytes())));
        }
        let (mut held, mut first) = (Vec::<u8>::new(), 0);
        let mut chunk = [0u8; 8192];
        loop {
            let Ok(read @ 1..) = (&stream).read(&mut chunk) else { break };
            if held.is_empty() {
                first = now();
            }
            held.extend(&chunk[..read]);
            while let Some(end) = held.windows(4).position(|w| w == b"\r\n\r\n").map(|k| k + 4) {
                let head = String::from_utf8_lossy(&held[..end]).into_owned();
                let length: usize = header(&head, "Content-Length").and_then(|v| v.parse().ok()).unwrap_or(0);
                if held.len() < end + length {
                    break;
                }
                held.drain(..end + length);
                if !self.dead.load(Ordering::SeqCst) {
                    self.message(&stream, number, &head, first);
                }
                first = now();
            }
        }
        // What is open on a connection that closes is given up; what stands goes on.
        let mut state = self.state.lock().unwrap();
        state.open.retain(|_, conn| *conn != number);
        state.conns.remove(&number);
    }

    fn message(&self, stream: &TcpStream, number: u64, head: &str, first: u64) {
        let line = head.lines().next().unwrap_or_default();
        let session = header(head, "Session").and_then(|s| u64::from_str_radix(&s, 16).ok()).unwrap_or(0);
        let cseq = header(head, "CSeq").unwrap_or_default();
        let mut to = stream;
        let write = |mut to: &TcpStream, text: String| drop(to.write_all(text.as_bytes()));
        match line.split(' ').next().unwrap_or_default() {
            "SETUP" => {
                let title = line.split(' ').nth(1).unwrap_or_default().rsplit('/').next().unwrap().to_owned();
                let class = header(head, "Subject").unwrap_or_default();
                let unknown = self.state.lock().unwrap().unknown.clone();
                if let Some((_, delay)) = unknown.filter(|(begins, _)| title.starts_with(begins.as_str())) {
                    self.state.lock().unwrap().open.insert(session, number);
                    let (me, stream) = (self.clone(), stream.try_clone().unwrap());
                    self.later(
                        move || {
                            if me.state.lock().unwrap().open.remove(&session).is_some() {
                                let _ = (&stream).write_all(response(500, "1", session, "", "").as_bytes());
                            }
                        },
                        delay,
                    );
                    return;
                }
                self.record.add(&format!(
                    "host {} gets SETUP {session:016x} title {title} class {class} level {} patience {}",
                    self.name,
                    header(head, "P-Level").unwrap_or_default(),
                    header(head, "X-Patience").unwrap_or_default()
                ));
                let host = self.name.clone();
                self.arrived.lock().unwrap().push(Arrived { host, session, title, first });
                let act = self.state.lock().unwrap().act;
                match act {
                    Act::Answer(delay) => {
                        self.state.lock().unwrap().open.insert(session, number);
                        let (me, stream) = (self.clone(), stream.try_clone().unwrap());
                        thread::spawn(move || me.answer_later(stream, session, delay));
                    }
                }
            }
            "TEARDOWN" => {
                if !self.quiet.load(Ordering::Relaxed) {
                    self.record.add(&format!(
                        "host {} gets TEARDOWN {session:016x} {}",
                        self.name,
                        header(head, "Reason").unwrap_or_default()
                    ));
                }
                let mut state = self.state.lock().unwrap();
                state.open.remove(&session);
                state.standing.remove(&session);
                drop(state);
                write(to, response(200, "2", session, "", ""));
            }
            "OPTIONS" => write(to, response(200, &cseq, session, "X-State: util:0.1\r\n", "")),
            "SET_PARAMETER" => {}
            _ if line.starts_with("RTSP/1.0") && cseq == "2" => {
                self.state.lock().unwrap().unconfirmed.remove(&session);
            }
            _ => {}
        }
        let _ = to.flush();
    }

    /// Does something after so many milliseconds, in turn.
    fn later(&self, what: impl FnOnce() + Send + 'static, delay: u64) {
        let at = Instant::now() + Duration::from_millis(delay);
        let mut queue = self.queue.lock().unwrap();
        let to = queue.get_or_insert_with(|| {
            let (to, from) = std::sync::mpsc::channel::<(Instant, Box<dyn FnOnce() + Send>)>();
            thread::spawn(move || {
                for (at, what) in from {
                    thread::sleep(at.saturating_duration_since(Instant::now()));
                    what();
                }
            });
            to
        });
        let _ = to.send((at, Box::new(what)));
    }

    fn answer_later(&self, stream: TcpStream, session: u64, delay: u64) {
        sleep_ms(delay);
        {
            let mut state = self.state.lock().unwrap();
            if self.dead.load(Ordering::SeqCst) || state.open.remove(&session).is_none() {
                return;
            }
            let body = description(&self.name, session);
            let text = response(200, "1", session, "", &body);
            let last = body.trim_end().rfind("\r\n").map_or(0, |k| body.len() - k - 2);
            if let Some(ms) = state.pieces {
                state.answers += 1;
                let short = state.understates > 0 && state.answers % state.understates == 0;
                let told = if short { body.len() - last } else { body.len() };
                let text = text
                    .replace(&format!("Content-Length: {}", body.len()), &format!("Content-Length: {told}"));
                let (first, rest) = text.split_at(text.len() - last);
                if short {
                    self.record.add(&format!(
                        "host {} tells {told} bytes of {} for {session:016x}",
                        self.name,
                        body.len()
                    ));
                }
                if (&stream).write_all(first.as_bytes()).is_err() {
                    return;
                }
                sleep_ms(ms);
                let _ = (&stream).write_all(rest.as_bytes());
            } else if (&stream).write_all(text.as_bytes()).is_err() {
                return;
            }
            state.standing.insert(session, stream);
        }
        self.record.add(&format!("host {} answers {session:016x}", self.name));
        sleep_ms(self.life.load(Ordering::SeqCst));
        if !self.dead.load(Ordering::SeqCst) {
            self.end(session, 16);
        }
    }

    /// Its entry in the list.
    pub fn entry(&self, health: &str, born_ms: u64) -> String {
        format!(
            "{{\"host\":\"{}\",\"dial\":\"{}\",\"site\":\"room\",\"class\":\"box\",\"block\":{},\"health\":\"{health}\",\
             \"share\":4,\"born_ms\":{born_ms}}}",
            self.name, self.addr, self.cell
        )
    }
}

pub fn header(head: &str, name: &str) -> Option<String> {
    head.lines().skip(1).find_map(|line| {
        let (key, value) = line.split_once(':')?;
        key.eq_ignore_ascii_case(name).then(|| value.trim().to_owned())
    })
}

// ---------------------------------------------------------------- the journal service

#[derive(Clone)]
pub struct Journal {
    pub addr: SocketAddr,
    /// The events, the first has number 1, and when each was told.
    pub events: Arc<Mutex<Vec<(String, u64)>>>,
    /// It answers a call after so many milliseconds.
    pub delay: Arc<AtomicU64>,
    record: Arc<Record>,
}

impl Journal {
    pub fn start(record: &Arc<Record>) -> Journal {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap_or_else(|why| cannot_run(&why.to_string()));
        let addr = listener.local_addr().unwrap();
        let journal = Journal { addr, events: Arc::default(), delay: Arc::default(), record: record.clone() };
        let me = journal.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let me = me.clone();
                thread::spawn(move || me.tell_to(stream));
            }
        });
        journal
    }

    /// Adds an event; the time of it.
    pub fn tell(&self, whole: bool, entries: &[String]) -> u64 {
        let mut events = self.events.lock().unwrap();
        let pos = events.len() + 1;
        let text = format!(
            "{{\"pos\":{pos},\"hosts\":{{\"seq\":{pos},\"whole\":{whole},\"hosts\":[{}]}}}}",
            entries.join(",")
        );
        self.record.add(&format!("journal has event {text}"));
        let at = now();
        events.push((text, at));
        at
    }

    /// `known` of a configuration.
    pub fn known(&self) -> String {
        let events = self.events.lock().unwrap();
        let texts: Vec<_> = events.iter().map(|(text, _)| text.clone()).collect();
        format!("{{\"pos\":{},\"entries\":[{}]}}", texts.len(), texts.join(","))
    }

    fn tell_to(&self, mut stream: TcpStream) {
        let mut held = Vec::new();
        let mut chunk = [0u8; 4096];
        while !held.windows(4).any(|w| w == b"\r\n\r\n") {
            let Ok(read @ 1..) = stream.read(&mut chunk) else { return };
            held.extend(&chunk[..read]);
        }
        let head = String::from_utf8_lossy(&held).into_owned();
        let mut last: usize = header(&head, "Last-Event-ID").and_then(|v| v.parse().ok()).unwrap_or(0);
        let delay = self.delay.load(Ordering::SeqCst);
        self.record.add(&format!("journal is called, Last-Event-ID {last}; answers in {delay} ms"));
        sleep_ms(delay);
        let head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n";
        if stream.write_all(head.as_bytes()).is_err() {
            return;
        }
        let mut comment = Instant::now();
        loop {
            let news: Vec<_> = self.events.lock().unwrap().iter().skip(last).cloned().collect();
            for (text, _) in news {
                last += 1;
                if stream.write_all(format!("id: {last}\ndata: {text}\n\n").as_bytes()).is_err() {
                    return;
                }
                self.record.add(&format!("journal has written event {last} to a gateway"));
            }
            if Instant::now() >= comment {
                comment = Instant::now() + Duration::from_secs(1);
                if stream.write_all(b": \n\n").is_err() {
                    return;
                }
            }
            sleep_ms(2);
        }
    }
}

// ---------------------------------------------------------------- viewers

/// What came for a session.
#[derive(Clone, Debug)]
pub struct Came {
    pub at: u64,
    pub kind: u8,
    pub cause: u8,
    /// The description.
    pub text: String,
}

#[derive(Clone, Default)]
pub struct Inbox(pub Arc<Mutex<HashMap<u64, Vec<Came>>>>);

impl Inbox {
    pub fn of(&self, session: u64) -> Vec<Came> {
        self.0.lock().unwrap().get(&session).cloned().unwrap_or_default()
    }

    /// Whether it was answered that it stands, and when.
    pub fn served(&self, session: u64) -> Option<u64> {
        self.of(session).iter().find(|came| came.kind == 9).map(|came| came.at)
    }

    /// When a release came for it.
    pub fn released(&self, session: u64) -> Option<u64> {
        self.of(session).iter().find(|came| came.kind == 12).map(|came| came.at)
    }
}

/// A connection of viewers.
pub struct Viewer {
    stream: TcpStream,
    record: Arc<Record>,
}

pub fn message(kind: u8, session: u64, parameters: &[(u8, &[u8])]) -> Vec<u8> {
    let mut body = vec![kind];
    body.extend(session.to_be_bytes());
    for (code, value) in parameters {
        body.push(*code);
        body.extend((value.len() as u16).to_be_bytes());
        body.extend(*value);
    }
    let mut out = (body.len() as u16).to_be_bytes().to_vec();
    out.extend(body);
    out
}

impl Viewer {
    pub fn connect(to: SocketAddr, inbox: &Inbox, record: &Arc<Record>) -> Option<Viewer> {
        let stream = TcpStream::connect_timeout(&to, Duration::from_secs(2)).ok()?;
        let _ = stream.set_nodelay(true);
        let (mut reads, inbox, log) = (stream.try_clone().ok()?, inbox.clone(), record.clone());
        thread::spawn(move || {
            let (mut held, mut chunk) = (Vec::<u8>::new(), [0u8; 16384]);
            loop {
                let Ok(read @ 1..) = reads.read(&mut chunk) else {
                    log.add("a viewers' connection has ended");
                    return;
                };
                held.extend(&chunk[..read]);
                while held.len() >= 2 {
                    let length = u16::from_be_bytes([held[0], held[1]]) as usize;
                    if held.len() < 2 + length || length < 9 {
                        break;
                    }
                    let body: Vec<u8> = held.drain(..2 + length).skip(2).collect();
                    let (kind, session) = (body[0], u64::from_be_bytes(body[1..9].try_into().unwrap()));
                    let (mut cause, mut text, mut rest) = (0, String::new(), &body[9..]);
                    while rest.len() >= 3 {
                        let n = u16::from_be_bytes([rest[1], rest[2]]) as usize;
                        let Some(value) = rest.get(3..3 + n) else { break };
                        match rest[0] {
                            222 => cause = value.first().copied().unwrap_or(0),
                            225 => text = String::from_utf8_lossy(value).into_owned(),
                            _ => {}
                        }
                        rest = &rest[3 + n..];
                    }
                    log.add(&format!("viewer gets type {kind} {session:016x} cause {cause} {text:?}"));
                    let came = Came { at: now(), kind, cause, text };
                    let stood = {
                        let mut inbox = inbox.0.lock().unwrap();
                        let all = inbox.entry(session).or_default();
                        all.push(came);
                        all.iter().any(|c| c.kind == 9)
                    };
                    if kind == 12 && stood {
                        let _ = reads.write_all(&message(16, session, &[]));
                    }
                }
            }
        });
        Some(Viewer { stream, record: record.clone() })
    }

    fn send(&self, bytes: &[u8]) -> bool {
        (&self.stream).write_all(bytes).is_ok()
    }

    /// The connection ends.
    pub fn end(&self) {
        self.record.add("the viewers' connection ends");
        let _ = self.stream.shutdown(std::net::Shutdown::Both);
    }

    pub fn test(&self, session: u64) -> bool {
        self.send(&message(52, session, &[(222, &[0])]))
    }

    pub fn set_up(&self, ask: &Ask) -> bool {
        let figures = &ask.figures;
        self.record.add(&format!(
            "viewer sends set-up {:016x} class {} title {} patience {} figures {figures}",
            ask.session, ask.class, ask.title, ask.patience
        ));
        let patience = ask.patience.to_string();
        self.send(&message(
            1,
            ask.session,
            &[
                (180, ask.class.as_bytes()),
                (183, patience.as_bytes()),
                (192, ask.title.as_bytes()),
                (195, figures.as_bytes()),
                (225, b"v=0\r\nm=video 5004 RTP/AVP 96\r\n"),
            ],
        ))
    }
}

pub struct Ask {
    pub session: u64,
    pub class: String,
    pub title: String,
    pub patience: u64,
    pub figures: String,
}

/// Numbers that look drawn and never repeat.
pub struct Ids {
    seed: u64,
    count: u64,
}

fn mixed(mut x: u64) -> u64 {
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

impl Ids {
    pub fn new() -> Ids {
        static MADE: AtomicU64 = AtomicU64::new(1);
        let made = MADE.fetch_add(1, Ordering::SeqCst).wrapping_mul(0x9e37_79b9_7f4a_7c15);
        Ids { seed: mixed(now().wrapping_add(made)), count: 0 }
    }

    pub fn next(&mut self) -> u64 {
        self.count = self.count.wrapping_add(0x9e37_79b9_7f4a_7c15);
        mixed(mixed(self.count) ^ self.seed) | 1
    }
}

// ---------------------------------------------------------------- the gateway

/// A gateway's process, started by the deploy file's `run`.
pub struct Gateway {
    pub addr: SocketAddr,
    pub child: Child,
    record: Arc<Record>,
}

pub fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap_or_else(|why| cannot_run(&why.to_string()));
    listener.local_addr().unwrap()
}

/// What `run` says in the deploy file.
pub fn run_command(root: &Path) -> String {
    let text = std::fs::read_to_string(root.join("deploy/balancer.toml"))
        .unwrap_or_else(|why| cannot_run(&format!("deploy file: {why}")));
    let line = text.lines().find(|line| line.starts_with("run = ")).unwrap_or_else(|| cannot_run("no run"));
    let line = line.trim_start_matches("run = ").trim();
    let line = line.strip_prefix('"').and_then(|line| line.strip_suffix('"')).unwrap_or(line);
    line.replace("\\\"", "\"")
}

impl Gateway {
    pub fn start(
        root: &Path,
        folder: &Path,
        addr: SocketAddr,
        config: &str,
        record: &Arc<Record>,
    ) -> Gateway {
        let path = folder.join("config.json");
        std::fs::write(&path, config).unwrap_or_else(|why| cannot_run(&format!("config: {why}")));
        let log = std::fs::OpenOptions::new().create(true).append(true).open(folder.join("gateway.log"));
        let log = log.unwrap_or_else(|why| cannot_run(&format!("log: {why}")));
        let child = Command::new("/bin/sh")
            .arg("-c")
            .arg(run_command(root))
            .current_dir(root)
            .env("NODE_NAME", "n0")
            .env("NODE_LISTEN", addr.to_string())
            .env("NODE_CONFIG", &path)
            .stdin(Stdio::null())
            .stdout(log.try_clone().unwrap())
            .stderr(log)
            .spawn();
        let child = child.unwrap_or_else(|why| cannot_run(&format!("gateway: {why}")));
        record.add(&format!("gateway started, process {}", child.id()));
        let end = format!("read ended || {{ kill -CONT {0}; kill -KILL {0}; }} 2>/dev/null", child.id());
        let guard = Command::new("/bin/sh").arg("-c").arg(end).stdin(Stdio::piped()).spawn();
        let guard =
            guard.ok().and_then(|mut guard| guard.stdin.take()).unwrap_or_else(|| cannot_run("no shell"));
        STARTED.lock().unwrap().push((child.id(), guard));
        Gateway { addr, child, record: record.clone() }
    }

    /// Waits until a test is passed.
    pub fn wait_ready(&self, inbox: &Inbox) {
        let until = Instant::now() + Duration::from_secs(30);
        while Instant::now() < until {
            if let Some(viewer) = Viewer::connect(self.addr, inbox, &self.record) {
                viewer.test(0xfeed);
                for _ in 0..50 {
                    sleep_ms(10);
                    if inbox.of(0xfeed).iter().any(|came| came.kind == 53 && came.cause == 1) {
                        let _ = viewer.stream.shutdown(std::net::Shutdown::Both);
                        return;
                    }
                }
            }
            sleep_ms(20);
        }
        cannot_run("the gateway is not ready after 30 s");
    }

    pub fn stop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let mut started = STARTED.lock().unwrap();
        for (_, guard) in started.iter_mut().filter(|(process, _)| *process == self.child.id()) {
            let _ = guard.write_all(b"ended\n");
        }
        started.retain(|(process, _)| *process != self.child.id());
    }

    /// Whether the process has ended by itself.
    pub fn ended(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        self.stop();
    }
}

/// A folder of its own that goes with the process.
pub fn temporary_folder() -> PathBuf {
    let folder = std::env::temp_dir().join(format!("review-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap_or_else(|why| cannot_run(&why.to_string()));
    *FOLDER.lock().unwrap() = Some(folder.clone());
    folder
}
