//! Tests of the times at the end of a process.

use super::*;

/// SIGKILL comes no sooner than the longest deadline and this much after SIGTERM.
const KILL_AFTER: Micros = 700_000;
/// A process may be held up for this long at any moment.
const MAX_PAUSE: Micros = 150_000;

/// Guards the last answers of a process that is held up just before it gives them: it must give them before
/// SIGKILL.
#[test]
fn process_that_is_held_up_before_its_last_answers_leaves_before_sigkill() {
    for longest in [0, 1_000_000, MAX_COUNTED_DEADLINE, 2 * MAX_COUNTED_DEADLINE] {
        let killed_at = longest.min(MAX_COUNTED_DEADLINE) + KILL_AFTER;
        let shutdown = ShutdownTimes::at(0, longest);
        assert!(shutdown.last_answers + MAX_PAUSE < killed_at, "{shutdown:?}");
        assert!(shutdown.leave + MAX_PAUSE <= killed_at, "{shutdown:?}");
        assert!(shutdown.latest_deadline < shutdown.last_answers, "{shutdown:?}");
    }
}

/// Guards the end of a process whose log is not being read: it waits for the log, but not until SIGKILL.
#[test]
fn process_that_waits_for_its_log_ends_before_sigkill() {
    for longest in [0, 1_000_000, MAX_COUNTED_DEADLINE, 2 * MAX_COUNTED_DEADLINE] {
        let shutdown = ShutdownTimes::at(0, longest);
        assert!(shutdown.leave < shutdown.end, "{shutdown:?}");
        assert!(shutdown.end < longest.min(MAX_COUNTED_DEADLINE) + KILL_AFTER, "{shutdown:?}");
    }
}
