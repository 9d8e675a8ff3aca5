//! Runs several processes of the program at several sites, one of which is lost and comes back. The script
//! waits for answers and for the state that proxies report, never for a time; docs/fleet-rig.md describes the
//! checks.

use std::path::Path;

use gradeshunt_fleet_rig::{event, outcome, region};

fn play(name: &str, seed: u64) -> outcome::Report {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("../fleet-rig/scripts/sites");
    let read = |file: &str| std::fs::read_to_string(folder.join(file)).expect("the file can be read");
    let script = event::parse(&read(&format!("{name}.textproto"))).expect("the script is valid");
    let scratch =
        Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("sites-{name}-{seed}-{}", std::process::id()));
    let program = Path::new(env!("CARGO_BIN_EXE_gradeshunt"));
    let options = region::Options::of(program, &scratch, seed);
    let report = region::play(&script, &read(&script.sites), &options).expect("the run completes");
    let _ = std::fs::remove_dir_all(scratch);
    report
}

#[test]
fn lost_site_is_planned_for_and_comes_back() {
    for seed in [1, 2] {
        let report = play("short", seed);
        assert!(report.faults.is_empty(), "{}", report.table());
        for mark in ["Kill", "lost", "Back", "whole"] {
            assert!(report.at(mark).is_some(), "{mark}: {}", report.table());
        }
    }
}
