//! Who used what, for billing.
//!
//! Nothing here does I/O or reads a clock. All amounts are integers: time in microseconds, data in bytes.
//!
//! - [`calendar`] cuts time into periods by a time zone of the IANA database.
//! - [`accounts`] folds records into what a gateway knows: sessions that are open, entries, totals, what is closed and what
//!   was exported. It is the same after a restart, since it is nothing but the records folded again.
//! - [`chain`] is the form of the records on disk: lines chained by hash.
//! - [`segments`] says what is written when, on a disk that may fail at any time.
//! - [`export`] writes what is handed over, the same bytes each time, and reads it again.
//! - [`deliver`] says how an export is handed over to a receiver that answers, late or not at all.
//! - [`reconcile`] works out the use of all gateways from their exports alone.

pub mod accounts;
pub mod calendar;
pub mod chain;
pub mod deliver;
pub mod export;
pub mod reconcile;
pub mod segments;

/// Microseconds, of a span or since 1970.
pub type Micros = i64;
