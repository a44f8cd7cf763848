//! HLS playlists, read and rewritten for one session. No I/O, no clock.
//!
//! By RFC 8216 and draft-pantos-hls-rfc8216bis. A [`Multivariant`] becomes a playlist with the one variant that is in
//! force; [`Media`] playlists of the rungs that a session has had become one ([`Timeline::shape`]). Lines that this
//! crate does not know are passed on as they were; URIs come out absolute, so that segments are fetched from the media
//! host and not through the gateway. Text is bounded by [`Limits`] before anything is built from it.

#![deny(missing_docs)]

mod line;
mod media;
mod multivariant;
mod timeline;

pub use line::{Fault, Limits, Variables};
pub use media::{Media, Segment};
pub use multivariant::{Multivariant, Part, Rendition, Variant};
pub use timeline::{Reveal, Shaped, Timeline};
