//! Seeded trials of one gateway's process under faults, judged from what its peers saw.
//!
//! A trial draws its settings and its faults from a seed ([`plan`]), plays them with random media hosts and viewers on
//! loopback ([`host`], [`viewers`]), and writes what they saw to one [`record`]. [`judge`] decides from that record
//! alone which rules of the platform's protocol were broken.

pub mod command;
pub mod fleet;
pub mod host;
pub mod judge;
mod load;
mod pieces;
pub mod plan;
mod process;
pub mod record;
mod reserved;
mod trial;
pub mod viewers;

pub use self::judge::{Break, Clause};
pub use self::plan::{Plan, Scenario};
pub use self::trial::{Outcome, TrialError, run};
