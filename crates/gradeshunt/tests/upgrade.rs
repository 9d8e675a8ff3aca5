//! An upgrade under load with two processes on one socket, and a disk that stands amid it: nothing ends at the door.

use std::path::Path;
use std::time::Duration;

use gradeshunt_stand_ins::checker::Outcome;
use gradeshunt_stand_ins::site::{Plan, Site};
use gradeshunt_stand_ins::upgrade::{begin, shared_folder, upgrade, Load, Standing};

#[test]
fn nothing_ends_at_the_door_while_the_disk_stands() {
    let site = Site::open(Plan::default()).expect("a site");
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("upgrade-{}", std::process::id()));
    let program = Path::new(env!("CARGO_BIN_EXE_gradeshunt"));
    let (platform, mut first) = begin(program, &folder, &site).expect("it starts");
    let shared = shared_folder(&platform).expect("it is there");
    let load = Load::start(platform.held_addr().expect("it is held"), 0..3, 600_000);
    load.another(30);

    // One that stands while nothing else happens: requests are served all the same, and far more of them than between
    // two looks at the folder.
    let standing = Standing::begin(&shared).expect("a pipe");
    load.another(2000);
    drop(standing);
    assert_eq!(load.checker.counts().at_the_door(), 0, "the loop waits for the disk");

    // One that stands while a successor starts, and goes on only after that has begun.
    let standing = Standing::begin(&shared).expect("a pipe");
    let mut second = platform.start().expect("it starts");
    load.another(60);
    drop(standing);
    second.until("serving").expect("it serves");
    first.signal("TERM").expect("it can be told");
    load.another(60);
    let ended = first.exits(Duration::from_secs(60)).expect("it can be waited for");
    assert!(ended.is_some_and(|s| s.success()), "it ends once it has answered all: {ended:?}");

    // And one without.
    let (third, _) = upgrade(&platform, second).expect("it goes over");
    load.another(60);
    let (status, figures) = third.call("GET", "/status/loop").expect("an answer");
    let turns =
        figures.lines().find_map(|l| l.strip_prefix("app_loop_turns ")).and_then(|n| n.parse::<u64>().ok());
    assert!(status == 200 && turns.is_some_and(|n| n > 60), "{figures}");

    let checker = load.end();
    let counts = checker.counts();
    assert_eq!(counts.of(Outcome::Served), counts.all(), "{counts}");
    assert_eq!(checker.faults(&site.sets[0].writes()), Vec::<String>::new());
    let _ = std::fs::remove_dir_all(folder);
}
