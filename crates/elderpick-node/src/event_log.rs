//! The log of what moves a session from one state to the next, at the level `debug`, and of what operators should see
//! of it, at the level `info`. Sessions have the numbers that they have on the wire.

use std::fmt;

use elderpick_core::api::Micros;
use elderpick_sessions::lifecycle::{AROUND_ANSWER, Input, Lifecycle, Output};
use tracing::{debug, info};

/// A session's number as it is written on the wire.
struct SessionId(u64);

impl fmt::Display for SessionId {
    fn fmt(&self, out: &mut fmt::Formatter) -> fmt::Result {
        write!(out, "{:016x}", self.0)
    }
}

/// Logs what happens, before the session lifecycle is told of it.
pub(crate) fn input(lifecycle: &Lifecycle, now: Micros, input: &Input) {
    match input {
        Input::SetUp { conn, set_up, .. } => {
            let at = set_up.figures.at.as_deref();
            debug!(session = %SessionId(set_up.session), conn, class = %set_up.class, at, "set-up received");
        }
        Input::Release { conn, session, cause } => {
            debug!(session = %SessionId(*session), conn, cause, "released by its viewer");
        }
        Input::Answer { server, session, attempt, ended, .. } => {
            if let Some(cause) = ended {
                let held_us = lifecycle.answered_at(*session).map(|at| now - at);
                info!(session = %SessionId(*session), %server, cause, held_us, "ended by its host before it was answered");
            }
            debug!(session = %SessionId(*session), %server, attempt, "answered by its host");
        }
        Input::Refused { server, session, attempt, status, .. } => {
            debug!(session = %SessionId(*session), %server, attempt, ?status, "attempt refused");
        }
        Input::Released { server, session, cause, .. } => {
            let after_us = lifecycle.answered_at(*session).map(|at| now - at);
            if after_us.is_some_and(|after| after < AROUND_ANSWER) {
                info!(session = %SessionId(*session), %server, cause, after_us, "ended by its host right behind its answer");
            }
            debug!(session = %SessionId(*session), %server, cause, after_us, "released by its host");
        }
        Input::ConnectionLost { server, session, attempt, begun } => {
            debug!(session = %SessionId(*session), %server, attempt, begun, "attempt lost its connection");
        }
        Input::NotSent { server, session, attempt } => {
            debug!(session = %SessionId(*session), %server, attempt, "attempt not sent");
        }
        Input::Probed { server, status, report } => {
            debug!(%server, ?status, link = report.link, uplink = report.uplink, "load probe ended");
        }
        Input::Note { session, server, note } => {
            debug!(session = %SessionId(*session), %server, ?note, "note from a host");
        }
        Input::Opened { server, how } => debug!(%server, ?how, "host's connection opened"),
        Input::List { kind, hosts } => {
            for host in hosts {
                let (server, state, started) = (&host.entry.server, host.entry.state, host.entry.started);
                debug!(%server, address = %host.address, ?state, started, ?kind, "host listed");
            }
        }
        _ => {}
    }
}

/// Logs what the session lifecycle asks for.
pub(crate) fn output(lifecycle: &Lifecycle, output: &Output) {
    match output {
        Output::Answer { conn, session, .. } => debug!(session = %SessionId(*session), conn, "served"),
        Output::Rejected { conn, session, cause, .. } => {
            let reason = lifecycle.refusal(*session);
            debug!(session = %SessionId(*session), conn, cause, ?reason, "rejected");
        }
        Output::SessionEnded { session, cause, .. } => {
            debug!(session = %SessionId(*session), cause, "over");
        }
        Output::SetUp { server, session, attempt, rung, patience, .. } => {
            debug!(session = %SessionId(*session), %server, attempt, rung, patience, "attempt made");
            if let Some(placement) = lifecycle.placement(*session) {
                debug!(session = %SessionId(*session), %server, ?placement, "placed");
            }
        }
        Output::Rung { server, session, rung } => {
            debug!(session = %SessionId(*session), %server, rung, "rung changed");
        }
        Output::Withdraw { server, session, attempt } => {
            debug!(session = %SessionId(*session), %server, attempt, "attempt withdrawn");
        }
        Output::Release { server, session, cause } => {
            debug!(session = %SessionId(*session), %server, cause, "released at its host");
        }
        Output::Forget { server, before } => {
            info!(%server, before, "a host is given up: lost, or another process")
        }
        _ => {}
    }
}
