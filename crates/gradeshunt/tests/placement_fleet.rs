//! Runs several processes of the program with placement on and with faults that are drawn from a seed. The
//! runs wait for answers, never for a time; docs/fleet-rig.md describes the checks.

use std::path::Path;
use std::time::Duration;

use gradeshunt_fleet_rig::placement::fleet::Options;
use gradeshunt_fleet_rig::placement::play;
use gradeshunt_fleet_rig::placement::roster::Shape;

/// How late an answer may be. Far more than a busy machine adds to a wait, so only a request that is never
/// answered exceeds it.
const SLACK: Duration = Duration::from_secs(60);

fn play_seed(seed: u64) {
    let folder =
        Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("placement-fleet-{seed}-{}", std::process::id()));
    let options = Options {
        program: Path::new(env!("CARGO_BIN_EXE_gradeshunt")),
        folder: &folder,
        seed,
        shape: Shape { processes: 6, groups: 2 },
        placement: true,
        wait: Duration::from_secs(1),
        slack: SLACK,
        drains_at_once: false,
    };
    let report = play(&options).expect("the run completes");
    assert!(report.faults.is_empty(), "{:#?}\n{report}", report.marks);
    assert!(!report.hops.is_empty(), "no request was forwarded to another proxy: {report}");
    let counts = report.account;
    assert!(counts.home > 0 && counts.sent_on > 0 && counts.taken > 0, "{counts:?}");
    assert!(report.unavailable > 0, "no proxy noticed the loss of a home: {:#?}", report.marks);
    let _ = std::fs::remove_dir_all(folder);
}

#[test]
fn faults_of_seed_1_break_no_promise() {
    play_seed(1);
}

#[test]
fn faults_of_seed_2_break_no_promise() {
    play_seed(2);
}

#[test]
fn faults_of_seed_3_break_no_promise() {
    play_seed(3);
}
