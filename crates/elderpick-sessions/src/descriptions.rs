//! What descriptions of each host look like.
//!
//! The head of an answer tells its length, and may tell too little: the rest of the description follows as noise, maybe
//! later. A description whose outline is that of earlier whole ones of its host is taken to be whole, and where none is
//! known one that has a line for each of its offer. Any other is doubtful: [`crate::delivery`] decides whether it waits
//! for what follows it.

use std::collections::BTreeMap;
use std::sync::Arc;

use elderpick_core::api::{Micros, ServerId};
use elderpick_platform::description::Outline;

/// The rest of an answer comes within this time: a segment that was lost is sent again after 200 ms.
pub const REST_WITHIN: Micros = 250_000;
/// Outlines that are remembered for one host and class. Where whole descriptions have as many, an outline tells nothing,
/// and none is held.
const MOST_OUTLINES: usize = 8;
/// Hosts that agree on an outline, for it to be expected of those that have not shown one.
const HOSTS_AGREEING: usize = 3;

/// An outline, and some of the hosts that have shown it.
#[derive(Debug)]
struct Shared {
    outline: Outline,
    hosts: Vec<ServerId>,
}

/// Outlines of whole descriptions, by host and class. Hosts that the list has no more are to be dropped by
/// [`KnownOutlines::retain`].
#[derive(Default, Debug)]
pub struct KnownOutlines {
    by_host: BTreeMap<ServerId, BTreeMap<Arc<str>, Vec<Outline>>>,
    by_class: BTreeMap<Arc<str>, Vec<Shared>>,
}

impl KnownOutlines {
    /// Whether a description of this outline is taken to be whole. `answers_offer` tells that it has a line for each
    /// of its offer, which counts where nothing is known of the host's descriptions.
    pub fn is_known(
        &self,
        server: &ServerId,
        class: &str,
        outline: &Outline,
        answers_offer: impl FnOnce() -> bool,
    ) -> bool {
        if let Some(own) = self.by_host.get(server).and_then(|classes| classes.get(class)) {
            return own.len() >= MOST_OUTLINES || own.contains(outline);
        }
        let mut agreed = self.agreed(class).peekable();
        if agreed.peek().is_some() { agreed.any(|shared| shared == outline) } else { answers_offer() }
    }

    /// Outlines that enough hosts have shown for a class.
    fn agreed(&self, class: &str) -> impl Iterator<Item = &Outline> {
        let shared = self.by_class.get(class).into_iter().flatten();
        shared.filter(|shared| shared.hosts.len() >= HOSTS_AGREEING).map(|shared| &shared.outline)
    }

    /// A description was whole: nothing followed it that cannot be read.
    pub fn was_whole(&mut self, server: &ServerId, class: &Arc<str>, outline: Outline) {
        let own = self.by_host.entry(server.clone()).or_default().entry(class.clone()).or_default();
        if own.len() < MOST_OUTLINES && !own.contains(&outline) {
            own.push(outline.clone());
        }
        self.share(server, class, outline);
    }

    /// Notes that a host has shown an outline, for those that have not shown one.
    fn share(&mut self, server: &ServerId, class: &Arc<str>, outline: Outline) {
        let all = self.by_class.entry(class.clone()).or_default();
        let Some(known) = all.iter_mut().find(|shared| shared.outline == outline) else {
            if all.len() < MOST_OUTLINES {
                all.push(Shared { outline, hosts: vec![server.clone()] });
            }
            return;
        };
        if known.hosts.len() < HOSTS_AGREEING && !known.hosts.contains(server) {
            known.hosts.push(server.clone());
        }
    }

    /// A description that was taken to be whole was not.
    pub fn was_cut(&mut self, server: &ServerId, class: &str, outline: &Outline) {
        if let Some(own) = self.by_host.get_mut(server).and_then(|classes| classes.get_mut(class)) {
            // Outlines that told nothing are learned anew.
            let told_nothing = own.len() >= MOST_OUTLINES;
            own.retain(|known| !told_nothing && known != outline);
        }
        if let Some(shared) = self.by_class.get_mut(class) {
            shared.retain(|shared| shared.outline != *outline);
        }
    }

    /// Drops what is known of hosts for which `keeps` does not hold.
    pub fn retain(&mut self, keeps: impl Fn(&ServerId) -> bool) {
        self.by_host.retain(|server, _| keeps(server));
    }
}

#[cfg(test)]
#[path = "../tests/unit/descriptions.rs"]
mod tests;
