//! The interface of the decision module: settings, events and actions. Types only, no decisions.

use std::fmt;
use std::sync::Arc;

/// Microseconds: a point on the gateway's clock, or a span of it.
pub type Micros = i64;

/// A request for a session, as the outside names it.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub struct RequestId(pub u64);

/// A media server, as the outside names it. Carries no meaning.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub struct ServerId(pub Arc<str>);

impl fmt::Display for ServerId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// What a class's set-up may do when it happens more than once.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Effect {
    /// May be repeated without harm.
    Free,
    /// May be repeated within a group of servers, for a time.
    Guarded,
    /// Paid: happens once.
    SingleShot,
}

/// Servers among which a guarded class may be repeated.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Group {
    All,
    Zone,
    Cell,
}

/// A class of session.
#[derive(Clone, PartialEq, Debug)]
pub struct Class {
    pub effect: Effect,
    pub group: Group,
    pub window: Micros,
    /// Wanted playing within this.
    pub aim: Micros,
    pub worth: f64,
    /// Rates over those of the ladder.
    pub scale: f64,
    pub floor: usize,
    pub top: usize,
    /// Sessions of one title that this gateway may hold.
    pub seats: Option<usize>,
}

/// The pace at which a server that has just started may be given set-ups.
#[derive(Clone, Copy, PartialEq, Debug)]
pub struct ColdRule {
    pub warm_up: Micros,
    pub least_warmth: f64,
    pub multiple: f64,
    pub window: Micros,
}

/// The limit on attempts beyond each session's first.
#[derive(Clone, Copy, PartialEq, Debug)]
pub struct BudgetRule {
    pub free: f64,
    pub share: f64,
    pub window: Micros,
}

/// How servers report their load.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Reporting {
    Never,
    WhenProbed,
    InAnswers,
}

/// What a gateway is told at its start. An absent figure means that the matter does not apply.
#[derive(Clone, PartialEq, Debug)]
pub struct Settings {
    /// This gateway's number, and how many there are.
    pub me: usize,
    pub gateways: usize,
    pub zone: usize,
    pub classes: Vec<Class>,
    /// The ladder: rate of each rung in kB a second, and what it earns.
    pub rung_kb: Vec<f64>,
    pub rung_worth: Vec<f64>,
    pub cells: Option<usize>,
    pub racks: Option<usize>,
    pub rack_kb: Option<f64>,
    pub links_kb: Option<f64>,
    pub kb_per_weight: Option<f64>,
    /// Weights tell sizes; otherwise all servers count alike.
    pub weights: bool,
    /// Streams that a server runs at most, by kind.
    pub places: Vec<f64>,
    /// How late delivered shares are.
    pub see: Micros,
    pub cold: Option<ColdRule>,
    pub budget: Option<BudgetRule>,
    pub max_attempts: Option<usize>,
    pub max_retry_after: Option<Micros>,
    pub reporting: Reporting,
    pub may_probe: bool,
    /// The list must be subscribed to.
    pub subscribe: bool,
}

/// A server in the list.
#[derive(Clone, PartialEq, Debug)]
pub struct Entry {
    pub server: ServerId,
    pub zone: usize,
    pub kind: usize,
    pub cell: usize,
    pub state: ServerState,
    pub weight: f64,
    /// Its last start, where that is known.
    pub started: Option<Micros>,
}

#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum ServerState {
    Up,
    Draining,
    Gone,
}

#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum ListKind {
    /// Only the entries that changed.
    Changes,
    Full,
    /// The list as this gateway had it last; it may be old.
    Restored,
    /// A call to the list failed; it brings no entries.
    Failed,
}

/// A viewer's wish to watch a title.
#[derive(Clone, PartialEq, Debug)]
pub struct Viewing {
    pub class: usize,
    pub title: String,
    /// Time before the viewer stops waiting.
    pub left: Micros,
    /// Guessed length, where one is given.
    pub hint: Option<Micros>,
    /// First cell that holds the title, and how many in a row do.
    pub home: usize,
    pub copies: usize,
    /// The viewer's best rung.
    pub top: usize,
}

/// A server's load report; what it leaves out is absent.
#[derive(Clone, Copy, PartialEq, Default, Debug)]
pub struct Report {
    /// What is asked of its link over what that gives.
    pub link: Option<f64>,
    /// The same of its rack's uplink.
    pub uplink: Option<f64>,
    /// Streams that it runs.
    pub streams: Option<f64>,
}

#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Status {
    Ok,
    Failed,
    Full,
    TimedOut,
    ConnectError,
    Reset,
    Cancelled,
    /// Never sent.
    Ignored,
}

/// News on a session.
#[derive(Clone, Copy, PartialEq, Debug)]
pub enum Note {
    /// Share of their rates that sessions on its server get.
    Delivered(f64),
    Rung(usize),
    LinkAsked(f64),
    UplinkAsked(f64),
}

#[derive(Clone, PartialEq, Debug)]
pub enum Event {
    List {
        kind: ListKind,
        entries: Vec<Entry>,
    },
    Request {
        id: RequestId,
        viewing: Viewing,
    },
    /// A session handed over at the start, playing already.
    Open {
        id: RequestId,
        viewing: Viewing,
        server: ServerId,
    },
    Playing {
        id: RequestId,
        attempt: usize,
    },
    Outcome {
        id: RequestId,
        attempt: usize,
        status: Status,
        closed: bool,
        report: Report,
    },
    Noted {
        id: RequestId,
        server: ServerId,
        note: Note,
    },
    Probed {
        server: ServerId,
        status: Status,
        report: Report,
    },
    /// The viewer left.
    Gone {
        id: RequestId,
    },
    Alarm {
        token: u64,
    },
}

#[derive(Clone, PartialEq, Debug)]
pub enum Action {
    Rate {
        id: RequestId,
        rung: usize,
    },
    Send {
        id: RequestId,
        server: ServerId,
        timeout: Micros,
    },
    Refuse {
        id: RequestId,
        retry_after: Option<Micros>,
    },
    Fail {
        id: RequestId,
    },
    Probe {
        server: ServerId,
    },
    /// Follow the list's changes from now on.
    Subscribe,
    /// Ask for the whole list once.
    Fetch,
    Alarm {
        token: u64,
        at: Micros,
    },
}
