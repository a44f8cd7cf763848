//! The lab: stand-ins for media hosts, the list service and viewers; drills with faults; a checker of the rules.
//! Everything runs on loopback, on ports that the system chooses, in one process but for the gateways.

pub mod check;
pub mod entitle_bench;
pub mod fleet;
pub mod fuzz;
pub mod hosts;
pub mod issuer;
pub mod ledger_bench;
pub mod link;
pub mod measure;
pub mod mutants;
pub mod platform;
pub mod receiver;
pub mod record;
pub mod script;
pub mod seats;
pub mod signal;
pub mod soak;
pub mod srt;
pub mod srt_bench;
pub mod viewers;
