//! Tests of the part named by the folder.

use super::*;

/// Guards what tests of stale reads and repeats rest on.
#[test]
fn replicas_lag_and_keys_run_once() {
    let set = Set::new(2, Duration::from_secs(3600));
    set.set_lag(1, Duration::from_secs(3600));
    assert_eq!(set.put(1, "w", None, "a", b"1"), Err(Declined::NotPrimary));
    let first = set.put(0, "w", Some("k"), "a", b"1");
    assert_eq!(set.put(0, "w", Some("k"), "a", b"2"), first);
    assert_eq!((set.get(0, "a"), set.get(1, "a")), (Some(b"1".to_vec()), None));
    assert_eq!(set.writes(), BTreeMap::from([("k".to_owned(), 1)]));
    set.set_lag(1, Duration::ZERO);
    assert_eq!(set.get(1, "a"), Some(b"1".to_vec()));
    set.promote(Some(1));
    assert_eq!((set.role(0), set.role(1)), (Role::Replica, Role::Primary));
    assert_eq!(set.ran().len(), 2);
}
