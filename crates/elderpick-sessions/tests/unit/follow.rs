//! The place in the journal. Compiled into `src/follow.rs`, whose figures it knows.

use super::*;

#[test]
fn numbers_decide_what_is_news() {
    let mut follow = Follow::new(3);
    assert_eq!(follow.take(3, false, true), Take::Known);
    assert_eq!(follow.take(4, false, true), Take::Apply);
    assert_eq!(follow.take(4, false, true), Take::Known);
    assert_eq!((follow.take(6, false, true), follow.place()), (Take::Gap, 4));
    assert_eq!((follow.take(9, true, true), follow.place()), (Take::Apply, 9));
    assert_eq!(follow.take(1, true, true), Take::Known, "an old whole list is old");
}

#[test]
fn an_event_that_cannot_be_read_whole_is_asked_for_once_more() {
    let mut follow = Follow::new(3);
    assert_eq!((follow.take(4, false, false), follow.place()), (Take::Gap, 3));
    assert_eq!((follow.take(4, false, true), follow.place()), (Take::Apply, 4), "it was spoilt on its way");
    assert_eq!(follow.take(5, false, false), Take::Gap);
    assert_eq!((follow.take(5, false, false), follow.place()), (Take::Apply, 5), "never readable");
    assert_eq!((follow.take(6, false, true), follow.place()), (Take::Apply, 6));
}

#[test]
fn calls_are_soon_at_first_and_never_rarer_than_the_longest_pause() {
    let mut follow = Follow::new(0);
    let pauses: Vec<_> = (0..40).map(|_| follow.broke()).collect();
    assert_eq!((pauses[0], pauses[1], pauses[39]), (FIRST, 2 * FIRST, LONGEST));
    follow.heard();
    assert_eq!(follow.broke(), FIRST);
}
