//! When a program wrote what comes over a link: by the kernel, at whose sockets the bytes stand from that moment on, however
//! late the rig itself gets to read them.

use std::io::{self, IoSliceMut};
use std::net::TcpStream;
use std::os::fd::AsRawFd;
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use nix::sys::socket::sockopt::ReceiveTimestampns;
use nix::sys::socket::{recvmsg, setsockopt, ControlMessageOwned, MsgFlags};
use nix::sys::time::TimeSpec;

/// All that was written to one link, in pieces as they came.
#[derive(Default)]
pub struct Written(Mutex<Vec<(SystemTime, Vec<u8>)>>);

impl Written {
    pub(crate) fn add(&self, at: SystemTime, piece: &[u8]) {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).push((at, piece.to_vec()));
    }

    /// When a text was written, for the last time where that was more than once; `None` where it has not come in one piece.
    pub fn last(&self, text: &str) -> Option<SystemTime> {
        let pieces = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let with = pieces.iter().filter(|(_, piece)| String::from_utf8_lossy(piece).contains(text));
        with.map(|(at, _)| *at).max()
    }
}

/// Has the kernel keep when bytes come to a socket.
///
/// # Errors
/// Where the system can't.
pub fn keep_times(socket: &TcpStream) -> io::Result<()> {
    Ok(setsockopt(socket, ReceiveTimestampns, &true)?)
}

/// Reads what stands at a socket: so many bytes, and when the last of them came. Where the kernel has not kept that, as of
/// bytes that came before it was asked to, it is the time of the read.
///
/// # Errors
/// Those of the read.
pub fn receive(socket: &TcpStream, piece: &mut [u8]) -> io::Result<(usize, SystemTime)> {
    let mut room = nix::cmsg_space!(TimeSpec);
    let mut parts = [IoSliceMut::new(piece)];
    let message = recvmsg::<()>(socket.as_raw_fd(), &mut parts, Some(&mut room), MsgFlags::empty())?;
    let came = message.cmsgs()?.find_map(|m| match m {
        ControlMessageOwned::ScmTimestampns(at) => Some(UNIX_EPOCH + Duration::from(at)),
        _ => None,
    });
    Ok((message.bytes, came.unwrap_or_else(SystemTime::now)))
}
