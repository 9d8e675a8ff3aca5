//! Transient errors of the system, and how a start waits for their end.

use std::io;
use std::thread;
use std::time::{Duration, Instant};

use rustix::io::Errno;

/// How long a start waits for what the system can't give at once, well within the time in which a process has to be ready.
const START_PATIENCE: Duration = Duration::from_secs(4);
/// Pause between two tries.
const PAUSE: Duration = Duration::from_millis(20);

/// Whether an error is transient: a lack of descriptors, ports, memory, room on a disk, or of a disk that errs for a while.
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

/// Tries again for a while where the system can't give what a start needs at once. Nobody is served yet who could be held up.
///
/// # Errors
/// The last one, where it lasts too long or is not transient.
pub fn retry_while_transient<T>(mut get: impl FnMut() -> io::Result<T>) -> io::Result<T> {
    let began = Instant::now();
    loop {
        match get() {
            Err(e) if is_transient(&e) && began.elapsed() < START_PATIENCE => thread::sleep(PAUSE),
            got => return got,
        }
    }
}
