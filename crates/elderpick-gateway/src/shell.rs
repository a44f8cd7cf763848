//! The runtime of a gateway: one thread, its clock, its tasks.

mod clock;
mod listening;
mod outputs;
mod timers;

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use elderpick_core::api::{Micros, RequestId, ServerId};
use elderpick_entitle::Times;
use rand::Rng;
use tokio::sync::{Notify, oneshot};
use tokio::task::{AbortHandle, spawn_local};

pub(crate) use self::clock::span;
pub use self::clock::{Clock, WallClock};
pub(crate) use self::listening::fetch;
use self::timers::tick;
use crate::door::Door;
use crate::engine::{Answer, Ask, Decide, Engine, Input, Said, Token};
use crate::entitle::{self, Seats};
use crate::host::Pool;
use crate::ledger::Uses;
use crate::{control, front, srt};

/// All that the tasks of a gateway share.
pub(crate) struct Shell<D> {
    engine: RefCell<Engine<D>>,
    clock: Box<dyn Clock>,
    pub pool: Pool,
    waiting: RefCell<HashMap<Ask, oneshot::Sender<Answer>>>,
    attempts: RefCell<BTreeMap<(RequestId, usize), AbortHandle>>,
    following: RefCell<BTreeMap<ServerId, AbortHandle>>,
    list: RefCell<Option<AbortHandle>>,
    timer: Notify,
    /// News of which process a host is.
    heard: Notify,
    next_ask: Cell<Ask>,
    pub door: RefCell<Door>,
    pub seats: entitle::Cell,
    pub uses: RefCell<Option<Uses>>,
    /// Where viewers are listened for.
    pub listening: Cell<Option<SocketAddr>>,
    pub srt: Cell<Option<SocketAddr>>,
}

impl<D: Decide + 'static> Shell<D> {
    pub fn now(&self) -> Micros {
        self.clock.now()
    }

    pub fn times(&self) -> Times {
        Times { mono: self.clock.now(), wall: self.clock.wall() }
    }

    /// Tells the ledger from time to time how far what plays has come.
    fn mark_uses(self: &Rc<Self>) {
        let Some(every) = self.uses.borrow().as_ref().map(|u| span(u.settings.mark)) else { return };
        let shell = self.clone();
        spawn_local(async move {
            loop {
                tokio::time::sleep(every).await;
                if let Some(uses) = shell.uses.borrow().as_ref() {
                    uses.mark(shell.times());
                }
            }
        });
    }

    /// What is due next may have changed.
    pub fn wake(&self) {
        self.timer.notify_one();
    }

    fn next_timer(&self) -> Option<Micros> {
        let seats = self.seats.borrow().as_ref().and_then(Seats::next_end);
        self.engine.borrow().next_timer().into_iter().chain(seats).min()
    }

    pub fn with_engine<T>(&self, f: impl FnOnce(&mut Engine<D>) -> T) -> T {
        f(&mut self.engine.borrow_mut())
    }

    /// Feeds the engine and carries out what it says.
    pub fn feed(self: &Rc<Self>, input: Input) {
        let (mut out, now) = (Vec::new(), self.now());
        let before = self.engine.borrow().next_timer();
        let news =
            matches!(input, Input::Said { said: Said::Began(_) | Said::Lost, .. } | Input::List { .. });
        self.engine.borrow_mut().handle(now, input, &mut out);
        for output in out {
            self.carry_out(output);
        }
        if news {
            self.heard.notify_waiters();
        }
        if self.engine.borrow().next_timer() != before {
            self.timer.notify_one();
        }
    }

    /// A new request: what its final answer comes by.
    pub fn ask(self: &Rc<Self>, wanted: crate::engine::Wanted) -> (Ask, oneshot::Receiver<Answer>) {
        let ask = self.next_ask.replace(self.next_ask.get() + 1);
        let (sender, receiver) = oneshot::channel();
        self.waiting.borrow_mut().insert(ask, sender);
        let mut names = rand::rng();
        let (token, alias) = (Token(names.random()), Token(names.random()));
        self.feed(Input::Ask { ask, wanted, token, alias });
        (ask, receiver)
    }

    /// The viewer of a request is gone.
    pub fn dropped(self: &Rc<Self>, ask: Ask) {
        if self.waiting.borrow_mut().remove(&ask).is_some() {
            self.feed(Input::AskDropped { ask });
        }
    }
}

/// Runs a gateway on this thread's local set until it is told to end. `ready` gets the address that it listens on.
pub async fn serve<D: Decide + 'static>(
    engine: Engine<D>,
    clock: impl Clock + 'static,
    ready: impl FnOnce(SocketAddr),
) -> Result<(), String> {
    use tokio::signal::unix::{SignalKind, signal};
    let config = engine.config.clone();
    let listener = tokio::net::TcpListener::bind(config.listen).await;
    let listener = listener.map_err(|why| format!("cannot listen on {}: {why}", config.listen))?;
    let address = listener.local_addr().map_err(|why| format!("{}: {why}", config.listen))?;
    let pool = Pool::new(config.limits.idle_per_host, span(config.limits.connect), config.limits.playlist);
    let shell = Rc::new(Shell {
        engine: RefCell::new(engine),
        clock: Box::new(clock),
        pool,
        waiting: RefCell::default(),
        attempts: RefCell::default(),
        following: RefCell::default(),
        list: RefCell::default(),
        timer: Notify::new(),
        heard: Notify::new(),
        next_ask: Cell::new(0),
        door: RefCell::new(Door::new(config.limits.connections, config.limits.per_address)),
        seats: RefCell::default(),
        uses: RefCell::new(Uses::open(&config)?),
        listening: Cell::new(Some(address)),
        srt: Cell::new(None),
    });
    *shell.seats.borrow_mut() = Seats::open(&config, shell.times())?;
    shell.watch_files();
    shell.mark_uses();
    if let Some(path) = &config.control {
        control::listen(path, shell.clone())?;
    }
    shell.feed(Input::Tick);
    spawn_local(tick(shell.clone()));
    // Without the list all servers pass for cold: who connects meanwhile waits in the listener's queue.
    let until = tokio::time::Instant::now() + span(config.list.wait);
    let told = || shell.with_engine(|e| e.members.heard() && e.hears_all());
    while !told() && tokio::time::Instant::now() < until {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    let accepting = spawn_local(front::accept(listener, shell.clone()));
    let passing = match config.srt.clone() {
        Some(settings) => Some(srt::listen(settings, shell.clone()).await?),
        None => None,
    };
    tracing::info!(%address, gateway = config.name, me = config.me, "listening");
    ready(address);
    let signals = |why: std::io::Error| format!("no signals: {why}");
    let mut term = signal(SignalKind::terminate()).map_err(signals)?;
    let mut int = signal(SignalKind::interrupt()).map_err(signals)?;
    tokio::select! {
        _ = term.recv() => {}
        _ = int.recv() => {}
    }
    let playing = shell.engine.borrow().sessions();
    tracing::info!(playing, "draining: no new session");
    shell.feed(Input::Drain);
    let until = tokio::time::Instant::now() + span(config.drain);
    while shell.engine.borrow().sessions() > 0 && tokio::time::Instant::now() < until {
        tokio::select! {
            () = tokio::time::sleep(Duration::from_millis(50)) => {}
            // A second signal is meant.
            _ = term.recv() => break,
            _ = int.recv() => break,
        }
    }
    shell.feed(Input::End);
    accepting.abort();
    if let Some(passing) = passing {
        passing.abort();
    }
    let released = tokio::time::Instant::now() + Duration::from_secs(1);
    while shell.engine.borrow().sessions() > 0 && tokio::time::Instant::now() < released {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    // What was used is written down before the end.
    drop(shell.uses.borrow_mut().take());
    let counts = shell.engine.borrow().counts;
    tracing::info!(?counts, "ended");
    Ok(())
}
