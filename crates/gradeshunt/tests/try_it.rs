//! Tests the README's "Try it" section: the example configurations with the toy site, at free ports.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::path::Path;
use std::time::Duration;

use gradeshunt_stand_ins::postgres::client::Client;
use gradeshunt_stand_ins::program::Platform;
use gradeshunt_stand_ins::toy::{open, Addresses};
use serde_json::Value;

/// Replaces each address of an example by one with a free port; the same address always gets the same port.
#[derive(Default)]
struct Ports(BTreeMap<String, (TcpListener, SocketAddr)>);

impl Ports {
    fn free_address_for(&mut self, address: &str) -> String {
        let bind_free_port = || {
            let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
            let addr = listener.local_addr().expect("the listener has an address");
            (listener, addr)
        };
        self.0.entry(address.to_owned()).or_insert_with(bind_free_port).1.to_string()
    }
}

#[test]
fn example_serves_with_the_toy_site() {
    let write = "/* id=1,c=tally-write,d=1000,k=1,cluster=1 */ INSERT INTO facts (code, data) VALUES ('ab', 'hello') RETURNING data";
    let read = "/* id=2,c=own-read,d=1000,cluster=1 */ SELECT data FROM facts WHERE code = 'ab'";
    run_example("one", include_str!("../../../examples/config.json"), [write, read]);
}

#[test]
fn example_with_tenants_serves_with_the_toy_site() {
    let write = "/* id=1,c=entry-write,t=north,d=1000,cluster=1 */ INSERT INTO facts (code, data) VALUES ('ab', 'hello') RETURNING data";
    let read = "/* id=2,c=own-read,t=south,d=1000,cluster=1 */ SELECT data FROM facts WHERE code = 'ab'";
    let metrics_text = run_example("shared", include_str!("../../../examples/shared.json"), [write, read]);
    for tenant in ["north", "south"] {
        let line = format!("app_tenant_replies{{tenant=\"{tenant}\",share=\"within\",status=\"success\"}} 1");
        assert!(metrics_text.contains(&line), "{metrics_text}");
    }
}

/// Starts the program with an example's configuration, sends the statements, and returns the program's
/// metrics.
fn run_example(name: &str, config: &str, statements: [&str; 2]) -> String {
    let mut config: Value = serde_json::from_str(config).expect("JSON");
    let mut ports = Ports::default();
    for field in ["listen", "discovery", "control"] {
        config[field] = ports.free_address_for(config[field].as_str().expect("an address")).into();
    }
    let Addresses { discovery, primary, replica } = Addresses::default();
    let addresses = Addresses {
        discovery: ports.free_address_for(&discovery),
        primary: ports.free_address_for(&primary),
        replica: ports.free_address_for(&replica),
    };
    // The listeners were kept open until here, so that all ports differ.
    drop(ports);
    let _toy = open(&addresses).expect("the toy site starts");
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("try-it-{name}-{}", std::process::id()));
    let mut platform = Platform::new(Path::new(env!("CARGO_BIN_EXE_gradeshunt")), &folder, false)
        .expect("the folder can be made");
    platform.configure(&config).expect("the file can be written");
    // The operators' address comes from the configuration, not from the platform.
    platform.control = None;
    let process = platform.start().expect("the program can be started");
    assert_eq!(Some(process.control.to_string().as_str()), config["control"].as_str());
    process.ready().expect("the program serves");
    let listen = process.listen.expect("the program logs its listen address");
    let timeout = Duration::from_secs(60);
    let mut client = Client::connect(listen, &[("user", "portal"), ("database", "crm")], timeout)
        .expect("the session starts");
    for statement in statements {
        let reply = client.query(statement).expect("an answer");
        assert_eq!(reply.value().as_deref(), Some("hello"), "{reply:?}");
    }
    let metrics_text = process.call("GET", "/status/metrics").expect("an answer").1;
    let _ = std::fs::remove_dir_all(folder);
    metrics_text
}
