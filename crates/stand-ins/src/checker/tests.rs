//! Tests of the part named by the folder.

use super::*;

/// Guards the guard: each kind of fault is found.
#[test]
fn finds_each_kind_of_fault() {
    let checker = Checker::of_wait(Duration::from_millis(9));
    ["a", "b", "c"].iter().for_each(|id| checker.asked(id));
    checker.ended("a", Outcome::Served, Duration::ZERO);
    checker.ended("b", Outcome::Served, Duration::ZERO);
    checker.ended("b", Outcome::Lost, Duration::from_millis(5));
    checker.ended("x", Outcome::Failed, Duration::ZERO);
    let writes = BTreeMap::from([("k".to_owned(), 2), ("l".to_owned(), 1)]);
    let faults = checker.faults(&writes);
    assert_eq!(faults.len(), 4, "{faults:?}");
    let counts = checker.counts();
    assert_eq!((counts.all(), counts.at_the_door(), counts.over_half), (4, 1, 1));
    assert_eq!(counts.longest, Duration::from_millis(5));
}
