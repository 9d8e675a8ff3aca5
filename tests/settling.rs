//! Another attempt follows one whose connection was closed only once that close has settled.

mod common;

use common::*;
use leadmast::*;

const CLOSED_AT: Micros = 1_000_000;
const SETTLED_AT: Micros = CLOSED_AT + 2_000;

/// A write is out at the primary since 20 ms.
fn driver_with_write_out(kind: Kind) -> (Driver, (u64, u32, MemberId)) {
    let mut driver = Driver::new(settings(vec![kind]));
    driver.members(&[PRIMARY, REPLICA], PRIMARY);
    driver.at(CLOSED_AT - 20_000);
    driver.request(1, kind, Some(7));
    driver.at(CLOSED_AT);
    (driver, (1, 0, PRIMARY))
}

/// Guards against second copies: a repeat right behind a close may be worked off before it.
#[test]
fn repeat_waits_until_the_close_of_the_earlier_attempt_has_settled() {
    for ending in [Ending::Timeout, Ending::Reset, Ending::Error] {
        let (mut driver, attempt) = driver_with_write_out(WRITE);
        driver.end_closed(attempt, ending, SETTLED_AT);
        driver.run_to(SETTLED_AT - 1);
        assert_eq!(driver.sent(1).len(), 1, "{ending:?}: sent before the close has settled");
        driver.run_to(SETTLED_AT);
        assert_eq!(driver.sent(1).len(), 2, "{ending:?}: not sent once it has");
    }
}

/// Guards the latency of repeats: an attempt that its db host has answered keeps nobody waiting.
#[test]
fn repeat_follows_an_answered_attempt_at_once() {
    let (mut driver, attempt) = driver_with_write_out(WRITE);
    driver.end(attempt, Ending::Error, None, false);
    assert_eq!(driver.sent(1).len(), 2);
}

/// Guards against repeats after their window, and against requests held in vain: the wait for a close counts.
#[test]
fn request_whose_window_ends_before_the_close_has_settled_is_given_up_at_once() {
    let (mut driver, attempt) = driver_with_write_out(WRITE);
    let window_end = CLOSED_AT - 20_000 + 2_000_000;
    driver.end_closed(attempt, Ending::Reset, window_end);
    assert_eq!((driver.sent(1).len(), driver.finals(1)), (1, 1));
}

/// Guards against requests held in vain: no time is left behind the wait.
#[test]
fn request_whose_time_ends_before_the_close_has_settled_is_given_up_at_once() {
    let (mut driver, attempt) = driver_with_write_out(ANY);
    let member = driver.sent(1)[0];
    driver.end_closed((1, 0, member), Ending::Reset, CLOSED_AT + 60_000_000);
    assert_eq!((attempt.1, driver.sent(1).len(), driver.finals(1)), (0, 1, 1));
}
