//! A gateway on the platform's wire: the sockets around [`elderpick_sessions::lifecycle`].
//!
//! One thread. `viewers` takes viewers' connections, `hosts` keeps those to media hosts, `journal` follows the list,
//! `node` carries out what the session lifecycle says. It writes nothing to disk.

#![deny(missing_docs)]

mod buffered_stream;
mod descriptors;
mod error;
mod event_log;
mod hosts;
mod journal;
mod node;
mod signals;
mod viewers;

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;

use elderpick_core::api::ListKind;
use elderpick_platform::boot::Boot;
use elderpick_sessions::follow::Take;
use elderpick_sessions::lifecycle::Input;
use elderpick_sessions::shutdown::Shutdown;
use tokio::net::TcpListener;
use tokio::task::{JoinHandle, spawn_local};

use crate::descriptors::Descriptors;
pub use crate::error::RunError;
use crate::error::{read, unusable};
use crate::node::Node;
use crate::signals::Signals;

/// After SIGTERM viewers go on coming for a while; then no new connection is taken.
const ACCEPT_AFTER_SIGTERM: Duration = Duration::from_millis(900);
/// Then what is idle is closed, with such pauses, until nothing is left.
const SHUTDOWN_POLL: Duration = Duration::from_millis(150);
/// What was sent to hosts is written before the end: how often that is looked for, with such pauses. Messages that
/// found no connection are tried again meanwhile.
const MOST_FLUSH_POLLS: usize = 100;
const FLUSH_POLL: Duration = Duration::from_millis(20);
const POLLS_PER_RETRY: usize = 10;

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
    let mut signals = Signals::handle()?;
    let cannot_listen = |source| RunError::Listen { address: boot.listen, source };
    let listener = TcpListener::bind(boot.listen).await.map_err(cannot_listen)?;
    let address = listener.local_addr().map_err(cannot_listen)?;
    let descriptors = Descriptors::of(boot.limits.sockets);
    let node = Node::new(&boot, descriptors).map_err(|why| unusable(&path, why))?;
    begin(&node, &boot);
    let accepting = spawn_local(viewers::accept(listener, node.clone()));
    spawn_local(node.clone().run_timers());
    spawn_local(node.clone().run_chores());
    spawn_local(journal::follow(node.clone()));
    ready(address);
    let Descriptors { hosts, viewers, .. } = descriptors;
    tracing::info!(name = %node.name, %address, ?boot.limits, hosts, viewers, "serving");
    signals.end(|| reload(&node, &path)).await;
    shut_down(&node, &path, &mut signals, accepting).await;
    node.log_state();
    tracing::info!("ended");
    Ok(())
}

/// Answers what is open, and ends. Sessions go on at their hosts, to be handed over.
async fn shut_down(node: &Rc<Node>, path: &Path, signals: &mut Signals, accepting: JoinHandle<()>) {
    // Viewers go on coming until the front has heard.
    node.shutting_down.set(true);
    tracing::info!(open = node.lifecycle.borrow().open(), held = node.lifecycle.borrow().held(), "ending");
    // The list goes on being followed, wherever the journal moves: what is open may still be placed.
    signals.pass(ACCEPT_AFTER_SIGTERM, || reload(node, path)).await;
    node.stop_accepting.notify_one();
    let _ = accepting.await;
    let mut shutdown = Shutdown::default();
    loop {
        node.close_overdue(true);
        signals.pass(SHUTDOWN_POLL, || reload(node, path)).await;
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
        signals.pass(FLUSH_POLL, || {}).await;
    }
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
