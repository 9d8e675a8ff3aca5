//! Tests of the part named by the folder.

use super::*;

/// Guards scripts: what can't be played is told, and where.
#[test]
fn odd_scripts_get_a_clear_error() {
    let fleet = "fleet { proxies: 2 set: 3 clients: 1 wait_ms: 900 }";
    let script = parse(&format!("{fleet} step {{ link {{ proxy: -1 host: 2 state: DEAF }} requests: 5 }}"));
    let link = Fault::Link { proxy: None, set: Some(0), host: Some(2), state: State::Deaf };
    assert_eq!(script.map(|s| s.steps), Ok(vec![Step { what: Some(link), requests: 5 }]));
    let cases = [
        ("", "no fleet"),
        ("fleet { proxies: 99 set: 1 clients: 1 wait_ms: 1 }", "proxies is 99"),
        ("fleet { proxies: 1 clients: 1 wait_ms: 1 }", "no set"),
        ("fleet { proxies: 1 set: 1 clients: 1 }", "wait_ms"),
        ("flee {}", "flee"),
    ];
    let steps = [
        ("step { link { proxy: 2 } }", "step 0: proxy is 2, of 0 to 1"),
        ("step {} step { link { host: 3 } }", "step 1: host is 3"),
        ("step { link { state: SLOW } }", "needs delay_ms"),
        ("step { link { state: GONE } }", "GONE"),
    ];
    let steps = steps.map(|(step, why)| (format!("{fleet} {step}"), why));
    for (text, why) in cases.map(|(text, why)| (text.to_owned(), why)).into_iter().chain(steps) {
        let told = parse(&text).expect_err(&text);
        assert!(told.contains(why), "{text}: {told}");
    }
}
