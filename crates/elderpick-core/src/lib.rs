//! elderpick's decision core: feed it events, carry out the actions it returns. No I/O, no clock of its own.

#![deny(missing_docs)]

pub mod api;
pub mod policy;

pub use policy::Controller;
