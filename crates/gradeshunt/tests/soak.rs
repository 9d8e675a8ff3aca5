//! The soak test in its short form: a few seeds over a dozen processes. `gradeshunt-soak` plays longer ones.

use std::path::Path;
use std::time::Duration;

use gradeshunt_soak::play::{play, Options};

const SEEDS: [u64; 2] = [1, 2];

#[test]
fn processes_under_overlapping_troubles_break_no_rule() {
    for seed in SEEDS {
        let folder =
            Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("soak-{seed}-{}", std::process::id()));
        let mut options = Options::of(Path::new(env!("CARGO_BIN_EXE_gradeshunt")), &folder, seed);
        options.proxies = 12;
        options.lasts = Duration::from_secs(6);
        let report = play(&options).expect("it plays");
        assert!(report.is_sound(), "{report}");
        assert!(!report.pairs.is_empty(), "troubles overlapped: {report}");
    }
}
