//! Tests of the limit on log lines.

use super::*;

/// Guards the log's queue: lines beyond the limit are counted and told with the next one, each kind by itself.
#[test]
fn lines_that_clients_cause_are_limited_and_counted() {
    const LINES: u64 = 1_000;
    let mut limit = LogLimit::default();
    let admitted = (0..LINES).filter_map(|_| limit.admit(ClientLine::TooManyClients, 5)).count() as u64;
    assert_eq!(admitted, LINES_PER_INTERVAL);
    assert_eq!(limit.admit(ClientLine::ProtocolViolation, 5), Some(0));
    assert_eq!(limit.admit(ClientLine::TooManyClients, INTERVAL), Some(LINES - LINES_PER_INTERVAL));
    assert_eq!(limit.admit(ClientLine::TooManyClients, INTERVAL), Some(0));
}
