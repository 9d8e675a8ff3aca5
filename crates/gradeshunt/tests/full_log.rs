//! A log that is written to a full pipe which nobody reads.

use std::fs::File;
use std::io::{ErrorKind, Write};
use std::path::{Path, PathBuf};
use std::process::ExitStatus;
use std::thread;
use std::time::{Duration, Instant};

use gradeshunt_stand_ins::postgres::client::Client;
use gradeshunt_stand_ins::site::{Plan, Site};
use gradeshunt_stand_ins::standalone::{Standalone, Start};
use rustix::fs::{mkfifoat, open, Mode, OFlags, CWD};

/// Timeout of a step in a failing test; a passing test never waits this long.
const STEP_TIMEOUT: Duration = Duration::from_secs(20);
/// Interval between checks whether the process has exited.
const EXIT_CHECK_INTERVAL: Duration = Duration::from_millis(2);
/// Bytes written at a time to fill a pipe.
const FILL_CHUNK: [u8; 4096] = [b'\n'; 4096];

/// A full pipe that is open for reading, but never read.
struct FullPipe {
    path: PathBuf,
    _held: File,
}

impl FullPipe {
    fn open(name: &str) -> FullPipe {
        let file = format!("{name}-{}", std::process::id());
        let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(file);
        mkfifoat(CWD, &path, Mode::RUSR | Mode::WUSR).expect("a pipe");
        let held = open(&path, OFlags::RDWR | OFlags::NONBLOCK | OFlags::CLOEXEC, Mode::empty());
        let mut held = File::from(held.expect("the pipe opens"));
        let full = loop {
            if let Err(e) = held.write(&FILL_CHUNK) {
                break e;
            }
        };
        assert_eq!(full.kind(), ErrorKind::WouldBlock);
        FullPipe { path, _held: held }
    }
}

impl Drop for FullPipe {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.path);
    }
}

/// Waits for a process to exit; returns its status, or `None` after [`STEP_TIMEOUT`].
fn wait_for_exit(program: &mut Standalone) -> Option<ExitStatus> {
    let since = Instant::now();
    while since.elapsed() < STEP_TIMEOUT {
        if let Some(status) = program.has_ended().expect("the process can be waited for") {
            return Some(status);
        }
        thread::sleep(EXIT_CHECK_INTERVAL);
    }
    program.has_ended().expect("the process can be waited for")
}

/// A process whose log nobody reads answers requests and exits on SIGTERM with its lines unwritten. A process
/// that waits for its log would stay until SIGKILL, and an upgrade would wait with it.
#[test]
fn process_serves_and_exits_while_its_log_is_not_read() {
    let site = Site::open(Plan::default()).expect("a site");
    let pipe = FullPipe::open("full-log");
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("full-log-of-{}", std::process::id()));
    let start = Start {
        program: Path::new(env!("CARGO_BIN_EXE_gradeshunt")),
        folder,
        config: site.config(),
        shell: &format!("exec 2>>'{}';", pipe.path.display()),
        environment: Vec::new(),
    };
    let mut program = Standalone::start(start, |_| {}).expect("the process starts");
    drop(program.connect(STEP_TIMEOUT));
    let mut client =
        Client::connect(program.addr, &[("user", "u")], STEP_TIMEOUT).expect("the session starts");
    let read = "/* id=1,c=page-read,d=300000,cluster=1 */ SELECT data FROM facts WHERE code = '1'";
    assert_eq!(client.query(read).expect("an answer").code(), None);
    drop(client);
    program.signal("-TERM");
    let ended = wait_for_exit(&mut program);
    assert!(ended.is_some_and(|status| status.success()), "{ended:?}");
}
