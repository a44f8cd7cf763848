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
mod scheduling;
mod shutdown;
mod signals;
mod turns;
mod viewers;

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::Rc;

use elderpick_core::api::ListKind;
use elderpick_platform::boot::Boot;
use elderpick_sessions::follow::Take;
use elderpick_sessions::lifecycle::Input;
use tokio::net::TcpListener;
use tokio::task::spawn_local;

use crate::descriptors::Descriptors;
pub use crate::error::RunError;
use crate::error::{read, unusable};
use crate::node::Node;
use crate::signals::Signals;

/// Runs a gateway until SIGTERM or SIGINT. `ready` gets the address that it listens on.
pub fn run(path: &Path, ready: impl FnOnce(SocketAddr)) -> Result<(), RunError> {
    let boot = read(path)?;
    let level = std::env::var("ELDERPICK_LOG").unwrap_or_else(|_| "info".into());
    elderpick_gateway::log_as(&level, "text");
    elderpick_gateway::panics::end_process();
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
    shutdown::run(&node, &mut signals, || reload(&node, &path), accepting).await;
    node.log_state();
    tracing::info!("ended");
    Ok(())
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
