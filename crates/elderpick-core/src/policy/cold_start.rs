//! Pacing of servers that have started of late.

use super::Controller;
use super::state::Server;
use crate::api::{ColdRule, Micros};

impl Controller {
    /// The latest time at which the server may have started, as far as this gateway has been told or has
    /// seen.
    fn last_start(&self, server: &Server) -> Option<Micros> {
        if server.lost {
            return Some(self.now);
        }
        let told = server.entry.started;
        let seen = if told > server.back { None } else { server.back };
        let unknown = if self.list_may_be_old { self.begun } else { None };
        told.max(seen).max(unknown)
    }

    pub(super) fn is_cold(&self, server: &Server) -> bool {
        let start = self.settings.cold.zip(self.last_start(server));
        start.is_some_and(|(cold, start)| self.now - start < cold.warm_up)
    }

    /// Whether a server may be given a set-up now: it is warm, or its turn leaves this gateway one.
    pub(super) fn cold_pace_allows(&self, server: &Server) -> bool {
        let Some(cold) = self.settings.cold.filter(|_| self.is_cold(server)) else { return true };
        let (turn, within) = self.cold_turn(server, cold);
        // A new process does not know what it gave in the turn in which it began.
        let began_before = self.begun.is_some_and(|begun| begun < self.now - within);
        let given = if server.given.0 == turn { server.given.1 } else { 0 };
        began_before && within < cold.window && given < self.cold_quota(server, cold, turn)
    }

    /// A cold server's time is cut into turns, of which only the first window is used: whatever window is
    /// looked at, the set-ups in it are of one turn, though some take longer on their way than others.
    pub(super) fn cold_turn(&self, server: &Server, cold: ColdRule) -> (Micros, Micros) {
        let length = (cold.window * 9 / 4).max(1);
        let phased = self.now + self.stable_hash(server) % 64 * (length / 64);
        (phased / length, phased % length)
    }

    /// How many set-ups this gateway may give a cold server in a turn. What the server bears in a window at
    /// its least warmth, less a quarter since set-ups weigh differently, is dealt to the gateways one by
    /// one; where there is less than one for each, other gateways have their part in the next turn. So
    /// all together stay under the pace though none knows what the others send, and each of many
    /// gateways has a part at some of many cold servers at any time, long enough for a session to come.
    fn cold_quota(&self, server: &Server, cold: ColdRule, turn: Micros) -> usize {
        let places = self.settings.places.get(server.entry.kind).copied().unwrap_or(0.0);
        let per_us = places / cold.warm_up.max(1) as f64 * cold.least_warmth * cold.multiple;
        let all = (per_us * cold.window as f64 * 0.75).floor().max(1.0) as usize;
        let gateways = self.settings.gateways.max(1);
        let offset = self.stable_hash(server) as usize;
        let first = (turn as usize).wrapping_mul(all).wrapping_add(offset) % gateways;
        let place = (self.settings.me + gateways - first) % gateways;
        all / gateways + usize::from(place < all % gateways)
    }

    /// A number that differs between servers and is the same for all gateways.
    fn stable_hash(&self, server: &Server) -> Micros {
        server.entry.server.0.bytes().fold(0, |mark, byte| (mark * 31 + Micros::from(byte)) % 1_000_003)
    }
}
