//! Tests of the part named by the folder.

use std::io::Read;

use super::*;

/// A connection over a link, and the host's end of it.
fn connection() -> (Link, TcpStream, TcpStream) {
    let host = TcpListener::bind("127.0.0.1:0").expect("a port");
    let link = Link::open(host.local_addr().expect("its address")).expect("a link");
    let near = TcpStream::connect(link.addr()).expect("it accepts");
    let far = host.accept().expect("it is joined").0;
    (link, near, far)
}

fn passes(mut from: &TcpStream, mut to: &TcpStream) {
    from.write_all(b"x").expect("it is open");
    let mut byte = [0];
    to.read_exact(&mut byte).expect("it passes");
}

fn held(mut to: &TcpStream) -> bool {
    to.set_read_timeout(Some(Duration::from_millis(50))).expect("it can be set");
    let held = to.read(&mut [0]).is_err_and(|e| e.kind() == ErrorKind::WouldBlock);
    to.set_read_timeout(None).expect("it can be set");
    held
}

/// Guards each fault that scripts rest on.
#[test]
fn each_state_does_what_it_says() {
    let (link, near, far) = connection();
    passes(&near, &far);
    passes(&far, &near);
    link.set(State::Deaf);
    passes(&near, &far);
    { &far }.write_all(b"y").expect("it is open");
    assert!(held(&near));
    link.set(State::Slow(Duration::from_millis(1)));
    { &near }.read_exact(&mut [0]).expect("what was held passes");
    link.set(State::Silent);
    { &near }.write_all(b"z").expect("it is open");
    assert!(held(&far));
    link.set(State::Cut);
    assert!({ &near }.read(&mut [0]).is_err(), "it is reset");
    let refused = TcpStream::connect(link.addr()).and_then(|mut s| s.read_exact(&mut [0]));
    assert!(refused.is_err(), "and so are new ones");
}
