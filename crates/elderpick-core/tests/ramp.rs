//! Cold servers and the sum of all gateways, judged as the operators do: in any window a server that has started bears N
//! and 2 root of N and 2 requests of mean work, N being what the settings allow it then.

mod common;

use common::*;
use elderpick_core::Controller;
use elderpick_core::api::*;

const SERVERS: usize = 12;
const FROM: Micros = 100 * SECOND;

/// One fleet and what goes wrong in it.
#[derive(Clone, Copy, Debug)]
struct Fleet {
    gateways: usize,
    /// The settings tell of so many.
    told: usize,
    places: f64,
    window: Micros,
    warm_up: Micros,
    /// Requests a second that each gateway has.
    each: f64,
    /// A set-up arrives so much later at most than it was sent.
    late: Micros,
    /// One in so many gateways begins again, again and again, a second after another; 0 for none.
    restarts: usize,
    /// All that is set up is refused as full, and goes on to a further server.
    refused: bool,
}

const FLEET: Fleet = Fleet {
    gateways: 20,
    told: 20,
    places: 574.0,
    window: 1_500 * MS,
    warm_up: 12 * SECOND,
    each: 20.0,
    late: MS,
    restarts: 0,
    refused: false,
};

impl Fleet {
    fn rule(&self) -> ColdRule {
        ColdRule { warm_up: self.warm_up, least_warmth: 0.4, multiple: 2.5, window: self.window }
    }

    /// What the settings allow a server in a window that ends so long after its start.
    fn allowed(&self, since_start: Micros) -> f64 {
        let rule = self.rule();
        let warmth = (since_start as f64 / rule.warm_up as f64).clamp(rule.least_warmth, 1.0);
        self.places / rule.warm_up as f64 * warmth * rule.multiple * rule.window as f64
    }

    fn settings(&self, me: usize) -> Settings {
        Settings {
            me,
            gateways: self.told,
            cells: Some(SERVERS),
            racks: Some(3),
            kb_per_weight: Some(1e7),
            places: vec![self.places],
            cold: Some(self.rule()),
            max_attempts: Some(4),
            ..settings(vec![class(Effect::Free)])
        }
    }

    /// All servers have just started, one after the other within a second.
    fn started(server: usize) -> Micros {
        FROM + server as Micros * SECOND / SERVERS as Micros
    }

    fn list() -> Vec<Entry> {
        let entries = in_own_cells(SERVERS).into_iter().enumerate();
        entries.map(|(n, entry)| Entry { started: Some(Fleet::started(n)), ..entry }).collect()
    }

    fn begin(&self, me: usize, at: Micros) -> Gateway {
        let core = Controller::new(me as u64 + 1 + at as u64, self.settings(me));
        let mut gateway = Gateway { core, now: at, next: 1 };
        gateway.list(ListKind::Restored, vec![]);
        gateway.list(ListKind::Full, Fleet::list());
        gateway
    }

    /// When set-ups arrive at each server, over its whole warming.
    fn arrivals(&self) -> Vec<Vec<Micros>> {
        let names: Vec<_> = Fleet::list().into_iter().map(|entry| entry.server).collect();
        let mut arrivals = vec![Vec::new(); SERVERS];
        for me in 0..self.gateways {
            let mut gateway = self.begin(me, FROM + SECOND);
            let pause = (1e6 / self.each) as Micros;
            let (mut at, mut began) = (FROM + SECOND + pause * (me as Micros * 7 % 11) / 11, FROM + SECOND);
            while at < FROM + self.warm_up + 2 * SECOND {
                if self.restarts > 0 && me % self.restarts == 0 && at - began >= SECOND {
                    (gateway, began) = (self.begin(me, at), at);
                }
                gateway.now = at;
                let viewing = Viewing { top: 0, copies: SERVERS, title: at.to_string(), ..viewing(0) };
                let (id, mut actions) = gateway.request(viewing);
                let mut attempt = 0;
                while let Some(server) = sent(&actions) {
                    let to = names.iter().position(|name| *name == server).expect("a listed server");
                    // As late as chance has it, and at most as told.
                    let late = (at * 7 + me as Micros * 13 + attempt as Micros * 31) % (self.late + 1);
                    arrivals[to].push(at + late);
                    if !self.refused {
                        gateway.playing(id, attempt);
                        gateway.end(id, attempt);
                        break;
                    }
                    actions = gateway.outcome(id, attempt, Status::Full);
                    attempt += 1;
                }
                at += pause;
            }
        }
        arrivals.iter_mut().for_each(|times| times.sort_unstable());
        arrivals
    }

    /// Judges each window that ends with an arrival; gives the share of its bound that the fullest one reached, and how
    /// many arrived in all.
    fn judged(&self) -> (f64, usize) {
        let (mut fullest, mut all) = (0.0_f64, 0);
        for (server, times) in self.arrivals().iter().enumerate() {
            all += times.len();
            for (k, at) in times.iter().enumerate() {
                let since_start = at - Fleet::started(server);
                if since_start >= self.warm_up {
                    break;
                }
                let within = times[..=k].iter().rev().take_while(|t| at - **t < self.window).count();
                let allowed = self.allowed(since_start);
                fullest = fullest.max(within as f64 / (allowed + 2.0 * allowed.sqrt() + 2.0));
            }
        }
        (fullest, all)
    }
}

fn holds(fleet: Fleet) {
    let (fullest, all) = fleet.judged();
    assert!(fullest <= 1.0, "{fullest} of what a server bears: {fleet:?}");
    assert!(all > 0, "none is ever used: {fleet:?}");
}

#[test]
fn the_fleet_keeps_the_ramp_whatever_its_size() {
    for gateways in [2, 20, 30, 350] {
        // From far less than one in a window for all together to many for each.
        for places in [2.0, 12.0, 100.0, 574.0, 4_000.0] {
            holds(Fleet { gateways, told: gateways, places, each: 400.0 / gateways as f64, ..FLEET });
        }
    }
}

#[test]
fn set_ups_that_arrive_late_keep_the_ramp() {
    for gateways in [2, 20, 30, 350] {
        for window in [200 * MS, 1_500 * MS] {
            // A line comes up as late as a window at most.
            let fleet = Fleet { gateways, told: gateways, window, late: window, ..FLEET };
            holds(Fleet { each: 400.0 / gateways as f64, ..fleet });
        }
    }
}

#[test]
fn gateways_that_begin_again_keep_the_ramp() {
    for gateways in [20, 30, 350] {
        for restarts in [1, 3] {
            let fleet = Fleet { gateways, told: gateways, restarts, window: 300 * MS, ..FLEET };
            holds(Fleet { each: 400.0 / gateways as f64, ..fleet });
        }
    }
}

#[test]
fn further_attempts_count_as_well() {
    for gateways in [2, 20, 30] {
        holds(Fleet { gateways, told: gateways, refused: true, ..FLEET });
    }
}

/// A few more run than the settings tell, as while a fleet is renewed.
#[test]
fn more_gateways_than_are_told_of_keep_the_ramp() {
    for (gateways, told) in [(26, 20), (40, 30), (350, 300)] {
        holds(Fleet { gateways, told, each: 400.0 / gateways as f64, ..FLEET });
    }
}

/// The judge sees what it has to: gateways that take themselves for the only one.
#[test]
fn gateways_that_know_of_no_other_break_the_ramp() {
    let (fullest, _) = Fleet { told: 1, ..FLEET }.judged();
    assert!(fullest > 1.0, "{fullest}");
}
