//! Tests of the part named by the folder.

use super::*;

/// Guards the guard: each check finds what it is for.
#[test]
fn finds_what_is_lost_and_what_ran_twice() {
    let writes = BTreeMap::from([("0-0".to_owned(), 1), ("0-4".to_owned(), 2)]);
    let served = ["0-0", "0-1", "0-4", "0-8"].map(str::to_owned);
    assert_eq!(lost(&served, &writes), ["write 0-8 was confirmed and is lost"]);
    assert_eq!(twice(&writes), ["key 0-4 has run 2 times"]);
}
