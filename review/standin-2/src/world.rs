//! Stand-ins for media hosts, the journal service and viewers, in one event loop on loopback.
//!
//! They follow `PROTOCOL.md`. Where that is silent they behave as sound peers: a host answers what it is asked, confirms
//! what it is told, ends a connection that its peer has ended, and gives up the set-ups that were open on it.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::ffi::{c_int, c_ulong};
use std::fs::File;
use std::io::{self, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use std::path::Path;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

#[repr(C)]
struct PollFd {
    fd: c_int,
    events: i16,
    revents: i16,
}

#[repr(C)]
struct Limit {
    soft: c_ulong,
    hard: c_ulong,
}

unsafe extern "C" {
    fn poll(fds: *mut PollFd, count: c_ulong, timeout: c_int) -> c_int;
    fn getrlimit(resource: c_int, limit: *mut Limit) -> c_int;
    fn setrlimit(resource: c_int, limit: *const Limit) -> c_int;
}

const POLLIN: i16 = 1;
const POLLOUT: i16 = 4;
const RLIMIT_NOFILE: c_int = 7;

/// Lets this process hold so many descriptors, if its hard limit has room; the limit stays for this process alone.
pub fn hold_descriptors(wanted: u64) -> bool {
    let mut limit = Limit { soft: 0, hard: 0 };
    if unsafe { getrlimit(RLIMIT_NOFILE, &mut limit) } != 0 {
        return false;
    }
    if limit.soft >= wanted as c_ulong {
        return true;
    }
    let raised = Limit { soft: wanted as c_ulong, hard: limit.hard };
    limit.hard >= wanted as c_ulong && unsafe { setrlimit(RLIMIT_NOFILE, &raised) } == 0
}

/// What was sent, answered and run, with times in seconds since the start.
pub struct Record {
    file: File,
    started: Instant,
}

impl Record {
    pub fn new(path: &Path) -> io::Result<Record> {
        Ok(Record { file: File::create(path)?, started: Instant::now() })
    }

    pub fn at(&self, when: Instant) -> f64 {
        when.saturating_duration_since(self.started).as_secs_f64()
    }

    pub fn say(&mut self, text: impl AsRef<str>) {
        let line = format!("{:9.4} {}\n", self.at(Instant::now()), text.as_ref());
        let _ = self.file.write_all(line.as_bytes());
    }
}

/// What a host does with a set-up.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Does {
    Answers,
    /// Answers with a length that leaves the last line of its description out.
    Understates,
}

#[derive(Clone, Debug)]
pub struct Session {
    conn: usize,
    /// When a set-up that is open is answered.
    due: Instant,
    does: Does,
    pub stands: bool,
    pub since: Instant,
}

pub struct Host {
    pub name: String,
    pub addr: SocketAddr,
    pub block: usize,
    pub kind: &'static str,
    pub site: &'static str,
    pub share: f64,
    pub health: &'static str,
    pub born_ms: u64,
    pub does: Does,
    /// What the next set-ups meet, before `does` holds again.
    pub next: VecDeque<Does>,
    pub work: Duration,
    /// Share of its link that is asked for, as it reports.
    pub util: f64,
    listener: TcpListener,
    /// Set-ups that are open and sessions that stand.
    pub sessions: BTreeMap<u64, Session>,
    /// Ends that were not confirmed: said again on the next connection that is opened.
    unconfirmed: BTreeMap<u64, u8>,
}

impl Host {
    pub fn entry(&self) -> String {
        format!(
            "{{\"host\":\"{}\",\"dial\":\"{}\",\"site\":\"{}\",\"class\":\"{}\",\"block\":{},\"health\":\"{}\",\"share\":{},\"born_ms\":{}}}",
            self.name, self.addr, self.site, self.kind, self.block, self.health, self.share, self.born_ms
        )
    }
}

struct Pipe {
    stream: TcpStream,
    input: Vec<u8>,
    output: Vec<u8>,
}

impl Pipe {
    fn new(stream: TcpStream) -> Pipe {
        let _ = stream.set_nodelay(true);
        let _ = stream.set_nonblocking(true);
        Pipe { stream, input: Vec::new(), output: Vec::new() }
    }

    fn flush(&mut self) -> bool {
        while !self.output.is_empty() {
            match self.stream.write(&self.output) {
                Ok(0) => return false,
                Ok(n) => drop(self.output.drain(..n)),
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return true,
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(_) => return false,
            }
        }
        true
    }

    /// Reads what has come; `false` at the end.
    fn fill(&mut self) -> bool {
        let mut chunk = [0; 16384];
        loop {
            match self.stream.read(&mut chunk) {
                Ok(0) => return false,
                Ok(n) => self.input.extend_from_slice(&chunk[..n]),
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return true,
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(_) => return false,
            }
        }
    }
}

struct HostConn {
    host: usize,
    pipe: Pipe,
}

struct JournalConn {
    pipe: Pipe,
    /// The events that were told; `None` until the call has come.
    told: Option<usize>,
    comment_due: Instant,
}

pub struct Journal {
    pub addr: SocketAddr,
    listener: TcpListener,
    pub events: Vec<String>,
    conns: BTreeMap<usize, JournalConn>,
}

/// What happened, for the script.
#[derive(Clone, Debug)]
pub enum Happened {
    /// A set-up has arrived whole at a host.
    SetUp { host: usize, session: u64 },
    /// A viewer was answered: the session stands.
    Answer { session: u64, description: String },
    /// A viewer was told a release, a refusal or a failure.
    Release { session: u64 },
    /// A test was answered.
    Tested { passed: bool },
}

pub struct World {
    pub record: Record,
    pub hosts: Vec<Host>,
    host_conns: BTreeMap<usize, HostConn>,
    viewers: BTreeMap<usize, Pipe>,
    pub journal: Journal,
    next: usize,
    pub happened: Vec<(Instant, Happened)>,
    /// Connections that hosts have accepted.
    pub accepted: usize,
    /// The longest time in which these stand-ins did not look at their sockets.
    pub longest_pause: Duration,
    looked: Option<Instant>,
    /// Answers of hosts come in two pieces, the last line so much later than the rest.
    pub pieces: Option<Duration>,
    /// What is still to be written to the gateway: when, and on which connection.
    rests: Vec<(Instant, usize, Vec<u8>)>,
}

/// The last line of each host's description.
const LAST_LINE: &str = "a=sendonly\r\n";

/// The description that a host gives for a session.
pub fn description(session: u64, host: &str) -> String {
    format!("{session:016x} at {host}\r\nm=audio 31000 RTP/AVP 0\r\n{LAST_LINE}")
}

/// An address of the loopback network that is this process's own, so that no other takes its ports meanwhile.
pub fn own_ip() -> Ipv4Addr {
    let id = std::process::id();
    Ipv4Addr::new(127, 64 + (id >> 16) as u8 % 64, (id >> 8) as u8, (id as u8).clamp(2, 250))
}

fn listen() -> io::Result<(TcpListener, SocketAddr)> {
    let listener = TcpListener::bind((own_ip(), 0))?;
    listener.set_nonblocking(true)?;
    let addr = listener.local_addr()?;
    Ok((listener, addr))
}

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_millis() as u64)
}

impl World {
    pub fn new(record: &Path) -> io::Result<World> {
        let (listener, addr) = listen()?;
        let journal = Journal { addr, listener, events: Vec::new(), conns: BTreeMap::new() };
        Ok(World {
            record: Record::new(record)?,
            hosts: Vec::new(),
            host_conns: BTreeMap::new(),
            viewers: BTreeMap::new(),
            journal,
            next: 0,
            happened: Vec::new(),
            accepted: 0,
            longest_pause: Duration::ZERO,
            looked: None,
            pieces: None,
            rests: Vec::new(),
        })
    }

    /// Adds a host that started long ago; the journal is not told.
    pub fn add_host(&mut self, block: usize) -> io::Result<usize> {
        let (listener, addr) = listen()?;
        let number = self.hosts.len();
        let sites = ["north-room", "south-room", "back-room"];
        let large = number % 2 == 1;
        self.hosts.push(Host {
            name: format!("s-{number:08x}"),
            addr,
            block,
            kind: if large { "large-4c" } else { "small-2c" },
            site: sites[number % 3],
            share: if large { 4.0 } else { 2.0 },
            health: "Ready",
            born_ms: 0,
            does: Does::Answers,
            next: VecDeque::new(),
            work: Duration::from_millis(40),
            util: 0.2,
            listener,
            sessions: BTreeMap::new(),
            unconfirmed: BTreeMap::new(),
        });
        Ok(number)
    }

    /// Tells the journal of these hosts as they are now; the whole list first.
    pub fn tell(&mut self, hosts: &[usize]) {
        let entries: Vec<_> = hosts.iter().map(|host| self.hosts[*host].entry()).collect();
        let pos = self.journal.events.len() + 1;
        let whole = pos == 1;
        self.journal.events.push(format!(
            "{{\"pos\":{pos},\"hosts\":{{\"seq\":{pos},\"whole\":{whole},\"hosts\":[{}]}}}}",
            entries.join(",")
        ));
        if entries.len() < 5 {
            self.record.say(format!("journal event {pos}: {}", entries.join(",")));
        } else {
            self.record.say(format!("journal event {pos}: {} hosts", entries.len()));
        }
    }

    pub fn known(&self) -> String {
        format!("{{\"pos\":{},\"entries\":[{}]}}", self.journal.events.len(), self.journal.events.join(","))
    }

    /// A connection of viewers to the gateway.
    pub fn connect(&mut self, to: SocketAddr) -> io::Result<usize> {
        let stream = TcpStream::connect_timeout(&to, Duration::from_secs(2))?;
        self.next += 1;
        self.viewers.insert(self.next, Pipe::new(stream));
        Ok(self.next)
    }

    /// Takes over a connection to the gateway that came up elsewhere.
    pub fn adopt(&mut self, stream: TcpStream) -> usize {
        self.next += 1;
        self.viewers.insert(self.next, Pipe::new(stream));
        self.next
    }

    pub fn send(&mut self, viewer: usize, bytes: &[u8]) {
        if let Some(pipe) = self.viewers.get_mut(&viewer) {
            pipe.output.extend_from_slice(bytes);
            pipe.flush();
        }
    }

    /// Where a session stands, or its set-up is open.
    pub fn whereabouts(&self, session: u64) -> Vec<usize> {
        (0..self.hosts.len()).filter(|h| self.hosts[*h].sessions.contains_key(&session)).collect()
    }

    /// A session comes to its end at its host.
    pub fn end(&mut self, host: usize, session: u64, cause: u8) {
        let Some(ended) = self.hosts[host].sessions.remove(&session) else {
            return;
        };
        self.hosts[host].unconfirmed.insert(session, cause);
        let own = self.host_conns.contains_key(&ended.conn).then_some(ended.conn);
        let any = || self.host_conns.iter().find(|(_, c)| c.host == host).map(|(id, _)| *id);
        let conn = own.or_else(any);
        let how = if conn.is_some() { "told at once" } else { "no connection is open" };
        self.record.say(format!("host {host}: session {session:016x} is over, cause {cause}, {how}"));
        if let Some(conn) = conn.and_then(|id| self.host_conns.get_mut(&id)) {
            conn.pipe.output.extend(teardown(session, cause));
            conn.pipe.flush();
        }
    }

    /// Lets time pass until something happened that the script waits for, or the time is over.
    pub fn run(&mut self, time: Duration, mut until: impl FnMut(&World) -> bool) -> bool {
        let end = Instant::now() + time;
        loop {
            if until(self) {
                return true;
            }
            if Instant::now() >= end {
                return false;
            }
            self.step(end);
        }
    }

    pub fn pass(&mut self, time: Duration) {
        self.run(time, |_| false);
    }

    fn step(&mut self, end: Instant) {
        let now = Instant::now();
        let mut due = end.min(now + Duration::from_millis(200));
        for host in self.hosts.iter() {
            let open = host.sessions.values().filter(|s| !s.stands);
            due = open.map(|s| s.due).fold(due, Instant::min);
        }
        due = self.rests.iter().map(|(at, ..)| *at).fold(due, Instant::min);
        due = self.journal.conns.values().map(|c| c.comment_due).fold(due, Instant::min);
        let timeout = due.saturating_duration_since(now).as_millis() as c_int + 1;
        #[derive(Clone, Copy)]
        enum Of {
            JournalListener,
            Journal(usize),
            HostListener(usize),
            HostConn(usize),
            Viewer(usize),
        }
        let (mut fds, mut of) = (Vec::new(), Vec::new());
        let mut add = |fd: c_int, output: bool, what: Of| {
            fds.push(PollFd { fd, events: POLLIN | if output { POLLOUT } else { 0 }, revents: 0 });
            of.push(what);
        };
        add(self.journal.listener.as_raw_fd(), false, Of::JournalListener);
        for (id, c) in &self.journal.conns {
            add(c.pipe.stream.as_raw_fd(), !c.pipe.output.is_empty(), Of::Journal(*id));
        }
        for (number, host) in self.hosts.iter().enumerate() {
            add(host.listener.as_raw_fd(), false, Of::HostListener(number));
        }
        for (id, c) in &self.host_conns {
            add(c.pipe.stream.as_raw_fd(), !c.pipe.output.is_empty(), Of::HostConn(*id));
        }
        for (id, pipe) in &self.viewers {
            add(pipe.stream.as_raw_fd(), !pipe.output.is_empty(), Of::Viewer(*id));
        }
        if let Some(looked) = self.looked {
            self.longest_pause = self.longest_pause.max(looked.elapsed());
        }
        unsafe { poll(fds.as_mut_ptr(), fds.len() as c_ulong, timeout) };
        self.looked = Some(Instant::now());
        for (fd, what) in fds.iter().zip(of) {
            if fd.revents == 0 {
                continue;
            }
            match what {
                Of::JournalListener => self.accept_journal(),
                Of::Journal(id) => self.serve_journal(id),
                Of::HostListener(host) => self.accept_host(host),
                Of::HostConn(id) => self.serve_host(id),
                Of::Viewer(id) => self.serve_viewer(id),
            }
        }
        self.timers();
    }

    fn accept_journal(&mut self) {
        while let Ok((stream, _)) = self.journal.listener.accept() {
            self.next += 1;
            let comment_due = Instant::now() + Duration::from_secs(1);
            let conn = JournalConn { pipe: Pipe::new(stream), told: None, comment_due };
            self.journal.conns.insert(self.next, conn);
        }
    }

    fn serve_journal(&mut self, id: usize) {
        let Some(conn) = self.journal.conns.get_mut(&id) else {
            return;
        };
        let open = conn.pipe.fill();
        let call = String::from_utf8_lossy(&conn.pipe.input).to_ascii_lowercase();
        if conn.told.is_none() && call.contains("\r\n\r\n") {
            let last = call.split("\r\n").find_map(|line| line.strip_prefix("last-event-id:"));
            let told = last.and_then(|n| n.trim().parse().ok()).unwrap_or(0);
            conn.told = Some(told);
            conn.pipe.output.extend(
                b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nCache-Control: no-store\r\n\r\n",
            );
            conn.comment_due = Instant::now();
        }
        if !open || !conn.pipe.flush() {
            self.journal.conns.remove(&id);
        }
    }

    fn accept_host(&mut self, host: usize) {
        loop {
            let Ok((stream, _)) = self.hosts[host].listener.accept() else { return };
            self.next += 1;
            self.accepted += 1;
            let mut pipe = Pipe::new(stream);
            for (session, cause) in &self.hosts[host].unconfirmed {
                pipe.output.extend(teardown(*session, *cause));
            }
            pipe.flush();
            self.host_conns.insert(self.next, HostConn { host, pipe });
        }
    }

    fn serve_host(&mut self, id: usize) {
        let Some(conn) = self.host_conns.get_mut(&id) else {
            return;
        };
        let mut open = conn.pipe.fill();
        let host = conn.host;
        loop {
            let Some(conn) = self.host_conns.get_mut(&id) else {
                return;
            };
            match take_message(&mut conn.pipe.input) {
                Ok(Some(message)) => self.host_message(id, host, &message),
                Ok(None) => break,
                Err(why) => {
                    self.record.say(format!("host {host}: cannot read the gateway: {why}"));
                    open = false;
                    break;
                }
            }
        }
        let Some(conn) = self.host_conns.get_mut(&id) else {
            return;
        };
        if !conn.pipe.flush() || !open {
            self.host_conns.remove(&id);
            // Set-ups that are open on a connection are given up when it closes.
            let given_up: Vec<_> = self.hosts[host]
                .sessions
                .iter()
                .filter(|(_, s)| s.conn == id && !s.stands)
                .map(|(session, _)| *session)
                .collect();
            for session in given_up {
                self.hosts[host].sessions.remove(&session);
                self.record.say(format!("host {host}: set-up {session:016x} given up with its connection"));
            }
        }
    }

    fn host_message(&mut self, id: usize, host: usize, message: &Rtsp) {
        let session = message.session;
        let now = Instant::now();
        let mut reply = Vec::new();
        match message.method.as_str() {
            "SETUP" => {
                let class = message.header("subject");
                let title = message.uri.trim_start_matches("rtsp://media/").to_owned();
                let patience = message.header("x-patience");
                let level = message.header("p-level");
                self.record.say(format!(
                    "host {host}: SETUP {session:016x} class={class} title={title} level={level} patience={patience}"
                ));
                let does = self.hosts[host].next.pop_front().unwrap_or(self.hosts[host].does);
                let due = now + self.hosts[host].work;
                let open = Session { conn: id, due, does, stands: false, since: now };
                self.hosts[host].sessions.insert(session, open);
                self.happened.push((now, Happened::SetUp { host, session }));
            }
            "TEARDOWN" => {
                let reason = message.header("reason");
                let reason: Option<u8> = reason.strip_prefix("cause=").and_then(|c| c.parse().ok());
                self.record.say(format!("host {host}: TEARDOWN {session:016x} reason={reason:?}"));
                let ended = self.hosts[host].sessions.remove(&session);
                if ended.is_some_and(|s| s.stands) {
                    reply.extend(teardown(session, 31));
                }
                reply.extend(response(200, message.cseq, session, "", ""));
            }
            "OPTIONS" => {
                let util = self.hosts[host].util;
                let state = if message.uri.ends_with("/load") {
                    format!("X-State: util:{util:.3}\r\n")
                } else {
                    String::new()
                };
                reply.extend(response(200, message.cseq, session, &state, ""));
            }
            // The gateway has heard of an end.
            "" if message.cseq == 2 && message.status == 200 => {
                self.hosts[host].unconfirmed.remove(&session);
            }
            _ => {}
        }
        if let Some(conn) = self.host_conns.get_mut(&id) {
            conn.pipe.output.extend(reply);
        }
    }

    fn serve_viewer(&mut self, id: usize) {
        let Some(pipe) = self.viewers.get_mut(&id) else {
            return;
        };
        let open = pipe.fill();
        loop {
            let Some(pipe) = self.viewers.get_mut(&id) else {
                return;
            };
            let Some((kind, session, parameters)) = take_binary(&mut pipe.input) else {
                break;
            };
            let now = Instant::now();
            let cause = parameters.get(&222).and_then(|v| v.first()).copied().unwrap_or(0);
            match kind {
                9 => {
                    let text = parameters.get(&225).map(|d| String::from_utf8_lossy(d).into_owned());
                    let description = text.unwrap_or_default();
                    self.record.say(format!(
                        "viewers {id}: {session:016x} answered: it stands, description {description:?}"
                    ));
                    self.happened.push((now, Happened::Answer { session, description }));
                }
                12 => {
                    let away = parameters.get(&198).map(|v| String::from_utf8_lossy(v).into_owned());
                    self.record.say(format!(
                        "viewers {id}: {session:016x} told a release, cause {cause}, stay away {away:?}"
                    ));
                    self.happened.push((now, Happened::Release { session }));
                    let heard = binary(16, session, &[]);
                    self.send(id, &heard);
                }
                53 => self.happened.push((now, Happened::Tested { passed: cause == 1 })),
                _ => {}
            }
        }
        let flushed = self.viewers.get_mut(&id).is_none_or(|pipe| pipe.flush());
        if !open || !flushed {
            self.viewers.remove(&id);
            self.record.say(format!("viewers' connection {id} closed by the gateway"));
        }
    }

    /// Writes an answer, its last line a little later where answers come so.
    fn answer_in_pieces(&mut self, conn: usize, mut bytes: Vec<u8>) {
        if let Some(pause) = self.pieces.filter(|_| bytes.ends_with(LAST_LINE.as_bytes())) {
            let rest = bytes.split_off(bytes.len() - LAST_LINE.len());
            self.rests.push((Instant::now() + pause, conn, rest));
        }
        if let Some(conn) = self.host_conns.get_mut(&conn) {
            conn.pipe.output.extend(bytes);
            conn.pipe.flush();
        }
    }

    fn timers(&mut self) {
        let now = Instant::now();
        for host in 0..self.hosts.len() {
            let due: Vec<_> = self.hosts[host]
                .sessions
                .iter()
                .filter(|(_, s)| !s.stands && s.due <= now)
                .map(|(session, s)| (*session, s.conn, s.does))
                .collect();
            for (session, conn, does) in due {
                let name = self.hosts[host].name.clone();
                let bytes = match does {
                    Does::Answers => {
                        if let Some(held) = self.hosts[host].sessions.get_mut(&session) {
                            (held.stands, held.since) = (true, now);
                        }
                        response(200, 1, session, "", &description(session, &name))
                    }
                    Does::Understates => {
                        if let Some(held) = self.hosts[host].sessions.get_mut(&session) {
                            (held.stands, held.since) = (true, now);
                        }
                        let whole = description(session, &name);
                        let mut bytes =
                            response(200, 1, session, "", &whole[..whole.len() - LAST_LINE.len()]);
                        bytes.extend(LAST_LINE.as_bytes());
                        bytes
                    }
                };
                self.record.say(format!("host {host}: answers {session:016x}: {does:?}"));
                self.answer_in_pieces(conn, bytes);
            }
        }
        let (due, later): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.rests).into_iter().partition(|r| r.0 <= now);
        self.rests = later;
        for (_, conn, rest) in due {
            if let Some(conn) = self.host_conns.get_mut(&conn) {
                conn.pipe.output.extend(rest);
                conn.pipe.flush();
            }
        }
        let events = &self.journal.events;
        let mut gone = BTreeSet::new();
        for (id, conn) in &mut self.journal.conns {
            let Some(told) = &mut conn.told else { continue };
            while *told < events.len() {
                *told += 1;
                let text = format!("id: {}\ndata: {}\n\n", *told, events[*told - 1]);
                conn.pipe.output.extend(text.into_bytes());
            }
            if conn.comment_due <= now {
                conn.comment_due = now + Duration::from_secs(1);
                conn.pipe.output.extend(b": still here\n\n");
            }
            if !conn.pipe.flush() {
                gone.insert(*id);
            }
        }
        self.journal.conns.retain(|id, _| !gone.contains(id));
    }
}

struct Rtsp {
    method: String,
    uri: String,
    status: u16,
    cseq: u32,
    session: u64,
    headers: BTreeMap<String, String>,
}

impl Rtsp {
    fn header(&self, name: &str) -> String {
        self.headers.get(name).cloned().unwrap_or_default()
    }
}

fn take_message(input: &mut Vec<u8>) -> Result<Option<Rtsp>, &'static str> {
    let Some(end) = input.windows(4).position(|w| w == b"\r\n\r\n") else {
        return Ok(None);
    };
    let head = String::from_utf8_lossy(&input[..end]).into_owned();
    let mut lines = head.split("\r\n");
    let first = lines.next().unwrap_or_default().to_owned();
    let headers: BTreeMap<_, _> = lines
        .filter_map(|line| line.split_once(':'))
        .map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_owned()))
        .collect();
    let number = |name: &str| headers.get(name).and_then(|value| value.parse::<usize>().ok());
    let length = number("content-length").ok_or("no length")?;
    if input.len() < end + 4 + length {
        return Ok(None);
    }
    let session = headers.get("session").and_then(|s| u64::from_str_radix(s, 16).ok()).ok_or("no session")?;
    let cseq = number("cseq").ok_or("no CSeq")? as u32;
    input.drain(..end + 4 + length);
    let mut words = first.split(' ');
    let (a, b) = (words.next().unwrap_or_default(), words.next().unwrap_or_default());
    let answer = a.starts_with("RTSP/");
    Ok(Some(Rtsp {
        method: if answer { String::new() } else { a.to_owned() },
        uri: if answer { String::new() } else { b.to_owned() },
        status: if answer { b.parse().map_err(|_| "no status")? } else { 0 },
        cseq,
        session,
        headers,
    }))
}

fn response(status: u16, cseq: u32, session: u64, headers: &str, body: &str) -> Vec<u8> {
    format!(
        "RTSP/1.0 {status} Said\r\nCSeq: {cseq}\r\nSession: {session:016x}\r\n{headers}Content-Length: {}\r\n\r\n{body}",
        body.len()
    )
    .into_bytes()
}

fn teardown(session: u64, cause: u8) -> Vec<u8> {
    format!(
        "TEARDOWN rtsp://media/session RTSP/1.0\r\nCSeq: 2\r\nSession: {session:016x}\r\nReason: cause={cause}\r\nContent-Length: 0\r\n\r\n"
    )
    .into_bytes()
}

type Parameters = BTreeMap<u8, Vec<u8>>;

fn take_binary(input: &mut Vec<u8>) -> Option<(u8, u64, Parameters)> {
    let length = usize::from(u16::from_be_bytes([*input.first()?, *input.get(1)?]));
    if length < 9 || input.len() < 2 + length {
        return None;
    }
    let message: Vec<u8> = input.drain(..2 + length).skip(2).collect();
    let session = u64::from_be_bytes(message[1..9].try_into().ok()?);
    let (mut rest, mut parameters) = (&message[9..], BTreeMap::new());
    while rest.len() >= 3 {
        let length = usize::from(u16::from_be_bytes([rest[1], rest[2]]));
        let value = rest.get(3..3 + length)?;
        parameters.insert(rest[0], value.to_vec());
        rest = &rest[3 + length..];
    }
    Some((message[0], session, parameters))
}

pub fn binary(kind: u8, session: u64, parameters: &[(u8, &[u8])]) -> Vec<u8> {
    let length = 9 + parameters.iter().map(|(_, v)| 3 + v.len()).sum::<usize>();
    let mut bytes = (length as u16).to_be_bytes().to_vec();
    bytes.push(kind);
    bytes.extend(session.to_be_bytes());
    for (code, value) in parameters {
        bytes.push(*code);
        bytes.extend((value.len() as u16).to_be_bytes());
        bytes.extend_from_slice(value);
    }
    bytes
}

/// A set-up of a viewer; `figures` as in `home:4;copies:3;top:3;viewer:…`.
pub fn set_up(session: u64, class: &str, patience_ms: u64, title: &str, figures: &str) -> Vec<u8> {
    let patience = patience_ms.to_string();
    let offer = format!("{title}\r\nc=IN IP4 127.0.0.1\r\nm=audio 31000 RTP/AVP 0 8 101\r\n");
    let parameters: [(u8, &[u8]); 5] = [
        (180, class.as_bytes()),
        (183, patience.as_bytes()),
        (192, title.as_bytes()),
        (195, figures.as_bytes()),
        (225, offer.as_bytes()),
    ];
    binary(1, session, &parameters)
}

pub fn test(session: u64) -> Vec<u8> {
    binary(52, session, &[(222, &[0])])
}
