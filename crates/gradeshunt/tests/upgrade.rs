//! Tests upgrades under load with two processes on one listening socket, while reads of the shared folder
//! block as on a disk that does not answer: no client is refused or reset when it connects.

use std::path::Path;
use std::thread;
use std::time::Duration;

use gradeshunt_stand_ins::checker::Outcome;
use gradeshunt_stand_ins::postgres::client::Client;
use gradeshunt_stand_ins::script::{Act, Rule};
use gradeshunt_stand_ins::site::{Plan, Site};
use gradeshunt_stand_ins::upgrade::{begin, shared_folder, upgrade, Load, Standing};

#[test]
fn no_client_is_refused_during_upgrades_with_a_blocked_disk() {
    let site = Site::open(Plan::default()).expect("the stand-in site starts");
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("upgrade-{}", std::process::id()));
    let program = Path::new(env!("CARGO_BIN_EXE_gradeshunt"));
    let (platform, mut first) = begin(program, &folder, &site).expect("the program can be started");
    let shared = shared_folder(&platform).expect("the shared folder exists");
    let load = Load::start(platform.held_addr().expect("the platform holds the socket"), 0..3, 600_000);
    load.another(30);

    // The folder blocks while nothing else happens: the process goes on serving requests, far more of them
    // than come between two of its reads of the folder.
    let blocked_folder = Standing::begin(&shared).expect("the named pipe can be made");
    load.another(2000);
    drop(blocked_folder);
    assert_eq!(load.checker.counts().at_the_door(), 0, "the event loop waits for the disk");

    // The folder blocks while a successor starts, and is released only after requests came during its start.
    let blocked_folder = Standing::begin(&shared).expect("the named pipe can be made");
    let mut second = platform.start().expect("the program can be started");
    load.another(60);
    drop(blocked_folder);
    second.until("serving").expect("the successor serves");
    first.signal("TERM").expect("the signal can be sent");
    load.another(60);
    let ended = first.exits(Duration::from_secs(60)).expect("the process can be waited for");
    assert!(
        ended.is_some_and(|s| s.success()),
        "the first process ends once it has answered all requests: {ended:?}"
    );

    // An upgrade while the folder does not block.
    let (third, _) = upgrade(&platform, second).expect("the next process takes over");
    load.another(60);
    let (status, metrics) = third.call("GET", "/status/loop").expect("an answer");
    let turns =
        metrics.lines().find_map(|l| l.strip_prefix("app_loop_turns ")).and_then(|n| n.parse::<u64>().ok());
    assert!(status == 200 && turns.is_some_and(|n| n > 60), "{metrics}");

    let checker = load.end();
    let counts = checker.counts();
    assert_eq!(counts.of(Outcome::Served), counts.all(), "{counts}");
    assert_eq!(checker.faults(&site.sets[0].writes()), Vec::<String>::new());
    let _ = std::fs::remove_dir_all(folder);
}

/// Guards against an id that runs at both processes of an upgrade, where it comes again after its client left.
#[test]
fn id_that_comes_again_at_the_other_process_of_an_upgrade_does_not_run_twice() {
    const WORK: Duration = Duration::from_millis(300);
    const STATEMENT: &str = "/* id=again,c=plain-write,d=5000,cluster=1 */ INSERT INTO facts (code, data) VALUES ('a', 'b') RETURNING data";
    let site = Site::open(Plan::default()).expect("the stand-in site starts");
    site.sets[0].script(0, Rule::always("id=again,", Act::Usual).taking(WORK));
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("again-{}", std::process::id()));
    let program = Path::new(env!("CARGO_BIN_EXE_gradeshunt"));
    let (platform, first) = begin(program, &folder, &site).expect("the program can be started");
    let addr = platform.held_addr().expect("the platform holds the socket");
    let connect = || Client::connect(addr, &[("user", "portal")], Duration::from_secs(20));
    let mut client = connect().expect("the session starts");
    client.ask(STATEMENT).expect("the connection is open");
    thread::sleep(WORK / 2);
    drop(client);
    let (_second, _) = upgrade(&platform, first).expect("the next process takes over");
    let reply = connect().expect("the session starts").query(STATEMENT).expect("an answer");
    let ran = site.sets[0].ran().iter().filter(|ran| ran.request.contains("id=again,")).count();
    let _ = std::fs::remove_dir_all(folder);
    assert_eq!(ran, 1, "{reply:?}");
}
