use std::time::{Duration, Instant};

use super::{State, CATCHING_UP};

/// Guards against what was read while a db host caught up and counts as prompt because its thread waited for a lock until that was over.
#[test]
fn read_is_prompt_as_of_its_own_time() {
    let now = Instant::now();
    let state = State { stopped_reading_until: Some(now - 2 * CATCHING_UP), ..State::default() };
    assert!(!state.is_prompt_at(now - 2 * CATCHING_UP - Duration::from_millis(1)), "before it read again");
    assert!(!state.is_prompt_at(now - CATCHING_UP), "while it caught up, whenever that is asked");
    assert!(state.is_prompt_at(now), "once it has caught up");
}
