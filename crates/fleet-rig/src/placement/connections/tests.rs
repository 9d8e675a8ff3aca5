//! Tests of the part named by the folder.

use std::net::{TcpListener, TcpStream};

use super::*;

/// Guards the guard: open connections are counted, closed ones are not, though the link's end is still open.
#[test]
fn open_connections_are_counted() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("its address");
    let links = BTreeMap::from([(address.port(), Ends::ToHost { proxy: 3, host: 1 })]);
    let connect = || {
        let near = TcpStream::connect(address).expect("it accepts");
        (near, listener.accept().expect("it is there").0)
    };
    let (first, _first_end) = connect();
    let (_second, _second_end) = connect();
    let count = || {
        let mut most = Most::default();
        most.take(&std::fs::read_to_string("/proc/net/tcp").expect("a table"), &links);
        (most.at_host, most.proxies_at_host, most.at_proxy)
    };
    assert_eq!(count(), (2, 1, 2));
    drop(first);
    assert_eq!(count(), (1, 1, 1));
}
