//! Tests of the simulator's adapter `leadmast-wirehost`: its answers to batches of events, and its error
//! messages.

use std::io::Write;
use std::process::{Command, Output, Stdio};

use serde_json::{json, Value};

fn facts() -> Value {
    json!({
        "allowed": {"mayCancel": true, "maxRetryAfter": 500.0, "peers": false, "probing": true,
            "retryAfter": false, "secondCopies": true, "sendCap": 6, "somethingNew": [1]},
        "categories": [
            {"deadline": 1200.0, "group": "all", "keyTtl": 5000.0, "lateWorth": 0.0, "name": "look",
             "repeat": "pure", "slo": 400.0, "worth": 3.0},
            {"deadline": 3000.0, "group": "cell", "keyTtl": 2000.0, "lateWorth": 0.3, "name": "put",
             "repeat": "token", "slo": 400.0, "worth": 4.0}],
        "failureDomains": ["here"], "zone": "here", "fleetSize": 1, "me": 0, "tick": 5.0,
        "familyInfo": {"catchUpWait": 0.0, "lagAllowed": [0.0, 0.0], "positionZero": 1000.5,
            "positions": true, "readLevel": ["eventual", "mutate"], "roleListed": "trailing",
            "sessionMarks": "brought", "whenBehind": "silent"},
        "feedback": {"fields": ["x0", "x1"], "how": "pull"}, "membershipMode": "on_request",
        "penalties": {"probe": 0.02, "crossZone": 0.0, "waste": 0.08},
        "rules": {"answerSlack": 20.0, "cold": 18000.0, "coldShare": 0.16, "drainGrace": 500.0,
            "fall": 1500.0, "fallMultiple": 2.5, "mustAskIn": 10000.0},
    })
}

fn batch(wall: f64, seq: u64, groups: &[(u64, Vec<Value>)]) -> String {
    let groups: Vec<_> = groups.iter().map(|(i, items)| json!({"i": i, "items": items})).collect();
    json!({"wall": wall, "seq": seq, "groups": groups}).to_string()
}

fn census(sheet: u64, port: u64) -> Value {
    let row =
        |n: u64, leader| json!([1, "big", null, 11, "up", "here", format!("10.0.0.{n}:{port}"), leader]);
    json!(["CENSUS", sheet, [row(1, 1), row(2, 0)]])
}

fn begin() -> Value {
    json!(["BEGIN", 7, facts()])
}

fn saved() -> Value {
    json!(["MEMBERS", "SAVED", 0, 41])
}

fn call(id: u64, band: &str) -> Value {
    json!(["CALL", id, 1, 6200.0, null, null, 5, 11, band, null])
}

fn run(lines: &[String]) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_leadmast-wirehost"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the adapter can be started");
    let mut input = child.stdin.take().expect("stdin is piped");
    // The write fails if the adapter has ended at an earlier line.
    let _ = input.write_all((lines.join("\n") + "\n").as_bytes());
    drop(input);
    child.wait_with_output().expect("the adapter ends")
}

fn replies(lines: &[String]) -> Vec<Value> {
    let out = run(lines);
    assert!(out.status.success(), "{}", String::from_utf8_lossy(&out.stderr));
    let text = String::from_utf8(out.stdout).expect("replies are UTF-8");
    text.lines().map(|l| serde_json::from_str(l).expect("a reply is JSON")).collect()
}

/// The decisions of one instance in a reply that have a given name.
fn named(reply: &Value, i: u64, name: &str) -> Vec<Value> {
    let groups = reply["groups"].as_array().expect("groups");
    let group = groups.iter().find(|g| g["i"] == json!(i));
    let all = group.map_or(vec![], |g| g["decisions"].as_array().expect("decisions").clone());
    all.into_iter().filter(|d| d[0] == json!(name)).collect()
}

#[test]
fn empty_batch_and_end_of_input() {
    assert_eq!(replies(&[batch(1.0, 1, &[])]), vec![json!({"seq": 1, "groups": []})]);
}

#[test]
fn read_goes_to_the_replica_and_write_to_the_primary() {
    let items = vec![begin(), census(0, 90), saved(), call(1, "look"), call(2, "put")];
    let r = replies(&[batch(5000.0, 1, &[(3, items)])]);
    let relays = named(&r[0], 3, "RELAY");
    assert_eq!(relays[0], json!(["RELAY", 1, "10.0.0.2:90", 1200.0]));
    assert_eq!(relays[1], json!(["RELAY", 2, "10.0.0.1:90", 1200.0]));
}

#[test]
fn halt_and_begin_in_one_batch_leave_nothing_of_the_old_instance() {
    let first = vec![begin(), census(0, 90), saved(), call(1, "look")];
    let second = vec![json!(["HALT"]), begin(), census(0, 91), saved(), call(2, "look")];
    let r = replies(&[batch(5000.0, 1, &[(3, first)]), batch(5100.0, 2, &[(3, second)])]);
    assert_eq!(named(&r[1], 3, "RELAY"), vec![json!(["RELAY", 2, "10.0.0.2:91", 1100.0])]);
    assert!(named(&r[1], 3, "RESPOND_ERROR").is_empty());
}

#[test]
fn a_reused_list_number_means_its_latest_rows_in_event_order() {
    let one = vec![begin(), census(0, 90), saved(), call(1, "look")];
    let two = vec![begin(), census(0, 91), saved(), call(2, "look")];
    let r = replies(&[batch(5000.0, 1, &[(1, one), (2, two)])]);
    assert_eq!(named(&r[0], 1, "RELAY")[0][2], json!("10.0.0.2:90"));
    assert_eq!(named(&r[0], 2, "RELAY")[0][2], json!("10.0.0.2:91"));
}

#[test]
fn instances_share_nothing() {
    let alone = replies(&[batch(5000.0, 1, &[(2, vec![begin(), census(0, 90), saved(), call(2, "look")])])]);
    let one = vec![begin(), census(0, 90), saved(), call(1, "look"), call(9, "put")];
    let two = vec![begin(), saved(), call(2, "look")];
    let both = replies(&[batch(5000.0, 1, &[(1, one), (2, two)])]);
    let of = |r: &Value| r["groups"].as_array().expect("groups").iter().find(|g| g["i"] == 2).cloned();
    assert_eq!(of(&alone[0]), of(&both[0]));
}

#[test]
fn a_miss_is_translated_and_sends_the_write_on() {
    let first = vec![begin(), census(0, 90), saved(), call(1, "put")];
    // 12002 = 4 * 3000 + 2: the position is 3,000 ms after `positionZero`, and a replica answered.
    let done = json!(["COMPLETED", 1, false, 12002, "10.0.0.1:90", 3.5, 404, 0, null]);
    let health = json!(["HEALTH", "10.0.0.2:90", 1.5, 200, [3.9, 1]]);
    let r = replies(&[batch(5000.0, 1, &[(3, first)]), batch(5005.0, 2, &[(3, vec![health, done])])]);
    assert_eq!(named(&r[1], 3, "RELAY"), vec![json!(["RELAY", 1, "10.0.0.2:90", 1195.0])]);
}

#[test]
fn malformed_input_gets_one_plain_message() {
    let mut short = facts();
    short.as_object_mut().expect("an object").remove("rules");
    let mut odd = facts();
    odd["familyInfo"]["roleListed"] = json!("perhaps");
    let start = |item: Value| batch(1.0, 1, &[(1, vec![begin(), census(0, 90), saved(), item])]);
    let completed = |code: u64| json!(["COMPLETED", 1, true, 0, "10.0.0.1:90", 1.0, code, 0, null]);
    let cases = [
        ("{".to_owned(), "not JSON"),
        (json!({"seq": 1, "groups": []}).to_string(), "wall"),
        (json!({"wall": 1, "groups": []}).to_string(), "seq"),
        (json!({"wall": 1, "seq": 1}).to_string(), "groups"),
        (batch(1.0, 1, &[(1, vec![json!(["BEGIN", 7, short])])]), "facts.rules"),
        (batch(1.0, 1, &[(1, vec![json!(["BEGIN", 7, odd])])]), "roleListed"),
        (batch(1.0, 1, &[(1, vec![call(1, "look")])]), "before BEGIN"),
        (start(json!(["NOISE"])), "NOISE"),
        (start(json!([])), "no name"),
        (start(json!(["CALL"])), "band is missing"),
        (start(json!(["CALL", "x", 1, 9.0, null, null, 5, 11, "look", null])), "corr"),
        (start(call(1, "nonesuch")), "nonesuch"),
        (start(json!(["MEMBERS", "FULL", 9, 1])), "sheet 9"),
        (start(json!(["MEMBERS", "SOME", 0, 1])), "SOME"),
        (start(json!(["CENSUS", 1, "rows"])), "rowsIn"),
        (start(completed(777)), "777"),
        (start(json!(["HEALTH", "nobody:1", 1.0, 200, null])), "nobody:1"),
        (start(json!(["DUE", "later"])), "later"),
        (start(json!(["MESSAGE", 1, "xyz"])), "hex"),
    ];
    for (line, expect) in cases {
        let out = run(std::slice::from_ref(&line));
        let message = String::from_utf8_lossy(&out.stderr);
        assert_eq!(out.status.code(), Some(1), "{line}: {message}");
        assert_eq!(message.lines().count(), 1, "{line}: {message}");
        assert!(message.contains(expect), "{expect:?} not in {message:?}");
    }
}
