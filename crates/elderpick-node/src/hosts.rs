//! Connections to media hosts: a few for each, each with few set-ups on it, since one spoilt answer takes them all along.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use elderpick_core::api::{Micros, Note, Report, ServerId, Status};
use elderpick_platform::MOST_MESSAGE;
use elderpick_platform::rtsp::{self, Start, cseq};
use elderpick_sessions::life::{self, AttemptId, Input};
use elderpick_sessions::pending::PendingQueue;
use elderpick_sessions::watch::Opened;
use tokio::net::TcpStream;
use tokio::task::spawn_local;

use crate::link::{Link, Look};
use crate::node::Node;

/// Set-ups that one connection carries where no further one may be opened, unless the settings allow fewer.
const SHARED: usize = 8;
/// A connection to a host where sessions stand is not closed for another sooner than this: with few descriptors all hosts
/// are reached in turn, and the pace bounds what the turns cost.
const TURN: Micros = 1_000_000;
/// Set-ups that wait for a connection that is being opened, where no further one may be; one more is not sent.
const WAITING: usize = 64;
/// Withdrawals and releases on one connection that are remembered until they are confirmed, and words that wait for one:
/// all that may stand at a host may be over in one moment.
const UNHEARD: usize = life::STANDING;
const PENDING: usize = life::STANDING;
/// A connection that is used no more is kept so long for what may still come on it.
const RETIRED: Duration = Duration::from_secs(1);
/// A withdrawal is confirmed by then where its line goes on. A set-up that arrives more than a tenth of a second behind
/// its viewer's end is one too many, and what is written takes time.
const CONFIRMED: Duration = Duration::from_millis(50);
/// How often what comes may hold an attempt up at a time. Where the last look left something unread, who floods us may
/// have left: it is looked at again after a pause.
const MOST_LOOKS: u32 = 9;
const LOOKS_APART: Duration = Duration::from_millis(1);

/// One connection to a host.
pub(crate) struct Line {
    link: Link,
    decoder: RefCell<rtsp::Decoder>,
    /// Set-ups that are out on it: which attempts they are, and when they were written.
    out: RefCell<BTreeMap<u64, (AttemptId, Micros)>>,
    /// Sessions whose withdrawal or release was said on it and not confirmed on it.
    unheard: RefCell<BTreeSet<u64>>,
    /// Calls for load that are out on it.
    asked: RefCell<BTreeSet<u64>>,
    /// When it came up, was last read from and last written to.
    up: Micros,
    read: Cell<Micros>,
    used: Cell<Micros>,
    /// When the life of sessions was last told that the host says anything.
    told: Cell<Micros>,
    /// Part of a message is held.
    partial: Cell<bool>,
    retired: Cell<bool>,
    /// It was closed to make room for one to another host.
    made_room: Cell<bool>,
}

/// An attempt on its way to a host.
pub(crate) struct Attempt {
    pub server: ServerId,
    pub session: u64,
    pub attempt: AttemptId,
    pub bytes: Vec<u8>,
    /// How often it was held up by what was there to be read before it.
    pub looks: u32,
    /// The last look left something unread.
    pub unread: bool,
}

impl Attempt {
    /// It was not written, and never will be.
    fn kept(self) -> Input {
        Input::Kept { server: self.server, session: self.session, attempt: self.attempt }
    }

    fn never_up(self) -> Input {
        Input::Cut { server: self.server, session: self.session, attempt: self.attempt, begun: false }
    }
}

impl Line {
    fn free(&self) -> bool {
        !self.retired.get() && self.link.free()
    }

    fn idle(&self) -> bool {
        self.out.borrow().is_empty() && self.asked.borrow().is_empty()
    }

    fn say(&self, (over, bytes): Message) {
        let mut unheard = self.unheard.borrow_mut();
        let room = unheard.len() < UNHEARD;
        unheard.extend(over.filter(|_| room));
        self.link.send(&bytes);
    }

    /// Takes out what is out under a session's number, if it is that attempt.
    fn take_out(&self, session: u64, attempt: Option<AttemptId>) -> Option<(AttemptId, Micros)> {
        let mut out = self.out.borrow_mut();
        let fits = |(out, _): &&(AttemptId, Micros)| attempt.is_none_or(|attempt| attempt == *out);
        let found = out.get(&session).filter(fits).copied();
        found.inspect(|_| {
            out.remove(&session);
        })
    }

    /// Ends it while nothing is out on it. Where sessions stand the host may be saying just now that one is over: it is
    /// heard to the end, since it would say so again on a new connection only.
    fn leave(&self, stands: bool) {
        self.retired.set(true);
        if stands { self.link.leave() } else { self.link.end(true) }
    }
}

/// A word that wants no answer, and the session that it withdraws or releases, if it does.
type Message = (Option<u64>, Vec<u8>);

/// What leads to one host.
struct Ways {
    lines: Vec<Rc<Line>>,
    opening: usize,
    pending: PendingQueue<Message>,
    /// Set-ups that wait for an opening to end.
    waiting: VecDeque<Attempt>,
}

impl Default for Ways {
    fn default() -> Self {
        Ways {
            lines: Vec::new(),
            opening: 0,
            pending: PendingQueue::new(PENDING, life::OUTAGE),
            waiting: VecDeque::new(),
        }
    }
}

/// What a call is for.
enum Call {
    SetUp(Attempt),
    Load { session: u64 },
    Nothing,
}

/// What bounds the connections to hosts.
pub(crate) struct Limits {
    /// Descriptors for all of them.
    pub connections: usize,
    /// Descriptors beside these for connections that are being closed.
    pub ending: usize,
    /// Set-ups on one connection, if the settings tell.
    pub set_ups_on_one: Option<usize>,
    /// How long one may take to come up.
    pub connect: Duration,
    /// After how long hosts close idle ones; 0 if that is not told.
    pub idle: Micros,
}

pub(crate) struct Hosts {
    ways: RefCell<BTreeMap<ServerId, Ways>>,
    /// Descriptors for all hosts, and beside these for what is being closed.
    most: usize,
    ending: usize,
    /// Set-ups that one connection carries at a time.
    shared: usize,
    connect: Duration,
    /// A line that was idle so long is not written a set-up to: its host may be closing it.
    stale: Micros,
    next_call: Cell<u64>,
    pub unreadable: Cell<u64>,
}

impl Hosts {
    pub fn new(limits: Limits, first_call: u64) -> Hosts {
        Hosts {
            ways: RefCell::default(),
            most: limits.connections,
            ending: limits.ending,
            shared: limits.set_ups_on_one.map_or(SHARED, |most| most.clamp(1, SHARED)),
            connect: limits.connect,
            stale: if limits.idle > 0 { limits.idle / 3 * 2 } else { Micros::MAX },
            next_call: Cell::new(first_call),
            unreadable: Cell::new(0),
        }
    }

    /// Lines that are up and not being closed, and openings.
    fn in_use(&self) -> usize {
        let ways = self.ways.borrow();
        let in_use =
            |ways: &Ways| ways.lines.iter().filter(|line| line.link.goes_on()).count() + ways.opening;
        ways.values().map(in_use).sum()
    }

    pub fn lines(&self) -> usize {
        self.ways.borrow().values().map(|w| w.lines.len() + w.opening).sum()
    }

    fn new_call(&self) -> u64 {
        // Steps by an odd number come to each name once, from a start that is this gateway's own.
        let call = self.next_call.get();
        self.next_call.set(call.wrapping_add(0x9e37_79b9_7f4a_7c15));
        call
    }
}

impl Node {
    /// Whether another line to a host may be opened, though no other is closed for it.
    fn may_open(&self, server: &ServerId) -> bool {
        self.may_have_more(server) && self.hosts.lines() < self.hosts.most
    }

    fn may_have_more(&self, server: &ServerId) -> bool {
        let each = (self.hosts.most / (self.life.borrow().hosts() + 2).max(1)).clamp(2, 16);
        let ways = self.hosts.ways.borrow();
        let of_host = ways.get(server).map_or(0, |w| w.lines.len() + w.opening);
        of_host < each
    }

    /// Ends the idle line that is missed least: one of several to its host, else one to a host where nothing stands, else
    /// one whose host had its turn; of those the one that was used longest ago.
    fn make_room(&self) -> bool {
        let (life, ways, now) = (self.life.borrow(), self.hosts.ways.borrow(), self.now());
        let idle = ways.iter().flat_map(|(server, ways)| {
            let only = ways.lines.iter().filter(|line| line.free()).count() < 2;
            let stands = life.stands_at(server);
            let may_go = move |line: &Rc<Line>| !(only && stands) || now - line.up >= TURN;
            let idle = ways.lines.iter().filter(move |line| may_go(line) && line.free() && line.idle());
            idle.map(move |line| ((only, only && stands, line.used.get()), stands, line))
        });
        let Some((_, stands, line)) = idle.min_by_key(|(missed, ..)| *missed) else { return false };
        line.made_room.set(true);
        line.leave(stands);
        true
    }

    /// The line with the fewest set-ups and calls on it. What its host has ended is none, though its task may not have
    /// seen it yet.
    fn line(&self, server: &ServerId) -> Option<Rc<Line>> {
        let ways = self.hosts.ways.borrow();
        let fresh = |line: &&Rc<Line>| line.free() && self.now() - line.read.get() < self.hosts.stale;
        let lines = ways.get(server)?.lines.iter().filter(fresh);
        let mut lines: Vec<_> = lines.collect();
        lines.sort_by_key(|line| (line.out.borrow().len(), line.asked.borrow().len()));
        lines.into_iter().find(|line| !line.link.ended()).cloned()
    }

    /// Whether anything has come that is to be heard before an attempt is written: from the viewer that asked, or on
    /// the line that it would go out on. It is told to the life of sessions by this.
    pub(crate) fn hears_before(self: &Rc<Self>, one: &mut Attempt) -> bool {
        if one.looks >= MOST_LOOKS {
            return false;
        }
        one.looks += 1;
        let asked_on = self.life.borrow().asked_on(one.session);
        let mut look = asked_on.map_or(Look::Nothing, |conn| self.look_at_client(conn));
        if look == Look::Nothing
            && let Some(line) = self.line(&one.server)
        {
            look = line.link.look(|chunk| self.host_heard(&one.server, &line, chunk));
        }
        one.unread = look == Look::More;
        look != Look::Nothing
    }

    /// Writes a set-up on an idle line, on a new one, or with others if there may be no further. A bound of ours says
    /// nothing of the host: what it leaves no room for was never sent.
    pub(crate) fn host_set_up(self: &Rc<Self>, one: Attempt) {
        if !self.may_write(&one) {
            return self.feed(one.kept());
        }
        if one.unread {
            return self.look_later(one);
        }
        let server = one.server.clone();
        let line = self.line(&server);
        let load = line.as_ref().map_or(usize::MAX, |line| line.out.borrow().len());
        match line {
            Some(line) if load == 0 => self.write_set_up(&line, one),
            _ if self.may_open(&server) => self.open(server, Call::SetUp(one)),
            Some(line) if load < self.hosts.shared => self.write_set_up(&line, one),
            _ if self.may_have_more(&server) && self.make_room() => self.open(server, Call::SetUp(one)),
            _ => self.wait(one),
        }
    }

    /// Looks again once others had their turn; the attempt's time bounds how often.
    fn look_later(self: &Rc<Self>, one: Attempt) {
        let node = self.clone();
        spawn_local(async move {
            tokio::time::sleep(LOOKS_APART).await;
            node.together(|| {
                node.attempts.borrow_mut().push_back(Attempt { looks: 0, unread: false, ..one })
            });
        });
    }

    fn may_write(&self, one: &Attempt) -> bool {
        self.life.borrow().may_write(&one.server, one.session, one.attempt, self.now())
    }

    /// Lets a set-up wait for an opening to end, if there is one and room.
    fn wait(self: &Rc<Self>, one: Attempt) {
        let mut all = self.hosts.ways.borrow_mut();
        let ways = all.get_mut(&one.server).filter(|ways| ways.opening > 0 && ways.waiting.len() < WAITING);
        match ways {
            Some(ways) => ways.waiting.push_back(one),
            None => {
                drop(all);
                self.feed(one.kept());
            }
        }
    }

    /// Takes all that wait.
    fn waiting(&self, server: &ServerId) -> VecDeque<Attempt> {
        let mut ways = self.hosts.ways.borrow_mut();
        ways.get_mut(server).map(|ways| std::mem::take(&mut ways.waiting)).unwrap_or_default()
    }

    /// Writes what was looked at right before. A line that does not take the first byte is used no more, and nothing
    /// of the set-up has left: it goes another way.
    fn write_set_up(self: &Rc<Self>, line: &Rc<Line>, one: Attempt) {
        let now = self.now();
        if line.link.send_now(&one.bytes) {
            line.out.borrow_mut().insert(one.session, (one.attempt, now));
            line.used.set(now);
        } else {
            self.retire(line);
            self.host_set_up(one);
        }
    }

    pub(crate) fn host_withdraw(self: &Rc<Self>, server: &ServerId, session: u64, attempt: AttemptId) {
        let mut ways = self.hosts.ways.borrow_mut();
        let Some(ways) = ways.get_mut(server) else { return };
        ways.waiting.retain(|one| one.attempt != attempt);
        for line in &ways.lines {
            let Some(written) = line.take_out(session, Some(attempt)) else { continue };
            line.say((Some(session), rtsp::teardown(session, None)));
            // What hangs in the middle of a message, has said nothing since, or has not taken all, is trusted with no other.
            if line.partial.get() || line.read.get() < written.1 || !line.link.free() {
                self.retire(line);
                self.doubt(line);
            }
        }
    }

    /// A line that has said nothing since a set-up was written may have to carry that still. It is tested: unless its
    /// host says anything soon, what is on its way to it is taken back, whatever else is out on it: the end of its viewer
    /// bounds when a set-up may arrive.
    fn doubt(self: &Rc<Self>, line: &Rc<Line>) {
        line.link.send(&rtsp::options(self.hosts.new_call(), false));
        let (read, line) = (line.read.get(), Rc::downgrade(line));
        spawn_local(async move {
            tokio::time::sleep(CONFIRMED).await;
            if let Some(line) = line.upgrade()
                && (line.read.get() == read || !line.link.written())
            {
                line.link.abort();
            }
        });
    }

    /// Uses a line no more, and ends it after a while. What else is out on it keeps its chance, whose time-outs bound
    /// the wait, unless the line hangs in the middle of a message: then nothing can be read on it any more.
    fn retire(self: &Rc<Self>, line: &Rc<Line>) {
        if !line.retired.replace(true) {
            let (line, node) = (Rc::downgrade(line), self.clone());
            spawn_local(async move {
                loop {
                    tokio::time::sleep(RETIRED).await;
                    let Some(line) = line.upgrade() else { return };
                    let hangs =
                        line.partial.get() && node.now() - line.read.get() >= RETIRED.as_micros() as Micros;
                    if line.out.borrow().is_empty() || hangs {
                        return line.link.abort();
                    }
                }
            });
        }
    }

    /// Says something that needs no answer, now or on the next line that comes up.
    pub(crate) fn host_tell(self: &Rc<Self>, server: ServerId, told: Message) {
        if let Some(line) = self.line(&server) {
            return line.say(told);
        }
        let mut ways = self.hosts.ways.borrow_mut();
        let ways = ways.entry(server.clone()).or_default();
        ways.pending.push(self.now(), told);
        let idle = ways.opening == 0;
        if idle {
            self.open_later(server);
        }
    }

    fn open_later(self: &Rc<Self>, server: ServerId) {
        let node = self.clone();
        spawn_local(async move { node.open(server, Call::Nothing) });
    }

    /// Opens a line to each host for which words wait, whose last opening came to nothing.
    pub(crate) fn host_say_kept(self: &Rc<Self>) {
        let (life, now) = (self.life.borrow(), self.now());
        let ways = self.hosts.ways.borrow();
        let waits = ways.iter().filter(|(server, ways)| {
            let listed = life.is_listed(server);
            listed && ways.opening == 0 && ways.lines.is_empty() && ways.pending.iter(now).next().is_some()
        });
        waits.for_each(|(server, _)| self.open_later(server.clone()));
    }

    /// Says what waits for a host on a line that is up, as much as that takes at once: what is more would end it.
    fn say_pending(&self, server: &ServerId, line: &Line) {
        let now = self.now();
        while line.free() {
            let next = self.hosts.ways.borrow_mut().get_mut(server).and_then(|ways| ways.pending.pop(now));
            let Some(message) = next else { return };
            line.say(message);
        }
    }

    /// Goes on with what waits for hosts whose lines have taken what they were told.
    pub(crate) fn hosts_say_pending(&self) {
        let lines: Vec<_> = {
            let ways = self.hosts.ways.borrow();
            let waits = ways.iter().filter(|(_, ways)| !ways.pending.is_empty());
            let free = |ways: &Ways| ways.lines.iter().find(|line| line.free()).cloned();
            waits.filter_map(|(server, ways)| Some((server.clone(), free(ways)?))).collect()
        };
        lines.iter().for_each(|(server, line)| self.say_pending(server, line));
    }

    pub(crate) fn host_probe(self: &Rc<Self>, server: ServerId) {
        let session = self.hosts.new_call();
        match self.line(&server) {
            Some(line) if line.idle() => self.write_probe(&server, &line, session),
            _ if self.may_open(&server) => self.open(server, Call::Load { session }),
            Some(line) => self.write_probe(&server, &line, session),
            // No connection is free: a call for load is left out, and nothing is held against the host.
            None => {}
        }
    }

    fn write_probe(self: &Rc<Self>, server: &ServerId, line: &Rc<Line>, session: u64) {
        line.link.send(&rtsp::options(session, true));
        line.asked.borrow_mut().insert(session);
        line.used.set(self.now());
        // Who only waits must not keep the connection open: when it ends, what was out on it is told as over.
        let (node, line, server) = (self.clone(), Rc::downgrade(line), server.clone());
        spawn_local(async move {
            tokio::time::sleep(node.hosts.connect).await;
            let Some(line) = line.upgrade() else { return };
            if line.asked.borrow_mut().remove(&session) {
                if line.partial.get() {
                    node.retire(&line);
                }
                let (status, report) = (Status::TimedOut, Report::default());
                node.feed(Input::Probed { server, status, report });
            }
        });
    }

    /// Tests a host on any line; any word from it will do.
    pub(crate) fn host_test(self: &Rc<Self>, server: &ServerId) {
        if let Some(line) = self.line(server) {
            let session = self.hosts.new_call();
            line.link.send(&rtsp::options(session, false));
        }
    }

    pub(crate) fn host_open(self: &Rc<Self>, server: ServerId) {
        self.open(server, Call::Nothing);
    }

    /// Closes all that leads to a host, and drops what waits for a connection to what it was.
    pub(crate) fn host_forget(&self, server: &ServerId) {
        let mut ways = self.hosts.ways.borrow_mut();
        let Some(ways) = ways.get_mut(server) else { return };
        ways.lines.iter().for_each(|line| line.link.abort());
        // The attempts that wait are over by now, and may not be written.
        ways.waiting.clear();
        ways.pending.take(self.now()).for_each(drop);
    }

    /// Whether all that was said to hosts is written, as far as the list still has them.
    pub(crate) fn hosts_told(&self) -> bool {
        let ways = self.hosts.ways.borrow();
        let life = self.life.borrow();
        ways.iter().all(|(server, w)| {
            let written = w.lines.iter().all(|line| line.link.written());
            written && (w.pending.is_empty() || !life.is_listed(server))
        })
    }

    /// Closes what is not needed: lines to hosts that are gone, and more than one that is idle.
    pub(crate) fn host_tidy(&self) {
        let (life, now) = (self.life.borrow(), self.now());
        let mut all = self.hosts.ways.borrow_mut();
        all.retain(|server, ways| {
            let (known, stands) = (life.address(server).is_some(), life.stands_at(server));
            let mut spare = ways.lines.iter().filter(|l| !l.retired.get()).count();
            for line in &ways.lines {
                let stale = now - line.used.get().max(line.read.get()) > self.hosts.stale;
                let surplus = spare > 1 && now - line.used.get() > 10_000_000;
                if line.idle() && line.link.goes_on() && (!known || stale || surplus) {
                    spare = spare.saturating_sub(1);
                    line.leave(stands);
                }
            }
            known || !ways.lines.is_empty() || ways.opening > 0
        });
    }

    /// Whether a line may be opened, another closed for it if need be. Lines that are being closed hold their descriptors
    /// for a moment longer, for which some are set aside.
    fn finds_room(&self) -> bool {
        let beside = self.hosts.lines() < self.hosts.most + self.hosts.ending;
        beside && (self.hosts.in_use() < self.hosts.most || self.make_room())
    }

    fn open(self: &Rc<Self>, server: ServerId, call: Call) {
        let Some(to) = self.life.borrow().address(&server) else {
            return self.never_up(server, call, Opened::Refused);
        };
        if !self.finds_room() {
            return self.never_up(server, call, Opened::NoRoom);
        }
        self.hosts.ways.borrow_mut().entry(server.clone()).or_default().opening += 1;
        let node = self.clone();
        spawn_local(async move {
            let up = connect(to, node.hosts.connect).await;
            if let Some(ways) = node.hosts.ways.borrow_mut().get_mut(&server) {
                ways.opening -= 1;
            }
            // The list may have told of another host at this address meanwhile.
            let same = node.life.borrow().address(&server) == Some(to);
            match up {
                Ok(stream) if same => node.up(server, stream, call).await,
                Ok(_) => node.never_up(server, call, Opened::Refused),
                Err(how) => node.never_up(server, call, how),
            }
        });
    }

    fn never_up(self: &Rc<Self>, server: ServerId, call: Call, how: Opened) {
        self.feed(Input::Opened { server: server.clone(), how });
        let ended = |one: Attempt| match how {
            // It was never sent, and nothing is held against the host.
            Opened::NoRoom => one.kept(),
            _ => one.never_up(),
        };
        let others = self.hosts.ways.borrow().get(&server).map_or(0, |ways| ways.opening);
        if how != Opened::NoRoom || others == 0 {
            self.waiting(&server).into_iter().for_each(|one| self.feed(ended(one)));
        }
        match call {
            Call::SetUp(one) => self.feed(ended(one)),
            Call::Load { .. } if how == Opened::NoRoom => {}
            Call::Load { .. } => {
                let (status, report) = (Status::ConnectError, Report::default());
                self.feed(Input::Probed { server, status, report });
            }
            Call::Nothing => {}
        }
    }

    /// A line came up: says what waits for it and reads until it ends.
    async fn up(self: Rc<Self>, server: ServerId, stream: TcpStream, call: Call) {
        let now = self.now();
        tracing::trace!(server = %server, "a line is up");
        let line = Rc::new(Line {
            link: Link::new(stream, SHARED * MOST_MESSAGE),
            decoder: RefCell::default(),
            out: RefCell::default(),
            unheard: RefCell::default(),
            asked: RefCell::default(),
            up: now,
            read: Cell::new(now),
            used: Cell::new(now),
            told: Cell::new(now),
            partial: Cell::new(false),
            retired: Cell::new(false),
            made_room: Cell::new(false),
        });
        self.hosts.ways.borrow_mut().entry(server.clone()).or_default().lines.push(line.clone());
        self.feed(Input::Opened { server: server.clone(), how: Opened::Up });
        self.say_pending(&server, &line);
        self.together(|| {
            match call {
                Call::SetUp(one) => {
                    self.attempts.borrow_mut().push_back(Attempt { looks: 0, unread: false, ..one })
                }
                Call::Load { session } => self.write_probe(&server, &line, session),
                Call::Nothing => {}
            }
            let waiting =
                self.waiting(&server).into_iter().map(|one| Attempt { looks: 0, unread: false, ..one });
            self.attempts.borrow_mut().extend(waiting);
        });
        let whole = line.link.run(&self.buffer, |chunk| self.host_heard(&server, &line, chunk)).await;
        line.link.end(true);
        if let Some(ways) = self.hosts.ways.borrow_mut().get_mut(&server) {
            ways.lines.retain(|other| !Rc::ptr_eq(other, &line));
        }
        let (out, asked) = (line.out.take(), line.asked.take());
        let unheard = line.unheard.take().into_iter().collect();
        let made_room = line.made_room.get();
        drop(line);
        tracing::trace!(server = %server, whole, "a line has ended");
        self.feed(Input::HostClosed { server: server.clone(), whole, unheard, made_room });
        for (session, (attempt, _)) in out {
            self.feed(Input::Cut { server: server.clone(), session, attempt, begun: true });
        }
        for _ in asked {
            let (status, report) = (Status::Reset, Report::default());
            self.feed(Input::Probed { server: server.clone(), status, report });
        }
    }

    /// Takes what came on a line; `false` if it cannot be read. All that came is told before anything is said.
    fn host_heard(self: &Rc<Self>, server: &ServerId, line: &Rc<Line>, chunk: &[u8]) -> bool {
        let now = self.now();
        line.read.set(now);
        self.together(|| {
            if now - line.told.get() > 100_000 {
                line.told.set(now);
                self.feed(Input::Heard { server: server.clone() });
            }
            let before = self.later.borrow().len();
            let mut goes_on = self.host_read(server, line, chunk);
            let answers = |input: &Input| matches!(input, Input::Answer { .. });
            if goes_on && self.later.borrow().iter().skip(before).any(answers) {
                // Whether it still stands: its host may have said more by now.
                line.link.look(|chunk| {
                    goes_on = self.host_read(server, line, chunk);
                    goes_on
                });
            }
            if !goes_on {
                self.distrust_answers(before);
            }
            goes_on
        })
    }

    /// Takes answers that came right before what cannot be read for spoilt ones: a head that understates its length
    /// leaves the end of its description behind as noise.
    fn distrust_answers(&self, from: usize) {
        for input in self.later.borrow_mut().iter_mut().skip(from) {
            if let Input::Answer { server, session, attempt: Some(attempt), .. } = input {
                *input =
                    Input::Cut { server: server.clone(), session: *session, attempt: *attempt, begun: true };
            }
        }
    }

    fn host_read(self: &Rc<Self>, server: &ServerId, line: &Rc<Line>, chunk: &[u8]) -> bool {
        let mut decoder = line.decoder.borrow_mut();
        decoder.push(chunk);
        loop {
            match decoder.message() {
                Ok(Some(message)) => self.host_said(server, line, &message),
                Ok(None) => break,
                Err(why) => {
                    self.hosts.unreadable.set(self.hosts.unreadable.get() + 1);
                    tracing::debug!(server = %server, %why, "a host sent what cannot be read");
                    line.link.end(true);
                    return false;
                }
            }
        }
        line.partial.set(decoder.partial());
        true
    }

    fn host_said(self: &Rc<Self>, server: &ServerId, line: &Rc<Line>, message: &rtsp::Message) {
        let (session, server) = (message.session, server.clone());
        tracing::trace!(server = %server, ?message, "a host says");
        match &message.start {
            Start::Response { status: 100..=199 } => {}
            Start::Response { status } => match message.cseq {
                cseq::SET_UP => {
                    let attempt = line.take_out(session, None).map(|(attempt, _)| attempt);
                    match (set_up_status(*status), attempt) {
                        (Status::Ok, attempt) => {
                            let description = message.body.clone();
                            let over = None;
                            self.feed(Input::Answer { server, session, attempt, description, over });
                        }
                        (status, Some(attempt)) => {
                            let report = self.report(message);
                            self.feed(Input::Refused { server, session, attempt, status, report });
                        }
                        // Of an attempt that was withdrawn here, or of none.
                        (_, None) => {}
                    }
                }
                cseq::TEARDOWN if *status == 200 => {
                    line.unheard.borrow_mut().remove(&session);
                    self.feed(Input::ReleaseHeard { server, session });
                }
                cseq::OPTIONS if line.asked.borrow_mut().remove(&session) => {
                    let status = if *status == 200 { Status::Ok } else { Status::Failed };
                    self.feed(Input::Probed { server, status, report: self.report(message) });
                }
                _ => {}
            },
            Start::Request { method } => match method.as_str() {
                "TEARDOWN" => {
                    let attempt = line.take_out(session, None).map(|(attempt, _)| attempt);
                    line.link.send(&rtsp::response(200, message.cseq, session));
                    let (cause, report) = (message.cause().unwrap_or(0), self.report(message));
                    self.feed(Input::Released { server, session, attempt, cause, report });
                }
                "ANNOUNCE" => {
                    if let Some(note) = note(message) {
                        self.feed(Input::Noted { server, session, note });
                    }
                }
                "OPTIONS" => line.link.send(&rtsp::response(200, message.cseq, session)),
                _ => {}
            },
        }
    }

    /// A host's report, by the names that the settings give.
    fn report(&self, message: &rtsp::Message) -> Report {
        let mut report = Report::default();
        for (name, value) in message.state() {
            match name {
                "x0" | "util" | "utilization" => report.link = Some(value),
                "x1" => report.uplink = Some(value),
                "inflight" | "outstanding" => report.streams = Some(value),
                _ => {}
            }
        }
        report
    }
}

async fn connect(to: SocketAddr, within: Duration) -> Result<TcpStream, Opened> {
    let up = tokio::time::timeout(within, TcpStream::connect(to)).await;
    if let Ok(Err(why)) = &up {
        tracing::debug!(%to, %why, "a connection to a host does not come up");
    }
    match up {
        Ok(Ok(stream)) => Ok(stream),
        Ok(Err(why)) if out_of_room(&why) => Err(Opened::NoRoom),
        Ok(Err(_)) => Err(Opened::Refused),
        Err(_) => Err(Opened::Silent),
    }
}

/// Whether it is this machine that has no descriptor (ENFILE, EMFILE), address or memory left for a connection.
fn out_of_room(why: &io::Error) -> bool {
    let kind = matches!(why.kind(), io::ErrorKind::AddrNotAvailable | io::ErrorKind::OutOfMemory);
    kind || matches!(why.raw_os_error(), Some(23 | 24))
}

/// What an answer to a set-up means.
fn set_up_status(status: u16) -> Status {
    match status {
        200 => Status::Ok,
        453 => Status::Full,
        454 => Status::Ignored,
        504 => Status::Reset,
        _ => Status::Failed,
    }
}

fn note(message: &rtsp::Message) -> Option<Note> {
    let amount: f64 = message.header("P-Amount")?.trim().parse().ok().filter(|n: &f64| n.is_finite())?;
    Some(match message.header("X-Note")?.trim() {
        "d" => Note::Delivered(amount),
        "r" => Note::Rung(amount.max(0.0) as usize),
        "l" => Note::LinkAsked(amount),
        "u" => Note::UplinkAsked(amount),
        _ => return None,
    })
}
