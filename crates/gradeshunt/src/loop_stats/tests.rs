//! Tests of the loop's statistics.

use super::*;
use crate::ids::SessionId;

/// Guards the causes given for a long turn: the source that took most is named first, and lateness due to the
/// previous turn is not counted.
#[test]
fn turn_record_names_the_time_per_source() {
    let mut loop_stats = LoopStats::new(0);
    loop_stats.begin(1_000, Some(900));
    let client = EventSource::Session(SessionId(1));
    loop_stats.record_event(client, 3_000);
    loop_stats.record("db host", 63_000);
    loop_stats.record_event(client, 64_000);
    let turn = loop_stats.record_turn();
    assert_eq!((turn.took, turn.late), (63_000, 100));
    assert_eq!(turn.parts, [("db host", 60_000, 1), ("client", 3_000, 2)]);
    assert_eq!(turn.sources, 1, "one client was processed twice");
    loop_stats.begin(64_500, Some(2_000));
    assert_eq!(
        loop_stats.record_turn().late,
        500,
        "the previous turn was long; the poll was late by only this much"
    );
    assert_eq!(loop_stats.time_unread(), 63_000, "what is read now may have arrived when that turn began");
    loop_stats.begin(70_000, Some(69_000));
    assert_eq!(loop_stats.time_unread(), 0);
    loop_stats.begin(90_000, Some(80_000));
    assert_eq!(loop_stats.time_unread(), 10_000);
    assert_eq!(
        (loop_stats.turns, loop_stats.slow_turns, loop_stats.longest_turn.since_start),
        (2, 1, 63_000)
    );
    let text = loop_stats.exposition();
    assert!(text.contains("app_loop_longest_source_us{source=\"db host\",span=\"late\"} 60000\n"), "{text}");
}

/// Guards a scrape just after a summary: the interval before it is still shown, the one before that is not.
#[test]
fn longest_covers_the_current_and_the_last_interval() {
    let mut longest = LongestTimes::default();
    longest.add(7);
    longest.start_interval();
    longest.add(3);
    assert_eq!((longest.recent(), longest.since_start), (7, 7));
    longest.start_interval();
    assert_eq!((longest.recent(), longest.since_start), (3, 7));
}
