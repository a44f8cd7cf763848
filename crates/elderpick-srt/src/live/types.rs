//! Settings, state and counts of a connection.

use crate::Micros;
use crate::keys::{Keys, Passphrase};
use crate::seq::Seq;

/// What two sides agreed on.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The other side's socket.
    pub to: u32,
    /// Numbers of the first packets, own and the other side's.
    pub own: Seq,
    pub peer: Seq,
    /// The timestamp of the other side's last handshake packet, and when it came.
    pub peer_stamp: u32,
    /// Delay of what comes, and of what goes.
    pub latency_in: Micros,
    pub latency_out: Micros,
    /// Packets that are kept at most, each way.
    pub window: u32,
    /// The session ends when nothing is heard for so long.
    pub idle: Micros,
    pub keys: Option<(Keys, Passphrase)>,
    /// A new key is wanted after so many packets sent; 0 for never.
    pub renew_after: u64,
}

/// How a session stands.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum State {
    Open,
    /// No more is taken to be sent; what was is still on its way.
    Finishing,
    /// Over: closed here, by the other side, or since nothing was heard.
    Closed,
    ClosedByPeer,
    Silent,
}

/// Counts of a session.
#[derive(Clone, Copy, PartialEq, Eq, Default, Debug)]
pub struct Counts {
    pub sent: u64,
    pub again: u64,
    pub received: u64,
    pub doubles: u64,
    /// Given out, and passed over since they did not come in time.
    pub delivered: u64,
    pub passed_over: u64,
    /// Given up by the sender, or not taken since the window was full.
    pub too_late: u64,
    pub refused: u64,
    /// Malformed, or not for this session.
    pub odd: u64,
    pub undecrypted: u64,
    pub keys: u64,
}
