//! Tests of the clock, with offsets that the test sets.

use super::*;

const HOUR: Micros = 3_600_000_000;
const SECOND: Micros = 1_000_000;

/// A clock that showed `offset` at its start.
fn clock(offset: Micros) -> Clock {
    let segments = vec![Segment { from: Micros::MIN, offset }];
    Clock {
        start: Instant::now() - Duration::from_secs(100),
        segments,
        candidate: None,
        start_offset: StartOffset::default(),
        own_error: 0,
    }
}

fn ms(unix: Micros) -> f64 {
    unix as f64 / 1000.0
}

/// Guards against differences that are no step, and against a candidate that counts before it is confirmed.
#[test]
fn step_is_a_candidate_until_it_is_confirmed() {
    let mut clock = clock(HOUR);
    assert!(!clock.observe_offset(HOUR + STEP_TOLERANCE, 1), "two readings differ a little");
    assert!(clock.observe_offset(0, 2));
    assert!(!clock.observe_offset(10, 3), "the step is known");
    assert_eq!((clock.offset(), clock.candidate().map(|c| c.first_seen)), (HOUR, Some(2)));
    assert!(
        clock.is_candidate_recent(2 + CANDIDATE_WINDOW) && !clock.is_candidate_recent(3 + CANDIDATE_WINDOW)
    );
    clock.confirm_candidate();
    assert_eq!((clock.offset(), clock.stepped_at(), clock.candidate()), (0, 2, None));
    assert!(clock.observe_offset(HOUR, 9));
    assert!(
        !clock.observe_offset(0, 10) && clock.candidate().is_none(),
        "the clock is back at the offset in use"
    );
}

/// Guards starts of db hosts and commits of sessions: each is converted with the offset of its own time, and
/// never to a moment in the future.
#[test]
fn time_is_converted_with_the_offset_of_its_own_time() {
    let mut clock = clock(HOUR);
    let now = clock.now();
    // All clocks were stepped forward by 10 s, 50 s ago.
    clock.observe_offset(HOUR + 10 * SECOND, now - 50 * SECOND);
    clock.confirm_candidate();
    let close = |unix: Micros, at: Micros| (clock.latest_at_unix_ms(ms(unix)) - at).abs() < SECOND / 10;
    let before = now - 60 * SECOND;
    assert!(close(HOUR + before, before), "a time from before the step");
    let after = now - 20 * SECOND;
    assert!(close(HOUR + 10 * SECOND + after, after), "a time from after the step");
    assert!(close(HOUR + 10 * SECOND + now + HOUR, now), "a start can't be in the future");
    assert!(
        close(HOUR + now - 45 * SECOND, now - 55 * SECOND),
        "no clock has shown it: the latest offset counts"
    );
}

/// Guards slow start for a db host that restarts after a step back: the latest moment that its start can mean
/// counts.
#[test]
fn ambiguous_time_counts_as_its_latest_meaning() {
    let mut clock = clock(HOUR);
    let now = clock.now();
    clock.observe_offset(HOUR - 40 * SECOND, now - 5 * SECOND);
    let start = HOUR - 40 * SECOND + now - SECOND;
    for _ in 0..2 {
        let at = clock.latest_at_unix_ms(ms(start));
        assert!((at - (now - SECOND)).abs() < SECOND / 10, "{at}");
        clock.confirm_candidate();
    }
}

/// Guards a process that has started with a wrong clock: neither the wrong clock nor its later correction
/// counts as a step of all clocks.
#[test]
fn clock_that_was_wrong_at_the_start_shows_no_step() {
    const OFF: Micros = 10_000_000;
    let mut clock = Clock::start();
    let wrong = clock.offset();
    let right = wrong + OFF;
    clock.take_primary_time(1_000, right + 1_000);
    assert_eq!(clock.offset(), right);
    assert!(!clock.observe_offset(wrong, 2_000) && clock.candidate().is_none());
    // A step of all clocks is seen in spite of the error.
    assert!(clock.observe_offset(wrong + 3 * OFF, 3_000));
    assert_eq!(clock.candidate().map(|c| c.offset), Some(right + 3 * OFF));
    // The clock is corrected.
    assert!(!clock.observe_offset(right, 4_000) && clock.candidate().is_none());
    assert!(clock.observe_offset(wrong, 5_000));
}
