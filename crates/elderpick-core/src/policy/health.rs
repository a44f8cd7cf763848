//! Health of servers: back-off, trial sessions and reachability probes.

use super::state::{LoadReport, Server, Session, Use};
use super::{Controller, SHORT, SHORT_LASTS};
use crate::api::{Action, Effect, Micros, ServerId, ServerState, Status};

/// First back-off from a server that failed; it doubles with each further failure.
const BACK_OFF: Micros = 4_000_000;
const BACK_OFF_DOUBLINGS: u32 = 3;
/// Back-off from a server that cannot be reached, which the list will name soon. Where a session would use
/// it, it does not double.
const UNREACHABLE_BACK_OFF: Micros = 1_000_000;

fn back_off(first: Micros, failures: u32) -> Micros {
    first << failures.min(BACK_OFF_DOUBLINGS)
}

impl Controller {
    pub(super) fn record_success(&mut self, id: &ServerId) {
        self.record_reachable(id);
        self.failing_servers.remove(id);
        if let Some(server) = self.servers.get_mut(id) {
            server.failures = 0;
            server.avoid_until = 0;
            server.retry_at = 0;
        }
    }

    /// It runs and can be reached, which does not show that set-ups work.
    pub(super) fn record_reachable(&mut self, id: &ServerId) {
        let Some(server) = self.servers.get_mut(id) else { return };
        if server.unresponsive {
            // What kept sessions away is over; one of them shows whether set-ups work.
            server.avoid_until = self.now;
            server.answered_at = self.now;
        }
        server.unresponsive = false;
        server.back = if server.lost { Some(self.now) } else { server.back };
        server.lost = false;
        self.note_cold(id);
    }

    pub(super) fn record_status(&mut self, id: &ServerId, status: Status) {
        let now = self.now;
        let Some(server) = self.servers.get_mut(id) else { return };
        let first = match status {
            Status::Ok => return self.record_success(id),
            // It says nothing of other servers, so it does not count as a report.
            Status::Full => return self.set_last_report(id, LoadReport { at: now, asked: 1.0, own: 0.0 }),
            Status::Cancelled | Status::Ignored => return,
            Status::Failed => BACK_OFF,
            Status::TimedOut | Status::ConnectError | Status::Reset => UNREACHABLE_BACK_OFF,
        };
        server.unresponsive |= status != Status::Failed;
        if matches!(status, Status::ConnectError | Status::Reset) {
            server.lost = true;
        }
        // What ends at one time is one piece of evidence.
        if server.retry_at <= now {
            server.retry_at = now + first;
        }
        if server.avoid_until <= now {
            server.avoid_until = now + back_off(first, server.failures);
            server.failures += 1;
        }
        self.failing_servers.insert(id.clone());
        self.note_cold(id);
    }

    /// Probes servers that did not answer, each when its back-off ends, at the pace of the budget. Guards
    /// against dead servers, cut networks and hung processes: a probe finds out what otherwise costs a
    /// session its wanted time.
    pub(super) fn probe_unresponsive(&mut self) {
        if !self.settings.may_probe {
            return;
        }
        let unresponsive = |id: &&ServerId| self.is_unresponsive(&self.servers[*id]);
        let all: Vec<_> = self.failing_servers.iter().filter(unresponsive).cloned().collect();
        let is_due = |id: &ServerId| self.servers[id].avoid_until <= self.now;
        let mut due: Vec<_> = all.iter().filter(|id| is_due(id)).cloned().collect();
        while !due.is_empty() && self.may_probe_reach(all.len()) {
            let id = due.swap_remove(self.below(due.len()));
            self.probe_reach(id);
        }
    }

    /// Probes the first of the servers that were drawn for a session and would be used if they answered.
    pub(super) fn probe_wanted(&mut self, drawn: &[ServerId]) {
        let is_due = |id: &&ServerId| {
            let server = &self.servers[*id];
            self.is_unresponsive(server) && server.retry_at <= self.now
        };
        let Some(wanted) = drawn.iter().find(is_due).cloned() else { return };
        if self.settings.may_probe && self.may_probe_wanted() {
            self.probe_reach(wanted);
        }
    }

    fn is_unresponsive(&self, server: &Server) -> bool {
        server.unresponsive && server.entry.state == ServerState::Up
    }

    fn probe_reach(&mut self, id: ServerId) {
        if let Some(server) = self.servers.get_mut(&id) {
            server.retry_at = self.now + UNREACHABLE_BACK_OFF;
            server.avoid_until = self.now + back_off(UNREACHABLE_BACK_OFF, server.failures);
        }
        self.out.push(Action::Probe { server: id });
    }

    pub(super) fn is_short(&self, server: &Server) -> bool {
        server.share.is_some_and(|(share, at)| share < SHORT && self.now - at < SHORT_LASTS)
    }

    /// Whether a server may be given a session. One in doubtful health gets one at a time, behind its
    /// back-off.
    pub(super) fn healthy(&self, session: &Session, server: &Server, using: Use) -> bool {
        let Use { shared, untested } = using;
        let unreached = server.unresponsive && self.settings.may_probe && !untested;
        if unreached || self.is_short(server) || !self.cold_pace_allows(server) {
            return false;
        }
        let on_old_evidence = server.unresponsive && untested;
        if !server.lost && !on_old_evidence && (server.failures == 0 || shared) {
            return true;
        }
        // After the back-off one session on trial, and none that may be set up only once while others serve.
        let only_once = self.settings.classes[session.wish.class].effect == Effect::SingleShot;
        let safe = !only_once || self.up.all().iter().all(|id| self.failing_servers.contains(id));
        // What was sent before it answered again was sent into its silence.
        let is_trial = |session: &Session| !session.playing && session.sent_at >= server.answered_at;
        let on_trial = || server.sessions.iter().any(|id| is_trial(&self.sessions[id]));
        let avoid_until = if untested { server.retry_at } else { server.avoid_until };
        safe && self.now >= avoid_until && !on_trial()
    }
}
