//! The platform waits for the processes that it starts.

use std::path::Path;
use std::time::Duration;

use gradeshunt_stand_ins::program::{Platform, Process};
use rustix::process::{waitid, Pid, WaitId, WaitIdOptions};

/// Starts a program that ends at once, and returns when it has ended; what it leaves stays for who waits for it.
fn ended(name: &str, program: &str) -> Process {
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("{name}-{}", std::process::id()));
    let platform = Platform::new(Path::new(program), &folder, false).expect("a folder");
    let process = platform.spawn().expect("it starts");
    let pid = i32::try_from(process.id()).ok().and_then(Pid::from_raw).expect("a number");
    waitid(WaitId::Pid(pid), WaitIdOptions::EXITED | WaitIdOptions::NOWAIT).expect("it ends");
    let _ = std::fs::remove_dir_all(folder);
    process
}

/// Guards against a process that ended in time and is taken for late, because its time was over before anybody looked.
#[test]
fn process_that_has_ended_is_found_though_its_time_is_over() {
    let mut process = ended("ended", "/bin/true");
    let status = process.exits(Duration::ZERO).expect("it can be waited for");
    assert!(status.is_some_and(|status| status.success()), "{status:?}");
}

/// Guards against an end that is told only once: who asks again learns the same.
#[test]
fn process_that_was_waited_for_has_ended_still() {
    let mut process = ended("waited-for", "/bin/false");
    for _ in 0..2 {
        let status = process.exits(Duration::ZERO).expect("it can be waited for");
        assert_eq!(status.and_then(|status| status.code()), Some(1));
    }
}
