//! The link between a proxy and a db host: a relay on a port that the system gives, which a script breaks.

use std::io::{self, ErrorKind, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError, Weak};
use std::thread;
use std::time::{Duration, SystemTime};

use crate::written::{self, Written};

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

/// Reads along what passes towards the target on one connection.
pub type Reader = Box<dyn FnMut(&[u8]) + Send>;
/// Makes a reader for each connection.
pub type Tap = Arc<dyn Fn() -> Reader + Send + Sync>;

/// A running link; it ends with this value.
pub struct Link {
    addr: SocketAddr,
    inner: Arc<Inner>,
}

/// What a link's threads share.
struct Inner {
    state: Mutex<State>,
    /// Whoever waits for another state is told.
    changed: Condvar,
    /// Both ends of each open connection: whoever reads there is woken by a reset alone.
    open: Mutex<Vec<Weak<TcpStream>>>,
    /// What came from the proxy, and when.
    written: Written,
    tap: Option<Tap>,
}

impl Inner {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn open(&self) -> MutexGuard<'_, Vec<Weak<TcpStream>>> {
        self.open.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Which way bytes go.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Way {
    ToHost,
    FromHost,
}

impl Link {
    /// A link to `target`, up.
    ///
    /// # Errors
    /// Where no port is to be had.
    pub fn open(target: SocketAddr) -> io::Result<Link> {
        Link::open_tapped(target, None)
    }

    /// The same, with a reader of what passes towards the target.
    ///
    /// # Errors
    /// Where no port is to be had.
    pub fn open_tapped(target: SocketAddr, tap: Option<Tap>) -> io::Result<Link> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let inner = Inner {
            state: Mutex::new(State::Up),
            changed: Condvar::new(),
            open: Mutex::default(),
            written: Written::default(),
            tap,
        };
        let link = Link { addr: listener.local_addr()?, inner: Arc::new(inner) };
        let inner = Arc::clone(&link.inner);
        thread::spawn(move || {
            for near in listener.incoming() {
                let Ok(near) = near else { continue };
                let state = *inner.state();
                match state {
                    State::Over => return,
                    State::Cut => reset(&near),
                    State::Up | State::Slow(_) | State::Silent | State::Deaf => {
                        if join(near, target, Arc::clone(&inner)).is_err() {
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

    /// What it does now.
    pub fn state(&self) -> State {
        *self.inner.state()
    }

    /// When the proxy wrote a text to this link, for the last time.
    pub fn written(&self, text: &str) -> Option<SystemTime> {
        self.inner.written.last(text)
    }

    /// Breaks or mends it.
    pub fn set(&self, state: State) {
        *self.inner.state() = state;
        self.inner.changed.notify_all();
        if matches!(state, State::Cut | State::Over) {
            let open = std::mem::take(&mut *self.inner.open());
            open.iter().filter_map(Weak::upgrade).for_each(|socket| end(&socket));
        }
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
fn join(near: TcpStream, target: SocketAddr, inner: Arc<Inner>) -> io::Result<()> {
    let far = TcpStream::connect(target).inspect_err(|_| reset(&near))?;
    written::keep_times(&near)?;
    near.set_nodelay(true)?;
    far.set_nodelay(true)?;
    let (near, far) = (Arc::new(near), Arc::new(far));
    {
        let mut open = inner.open();
        open.retain(|socket| socket.strong_count() > 0);
        open.extend([Arc::downgrade(&near), Arc::downgrade(&far)]);
    }
    // It may have been cut between the look at its state and its entry above.
    if matches!(*inner.state(), State::Cut | State::Over) {
        end(&near);
        end(&far);
    }
    let (other, ends) = (Arc::clone(&inner), (Arc::clone(&near), Arc::clone(&far)));
    thread::spawn(move || pass(&ends.0, &ends.1, Way::ToHost, &other));
    thread::spawn(move || pass(&far, &near, Way::FromHost, &inner));
    Ok(())
}

/// Passes bytes one way until the connection ends.
fn pass(from: &TcpStream, to: &TcpStream, way: Way, inner: &Inner) {
    let mut piece = vec![0; PIECE];
    let mut reader = inner.tap.as_ref().filter(|_| way == Way::ToHost).map(|tap| tap());
    loop {
        let (n, came) = match written::receive(from, &mut piece) {
            Err(e) if e.kind() == ErrorKind::Interrupted => continue,
            Ok((0, _)) => {
                // What is held stays held; and the other way may go on: a peer may end its sending alone.
                if waits(way, inner) {
                    let _ = to.shutdown(Shutdown::Write);
                }
                return;
            }
            Err(_) => {
                end(from);
                return end(to);
            }
            Ok(read) => read,
        };
        if way == Way::ToHost {
            inner.written.add(came, &piece[..n]);
        }
        let delayed = *inner.state();
        if let State::Slow(delay) = delayed {
            thread::sleep(delay);
        }
        // It may have been broken meanwhile: what is under way is held, too.
        if !waits(way, inner) || { to }.write_all(&piece[..n]).is_err() {
            end(from);
            return end(to);
        }
        reader.iter_mut().for_each(|read| read(&piece[..n]));
    }
}

/// Waits while nothing passes this way; false once the connection is over.
fn waits(way: Way, inner: &Inner) -> bool {
    let holds = |s: &mut State| *s == State::Silent || *s == State::Deaf && way == Way::FromHost;
    let state = inner.changed.wait_while(inner.state(), holds).unwrap_or_else(PoisonError::into_inner);
    matches!(*state, State::Up | State::Slow(_) | State::Deaf)
}

/// Resets it; whoever waits for bytes of it is woken.
fn end(socket: &TcpStream) {
    reset(socket);
    let _ = socket.shutdown(Shutdown::Read);
}

#[cfg(test)]
mod tests;
