//! The plan on cases with closed forms, and on generated sites.

use std::time::Instant;

use gradeshunt_sites::greedy;
use gradeshunt_sites::layout::{Class, Demand, Floor, Layout, Members, Of, Pace, Set, Site, SiteId};
use gradeshunt_sites::plan::{losses, solve, Flow, Outcome, Verdict};
use proptest::prelude::*;

const THREE: &str = r#"
site { name: "north" proxies: 4 }
site { name: "south" proxies: 4 }
site { name: "east" proxies: 4 }
set {
  cluster: 1
  members { site: "north" hosts: 3 capacity: 12 lag_ms: 20 }
  members { site: "south" hosts: 3 capacity: 12 lag_ms: 20 }
  members { site: "east" hosts: 2 capacity: 8 lag_ms: 400 }
  primary: "north" primary: "south"
}
class { name: "page" access: READ work_ms: 20 worth: 2 bound_ms: 200 }
class { name: "old" access: READ work_ms: 20 worth: 1 }
class { name: "tally" access: WRITE work_ms: 20 worth: 3 replay_ms: 4 }
demand { site: "north" class: "page" cluster: 1 rate: 300 }
demand { site: "south" class: "page" cluster: 1 rate: 200 }
demand { site: "east" class: "old" cluster: 1 rate: 300 }
demand { site: "east" class: "tally" cluster: 1 rate: 50 }
headroom: 1
"#;

fn lose(text: &str, names: &[&str]) -> (Layout, Outcome) {
    let layout = Layout::parse(text).expect("a layout");
    let lost: Vec<_> = names.iter().map(|n| layout.site(n).expect("a site")).collect();
    let plan = solve(&layout, &lost).expect("a plan");
    (layout, plan)
}

fn near(a: f64, b: f64) -> bool {
    (a - b).abs() < 1e-3 * (1.0 + b.abs())
}

#[test]
fn what_is_left_is_shared_by_worth_for_work() {
    let (layout, whole) = lose(THREE, &[]);
    assert_eq!(whole.verdict(&layout), Verdict::Borne);
    let away = |f: &&Flow| !f.primary && f.to != layout.demands[f.demand].site;
    assert!(!whole.flows.iter().any(|f| away(&f)), "a site's own load stays there: {whole:?}");
    // North is lost: its 300 page-reads go to south, as east is too far behind. There 12 s of work a second, of which
    // writes take 50 * (0.020 + 2 * 0.004): room for 530 reads, and 500 come. East serves its own old reads.
    let (layout, one) = lose(THREE, &["north"]);
    assert_eq!(one.verdict(&layout), Verdict::Borne, "{one:?}");
    let to_south: f64 = one.flows.iter().filter(|f| f.to == SiteId(1)).map(|f| f.rate).sum();
    assert!(to_south >= 550.0 - 1e-3, "{one:?}");
    // South beside it: nobody may be primary, and east is too far behind for page-reads.
    let (layout, two) = lose(THREE, &["north", "south"]);
    assert_eq!((two.verdict(&layout), two.headless.as_slice()), (Verdict::NotBorne, &[0][..]));
    assert!(near(two.served[2], 300.0) && two.served[0] + two.served[1] + two.served[3] < 1e-3);
}

#[test]
fn least_worth_for_work_is_refused_first() {
    let text = THREE.replace("rate: 200", "rate: 500").replace("worth: 3", "worth: 1");
    let (layout, plan) = lose(&text, &["north"]);
    // A write makes 0.020 + 2 * 0.004 s of work in south, so it is worth 36 a second of it; a page-read 100.
    let refused = plan.refused(&layout);
    assert_eq!(plan.verdict(&layout), Verdict::Refusals);
    assert!(refused[2] < 1e-3, "old reads have east: {refused:?}");
    // 800 page-reads want 16 s where 12 are: with all of it 600 are served, and no write.
    assert!(near(refused[0] + refused[1], 200.0) && near(refused[3], 50.0), "{refused:?}");
    // A floor under the writes goes before: 50 * 0.028 s of south's 12 are theirs.
    let (layout, plan) = lose(&format!("{text} floor {{ class: \"tally\" share: 1 }}"), &["north"]);
    let refused = plan.refused(&layout);
    assert!(refused[3] < 1e-3 && near(refused[0] + refused[1], 800.0 - (12.0 - 1.4) / 0.020), "{refused:?}");
    assert_eq!(plan.verdict(&layout), Verdict::Refusals);
    // And one that can't hold is told, with what it lacks.
    let (layout, plan) = lose(&format!("{text} floor {{ class: \"page\" share: 0.9 }}"), &["north"]);
    assert_eq!(plan.verdict(&layout), Verdict::NotBorne);
    assert!(near(plan.short[0], 120.0), "{:?}", plan.short);
}

#[test]
fn fallbacks_links_and_prices_are_kept_to() {
    let roomy = THREE.replace("lag_ms: 400", "lag_ms: 20");
    let text = roomy.replace("name: \"north\"", "name: \"north\" fallback: \"east\"");
    let (layout, plan) = lose(&text, &["north"]);
    let of_north = |p: &Outcome| p.flows.iter().filter(|f| f.demand == 0).map(|f| f.to).collect::<Vec<_>>();
    assert_eq!(of_north(&plan), [SiteId(2)], "{plan:?}");
    // East's own old reads make room for them.
    assert!(plan.verdict(&layout) == Verdict::Borne && near(plan.served[0], 300.0), "{plan:?}");
    // The last of a chain is lost as well: anywhere.
    let (_, plan) = lose(&text, &["north", "east"]);
    assert_eq!(of_north(&plan), [SiteId(1)]);
    let (_, cheap) =
        lose(&format!("{roomy} link {{ from: \"north\" to: \"south\" price: 0.1 }}"), &["north"]);
    let east: f64 = cheap.flows.iter().filter(|f| f.demand == 0 && f.to == SiteId(2)).map(|f| f.rate).sum();
    let (_, dear) = lose(&format!("{roomy} link {{ from: \"north\" to: \"east\" price: 0.1 }}"), &["north"]);
    let south: f64 = dear.flows.iter().filter(|f| f.demand == 0 && f.to == SiteId(1)).map(|f| f.rate).sum();
    assert!(east > 50.0 && near(south, 300.0), "east {east}, south {south}");
    let (_, bound) =
        lose(&format!("{roomy} link {{ from: \"south\" to: \"north\" rate: 10 price: 0 }}"), &[]);
    let over: f64 = bound.flows.iter().filter(|f| f.demand == 1 && f.to == SiteId(0)).map(|f| f.rate).sum();
    assert!(over <= 10.0 + 1e-3, "{bound:?}");
}

#[test]
fn odd_files_are_told_with_line_and_field() {
    let cases = [
        ("site { name: \"north\"", "site { nam: \"north\"", "2:8"),
        (
            "site: \"north\" hosts: 3",
            "site: \"nort\" hosts: 3",
            "7: set[0].members[0].site: unknown \"nort\", expected one of north, south, east",
        ),
        (
            "hosts: 3 capacity: 12 lag_ms: 20 }\n  members { site: \"south\"",
            "hosts: 3 capacity: -2 }\n  members { site: \"south\"",
            "7: set[0].members[0].capacity: is -2",
        ),
        ("hosts: 2 capacity: 8", "hosts: 2", "9: set[0].members[2].capacity: missing"),
        (
            "hosts: 2 capacity: 8",
            "hosts: 0 capacity: 8",
            "9: set[0].members[2].hosts: is 0, expected 1 or more",
        ),
        ("primary: \"south\"", "primary: \"north\"", "set[0].primary: \"north\" is given twice"),
        ("access: WRITE", "", "14: class[2].access: missing, expected READ or WRITE"),
        ("worth: 1", "worth: 0", "13: class[1].worth: is 0, expected more"),
        ("class: \"old\" cluster", "class: \"new\" cluster", "17: demand[2].class: unknown \"new\""),
        ("rate: 50", "", "18: demand[3].rate: missing"),
        (
            "cluster: 1 rate: 50",
            "cluster: 2 rate: 50",
            "18: demand[3].cluster: unknown \"2\", expected one of 1",
        ),
        ("headroom: 1", "headroom: 1.5", "19: headroom: is 1.5"),
        ("headroom: 1", "floor { class: \"page\" share: 1.2 }", "19: floor[0].share: is 1.2"),
        ("headroom: 1", "floor { share: 1 }", "19: floor[0]: expected a class or a tenant"),
        ("headroom: 1", "floor { tenant: \"x\" share: 1 }", "19: floor[0].tenant: unknown \"x\""),
        ("headroom: 1", "link { from: \"east\" to: \"east\" }", "19: link[0].to: the same site"),
        ("headroom: 1", "return { hold_ms: 9000 hold_most_ms: 10 }", "19: return.hold_most_ms: is 10"),
        ("site { name: \"south\"", "site { name: \"north\"", "3: site[1].name: \"north\" is given twice"),
        ("name: \"south\" proxies: 4", "name: \"south\"", "3: site[1].proxies: missing"),
    ];
    for (from, to, told) in cases {
        assert!(THREE.contains(from), "{from}");
        let why = Layout::parse(&THREE.replacen(from, to, 1)).expect_err(to);
        assert!(why.contains(told), "{to}: {why}");
    }
    let circle = THREE
        .replace("name: \"north\" p", "name: \"north\" fallback: \"south\" p")
        .replace("name: \"south\" p", "name: \"south\" fallback: \"north\" p");
    let why = Layout::parse(&circle).expect_err("a circle");
    assert!(why.contains("2: site[0].fallback: leads back to itself (north -> south -> north)"), "{why}");
    assert!(Layout::parse("").is_err_and(|e| e.contains("site: missing")));
}

/// A layout of so many sites and classes, by numbers drawn from 0 to 1.
fn generated(sites: usize, classes: usize, draw: &mut impl FnMut() -> f64) -> Layout {
    let members = (0..sites).map(|s| Members {
        site: SiteId(s),
        hosts: 1 + (draw() * 5.0) as u32,
        capacity: 2.0 + 20.0 * draw(),
        lag_ms: 500.0 * draw(),
    });
    let set = Set { cluster: 1, members: members.collect(), primary: (0..sites).map(SiteId).collect() };
    let class = |n: usize, draw: &mut dyn FnMut() -> f64| {
        let write = n == 0;
        Class {
            name: format!("c{n}"),
            write,
            work: 0.005 + 0.05 * draw(),
            worth: 0.5 + 3.0 * draw(),
            bound_ms: if write { 0.0 } else { 500.0 * draw() },
            replay: if write { 0.002 * draw() } else { 0.0 },
        }
    };
    let classes: Vec<_> = (0..classes).map(|n| class(n, draw)).collect();
    let mut demands = Vec::new();
    for site in 0..sites {
        for class in 0..classes.len() {
            demands.push(Demand { site: SiteId(site), class, set: 0, tenant: None, rate: 60.0 * draw() });
        }
    }
    let floors = vec![Floor { of: Of::Class(0), share: 0.2 * draw() + 0.01 }];
    let site = |n| Site { name: format!("s{n}"), proxies: 2, fallback: None };
    let pace =
        Pace { lost_after: 1, probe_every: 1, hold: 1, hold_most: 1, flap_memory: 1, step: 1, connects: 1.0 };
    let sites = (0..sites).map(site).collect();
    Layout { sites, sets: vec![set], classes, links: Vec::new(), demands, floors, headroom: 0.9, pace }
}

fn keeps_to_its_bounds(layout: &Layout, plan: &Outcome) {
    for u in &plan.used {
        assert!(u.work <= u.bears * (1.0 + 1e-6) + 1e-6, "{u:?}");
    }
    for (d, served) in layout.demands.iter().zip(&plan.served) {
        assert!(*served <= d.rate * (1.0 + 1e-6) + 1e-6, "{d:?}: {served}");
    }
    assert!(plan.flows.iter().all(|f| !plan.lost.contains(&f.to) && f.rate > 0.0));
    assert!(plan.short.iter().all(|s| *s >= 0.0));
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 60, rng_seed: proptest::test_runner::RngSeed::Fixed(7), failure_persistence: None, ..ProptestConfig::default() })]

    /// Guards the plan: nothing over its bounds, floors held or told, and the plain plan never better.
    #[test]
    fn generated_sites_keep_to_their_bounds(seed in 0_u64..1_000_000, sites in 2_usize..6, classes in 1_usize..5) {
        let mut rng = fastrand::Rng::with_seed(seed);
        let layout = generated(sites, classes, &mut || rng.f64());
        for lost in losses(&layout).into_iter().chain([Vec::new()]) {
            let (best, plain) = (solve(&layout, &lost).expect("a plan"), greedy::plan(&layout, &lost));
            keeps_to_its_bounds(&layout, &best);
            keeps_to_its_bounds(&layout, &plain);
            let value = |p: &Outcome| p.worth - 4_000.0 * p.short.iter().sum::<f64>();
            prop_assert!(value(&plain) <= value(&best) + 1e-3 * (1.0 + best.worth.abs()),
                "{} over {}", value(&plain), value(&best));
        }
    }

    /// One class, one bound: both have to find what there is.
    #[test]
    fn one_bound_is_used_up_by_both(capacity in 1.0_f64..20.0, rate in 1.0_f64..2000.0, work in 1_u32..40) {
        let text = format!("site {{ name: \"a\" proxies: 1 }} site {{ name: \"b\" proxies: 1 }}
            set {{ cluster: 1 members {{ site: \"a\" hosts: 2 capacity: 9 }} members {{ site: \"b\" hosts: 2 capacity: {capacity} }} primary: \"a\" }}
            class {{ name: \"r\" access: READ work_ms: {work} worth: 2 }}
            demand {{ site: \"a\" class: \"r\" cluster: 1 rate: {rate} }} headroom: 0.8");
        let (layout, plan) = lose(&text, &["a"]);
        let bears = (capacity * 0.8 / (f64::from(work) / 1000.0)).min(rate);
        prop_assert!(near(plan.served[0], bears), "{} of {bears}", plan.served[0]);
        prop_assert!(near(greedy::plan(&layout, &[SiteId(0)]).served[0], bears));
    }
}

#[test]
fn fifty_sites_are_planned() {
    // How long it takes is printed; `gradeshunt-measure plan` bounds it.
    let mut rng = fastrand::Rng::with_seed(3);
    let mut layout = generated(50, 10, &mut || rng.f64());
    for times in [1.0, 2.5] {
        layout.demands.iter_mut().for_each(|d| d.rate *= times);
        let since = Instant::now();
        let plan = solve(&layout, &[SiteId(7)]).expect("a plan");
        let solved = since.elapsed();
        keeps_to_its_bounds(&layout, &plan);
        let plain = greedy::plan(&layout, &[SiteId(7)]);
        assert!(plain.worth <= plan.worth * (1.0 + 1e-6));
        println!(
            "{:?}; plainly {:?}; worth {:.1} and {:.1}; {}",
            solved,
            since.elapsed() - solved,
            plan.worth,
            plain.worth,
            plan.verdict(&layout).name()
        );
    }
}
