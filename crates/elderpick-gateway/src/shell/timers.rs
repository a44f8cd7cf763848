//! What is due happens at its time.

use std::rc::Rc;

use elderpick_core::api::Micros;

use super::{Shell, span};
use crate::engine::{Decide, Input};

/// A stall is when a timer is so late; then what arrived meanwhile is handled first.
const STALL: Micros = 20_000;

pub(super) async fn tick<D: Decide + 'static>(shell: Rc<Shell<D>>) {
    loop {
        let due = shell.next_timer();
        let Some(due) = due else {
            shell.timer.notified().await;
            continue;
        };
        let now = shell.now();
        if due > now {
            tokio::select! {
                () = tokio::time::sleep(span(due - now)) => {}
                () = shell.timer.notified() => {}
            }
            continue;
        }
        if now - due > STALL {
            tracing::warn!(late_ms = (now - due) / 1000, "the gateway stood still");
            for _ in 0..64 {
                tokio::task::yield_now().await;
            }
        }
        shell.with_registry(|registry, t| registry.advance(t));
        shell.feed(Input::Tick);
    }
}
