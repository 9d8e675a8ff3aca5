//! What discovery has told whom, by which drains are judged.

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Instant;

use gradeshunt_stand_ins::discovery::Discovery;
use serde_json::json;

const CALLER: usize = 0;
const ID: &str = "s-1";

/// A watch that has been written the list; a line of its stream tells of it.
fn watch(addr: SocketAddr) -> BufReader<TcpStream> {
    let mut stream = TcpStream::connect(addr).expect("it connects");
    write!(stream, "GET /api/targets?stream=1&index=0 HTTP/1.1\r\nHost: x\r\n\r\n").expect("it calls");
    let mut watch = BufReader::new(stream);
    read_list(&mut watch);
    watch
}

/// Awaits the next list or change.
fn read_list(watch: &mut BufReader<TcpStream>) {
    let mut line = String::new();
    while !line.contains("generation") {
        line.clear();
        assert!(watch.read_line(&mut line).expect("a line") > 0, "the watch has ended");
    }
}

/// Guards against a drain that was written to a watch which a former process left behind, and counts as told to the one that runs.
#[test]
fn watch_of_a_former_process_tells_the_running_one_nothing() {
    let discovery =
        Discovery::open(vec![json!({"instanceId": ID, "lifecycle": "ready"})]).expect("it listens");
    let addr = discovery.open_for(CALLER).expect("it listens");
    let mut former = watch(addr);
    let starts = Instant::now();
    let generation = discovery.change(ID, "lifecycle", json!("draining"));
    read_list(&mut former);
    discovery.until_told();
    assert_eq!(discovery.told(CALLER, generation, starts), None, "only the former watch was written to");
    let mut running = watch(addr);
    // A line behind the list: the list counts as written by then.
    discovery.change(ID, "lifecycle", json!("ready"));
    read_list(&mut running);
    assert!(discovery.told(CALLER, generation, starts).is_some_and(|told| told > starts));
}
