//! Estimated load of links and uplinks: reports, own sessions that are newer, and load probes.

use super::state::{Load, LoadReport, Server};
use super::{CANDIDATES, Controller, LOAD_PROBE_TOKEN, SHORT};
use crate::api::{Action, Micros, Report, Reporting, ServerId};

/// Last reports that the fleet's load is worked out on.
const MOST_REPORTS: usize = 32;
/// What an own session tells of the fleet's load, where a report tells 1 and there is but this gateway; and
/// what all of them tell at most: viewers are spread unevenly, which no number of own sessions shows.
const OWN_SESSION_WEIGHT: f64 = 0.3;
const MOST_OWN_WEIGHT: f64 = 6.0;
/// What grows by chance alone, in sessions at the middle rate: own growth is damped by so many.
const CHANCE_GROWTH: f64 = 2.0;
/// A report of less than this part of what own sessions ask is older than they are.
const LEAST_PLAUSIBLE: f64 = 0.5;
/// A report tells half of what it told after this time, or after this part of a session's usual length.
const REPORT_HALF_LIFE: f64 = 12e6;
const REPORT_LENGTH_SHARE: f64 = 0.4;
/// A report that tells less than this is left out of its rack's.
const LEAST_FRESHNESS: f64 = 1e-3;
/// Load probes for each session that was handed over, at most, and the time within which servers measure
/// their load.
const MOST_LOAD_PROBES: usize = 4;
const LOAD_MEASURED_WITHIN: Micros = 1_000_000;

impl Controller {
    /// Length of a session in the mean; before any has ended, such that reports age as if by time alone.
    pub(super) fn usual_length(&self) -> f64 {
        self.mean_length.unwrap_or(REPORT_HALF_LIFE / REPORT_LENGTH_SHARE)
    }

    /// What a report still tells: 1 when it is new, half of it after its half-life.
    fn freshness(&self, at: Micros) -> f64 {
        let by_length = self.mean_length.map(|length| REPORT_LENGTH_SHARE * length);
        let half_life = by_length.map_or(REPORT_HALF_LIFE, |share| REPORT_HALF_LIFE.min(share));
        (-((self.now - at) as f64) / half_life).exp2()
    }

    /// Rates of own sessions on a server.
    pub(super) fn own_demand_on(&self, server: &Server) -> f64 {
        server.demand.kb()
    }

    pub(super) fn own_demand_behind(&self, rack: usize) -> f64 {
        self.racks[&rack].demand.kb()
    }

    pub(super) fn own_demand(&self) -> f64 {
        self.occupancy.demand.kb()
    }

    /// What the other gateways ask of an average server, as a share of its size. A gateway sees few of the
    /// sessions of a large fleet, so the last reports tell it, and own sessions times the number of gateways
    /// the less the more gateways there are. Crowds come to all: what others ask is taken to have grown since
    /// a report as own sessions have, but not to have fallen, since this gateway cuts its own rungs as well.
    pub(super) fn load_of_others(&self) -> f64 {
        let (own, gateways) = (self.own_demand(), self.settings.gateways.saturating_sub(1) as f64);
        let middle = self.settings.rung_kb.get(self.settings.rung_kb.len() / 2).copied().unwrap_or(0.0);
        let damp = middle * CHANCE_GROWTH + 1.0;
        let usual = self.usual_length();
        let filling = !self.has_handed_over && self.begun.is_some_and(|at| ((self.now - at) as f64) < usual);
        let own_weight = self.sessions.len() as f64 * OWN_SESSION_WEIGHT / (gateways + 1.0);
        let mut told = own_weight.min(MOST_OWN_WEIGHT);
        let mut asked = told * own * gateways / self.capacity.kb().max(1.0);
        for (at, _, others, then) in &self.reports {
            // While it fills up, own growth up to what each of the others asks is no growth of theirs.
            let each = if filling { others * self.capacity.kb() / gateways.max(1.0) } else { 0.0 };
            let grown = ((own.max(each) + damp) / (then.max(each) + damp)).max(1.0);
            let weight = self.freshness(*at);
            asked += weight * others * grown;
            told += weight;
        }
        if told > 0.0 { asked / told } else { 0.0 }
    }

    /// What is asked of a link, as far as this gateway can tell: its last report as it ages into the average,
    /// and own sessions.
    pub(super) fn link_load(&self, server: &Server, others: f64) -> Load {
        let (link, average) = (self.link(server), others * self.size(server));
        Load { link, asked: average + self.told_beyond(server, average) + self.own_demand_on(server) }
    }

    /// What a server's last report tells of others beyond the average, as far as it still does.
    fn told_beyond(&self, server: &Server, average: f64) -> f64 {
        let beyond = |report: &LoadReport| {
            let told = (report.asked * self.link(server) - report.own).max(0.0);
            self.freshness(report.at) * (told - average)
        };
        server.last_report.as_ref().map_or(0.0, beyond)
    }

    pub(super) fn uplink_load(&self, rack: usize, others: f64) -> Load {
        let behind = &self.racks[&rack];
        let reported = behind.reported.iter().map(|id| &self.servers[id]);
        let beyond: f64 = reported.map(|server| self.told_beyond(server, others * self.size(server))).sum();
        let average = others * behind.links.min(behind.uplink);
        let mut load = Load { link: behind.uplink, asked: average + beyond + behind.demand.kb() };
        if let Some(report) = &behind.last_report {
            let told = (report.asked * load.link - report.own).max(0.0) + self.own_demand_behind(rack);
            let weight = self.freshness(report.at);
            load.asked = weight * told + (1.0 - weight) * load.asked;
        }
        load
    }

    /// Stores what a report tells of a link and its rack's uplink.
    pub(super) fn record_report(&mut self, id: &ServerId, link: Option<f64>, uplink: Option<f64>) {
        let Some(server) = self.servers.get(id) else { return };
        let rack = self.rack_of(server);
        // Less than own sessions ask was measured before they came.
        let link =
            link.filter(|asked| asked * self.link(server) >= LEAST_PLAUSIBLE * self.own_demand_on(server));
        let told = |asked: f64, own| LoadReport { at: self.now, asked: asked.clamp(0.0, 10.0), own };
        let link = link.filter(|x| x.is_finite()).map(|x| told(x, self.own_demand_on(server)));
        let uplink = uplink.filter(|x| x.is_finite()).map(|x| told(x, self.own_demand_behind(rack)));
        if let Some(report) = link {
            let others =
                (report.asked * self.link(server) - report.own).max(0.0) / self.size(server).max(1.0);
            let own = self.own_demand();
            self.reports.push_back((self.now, id.clone(), others, own));
            self.reports.drain(..self.reports.len().saturating_sub(MOST_REPORTS));
            self.set_last_report(id, report);
        }
        if uplink.is_some() {
            self.uplinks_reported = true;
            self.racks.entry(rack).or_default().last_report = uplink;
        }
    }

    /// Stores a server's last report. What reports of its rack's servers tell nothing any more is left out.
    pub(super) fn set_last_report(&mut self, id: &ServerId, report: LoadReport) {
        let Some(server) = self.servers.get_mut(id) else { return };
        server.last_report = Some(report);
        let number = self.rack_of(&self.servers[id]);
        let Some(mut rack) = self.racks.remove(&number) else { return };
        if rack.servers.contains(id) {
            rack.reported.insert(id.clone());
        }
        let reports = |id: &ServerId| self.servers[id].last_report;
        rack.reported
            .retain(|id| reports(id).is_some_and(|report| self.freshness(report.at) > LEAST_FRESHNESS));
        self.racks.insert(number, rack);
    }

    /// Exception: where nothing reports on uplinks, a share that falls short though the link bears what is
    /// asked of it tells what is asked of the uplink, until a share there is full again. Guards against
    /// uplinks that give less than they should. Harm: a moment's shortness closes the whole rack for a while.
    pub(super) fn infer_uplink_load(&mut self, id: &ServerId, share: f64) {
        let tells = !self.uplinks_reported && share > 0.0;
        let Some(server) = self.servers.get(id).filter(|_| tells) else { return };
        let rack = self.rack_of(server);
        let report =
            LoadReport { at: self.now, asked: share.recip().min(10.0), own: self.own_demand_behind(rack) };
        let bears = || self.link_load(server, self.load_of_others()).share() < report.asked;
        let short = share < SHORT && self.settings.racks.is_some() && bears();
        if let Some(rack) = self.racks.get_mut(&rack).filter(|_| short || share >= SHORT) {
            rack.last_report = short.then_some(report);
        }
    }

    pub(super) fn is_known(&self, id: &ServerId) -> bool {
        let report = self.servers.get(id).and_then(|server| server.last_report);
        report.is_some_and(|report| self.freshness(report.at) > 0.5)
    }

    /// A probe was answered: the server can be reached, and may tell its load.
    pub(super) fn on_probe_answer(&mut self, id: &ServerId, report: Report) {
        self.record_reachable(id);
        self.record_report(id, report.link, report.uplink);
        if self.servers.contains_key(id) && self.is_known(id) {
            self.raise_handed_over(id);
        }
    }

    fn may_probe_loads(&self) -> bool {
        self.settings.may_probe && self.settings.reporting == Reporting::WhenProbed
    }

    /// With each session one server is asked for its load, of a few drawn the first that has not told it of
    /// late: the loads keep in step with the traffic, at the price of one probe a session.
    pub(super) fn probe_unknown(&mut self) {
        if self.up.all().is_empty() || !self.may_probe_loads() {
            return;
        }
        let drawn =
            [(); CANDIDATES].map(|()| self.below(self.up.all().len())).map(|k| self.up.all()[k].clone());
        let server = drawn.into_iter().find(|id| !self.servers[id].unresponsive && !self.is_known(id));
        if let Some(server) = server {
            self.probe_load(server);
        }
    }

    /// Servers measure their load now and then, and right after a start some have not yet: they are asked a
    /// little later, and each gateway begins at a time of its own, so that not all answer one load at once.
    pub(super) fn schedule_load_probes(&mut self) {
        if self.may_probe_loads() && self.load_probe_alarms == 0 {
            self.load_probe_alarms = 1;
            let at = self.now + LOAD_MEASURED_WITHIN + (self.unit() * LOAD_MEASURED_WITHIN as f64) as Micros;
            self.out.push(Action::Alarm { token: LOAD_PROBE_TOKEN, at });
        }
    }

    /// Asks one of the servers of sessions that were handed over for the load that it has not told, and goes
    /// on at the pace of the budget.
    pub(super) fn probe_loads(&mut self) {
        let is_untold = |server: &Server| !server.rung_pending.is_empty() && server.last_report.is_none();
        let untold = self.servers.iter().filter(|(_, server)| is_untold(server));
        let untold: Vec<_> = untold.map(|(id, _)| id.clone()).collect();
        let most = MOST_LOAD_PROBES * self.occupancy.rung_pending;
        let next = self.below(untold.len());
        let Some(server) = untold.into_iter().nth(next) else { return };
        self.probe_load(server);
        self.load_probe_alarms += 1;
        if self.load_probe_alarms <= most {
            let at = self.now + self.load_probe_interval();
            self.out.push(Action::Alarm { token: LOAD_PROBE_TOKEN, at });
        }
    }
}
