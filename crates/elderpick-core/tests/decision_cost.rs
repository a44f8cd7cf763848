//! What a decision costs, by the number of sessions held.

mod common;

use std::time::{Duration, Instant};

use common::*;
use elderpick_core::api::*;

const SERVERS: usize = 8;
/// Requests in one round; the fastest of the rounds counts, so that other work on the machine does not.
const REQUESTS: usize = 200;
const ROUNDS: usize = 12;
/// Sessions held: as many as the price is worked out on at most, and many more.
const FEW: usize = 100;
const MANY: usize = 30_000;
/// A decision may cost so many times as much with many sessions held as with few.
const MOST_GROWTH: f64 = 2.0;

fn full_gateway(held: usize) -> Gateway {
    let classes = vec![Class { seats: Some(usize::MAX), ..class(Effect::Free) }];
    let budget = Some(BudgetRule { free: 5.0, share: 0.2, window: 3_600 * SECOND });
    let mut gateway = Gateway::new(Settings { budget, ..settings(classes) }, in_own_cells(SERVERS));
    for session in 0..held {
        let id = RequestId(u64::MAX - session as u64);
        let server = server(&format!("s{}", session % SERVERS));
        gateway.handle(Event::Open { id, viewing: viewing(0), server });
    }
    gateway
}

/// The time of one round of requests that find no room, as their viewers come again at once.
fn round(gateway: &mut Gateway) -> Duration {
    let began = Instant::now();
    for _ in 0..REQUESTS {
        gateway.now += MS;
        let (id, _) = gateway.request(viewing(0));
        gateway.handle(Event::Gone { id });
        gateway.handle(Event::Outcome {
            id,
            attempt: 0,
            status: Status::Cancelled,
            closed: true,
            report: Report::default(),
        });
    }
    began.elapsed()
}

fn fastest_round(held: usize) -> Duration {
    let mut gateway = full_gateway(held);
    (0..ROUNDS).map(|_| round(&mut gateway)).min().expect("rounds")
}

/// Guards against requests that each pass over all sessions held: a gateway with many was busy with them for seconds.
#[test]
fn a_decision_costs_the_same_however_many_sessions_are_held() {
    let (few, many) = (fastest_round(FEW), fastest_round(MANY));
    let growth = many.as_secs_f64() / few.as_secs_f64();
    assert!(growth <= MOST_GROWTH, "{few:?} with {FEW} sessions, {many:?} with {MANY}: {growth:.1} times");
}
