//! Tests of the ids that may not be used again.

use super::*;

/// An id in progress is taken; a retired one is until its time, also behind one that is retired for longer.
#[test]
fn ids_are_taken_while_in_progress_and_until_they_expire() {
    let mut ids = RequestIds::default();
    ids.begin("a".into());
    assert_eq!(ids.check("a", 0), Err(IdDenial::InProgress));
    ids.end("a");
    assert_eq!(ids.check("a", 0), Ok(()));
    ids.retire("long".into(), 100);
    ids.retire("short".into(), 10);
    assert_eq!(ids.check("short", 9), Err(IdDenial::Departed));
    assert_eq!(ids.check("short", 10), Ok(()));
    assert_eq!(ids.check("long", 99), Err(IdDenial::Departed));
    assert_eq!(ids.check("long", 100), Ok(()));
}

/// Guards memory against clients that leave under ever new ids.
#[test]
fn retired_ids_are_bounded() {
    let mut ids = RequestIds::default();
    for n in 0..=MAX_RETIRED {
        ids.retire(n.to_string().into(), Micros::MAX);
    }
    assert_eq!((ids.order.len(), ids.retired.len()), (MAX_RETIRED, MAX_RETIRED));
    assert_eq!(ids.check("0", 0), Ok(()));
    assert_eq!(ids.check("1", 0), Err(IdDenial::Departed));
}
