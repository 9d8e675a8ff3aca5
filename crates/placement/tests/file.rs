//! The operators' file: what it gives, and one line with file, line and field for each fault.

use gradeshunt_placement::{Bucket, Fleet, GroupSize, Placement, Settings};

const GOOD: &str = r#"placement {
  group_size { least: 2 most: 3 }
  homes: 2
  direct_sets: 4
  roster_versions: 3
  zone { name: "north" groups: 1 }
  proxy { name: "a" zone: "north" address: "192.0.2.1:6432" }
  proxy { name: "b" zone: "north" address: "[2001:db8::7]:6432" }
  proxy { name: "c" zone: "south" }
  proxy { name: "d" zone: "south" }
  set { cluster: 7 weight: 2.5 }
  set { cluster: 8 }
}
"#;

fn error(text: &str) -> String {
    Placement::parse("p.textproto", text, "a").expect_err("a faulty file").to_string()
}

/// The good file with one piece of text changed; the piece is there once.
fn with(from: &str, to: &str) -> String {
    assert_eq!(GOOD.matches(from).count(), 1, "{from}");
    GOOD.replace(from, to)
}

#[test]
fn reads_what_it_says() {
    let fleet = Fleet::parse("p.textproto", GOOD).expect("a fleet");
    let expected = Settings {
        group_size: GroupSize { least: 2, most: 3 },
        homes: 2,
        direct_sets: 4,
        roster_versions: 3,
        most_parts: 4_096,
    };
    assert_eq!(*fleet.settings(), expected);
    let groups: Vec<_> = fleet.groups().iter().map(|g| (g.id.to_string(), g.proxies.len())).collect();
    assert_eq!(groups, [("north/0".to_owned(), 2), ("south/0".to_owned(), 2)]);
    let address = fleet.groups()[0].proxies[1].address.map(|a| a.to_string());
    assert_eq!(address.as_deref(), Some("[2001:db8::7]:6432"));
    assert_eq!(fleet.groups()[1].proxies[0].address, None);
    assert!((fleet.sets().share(7) - 2.5 / 3.5).abs() < 1e-9);
    let placement = Placement::parse("p.textproto", GOOD, "c").expect("a placement");
    assert_eq!(placement.group().to_string(), "south/0");
    assert_eq!(placement.proxy(placement.own()).map(|p| p.name.as_str()), Some("c"));
    assert_eq!(placement.homes(7, Bucket::new(5)).len(), 2);
}

#[test]
fn has_usual_settings_where_none_are_given() {
    let proxies = "proxy { name: 'a' zone: 'z' } proxy { name: 'b' zone: 'z' }";
    let fleet = Fleet::parse("p.textproto", &format!("placement {{ {proxies} }}")).expect("a fleet");
    assert_eq!(*fleet.settings(), Settings::default());
    assert!(fleet.sets().is_empty());
}

#[test]
fn tells_faults_of_the_roster() {
    let told = Placement::parse("p.textproto", GOOD, "z").expect_err("not listed").to_string();
    assert_eq!(told, "p.textproto:7: placement.proxy: the roster does not list this proxy, \"z\"");
    assert_eq!(
        error(&with("name: \"b\"", "name: \"a\"")),
        "p.textproto:8: placement.proxy[1].name: \"a\" is given twice"
    );
    assert_eq!(
        error("placement {\n homes: 2\n}"),
        "p.textproto:1: placement.proxy: the roster lists no proxy"
    );
    assert_eq!(
        error(&with("name: \"b\" ", "")),
        "p.textproto:8: placement.proxy[1].name: missing, expected a name"
    );
    assert_eq!(
        error(&with("name: \"c\" zone: \"south\"", "name: \"c\"")),
        "p.textproto:9: placement.proxy[2].zone: missing, expected the zone of proxy \"c\""
    );
    assert_eq!(error(""), "p.textproto:1: placement: missing, expected placement { ... }");
}

#[test]
fn tells_faults_of_addresses() {
    let expected = "expected an IP address and a port, such as 192.0.2.7:6432 or [2001:db8::7]:6432";
    for (address, fault) in [
        ("192.0.2.1", "is \"192.0.2.1\", "),
        ("proxy.example:6432", "is \"proxy.example:6432\", "),
        ("192.0.2.1:0", "is \"192.0.2.1:0\" with port 0, "),
        ("", "is \"\", "),
    ] {
        let told = error(&with("192.0.2.1:6432", address));
        assert_eq!(told, format!("p.textproto:7: placement.proxy[0].address: {fault}{expected}"));
    }
}

#[test]
fn tells_faults_of_zones() {
    assert_eq!(
        error(&with("zone { name: \"north\" groups: 1 }", "zone { name: \"west\" groups: 1 }")),
        "p.textproto:6: placement.zone[0].name: the roster lists no proxy in \"west\""
    );
    assert_eq!(
        error(&with("groups: 1", "groups: 0")),
        "p.textproto:6: placement.zone[0].groups: is 0, expected 1 group or more"
    );
    assert_eq!(
        error(&with(" groups: 1", "")),
        "p.textproto:6: placement.zone[0].groups: missing, expected how many groups the zone's proxies form"
    );
    assert_eq!(
        error(&with("groups: 1", "groups: 3")),
        "p.textproto:6: placement.zone[0].groups: is 3, but \"north\" has 2 proxies"
    );
    let twice = with("homes: 2", "homes: 2 zone { name: 'north' groups: 1 }");
    assert_eq!(error(&twice), "p.textproto:6: placement.zone[1].name: \"north\" is given twice");
}

#[test]
fn tells_faults_of_sizes() {
    assert_eq!(
        error(&with("least: 2", "least: 0")),
        "p.textproto:2: placement.group_size.least: is 0, expected 1 proxy or more"
    );
    assert_eq!(
        error(&with("most: 3", "most: 1")),
        "p.textproto:2: placement.group_size.most: is 1, expected least (2) or more"
    );
    assert_eq!(
        error(&with("homes: 2", "homes: 0")),
        "p.textproto:3: placement.homes: is 0, expected 1 home or more"
    );
    assert_eq!(
        error(&with("homes: 2", "homes: 3")),
        "p.textproto:3: placement.homes: is 3, but a group may have 2 proxies"
    );
    assert_eq!(
        error(&with("roster_versions: 3", "roster_versions: 0")),
        "p.textproto:5: placement.roster_versions: is 0, expected 1 version or more"
    );
    assert_eq!(
        error(&with("homes: 2", "homes: 2 most_parts: 0")),
        "p.textproto:3: placement.most_parts: is 0, expected 1 part or more"
    );
    assert_eq!(
        error(&with("  proxy { name: \"d\" zone: \"south\" }\n", "")),
        "p.textproto:3: placement.homes: is 2, but group south/0 has 1 proxies"
    );
    let told = error(&with("homes: 2", "homes: -2"));
    assert!(told.starts_with("p.textproto:3:"), "{told}");
}

#[test]
fn tells_faults_of_sets() {
    let told = |weight: &str| {
        format!("p.textproto:11: placement.set[0].weight: is {weight}, expected over 0 and up to 1000000000")
    };
    assert_eq!(error(&with("weight: 2.5", "weight: 0")), told("0"));
    assert_eq!(error(&with("weight: 2.5", "weight: -1")), told("-1"));
    assert_eq!(error(&with("weight: 2.5", "weight: nan")), told("NaN"));
    assert_eq!(error(&with("weight: 2.5", "weight: inf")), told("inf"));
    assert_eq!(
        error(&with("cluster: 8", "cluster: 7")),
        "p.textproto:12: placement.set[1].cluster: 7 is given twice"
    );
    assert_eq!(
        error(&with("set { cluster: 8 }", "set { }")),
        "p.textproto:12: placement.set[1].cluster: missing, expected the set's number in requests"
    );
}

#[test]
fn tells_where_the_text_is_malformed() {
    let told = error(&with("homes: 2", "houses: 2"));
    assert!(told.starts_with("p.textproto:3:3: "), "{told}");
    assert!(!told.contains('\n'), "{told}");
}
