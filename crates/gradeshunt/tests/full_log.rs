//! A log whose reader reads nothing: a pipe that is full.

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

/// A wait that ends a test which fails, and bounds none that passes.
const PATIENCE: Duration = Duration::from_secs(20);
/// Pace of the looks at a process that is to end.
const LOOK: Duration = Duration::from_millis(2);
/// Bytes with which a pipe is filled at a time.
const FILLING: [u8; 4096] = [b'\n'; 4096];

/// A full pipe that somebody holds for reading and doesn't read.
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
        let mut held = File::from(held.expect("it opens"));
        let full = loop {
            if let Err(e) = held.write(&FILLING) {
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

/// How a process ends, if it does.
fn end_of(program: &mut Standalone) -> Option<ExitStatus> {
    let since = Instant::now();
    while since.elapsed() < PATIENCE {
        if let Some(status) = program.has_ended().expect("it can be waited for") {
            return Some(status);
        }
        thread::sleep(LOOK);
    }
    program.has_ended().expect("it can be waited for")
}

/// Guards the end of a process whose log nobody reads: it answers, and ends when it is told to, with its lines unwritten. One that
/// waited for its log would be there until SIGKILL, and an upgrade with it.
#[test]
fn process_whose_log_is_not_read_serves_and_ends() {
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
    let mut program = Standalone::start(start, |_| {}).expect("it starts");
    drop(program.connect(PATIENCE));
    let mut client = Client::connect(program.addr, &[("user", "u")], PATIENCE).expect("its session starts");
    let read = "/* id=1,c=page-read,d=300000,cluster=1 */ SELECT data FROM facts WHERE code = '1'";
    assert_eq!(client.query(read).expect("an answer").code(), None);
    drop(client);
    program.signal("-TERM");
    let ended = end_of(&mut program);
    assert!(ended.is_some_and(|status| status.success()), "{ended:?}");
}
