//! The right to a seat, for a time.

use crate::Micros;

#[derive(Clone, PartialEq, Eq, Hash, Debug)]
pub(super) struct Lease {
    pub(super) licence: String,
    pub(super) holder: String,
    pub(super) token: String,
    pub(super) device: u64,
    pub(super) part: u32,
    /// The token's part in the right, and the right's end by token and terms.
    pub(super) by_token: Micros,
    pub(super) right: Micros,
    /// When it is next looked at: at the right's end, or before if nothing plays.
    pub(super) until: Micros,
    /// Requests that are on their way with it.
    pub(super) pending: u32,
    pub(super) playing: bool,
    /// It has lapsed and its session is being ended.
    pub(super) ending: bool,
    /// Back from the log: no session and no device of it is known.
    pub(super) found: bool,
    /// It is not free before this: a session that a killed gateway let play may go on.
    pub(super) held: Micros,
}

impl Lease {
    /// Another token for it: an older one does not shorten what a newer one gave.
    pub(super) fn renew(&mut self, by_token: Micros, right: Micros, token: &str) {
        self.by_token = self.by_token.max(by_token);
        self.right = self.right.max(right);
        self.until = self.right;
        self.token = token.to_owned();
    }
}
