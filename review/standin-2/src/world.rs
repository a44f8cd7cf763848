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

/// How a media host is.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Mode {
    Serves,
    /// Its process does not run on: its system accepts connections and keeps what comes.
    Hangs,
    /// Its process is gone.
    Dead,
}

/// What a host does with a set-up.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Does {
    Answers,
    Says(u16),
    Nothing,
}

#[derive(Clone, Debug)]
pub struct Session {
    pub class: String,
    pub title: String,
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
    pub mode: Mode,
    pub does: Does,
    /// What the next set-ups meet, before `does` holds again.
    pub next: VecDeque<Does>,
    pub work: Duration,
    /// Share of its link that is asked for, as it reports.
    pub util: f64,
    listener: Option<TcpListener>,
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

/// How the journal service is.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum JournalMode {
    Tells,
    /// Open connections stay open, new ones are accepted by the system, and nothing is said.
    Silent,
    /// Open connections are closed, and new ones as soon as they come.
    Down,
}

pub struct Journal {
    pub addr: SocketAddr,
    listener: TcpListener,
    pub mode: JournalMode,
    pub events: Vec<String>,
    conns: BTreeMap<usize, JournalConn>,
    /// Connections at the address before, until they are closed.
    left: Vec<(Instant, TcpStream)>,
}

/// What happened, for the script.
#[derive(Clone, Debug)]
pub enum Happened {
    /// A set-up has arrived whole at a host.
    SetUp {
        host: usize,
        session: u64,
    },
    /// A host was told to give a set-up up or to release a session.
    TearDown {
        host: usize,
        session: u64,
        reason: Option<u8>,
    },
    /// A host has answered a set-up.
    Said {
        host: usize,
        session: u64,
        status: u16,
    },
    /// A session or a set-up is over at its host: it came to its end, was cut, was released or was given up.
    Over {
        host: usize,
        session: u64,
    },
    /// A viewer was answered: the session stands.
    Answer {
        viewer: usize,
        session: u64,
    },
    /// A viewer was told a release, a refusal or a failure.
    Release {
        viewer: usize,
        session: u64,
        cause: u8,
    },
    Tested {
        viewer: usize,
        passed: bool,
    },
    /// The gateway has closed a viewers' connection.
    Closed {
        viewer: usize,
    },
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
        let journal = Journal {
            addr,
            listener,
            mode: JournalMode::Tells,
            events: Vec::new(),
            conns: BTreeMap::new(),
            left: Vec::new(),
        };
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
            mode: Mode::Serves,
            does: Does::Answers,
            next: VecDeque::new(),
            work: Duration::from_millis(40),
            util: 0.2,
            listener: Some(listener),
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

    /// The journal service breaks off.
    pub fn journal_breaks(&mut self) {
        self.journal.mode = JournalMode::Down;
        self.journal.conns.clear();
    }

    /// The journal service is at another address; the old one says nothing more and closes after 1.5 s.
    pub fn journal_moves(&mut self) -> io::Result<()> {
        let (listener, addr) = listen()?;
        (self.journal.listener, self.journal.addr) = (listener, addr);
        let closes_at = Instant::now() + Duration::from_millis(1_500);
        let old = std::mem::take(&mut self.journal.conns);
        self.journal.left.extend(old.into_values().map(|conn| (closes_at, conn.pipe.stream)));
        Ok(())
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

    pub fn viewer_is_open(&self, viewer: usize) -> bool {
        self.viewers.contains_key(&viewer)
    }

    pub fn close_viewer(&mut self, viewer: usize) {
        self.viewers.remove(&viewer);
        self.record.say(format!("viewers' connection {viewer} closed by its viewers"));
    }

    pub fn send(&mut self, viewer: usize, bytes: &[u8]) {
        if let Some(pipe) = self.viewers.get_mut(&viewer) {
            pipe.output.extend_from_slice(bytes);
            pipe.flush();
        }
    }

    /// The process of a host dies: its connections are reset, its sessions are cut.
    pub fn die(&mut self, host: usize) {
        self.record.say(format!("host {host} dies with {} sessions", self.standing(host)));
        let dead: Vec<_> =
            self.host_conns.iter().filter(|(_, c)| c.host == host).map(|(id, _)| *id).collect();
        for id in dead {
            if let Some(conn) = self.host_conns.remove(&id) {
                reset(conn.pipe.stream);
            }
        }
        for session in self.hosts[host].sessions.keys() {
            self.happened.push((Instant::now(), Happened::Over { host, session: *session }));
        }
        let host = &mut self.hosts[host];
        host.mode = Mode::Dead;
        host.listener = None;
        host.sessions.clear();
        host.unconfirmed.clear();
    }

    /// Another process runs at the host's address.
    pub fn come_back(&mut self, host: usize) -> io::Result<()> {
        let listener = TcpListener::bind(self.hosts[host].addr)?;
        listener.set_nonblocking(true)?;
        let host = &mut self.hosts[host];
        host.listener = Some(listener);
        host.mode = Mode::Serves;
        host.born_ms = unix_ms();
        Ok(())
    }

    pub fn standing(&self, host: usize) -> usize {
        self.hosts[host].sessions.values().filter(|s| s.stands).count()
    }

    /// Where a session stands, or its set-up is open.
    pub fn whereabouts(&self, session: u64) -> Vec<usize> {
        (0..self.hosts.len()).filter(|h| self.hosts[*h].sessions.contains_key(&session)).collect()
    }

    /// A session stands at a host since before the gateway's start.
    pub fn stand(&mut self, host: usize, session: u64, class: &str, title: &str) {
        let now = Instant::now();
        let (class, title) = (class.to_owned(), title.to_owned());
        let held = Session { class, title, conn: 0, due: now, does: Does::Answers, stands: true, since: now };
        self.hosts[host].sessions.insert(session, held);
    }

    /// A session comes to its end at its host.
    pub fn end(&mut self, host: usize, session: u64, cause: u8) {
        let Some(ended) = self.hosts[host].sessions.remove(&session) else {
            return;
        };
        self.hosts[host].unconfirmed.insert(session, cause);
        self.happened.push((Instant::now(), Happened::Over { host, session }));
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
        for host in self.hosts.iter().filter(|host| host.mode == Mode::Serves) {
            let open = host.sessions.values().filter(|s| !s.stands && s.does != Does::Nothing);
            due = open.map(|s| s.due).fold(due, Instant::min);
        }
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
        if self.journal.mode != JournalMode::Silent {
            add(self.journal.listener.as_raw_fd(), false, Of::JournalListener);
            for (id, c) in &self.journal.conns {
                add(c.pipe.stream.as_raw_fd(), !c.pipe.output.is_empty(), Of::Journal(*id));
            }
        }
        for (number, host) in self.hosts.iter().enumerate().filter(|(_, h)| h.mode == Mode::Serves) {
            if let Some(listener) = &host.listener {
                add(listener.as_raw_fd(), false, Of::HostListener(number));
            }
        }
        for (id, c) in &self.host_conns {
            if self.hosts[c.host].mode == Mode::Serves {
                add(c.pipe.stream.as_raw_fd(), !c.pipe.output.is_empty(), Of::HostConn(*id));
            }
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
            if self.journal.mode == JournalMode::Down {
                continue;
            }
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
            let accepted = match &self.hosts[host].listener {
                Some(listener) => listener.accept(),
                None => return,
            };
            let Ok((stream, _)) = accepted else { return };
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
                self.happened.push((Instant::now(), Happened::Over { host, session }));
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
                let open = Session { class, title, conn: id, due, does, stands: false, since: now };
                self.hosts[host].sessions.insert(session, open);
                self.happened.push((now, Happened::SetUp { host, session }));
            }
            "TEARDOWN" => {
                let reason = message.header("reason");
                let reason = reason.strip_prefix("cause=").and_then(|c| c.parse().ok());
                self.record.say(format!("host {host}: TEARDOWN {session:016x} reason={reason:?}"));
                self.happened.push((now, Happened::TearDown { host, session, reason }));
                let ended = self.hosts[host].sessions.remove(&session);
                if ended.is_some() {
                    self.happened.push((now, Happened::Over { host, session }));
                }
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
                    let text = parameters.get(&225).map(|d| String::from_utf8_lossy(d).trim().to_owned());
                    self.record.say(format!(
                        "viewers {id}: {session:016x} answered: it stands, description {:?}",
                        text.unwrap_or_default()
                    ));
                    self.happened.push((now, Happened::Answer { viewer: id, session }));
                }
                12 => {
                    let away = parameters.get(&198).map(|v| String::from_utf8_lossy(v).into_owned());
                    self.record.say(format!(
                        "viewers {id}: {session:016x} told a release, cause {cause}, stay away {away:?}"
                    ));
                    self.happened.push((now, Happened::Release { viewer: id, session, cause }));
                    let heard = binary(16, session, &[]);
                    self.send(id, &heard);
                }
                53 => self.happened.push((now, Happened::Tested { viewer: id, passed: cause == 1 })),
                _ => {}
            }
        }
        let flushed = self.viewers.get_mut(&id).is_none_or(|pipe| pipe.flush());
        if !open || !flushed {
            self.viewers.remove(&id);
            self.record.say(format!("viewers' connection {id} closed by the gateway"));
            self.happened.push((Instant::now(), Happened::Closed { viewer: id }));
        }
    }

    fn timers(&mut self) {
        let now = Instant::now();
        for host in 0..self.hosts.len() {
            if self.hosts[host].mode != Mode::Serves {
                continue;
            }
            let due: Vec<_> = self.hosts[host]
                .sessions
                .iter()
                .filter(|(_, s)| !s.stands && s.does != Does::Nothing && s.due <= now)
                .map(|(session, s)| (*session, s.conn, s.does))
                .collect();
            for (session, conn, does) in due {
                let name = self.hosts[host].name.clone();
                let bytes = match does {
                    Does::Answers => {
                        if let Some(held) = self.hosts[host].sessions.get_mut(&session) {
                            (held.stands, held.since) = (true, now);
                        }
                        let body = format!("{session:016x} at {name}\r\nm=audio 31000 RTP/AVP 0\r\n");
                        response(200, 1, session, "", &body)
                    }
                    Does::Says(status) => {
                        self.hosts[host].sessions.remove(&session);
                        response(status, 1, session, "", "")
                    }
                    Does::Nothing => continue,
                };
                let status = if let Does::Says(status) = does { status } else { 200 };
                self.happened.push((now, Happened::Said { host, session, status }));
                self.record.say(format!("host {host}: answers {session:016x}: {does:?}"));
                if let Some(conn) = self.host_conns.get_mut(&conn) {
                    conn.pipe.output.extend(bytes);
                    conn.pipe.flush();
                }
            }
        }
        self.journal.left.retain(|(closes_at, _)| *closes_at > now);
        if self.journal.mode != JournalMode::Tells {
            return;
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

/// Closes a connection so that its peer sees a reset.
fn reset(stream: TcpStream) {
    #[repr(C)]
    struct Linger {
        on: c_int,
        seconds: c_int,
    }
    unsafe extern "C" {
        fn setsockopt(fd: c_int, level: c_int, name: c_int, value: *const Linger, length: u32) -> c_int;
    }
    let linger = Linger { on: 1, seconds: 0 };
    // SOL_SOCKET and SO_LINGER of Linux, the same on x86-64 and arm64.
    unsafe { setsockopt(stream.as_raw_fd(), 1, 13, &linger, size_of::<Linger>() as u32) };
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

/// A viewer gives a set-up up, or ends its session.
pub fn release(session: u64, cause: u8) -> Vec<u8> {
    binary(12, session, &[(222, &[cause])])
}

pub fn test(session: u64) -> Vec<u8> {
    binary(52, session, &[(222, &[0])])
}
