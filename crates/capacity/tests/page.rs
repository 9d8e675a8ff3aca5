//! The page on capacity is what the record of the measured run gives.

use std::path::{Path, PathBuf};

use gradeshunt_capacity::page::{difference, regenerate, PageError};
use gradeshunt_capacity::record::{names, Record, Series};

/// Whether the record of a measured run has to be there. Without one the page has to say "not measured" throughout.
const RECORD_IS_REQUIRED: bool = true;

/// How far a line in the file may be from the one that its points give, as a share: the file's rounding.
const ROUNDING: f64 = 1e-9;

fn in_package(path: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join(path)
}

fn read(path: &str) -> String {
    std::fs::read_to_string(in_package(path)).unwrap_or_else(|error| panic!("{path}: {error}"))
}

fn record(path: &str) -> Record {
    serde_json::from_str(&read(path)).unwrap_or_else(|error| panic!("{path}: {error}"))
}

fn example() -> (String, Record) {
    (read("tests/data/example-page.md"), record("tests/data/example-record.json"))
}

/// Fails with the first line in which the page and the record part.
fn assert_same(page: &str, record: &Record) {
    if let Some(difference) = difference(page, record).expect("whole markers") {
        panic!("the page is not what its record gives: {difference}");
    }
}

/// Fails where a line or a check in the record is not the one of its points.
fn assert_fitted(series: &Series) {
    let (units, points) = ((series.x_unit.as_str(), series.y_unit.as_str()), series.points.clone());
    let again = Series::new(&series.name, units, &series.how, points, series.check.measured).expect("a line");
    let near = |a: f64, b: f64| (a - b).abs() <= ROUNDING * a.abs().max(b.abs()).max(1e-12);
    let pairs = [
        (series.line.slope, again.line.slope),
        (series.line.intercept, again.line.intercept),
        (series.line.slope_error, again.line.slope_error),
        (series.line.residual, again.line.residual),
        (series.check.predicted, again.check.predicted),
        (series.check.off, again.check.off),
    ];
    for (written, fitted) in pairs {
        assert!(near(written, fitted), "{}: {written} in the record, {fitted} by its points", series.name);
    }
}

#[test]
fn page_is_what_the_measured_run_gives() {
    let path = "../../docs/capacity.json";
    let measured = in_package(path).exists();
    assert!(measured || !RECORD_IS_REQUIRED, "{path} is not there");
    let record = if measured { record(path) } else { Record::default() };
    if measured {
        assert!(!record.quick, "a quick run is no basis for the page");
        assert!(!record.program.is_empty() && !record.program.contains("example"), "{:?}", record.program);
        assert!(!record.series.is_empty(), "a record without a slope");
    }
    record.series.iter().for_each(assert_fitted);
    assert_same(&read("../../docs/CAPACITY.md"), &record);
}

#[test]
fn example_page_is_what_the_example_record_gives() {
    let (page, record) = example();
    record.series.iter().for_each(assert_fitted);
    assert_same(&page, &record);
}

#[test]
fn changed_digit_on_the_page_is_found_with_its_line() {
    let (page, record) = example();
    let cell = "| proxies | 3,400 |";
    let line = 1 + page.lines().position(|line| line == cell).expect("the line");
    let changed = page.replacen(cell, "| proxies | 3,401 |", 1);
    let found = difference(&changed, &record).expect("whole markers").expect("a difference");
    assert_eq!((found.block.as_str(), found.line), ("size", line));
    assert_eq!(found.on_page.as_deref(), Some("| proxies | 3,401 |"));
    assert_eq!(found.from_record.as_deref(), Some(cell));
    assert!(found.to_string().contains("3,401"), "{found}");
}

/// Every value of the record that the page shows or calculates with.
#[test]
fn changed_record_is_found() {
    let (page, record) = example();
    for index in 0..record.series.len() {
        let mut changed = record.clone();
        changed.series[index].line.slope *= 1.1;
        assert!(
            difference(&page, &changed).expect("whole markers").is_some(),
            "{}",
            record.series[index].name
        );
    }
    for index in 0..record.figures.len() {
        let mut changed = record.clone();
        changed.figures[index].value *= 1.1;
        assert!(
            difference(&page, &changed).expect("whole markers").is_some(),
            "{}",
            record.figures[index].name
        );
    }
    let mut other_program = record.clone();
    other_program.program.push('x');
    let found = difference(&page, &other_program).expect("whole markers").expect("a difference");
    assert_eq!(found.block, "run");
}

#[test]
fn line_at_the_end_of_a_block_that_is_lost_is_found() {
    let (page, record) = example();
    let last = page.lines().rfind(|line| line.starts_with("| `placement.")).expect("a figure").to_owned();
    let changed = page.replacen(&format!("{last}\n"), "", 1);
    let found = difference(&changed, &record).expect("whole markers").expect("a difference");
    assert_eq!(found.from_record, Some(last));
}

/// Names what a block says of `quantity`, row by row.
fn rows_on<'a>(page: &'a str, quantity: &str) -> Vec<&'a str> {
    let cell = format!("| {quantity} |");
    page.lines().filter(|line| line.contains(&cell)).collect()
}

#[test]
fn what_the_record_lacks_is_no_number() {
    let (page, mut record) = example();
    let quantity = "connections, as counted at a db host";
    assert!(rows_on(&page, quantity).iter().any(|row| row.starts_with("| **16.4**")));
    record.series.retain(|series| series.name != names::HOST_CONNECTIONS_BY_PROXIES);
    let without = regenerate(&page, &record).expect("whole markers");
    let rows = rows_on(&without, quantity);
    assert_eq!(rows.len(), 1, "{rows:#?}");
    assert!(rows[0].contains("| not measured | 128 |"), "{}", rows[0]);
    assert!(rows[0].contains("lacks `host.connections.by_proxies`"), "{}", rows[0]);
}

#[test]
fn slope_that_fails_its_check_is_marked_wherever_it_is_used() {
    let (page, _) = example();
    let rows: Vec<_> = page.lines().filter(|line| line.contains("[`discovery.memory.by_proxies`]")).collect();
    assert!(rows.len() >= 2, "{rows:#?}");
    assert!(
        rows.iter().all(|row| row.contains("`discovery.memory.by_proxies`, **not confirmed**")),
        "{rows:#?}"
    );
    let other: Vec<_> = page.lines().filter(|line| line.contains("[`list.bytes.by_hosts`]")).collect();
    assert!(!other.is_empty() && other.iter().all(|row| !row.contains("not confirmed")), "{other:#?}");
}

#[test]
fn quick_run_is_called_one() {
    let (page, mut record) = example();
    assert!(!page.contains("quick run"));
    record.quick = true;
    assert!(regenerate(&page, &record).expect("whole markers").contains("**A quick run"));
}

#[test]
fn regenerating_changes_nothing_outside_the_blocks_and_nothing_twice() {
    let (page, record) = example();
    let stale = page.replace("| --- | --- |", "| stale | stale |");
    assert_ne!(stale, page);
    assert_eq!(regenerate(&stale, &record).as_ref(), Ok(&page));
    assert_eq!(regenerate(&page, &record).as_ref(), Ok(&page));
}

#[test]
fn markers_that_are_not_whole_are_errors() {
    let (page, record) = example();
    let error = |page: &str| regenerate(page, &record).expect_err("an error");
    let without = page.replacen("<!-- generated: run -->", "", 1);
    assert_eq!(error(&without), PageError::Absent("run".into()));
    let unknown = page.replacen("<!-- generated: run -->", "<!-- generated: runs -->", 1);
    assert_eq!(error(&unknown), PageError::Unknown("runs".into()));
    let open = page.replacen("<!-- end -->", "", 1);
    assert_eq!(error(&open), PageError::Open("run".into()));
    let twice = format!("{page}\n<!-- generated: run -->\n<!-- end -->\n");
    assert_eq!(error(&twice), PageError::Twice("run".into()));
}

#[test]
fn role_without_a_row_on_a_resource_is_said_to_have_none() {
    let (page, _) = example();
    let none = "| a db host | memory | not measured: no row | not measured: no row |";
    assert_eq!(page.lines().filter(|line| *line == none).count(), 1);
    let memory = page.lines().find(|line| line.starts_with("| discovery | memory |")).expect("the row");
    assert!(memory.contains("| memory: 143 MB |"), "{memory}");
}

#[test]
fn line_that_is_off_without_bound_is_said_to_be() {
    let (page, mut record) = example();
    let series = &mut record.series[0];
    series.check.measured.y = 0.0;
    series.check.off = f64::MAX;
    let page = regenerate(&page, &record).expect("whole markers");
    assert_eq!(page.matches(", without bound: **not confirmed**").count(), 1);
}
