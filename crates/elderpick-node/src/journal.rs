//! Follows the journal service.

use std::rc::Rc;
use std::time::Duration;

use elderpick_core::api::ListKind;
use elderpick_gateway::host::{Events, Said};
use elderpick_platform::journal;
use elderpick_sessions::follow::Take;
use elderpick_sessions::lifecycle::Input;

use crate::node::Node;

/// A stream that says nothing whole for so long has stopped: a comment comes each second.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(2_200);
const OPEN_TIMEOUT: Duration = Duration::from_millis(1_000);

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

async fn follow_once(node: &Rc<Node>) {
    let (to, place) = (node.journal.get(), node.follow.borrow().place());
    let Ok(mut events) = Events::open_behind(to, "/journal", &node.name, Some(place), OPEN_TIMEOUT).await
    else {
        return;
    };
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
                if !node.journal_event(event) {
                    return;
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
