//! Hundreds of clients that are slow: the process stays within its memory, and others get their answers.

use std::thread;
use std::time::{Duration, Instant};

use gradeshunt_stand_ins::postgres::wire;
use gradeshunt_stand_ins::script::{Act, Rule, Table};
use gradeshunt_stand_ins::slow_clients::{Behavior, SlowClients};
use serde_json::json;

use super::fixture::Fixture;

/// How long the slow clients stay.
const DURATION: Duration = Duration::from_secs(4);
/// More clients than the process has descriptors for.
const CLIENTS: usize = 300;
/// Clients whose statements take long to parse in a build without optimization.
const FEW_CLIENTS: usize = 60;
const MEMORY_MB: u64 = 48;
const SOCKETS: u32 = 384;
/// Pause between two looks at the memory.
const PAUSE: Duration = Duration::from_millis(10);
/// Size of a large statement, and of a long value.
const LARGE_STATEMENT: usize = 240 * 1024;
const LONG_VALUE: usize = 4 * 1024 * 1024;

fn startup() -> Vec<u8> {
    wire::startup(&[("user", "portal"), ("database", "crm")])
}

/// Asserts that the process stays within its memory beside slow clients, and that others get their answers.
fn assert_bounded_beside(name: &str, behavior: Behavior) {
    let mut fixture = Fixture::open_with(name, |config, _| {
        config["limits"]["memory_mb"] = json!(MEMORY_MB);
        config["limits"]["sockets"] = json!(SOCKETS);
    });
    let value = String::from_utf8(vec![b'x'; LONG_VALUE]).expect("text");
    let long = Table::of(&["data"], &[&[&value]]);
    for host in 0..3 {
        fixture.site.sets[0].script(host, Rule::always("code = 'long'", Act::Answer(long.clone())));
    }
    let (addr, id) = (fixture.addr(), fixture.process.id());
    let mut peak = 0;
    fixture.assert_in_time_beside(|| {
        let _clients = SlowClients::begin(addr, behavior);
        let began = Instant::now();
        while began.elapsed() < DURATION {
            peak = peak.max(resident_bytes(id));
            thread::sleep(PAUSE);
        }
    });
    assert!(peak <= MEMORY_MB << 20, "{} kB resident, {MEMORY_MB} MB allowed", peak / 1024);
}

/// Memory that a process holds: the resident pages of `status` in proc(5).
fn resident_bytes(process: u32) -> u64 {
    let text = std::fs::read_to_string(format!("/proc/{process}/status")).expect("the process lives");
    let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:")).expect("a line for the memory");
    let kilobytes: u64 = line.trim().trim_end_matches("kB").trim().parse().expect("a number");
    kilobytes * 1024
}

fn long_read(id: &str) -> String {
    format!("/* id={id},c=page-read,d=3000,cluster=1 */ SELECT data FROM facts WHERE code = 'long'")
}

/// Guards memory and other clients against clients that write a large statement slowly.
#[test]
fn clients_that_write_slowly_are_bounded() {
    let statement = "x".repeat(LARGE_STATEMENT);
    let bytes = [startup(), wire::query(&statement)].concat();
    let behavior =
        Behavior { clients: CLIENTS, bytes, bytes_written_at_once: 1_000, bytes_read_at_once: 1_000 };
    assert_bounded_beside("write-slowly", behavior);
}

/// Guards memory and other clients against clients that stop half way through a large statement.
#[test]
fn clients_that_stop_amid_a_large_statement_are_bounded() {
    let statement = "x".repeat(LARGE_STATEMENT);
    let mut bytes = [startup(), wire::query(&statement)].concat();
    bytes.truncate(bytes.len() - 1);
    let behavior = Behavior {
        clients: CLIENTS,
        bytes,
        bytes_written_at_once: LARGE_STATEMENT,
        bytes_read_at_once: 1_000,
    };
    assert_bounded_beside("stop-amid", behavior);
}

/// Guards memory and other clients against startup messages of very many short parameters.
#[test]
fn clients_with_thousands_of_startup_parameters_are_bounded() {
    let parameters = vec![("a", "b"); 2_490];
    let behavior = Behavior {
        clients: CLIENTS,
        bytes: wire::startup(&parameters),
        bytes_written_at_once: 10_000,
        bytes_read_at_once: 1_000,
    };
    assert_bounded_beside("parameters", behavior);
}

/// Guards memory and other clients against startup messages of very many short protocol options.
#[test]
fn clients_with_thousands_of_protocol_options_are_bounded() {
    let parameters = vec![("_pq_.a", ""); 1_240];
    let behavior = Behavior {
        clients: CLIENTS,
        bytes: wire::startup(&parameters),
        bytes_written_at_once: 10_000,
        bytes_read_at_once: 1_000,
    };
    assert_bounded_beside("options", behavior);
}

/// Guards memory and other clients against routing comments of very many short fields.
#[test]
fn clients_with_thousands_of_routing_fields_are_bounded() {
    let fields = ",a=b".repeat(50_000);
    let statement =
        format!("/* id=many,c=page-read,d=1000,cluster=1{fields} */ SELECT data FROM facts WHERE code = 'a'");
    let bytes = [startup(), wire::query(&statement).repeat(4)].concat();
    let behavior = Behavior {
        clients: FEW_CLIENTS,
        bytes,
        bytes_written_at_once: LARGE_STATEMENT,
        bytes_read_at_once: 1_000,
    };
    assert_bounded_beside("fields", behavior);
}

/// Guards memory and other clients against clients that read long values slowly.
#[test]
fn clients_that_read_long_values_slowly_are_bounded() {
    let statements: Vec<u8> = (0..8).flat_map(|n| wire::query(&long_read(&format!("l{n}")))).collect();
    let bytes = [startup(), statements].concat();
    let behavior =
        Behavior { clients: CLIENTS, bytes, bytes_written_at_once: 10_000, bytes_read_at_once: 2_000 };
    assert_bounded_beside("read-slowly", behavior);
}

/// Guards memory and other clients against clients that read nothing of what they have asked for.
#[test]
fn clients_that_read_nothing_are_bounded() {
    let errors: Vec<u8> = (0..20_000).flat_map(|_| wire::query("SELECT 1")).collect();
    let bytes = [startup(), errors, wire::query(&long_read("n"))].concat();
    let behavior =
        Behavior { clients: CLIENTS, bytes, bytes_written_at_once: LARGE_STATEMENT, bytes_read_at_once: 0 };
    assert_bounded_beside("read-nothing", behavior);
}
