//! The measurement of placement at a small size: its counts alone, no times.

use std::collections::BTreeMap;
use std::process::Command;

/// What a run printed.
struct Run {
    held: Vec<String>,
    missed: Vec<String>,
    results: BTreeMap<String, f64>,
    success: bool,
}

/// 60 proxies in two zones, each in two groups; 210 db hosts in 60 sets; 143 statements/s at each.
fn run(more: &[&str]) -> Run {
    let size =
        ["--proxies", "60", "--zones", "2", "--hosts", "210", "--statements", "30000", "--work-ms", "10"];
    let groups = ["--group-least", "10", "--group-most", "20"];
    let output = Command::new(env!("CARGO_BIN_EXE_gradeshunt-measure"))
        .arg("placement")
        .args(size.iter().chain(&groups).chain(more))
        .output()
        .expect("it runs");
    let text = String::from_utf8(output.stdout).expect("text");
    let verdict = |word: &str| text.lines().filter(|l| l.starts_with(word)).map(str::to_owned).collect();
    let line = text.lines().find_map(|l| l.strip_prefix("RESULT ")).expect("results");
    let pair = |pair: &str| {
        let (name, value) = pair.split_once('=').expect("name=value");
        (name.to_owned(), value.parse().expect("a number"))
    };
    Run {
        held: verdict("held"),
        missed: verdict("MISSED"),
        results: line.split(' ').map(pair).collect(),
        success: output.status.success(),
    }
}

#[test]
fn a_small_fleet_holds_its_bounds() {
    let run = run(&["--exponent", "0"]);
    assert!(run.missed.is_empty() && run.success, "{:?}", run.missed);
    assert_eq!(run.held.len(), 12, "{:?}", run.held);
    let of = |name: &str| run.results[name];
    // Today a pair meets 143 / 60 times a second: within 18 s always, with 1 to 3 connections.
    assert!((60.0..180.0).contains(&of("today_host")), "{}", of("today_host"));
    assert!((210.0..630.0).contains(&of("today_proxy")), "{}", of("today_proxy"));
    // Each host is met by one home in each of four groups, or by two where sets are split (4 * 20 / 60 parts each).
    assert!((4.0..128.0).contains(&of("host_mean")), "{}", of("host_mean"));
    assert!(of("host_mean") < of("today_host"));
    assert!((1.0..=1.25).contains(&of("load_most")), "{}", of("load_most"));
    // Nobody moves fewer sets than it had.
    assert!((1.0..=2.0).contains(&of("moved_most")), "{}", of("moved_most"));
    assert!(of("group_least") + of("group_most") <= 30.0 && of("group_most") <= 20.0);
}

/// Guards the verdicts: what can't hold is said, and the run fails.
#[test]
fn what_can_not_hold_is_missed() {
    let run = run(&["--exponent", "0", "--host-connections", "4"]);
    assert!(!run.success);
    let missed = |what: &str| run.missed.iter().any(|line| line.contains(what));
    assert!(missed("connections at a db host, at most 4 (210 hosts over)"), "{:?}", run.missed);
    assert!(missed("statements that find no free connection"), "{:?}", run.missed);
}

#[test]
fn a_skewed_load_stays_within_the_bound_on_load() {
    for exponent in ["0.5", "1", "1.5"] {
        let run = run(&["--exponent", exponent, "--most-parts", "4096"]);
        assert!(run.results["load_most"] <= 1.25, "exponent {exponent}: {}", run.results["load_most"]);
    }
}
