//! The end of a gateway's process, by the timetable of [`elderpick_sessions::shutdown`].

use std::rc::Rc;
use std::time::Duration;

use elderpick_core::api::Micros;
use elderpick_sessions::lifecycle::Input;
use tokio::task::JoinHandle;

use crate::node::Node;
use crate::scheduling::STALL;
use crate::signals::Signals;

/// How often it is looked whether anything is still open.
const POLL: Duration = Duration::from_millis(10);
/// How often a connection is tried to hosts that are out of reach and have to be told anything.
const RECONNECT_INTERVAL: Micros = 200_000;

/// Answers what is open, and returns when the process may end. Sessions go on at their hosts, to be handed over.
pub(crate) async fn run(
    node: &Rc<Node>,
    signals: &mut Signals,
    mut reload: impl FnMut(),
    accepting: JoinHandle<()>,
) {
    let began = node.now();
    let until = |time: Micros| Duration::from_micros((began + time - node.now()).max(0) as u64);
    let times = node.timetable;
    node.shutting_down.set(true);
    tracing::info!(
        open = node.lifecycle.borrow().open(),
        held = node.lifecycle.borrow().held(),
        ?times,
        "ending"
    );
    // The list goes on being followed, wherever the journal moves: what is open may still be placed.
    signals.pass(until(times.serves_for), &mut reload).await;
    if node.now() - began - times.serves_for > STALL {
        // What came in time may not be read yet.
        node.catch_up().await;
    }
    node.feed(Input::Drain);
    node.stop_accepting.notify_one();
    while !until(times.answers_by).is_zero()
        && (node.lifecycle.borrow().open() > 0 || !accepting.is_finished())
    {
        signals.pass(POLL.min(until(times.answers_by)), &mut reload).await;
    }
    answer_all(node);
    let mut connect_at = node.now();
    while !until(times.ends_by).is_zero() && !is_all_sent(node) {
        if node.now() >= connect_at {
            node.connect_for_pending();
            connect_at = node.now() + RECONNECT_INTERVAL;
        }
        signals.pass(POLL.min(until(times.ends_by)), &mut reload).await;
    }
}

/// Gives the last answers and closes all connections of viewers. What came by now is answered as well.
fn answer_all(node: &Rc<Node>) {
    node.poll_clients();
    node.pass_on_all_held_answers();
    node.closing.set(true);
    node.feed(Input::Finish);
    node.send_releases();
    node.close_all();
}

fn is_all_sent(node: &Rc<Node>) -> bool {
    node.clients.borrow().is_empty() && node.all_sent()
}
