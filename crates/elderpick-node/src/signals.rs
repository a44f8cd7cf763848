//! The signals that a gateway follows.

use std::time::Duration;

use tokio::signal::unix::{Signal, SignalKind, signal};

use crate::RunError;

/// SIGTERM and SIGINT end a gateway, SIGHUP lets it read its configuration again.
pub(crate) struct Signals {
    terminate: Signal,
    interrupt: Signal,
    hang_up: Signal,
}

impl Signals {
    /// Handles them from now on.
    pub fn handle() -> Result<Signals, RunError> {
        let handler = |kind| signal(kind).map_err(RunError::Signals);
        Ok(Signals {
            terminate: handler(SignalKind::terminate())?,
            interrupt: handler(SignalKind::interrupt())?,
            hang_up: handler(SignalKind::hangup())?,
        })
    }

    /// Waits until the gateway is to end; each SIGHUP meanwhile is answered.
    pub async fn end(&mut self, mut on_hang_up: impl FnMut()) {
        loop {
            tokio::select! {
                _ = self.terminate.recv() => return,
                _ = self.interrupt.recv() => return,
                _ = self.hang_up.recv() => on_hang_up(),
            }
        }
    }

    /// Lets time pass; each SIGHUP meanwhile is answered.
    pub async fn pass(&mut self, time: Duration, mut on_hang_up: impl FnMut()) {
        let end = tokio::time::sleep(time);
        tokio::pin!(end);
        loop {
            tokio::select! {
                () = &mut end => return,
                _ = self.hang_up.recv() => on_hang_up(),
            }
        }
    }
}
