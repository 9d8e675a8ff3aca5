//! Checks of the rig against programs that break a rule each.

use std::path::Path;
use std::thread;

use gradeshunt_fleet_rig::{event, outcome, region};

fn play(fault: &str) -> outcome::Report {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("scripts/sites");
    let read = |file: &str| std::fs::read_to_string(folder.join(file)).expect("the script");
    let script = event::parse(&read("broken.textproto")).expect("a script");
    let scratch =
        Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("broken-{fault}-{}", std::process::id()));
    let mut options = region::Options::of(Path::new(env!("CARGO_BIN_EXE_gradeshunt-broken")), &scratch, 1);
    options.environment = vec![("GRADESHUNT_BROKEN".to_owned(), fault.to_owned())];
    let report = region::play(&script, &read(&script.sites), &options).expect("it plays");
    let _ = std::fs::remove_dir_all(scratch);
    report
}

/// Each check of the rig finds the program that breaks what it guards, and a plain relay breaks none.
#[test]
fn programs_that_break_a_rule_are_caught() {
    let cases = [
        ("none", None),
        ("stale", Some("stale read")),
        ("drained", Some("long after its drain")),
        ("cold", Some("pushed over while cold")),
        ("twice", Some("has run 2 times")),
        ("lost", Some("was confirmed and is lost")),
        ("mute", Some("without a word")),
        ("late", Some("no final answer in their time")),
        ("double", Some("nobody asked for")),
    ];
    // Each play is a region with its processes and clients, in real time: all at once they would starve each other, so that
    // a sound program is late and a cold host gets too little to be pushed over.
    for some in cases.chunks(2) {
        let plays: Vec<_> =
            some.iter().map(|&(fault, told)| thread::spawn(move || (fault, told, play(fault)))).collect();
        for play in plays {
            let (fault, told, report) = play.join().expect("it plays");
            let found = |what: &str| report.faults.iter().any(|f| f.contains(what));
            assert!(told.map_or(report.faults.is_empty(), found), "{fault}: {}", report.table());
        }
    }
}
