//! A configuration that cannot be used ends the program at once, with one plain line.

use std::path::Path;
use std::process::Command;

#[test]
fn bad_configuration_gets_a_plain_error() {
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
        ("beyond-fleet", good.replace("\"me\": 0", "\"me\": 1"), "me is 1, of proxies 0 to 0"),
        ("odd-tenant", shared.replace("60.0", "-1.0"), "quotaRps of \"north\" is -1, and no rate"),
        ("twice-a-tenant", shared.replace("south", "north"), "names \"north\" twice"),
        ("no-worth", shared.replace("overShareWorth", "overWorth"), "overShareWorth is missing"),
        ("odd-known", good.replace("\"instances\"", "\"instance\""), "a list without instances"),
    ];
    for (name, text, complaint) in cases {
        let file = dir.join(format!("{name}.json"));
        std::fs::write(&file, text).expect("a file");
        let run = Command::new(env!("CARGO_BIN_EXE_gradeshunt"))
            .env("ROUTER_CONFIG", &file)
            .env_remove("ROUTER_CONTROL")
            .env_remove("ROUTER_LISTEN_FD")
            .output()
            .expect("it runs");
        let said = String::from_utf8_lossy(&run.stderr);
        assert_eq!(run.status.code(), Some(1), "{name}: {said}");
        let line = said.strip_suffix('\n').unwrap_or_default();
        assert!(
            line.starts_with("gradeshunt: ") && line.contains(complaint) && !line.contains('\n'),
            "{name}: {said}"
        );
    }
    let file = dir.join("good.json");
    std::fs::write(&file, good).expect("a file");
    let odd = [
        ("ROUTER_CONTROL", "localhost", "ROUTER_CONTROL is not an address"),
        ("ROUTER_LISTEN_FD", "seven", "ROUTER_LISTEN_FD is no descriptor"),
        ("ROUTER_LISTEN_FD", "1000000", "cannot listen on descriptor 1000000"),
    ];
    for (name, value, complaint) in odd {
        let mut command = Command::new(env!("CARGO_BIN_EXE_gradeshunt"));
        command.env("ROUTER_CONFIG", &file).env_remove("ROUTER_CONTROL").env_remove("ROUTER_LISTEN_FD");
        let run = command.env(name, value).output().expect("it runs");
        let said = String::from_utf8_lossy(&run.stderr);
        assert!(run.status.code() == Some(1) && said.contains(complaint), "{name}: {said}");
    }
    let run =
        Command::new(env!("CARGO_BIN_EXE_gradeshunt")).env_remove("ROUTER_CONFIG").output().expect("it runs");
    assert_eq!(
        (run.status.code(), run.stderr.as_slice()),
        (Some(1), &b"gradeshunt: ROUTER_CONFIG is not set\n"[..])
    );
}
