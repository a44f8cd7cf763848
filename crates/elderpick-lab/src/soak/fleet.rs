//! Seeded trials of a fleet: many gateways' processes that share machines, with a fault proxy on every connection to
//! them, restarts in series with hand-over, and machines that are replaced, succeeded, hung and cut off.
//!
//! [`plan`] draws a trial from its seed, `machine` is what the gateways share, `proxy` what lies between,
//! `gateway` one gateway's processes behind one another, `trial` plays it all. Each gateway has a record of its own,
//! which the judge of a single gateway's trials decides on.

mod gateway;
mod machine;
pub mod plan;
mod proxy;
mod trial;

pub use self::plan::FleetPlan;
pub use self::trial::{FleetOutcome, run};
