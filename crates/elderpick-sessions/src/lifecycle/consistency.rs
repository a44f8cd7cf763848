//! A check at run time: what is kept beside the sessions, so that a look-up costs what it names, must tell the same as
//! the sessions themselves.

use std::collections::{BTreeMap, BTreeSet};

use elderpick_core::api::ServerId;

use super::{Conn, Lifecycle, Stage};

/// What the sessions themselves tell.
#[derive(Default)]
struct Told<'a> {
    sessions: BTreeMap<&'a ServerId, BTreeSet<u64>>,
    attempts: BTreeMap<&'a ServerId, BTreeSet<u64>>,
    active_on: BTreeMap<Conn, usize>,
    open: usize,
}

impl Lifecycle {
    /// How many entries of the tables beside the sessions do not fit them: zero, unless this crate is at fault. It costs
    /// a pass over all sessions and hosts.
    pub fn inconsistencies(&self) -> usize {
        let told = self.told_by_sessions();
        let none = BTreeSet::new();
        let mut wrong = 0;
        for (id, server) in &self.servers {
            let sessions = told.sessions.get(id).unwrap_or(&none);
            let attempts = told.attempts.get(id).unwrap_or(&none);
            wrong += sessions.symmetric_difference(&server.sessions).count();
            wrong += attempts.symmetric_difference(&server.attempts).count();
            wrong += usize::from(self.occupied.contains(id) == server.sessions.is_empty());
            let at_address = self.by_address.get(&server.listed.address);
            wrong += usize::from(!at_address.is_some_and(|there| there.contains(id)));
        }
        let addressed: usize = self.by_address.values().map(BTreeSet::len).sum();
        wrong += addressed.abs_diff(self.servers.len());
        wrong += self.occupied.iter().filter(|id| !self.servers.contains_key(*id)).count();
        let listed = self.servers.keys().filter(|id| self.is_listed(id)).count();
        wrong += listed.abs_diff(self.listed_count);
        wrong += told.open.abs_diff(self.open_count);
        wrong + usize::from(told.active_on != self.active_on)
    }

    fn told_by_sessions(&self) -> Told<'_> {
        let mut told = Told::default();
        for (session, held) in &self.sessions {
            match &held.stage {
                Stage::Waiting => told.open += 1,
                Stage::Out { server, .. } => {
                    told.open += 1;
                    told.attempts.entry(server).or_default().insert(*session);
                }
                Stage::Active { server } | Stage::Ending { server } => {
                    told.sessions.entry(server).or_default().insert(*session);
                    if let Some(conn) = held.conn {
                        *told.active_on.entry(conn).or_default() += 1;
                    }
                }
            }
        }
        told
    }
}
