//! Tests of the times by kind of work.

use super::*;

/// Guards the causes given for a long turn: what a decision sets off counts for itself and not for the
/// decision.
#[test]
fn nested_work_counts_once() {
    let mut times = WorkTimes::new(100);
    let input = times.begin(Work::Decisions, 110);
    let decisions = times.begin(Work::Answers, 130);
    times.end(decisions, 170);
    times.end(input, 175);
    let input = times.begin(Work::Answers, 180);
    times.end(input, 181);
    let found: Vec<_> = times.by_kind().collect();
    assert_eq!(found, [(Work::Input, 15, 0), (Work::Decisions, 25, 1), (Work::Answers, 41, 2)]);
}
