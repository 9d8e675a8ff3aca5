//! Tests of the part named by the folder.

use super::*;

/// Guards scripts: what can't be played is told, and where.
#[test]
fn odd_scripts_get_a_clear_error() {
    let script = parse("sites: 'a' load: 50 event { what: KILL site: '#2' until: 'lost' requests: 5 }");
    let event = Event {
        what: What::Kill,
        site: Some(Which::Drawn(1)),
        until: Some("lost".into()),
        requests: 5,
        ms: 0,
    };
    assert_eq!(script.map(|s| (s.load, s.events)), Ok((0.5, vec![event])));
    let cases = [
        ("", "sites: missing"),
        ("sites: 'a' load: 0", "1: load: is 0"),
        ("sites: 'a'\nevent { what: KILL }", "2: event[0].site: missing"),
        ("sites: 'a'\nevent { until: 'lost' }", "2: event[0].site: missing"),
        ("sites: 'a' event { what: BACK site: '#0' }", "event[0].site: \"#0\""),
        ("sites: 'a' event { what: EXPLODE }", "EXPLODE"),
    ];
    for (text, why) in cases {
        let told = parse(text).expect_err(text);
        assert!(told.contains(why), "{text}: {told}");
    }
}
