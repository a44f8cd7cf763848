//! The platform's wire formats, read and written without any I/O.
//!
//! [`viewer`] has the binary messages of viewers, [`rtsp`] the messages of media hosts, [`journal`] the events of the
//! journal service, [`boot`] what a gateway is told at its start. The decoders take bytes as they come, check each
//! length before they keep a byte for it, and hold no more than one message.

#![deny(missing_docs)]

pub mod boot;
pub mod description;
pub mod journal;
pub mod rtsp;
pub mod viewer;

/// Most bytes of a message, of either kind, all that precedes its body included.
pub const MOST_MESSAGE: usize = 16 << 10;

/// What stands in a message cannot be read; the text says why, for the log.
#[derive(thiserror::Error, Clone, Copy, PartialEq, Eq, Debug)]
#[error("{0}")]
pub struct DecodeError(pub &'static str);

/// A session's name on the platform's wires: 16 hexadecimal digits.
pub fn session_id(text: &str) -> Option<u64> {
    let digits = text.len() == 16 && text.bytes().all(|b| b.is_ascii_hexdigit());
    digits.then(|| u64::from_str_radix(text, 16).ok()).flatten()
}
