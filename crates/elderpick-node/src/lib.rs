//! A gateway on the platform's wire: the sockets around [`elderpick_sessions::lifecycle`].
//!
//! One thread. `viewers` takes viewers' connections, `hosts` keeps those to media hosts, `journal` follows the list,
//! `node` carries out what the session lifecycle says. It writes nothing to disk.

#![deny(missing_docs)]

mod buffered_stream;
mod hosts;
mod journal;
mod node;
mod viewers;

use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;

use elderpick_core::Controller;
use elderpick_core::api::{ListKind, Micros};
use elderpick_gateway::shell::{Clock, WallClock};
use elderpick_platform::boot::{self, Boot, BootError};
use elderpick_sessions::admission::Admission;
use elderpick_sessions::follow::{Follow, Take};
use elderpick_sessions::lifecycle::{self, Input, Lifecycle};
use elderpick_sessions::releases::Releases;
use elderpick_sessions::shutdown::Shutdown;
use thiserror::Error;
use tokio::net::TcpListener;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::task::spawn_local;

use crate::node::Node;

/// Descriptors that are neither viewers' nor hosts': those of the process, and some for connections that are on their
/// way out. A quarter of all is the most that is set aside.
const RESERVED_DESCRIPTORS: usize = 32;
/// Of these the process has the listener, the journal, three standard streams and the runtime's own.
const PROCESS_DESCRIPTORS: usize = 12;
/// A connection to a host that is not up by then is given up, where the settings tell no other time.
const DEFAULT_CONNECT_TIMEOUT: Micros = 250_000;
/// After SIGTERM viewers go on coming for a while; then no new connection is taken.
const ACCEPT_AFTER_SIGTERM: Duration = Duration::from_millis(900);
/// Then what is idle is closed, with such pauses, until nothing is left.
const SHUTDOWN_POLL: Duration = Duration::from_millis(150);
/// What was sent to hosts is written before the end: how often that is looked for, with such pauses. Messages that
/// found no connection are tried again meanwhile.
const MOST_FLUSH_POLLS: usize = 100;
const FLUSH_POLL: Duration = Duration::from_millis(20);
const POLLS_PER_RETRY: usize = 10;

/// Why a gateway does not run.
#[derive(Error, Debug)]
pub enum RunError {
    /// The configuration file cannot be read.
    #[error("{}: {source}", path.display())]
    File {
        /// The file.
        path: PathBuf,
        /// What the system says.
        source: io::Error,
    },
    /// The configuration cannot be used.
    #[error("{}: {source}", path.display())]
    Configuration {
        /// The file.
        path: PathBuf,
        /// The field that is wrong.
        source: Box<BootError>,
    },
    /// The system has no resources for the runtime.
    #[error("no runtime: {0}")]
    Runtime(io::Error),
    /// The system does not let signals be handled.
    #[error("no signals: {0}")]
    Signals(io::Error),
    /// The address cannot be listened on.
    #[error("listen: cannot listen on {address}: {source}")]
    Listen {
        /// The address of the configuration.
        address: SocketAddr,
        /// What the system says.
        source: io::Error,
    },
}

/// Reads a configuration file.
fn read(path: &Path) -> Result<Boot, RunError> {
    let text = std::fs::read(path).map_err(|source| RunError::File { path: path.to_owned(), source })?;
    Boot::parse(&text).map_err(|why| unusable(path, why))
}

fn unusable(path: &Path, why: impl Into<BootError>) -> RunError {
    RunError::Configuration { path: path.to_owned(), source: Box::new(why.into()) }
}

/// Runs a gateway until SIGTERM or SIGINT. `ready` gets the address that it listens on.
pub fn run(path: &Path, ready: impl FnOnce(SocketAddr)) -> Result<(), RunError> {
    let boot = read(path)?;
    let level = std::env::var("ELDERPICK_LOG").unwrap_or_else(|_| "info".into());
    elderpick_gateway::log_as(&level, "text");
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(RunError::Runtime)?;
    tokio::task::LocalSet::new().block_on(&runtime, serve(boot, path.to_owned(), ready))
}

async fn serve(boot: Boot, path: PathBuf, ready: impl FnOnce(SocketAddr)) -> Result<(), RunError> {
    // A signal may come before anything else is ready.
    let mut term = handler(SignalKind::terminate())?;
    let mut int = handler(SignalKind::interrupt())?;
    let mut hang_up = handler(SignalKind::hangup())?;
    let cannot_listen = |source| RunError::Listen { address: boot.listen, source };
    let listener = TcpListener::bind(boot.listen).await.map_err(cannot_listen)?;
    let address = listener.local_addr().map_err(cannot_listen)?;
    let seed = boot.seed().map_err(|why| unusable(&path, why))?;
    let info = &boot.settings;
    let core = Controller::new(seed, boot::settings(info).map_err(|why| unusable(&path, why))?);
    let classes = info.profiles.iter().map(|p| p.name.clone()).collect();
    let lifecycle = Lifecycle::new(core, classes, info.extra.cells);
    let for_hosts = boot.limits.sockets * 3 / 8;
    let reserve = RESERVED_DESCRIPTORS.min(boot.limits.sockets / 4);
    let for_viewers = boot.limits.sockets - for_hosts - reserve;
    // One half for lines to hosts that are being closed, the other for viewers that are told that there is no room.
    let spare = reserve.saturating_sub(PROCESS_DESCRIPTORS) / 2;
    let connect =
        Some(info.limits.connect_timeout_us).filter(|us| *us > 0).unwrap_or(DEFAULT_CONNECT_TIMEOUT);
    let connect = Duration::from_micros(connect as u64);
    let clock = WallClock::start();
    let (ran, behind) = (clock.now(), None);
    let node = Rc::new(Node {
        awake: Cell::new(node::Awake { ran, due: ran, behind }),
        lifecycle: RefCell::new(lifecycle),
        clock,
        name: boot.name.clone(),
        zones: info.zones.clone(),
        kinds: info.flavors.clone(),
        hosts: hosts::Hosts::new(
            hosts::Limits {
                connections: for_hosts,
                ending: spare,
                set_ups_on_one: info.limits.streams_per_conn,
                connect,
                idle: info.limits.conn_idle_us,
            },
            seed,
        ),
        clients: RefCell::default(),
        admission: RefCell::new(Admission::new(for_viewers)),
        most_refusing: spare.max(1),
        refusing: Cell::new(0),
        next_conn: Cell::new(0),
        buffer: RefCell::new(vec![0; buffered_stream::CHUNK]),
        releases: RefCell::new(Releases::new(lifecycle::MOST_SESSIONS)),
        follow: RefCell::new(Follow::new(0)),
        journal: Cell::new(boot.journal),
        moved: Default::default(),
        caught_up: Cell::new(false),
        shutting_down: Cell::new(false),
        stop_accepting: Default::default(),
        timer: Default::default(),
        inputs: RefCell::default(),
        attempts: RefCell::default(),
        feeding: Cell::new(false),
        unreadable: Cell::new(0),
        turned_away: Cell::new(0),
        undelivered: Cell::new(0),
        spared: Cell::new(0),
        warned: Cell::new(0),
    });
    begin(&node, &boot);
    let accepting = spawn_local(viewers::accept(listener, node.clone()));
    spawn_local(node.clone().run_timers());
    spawn_local(node.clone().run_chores());
    spawn_local(journal::follow(node.clone()));
    ready(address);
    tracing::info!(name = %node.name, %address, ?boot.limits, hosts = for_hosts, viewers = for_viewers, "serving");
    loop {
        tokio::select! {
            _ = term.recv() => break,
            _ = int.recv() => break,
            _ = hang_up.recv() => reload(&node, &path),
        }
    }
    // Viewers go on coming until the front has heard; what stands is left standing, to be handed over.
    node.shutting_down.set(true);
    tracing::info!(open = node.lifecycle.borrow().open(), held = node.lifecycle.borrow().held(), "ending");
    // The list goes on being followed, wherever the journal moves: what is open may still be placed.
    pass(ACCEPT_AFTER_SIGTERM, &mut hang_up, || reload(&node, &path)).await;
    node.stop_accepting.notify_one();
    let _ = accepting.await;
    let mut shutdown = Shutdown::default();
    loop {
        node.close_overdue(true);
        pass(SHUTDOWN_POLL, &mut hang_up, || reload(&node, &path)).await;
        let (open, connections) = (node.lifecycle.borrow().open(), node.clients.borrow().len());
        if shutdown.may_end(open, connections) {
            break;
        }
    }
    for round in 0..MOST_FLUSH_POLLS {
        if node.all_sent() {
            break;
        }
        if round % POLLS_PER_RETRY == 0 {
            node.connect_for_pending();
        }
        pass(FLUSH_POLL, &mut hang_up, || {}).await;
    }
    node.log_state();
    tracing::info!("ended");
    Ok(())
}

/// Lets time pass; a signal that comes meanwhile is answered.
async fn pass(time: Duration, signal: &mut Signal, mut on_signal: impl FnMut()) {
    let end = tokio::time::sleep(time);
    tokio::pin!(end);
    loop {
        tokio::select! {
            () = &mut end => return,
            _ = signal.recv() => on_signal(),
        }
    }
}

fn handler(kind: SignalKind) -> Result<Signal, RunError> {
    signal(kind).map_err(RunError::Signals)
}

/// The list as it was known at the start.
fn begin(node: &Rc<Node>, boot: &Boot) {
    for (k, event) in boot.known.entries.iter().enumerate() {
        if node.follow.borrow_mut().take(event.pos, event.hosts.whole || k == 0, true) != Take::Apply {
            // Said twice, or out of its place: the journal tells what is missing.
            continue;
        }
        let kind = if event.hosts.whole { ListKind::Restored } else { ListKind::Changes };
        let hosts = node.listed(event);
        node.feed(Input::List { kind, hosts });
    }
}

/// Reads the configuration again: the journal may be elsewhere. A file that is not good changes nothing.
fn reload(node: &Rc<Node>, path: &Path) {
    match read(path) {
        Ok(boot) => {
            for event in boot.known.entries {
                node.journal_event(event);
            }
            if node.journal.replace(boot.journal) != boot.journal {
                node.moved.notify_one();
            }
            tracing::info!(journal = %boot.journal, "configuration read again");
        }
        Err(why) => tracing::error!("the configuration stands as it was: {why}"),
    }
}
