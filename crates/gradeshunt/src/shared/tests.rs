//! Tests of the shared state without files.

use super::*;

fn looked(other: Option<Duty>, held_out: &[&str]) -> Done {
    let held_out = held_out.iter().map(|s| s.to_string()).collect();
    Done::Looked(Ok(View { held_out, other }))
}

fn others(changes: &[Change]) -> usize {
    changes.iter().filter(|c| matches!(c, Change::Other { .. })).count()
}

/// Guards the loop's memory and the worker's queue: while the disk blocks, each kind of work is requested
/// once, and the latest state is the one that is published.
#[test]
fn while_the_disk_stands_little_is_asked() {
    let mut shared = Shared::new();
    assert_eq!(shared.next(0), Some(Task::Look));
    let mut complaints = 0;
    for n in 1..=100 {
        complaints += usize::from(shared.look(n * 50_000).is_some());
        assert_eq!(shared.next(n * 50_000), None, "a look is already under way");
    }
    assert_eq!(complaints, 1, "one complaint in 10 s");
    shared.turn_to(Duty::Serving);
    assert_eq!(shared.next(0), Some(Task::Tell(Duty::Serving)));
    shared.turn_to(Duty::Starting);
    shared.turn_to(Duty::Leaving);
    assert_eq!(shared.next(0), None, "the first state is not written yet");
    shared.done(0, Done::Told(Ok(())));
    assert_eq!(shared.next(0), Some(Task::Tell(Duty::Leaving)));
    assert_eq!((0..100).filter(|n| shared.hold_out(CallerId(*n), "s-1", true)).count(), BANS);
    assert_eq!((0..100).filter(|_| shared.next(0).is_some()).count(), BANS);
}

/// Guards connections that wait to be accepted: a process leaves the listening socket only to a successor
/// that a look shows to serve, and that look must have begun after the process was told to leave. A successor
/// seen by an earlier look may have died since.
#[test]
fn only_a_fresh_look_shows_a_successor() {
    let mut shared = Shared::new();
    assert_eq!(shared.next(0), Some(Task::Look));
    shared.done(0, looked(Some(Duty::Serving), &[]));
    shared.look(0);
    assert_eq!(shared.next(0), Some(Task::Look));
    shared.turn_to(Duty::Leaving);
    assert!(!shared.is_succeeded());
    assert_eq!(others(&shared.done(0, looked(Some(Duty::Serving), &[]))), 1);
    assert!(!shared.is_succeeded(), "that look began before SIGTERM");
    assert_eq!(shared.next(0), Some(Task::Tell(Duty::Leaving)));
    assert_eq!(shared.next(0), Some(Task::Look));
    assert!(!shared.is_succeeded());
    assert_eq!(others(&shared.done(0, looked(Some(Duty::Serving), &[]))), 1);
    assert!(shared.is_succeeded());
    shared.look(0);
    shared.next(0);
    shared.done(0, looked(Some(Duty::Starting), &[]));
    assert!(!shared.is_succeeded());
}

/// Guards the confirmation that operators get: a hold-out takes effect and is confirmed once it is stored,
/// and neither if it can't be.
#[test]
fn a_ban_is_confirmed_when_it_is_kept() {
    let mut shared = Shared::new();
    assert!(!shared.is_alone(), "nothing has been read yet");
    let changes = shared.done(0, looked(None, &["s-1"]));
    assert!(matches!(&changes[0], Change::Ban { id, out: true } if id == "s-1"));
    assert!(matches!(&changes[1], Change::Seen) && shared.is_alone());
    assert!(shared.hold_out(CallerId(1), "s-2", true));
    assert!(!shared.is_held_out("s-2"), "it is not stored yet");
    let kept = |kept| Done::HeldOut { caller: CallerId(1), id: "s-2".to_owned(), out: true, kept };
    let changes = shared.done(0, kept(Err("full".to_owned())));
    assert!(matches!(&changes[..], [Change::Kept { kept: Err(_), .. }]) && !shared.is_held_out("s-2"));
    let changes = shared.done(0, kept(Ok(())));
    assert!(matches!(&changes[..], [Change::Ban { out: true, .. }, Change::Kept { kept: Ok(()), .. }]));
    assert!(shared.is_held_out("s-2"));
    assert!(shared.done(0, looked(None, &["s-1", "s-2"])).is_empty(), "the look shows nothing new");
}

/// Guards work that fails while the disk returns errors: a state that could not be published is published
/// again, and a configuration that could not be read is read again. A configuration that was read but is
/// invalid is not.
#[test]
fn what_has_failed_and_may_pass_is_tried_again() {
    let mut shared = Shared::new();
    assert_eq!(shared.next(0), Some(Task::Look));
    shared.turn_to(Duty::Serving);
    assert_eq!(shared.next(0), Some(Task::Tell(Duty::Serving)));
    shared.done(0, Done::Told(Err("no space".to_owned())));
    assert_eq!(shared.next(0), None, "not before the next look is due");
    shared.look(50_000);
    assert_eq!(shared.next(50_000), Some(Task::Tell(Duty::Serving)));
    shared.done(50_000, Done::Told(Ok(())));
    for (is_transient, again) in [(true, Some(Task::Reread)), (false, None)] {
        shared.reread();
        assert_eq!(shared.next(50_000), Some(Task::Reread));
        let error = ConfigError { is_transient, ..ConfigError::from("why".to_owned()) };
        shared.done(50_000, Done::Reread(Err(error)));
        shared.look(50_000 + REREAD_PAUSE);
        assert_eq!(shared.next(50_000 + REREAD_PAUSE), again);
        shared.done(50_000, Done::Reread(Err(ConfigError::from("why".to_owned()))));
    }
}
