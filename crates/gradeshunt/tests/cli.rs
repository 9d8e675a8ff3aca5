//! Tests of the command line: `classify`, `check` and `plan`.

use std::io::Write;
use std::process::{Command, Output, Stdio};

fn run(arguments: &[&str], input: &[u8]) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_gradeshunt"))
        .args(arguments)
        .env_remove("ROUTER_CONFIG")
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the program can be started");
    child.stdin.take().expect("stdin is piped").write_all(input).expect("the program reads its input");
    child.wait_with_output().expect("the program ends")
}

fn access_and_target(output: &Output) -> Vec<(String, String)> {
    let text = String::from_utf8_lossy(&output.stdout);
    let line = |l: &str| {
        let told: serde_json::Value = serde_json::from_str(l).expect("each line is a JSON object");
        let fields = ["class", "shape", "cost", "why"];
        assert!(fields.iter().all(|f| told.get(*f).is_some()), "{l}");
        (
            told["access"].as_str().expect("a string").to_owned(),
            told["target"].as_str().expect("a string").to_owned(),
        )
    };
    text.lines().map(line).collect()
}

/// Guards scripts that parse the output: each statement gets one JSON object, in order, whatever the
/// statement is.
#[test]
fn classify_answers_each_statement_in_order() {
    let pair = |a: &str, t: &str| (a.to_owned(), t.to_owned());
    let input = b"SELECT 1\nSELECT nextval('s')\n\nBEGIN\nSELECT 'x\n\xff\xfe\nVALUES (1)";
    let expected = [
        pair("read", "replica"),
        pair("write", "primary"),
        pair("session", "primary"),
        pair("session", "primary"),
        pair("unknown", "primary"),
        pair("unknown", "primary"),
        pair("read", "replica"),
    ];
    let output = run(&["classify"], input);
    assert!(output.status.success());
    assert_eq!(access_and_target(&output), expected);
    let output = run(&["classify", "--null"], b"SELECT\n1\0DELETE\nFROM t\0");
    assert_eq!(access_and_target(&output), [pair("read", "replica"), pair("write", "primary")]);
    let rules = concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples/rules.textproto");
    let output =
        run(&["classify", "--rules", rules], b"SELECT turnout(1) FROM t WHERE a = 1\nDELETE FROM t\nBEGIN\n");
    let expected = [pair("read", "replica"), pair("write", "primary"), pair("session", "primary")];
    assert_eq!(access_and_target(&output), expected);
    let text = String::from_utf8_lossy(&output.stdout);
    let classes: Vec<_> =
        text.lines().map(|l| l.split("\"class\":").nth(1).and_then(|c| c.split(',').next())).collect();
    assert_eq!(classes, [Some("\"own-read\""), Some("\"plain-write\""), Some("null")]);
    let output = run(&["classify", "--format", "text", "SELECT 1", "DO $$x$$"], b"");
    let text = String::from_utf8_lossy(&output.stdout);
    let starts: Vec<_> = text.lines().filter_map(|l| l.split(' ').next()).collect();
    assert_eq!(starts, ["read", "write"], "{text}");
}

#[test]
fn check_reports_an_unusable_configuration() {
    let example = concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples/config.json");
    let output = run(&["check", example], b"");
    let said = String::from_utf8_lossy(&output.stdout);
    assert!(output.status.success() && said.starts_with("toy: listens at 127.0.0.1:5440"), "{said}");
    let output = run(&["check", "no-such-file.json"], b"");
    let said = String::from_utf8_lossy(&output.stderr);
    assert_eq!(output.status.code(), Some(1));
    assert!(said.starts_with("gradeshunt: cannot read no-such-file.json: "), "{said}");
    let output = run(&["run", "--config", "no-such-file.json"], b"");
    assert_eq!(output.status.code(), Some(1));
    assert_eq!(run(&["frob"], b"").status.code(), Some(2));
}

/// Guards the exit status of `gradeshunt plan`, by which scripts see whether the other sites can take over
/// when sites are lost; the example has losses of both kinds.
#[test]
fn plan_exit_status_shows_which_losses_are_borne() {
    let file = concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples/sites.textproto");
    let plan = |arguments: &[&str]| {
        let output = run(&[&["plan", file], arguments].concat(), b"");
        let text = |bytes| String::from_utf8_lossy(bytes).into_owned();
        (output.status.code(), text(&output.stdout), text(&output.stderr))
    };
    let (status, text, _) = plan(&["--lose", "east"]);
    assert_eq!((status, text.lines().next()), (Some(0), Some("loss of east: borne")));
    let (status, text, _) = plan(&["--lose", "south", "--lose", "north", "--lose", "north"]);
    assert_eq!((status, text.lines().next()), (Some(3), Some("loss of north and south: not borne")));
    let (status, text, _) = plan(&["--format", "json"]);
    let plans: serde_json::Value = serde_json::from_str(&text).expect("JSON");
    assert_eq!(
        (status, plans.as_array().map(Vec::len)),
        (Some(3), Some(6)),
        "one plan for each site and each pair of sites"
    );
    assert_eq!(plans[0]["verdict"], "borne with refusals");
    let (status, _, why) = plan(&["--lose", "west"]);
    assert!(
        status == Some(1) && why.contains("unknown site \"west\", expected one of north, south, east"),
        "{why}"
    );
}

/// Guards against operators' mistakes: `check` reports a sites file that does not fit the settings.
#[test]
fn check_reports_a_sites_file_that_does_not_fit_the_settings() {
    let root = concat!(env!("CARGO_MANIFEST_DIR"), "/../..");
    let text = std::fs::read_to_string(format!("{root}/examples/config.json")).expect("the example");
    let mut config: serde_json::Value = serde_json::from_str(&text).expect("JSON");
    let folder = std::path::Path::new(env!("CARGO_TARGET_TMPDIR"));
    let (file, sites) = (folder.join("sites-config.json"), folder.join("sites-check.textproto"));
    config["sites"] = serde_json::json!(sites);
    std::fs::write(&file, config.to_string()).expect("the file can be written");
    let good = "site { name: \"toy\" proxies: 1 }
        set { cluster: 1 members { site: \"toy\" hosts: 2 capacity: 2 } primary: \"toy\" }
        class { name: \"page-read\" access: READ work_ms: 5 worth: 2 }
        demand { site: \"toy\" class: \"page-read\" cluster: 1 rate: 9 }";
    let cases = [
        (good.to_owned(), ""),
        (good.replace("toy", "town"), "unknown zone \"town\", expected one of toy"),
        (good.replace("page-read", "page"), "unknown class \"page\""),
        (good.replace("access: READ", "access: WRITE"), "class[0].access"),
        (good.replace("hosts: 2", "hosts: -2"), "2:"),
        (good.replace("capacity: 2", "capacity: -1"), "2: set[0].members[0].capacity: is -1"),
    ];
    for (text, why) in cases {
        std::fs::write(&sites, &text).expect("the file can be written");
        let output = run(&["check", &file.to_string_lossy()], b"");
        let told = String::from_utf8_lossy(&output.stderr).into_owned();
        assert_eq!(output.status.success(), why.is_empty(), "{text}: {told}");
        assert!(told.contains(why), "{why}: {told}");
    }
    std::fs::remove_file(&sites).expect("the sites file can be removed");
    let output = run(&["check", &file.to_string_lossy()], b"");
    assert!(String::from_utf8_lossy(&output.stderr).contains("cannot read"));
}
