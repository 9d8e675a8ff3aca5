//! Keeping to the plan: what one proxy lets in, and what all do in sum.

use gradeshunt_sites::admission::Admission;
use gradeshunt_sites::layout::{Layout, SiteId};

/// North and south bear 10 s of work a second each, and are asked for 6 s.
const TWO: &str = r#"
site { name: "north" proxies: 3 } site { name: "south" proxies: 3 }
set { cluster: 1 members { site: "north" hosts: 4 capacity: 10 } members { site: "south" hosts: 4 capacity: 10 }
      primary: "north" primary: "south" }
class { name: "page" access: READ work_ms: 20 worth: 2 }
class { name: "cheap" access: READ work_ms: 20 worth: 1 }
class { name: "tally" access: WRITE work_ms: 20 worth: 3 }
demand { site: "north" class: "page" cluster: 1 rate: 150 } demand { site: "south" class: "page" cluster: 1 rate: 150 }
demand { site: "north" class: "cheap" cluster: 1 rate: 120 } demand { site: "south" class: "cheap" cluster: 1 rate: 120 }
demand { site: "north" class: "tally" cluster: 1 rate: 30 } demand { site: "south" class: "tally" cluster: 1 rate: 30 }
headroom: 1
"#;

const PAGE: usize = 0;
const CHEAP: usize = 1;
const TALLY: usize = 2;

/// Ten seconds at one proxy in south, north lost after the second: requests a second of each class that come, and that are let
/// in during the last five.
fn lets_in(text: &str, come: [f64; 3], missing: f64) -> [f64; 3] {
    let mut admission = Admission::new(Layout::parse(text).expect("a layout"), SiteId(1), 0).expect("plans");
    let (mut next, mut within) = ([0.0; 3], [0.0; 3]);
    for step in 1..=1000 {
        let now = step * 10_000;
        for class in 0..3 {
            while come[class] > 0.0 && next[class] <= now as f64 {
                next[class] += 1e6 / come[class];
                let goes = admission.admits((class, 0, None));
                if goes {
                    admission.sent(&(class, 0, None));
                }
                within[class] += f64::from(u8::from(goes && now > 5_000_000)) / 5.0;
            }
        }
        let gone = if now >= 1_000_000 { missing } else { 0.0 };
        admission.anew(now, &[gone, 0.0], now == 1_000_000);
    }
    within
}

#[test]
fn what_is_worth_least_is_refused_and_no_more_than_has_no_room() {
    // All of north's and south's come to three proxies: 100 pages, 80 cheap reads, 20 tallies each. South's 10 s are 500
    // requests, 166.7 for each proxy; tallies and pages go first.
    let [page, cheap, tally] = lets_in(TWO, [100.0, 80.0, 20.0], 1.0);
    assert!((99.0..=101.0).contains(&page) && (19.0..=21.0).contains(&tally), "{page} {tally}");
    assert!((44.0..=49.0).contains(&cheap), "{cheap}");
    // A quiet night has room for all.
    let quiet = lets_in(TWO, [50.0, 40.0, 10.0], 1.0);
    assert!(quiet.iter().zip([50.0, 40.0, 10.0]).all(|(a, b)| (a - b).abs() < 1.0), "{quiet:?}");
    // More than was planned for is refused where it is worth least.
    let crowd = lets_in(TWO, [200.0, 200.0, 20.0], 1.0);
    assert!(
        crowd[CHEAP] < 1.0 && (crowd[PAGE] - 146.7).abs() < 4.0 && (crowd[TALLY] - 20.0).abs() < 1.0,
        "{crowd:?}"
    );
}

#[test]
fn floors_go_before_worth() {
    let text = format!("{TWO} floor {{ class: \"cheap\" share: 0.5 }}");
    let [page, cheap, _] = lets_in(&text, [200.0, 100.0, 20.0], 1.0);
    assert!((48.0..=52.0).contains(&cheap) && (93.0..=100.0).contains(&page), "{page} {cheap}");
}

#[test]
fn half_a_site_has_half_the_effect() {
    // One proxy in north. With all sites one of south's three has its own 2 s of work a second and a quarter of the 8 that are left
    // over: 200 requests. Without north a third of south's 10 s, 167; with half of it the mean of both.
    let text = TWO.replace("name: \"north\" proxies: 3", "name: \"north\" proxies: 1");
    let sum = |missing| lets_in(&text, [100.0, 90.0, 20.0], missing).iter().sum::<f64>();
    let (half, all) = (sum(0.5), sum(1.0));
    assert!((half - 183.0).abs() < 5.0 && (all - 167.0).abs() < 5.0, "{half} {all}");
}

#[test]
fn nothing_is_refused_while_no_site_is_missing_and_kinds_of_no_plan_never() {
    let free = lets_in(TWO, [900.0, 900.0, 300.0], 0.0);
    assert!(free.iter().zip([900.0, 900.0, 300.0]).all(|(a, b)| (a - b).abs() < 1.0), "{free:?}");
    let odd = TWO.replace("class { name: \"cheap\"", "class { name: \"cheaper\"");
    assert!(Layout::parse(&odd).is_err_and(|e| e.contains("unknown \"cheap\"")));
}

#[test]
fn floor_that_never_holds_is_an_error() {
    let layout = Layout::parse(&TWO.replace("capacity: 10", "capacity: 1")).expect("a layout");
    assert!(Admission::new(layout, SiteId(0), 0).is_ok(), "without a floor nothing is promised");
    let text =
        format!("{} floor {{ class: \"page\" share: 0.9 }}", TWO.replace("capacity: 10", "capacity: 1"));
    let why = Admission::new(Layout::parse(&text).expect("a layout"), SiteId(0), 0).expect_err("never holds");
    assert!(why.contains("floor[0]"), "{why}");
}
