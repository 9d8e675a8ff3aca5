//! The link between a proxy and a db host: a relay on a port that the system gives, which a script breaks.

use std::io::{self, ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::Duration;

/// How often a connection that waits looks at its link's state.
const LOOK: Duration = Duration::from_millis(2);
/// Bytes under way at most, each way of each connection.
const PIECE: usize = 16 * 1024;

/// What a link does with the connections over it, those that are open and new ones.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    Up,
    /// Each piece comes so much later.
    Slow(Duration),
    /// All are reset.
    Cut,
    /// All stay open, and nothing passes.
    Silent,
    /// What the db host says is held back.
    Deaf,
    /// The rig has ended.
    Over,
}

/// A running link; it ends with this value.
pub struct Link {
    addr: SocketAddr,
    state: Arc<Mutex<State>>,
}

/// Which way bytes go.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Way {
    ToHost,
    FromHost,
}

fn now(state: &Mutex<State>) -> State {
    *state.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Link {
    /// A link to `target`, up.
    ///
    /// # Errors
    /// Where no port is to be had.
    pub fn open(target: SocketAddr) -> io::Result<Link> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let link = Link { addr: listener.local_addr()?, state: Arc::new(Mutex::new(State::Up)) };
        let state = Arc::clone(&link.state);
        thread::spawn(move || {
            for near in listener.incoming() {
                let (Ok(near), state) = (near, Arc::clone(&state)) else { continue };
                match now(&state) {
                    State::Over => return,
                    State::Cut => reset(&near),
                    State::Up | State::Slow(_) | State::Silent | State::Deaf => {
                        if join(near, target, state).is_err() {
                            continue;
                        }
                    }
                }
            }
        });
        Ok(link)
    }

    /// Where the proxy connects.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Breaks or mends it.
    pub fn set(&self, state: State) {
        *self.state.lock().unwrap_or_else(PoisonError::into_inner) = state;
    }
}

impl Drop for Link {
    fn drop(&mut self) {
        self.set(State::Over);
        // The listener's thread learns of it by a connection.
        drop(TcpStream::connect(self.addr));
    }
}

/// The next close of this socket resets the connection.
fn reset(socket: &TcpStream) {
    // Where that fails it is closed in order, and the other side meets an end instead.
    let _ = socket2::SockRef::from(socket).set_linger(Some(Duration::ZERO));
}

/// Joins a connection with one to the db host.
fn join(near: TcpStream, target: SocketAddr, state: Arc<Mutex<State>>) -> io::Result<()> {
    let far = TcpStream::connect(target).inspect_err(|_| reset(&near))?;
    for socket in [&near, &far] {
        socket.set_nodelay(true)?;
        socket.set_read_timeout(Some(LOOK))?;
    }
    let (near, far) = (Arc::new(near), Arc::new(far));
    let (other, ends) = (Arc::clone(&state), (Arc::clone(&near), Arc::clone(&far)));
    thread::spawn(move || pass(&ends.0, &ends.1, Way::ToHost, &other));
    thread::spawn(move || pass(&far, &near, Way::FromHost, &state));
    Ok(())
}

/// Passes bytes one way until the connection ends.
fn pass(from: &TcpStream, to: &TcpStream, way: Way, state: &Mutex<State>) {
    let mut piece = vec![0; PIECE];
    loop {
        if !waits(way, state, [from, to]) {
            return;
        }
        let n = match { from }.read(&mut piece) {
            Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => continue,
            Err(e) if e.kind() == ErrorKind::Interrupted => continue,
            Ok(0) => {
                // The other way may go on: a peer may end its sending alone.
                let _ = to.shutdown(Shutdown::Write);
                return;
            }
            Err(_) => return end([from, to]),
            Ok(n) => n,
        };
        if let State::Slow(delay) = now(state) {
            thread::sleep(delay);
        }
        // It may have been broken meanwhile: what is under way is held, too.
        if !waits(way, state, [from, to]) {
            return;
        }
        if { to }.write_all(&piece[..n]).is_err() {
            return end([from, to]);
        }
    }
}

/// Waits while nothing passes this way; false once the connection is over.
fn waits(way: Way, state: &Mutex<State>, ends: [&TcpStream; 2]) -> bool {
    loop {
        match now(state) {
            State::Silent => thread::sleep(LOOK),
            State::Deaf if way == Way::FromHost => thread::sleep(LOOK),
            State::Up | State::Slow(_) | State::Deaf => return true,
            State::Cut | State::Over => {
                end(ends);
                return false;
            }
        }
    }
}

/// Resets both sides, once both ways have seen it.
fn end(ends: [&TcpStream; 2]) {
    for socket in ends {
        reset(socket);
        // Whoever waits for bytes of it is woken.
        let _ = socket.shutdown(Shutdown::Read);
    }
}

#[cfg(test)]
mod tests {
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
}
