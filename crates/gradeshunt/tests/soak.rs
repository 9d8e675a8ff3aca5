//! The soak test in a short form: a few seeds with a dozen processes. `gradeshunt-soak` runs longer ones.

use std::path::Path;
use std::time::Duration;

use gradeshunt_soak::play::{play, Options};

const SEEDS: [u64; 2] = [1, 2];
const IDLE_CLIENTS_SEED: u64 = 3;
/// Number of idle client connections to each process, more than it has descriptors for.
const IDLE_CLIENTS: usize = 300;

/// Plays a seed with `idle_clients` idle client connections to each process.
fn assert_sound_run(seed: u64, idle_clients: usize) {
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("soak-{seed}-{}", std::process::id()));
    let mut options = Options::of(Path::new(env!("CARGO_BIN_EXE_gradeshunt")), &folder, seed);
    options.proxies = 12;
    options.crowd = idle_clients;
    options.lasts = Duration::from_secs(6);
    let report = play(&options).expect("the run completes");
    assert!(report.is_sound(), "{report}");
    assert!(!report.pairs.is_empty(), "no faults overlapped: {report}");
}

#[test]
fn processes_under_overlapping_faults_break_no_rule() {
    SEEDS.into_iter().for_each(|seed| assert_sound_run(seed, 0));
}

/// Guards against losing requests when clients are closed to free descriptors: a process short of descriptors
/// closes many idle clients during other faults.
#[test]
fn processes_with_many_idle_clients_break_no_rule_under_overlapping_faults() {
    assert_sound_run(IDLE_CLIENTS_SEED, IDLE_CLIENTS);
}
