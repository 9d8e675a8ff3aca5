//! The command line.

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
        .expect("it starts");
    child.stdin.take().expect("a pipe").write_all(input).expect("it reads");
    child.wait_with_output().expect("it ends")
}

fn accesses(output: &Output) -> Vec<(String, String)> {
    let text = String::from_utf8_lossy(&output.stdout);
    let line = |l: &str| {
        let told: serde_json::Value = serde_json::from_str(l).expect("an object a line");
        let fields = ["class", "shape", "cost", "why"];
        assert!(fields.iter().all(|f| told.get(*f).is_some()), "{l}");
        (told["access"].as_str().expect("text").to_owned(), told["target"].as_str().expect("text").to_owned())
    };
    text.lines().map(line).collect()
}

/// Guards scripts that read what comes: an object for each statement, in order, whatever the statement is.
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
    assert_eq!(accesses(&output), expected);
    let output = run(&["classify", "--null"], b"SELECT\n1\0DELETE\nFROM t\0");
    assert_eq!(accesses(&output), [pair("read", "replica"), pair("write", "primary")]);
    let rules = concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples/rules.textproto");
    let output =
        run(&["classify", "--rules", rules], b"SELECT turnout(1) FROM t WHERE a = 1\nDELETE FROM t\nBEGIN\n");
    let expected = [pair("read", "replica"), pair("write", "primary"), pair("session", "primary")];
    assert_eq!(accesses(&output), expected);
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
fn check_reads_a_configuration_and_names_what_is_wrong() {
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
