//! Tests of the routing of plain statements.

use super::*;
use leadmast::settings;

fn facts() -> settings::ParsedSettings {
    let mut config: serde_json::Value =
        serde_json::from_str(include_str!("../../../../examples/config.json")).expect("JSON");
    let given = &mut config["settings"];
    let mut class = given["categories"][2].clone();
    (class["name"], class["repeat"]) = ("plain-write".into(), "side_effect".into());
    given["categories"].as_array_mut().expect("a list").push(class);
    for (field, value) in [("readLevel", serde_json::json!("mutate")), ("lagAllowed", serde_json::json!(0.0))]
    {
        given["familyInfo"][field].as_array_mut().expect("a list").push(value);
    }
    settings::read(&config["settings"]).expect("settings")
}

fn router(text: &str) -> Result<(Router, Settings), String> {
    let facts = facts();
    let rules = rules::parse(text, &facts)?;
    Ok((Router::new(rules, Key(1, 2)), facts.settings))
}

const RULES: &str = r#"
        route { name: "reports" match { access: READ cost_from: 20 } class: "page-read" cluster: 2 deadline_ms: 900 }
        route { name: "votes" match { table: "votes" user: "counter" } class: "own-read" cluster: 3 comment: true }
        route { name: "reads" match { access: READ } class: "own-read" cluster: 1 deadline_ms: 99000 }
        route { name: "writes" match { access: WRITE access: UNKNOWN } class: "plain" cluster: 1 }
        functions { reading: "turnout" }
    "#;

/// Statements that may write never match a route of a reading class, which could send them to a replica.
#[test]
fn writes_skip_reading_classes() {
    let text = RULES.replace("plain", "plain-write");
    let (mut router, settings) = router(&text).expect("rules");
    let counter = Origin { user: "counter".to_owned(), ..Origin::default() };
    let mut to = |origin: &Origin, statement: &str| match router.decide(&settings, origin, statement) {
        Decision::Send(r) => Some((r.class.0, r.group.0, r.wait / 1000, r.writes)),
        _ => None,
    };
    let nobody = Origin::default();
    assert_eq!(to(&nobody, "SELECT * FROM facts"), Some((0, 2, 900, false)), "reads a whole table");
    assert_eq!(to(&nobody, "SELECT data FROM facts WHERE code = 'a'"), Some((1, 1, 2000, false)));
    assert_eq!(to(&nobody, "SELECT turnout(5) FROM votes WHERE a = 1"), Some((1, 1, 2000, false)));
    assert_eq!(to(&counter, "SELECT turnout(5) FROM votes WHERE a = 1"), Some((1, 3, 2000, false)));
    assert_eq!(
        to(&counter, "UPDATE votes SET n = 1"),
        Some((3, 1, 3000, true)),
        "the route to a reading class is skipped"
    );
    assert_eq!(to(&nobody, "SELECT record(5)"), Some((3, 1, 3000, true)));
    assert_eq!(to(&nobody, "FROB"), Some((3, 1, 3000, true)));
    let mut decide = |statement: &str| router.decide(&settings, &nobody, statement);
    assert_eq!(decide("SELECT 1; SELECT 2"), Decision::MultipleStatements);
    assert_eq!(decide("BEGIN"), Decision::SessionState { verb: "begin".to_owned() });
    assert_eq!(decide(" /* x */ ; "), Decision::Empty);
}

/// A routing comment that names a reading class for a write is overridden by the rules.
#[test]
fn write_with_a_reading_class_is_overridden() {
    let (mut router, settings) = router(&RULES.replace("plain", "plain-write")).expect("rules");
    let origin = Origin::default();
    let mut check =
        |statement: &str, class| router.override_class(&settings, &origin, statement, ClassId(class));
    assert_eq!(check("/* c=own-read */ SELECT 1", 1), None);
    assert_eq!(check("/* c=tally-write */ DELETE FROM t", 2), None);
    let Some(Decision::Send(routed)) = check("/* c=own-read */ DELETE FROM t", 1) else {
        panic!("the comment is accepted")
    };
    assert_eq!(routed.class, ClassId(3));
    assert!(router.exposition().contains("app_contradictions 1\n"));
}

#[test]
fn example_rules_are_valid() {
    let (mut router, settings) = router(include_str!("../../../../examples/rules.textproto")).expect("rules");
    let statement = "SELECT turnout('x'::station_state) FROM t WHERE a = 1";
    let decision = router.decide(&settings, &Origin::default(), statement);
    assert!(
        matches!(decision, Decision::Send(Destination { class: ClassId(1), writes: false, .. })),
        "{decision:?}"
    );
}

#[test]
fn invalid_rules_are_reported_by_line() {
    let complaint = |text: &str| router(text).err().unwrap_or_default();
    let good = RULES.replace("plain", "plain-write");
    for (text, says) in [
        (
            RULES.to_owned(),
            "route \"writes\": unknown class \"plain\", expected one of page-read, own-read, tally-write, plain-write",
        ),
        (good.replace("cluster: 3", "clutser: 3"), "3:"),
        (good.replace("deadline_ms: 900", "deadline_ms: soon"), "2:"),
        (good.replace("access: UNKNOWN", "access: UNKNWON"), "5:"),
        (
            good.replace(
                "match { access: WRITE access: UNKNOWN } class: \"plain-write\"",
                "class: \"own-read\"",
            ),
            "no route accepts statements that may write",
        ),
        (RULES.replace("plain", "tally-write"), "route \"writes\": class \"tally-write\" needs idempotency keys"),
        (String::new(), "no route"),
    ] {
        let complaint = complaint(&text);
        assert!(complaint.contains(says), "{complaint:?} should contain {says:?}");
    }
}
