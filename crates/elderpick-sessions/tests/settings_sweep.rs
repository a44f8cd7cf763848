//! The session lifecycle under settings that no deployment at hand has: each field at its least, its most, missing, or
//! random by fixed seeds, among hosts that hang, are cut off, vanish and come back for longer than anything is waited for.
//! `common` has the world and its judge. What breaks a rule is made smaller: fewer steps, then the ordinary settings field
//! by field, so that the message names what it takes.

mod common;

use common::{Conditions, DOUBLES, MS, Wrong, class, play, settings};
use elderpick_core::api::*;

const SECOND: Micros = 1_000 * MS;

/// Numbers by chance from a seed: SplitMix64.
struct Chance(u64);

impl Chance {
    fn below(&mut self, end: usize) -> usize {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut z = self.0;
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        ((z ^ (z >> 31)) % end.max(1) as u64) as usize
    }

    fn one<T: Clone>(&mut self, of: &[T]) -> T {
        of[self.below(of.len())].clone()
    }
}

/// A class with each field at one of its ends or in between.
fn any_class(chance: &mut Chance) -> Class {
    Class {
        effect: chance.one(&[Effect::Free, Effect::Guarded, Effect::SingleShot]),
        // Where only a group may try again, what may be refused is narrower than the judge tells.
        group: Group::All,
        window: chance.one(&[0, 50 * MS, 5 * SECOND, 3_600 * SECOND]),
        aim: chance.one(&[0, 1, 50 * MS, SECOND, 3_600 * SECOND]),
        worth: chance.one(&[0.0, 0.001, 1.0, 1e9]),
        scale: chance.one(&[0.0, 0.01, 1.0, 100.0]),
        floor: chance.one(&[0, 1, 5, 300]),
        top: chance.one(&[0, 1, 5, usize::MAX]),
        seats: chance.one(&[None, Some(1), Some(2), Some(10_000)]),
    }
}

fn any_ladder(chance: &mut Chance) -> Vec<f64> {
    let rungs = chance.one(&[0, 1, 2, 6, 40]);
    (0..rungs).map(|rung| 100.0 * (rung + 1) as f64).collect()
}

/// What one field, or those that belong together, are changed to.
type Change = Box<dyn Fn(&mut Conditions)>;

/// The fields of the settings, one change each: what is left out of a case is as in the ordinary settings.
fn changes(seed: u64) -> Vec<Change> {
    let mut chance = Chance(seed);
    let mut all: Vec<Change> = Vec::new();
    let classes: Vec<_> = (0..=chance.below(6)).map(|_| any_class(&mut chance)).collect();
    all.push(Box::new(move |c| c.settings.classes = classes.clone()));
    let ladder = any_ladder(&mut chance);
    let worth: Vec<f64> = ladder.iter().skip(chance.below(3)).map(|kb| kb / 1_000.0).collect();
    all.push(Box::new(move |c| {
        (c.settings.rung_kb, c.settings.rung_worth) = (ladder.clone(), worth.clone())
    }));
    let fleet = (chance.one(&[0, 1, 30, 350]), chance.one(&[0, 7, 400]));
    all.push(Box::new(move |c| (c.settings.gateways, c.settings.me) = fleet));
    let zone = chance.one(&[0, 3, 1_000]);
    all.push(Box::new(move |c| c.settings.zone = zone));
    let cells = chance.one(&[None, Some(0), Some(1), Some(4), Some(500)]);
    all.push(Box::new(move |c| c.settings.cells = cells));
    let racks = (chance.one(&[None, Some(0), Some(1), Some(7)]), chance.one(&[None, Some(0.0), Some(1e6)]));
    all.push(Box::new(move |c| (c.settings.racks, c.settings.rack_kb) = racks));
    let links = (chance.one(&[None, Some(0.0), Some(1e6)]), chance.one(&[None, Some(0.0), Some(1e6)]));
    all.push(Box::new(move |c| (c.settings.links_kb, c.settings.kb_per_weight) = links));
    let places = chance.one(&[vec![], vec![0.0], vec![1.0, 9.0], vec![2_000.0]]);
    all.push(Box::new(move |c| c.settings.places = places.clone()));
    let (see, weights) = (chance.one(&[0, 500 * MS, 60 * SECOND]), chance.one(&[true, false]));
    all.push(Box::new(move |c| (c.settings.see, c.settings.weights) = (see, weights)));
    let cold = chance.one(&[
        None,
        Some(ColdRule { warm_up: 10 * SECOND, least_warmth: 0.4, multiple: 2.0, window: SECOND }),
        Some(ColdRule { warm_up: 0, least_warmth: 0.0, multiple: 0.0, window: 0 }),
        Some(ColdRule { warm_up: 3_600 * SECOND, least_warmth: 0.01, multiple: 1.0, window: 30 * SECOND }),
    ]);
    all.push(Box::new(move |c| c.settings.cold = cold));
    let budget = chance.one(&[
        None,
        Some(BudgetRule { free: 0.0, share: 0.0, window: 10 * SECOND }),
        Some(BudgetRule { free: 3.0, share: 0.2, window: 10 * SECOND }),
        Some(BudgetRule { free: 1.0, share: 1.0, window: 0 }),
    ]);
    all.push(Box::new(move |c| c.settings.budget = budget));
    let attempts = chance.one(&[None, Some(0), Some(1), Some(2), Some(50)]);
    all.push(Box::new(move |c| c.settings.max_attempts = attempts));
    let away = chance.one(&[None, Some(0), Some(1), Some(3_600 * SECOND)]);
    all.push(Box::new(move |c| c.settings.max_retry_after = away));
    let (reporting, may_probe) = (
        chance.one(&[Reporting::Never, Reporting::WhenProbed, Reporting::InAnswers]),
        chance.one(&[true, false]),
    );
    all.push(Box::new(move |c| (c.settings.reporting, c.settings.may_probe) = (reporting, may_probe)));
    let subscribe = chance.one(&[true, false]);
    all.push(Box::new(move |c| c.settings.subscribe = subscribe));
    let patience = chance.one(&[
        vec![1, 20, 59],
        vec![60, 61, 100, 200],
        vec![300, 600],
        vec![1_000, 3_000],
        vec![10_000, 12_000, 60_000],
        vec![50, 500, 5_000, 50_000, 3_600_000],
    ]);
    all.push(Box::new(move |c| c.patience = patience.clone()));
    let connect = chance.one(&[1, 20 * MS, 60 * MS, 250 * MS, SECOND, 3 * SECOND, 10 * SECOND, 600 * SECOND]);
    all.push(Box::new(move |c| c.connect = connect));
    let pace = chance.one(&[300 * MS, 5 * SECOND, 30 * SECOND]);
    all.push(Box::new(move |c| c.pace = pace));
    let outage = chance.one(&[None, Some(SECOND), Some(15 * SECOND), Some(40 * SECOND), Some(120 * SECOND)]);
    all.push(Box::new(move |c| c.outage = outage));
    all
}

/// The conditions of a seed, of which those changes are made that are not left out.
fn conditions(seed: u64, left_out: &[usize]) -> Conditions {
    let mut conditions = Conditions::default();
    let kept = changes(seed).into_iter().enumerate().filter(|(k, _)| !left_out.contains(k));
    kept.for_each(|(_, change)| change(&mut conditions));
    conditions
}

const STEPS: usize = 150;

/// The smallest case of a seed that breaks a rule, as a message.
fn shrunk(seed: u64, wrong: Wrong) -> String {
    let broken = |left_out: &[usize], steps| play(seed, wrong, conditions(seed, left_out), steps);
    let mut steps = STEPS;
    while steps > 1 && broken(&[], steps / 2).is_some() {
        steps /= 2;
    }
    let mut left_out = Vec::new();
    for k in 0..changes(seed).len() {
        left_out.push(k);
        if broken(&left_out, steps).is_none() {
            left_out.pop();
        }
    }
    let Conditions { settings, patience, connect, pace, outage } = conditions(seed, &left_out);
    let why = broken(&left_out, steps);
    format!(
        "seed {seed}, {steps} steps, {patience:?} ms, connect {connect}, pace {pace}, outage {outage:?}: {why:?}\n{settings:?}"
    )
}

#[test]
fn under_any_settings_the_rules_hold_and_nothing_is_left_over() {
    let broken = (0..600).find(|seed| play(*seed, Wrong::Nothing, conditions(*seed, &[]), STEPS).is_some());
    assert!(broken.is_none(), "{}", shrunk(broken.unwrap_or_default(), Wrong::Nothing));
}

#[test]
fn the_judge_sees_each_double_under_any_settings_and_makes_its_case_smaller() {
    // The one that mixes attempts is seen by the test of crossings.
    let doubles = DOUBLES.into_iter().filter(|wrong| *wrong != Wrong::MixesAttempts);
    for wrong in doubles {
        let seen = (0..600).find(|seed| play(*seed, wrong, conditions(*seed, &[]), STEPS).is_some());
        let seen = seen.unwrap_or_else(|| panic!("{wrong:?} goes unseen"));
        let text = shrunk(seen, wrong);
        assert!(text.contains("Some("), "{text}");
    }
}

/// One class that may be repeated, a long wait, and hosts that are cut off for longer than a minute.
#[test]
fn long_waits_and_long_outages_leave_nothing_standing() {
    for seed in 0..200 {
        let under = Conditions {
            settings: Settings {
                classes: vec![class(Effect::Free), class(Effect::SingleShot)],
                ..settings()
            },
            patience: vec![500, 20_000, 60_000],
            connect: 3 * SECOND,
            pace: 30 * SECOND,
            outage: Some(120 * SECOND),
        };
        assert_eq!(play(seed, Wrong::Nothing, under, 300), None, "seed {seed}");
    }
}
