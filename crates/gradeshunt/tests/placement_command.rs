//! Tests of `gradeshunt placement`, which prints a placement file's groups or its errors.

use std::path::Path;
use std::process::{Command, Output};

fn placement(file: &Path) -> Output {
    Command::new(env!("CARGO_BIN_EXE_gradeshunt"))
        .arg("placement")
        .arg(file)
        .output()
        .expect("the program can be started")
}

fn example() -> std::path::PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/placement.textproto")
}

#[test]
fn prints_the_groups_of_the_example() {
    let output = placement(&example());
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
    let text = String::from_utf8_lossy(&output.stdout);
    let count = |what: &str| text.lines().filter(|line| line.starts_with(what)).count();
    assert_eq!(count("group "), 2, "{text}");
    assert!(text.contains("group north/0: 3 proxies") && text.contains("group south/0: 4 proxies"), "{text}");
    assert_eq!(count("  proxy "), 7, "{text}");
    // Set 1 has 12 of the total weight of 14.5. A part has at most a quarter of a sixth of the total
    // (`group_size.most` is 6), so set 1 has 20 parts in each group. A set of weight 1 has two parts, and one
    // of weight 0.5 has one.
    assert_eq!(count("  set 1 part "), 40, "{text}");
    assert_eq!((count("  set 2 part "), count("  set 4 part ")), (4, 2), "{text}");
    let loads = text.lines().filter_map(|line| line.split_once(" load ")?.1.split(' ').next());
    let loads: Vec<f64> = loads.map(|load| load.parse().expect("a number")).collect();
    assert!(loads.len() == 7 && loads.iter().all(|load| (0.01..=1.25).contains(load)), "{loads:?}");
    // The 128 connections to each db host of set 1 are shared among the set's 20 parts in each of the two
    // groups.
    let connections = |line: &str| line.rsplit(' ').next()?.parse::<u32>().ok();
    let connections_of_set_1: u32 =
        text.lines().filter(|l| l.starts_with("  set 1 ")).filter_map(connections).sum();
    assert_eq!(connections_of_set_1, 128, "{text}");
}

#[test]
fn prints_an_error_in_one_line() {
    let text = std::fs::read_to_string(example()).expect("the example");
    let file = std::env::temp_dir().join(format!("placement-{}.textproto", std::process::id()));
    std::fs::write(&file, text.replace("name: \"south-4\"", "name: \"south-3\""))
        .expect("the file can be written");
    let output = placement(&file);
    let _ = std::fs::remove_file(&file);
    assert!(!output.status.success() && output.stdout.is_empty());
    let stderr = String::from_utf8_lossy(&output.stderr);
    let expected = format!("{}:18: placement.proxy[6].name: \"south-3\" is given twice", file.display());
    assert!(stderr.contains(&expected) && stderr.trim_end().lines().count() == 1, "{stderr}");
}
