//! A signal from a test to a stand-in.

use tokio::sync::watch;

/// Wakes every subscriber that subscribed before it was sent, also those that do not wait at that moment.
#[derive(Clone)]
pub struct Signal {
    sender: watch::Sender<()>,
}

impl Default for Signal {
    fn default() -> Signal {
        Signal { sender: watch::Sender::new(()) }
    }
}

impl Signal {
    /// Sends the signal.
    pub fn send(&self) {
        self.sender.send_replace(());
    }

    /// Subscribes to what is sent from now on.
    pub fn subscribe(&self) -> Subscription {
        Subscription { receiver: self.sender.subscribe() }
    }
}

/// A subscriber's view of a [`Signal`].
pub struct Subscription {
    receiver: watch::Receiver<()>,
}

impl Subscription {
    /// Completes once the signal has been sent since it last completed here; never after its sender is gone.
    pub async fn received(&mut self) {
        if self.receiver.changed().await.is_err() {
            std::future::pending::<()>().await;
        }
    }
}
