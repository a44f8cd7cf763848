//! Unit tests of `descriptors.rs`.

use super::*;

#[test]
fn descriptors_are_shared_out_without_being_exceeded() {
    for all in 64..=4_096 {
        let Descriptors { hosts, viewers, spare } = Descriptors::of(all);
        assert!(hosts + viewers + 2 * spare + PROCESS_DESCRIPTORS <= all, "{all} descriptors");
        assert!(hosts >= all / 3 && viewers >= all / 3 && spare > 0, "{all} descriptors");
    }
}
