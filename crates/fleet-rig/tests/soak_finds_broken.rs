//! The soak test against programs that break a rule each: a soak that finds nothing on these is none.

use std::path::Path;
use std::time::Duration;

use gradeshunt_soak::ledger::Rule;
use gradeshunt_soak::play::{play, Options};
use gradeshunt_soak::trouble::Kind;

/// The rules that a program with this fault is found to break, under troubles of these kinds.
fn rules_broken(fault: &str, kinds: &[Kind]) -> Vec<Rule> {
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("soak-{fault}-{}", std::process::id()));
    let mut options = Options::of(Path::new(env!("CARGO_BIN_EXE_gradeshunt-broken")), &folder, 1);
    options.proxies = 3;
    options.lasts = Duration::from_secs(4);
    options.kinds = kinds.to_vec();
    options.environment = vec![("GRADESHUNT_BROKEN".to_owned(), fault.to_owned())];
    let report = play(&options).expect("it plays");
    report.summary.counts.into_keys().collect()
}

/// Each rule that a relay can break is found broken, and a plain relay breaks none of them. It knows nothing of SIGTERM, so that
/// each of them breaks the rule on processes.
#[test]
fn soak_finds_programs_that_break_a_rule() {
    let cases: [(&str, Kind, &[Rule]); 7] = [
        ("none", Kind::BadClients, &[]),
        ("twice", Kind::BadClients, &[Rule::RanTwice]),
        ("lost", Kind::BadClients, &[Rule::ForeignValue]),
        ("mute", Kind::BadClients, &[Rule::ReadAndClosed]),
        ("late", Kind::BadClients, &[Rule::FinalAnswer]),
        ("stale", Kind::FrozenHost, &[Rule::StaleRead]),
        ("drained", Kind::DrainingHost, &[Rule::Drain]),
    ];
    for (fault, kind, expected) in cases {
        let broken = rules_broken(fault, &[kind]);
        assert!(expected.iter().all(|rule| broken.contains(rule)), "{fault}: {broken:?}");
        let of_relays = |rule: &Rule| cases.iter().any(|(_, _, rules)| rules.contains(rule));
        assert!(fault != "none" || !broken.iter().any(of_relays), "{broken:?}");
    }
}
