//! The interface of the decision module: settings, events and actions. Types only, no decisions.

use std::fmt;
use std::sync::Arc;

/// Microseconds: a point on the gateway's clock, or a span of it.
pub type Micros = i64;

/// A request for a session, as the outside names it.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub struct RequestId(pub u64);

/// A media server, as the outside names it. Carries no meaning.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Debug)]
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
    /// Any server.
    All,
    /// Servers of one zone.
    Zone,
    /// Servers of one cell.
    Cell,
}

/// A class of session.
#[derive(Clone, PartialEq, Debug)]
pub struct Class {
    /// What happens when it is set up more than once.
    pub effect: Effect,
    /// Where a guarded class may be repeated.
    pub group: Group,
    /// How long after its first attempt a guarded class may be repeated.
    pub window: Micros,
    /// Wanted playing within this.
    pub aim: Micros,
    /// What a second at the top rung earns, over that of other classes.
    pub worth: f64,
    /// Rates over those of the ladder.
    pub scale: f64,
    /// Lowest rung that a session of it may be admitted at.
    pub floor: usize,
    /// Highest rung that a session of it may have.
    pub top: usize,
    /// Sessions of one title that this gateway may hold.
    pub seats: Option<usize>,
}

/// The pace at which a server that has just started may be given set-ups.
#[derive(Clone, Copy, PartialEq, Debug)]
pub struct ColdRule {
    /// How long a server counts as cold after its start.
    pub warm_up: Micros,
    /// What it bears at its start, as a share of what it bears when it is warm.
    pub least_warmth: f64,
    /// How many times its share a cold server bears before it falls.
    pub multiple: f64,
    /// Time within which set-ups at a cold server are counted.
    pub window: Micros,
}

/// The limit on attempts beyond each session's first.
#[derive(Clone, Copy, PartialEq, Debug)]
pub struct BudgetRule {
    /// Further attempts that are always allowed.
    pub free: f64,
    /// Further attempts for each request taken.
    pub share: f64,
    /// Time within which both are counted.
    pub window: Micros,
}

/// How servers report their load.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Reporting {
    /// Not at all.
    Never,
    /// In the answer to a probe.
    WhenProbed,
    /// In answers to set-ups and in releases.
    InAnswers,
}

/// What a gateway is told at its start. An absent figure means that the matter does not apply.
#[derive(Clone, PartialEq, Debug)]
pub struct Settings {
    /// This gateway's number, and how many there are.
    pub me: usize,
    /// How many gateways share the servers, this one among them.
    pub gateways: usize,
    /// This gateway's zone.
    pub zone: usize,
    /// The classes of sessions, by their number.
    pub classes: Vec<Class>,
    /// The ladder: rate of each rung in kB a second, and what it earns.
    pub rung_kb: Vec<f64>,
    /// What a second at each rung earns.
    pub rung_worth: Vec<f64>,
    /// Groups of servers that titles are spread over.
    pub cells: Option<usize>,
    /// Groups of servers behind one uplink each.
    pub racks: Option<usize>,
    /// What each uplink gives, in kB a second.
    pub rack_kb: Option<f64>,
    /// What all links give together, in kB a second.
    pub links_kb: Option<f64>,
    /// What the link of a server of weight 1 gives, in kB a second.
    pub kb_per_weight: Option<f64>,
    /// Weights tell sizes; otherwise all servers count alike.
    pub weights: bool,
    /// Streams that a server runs at most, by kind.
    pub places: Vec<f64>,
    /// How late delivered shares are.
    pub see: Micros,
    /// The pace at which servers that have just started may be used.
    pub cold: Option<ColdRule>,
    /// The limit on further attempts.
    pub budget: Option<BudgetRule>,
    /// Attempts for one session at most, the first among them.
    pub max_attempts: Option<usize>,
    /// The longest time that a refusal may ask a viewer to wait.
    pub max_retry_after: Option<Micros>,
    /// How servers report their load.
    pub reporting: Reporting,
    /// Whether servers may be probed.
    pub may_probe: bool,
    /// The list must be subscribed to.
    pub subscribe: bool,
}

/// A server in the list.
#[derive(Clone, PartialEq, Debug)]
pub struct Entry {
    /// The server's name.
    pub server: ServerId,
    /// Its zone.
    pub zone: usize,
    /// Its kind, which tells how many streams it runs.
    pub kind: usize,
    /// Its cell, from which its rack follows.
    pub cell: usize,
    /// Whether it may be used.
    pub state: ServerState,
    /// Its size over that of others.
    pub weight: f64,
    /// Its last start, where that is known.
    pub started: Option<Micros>,
}

/// Whether a server may be used.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum ServerState {
    /// It takes new sessions.
    Up,
    /// It takes no new sessions; those that it has go on.
    Draining,
    /// It has left the list.
    Gone,
}

/// What a message about the list holds.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum ListKind {
    /// Only the entries that changed.
    Changes,
    /// All servers; what it does not name is gone.
    Full,
    /// The list as this gateway had it last; it may be old.
    Restored,
    /// A call to the list failed; it brings no entries.
    Failed,
}

/// A viewer's wish to watch a title.
#[derive(Clone, PartialEq, Debug)]
pub struct Viewing {
    /// Its class.
    pub class: usize,
    /// The title.
    pub title: String,
    /// Time before the viewer stops waiting.
    pub left: Micros,
    /// Guessed length, where one is given.
    pub hint: Option<Micros>,
    /// First cell that holds the title, and how many in a row do.
    pub home: usize,
    /// How many cells hold the title, from `home` on.
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

/// How an attempt or a probe ended.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Status {
    /// The session played, or the probe was answered.
    Ok,
    /// The server tried and failed.
    Failed,
    /// The server has no room; nothing ran.
    Full,
    /// Nothing was heard in time.
    TimedOut,
    /// No connection came up; nothing ran.
    ConnectError,
    /// The connection broke; it may have run.
    Reset,
    /// The viewer left, or the attempt was withdrawn.
    Cancelled,
    /// Never sent.
    Ignored,
}

/// News on a session.
#[derive(Clone, Copy, PartialEq, Debug)]
pub enum Note {
    /// Share of their rates that sessions on its server get.
    Delivered(f64),
    /// The rung that the session is served at.
    Rung(usize),
    /// What is asked of the server's link over what it gives.
    LinkAsked(f64),
    /// The same of its rack's uplink.
    UplinkAsked(f64),
}

/// What happens.
#[derive(Clone, PartialEq, Debug)]
pub enum Event {
    /// The list of servers, or changes to it.
    List {
        /// What `entries` holds.
        kind: ListKind,
        /// The servers that it names.
        entries: Vec<Entry>,
    },
    /// A viewer asks for a session.
    Request {
        /// The request's number.
        id: RequestId,
        /// What is asked for.
        viewing: Viewing,
    },
    /// A session handed over at the start, playing already.
    Open {
        /// The session's number.
        id: RequestId,
        /// What it plays.
        viewing: Viewing,
        /// Where it plays.
        server: ServerId,
    },
    /// An attempt has led to a session that plays.
    Playing {
        /// The session's number.
        id: RequestId,
        /// The attempt, counted from 0.
        attempt: usize,
    },
    /// An attempt has ended, or the session that it led to.
    Outcome {
        /// The session's number.
        id: RequestId,
        /// The attempt, counted from 0.
        attempt: usize,
        /// How it ended.
        status: Status,
        /// The session needs no further attempt.
        closed: bool,
        /// The load that the server reported with it.
        report: Report,
    },
    /// News on a session that plays.
    Noted {
        /// The session's number.
        id: RequestId,
        /// Where it plays.
        server: ServerId,
        /// The news.
        note: Note,
    },
    /// A probe has ended.
    Probed {
        /// The server that was probed.
        server: ServerId,
        /// How it ended.
        status: Status,
        /// The load that the server reported.
        report: Report,
    },
    /// The viewer left.
    Gone {
        /// The request's number.
        id: RequestId,
    },
    /// A time that an [`Action::Alarm`] named has come.
    Alarm {
        /// The token of that action.
        token: u64,
    },
}

/// What is to be done.
#[derive(Clone, PartialEq, Debug)]
pub enum Action {
    /// Serve a session at a rung.
    Rate {
        /// The session's number.
        id: RequestId,
        /// The rung.
        rung: usize,
    },
    /// Make an attempt at a server.
    Send {
        /// The session's number.
        id: RequestId,
        /// The server.
        server: ServerId,
        /// The time after which the attempt is withdrawn.
        timeout: Micros,
    },
    /// Answer a request: refused, asking again is harmless.
    Refuse {
        /// The request's number.
        id: RequestId,
        /// When to come back, where that may be told.
        retry_after: Option<Micros>,
    },
    /// Answer a request: failed.
    Fail {
        /// The request's number.
        id: RequestId,
    },
    /// Ask a server for its load, or whether it can be reached.
    Probe {
        /// The server.
        server: ServerId,
    },
    /// Follow the list's changes from now on.
    Subscribe,
    /// Ask for the whole list once.
    Fetch,
    /// Give an [`Event::Alarm`] at a time.
    Alarm {
        /// The token that it is to carry.
        token: u64,
        /// The time.
        at: Micros,
    },
}

/// Why a session was not placed, for the log.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub enum RefusalReason {
    /// Too little of the viewer's time is left for an attempt.
    NoTime,
    /// The class has no free seat for the title.
    NoSeat,
    /// A further attempt is forbidden: by the class, by their number, or by the budget.
    RetryLimit,
    /// No listed server that takes sessions holds the title, beside those that were tried.
    NoHolder,
    /// All holders that are left did not answer of late.
    Unresponsive,
    /// All holders that are left failed of late, started of late or deliver too little.
    Avoided,
    /// The least loaded holder has too little room for the lowest rung.
    NoRoom,
}

/// What a placement was decided on, for the log.
#[derive(Clone, Copy, PartialEq, Debug)]
pub struct Placement {
    /// The rack of the chosen server.
    pub rack: usize,
    /// What the rack's uplink is taken to give, in kB a second.
    pub uplink: f64,
    /// What the link of the chosen server was taken to be asked, over what it gives.
    pub link_use: f64,
    /// The same of its rack's uplink.
    pub uplink_use: f64,
    /// The age of the server's last load report, if there is one.
    pub report_age: Option<Micros>,
    /// The age of the last report on the uplink, if there is one.
    pub uplink_report_age: Option<Micros>,
    /// What all other gateways were taken to ask of an average server, over its size.
    pub others: f64,
    /// The room that the rung had to fit, in kB a second.
    pub room: f64,
    /// The rate of the rung, in kB a second.
    pub rate: f64,
}
