use super::*;

const LONG: Micros = 20_000_000;

/// Guards against holds that cost a viewer its answer, whatever its class's deadline is.
#[test]
fn a_hold_leaves_its_viewer_most_of_its_time() {
    for pause in [0, 20_000, 130_000, 10_000_000] {
        let mut delivery = Delivery::default();
        delivery.came_in_pieces(pause);
        for left in [10_000, 50_000, 100_000, 250_000, 600_000, LONG, 3_600_000_000] {
            let time = delivery.hold_time(left).unwrap();
            assert!(time <= REST_WITHIN && time <= left / 2, "{time} of {left}");
        }
        let hold_time = |left| delivery.hold_time(left);
        assert_eq!((hold_time(3_000), hold_time(0), hold_time(-1)), (None, None, None));
    }
}

/// Guards against viewers that leave while their answer is held: within 50 ms an answer crosses its viewer's end.
#[test]
fn a_hold_outlasts_50_ms_only_behind_pauses_that_were_longer() {
    let mut delivery = Delivery::default();
    assert!(delivery.hold_time(LONG).unwrap() < 50_000);
    delivery.came_in_pieces(SHORTEST_PAUSE - 1);
    assert!(delivery.hold_time(LONG).unwrap() < 50_000);
    for pause in [30_000, 60_000, 100_000] {
        delivery.came_in_pieces(pause);
        let time = delivery.hold_time(LONG).unwrap();
        assert!(time > pause && time <= PAUSES_HELD * pause, "{time} behind a pause of {pause}");
    }
}

#[test]
fn nothing_is_held_where_answers_come_whole_until_one_does_not() {
    let mut delivery = Delivery::default();
    let held_for_nothing = |delivery: &mut Delivery| {
        for _ in 0..MOST_UNFOUNDED {
            assert!(delivery.hold_time(LONG).is_some());
            delivery.held_for_nothing();
        }
        assert_eq!(delivery.hold_time(LONG), None);
    };
    delivery.came_in_pieces(200_000);
    held_for_nothing(&mut delivery);
    delivery.came_in_pieces(20_000);
    assert!(delivery.hold_time(LONG).unwrap() < 50_000, "the longer pause is forgotten");
    held_for_nothing(&mut delivery);
    delivery.was_cut();
    held_for_nothing(&mut delivery);
}
