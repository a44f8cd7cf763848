//! SRT (draft-sharabayko-srt-01) in live mode, without sockets, clock or hidden chance.
//!
//! Times are microseconds of any steady clock and enter with every call. A packet is what one UDP datagram carries.
//!
//! - [`packet`] reads and writes packets, section 3 of the draft.
//! - [`stream_id`] is the access-control syntax of stream ids, its appendix B.
//! - [`listen`] is a listener that keeps no state for callers that have not proven their address.
//! - [`call`] is a caller's handshake.
//! - [`live`] is a session after it: order, recovery, delivery in time, its end.
//! - [`keys`] are key material and encryption, section 6.
//!
//! Left out: file mode and its congestion control, rendezvous, groups, packet filters, messages of more than one packet.

pub mod call;
pub mod keys;
pub mod listen;
pub mod live;
pub mod packet;
pub mod seq;
pub mod stream_id;

/// Microseconds.
pub type Micros = i64;
