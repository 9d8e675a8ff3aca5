//! Tests of the delay between an attempt whose connection was closed and the next attempt of its request: the
//! next one is sent only once the close counts as handled by the db host.

mod common;

use common::*;
use leadmast::*;

const CLOSED_AT: Micros = 1_000_000;
const SETTLED_AT: Micros = CLOSED_AT + 2_000;

/// A driver that has sent request 1 to a member 20 ms ago.
fn driver_with_write_out(kind: Kind) -> (Driver, (u64, u32, MemberId)) {
    let mut driver = Driver::new(settings(vec![kind]));
    driver.members(&[PRIMARY, REPLICA], PRIMARY);
    driver.at(CLOSED_AT - 20_000);
    driver.request(1, kind, Some(7));
    driver.at(CLOSED_AT);
    (driver, (1, 0, PRIMARY))
}

/// Guards against a write that runs twice: the db host may handle a repeat that follows a close at once
/// before it handles the close.
#[test]
fn repeat_waits_until_the_close_of_the_earlier_attempt_has_settled() {
    for ending in [Ending::Timeout, Ending::Reset, Ending::Error] {
        let (mut driver, attempt) = driver_with_write_out(WRITE);
        driver.end_closed(attempt, ending, SETTLED_AT);
        driver.run_to(SETTLED_AT - 1);
        assert_eq!(driver.sent(1).len(), 1, "{ending:?}: sent before the close has settled");
        driver.run_to(SETTLED_AT);
        assert_eq!(driver.sent(1).len(), 2, "{ending:?}: not sent once the close has settled");
    }
}

/// Guards the latency of repeats: after an attempt that its db host has answered there is no close to wait
/// for.
#[test]
fn repeat_follows_an_answered_attempt_at_once() {
    let (mut driver, attempt) = driver_with_write_out(WRITE);
    driver.end(attempt, Ending::Error, None, false);
    assert_eq!(driver.sent(1).len(), 2);
}

/// Guards against repeats after the window of a keyed write, and against holding a request whose window will
/// have passed once the close has settled.
#[test]
fn request_whose_window_ends_before_the_close_has_settled_is_given_up_at_once() {
    let (mut driver, attempt) = driver_with_write_out(WRITE);
    let window_end = CLOSED_AT - 20_000 + 2_000_000;
    driver.end_closed(attempt, Ending::Reset, window_end);
    assert_eq!((driver.sent(1).len(), driver.finals(1)), (1, 1));
}

/// Guards against holding a request whose deadline comes before the close has settled.
#[test]
fn request_whose_time_ends_before_the_close_has_settled_is_given_up_at_once() {
    let (mut driver, attempt) = driver_with_write_out(ANY);
    let member = driver.sent(1)[0];
    driver.end_closed((1, 0, member), Ending::Reset, CLOSED_AT + 60_000_000);
    assert_eq!((attempt.1, driver.sent(1).len(), driver.finals(1)), (0, 1, 1));
}
