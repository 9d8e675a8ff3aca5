//! Transient system errors, and how a starting process waits for them to pass.

use std::io;
use std::thread;
use std::time::{Duration, Instant};

use rustix::io::Errno;

/// How long a starting process waits for a resource that the system lacks, well within the time in which a
/// process must be ready.
const MAX_START_WAIT: Duration = Duration::from_secs(4);
/// Pause between two attempts.
const RETRY_PAUSE: Duration = Duration::from_millis(20);

/// Whether an error is transient: a lack of descriptors, ports, memory or disk space, or a disk that fails
/// for a while.
pub fn is_transient(e: &io::Error) -> bool {
    matches!(
        Errno::from_io_error(e),
        Some(
            Errno::INTR
                | Errno::AGAIN
                | Errno::NFILE
                | Errno::MFILE
                | Errno::NOBUFS
                | Errno::ADDRNOTAVAIL
                | Errno::NOMEM
                | Errno::NOSPC
                | Errno::DQUOT
                | Errno::IO
        )
    )
}

/// Retries for a while when the system lacks a resource needed at start. No client is served yet whom the
/// wait could delay.
///
/// # Errors
/// The last error, if it lasts too long or is not transient.
pub fn retry_while_transient<T>(mut get: impl FnMut() -> io::Result<T>) -> io::Result<T> {
    let began = Instant::now();
    loop {
        match get() {
            Err(e) if is_transient(&e) && began.elapsed() < MAX_START_WAIT => thread::sleep(RETRY_PAUSE),
            got => return got,
        }
    }
}
