//! Tests of reading positions, on clocks that the test steps.

use super::*;

const SECOND: Micros = 1_000_000;
/// The usual lag of a standby.
const LAG: Micros = 50_000;
const STEP: Micros = 10 * SECOND;

/// A clock, and the offset that it showed at its start, which a primary has confirmed.
fn clock() -> (Clock, Micros) {
    let mut clock = Clock::start();
    let offset = clock.offset();
    clock.take_primary_time(0, offset);
    (clock, offset)
}

/// What a db host reports at `now` if it lags by `age`, with this clock offset.
fn reported(now: Micros, age: Micros, offset: Micros) -> f64 {
    (now - age + offset) as f64 / 1000.0
}

/// The age that the reader returns, rounded to milliseconds.
fn age(reader: &mut PositionReader, clock: &mut Clock, now: Micros, ms: f64) -> Option<Micros> {
    reader.read(clock, now, ms, None).map(|position| (now - position + 500) / 1000 * 1000)
}

/// Guards the age of data across steps of all clocks in either direction: a standby that keeps up has its
/// true age.
#[test]
fn standby_that_follows_is_current_after_a_step() {
    for step in [STEP, -STEP, 360 * STEP, -360 * STEP, 300_000, -300_000] {
        let (mut clock, offset) = clock();
        let mut reader = PositionReader::default();
        assert_eq!(age(&mut reader, &mut clock, SECOND, reported(SECOND, LAG, offset)), Some(LAG));
        clock.observe_offset(offset + step, SECOND + 10_000);
        let now = SECOND + 100_000;
        assert_eq!(age(&mut reader, &mut clock, now, reported(now, LAG, offset + step)), Some(LAG), "{step}");
        assert_eq!(clock.offset(), offset + step, "the step is confirmed");
    }
}

/// Guards against a standby that is stuck at a position which the clocks reach again after a step back.
#[test]
fn stuck_standby_never_looks_current() {
    let (mut clock, offset) = clock();
    let (mut frozen, mut primary) = (PositionReader::default(), PositionReader::default());
    let stuck_at = reported(0, 0, offset);
    frozen.read(&mut clock, LAG, stuck_at, None);
    primary.read(&mut clock, LAG, reported(LAG, 0, offset), Some(true));
    clock.observe_offset(offset - STEP, SECOND);
    for tenth in 11..300 {
        let now = tenth * SECOND / 10;
        primary.read(&mut clock, now, reported(now, 0, offset - STEP), Some(true));
        assert_eq!(clock.offset(), offset - STEP);
        let read = age(&mut frozen, &mut clock, now, stuck_at);
        assert!(read.is_none_or(|age| age >= now), "{now}: {read:?}");
    }
}

/// Guards a standby that lags far behind and crosses the step later than others: its age is right before and
/// after that.
#[test]
fn standby_that_is_far_behind_crosses_the_step_late() {
    let far = 4 * SECOND;
    for step in [STEP, -STEP] {
        let (mut clock, offset) = clock();
        let (mut behind, mut primary) = (PositionReader::default(), PositionReader::default());
        let stepped = 5 * SECOND;
        for tenth in 40..200 {
            let now = tenth * SECOND / 10;
            let offset_of = |at: Micros| if at < stepped { offset } else { offset + step };
            if now == stepped {
                clock.observe_offset(offset + step, now);
            }
            primary.read(&mut clock, now, reported(now, 0, offset_of(now)), Some(true));
            let read = age(&mut behind, &mut clock, now, reported(now, far, offset_of(now - far)));
            // Never younger than its true age; after a step forward older until it has crossed the step.
            assert!(read.is_none_or(|age| age >= far), "{step}, {now}: {read:?}");
            if now - far > stepped + 2 * SECOND {
                assert_eq!(read, Some(far), "{step}, {now}");
            }
        }
    }
}

/// Guards against a step of this machine's clock alone: no db host follows it, and once that is clear nothing
/// has changed.
#[test]
fn step_of_this_machine_alone_is_ignored() {
    for step in [STEP, -STEP, 300_000, -300_000] {
        let (mut clock, offset) = clock();
        let (mut standby, mut primary) = (PositionReader::default(), PositionReader::default());
        for tenth in 0..40 {
            let now = tenth * SECOND / 10;
            if tenth == 10 {
                clock.observe_offset(offset + step, now);
            }
            primary.read(&mut clock, now, reported(now, 0, offset), Some(true));
            let read = age(&mut standby, &mut clock, now, reported(now, LAG, offset));
            assert_eq!(clock.offset(), offset, "{step}");
            assert!(read.is_none_or(|age| age >= LAG), "{step}, {now}: {read:?}");
            if !clock.is_candidate_recent(now) {
                assert_eq!(read, Some(LAG), "{step}, {now}");
            }
        }
    }
}

/// Guards a db host that first reports after a step, and one whose clock alone is ahead.
#[test]
fn position_from_the_future_is_rejected() {
    let (mut clock, offset) = clock();
    let mut reader = PositionReader::default();
    assert_eq!(reader.read(&mut clock, SECOND, reported(SECOND, -2 * MAX_AHEAD, offset), None), None);
    assert_eq!(reader.read(&mut clock, SECOND, f64::NAN, None), None);
    clock.observe_offset(offset - STEP, SECOND);
    let mut primary = PositionReader::default();
    primary.read(&mut clock, 2 * SECOND, reported(2 * SECOND, 0, offset - STEP), Some(true));
    let mut fresh = PositionReader::default();
    let now = 3 * SECOND;
    assert_eq!(age(&mut fresh, &mut clock, now, reported(now, LAG, offset - STEP)), Some(LAG));
}
