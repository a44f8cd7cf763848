//! When a gateway that was told to end may end.
//!
//! A request that was taken is answered, however long its viewer waits: its deadline bounds that. Connections without a
//! request are waited for only so often, since a client that never closes its own must not keep the process.

/// How often connections are waited for on which nothing is open any more.
const MOST_ROUNDS: u32 = 600;

/// The end of a gateway, looked at in rounds once no further connection is taken.
#[derive(Debug, Default)]
pub struct Shutdown {
    rounds: u32,
}

impl Shutdown {
    /// Whether it may end now: `open` requests have no final answer yet, and so many connections of viewers are left.
    pub fn may_end(&mut self, open: usize, connections: usize) -> bool {
        if open > 0 {
            return false;
        }
        self.rounds += 1;
        connections == 0 || self.rounds >= MOST_ROUNDS
    }
}

#[cfg(test)]
#[path = "../tests/unit/shutdown.rs"]
mod tests;
