//! Follows the journal service.

use std::rc::Rc;
use std::time::Duration;

use elderpick_core::api::ListKind;
use elderpick_gateway::host::{Events, Said};
use elderpick_platform::journal;
use elderpick_sessions::follow::Take;
use elderpick_sessions::lifecycle::Input;
use tokio::task::JoinSet;

use crate::node::Node;
use crate::turns::Turn;

/// A stream that says nothing whole for so long has stopped: a comment comes each second.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(2_200);
/// A call that is not answered by then may be lost: another one is made beside it.
const NEXT_CALL_AFTER: Duration = Duration::from_millis(1_000);
/// A call is given up after this; a service that answers more slowly cannot be followed.
const CALL_TIMEOUT: Duration = Duration::from_millis(4_000);
/// Events that have come together and are taken before others have their turn.
const EVENTS_IN_ONE_TURN: usize = 32;

/// Follows the journal for good: again after each break, at the new address after a change.
pub(crate) async fn follow(node: Rc<Node>) {
    loop {
        tokio::select! {
            () = follow_once(&node) => {
                node.caught_up.set(false);
                node.feed(Input::ListFailed);
                let pause = node.follow.borrow_mut().broke();
                tracing::debug!(pause, "the journal broke off");
                tokio::select! {
                    () = tokio::time::sleep(Duration::from_micros(pause as u64)) => {}
                    () = node.moved.notified() => {}
                }
            }
            () = node.moved.notified() => {
                tracing::info!(journal = %node.journal.get(), "the journal is elsewhere now");
                node.caught_up.set(false);
            }
        }
    }
}

/// Opens a stream. A call that takes long is not given up for the next one: where the service is slow, its answer is on
/// its way. The first that is answered counts.
async fn open_stream(node: &Rc<Node>) -> Option<Events> {
    let mut calls = JoinSet::new();
    loop {
        let (to, name, place) = (node.journal.get(), node.name.clone(), node.follow.borrow().place());
        calls.spawn_local(async move {
            Events::open_behind(to, "/journal", &name, Some(place), CALL_TIMEOUT).await.ok()
        });
        let first_answered = tokio::time::timeout(NEXT_CALL_AFTER, first_opened(&mut calls)).await;
        if let Ok(opened) = first_answered {
            return opened;
        }
        tracing::debug!(calls = calls.len(), "the journal is slow");
    }
}

/// The first call that is answered well; `None` once all have failed.
async fn first_opened(calls: &mut JoinSet<Option<Events>>) -> Option<Events> {
    while let Some(ended) = calls.join_next().await {
        if let Ok(Some(events)) = ended {
            return Some(events);
        }
    }
    None
}

async fn follow_once(node: &Rc<Node>) {
    let Some(mut events) = open_stream(node).await else { return };
    let mut taken = 0_usize;
    while let Some(said) = events.said(SILENCE_TIMEOUT).await {
        let message = match said {
            Said::Event(message) => message,
            Said::Comment => {
                // Comments come once what was missed is told: a stream that opened and says nothing proves nothing.
                node.follow.borrow_mut().heard();
                if !node.caught_up.replace(true) {
                    node.feed(Input::CaughtUp);
                }
                continue;
            }
        };
        match journal::parse(&message.data) {
            Ok(event) => {
                if !node.in_turn(Turn::Journal, || node.journal_event(event)) {
                    return;
                }
                // What has come of the stream may hold very many events.
                taken += 1;
                if taken.is_multiple_of(EVENTS_IN_ONE_TURN) {
                    tokio::task::yield_now().await;
                }
            }
            Err(why) => {
                node.warn_seldom(&format!("the journal sent what cannot be read: {why}"));
                return;
            }
        }
    }
}

impl Node {
    /// Takes an event of the journal; `false` asks for the stream again.
    pub(crate) fn journal_event(self: &Rc<Self>, event: journal::Event) -> bool {
        let hosts = self.listed(&event);
        let read = hosts.len() == event.hosts.hosts.len();
        match self.follow.borrow_mut().take(event.pos, event.hosts.whole, read) {
            Take::Known => return true,
            Take::Gap => return false,
            Take::Apply => {}
        }
        self.follow.borrow_mut().heard();
        let kind = if event.hosts.whole { ListKind::Full } else { ListKind::Changes };
        tracing::debug!(number = event.pos, hosts = hosts.len(), ?kind, "the journal tells");
        self.feed(Input::List { kind, hosts });
        true
    }

    /// The hosts of an event; one that cannot be read is logged and left out.
    pub(crate) fn listed(&self, event: &journal::Event) -> Vec<journal::Listed> {
        let read = event.hosts.hosts.iter().filter_map(|host| match host.listed(&self.zones, &self.kinds) {
            Ok(listed) => Some(listed),
            Err(why) => {
                self.warn_seldom(&why.to_string());
                None
            }
        });
        read.collect()
    }
}
