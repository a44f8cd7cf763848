//! Hosts where sessions were set up are monitored, and lost ones are given up.

use std::collections::BTreeSet;

use elderpick_core::api::{Micros, Report, ServerId, ServerState, Status};
use elderpick_platform::viewer::cause;

use super::{HEALTH_POLL, Lifecycle, Output, Stage};
use crate::health::{HealthMonitor, Next};

impl Lifecycle {
    /// Tells the monitor of a host, if the list has the host.
    pub(super) fn monitor(&mut self, server: &ServerId, tell: impl FnOnce(&mut HealthMonitor)) {
        if let Some(server) = self.servers.get_mut(server) {
            tell(&mut server.health);
        }
    }

    /// Polls the monitors of hosts where sessions play.
    pub(super) fn poll_health(&mut self, now: Micros, out: &mut Vec<Output>) {
        if now - self.polled_at < HEALTH_POLL {
            return;
        }
        self.polled_at = now;
        let mut lost = Vec::new();
        let last_heard = |id: &ServerId| self.servers.get(id).map(|server| server.health.last_heard());
        let mut watched: Vec<_> = self.occupied.iter().cloned().collect();
        watched.sort_by_key(last_heard);
        for id in &watched {
            let Some(server) = self.servers.get_mut(id) else { continue };
            match server.health.next(now, server.listed.entry.state != ServerState::Gone) {
                Next::Nothing => {}
                Next::Test => out.push(Output::Test { server: id.clone() }),
                Next::Open => out.push(Output::Open { server: id.clone() }),
                Next::Lost => lost.push(id.clone()),
            }
        }
        for server in lost {
            self.lose_host(now, &server, None, out);
            if let Some(server) = self.servers.get_mut(&server) {
                server.health = HealthMonitor::new(now);
            }
        }
    }

    /// All that stands at a host is over: it died, or is out of reach for good. Where another process runs in its place
    /// since some time `before`, what was sent there later plays on.
    pub(super) fn lose_host(
        &mut self,
        now: Micros,
        server: &ServerId,
        before: Option<Micros>,
        out: &mut Vec<Output>,
    ) {
        let Some(at) = self.servers.get_mut(server) else { return };
        self.counts.hosts_lost += 1;
        let attempt_there = |session: &u64| {
            let held = self.sessions.get(session).filter(|held| !held.is_sent_after(before))?;
            match &held.stage {
                Stage::Out { attempt, .. } => Some((*session, *attempt)),
                _ => None,
            }
        };
        let out_there: Vec<_> = at.attempts.iter().filter_map(attempt_there).collect();
        let plays_on =
            |session: &u64| self.sessions.get(session).is_some_and(|held| held.is_sent_after(before));
        let (kept, standing): (BTreeSet<_>, BTreeSet<_>) =
            std::mem::take(&mut at.sessions).into_iter().partition(plays_on);
        at.sessions = kept;
        if at.sessions.is_empty() {
            self.occupied.remove(server);
        }
        out.push(Output::Forget { server: server.clone(), before });
        // If it was only out of reach, it has to hear what is over, also what waited for a connection that is dropped.
        self.resend_releases(now, server, |_| true, out);
        for (session, attempt) in out_there {
            self.end_attempt(server, session, attempt, Status::Reset, Report::default());
            self.send_release(now, server.clone(), session, cause::ENDED_BY_VIEWER, out);
        }
        for session in standing {
            let Some(held) = self.sessions.get(&session) else { continue };
            if let Stage::Active { .. } = held.stage {
                out.push(Output::SessionEnded { conn: held.conn, session, cause: cause::FAILED });
            }
            self.send_release(now, server.clone(), session, cause::ENDED_BY_VIEWER, out);
            self.end(now, session, Status::Reset, Report::default());
        }
        self.remove_if_gone(server);
    }
}
