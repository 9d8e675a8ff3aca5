//! Tests of placement decisions.

use super::*;

/// This proxy and two others in one group, in which each set has two homes.
fn placing(own: &str) -> PlacementRouter {
    let proxies = ["a", "b", "c"].map(|name| {
        let port = 1000 + u16::from(name.as_bytes()[0]);
        format!("proxy {{ name: \"{name}\" zone: \"z\" address: \"127.0.0.1:{port}\" }}")
    });
    let text =
        format!("placement {{ group_size {{ least: 2 most: 9 }} direct_sets: 1 {} }}", proxies.join(" "));
    PlacementRouter::new(Placement::parse("test", &text, own).expect("a placement"), 1_000)
}

/// Sets of which this proxy is no home.
fn foreign_sets(placing: &mut PlacementRouter) -> Vec<GroupId> {
    let sets = (1..).map(GroupId);
    let foreign = |set: &GroupId| placing.decide(0, *set, Bucket::new(0), &[]) != Decision::Here;
    sets.filter(foreign).take(2).collect()
}

fn home(placing: &mut PlacementRouter, now: Micros, set: GroupId, tried: &[MemberId]) -> MemberId {
    match placing.decide(now, set, Bucket::new(0), tried) {
        Decision::SendOn(home) => home,
        other => panic!("{other:?}"),
    }
}

/// Guards the back-off of an unavailable proxy: it doubles, failures within it count once, and an answer ends
/// it.
#[test]
fn unavailable_home_is_skipped_for_twice_as_long_each_time() {
    let mut placing = placing("a");
    let set = foreign_sets(&mut placing)[0];
    let first = home(&mut placing, 0, set, &[]);
    assert!(placing.record_failure(0, first));
    assert!(!placing.record_failure(999, first), "requests under way together count as one failure");
    assert_ne!(home(&mut placing, 999, set, &[]), first);
    assert_eq!(home(&mut placing, 1_000, set, &[]), first);
    assert!(placing.record_failure(1_000, first));
    assert_ne!(home(&mut placing, 2_999, set, &[]), first);
    placing.record_answer(2_999, first, set);
    assert_eq!(home(&mut placing, 2_999, set, &[]), first);
    assert!(placing.has_answered_recently(3_998, first) && !placing.has_answered_recently(3_999, first));
}

/// Guards the bound on the sets that go direct, from a proxy that is not their home: it holds, and a set
/// stops going direct once a home answers.
#[test]
fn sets_go_direct_up_to_a_limit_and_only_while_no_home_is_available() {
    let mut placing = placing("a");
    let sets = foreign_sets(&mut placing);
    let (one, other) = (sets[0], sets[1]);
    let first = home(&mut placing, 0, one, &[]);
    let second = home(&mut placing, 0, one, &[first]);
    let all = [first, second];
    assert_eq!(placing.decide(0, one, Bucket::new(0), &all), Decision::Here);
    assert_eq!(placing.decide(0, one, Bucket::new(0), &all), Decision::Here, "the set goes direct already");
    assert_eq!(placing.decide(0, other, Bucket::new(0), &all), Decision::Refuse);
    placing.record_answer(0, first, one);
    assert_eq!(
        placing.decide(0, other, Bucket::new(0), &all),
        Decision::Here,
        "another set may go direct again"
    );
    let counts = placing.counts;
    assert_eq!((counts.direct, counts.refused), (3, 1));
}

/// Guards the division of budgets: those of db hosts are divided by the homes over all groups, tenants'
/// shares by all proxies.
#[test]
fn budgets_divide_by_homes_and_shares_by_proxies() {
    let config = std::fs::read_to_string("../../examples/shared.json").expect("the example");
    let config: serde_json::Value = serde_json::from_str(&config).expect("JSON");
    let mut settings = leadmast::settings::read(&config["settings"]).expect("settings").settings;
    settings.fleet_size = 3_400;
    let before: Vec<f64> = settings.tenants.iter().map(|t| t.rate / f64::from(settings.fleet_size)).collect();
    let placing = placing("a").divide_budgets(&mut settings);
    // One group, two versions of the roster with two homes each, and one slot for sets that go direct.
    assert_eq!(settings.fleet_size, 5);
    let after: Vec<f64> = settings.tenants.iter().map(|t| t.rate / f64::from(settings.fleet_size)).collect();
    assert!(!before.is_empty() && before.iter().zip(&after).all(|(a, b)| (a - b).abs() < 1e-9 * a));
    assert!(!placing.needs_restart());
}
