//! Runs several processes of the program with faults between them: each script of the fleet rig in its short
//! form. Scripts wait for answers, never for a time.

use std::path::Path;

use gradeshunt_fleet_rig::{fleet, script};

fn play(name: &str) {
    let file = Path::new(env!("CARGO_MANIFEST_DIR")).join(format!("../fleet-rig/scripts/{name}.textproto"));
    let script = script::parse(&std::fs::read_to_string(file).expect("the file can be read"))
        .expect("the script is valid");
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("fleet-{name}-{}", std::process::id()));
    let report = fleet::play(&script, Path::new(env!("CARGO_BIN_EXE_gradeshunt")), &folder)
        .expect("the run completes");
    assert!(report.faults.is_empty(), "{report}");
    assert!(report.counts.iter().all(|c| c.all() > 0), "a proxy got no request: {report}");
    let _ = std::fs::remove_dir_all(folder);
}

macro_rules! scripts {
    ($($name:ident)*) => { $(#[test] fn $name() { play(stringify!($name)); })* };
}

scripts! { cut silent deaf slow kill stop release }
