use std::process::{Child, Command, Stdio};

use rustix::event::{eventfd, EventfdFlags};
use rustix::io::{dup, write};
use rustix::process::{waitid, WaitId, WaitIdOptions};

use super::*;

/// A process that ends when it is told to, and a time that is over when the test says so.
struct Course {
    child: Child,
    time: OwnedFd,
    ending: Ending,
}

impl Course {
    fn begin() -> Course {
        let child = Command::new("/bin/cat").stdin(Stdio::piped()).spawn().expect("it starts");
        let time = eventfd(0, EventfdFlags::CLOEXEC).expect("a descriptor");
        let handed = dup(&time).expect("a descriptor");
        let ending = Ending::before(Pid::from_child(&child), handed).expect("it can be awaited");
        Course { child, time, ending }
    }

    /// Ends the process, and returns when it has ended; what it leaves stays for who waits for it.
    fn end(&mut self) {
        drop(self.child.stdin.take());
        let options = WaitIdOptions::EXITED | WaitIdOptions::NOWAIT;
        waitid(WaitId::Pid(Pid::from_child(&self.child)), options).expect("it ends");
    }

    fn time_is_over(&self) {
        assert_eq!(write(&self.time, &1_u64.to_ne_bytes()), Ok(8));
    }
}

impl Drop for Course {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Guards against a false fault: the process ends, its time passes, and only then does its watcher get a processor.
#[test]
fn end_in_time_is_found_by_a_look_behind_the_time() {
    let mut course = Course::begin();
    course.end();
    course.time_is_over();
    assert!(course.ending.is_in_time().expect("a look"));
}

/// Guards against a fault that is overlooked: the look is so late that a process that ended behind its time has ended by then.
#[test]
fn end_behind_the_time_is_late_though_the_look_is_later_still() {
    let mut course = Course::begin();
    course.time_is_over();
    course.end();
    assert!(!course.ending.is_in_time().expect("a look"));
}

/// Guards against an end that is missed because the watch begins after it.
#[test]
fn end_before_the_watch_begins_is_in_time() {
    let mut course = Course::begin();
    course.end();
    let no_time = Ending::within(Pid::from_child(&course.child), Duration::ZERO).expect("it can be awaited");
    assert!(no_time.is_in_time().expect("a look"));
}

/// Guards against a watch that never ends, and against one that takes a process for ended that lives.
#[test]
fn process_that_lives_on_is_late_and_told_of() {
    let course = Course::begin();
    let shortly = Ending::within(Pid::from_child(&course.child), SHORTEST).expect("it can be awaited");
    assert!(!shortly.is_in_time().expect("a look"));
    let overdue = Overdue::since(Instant::now(), course.child.id()).to_string();
    assert!(overdue.contains(" ms late: ") && overdue.contains("ran "), "{overdue}");
}
