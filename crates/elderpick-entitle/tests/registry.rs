//! The registry in the cases that it must survive.

use elderpick_entitle::log::Record;
use elderpick_entitle::registry::{Denied, Held, Revoked, Rules, SeatId, SeatRegistry};
use elderpick_entitle::sheet::{Devices, Licence, LicenceSheet, Term};
use elderpick_entitle::token::Claims;
use elderpick_entitle::{Micros, Times};

const S: Micros = 1_000_000;
const FAR: Micros = 1_000_000 * S;

fn rules() -> Rules {
    Rules { me: 0, grace: 2 * S, skew: S, linger: 5 * S, hold: 20 * S, most: 20_000 }
}

fn licence(seats: u32, devices: Devices) -> Licence {
    Licence { name: "course".into(), tenant: "t".into(), classes: vec!["exam".into()], seats, devices }
}

fn term(from: Micros, until: Micros, licence: Licence) -> Term {
    let licences = [(licence.name.clone(), licence)].into();
    Term { from, until, gateways: vec![0], block: 20_000, licences }
}

fn sheet(seats: u32, devices: Devices) -> LicenceSheet {
    let at = [(1, "http://other".to_owned())].into();
    LicenceSheet { terms: vec![term(-FAR, FAR, licence(seats, devices))], at }
}

fn registry(seats: u32) -> SeatRegistry {
    SeatRegistry::new(rules(), sheet(seats, Devices::Refuse))
}

fn at(seconds: f64) -> Times {
    let us = (seconds * 1e6) as Micros;
    Times { mono: us, wall: us }
}

fn token(holder: &str, expires: f64) -> Claims {
    Claims {
        issuer: None,
        audience: vec![],
        holder: holder.into(),
        id: format!("{holder}@{expires}"),
        not_before: None,
        expires: (expires * 1e6) as Micros,
        tenant: "t".into(),
        licence: "course".into(),
        classes: vec![],
        titles: vec![],
    }
}

fn ask(registry: &mut SeatRegistry, t: Times, claims: &Claims, device: u64) -> Result<Held, Denied> {
    registry.admit(t, claims, device, "exam", "carex")
}

/// Takes a seat and lets it play.
fn plays(registry: &mut SeatRegistry, t: Times, claims: &Claims) -> SeatId {
    let held = ask(registry, t, claims, 1).expect("a seat");
    registry.answered(t, held.seat, true);
    held.seat
}

#[test]
fn a_retry_and_a_renewal_take_no_second_seat_and_the_last_seat_is_the_last() {
    let mut registry = registry(2);
    let a = plays(&mut registry, at(0.0), &token("a", 60.0));
    let again = ask(&mut registry, at(1.0), &token("a", 60.0), 1).unwrap();
    assert_eq!((again.seat, again.fresh), (a, false));
    registry.answered(at(1.0), a, true);
    assert_eq!(ask(&mut registry, at(2.0), &token("a", 90.0), 1).map(|h| h.seat), Ok(a));
    registry.answered(at(2.0), a, true);
    plays(&mut registry, at(3.0), &token("b", 60.0));
    assert_eq!(ask(&mut registry, at(3.0), &token("c", 60.0), 1), Err(Denied::Full));
    assert_eq!(registry.take_records().len(), 2, "two seats taken, nothing else to keep");
}

#[test]
fn renewal_and_expiry_of_one_moment_have_one_outcome() {
    // The right ends at 60 s and the grace, 62 s.
    let end = Times { mono: 62 * S, wall: 62 * S };
    let just_before = Times { mono: 62 * S - 1, wall: 62 * S - 1 };
    let fresh = token("a", 120.0);
    let mut before = registry(1);
    let seat = plays(&mut before, at(0.0), &token("a", 60.0));
    assert_eq!(before.renew(just_before, seat, &fresh, "exam", "carex"), Ok(()));
    before.advance(end);
    assert!(before.lasts(seat) && before.take_lapsed().is_empty());
    for advance_first in [true, false] {
        let mut at_end = registry(1);
        let seat = plays(&mut at_end, at(0.0), &token("a", 60.0));
        if advance_first {
            at_end.advance(end);
        }
        assert_eq!(at_end.renew(end, seat, &fresh, "exam", "carex"), Err(Denied::Ended));
        assert_eq!(ask(&mut at_end, end, &fresh, 1), Err(Denied::Ending), "it is being ended");
        assert_eq!(ask(&mut at_end, end, &token("b", 120.0), 1), Err(Denied::Full), "not free before that");
        assert_eq!(at_end.take_lapsed(), [seat]);
        at_end.over(end, seat, false, true);
        at_end.over(end, seat, false, true);
        assert_eq!((at_end.taken(), at_end.counts.freed), (0, 1), "free exactly once");
        assert!(ask(&mut at_end, end, &token("b", 120.0), 1).unwrap().fresh);
    }
}

#[test]
fn a_set_up_that_fails_or_a_viewer_that_leaves_before_it_gives_the_seat_back() {
    let mut registry = registry(1);
    let held = ask(&mut registry, at(0.0), &token("a", 60.0), 1).unwrap();
    assert_eq!(ask(&mut registry, at(0.0), &token("b", 60.0), 1), Err(Denied::Full));
    // Two tries of it are on their way: the seat is free when both are answered.
    ask(&mut registry, at(0.1), &token("a", 60.0), 1).unwrap();
    registry.answered(at(0.2), held.seat, false);
    assert_eq!(registry.taken(), 1);
    registry.answered(at(0.3), held.seat, false);
    assert_eq!(registry.taken(), 0);
    assert!(matches!(registry.take_records()[..], [Record::Taken { .. }, Record::Freed { .. }]));
}

#[test]
fn a_seat_whose_host_died_waits_for_its_holder_and_no_longer_than_stated() {
    let mut registry = registry(1);
    let seat = plays(&mut registry, at(0.0), &token("a", 60.0));
    registry.over(at(10.0), seat, false, false);
    assert_eq!(ask(&mut registry, at(14.9), &token("b", 60.0), 1), Err(Denied::Full));
    // Its holder comes back on another device: nothing plays, so it may.
    assert_eq!(
        ask(&mut registry, at(14.95), &token("a", 60.0), 9).map(|h| (h.seat, h.fresh)),
        Ok((seat, false))
    );
    registry.answered(at(14.95), seat, true);
    registry.over(at(20.0), seat, false, false);
    assert!(ask(&mut registry, at(25.0), &token("b", 60.0), 1).is_ok(), "free at the end of the linger");
}

#[test]
fn two_devices_do_what_the_licence_says() {
    let mut refuses = registry(1);
    plays(&mut refuses, at(0.0), &token("a", 60.0));
    assert_eq!(ask(&mut refuses, at(1.0), &token("a", 60.0), 2), Err(Denied::Device));
    let mut takes = SeatRegistry::new(rules(), sheet(1, Devices::TakeOver));
    let seat = plays(&mut takes, at(0.0), &token("a", 60.0));
    let second = ask(&mut takes, at(1.0), &token("a", 60.0), 2).unwrap();
    assert_eq!((second.seat, second.fresh, second.takes_over), (seat, false, true));
    // The first device's session ends while the second's is set up.
    takes.over(at(1.1), seat, true, false);
    takes.answered(at(1.2), seat, true);
    assert_eq!((takes.taken(), takes.counts.taken_over), (1, 1));
}

#[test]
fn steps_of_the_wall_clock_end_no_lease_and_give_no_seat() {
    let mut registry = registry(2);
    let seat = plays(&mut registry, at(0.0), &token("a", 60.0));
    for step in [30.0, -30.0, 3600.0, -3600.0] {
        let t = Times { mono: 5 * S, wall: 5 * S + (step * 1e6) as Micros };
        registry.advance(t);
        assert!(registry.lasts(seat), "step of {step} s");
        assert_eq!(ask(&mut registry, t, &token("b", 9000.0), 1), Err(Denied::Clock), "step of {step} s");
    }
    // Back within the skew it is trusted again.
    let t = Times { mono: 6 * S, wall: 6 * S + S };
    let b = ask(&mut registry, t, &token("b", 60.0), 1).unwrap();
    registry.answered(t, b.seat, false);
    // A step that lasts as long as the hold is taken for the truth.
    let later = |mono: Micros| Times { mono: mono * S, wall: (mono + 500) * S };
    assert_eq!(ask(&mut registry, later(7), &token("b", 900.0), 1), Err(Denied::Clock));
    assert_eq!(ask(&mut registry, later(26), &token("b", 900.0), 1), Err(Denied::Clock));
    assert!(ask(&mut registry, later(27), &token("b", 900.0), 1).is_ok());
    registry.advance(Times { mono: 62 * S, wall: 562 * S });
    assert!(!registry.lasts(seat), "the lease ended by the monotonic clock");
}

#[test]
fn ten_thousand_ends_of_one_moment_are_each_free_once() {
    let mut registry = registry(10_000);
    for k in 0..10_000 {
        plays(&mut registry, at(0.0), &token(&format!("h{k}"), 60.0));
    }
    registry.advance(at(62.0));
    let lapsed = registry.take_lapsed();
    assert_eq!((lapsed.len(), registry.taken()), (10_000, 10_000));
    lapsed.into_iter().for_each(|seat| registry.over(at(62.0), seat, false, true));
    assert_eq!((registry.taken(), registry.counts.freed, registry.next_end()), (0, 10_000, None));
}

#[test]
fn a_licence_shrunk_below_its_use_gives_no_seat_until_it_is_under_again() {
    let next = |seats| {
        let mut sheet = sheet(3, Devices::Refuse);
        sheet.terms[0].until = 100 * S;
        sheet.terms.push(term(100 * S, FAR, licence(seats, Devices::Refuse)));
        sheet
    };
    let mut registry = SeatRegistry::new(rules(), next(1));
    let all: Vec<SeatId> = ["a", "b", "c"].map(|h| plays(&mut registry, at(1.0), &token(h, 900.0))).into();
    registry.advance(at(102.0));
    assert!(all.iter().all(|&s| registry.lasts(s)), "what plays goes on");
    for (k, &seat) in all.iter().enumerate() {
        assert_eq!(ask(&mut registry, at(103.0), &token("d", 900.0), 1), Err(Denied::Full), "{k} over");
        registry.over(at(103.0), seat, false, true);
    }
    assert!(ask(&mut registry, at(103.0), &token("d", 900.0), 1).is_ok());
}

#[test]
fn a_right_ends_with_the_last_known_term_and_goes_on_when_the_next_is_told() {
    let mut short = sheet(1, Devices::Refuse);
    short.terms[0].until = 100 * S;
    let mut longer = short.clone();
    longer.terms.push(term(100 * S, FAR, licence(1, Devices::Refuse)));
    for told in [false, true] {
        let mut registry = SeatRegistry::new(rules(), short.clone());
        let seat = plays(&mut registry, at(0.0), &token("a", 500.0));
        if told {
            registry.sheet(at(50.0), longer.clone()).unwrap();
        }
        // The skew before the end, another gateway's clock may have turned.
        registry.advance(at(99.0));
        assert_eq!(registry.lasts(seat), told);
    }
    let mut changed = short.clone();
    changed.terms[0].licences.get_mut("course").unwrap().seats = 5;
    let mut registry = SeatRegistry::new(rules(), short);
    assert!(registry.sheet(at(50.0), changed).is_err(), "a running term stays as it is");
}

#[test]
fn a_seat_of_another_gateway_is_named_and_never_given() {
    let mut all = sheet(1, Devices::Refuse);
    all.terms[0].gateways = vec![1];
    let mut registry = SeatRegistry::new(rules(), all);
    let elsewhere = Denied::Elsewhere { gateway: 1, at: Some("http://other".into()) };
    assert_eq!(ask(&mut registry, at(0.0), &token("a", 60.0), 1), Err(elsewhere));
    assert_eq!((registry.taken(), registry.counts.sent_on), (0, 1));
}

#[test]
fn what_the_log_tells_counts_for_the_hold_and_is_its_holders() {
    let mut registry = registry(2);
    let t = at(1000.0);
    registry.find(t, SeatId(7), "course", "a");
    registry.find(t, SeatId(8), "course", "b");
    assert_eq!(ask(&mut registry, t, &token("c", 2000.0), 1), Err(Denied::Full));
    assert_eq!(
        ask(&mut registry, t, &token("a", 2000.0), 5).map(|h| (h.seat, h.fresh)),
        Ok((SeatId(7), false))
    );
    registry.answered(t, SeatId(7), true);
    registry.advance(at(1020.0));
    assert!(registry.lasts(SeatId(7)) && !registry.lasts(SeatId(8)));
    assert!(ask(&mut registry, at(1020.0), &token("c", 2000.0), 1).is_ok_and(|h| h.seat > SeatId(8)));
}

#[test]
fn after_damage_nothing_new_is_given_for_the_hold_and_a_disk_that_fails_stops_no_player() {
    let mut registry = registry(2);
    registry.close(at(0.0));
    assert_eq!(ask(&mut registry, at(19.9), &token("a", 60.0), 1), Err(Denied::Closed { until: 20 * S }));
    let seat = plays(&mut registry, at(20.0), &token("a", 60.0));
    registry.keeps(false);
    assert_eq!(ask(&mut registry, at(21.0), &token("b", 60.0), 1), Err(Denied::NoState));
    assert!(ask(&mut registry, at(21.0), &token("a", 60.0), 1).is_ok() && registry.lasts(seat));
    assert_eq!(registry.renew(at(21.0), seat, &token("a", 90.0), "exam", "carex"), Ok(()));
}

#[test]
fn what_is_withdrawn_ends_and_comes_not_again() {
    let list = Revoked::read("r", "# gone\ntoken b@60\n\nholder a\n").unwrap();
    let mut registry = registry(3);
    let [a, b, c] = ["a", "b", "c"].map(|h| plays(&mut registry, at(0.0), &token(h, 60.0)));
    registry.revoke(at(1.0), list);
    assert_eq!(registry.take_lapsed(), [a, b]);
    assert!(registry.lasts(c));
    assert_eq!(ask(&mut registry, at(1.0), &token("a", 90.0), 1), Err(Denied::Revoked));
    assert!(Revoked::read("r", "token x\nwhat y").unwrap_err().starts_with("r:2:"));
    assert!(Revoked::read("r", "token").unwrap_err().starts_with("r:1:"));
}

#[test]
fn a_token_is_held_to_its_classes_titles_tenant_and_licence() {
    let mut registry = registry(1);
    let other = |f: &dyn Fn(&mut Claims)| {
        let mut claims = token("a", 60.0);
        f(&mut claims);
        claims
    };
    let cases = [
        (other(&|c| c.classes = vec!["other".into()]), Denied::Class),
        (other(&|c| c.titles = vec!["poa*".into()]), Denied::Title),
        (other(&|c| c.tenant = "u".into()), Denied::Licence),
        (other(&|c| c.licence = "none".into()), Denied::Licence),
        (token("a", -3.0), Denied::Ended),
    ];
    for (claims, why) in cases {
        assert_eq!(ask(&mut registry, at(0.0), &claims, 1), Err(why));
    }
    assert_eq!(registry.admit(at(0.0), &token("a", 60.0), 1, "zoom", "carex"), Err(Denied::Licence));
    assert_eq!(registry.taken(), 0);
}
