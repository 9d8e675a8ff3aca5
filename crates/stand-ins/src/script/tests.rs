//! Tests of the part named by the folder.

use super::*;

#[test]
fn the_first_rule_that_applies_counts() {
    let mut script = Script::default();
    script.add(Rule::once("b", Act::Hang).taking(Duration::from_millis(3)));
    script.add(Rule::always("b", Act::Silence));
    assert_eq!(script.meet("abc"), (Duration::from_millis(3), Act::Hang));
    assert_eq!(script.meet("abc"), (Duration::ZERO, Act::Silence));
    assert_eq!(script.meet("xyz"), (Duration::ZERO, Act::Usual));
}
