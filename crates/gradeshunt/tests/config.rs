//! Tests that an unusable configuration ends the program at once with a one-line error.

use std::path::Path;
use std::process::Command;

#[test]
fn bad_configuration_gets_a_one_line_error() {
    let dir = Path::new(env!("CARGO_TARGET_TMPDIR"));
    let good = include_str!("../../../examples/config.json");
    let shared = include_str!("../../../examples/shared.json");
    let cases = [
        ("not-json", "{".to_owned(), "not JSON"),
        ("no-listen", good.replace("\"listen\"", "\"lisen\""), "listen is missing"),
        ("odd-address", good.replace("127.0.0.1:8500", "localhost"), "discovery is not an address"),
        ("odd-control", good.replace("127.0.0.1:5439", "5441"), "control is not an address"),
        ("few-sockets", good.replace("1024", "5"), "limits.sockets is too small"),
        ("odd-read", good.replace("\"causal\"", "\"casual\""), "casual"),
        ("no-fleet", good.replace("\"fleetSize\"", "\"fleet\""), "fleetSize is missing"),
        ("empty-fleet", good.replace("\"fleetSize\": 1", "\"fleetSize\": 0"), "fleetSize is 0"),
        (
            "absurd-fleet",
            good.replace("\"fleetSize\": 1", "\"fleetSize\": -3"),
            "fleetSize is not a whole number",
        ),
        (
            "beyond-fleet",
            good.replace("\"me\": 0", "\"me\": 1"),
            "me is 1, but must be below facts.fleetSize (1)",
        ),
        ("odd-tenant", shared.replace("60.0", "-1.0"), "quotaRps of \"north\" is -1, but must be 0 or more"),
        ("twice-a-tenant", shared.replace("south", "north"), "names \"north\" twice"),
        ("no-worth", shared.replace("overShareWorth", "overWorth"), "overShareWorth is missing"),
        (
            "odd-limit",
            good.replace("\"sockets\": 1024", "\"sockets\": \"many\""),
            "limits.sockets is not a whole number",
        ),
        ("odd-memory", good.replace("192", "-1"), "limits.memory_mb is not a whole number"),
        (
            "odd-silence",
            good.replace("\"seed\"", "\"watch_silence_ms\": 0, \"seed\""),
            "watch_silence_ms is not a time above 0",
        ),
        (
            "no-class",
            good.replace("\"categories\": [", "\"categories\": [], \"others\": ["),
            "categories is empty",
        ),
        ("twice-a-class", good.replace("own-read", "page-read"), "categories names \"page-read\" twice"),
        ("no-time", good.replace("1200.0", "0.0"), "deadline is not a time above 0"),
        ("odd-time", good.replace("1200.0", "\"long\""), "deadline is not a time above 0"),
        ("endless-time", good.replace("1200.0", "1e300"), "deadline is not a time above 0"),
        ("odd-aim", good.replace("500.0", "-500.0"), "slo is not a time of 0 or more"),
        (
            "odd-window",
            good.replace("\"keyTtl\": 2000.0", "\"keyTtl\": -1"),
            "keyTtl is not a time of 0 or more",
        ),
        ("odd-price", good.replace("0.013", "-0.013"), "crossZone is not a number of 0 or more"),
        ("odd-bound", good.replace("   200.0", "   -200.0"), "lagAllowed is not a time of 0 or more"),
        ("no-attempt", good.replace("\"sendCap\": 8", "\"sendCap\": 0"), "sendCap is 0"),
        (
            "no-connect",
            good.replace("\"connectTimeout\": 250.0", "\"connectTimeout\": 0"),
            "connectTimeout is not a time above 0",
        ),
        (
            "no-idle",
            good.replace("\"connIdle\": 30000.0", "\"connIdle\": -5"),
            "connIdle is not a time of 0 or more",
        ),
        (
            "odd-grace",
            good.replace("\"drainGrace\": 250.0", "\"drainGrace\": null"),
            "drainGrace is not a time of 0 or more",
        ),
        ("odd-known", good.replace("\"instances\"", "\"instance\""), "a list without instances"),
    ];
    for (name, text, complaint) in cases {
        let file = dir.join(format!("{name}.json"));
        std::fs::write(&file, text).expect("the file can be written");
        let run = Command::new(env!("CARGO_BIN_EXE_gradeshunt"))
            .env("ROUTER_CONFIG", &file)
            .env_remove("ROUTER_CONTROL")
            .env_remove("ROUTER_LISTEN_FD")
            .output()
            .expect("the program can be started");
        let stderr = String::from_utf8_lossy(&run.stderr);
        assert_eq!(run.status.code(), Some(1), "{name}: {stderr}");
        let line = stderr.strip_suffix('\n').unwrap_or_default();
        assert!(
            line.starts_with("gradeshunt: ") && line.contains(complaint) && !line.contains('\n'),
            "{name}: {stderr}"
        );
    }
    let file = dir.join("good.json");
    std::fs::write(&file, good).expect("the file can be written");
    let bad_environment = [
        ("ROUTER_CONTROL", "localhost", "ROUTER_CONTROL is not an address"),
        ("ROUTER_LISTEN_FD", "seven", "ROUTER_LISTEN_FD is not a descriptor"),
        ("ROUTER_LISTEN_FD", "1000000", "cannot listen on descriptor 1000000"),
    ];
    for (name, value, complaint) in bad_environment {
        let mut command = Command::new(env!("CARGO_BIN_EXE_gradeshunt"));
        command.env("ROUTER_CONFIG", &file).env_remove("ROUTER_CONTROL").env_remove("ROUTER_LISTEN_FD");
        let run = command.env(name, value).output().expect("the program can be started");
        let stderr = String::from_utf8_lossy(&run.stderr);
        assert!(run.status.code() == Some(1) && stderr.contains(complaint), "{name}: {stderr}");
    }
    let run = Command::new(env!("CARGO_BIN_EXE_gradeshunt"))
        .env_remove("ROUTER_CONFIG")
        .output()
        .expect("the program can be started");
    assert_eq!(
        (run.status.code(), run.stderr.as_slice()),
        (Some(1), &b"gradeshunt: ROUTER_CONFIG is not set\n"[..])
    );
}
