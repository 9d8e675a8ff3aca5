//! Tests of the part named by the folder.

use super::*;

/// SIGKILL comes no sooner than this after SIGTERM, beside the longest deadline.
const KILL_AFTER: Micros = 700_000;
/// A process may be held up for this long at any moment.
const HELD_UP: Micros = 150_000;

/// Guards the last answers of a process that is held up right before it gives them: SIGKILL must not find them wanting.
#[test]
fn process_that_is_held_up_before_its_last_answers_leaves_before_sigkill() {
    let last_answers = LEAVE_AFTER - LAST_ANSWERS;
    assert!(last_answers + HELD_UP < KILL_AFTER, "{last_answers} us");
    assert!(LEAVE_AFTER + HELD_UP <= KILL_AFTER, "{LEAVE_AFTER} us");
    // Requests are read for a while behind the last new connections.
    assert!(ACCEPT_ON <= LEAVE_AFTER - LAST_ANSWERS, "{ACCEPT_ON} us");
}
