//! Which connections to hosts there are: chosen, opened, closed to make room, and closed when they are not needed.

use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use elderpick_core::api::{Report, ServerId, Status};
use elderpick_platform::MOST_MESSAGE;
use elderpick_sessions::health::Opened;
use elderpick_sessions::lifecycle::Input;
use tokio::net::TcpStream;
use tokio::task::spawn_local;

use super::{Attempt, Call, Line, SHARED, TURN};
use crate::link::Link;
use crate::node::Node;

impl Node {
    /// Whether another line to a host may be opened, though no other is closed for it.
    pub(super) fn may_open(&self, server: &ServerId) -> bool {
        self.may_have_more(server) && self.hosts.lines() < self.hosts.most
    }

    pub(super) fn may_have_more(&self, server: &ServerId) -> bool {
        let each = (self.hosts.most / (self.lifecycle.borrow().hosts() + 2).max(1)).clamp(2, 16);
        let ways = self.hosts.ways.borrow();
        let of_host = ways.get(server).map_or(0, |w| w.lines.len() + w.opening);
        of_host < each
    }

    /// Ends the idle line that is missed least: one of several to its host, else one to a host where nothing stands, else
    /// one whose host had its turn; of those the one that was used longest ago.
    pub(super) fn make_room(&self) -> bool {
        let (lifecycle, ways, now) = (self.lifecycle.borrow(), self.hosts.ways.borrow(), self.now());
        let idle = ways.iter().flat_map(|(server, ways)| {
            let only = ways.lines.iter().filter(|line| line.free()).count() < 2;
            let stands = lifecycle.has_sessions_at(server);
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
    pub(super) fn line(&self, server: &ServerId) -> Option<Rc<Line>> {
        let ways = self.hosts.ways.borrow();
        let fresh = |line: &&Rc<Line>| line.free() && self.now() - line.read.get() < self.hosts.stale;
        let lines = ways.get(server)?.lines.iter().filter(fresh);
        let mut lines: Vec<_> = lines.collect();
        lines.sort_by_key(|line| (line.out.borrow().len(), line.asked.borrow().len()));
        lines.into_iter().find(|line| !line.link.ended()).cloned()
    }

    /// Whether a line may be opened, another closed for it if need be. Lines that are being closed hold their descriptors
    /// for a moment longer, for which some are set aside.
    pub(super) fn finds_room(&self) -> bool {
        let beside = self.hosts.lines() < self.hosts.most + self.hosts.ending;
        beside && (self.hosts.in_use() < self.hosts.most || self.make_room())
    }

    pub(super) fn open(self: &Rc<Self>, server: ServerId, call: Call) {
        let Some(to) = self.lifecycle.borrow().address(&server) else {
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
            let same = node.lifecycle.borrow().address(&server) == Some(to);
            match up {
                Ok(stream) if same => node.up(server, stream, call).await,
                Ok(_) => node.never_up(server, call, Opened::Refused),
                Err(how) => node.never_up(server, call, how),
            }
        });
    }

    pub(super) fn open_later(self: &Rc<Self>, server: ServerId) {
        let node = self.clone();
        spawn_local(async move { node.open(server, Call::Nothing) });
    }

    pub(super) fn never_up(self: &Rc<Self>, server: ServerId, call: Call, how: Opened) {
        self.feed(Input::Opened { server: server.clone(), how });
        let ended = |one: Attempt| match how {
            // It was never sent, and nothing is held against the host.
            Opened::NoRoom => one.not_sent(),
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
    pub(super) async fn up(self: Rc<Self>, server: ServerId, stream: TcpStream, call: Call) {
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
        self.feed(Input::HostDisconnected { server: server.clone(), whole, unheard, made_room });
        for (session, (attempt, _)) in out {
            self.feed(Input::ConnectionLost { server: server.clone(), session, attempt, begun: true });
        }
        for _ in asked {
            let (status, report) = (Status::Reset, Report::default());
            self.feed(Input::Probed { server: server.clone(), status, report });
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

    /// Closes what is not needed: lines to hosts that are gone, and more than one that is idle.
    pub(crate) fn host_tidy(&self) {
        let (lifecycle, now) = (self.lifecycle.borrow(), self.now());
        let mut all = self.hosts.ways.borrow_mut();
        all.retain(|server, ways| {
            let (known, stands) = (lifecycle.address(server).is_some(), lifecycle.has_sessions_at(server));
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
