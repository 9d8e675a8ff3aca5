//! Tests of the shared state without files.

use super::*;

fn scanned(other_process: Option<ProcessState>, held_out: &[&str]) -> CompletedTask {
    let held_out = held_out.iter().map(|s| s.to_string()).collect();
    CompletedTask::Scanned(Ok(View { held_out, other_process }))
}

fn others(changes: &[Change]) -> usize {
    changes.iter().filter(|c| matches!(c, Change::OtherProcess { .. })).count()
}

/// Guards the loop's memory and the worker's queue: while the disk blocks, each kind of work is requested
/// once, and the latest state is the one that is published.
#[test]
fn blocked_disk_queues_each_kind_of_work_once() {
    let mut shared = SharedState::new();
    assert_eq!(shared.next_task(0), Some(Task::Scan));
    let mut complaints = 0;
    for n in 1..=100 {
        complaints += usize::from(shared.request_scan(n * 50_000).is_some());
        assert_eq!(shared.next_task(n * 50_000), None, "a scan is already under way");
    }
    assert_eq!(complaints, 1, "one complaint in 10 s");
    shared.change_state(ProcessState::Serving);
    assert_eq!(shared.next_task(0), Some(Task::Publish(ProcessState::Serving)));
    shared.change_state(ProcessState::Starting);
    shared.change_state(ProcessState::Leaving);
    assert_eq!(shared.next_task(0), None, "the first state is not written yet");
    shared.complete(0, CompletedTask::Published(Ok(())));
    assert_eq!(shared.next_task(0), Some(Task::Publish(ProcessState::Leaving)));
    assert_eq!((0..100).filter(|n| shared.hold_out(CallerId(*n), "s-1", true)).count(), MAX_HOLD_OUTS);
    assert_eq!((0..100).filter(|_| shared.next_task(0).is_some()).count(), MAX_HOLD_OUTS);
}

/// Guards connections that wait to be accepted: a process leaves the listening socket only to a successor
/// that a scan shows to serve, and that scan must have begun after the process was told to leave. A successor
/// seen by an earlier scan may have died since.
#[test]
fn only_a_scan_begun_after_sigterm_shows_a_successor() {
    let mut shared = SharedState::new();
    assert_eq!(shared.next_task(0), Some(Task::Scan));
    shared.complete(0, scanned(Some(ProcessState::Serving), &[]));
    shared.request_scan(0);
    assert_eq!(shared.next_task(0), Some(Task::Scan));
    shared.change_state(ProcessState::Leaving);
    assert!(!shared.has_successor());
    assert_eq!(others(&shared.complete(0, scanned(Some(ProcessState::Serving), &[]))), 1);
    assert!(!shared.has_successor(), "that scan began before SIGTERM");
    assert_eq!(shared.next_task(0), Some(Task::Publish(ProcessState::Leaving)));
    assert_eq!(shared.next_task(0), Some(Task::Scan));
    assert!(!shared.has_successor());
    assert_eq!(others(&shared.complete(0, scanned(Some(ProcessState::Serving), &[]))), 1);
    assert!(shared.has_successor());
    shared.request_scan(0);
    shared.next_task(0);
    shared.complete(0, scanned(Some(ProcessState::Starting), &[]));
    assert!(!shared.has_successor());
}

/// Guards the confirmation that operators get: a hold-out takes effect and is confirmed once it is stored,
/// and neither if it can't be.
#[test]
fn hold_out_is_confirmed_once_it_is_stored() {
    let mut shared = SharedState::new();
    assert!(!shared.is_alone(), "nothing has been read yet");
    let changes = shared.complete(0, scanned(None, &["s-1"]));
    assert!(matches!(&changes[0], Change::HoldOut { id, out: true } if id == "s-1"));
    assert!(matches!(&changes[1], Change::FirstScan) && shared.is_alone());
    assert!(shared.hold_out(CallerId(1), "s-2", true));
    assert!(!shared.is_held_out("s-2"), "it is not stored yet");
    let stored =
        |stored| CompletedTask::HeldOut { caller: CallerId(1), id: "s-2".to_owned(), out: true, stored };
    let changes = shared.complete(0, stored(Err("full".to_owned())));
    assert!(
        matches!(&changes[..], [Change::HoldOutStored { stored: Err(_), .. }]) && !shared.is_held_out("s-2")
    );
    let changes = shared.complete(0, stored(Ok(())));
    assert!(matches!(
        &changes[..],
        [Change::HoldOut { out: true, .. }, Change::HoldOutStored { stored: Ok(()), .. }]
    ));
    assert!(shared.is_held_out("s-2"));
    assert!(shared.complete(0, scanned(None, &["s-1", "s-2"])).is_empty(), "the scan shows nothing new");
}

/// Guards work that fails while the disk returns errors: a state that could not be published is published
/// again, and a configuration that could not be read is read again. A configuration that was read but is
/// invalid is not.
#[test]
fn transient_failures_are_retried() {
    let mut shared = SharedState::new();
    assert_eq!(shared.next_task(0), Some(Task::Scan));
    shared.change_state(ProcessState::Serving);
    assert_eq!(shared.next_task(0), Some(Task::Publish(ProcessState::Serving)));
    shared.complete(0, CompletedTask::Published(Err("no space".to_owned())));
    assert_eq!(shared.next_task(0), None, "not before the next scan is due");
    shared.request_scan(50_000);
    assert_eq!(shared.next_task(50_000), Some(Task::Publish(ProcessState::Serving)));
    shared.complete(50_000, CompletedTask::Published(Ok(())));
    for (is_transient, again) in [(true, Some(Task::Reread)), (false, None)] {
        shared.reread();
        assert_eq!(shared.next_task(50_000), Some(Task::Reread));
        let error = ConfigError { is_transient, ..ConfigError::from("why".to_owned()) };
        shared.complete(50_000, CompletedTask::Reread(Err(error)));
        shared.request_scan(50_000 + REREAD_PAUSE);
        assert_eq!(shared.next_task(50_000 + REREAD_PAUSE), again);
        shared.complete(50_000, CompletedTask::Reread(Err(ConfigError::from("why".to_owned()))));
    }
}
