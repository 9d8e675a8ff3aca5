//! Errors of the system that pass by themselves, and how a start waits for that.

use std::io;
use std::thread;
use std::time::{Duration, Instant};

use rustix::io::Errno;

/// How long a start waits for what the system can't give at once, well within the time in which a process has to be ready.
const START_PATIENCE: Duration = Duration::from_secs(4);
/// Pause between two tries.
const PAUSE: Duration = Duration::from_millis(20);

/// Whether an error tells of a want that passes: of descriptors, ports, memory, room on a disk, or of a disk that errs for a while.
pub fn passes(e: &io::Error) -> bool {
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
/// The last one, where it does not pass in time, or is not such as passes.
pub fn patiently<T>(mut get: impl FnMut() -> io::Result<T>) -> io::Result<T> {
    let began = Instant::now();
    loop {
        match get() {
            Err(e) if passes(&e) && began.elapsed() < START_PATIENCE => thread::sleep(PAUSE),
            got => return got,
        }
    }
}
