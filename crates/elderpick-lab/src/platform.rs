//! Stand-ins of the platform: scripted media hosts, its journal service, viewers, and a gateway's process among them.

mod gateway;
mod host;
mod journal;
mod viewers;

use std::time::Duration;

pub use self::gateway::{Gateway, config};
pub use self::host::{Describe, Does, Host, Seen, answer, answer_with_note, description};
pub use self::journal::{Journal, Listing, Speaks};
pub use self::viewers::{Viewers, set_up, set_up_of, set_up_offering, set_up_with};

/// What is waited for at most, before a test counts as failed.
pub const PATIENCE: Duration = Duration::from_secs(20);

fn fault(why: impl std::fmt::Display) -> String {
    why.to_string()
}
