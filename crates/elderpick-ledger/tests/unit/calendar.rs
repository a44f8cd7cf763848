//! Unit tests of `calendar.rs`.

use proptest::prelude::*;

use super::*;

const HOUR: Micros = 3_600_000_000;

fn at(text: &str) -> Micros {
    text.parse::<Timestamp>().unwrap().as_microsecond()
}

fn calendar(zone: &str, every: Every) -> Calendar {
    Calendar::new(zone, every, HOUR).unwrap()
}

#[test]
fn months_end_where_the_place_says() {
    let dublin = calendar("Europe/Dublin", Every::Month);
    // Summer time: the month begins an hour before UTC's.
    assert_eq!(dublin.period(at("2026-06-30T22:59:59Z")).name, "2026-06");
    let july = dublin.period(at("2026-06-30T23:00:00Z"));
    assert_eq!((&*july.name, july.from), ("2026-07", at("2026-06-30T23:00:00Z")));
    let february = dublin.period(at("2028-02-29T12:00:00Z"));
    assert_eq!(february.until, at("2028-03-01T00:00:00Z"));
    assert_eq!(dublin.closes(&february), at("2028-03-01T01:00:00Z"));
    assert!(Calendar::new("Nowhere/At_All", Every::Day, 0).is_err());
}

#[test]
fn days_of_a_clock_change_are_as_long_as_they_are() {
    let days = calendar("America/New_York", Every::Day);
    let long = |day: &str| {
        let period = days.period(at(day));
        period.until - period.from
    };
    assert_eq!(long("2026-03-08T12:00:00Z"), 23 * HOUR);
    assert_eq!(long("2026-11-01T12:00:00Z"), 25 * HOUR);
    // A day that begins in a gap of the clock: midnight does not exist in Beirut on the last Sunday of March.
    let beirut = calendar("Asia/Beirut", Every::Day).period(at("2026-03-29T12:00:00Z"));
    assert_eq!(beirut.until - beirut.from, 23 * HOUR);
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, rng_seed: proptest::test_runner::RngSeed::Fixed(12), ..Default::default() })]
    #[test]
    fn parts_follow_one_another_and_add_up(
        from in 0i64..4_000_000_000_000_000,
        span in 0i64..8_000_000_000_000,
        month: bool,
        zone in 0usize..4,
    ) {
        let zone = ["UTC", "Europe/Dublin", "Asia/Kolkata", "Pacific/Apia"][zone];
        let calendar = calendar(zone, if month { Every::Month } else { Every::Day });
        let parts = calendar.split(from, span);
        prop_assert_eq!(parts.iter().map(|p| p.2).sum::<i64>(), span);
        let mut next = from;
        for (period, begins, long) in &parts {
            prop_assert_eq!(*begins, next);
            prop_assert!(period.from <= *begins && begins + long <= period.until);
            next += long;
        }
    }
}
