//! What the gateway holds of servers, racks and sessions, and the load of a link.

use std::collections::BTreeSet;

use super::occupancy::Demand;
use crate::api::{Entry, Micros, Placement, RequestId, ServerId, Viewing};

/// Part of a link that is left for the spread of true rates.
const MARGIN: f64 = 0.1;

/// What was last heard of the load of a link or uplink.
#[derive(Clone, Copy)]
pub(super) struct LoadReport {
    pub(super) at: Micros,
    /// What was asked over what it gives.
    pub(super) asked: f64,
    /// Rates of this gateway's own sessions there at the time.
    pub(super) own: f64,
}

pub(super) struct Server {
    pub(super) entry: Entry,
    /// Its size over that of others, as far as the list tells.
    pub(super) weight: f64,
    /// Own sessions there: playing, or with an attempt out.
    pub(super) sessions: BTreeSet<RequestId>,
    /// What these ask, and those whose rung is not yet this gateway's decision.
    pub(super) demand: Demand,
    pub(super) rung_pending: BTreeSet<RequestId>,
    pub(super) last_report: Option<LoadReport>,
    /// Delivered share, and when it was heard.
    pub(super) share: Option<(f64, Micros)>,
    /// When own sessions there were last cut, and for which share.
    pub(super) cut: Option<(Micros, f64)>,
    pub(super) failures: u32,
    pub(super) avoid_until: Micros,
    /// Did not answer; a session that would use it may find out from this time on whether it does.
    pub(super) retry_at: Micros,
    /// Did not answer, and no probe has reached it since.
    pub(super) unresponsive: bool,
    /// When it last answered again behind that.
    pub(super) answered_at: Micros,
    /// Seen to die, and not yet to answer again.
    pub(super) lost: bool,
    /// First answer after it was seen to die.
    pub(super) back: Option<Micros>,
    /// Set-ups given while it was cold: the turn, and how many in it.
    pub(super) given: (Micros, usize),
}

impl Server {
    pub(super) fn new(entry: Entry) -> Self {
        Server {
            entry,
            weight: 1.0,
            sessions: BTreeSet::new(),
            demand: Demand::default(),
            rung_pending: BTreeSet::new(),
            last_report: None,
            share: None,
            cut: None,
            failures: 0,
            avoid_until: 0,
            retry_at: 0,
            unresponsive: false,
            answered_at: 0,
            lost: false,
            back: None,
            given: (0, 0),
        }
    }
}

/// What a fair rung depends on.
#[derive(Clone, Copy)]
pub(super) struct Wish {
    pub(super) class: usize,
    pub(super) top: usize,
    /// This session's own view of the price.
    pub(super) spread: f64,
    pub(super) rung: usize,
}

/// An attempt that may have run, at a server that may be gone since.
pub(super) struct PastAttempt {
    pub(super) zone: usize,
    pub(super) cell: usize,
    pub(super) sent_at: Micros,
}

pub(super) struct Session {
    pub(super) wish: Wish,
    pub(super) viewing: Viewing,
    pub(super) deadline: Micros,
    /// The alarm of its deadline, while it may still be needed.
    pub(super) alarm: Option<u64>,
    pub(super) aim_deadline: Micros,
    /// Where each attempt went.
    pub(super) attempted: Vec<ServerId>,
    /// Attempts that may have run.
    pub(super) may_have_run: Vec<PastAttempt>,
    /// Where its attempt is out or it plays.
    pub(super) server: Option<ServerId>,
    pub(super) sent_at: Micros,
    /// What its last attempt was decided on.
    pub(super) placement: Option<Placement>,
    pub(super) playing: bool,
    /// Answered or given up by the viewer while an attempt is out.
    pub(super) closed: bool,
    /// Handed over at the start, and its rung not yet this gateway's decision.
    pub(super) rung_pending: bool,
}

/// Which servers in doubtful health a draw takes.
#[derive(Clone, Copy)]
pub(super) struct Use {
    /// Those that failed, since most do and the cause is shared.
    pub(super) shared: bool,
    /// Those that did not answer, since no others are left.
    pub(super) untested: bool,
}

/// Capacity of a link or uplink and what is asked of it, in kB a second.
#[derive(Clone, Copy)]
pub(super) struct Load {
    pub(super) link: f64,
    pub(super) asked: f64,
}

impl Load {
    pub(super) fn room(self) -> f64 {
        self.link * (1.0 - MARGIN) - self.asked
    }

    pub(super) fn share(self) -> f64 {
        if self.link > 0.0 { self.asked / self.link } else { f64::INFINITY }
    }
}
