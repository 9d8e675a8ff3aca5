//! Tests of the initial clock offset.

use super::*;

const HOUR: Micros = 3_600_000_000;

/// Guards the usual start: the first primary that agrees with the offset confirms it.
#[test]
fn offset_that_a_primary_confirms_stays() {
    let mut start = StartOffset::default();
    assert!(!start.is_confirmed(0));
    assert_eq!(start.take_primary_time(HOUR, 1_000, HOUR), None);
    assert!(start.is_confirmed(1_000));
    // Later reports are judged as steps.
    assert_eq!(start.take_primary_time(HOUR, 2_000, 2 * HOUR), None);
}

/// Guards the age of lagging replicas: a process whose clock is behind must not take them for current until a
/// primary agrees with the offset.
#[test]
fn offset_is_raised_at_once_and_believed_once_a_primary_agrees() {
    let mut start = StartOffset::default();
    assert_eq!(start.take_primary_time(0, 1_000, 1_000 + HOUR), Some(HOUR));
    assert!(!start.is_confirmed(CONFIRMATION_TIMEOUT));
    assert_eq!(start.take_primary_time(HOUR, 2_000, 2_000 + HOUR), None);
    assert!(start.is_confirmed(2_000));
}

/// Guards against a corrupt time from far in the future: primaries that agree lower the offset again.
#[test]
fn offset_is_lowered_to_the_largest_that_several_agree_on() {
    let mut start = StartOffset::default();
    let reports = [(0, 0), (20_000, -3_000), (40_000, -150_000), (60_000, -1_000)];
    for (at, late) in &reports[..3] {
        assert_eq!(start.take_primary_time(HOUR, *at, at + late), None);
    }
    assert!(!start.is_confirmed(CONFIRMATION_TIMEOUT));
    let (at, late) = reports[3];
    assert_eq!(start.take_primary_time(HOUR, at, at + late), Some(0));
    assert!(start.is_confirmed(at));
    // All of these answers may have been slow: the next one that is not raises the offset.
    assert_eq!(start.take_primary_time(0, at + 5_000, at + 9_000), Some(4_000));
    assert_eq!(start.take_primary_time(4_000, at + 6_000, at + 6_000), None);
}

/// Guards against a primary that is stuck, and against single slow answers: reports that don't agree are no
/// evidence.
#[test]
fn offset_is_not_lowered_by_times_that_disagree() {
    let mut start = StartOffset::default();
    for at in (0..20).map(|n| n * 300_000) {
        assert_eq!(start.take_primary_time(HOUR, at, 5), None);
    }
}

/// Guards deployments whose primaries report no times.
#[test]
fn offset_is_believed_after_a_while_where_no_primary_tells_a_time() {
    let start = StartOffset::default();
    assert!(!start.is_confirmed(CONFIRMATION_TIMEOUT - 1));
    assert!(start.is_confirmed(CONFIRMATION_TIMEOUT));
}
