//! Tests of the whole proxy with real sockets.

use std::net::SocketAddr;
use std::path::Path;
use std::time::{Duration, Instant};

use serde_json::{json, Value};
use slog::{o, Discard};

use super::*;
use crate::cycle::ProxyLoop;

/// Ends a test that fails; no passing test waits this long.
const PATIENCE: Duration = Duration::from_secs(8);

/// Never wakes the loop, like an eventfd whose write fails.
struct BrokenWaker;

impl Wake for BrokenWaker {
    fn wake(&self) {}
}

/// Writes a configuration with discovery at this address.
fn write_config(file: &Path, discovery: SocketAddr) {
    let text = std::fs::read_to_string("../../examples/config.json").expect("the example");
    let mut config: Value = serde_json::from_str(&text).expect("JSON");
    config["listen"] = json!("127.0.0.1:0");
    config["control"] = Value::Null;
    config["discovery"] = json!(discovery.to_string());
    std::fs::write(file, config.to_string()).expect("it is written");
}

/// Runs the loop until the proxy connects to `listener`.
fn turn_until_connected(cycle: &mut ProxyLoop, proxy: &mut Proxy, listener: &TcpListener) {
    listener.set_nonblocking(true).expect("it can be set");
    let began = Instant::now();
    while listener.accept().is_err() {
        assert!(began.elapsed() < PATIENCE, "the proxy does not connect");
        let wait = ProxyLoop::wait(&proxy.core);
        cycle.run_turn(proxy, wait).expect("it can poll");
    }
}

/// Guards completed file work against a ping that fails: without the periodic check a reload would never take
/// effect.
#[test]
fn file_work_is_collected_when_its_thread_cannot_wake_the_loop() {
    let discovery = || TcpListener::bind("127.0.0.1:0").expect("a port");
    let (first, second) = (discovery(), discovery());
    let file = std::env::temp_dir().join(format!("gradeshunt-broken-waker-{}.json", std::process::id()));
    write_config(&file, first.local_addr().expect("an address"));
    let mut cycle = ProxyLoop::open().expect("a poll");
    let config = Config::load(Some(&file)).expect("a configuration");
    let log = Logger::root(Discard, o!());
    let proxy = Proxy::with_waker(config, Some(file.clone()), cycle.event_loop(), log, BrokenWaker);
    let mut proxy = proxy.expect("its sockets");
    turn_until_connected(&mut cycle, &mut proxy, &first);
    write_config(&file, second.local_addr().expect("an address"));
    proxy.on_event(EventSource::Reload);
    turn_until_connected(&mut cycle, &mut proxy, &second);
    std::fs::remove_file(&file).expect("it is there");
}
