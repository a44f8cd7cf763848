//! Draws of holders, beside the plain rule: any holder that may be sent to, large ones as much more often as they are
//! larger.

mod common;

use std::collections::{BTreeMap, BTreeSet};

use common::*;
use elderpick_core::api::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

const CELLS: usize = 6;

/// What the list last told of each server.
type Listed = BTreeMap<ServerId, Entry>;

fn fleet_settings() -> Settings {
    Settings {
        cells: Some(CELLS),
        racks: Some(3),
        rack_kb: Some(3_000.0),
        ..settings(vec![class(Effect::Free)])
    }
}

fn where_sent(actions: &[Action]) -> Option<ServerId> {
    actions.iter().find_map(|action| match action {
        Action::Send { server, .. } => Some(server.clone()),
        _ => None,
    })
}

fn holds(entry: &Entry, home: usize, copies: usize) -> bool {
    (entry.cell % CELLS + CELLS - home % CELLS) % CELLS < copies
}

fn change() -> impl Strategy<Value = (usize, usize, usize, u8)> {
    (0..24_usize, 0..9_usize, 0..4_usize, 1..4_u8)
}

proptest! {
    #![proptest_config(Config { cases: 96, rng_seed: RngSeed::Fixed(20_261_206), ..Config::default() })]

    /// Guards against holders that are never drawn, or drawn though the list does not let them be, after any row of
    /// changes: entries named twice, cells and weights that change, whole lists, servers that come back.
    #[test]
    fn the_same_servers_are_drawn_as_by_a_look_at_all(
        changes in prop::collection::vec(change(), 1..80),
        home in 0..CELLS,
        copies in 1..9_usize,
    ) {
        let mut gateway = Gateway::new(fleet_settings(), Vec::new());
        let mut listed = Listed::new();
        for (number, cell, state, weight) in changes {
            let is_whole = state == 3;
            let state = [ServerState::Up, ServerState::Draining, ServerState::Gone, ServerState::Up][state];
            let entry = Entry { cell, state, weight: f64::from(weight), ..entry(&format!("s{number}")) };
            gateway.now += SECOND;
            listed.insert(entry.server.clone(), entry.clone());
            if is_whole {
                // The whole list, without every third.
                let mut index = 0;
                listed.retain(|_, _| { index += 1; index % 3 != 0 });
                gateway.list(ListKind::Full, listed.values().cloned().collect());
            } else {
                gateway.list(ListKind::Changes, vec![Entry { cell: 0, ..entry.clone() }, entry]);
            }
        }
        let holders: BTreeSet<_> = listed
            .values()
            .filter(|entry| entry.state == ServerState::Up && holds(entry, home, copies))
            .map(|entry| entry.server.clone())
            .collect();
        let mut sent = BTreeSet::new();
        for _ in 0..(60 * holders.len()).max(4) {
            let (id, actions) = gateway.request(Viewing { home, copies, ..viewing(0) });
            let Some(server) = where_sent(&actions) else { continue };
            prop_assert!(holders.contains(&server), "{server} holds nothing of it");
            sent.insert(server);
            gateway.end(id, 0);
        }
        prop_assert_eq!(sent, holders);
    }
}

/// The first holder that the plain rule takes: of all servers in a random order, the first that passes by its size.
fn plain_draw(rng: &mut ChaCha8Rng, servers: &[Entry], home: usize, copies: usize) -> ServerId {
    let largest = servers.iter().map(|entry| entry.weight).fold(0.0, f64::max);
    for by_size in [true, false] {
        let mut order: Vec<_> = servers.iter().collect();
        order.shuffle(rng);
        let passes = |entry: &&Entry, chance: f64| !by_size || chance * largest <= entry.weight;
        let holders = order.into_iter().filter(|entry| holds(entry, home, copies));
        let chances: Vec<_> = holders.map(|entry| (entry, rng.random::<f64>())).collect();
        if let Some((entry, _)) = chances.into_iter().find(|(entry, chance)| passes(entry, *chance)) {
            return entry.server.clone();
        }
    }
    unreachable!("there are holders")
}

/// Guards against draws that favour a server for its place in a list: each of a title's holders comes first as often as
/// by a look at all servers.
#[test]
fn holders_come_first_as_often_as_by_a_look_at_all() {
    const DRAWS: usize = 40_000;
    /// Of the count that is expected; over six of its standard deviations.
    const CHANCE: f64 = 0.1;
    // Two cells of three, weights 1 to 3; all others hold nothing of it.
    let servers: Vec<_> = (0..18)
        .map(|number| Entry {
            cell: number % CELLS,
            weight: (number / CELLS + 1) as f64,
            ..entry(&format!("s{number}"))
        })
        .collect();
    let settings = Settings { racks: None, ..fleet_settings() };
    let mut rng = ChaCha8Rng::seed_from_u64(20_261_206);
    let (mut first, mut plain) = (BTreeMap::<_, usize>::new(), BTreeMap::<_, usize>::new());
    for seed in 0..DRAWS as u64 {
        let mut gateway = Gateway::seeded(seed, settings.clone(), servers.clone());
        // All are idle, so that the first that is drawn is taken.
        let (_, actions) = gateway.request(Viewing { home: 1, copies: 2, ..viewing(0) });
        *first.entry(where_sent(&actions).expect("there is room")).or_default() += 1;
        *plain.entry(plain_draw(&mut rng, &servers, 1, 2)).or_default() += 1;
    }
    assert_eq!(first.len(), 6);
    for (server, expected) in plain {
        let (found, expected) = (first[&server] as f64, expected as f64);
        assert!((found - expected).abs() < CHANCE * expected, "{server}: {found} of {expected}");
    }
}
