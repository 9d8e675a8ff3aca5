//! Tests of the part named by the folder.

use super::*;

#[test]
fn counts_are_read_from_what_operators_are_shown() {
    let shown = "group here/0\nsets_direct 1\nrequests home=1 sent_on=2 taken=3 direct=4 refused=5\n";
    let expected = Account { home: 1, sent_on: 2, taken: 3, direct: 4, refused: 5, ..Account::default() };
    assert_eq!(Account::parse(shown), expected);
    assert_eq!(Account::parse("no file on placement is given\n"), Account::default());
}
