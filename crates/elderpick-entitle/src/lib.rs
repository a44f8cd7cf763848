//! Who may take a seat, and how seats are counted.
//!
//! Nothing here does I/O, reads a clock or draws a number: the time comes with each call, as [`Times`].
//!
//! - [`token`] reads and writes entitlement tokens: JWS in compact form (RFC 7515) with JWT claims (RFC 7519).
//! - [`keys`] holds the keys that sign and verify them, as a JWK set (RFC 7517).
//! - [`sheet`] says what licences there are, and which gateway counts which seats in which term.
//! - [`registry`] is one gateway's registry of seats: leases that are granted, renewed, ended, and free exactly once.
//! - [`log`] is the form in which leases outlive the gateway's process, [`keeper`] says what is written when.
//!
//! Seats are safe by construction: in each term of the sheet each seat has one gateway that counts it, and a lease
//! never outlasts the term in which its seat is that gateway's. Gateways need not speak to each other for that.

mod json;
pub mod keeper;
pub mod keys;
pub mod log;
pub mod registry;
pub mod sheet;
pub mod token;

/// Microseconds, of a span or since the clock's beginning.
pub type Micros = i64;

/// The time as two clocks tell it.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct Times {
    /// Never runs back and takes no steps: leases go by it. Its beginning means nothing.
    pub mono: Micros,
    /// Since 1970, as the machine believes: tokens and terms go by it. It may step either way.
    pub wall: Micros,
}

impl Times {
    /// When `wall` will be, on the monotonic clock.
    fn mono_at(&self, wall: Micros) -> Micros {
        self.mono.saturating_add(wall.saturating_sub(self.wall))
    }
}
