//! Tests of the part named by the folder.

use super::*;

/// SIGKILL comes no sooner than this after SIGTERM, beside the longest deadline.
const KILL_AFTER: Micros = 700_000;
/// A process may be held up for this long at any moment.
const HELD_UP: Micros = 150_000;

/// Guards the last answers of a process that is held up right before it gives them: SIGKILL must not find them wanting.
#[test]
fn process_that_is_held_up_before_its_last_answers_leaves_before_sigkill() {
    for longest in [0, 1_000_000, LONGEST_COUNTED, 2 * LONGEST_COUNTED] {
        let killed_at = longest.min(LONGEST_COUNTED) + KILL_AFTER;
        let shutdown = Shutdown::at(0, longest);
        assert!(shutdown.last_answers + HELD_UP < killed_at, "{shutdown:?}");
        assert!(shutdown.leave + HELD_UP <= killed_at, "{shutdown:?}");
        assert!(shutdown.last_call < shutdown.last_answers, "{shutdown:?}");
    }
}

/// Guards the end against a log whose reader reads nothing: who has left waits for it, but not until SIGKILL.
#[test]
fn process_that_waits_for_its_log_ends_before_sigkill() {
    for longest in [0, 1_000_000, LONGEST_COUNTED, 2 * LONGEST_COUNTED] {
        let shutdown = Shutdown::at(0, longest);
        assert!(shutdown.leave < shutdown.end, "{shutdown:?}");
        assert!(shutdown.end < longest.min(LONGEST_COUNTED) + KILL_AFTER, "{shutdown:?}");
    }
}
