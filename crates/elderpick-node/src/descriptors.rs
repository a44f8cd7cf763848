//! How a gateway's descriptors are shared out.

/// Descriptors that are neither viewers' nor hosts': those of the process, and some for connections that are on their
/// way out. A quarter of all is the most that is set aside.
const RESERVED_DESCRIPTORS: usize = 32;
/// Of these the process has the listener, the journal, three standard streams and the runtime's own.
const PROCESS_DESCRIPTORS: usize = 12;

/// What a gateway may use of its descriptors, and for what.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(crate) struct Descriptors {
    /// For connections to hosts.
    pub hosts: usize,
    /// For connections of viewers.
    pub viewers: usize,
    /// Beside these for connections to hosts that are being closed, and as many for viewers that are told that there
    /// is no room.
    pub spare: usize,
}

impl Descriptors {
    /// Shares out so many.
    pub fn of(all: usize) -> Descriptors {
        let hosts = all * 3 / 8;
        let reserved = RESERVED_DESCRIPTORS.min(all / 4);
        let spare = reserved.saturating_sub(PROCESS_DESCRIPTORS) / 2;
        Descriptors { hosts, viewers: all - hosts - reserved, spare }
    }
}

#[cfg(test)]
#[path = "../tests/unit/descriptors.rs"]
mod tests;
