//! The soak test in a short form: a few seeds with a dozen processes. `gradeshunt-soak` runs longer ones.

use std::path::Path;
use std::time::Duration;

use gradeshunt_soak::play::{play, Options};
use gradeshunt_soak::trouble::Kind;

const SEEDS: [u64; 2] = [1, 2];
const IDLE_CLIENTS_SEED: u64 = 3;
/// Number of idle client connections to each process, more than it has descriptors for.
const IDLE_CLIENTS: usize = 300;

/// A seed of a play with clients that wait 300 ms at most, so that SIGKILL comes a second after SIGTERM.
const FLOOD_SEED: u64 = 4;
const FLOOD_KINDS: [Kind; 5] =
    [Kind::Flood, Kind::SlowClients, Kind::SlowHost, Kind::BadClients, Kind::Restarts];

/// Plays a seed with `idle_clients` idle client connections to each process, and these kinds of trouble or, if
/// there are none, all.
fn assert_sound_run(seed: u64, idle_clients: usize, kinds: &[Kind]) {
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("soak-{seed}-{}", std::process::id()));
    let mut options = Options::of(Path::new(env!("CARGO_BIN_EXE_gradeshunt")), &folder, seed);
    options.proxies = 12;
    options.crowd = idle_clients;
    options.lasts = Duration::from_secs(6);
    options.kinds = kinds.to_vec();
    let report = play(&options).expect("the run completes");
    assert!(report.is_sound(), "{report}");
    assert!(!report.pairs.is_empty(), "no faults overlapped: {report}");
}

#[test]
fn processes_under_overlapping_faults_break_no_rule() {
    SEEDS.into_iter().for_each(|seed| assert_sound_run(seed, 0, &[]));
}

/// Guards against losing requests when clients are closed to free descriptors: a process short of descriptors
/// closes many idle clients during other faults.
#[test]
fn processes_with_many_idle_clients_break_no_rule_under_overlapping_faults() {
    assert_sound_run(IDLE_CLIENTS_SEED, IDLE_CLIENTS, &[]);
}

/// Guards other clients' answers, memory and the length of turns against floods and slow peers, beside processes
/// that are told to end.
#[test]
fn processes_beside_floods_and_slow_peers_break_no_rule() {
    assert_sound_run(FLOOD_SEED, 0, &FLOOD_KINDS);
}
