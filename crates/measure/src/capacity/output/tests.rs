use std::time::Duration;

use gradeshunt_capacity::fit::Point;
use gradeshunt_capacity::record::{names, Record, Series};

use super::*;

/// A run with a slope whose further size is at `further`, where the line gives 100.
fn record(quick: bool, further: f64) -> Record {
    let points = (0..4).map(|n| Point { x: f64::from(n), y: f64::from(n) }).collect();
    let further = Point { x: 100.0, y: further };
    let series = Series::new(names::LIST_BYTES_BY_HOSTS, ("db hosts", "bytes"), "", points, further);
    Record { quick, series: vec![series.expect("a series")], ..Record::default() }
}

fn count(found: u64) -> Count {
    Count { what: "connections".to_owned(), expected: 2..=4, found }
}

/// Guards the verdict: a prediction that is off fails a whole run, and a count any run.
#[test]
fn what_is_missed_fails_the_run() {
    let missed = |quick, further, found| {
        report(&record(quick, further), &[count(found)], Duration::ZERO).missed.join("; ")
    };
    assert_eq!(missed(false, 110.0, 4), "");
    assert_eq!(
        missed(false, 80.0, 2),
        "list.bytes.by_hosts: at 100.00 db hosts the line gives 100.00 bytes, and 80.00 was measured: 25.0% off, \
         where 15% are allowed"
    );
    assert_eq!(missed(true, 80.0, 2), "", "a quick run checks counts alone");
    for quick in [false, true] {
        assert_eq!(missed(quick, 100.0, 1), "connections: 1, not 2 to 4");
        assert_eq!(missed(quick, 100.0, 5), "connections: 5, not 2 to 4");
    }
}

#[test]
fn the_table_says_what_held() {
    let report = report(&record(false, 80.0), &[count(3), count(5)], Duration::from_secs(7));
    let table = report.table.join("\n");
    assert!(table
        .lines()
        .any(|line| line.starts_with("list.bytes.by_hosts") && line.ends_with("25.0% MISSED")));
    assert!(table.contains("HELD   connections: 3, of 2 to 4"), "{table}");
    assert!(table.contains("MISSED connections: 5, of 2 to 4"), "{table}");
    let results: Vec<_> = report.results.iter().map(|(name, value)| format!("{name}={value}")).collect();
    assert_eq!(results.join(" "), "slopes=1 predicted=0 counts=2 counts_held=1 seconds=7");
}
