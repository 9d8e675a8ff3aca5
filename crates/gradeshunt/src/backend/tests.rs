//! Tests of the part named by the folder.

use leadmast::Ending;

use super::jobs::unsent_ending;

/// Guards what the decisions learn of a host that has vanished: attempts there seldom live to see the connect
/// time-out, and each that tells nothing is followed by another.
#[test]
fn attempt_that_waited_in_vain_for_a_connection_tells_of_it() {
    assert_eq!(unsent_ending(Ending::Timeout, 125_000, 250_000), Ending::ConnectFailed);
    assert_eq!(unsent_ending(Ending::Timeout, 124_999, 250_000), Ending::Moot);
    assert_eq!(unsent_ending(Ending::Cancelled, 250_000, 250_000), Ending::Moot);
}
