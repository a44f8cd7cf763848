//! What timers leave in memory, in virtual time.

mod common;

use bytes::Bytes;
use elderpick_core::Controller;
use elderpick_core::api::*;
use elderpick_platform::journal::Listed;
use elderpick_platform::viewer::{Figures, SetUp, cause};
use elderpick_sessions::lifecycle::{Input, Lifecycle, Output};

use common::{MS, listed, settings};

/// As long as a viewer may wait at all.
const AN_HOUR_MS: u64 = 3_600_000;
const REQUESTS: u64 = 50_000;
/// Open requests, and as many timers that no longer matter, twice over.
const MOST_TIMERS: usize = 4 * 1_024;
const CONN: u64 = 5;

fn set_up(session: u64) -> SetUp {
    let figures = Figures { home: 0, copies: 1, top: None, at: None };
    let (class, title) = ("paid".to_owned(), "t".to_owned());
    SetUp {
        session,
        class,
        patience_ms: AN_HOUR_MS,
        title,
        figures,
        description: Bytes::from_static(b"offer"),
    }
}

fn gateway() -> Lifecycle {
    let classes = vec!["free".to_owned(), "paid".to_owned()];
    Lifecycle::new(Controller::new(1, settings()), classes, settings().cells)
}

fn host() -> Listed {
    listed(0, ServerState::Up, None)
}

/// A gateway that asks each request's host, or refuses all since it has none.
fn most_timers(hosts: Vec<Listed>) -> usize {
    let mut lifecycle = gateway();
    let (mut now, mut out, mut most) = (1_000_000 * MS, Vec::new(), 0);
    lifecycle.handle(now, Input::List { kind: ListKind::Full, hosts }, &mut out);
    for session in 0..REQUESTS {
        now += MS;
        lifecycle.handle(
            now,
            Input::SetUp { conn: CONN, received_at: now, set_up: set_up(session) },
            &mut out,
        );
        lifecycle.handle(now, Input::Release { conn: CONN, session, cause: cause::GIVEN_UP }, &mut out);
        most = most.max(lifecycle.timer_count());
        out.clear();
    }
    most
}

/// Guards against an alarm and a time-out that stay for as long as a viewer said to wait, whose request is over.
#[test]
fn requests_that_are_withdrawn_leave_no_timers_behind() {
    let most = most_timers(vec![host()]);
    assert!(most <= MOST_TIMERS, "{most} timers with one request open");
}

/// The same for requests that are refused.
#[test]
fn requests_that_are_refused_leave_no_timers_behind() {
    let most = most_timers(Vec::new());
    assert!(most <= MOST_TIMERS, "{most} timers with no request open");
}

/// The same for sessions that are served and end.
#[test]
fn sessions_that_have_ended_leave_no_timers_behind() {
    let mut lifecycle = gateway();
    let (mut now, mut out, mut most) = (1_000_000 * MS, Vec::new(), 0);
    let hosts = vec![host()];
    lifecycle.handle(now, Input::List { kind: ListKind::Full, hosts }, &mut out);
    for session in 0..REQUESTS {
        now += MS;
        out.clear();
        lifecycle.handle(
            now,
            Input::SetUp { conn: CONN, received_at: now, set_up: set_up(session) },
            &mut out,
        );
        let sent = out.iter().find_map(|output| match output {
            Output::SetUp { server, attempt, .. } => Some((server.clone(), *attempt)),
            _ => None,
        });
        let (server, attempt) = sent.expect("an idle host takes it");
        let description = Bytes::from_static(b"answer");
        let answer = Input::Answer {
            server: server.clone(),
            session,
            attempt: Some(attempt),
            description,
            ended: None,
        };
        lifecycle.handle(now, answer, &mut out);
        let (cause, report) = (cause::GIVEN_UP, Report::default());
        lifecycle.handle(now, Input::Released { server, session, attempt: None, cause, report }, &mut out);
        most = most.max(lifecycle.timer_count());
    }
    assert!(most <= MOST_TIMERS, "{most} timers with no request open");
}
