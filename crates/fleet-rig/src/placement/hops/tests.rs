//! Tests of the part named by the folder.

use gradeshunt_stand_ins::postgres::wire;

use super::*;

fn sent(id: &str) -> Vec<u8> {
    [wire::startup(&[("user", "gradeshunt")]), wire::query(&format!("/* id={id},c=r */ SELECT 1"))].concat()
}

/// Guards the guard: ids are found however bytes are cut, several homes of one sender pass, two senders are found.
#[test]
fn request_with_two_senders_is_found() {
    let hops = Hops::default();
    for (id, from, to) in [("a", 0, 1), ("a", 0, 2), ("b", 0, 1), ("b", 1, 2)] {
        let mut reader = hops.tap(Hop { from, to })();
        sent(id).chunks(3).for_each(&mut reader);
    }
    assert_eq!((hops.len(), hops.has("a"), hops.has("c")), (2, true, false));
    let twice = hops.handed_on_twice();
    assert_eq!(twice.len(), 1, "{twice:?}");
    assert!(twice[0].contains("request b "), "{twice:?}");
}
