//! A gateway with its clock, for tests that feed events by hand.
#![allow(dead_code)]

use elderpick_core::Controller;
use elderpick_core::api::*;

pub const MS: Micros = 1_000;
pub const SECOND: Micros = 1_000_000;

pub fn class(effect: Effect) -> Class {
    Class {
        effect,
        group: Group::All,
        window: 5 * SECOND,
        aim: SECOND,
        worth: 1.0,
        scale: 1.0,
        floor: 0,
        top: usize::MAX,
        seats: None,
    }
}

/// One gateway, links of 1,000 kB a second for each unit of weight, no rule that a site may leave out.
pub fn settings(classes: Vec<Class>) -> Settings {
    Settings {
        me: 0,
        gateways: 1,
        zone: 0,
        classes,
        rung_kb: vec![100.0, 200.0, 400.0],
        rung_worth: vec![0.3, 0.6, 1.0],
        cells: Some(8),
        racks: Some(2),
        rack_kb: None,
        links_kb: None,
        kb_per_weight: Some(1_000.0),
        weights: true,
        places: vec![20.0],
        see: 500 * MS,
        cold: None,
        budget: None,
        max_attempts: None,
        max_retry_after: Some(500 * MS),
        reporting: Reporting::InAnswers,
        may_probe: false,
        subscribe: false,
    }
}

pub fn server(name: &str) -> ServerId {
    ServerId(name.into())
}

pub fn entry(name: &str) -> Entry {
    Entry {
        server: server(name),
        zone: 0,
        kind: 0,
        cell: 0,
        state: ServerState::Up,
        weight: 1.0,
        started: None,
    }
}

pub fn viewing(class: usize) -> Viewing {
    Viewing { class, title: "sedge".into(), left: 3 * SECOND, hint: None, home: 0, copies: 8, top: 2 }
}

pub fn alarm(action: &Action) -> Option<(u64, Micros)> {
    match action {
        Action::Alarm { token, at } => Some((*token, *at)),
        _ => None,
    }
}

pub fn link_report(asked: f64) -> Report {
    Report { link: Some(asked), ..Report::default() }
}

pub struct Gateway {
    pub core: Controller,
    pub now: Micros,
    pub next: u64,
}

impl Gateway {
    pub fn new(settings: Settings, servers: Vec<Entry>) -> Self {
        Self::seeded(7, settings, servers)
    }

    pub fn seeded(seed: u64, settings: Settings, servers: Vec<Entry>) -> Self {
        let mut gateway = Self::restarted(seed, settings, servers.clone());
        gateway.list(ListKind::Full, servers);
        gateway
    }

    /// A gateway that holds nothing but its last list.
    pub fn restarted(seed: u64, settings: Settings, servers: Vec<Entry>) -> Self {
        let mut gateway = Gateway { core: Controller::new(seed, settings), now: 100 * SECOND, next: 1 };
        gateway.list(ListKind::Restored, servers);
        gateway
    }

    pub fn handle(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.core.handle(self.now, event, &mut actions);
        actions
    }

    pub fn list(&mut self, kind: ListKind, entries: Vec<Entry>) -> Vec<Action> {
        self.handle(Event::List { kind, entries })
    }

    pub fn request(&mut self, viewing: Viewing) -> (RequestId, Vec<Action>) {
        let id = RequestId(self.next);
        self.next += 1;
        (id, self.handle(Event::Request { id, viewing }))
    }

    pub fn outcome(&mut self, id: RequestId, attempt: usize, status: Status) -> Vec<Action> {
        self.handle(Event::Outcome { id, attempt, status, closed: false, report: Report::default() })
    }

    pub fn end(&mut self, id: RequestId, attempt: usize) -> Vec<Action> {
        let (status, report) = (Status::Ok, Report::default());
        self.handle(Event::Outcome { id, attempt, status, closed: true, report })
    }

    pub fn playing(&mut self, id: RequestId, attempt: usize) -> Vec<Action> {
        self.handle(Event::Playing { id, attempt })
    }

    /// A session of class 0 handed over at the start.
    pub fn open(&mut self, id: RequestId, server: &ServerId) -> Vec<Action> {
        self.handle(Event::Open { id, viewing: viewing(0), server: server.clone() })
    }

    /// A probe is answered, with this report of the load.
    pub fn told(&mut self, name: &str, report: Report) -> Vec<Action> {
        self.handle(Event::Probed { server: server(name), status: Status::Ok, report })
    }

    /// Delivery is short, and still is a second later; what is done then.
    pub fn short(&mut self, id: RequestId, server: &ServerId, share: f64) -> Vec<Action> {
        assert_eq!(self.note(id, server, Note::Delivered(share)), vec![], "it may be over at once");
        self.now += SECOND;
        self.note(id, server, Note::Delivered(share))
    }

    pub fn note(&mut self, id: RequestId, server: &ServerId, note: Note) -> Vec<Action> {
        self.handle(Event::Noted { id, server: server.clone(), note })
    }
}

/// Servers named `s0`, `s1` and so on.
pub fn numbered(count: usize) -> Vec<Entry> {
    (0..count).map(|n| entry(&format!("s{n}"))).collect()
}

/// The same, each in a cell of its own.
pub fn in_own_cells(count: usize) -> Vec<Entry> {
    numbered(count).into_iter().enumerate().map(|(cell, entry)| Entry { cell, ..entry }).collect()
}

pub fn probes(actions: &[Action]) -> Vec<ServerId> {
    let probed = |action: &Action| match action {
        Action::Probe { server } => Some(server.clone()),
        _ => None,
    };
    actions.iter().filter_map(probed).collect()
}

pub fn sent(actions: &[Action]) -> Option<ServerId> {
    let mut sends = actions.iter().filter_map(|action| match action {
        Action::Send { server, .. } => Some(server.clone()),
        _ => None,
    });
    let first = sends.next();
    assert!(sends.next().is_none(), "two sends in one answer: {actions:?}");
    first
}

pub fn rung(actions: &[Action]) -> Option<usize> {
    actions.iter().find_map(|action| match action {
        Action::Rate { rung, .. } => Some(*rung),
        _ => None,
    })
}

pub fn refused(actions: &[Action]) -> bool {
    actions.iter().any(|action| matches!(action, Action::Refuse { .. }))
}

pub fn failed(actions: &[Action]) -> bool {
    actions.iter().any(|action| matches!(action, Action::Fail { .. }))
}
