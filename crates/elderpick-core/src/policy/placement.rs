//! Candidates for a session: a few random holders, of which the least loaded is taken.

use rand_chacha::ChaCha8Rng;

use super::attempts::shortest_attempt;
use super::state::{Load, LoadReport, Server, Session, Use};
use super::{CANDIDATES, Controller, random_unit};
use crate::api::{Effect, Group, Placement, RefusalReason, RequestId, ServerId, ServerState};

/// Loads differ by as much before another zone is preferred.
const ZONE_BIAS: f64 = 0.05;

impl Controller {
    /// Draws holders, picks the least loaded, sets the rung and sends; or gives up at once.
    pub(super) fn place(&mut self, id: RequestId) {
        let session = &self.sessions[&id];
        let left = session.deadline - self.now;
        let refused = match () {
            () if left < shortest_attempt(&self.settings.classes[session.wish.class]) => {
                Some(RefusalReason::NoTime)
            }
            () if !self.seat_free(session) => Some(RefusalReason::NoSeat),
            () if !self.may_attempt(session) => Some(RefusalReason::RetryLimit),
            () => None,
        };
        if let Some(reason) = refused {
            return self.give_up(id, reason);
        }
        let others = self.load_of_others();
        let zone = self.settings.zone;
        let weighed = self.draw_usable(id).into_iter().map(|server| {
            let to = &self.servers[&server];
            let (link, uplink) = (self.link_load(to, others), self.uplink_load(self.rack_of(to), others));
            let away = if to.entry.zone != zone { ZONE_BIAS } else { 0.0 };
            (server, link.share().max(uplink.share()) + away, (link, uplink))
        });
        let Some((server, _, (link, uplink))) = weighed.min_by(|a, b| a.1.total_cmp(&b.1)) else {
            return self.give_up(id, self.why_none_usable(id));
        };
        let room = link.room().min(uplink.room());
        let wish = self.sessions[&id].wish;
        let floor = self.settings.classes[wish.class].floor;
        let fair = self.fair_rung(&wish, self.price(others));
        match (floor..=fair).rev().find(|&rung| self.rate(&wish, rung) <= room) {
            Some(rung) => {
                self.record_placement(id, &server, [link, uplink], others, self.rate(&wish, rung));
                self.send(id, server, rung);
            }
            None => self.give_up(id, RefusalReason::NoRoom),
        }
    }

    /// Keeps what a placement was decided on, for the log.
    fn record_placement(
        &mut self,
        id: RequestId,
        server: &ServerId,
        loads: [Load; 2],
        others: f64,
        rate: f64,
    ) {
        let to = &self.servers[server];
        let age = |report: Option<LoadReport>| report.map(|report| self.now - report.at);
        let [link, uplink] = loads;
        let placement = Placement {
            rack: self.rack_of(to),
            uplink: uplink.link,
            link_use: link.share(),
            uplink_use: uplink.share(),
            report_age: age(to.last_report),
            uplink_report_age: age(self.racks[&self.rack_of(to)].last_report),
            others,
            room: link.room().min(uplink.room()),
            rate,
        };
        if let Some(session) = self.sessions.get_mut(&id) {
            session.placement = Some(placement);
        }
    }

    /// What the last attempt of a session was decided on.
    pub fn placement(&self, id: RequestId) -> Option<Placement> {
        self.sessions.get(&id)?.placement
    }

    /// Draws holders that answered of late. Exception: where there is none, of those that did not, since what
    /// is known of them is old: they may be back, and a session that may be set up again finds out. Harm: it
    /// loses some of its time where they are not.
    fn draw_usable(&mut self, id: RequestId) -> Vec<ServerId> {
        let drawn = self.draw(id, false);
        let class = &self.settings.classes[self.sessions[&id].wish.class];
        let goes_on_trial = self.settings.may_probe && class.effect != Effect::SingleShot;
        if drawn.is_empty() && goes_on_trial { self.draw(id, true) } else { drawn }
    }

    /// Draws usable holders at random, large ones as much more often as they are larger.
    ///
    /// Exception: in a large fleet few of those drawn have told this gateway their load, so that a pick among
    /// them is blind. Then some of the servers that told theirs of late are drawn as well.
    fn draw(&mut self, id: RequestId, untested: bool) -> Vec<ServerId> {
        // Where most servers show the same trouble its cause is shared, and avoiding them helps nobody.
        let failing = self.failing_servers.iter().filter(|id| !self.servers[*id].unresponsive).count();
        let using = Use { shared: 2 * failing > self.up.all().len(), untested };
        let mut rng = self.rng.clone();
        let (mut drawn, unanswered) = self.draw_by_size(id, using, &mut rng);
        self.rng = rng;
        self.probe_wanted(&unanswered);
        // Few of many cold servers have a turn that is this gateway's: one that has joins the draw.
        if self.settings.cold.is_some() && !drawn.iter().any(|id| self.is_cold(&self.servers[id])) {
            drawn.extend(self.draw_cold(id, using));
        }
        let mut known = drawn.iter().filter(|id| self.is_known(id)).count();
        let mut told: Vec<_> = (0..self.reports.len()).collect();
        while known < CANDIDATES && !told.is_empty() {
            let k = told.swap_remove(self.below(told.len()));
            let server = &self.reports[k].1;
            if !drawn.contains(server) && self.is_known(server) && self.usable(id, server, using) {
                known += 1;
                drawn.push(server.clone());
            }
        }
        drawn
    }

    /// Draws usable holders, and those that would be if they answered.
    fn draw_by_size(
        &self,
        id: RequestId,
        using: Use,
        rng: &mut ChaCha8Rng,
    ) -> (Vec<ServerId>, Vec<ServerId>) {
        let (mut drawn, mut unanswered) = (Vec::new(), Vec::new());
        let (holders, largest) = (self.holders(&self.sessions[&id].viewing), self.capacity.largest());
        for by_size in [true, false] {
            let mut order = holders.shuffled();
            while drawn.len() < CANDIDATES
                && let Some(number) = order.next(rng)
            {
                let (chance, name) = (random_unit(rng), holders.get(number));
                let server = &self.servers[name];
                let passed = by_size && chance * largest > self.size(server);
                if passed || drawn.contains(name) {
                    continue;
                }
                if self.usable(id, name, using) {
                    drawn.push(name.clone());
                } else if server.unresponsive && self.eligible(id, name) {
                    unanswered.push(name.clone());
                }
            }
        }
        (drawn, unanswered)
    }

    /// Draws a cold holder that may be used now.
    fn draw_cold(&mut self, id: RequestId, using: Use) -> Option<ServerId> {
        let viewing = self.sessions[&id].viewing.clone();
        self.forget_warm(&viewing);
        let count = self.cold_holders(&viewing).len();
        let from = self.below(count);
        let cold = self.cold_holders(&viewing);
        let mut from_there = (0..count).map(|k| cold[(from + k) % count]);
        let is_open = |name: &&ServerId| self.is_cold(&self.servers[*name]) && self.usable(id, name, using);
        from_there.find(is_open).cloned()
    }

    fn usable(&self, id: RequestId, server: &ServerId, using: Use) -> bool {
        self.eligible(id, server) && self.healthy(&self.sessions[&id], &self.servers[server], using)
    }

    /// Whether the list and the rules let a session go to a server, in whatever health that is.
    fn eligible(&self, id: RequestId, server: &ServerId) -> bool {
        let (session, server) = (&self.sessions[&id], &self.servers[server]);
        server.entry.state == ServerState::Up
            && self.holds(session, server)
            && !session.attempted.contains(&server.entry.server)
            && self.group_allows(session, server)
    }

    /// Whether a server holds the title that is asked for.
    pub(super) fn holds(&self, session: &Session, server: &Server) -> bool {
        let cells = self.cells();
        let from_home = (server.entry.cell % cells + cells - session.viewing.home % cells) % cells;
        from_home < session.viewing.copies
    }

    fn group_allows(&self, session: &Session, server: &Server) -> bool {
        let class = &self.settings.classes[session.wish.class];
        class.effect != Effect::Guarded
            || session.may_have_run.iter().all(|ran| match class.group {
                Group::All => true,
                Group::Zone => ran.zone == server.entry.zone,
                Group::Cell => ran.cell == server.entry.cell,
            })
    }
}
