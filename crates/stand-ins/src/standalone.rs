//! A process of the program that holds its clients' socket itself, at an address that is known before it runs.

use std::fs::File;
use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus};
use std::sync::atomic::{AtomicU16, Ordering};
use std::time::{Duration, Instant};

use serde_json::{json, Value};

/// Pace of the looks at a log.
const LOOK: Duration = Duration::from_millis(2);
/// The first port at which own addresses stand, and how many addresses share a port.
const PORT: u16 = 6432;
const ADDRESSES: u16 = 254;

/// An address that nobody else has: a loopback address of this process's own, by its number and a counter. A port that the
/// system gives and takes back may be given to somebody else before it is used.
pub fn own_address() -> SocketAddr {
    static NEXT: AtomicU16 = AtomicU16::new(0);
    let [_, _, high, low] = std::process::id().to_be_bytes();
    let number = NEXT.fetch_add(1, Ordering::Relaxed);
    let last = (number % ADDRESSES) as u8 + 1;
    (Ipv4Addr::new(127, high.max(1), low, last), PORT + number / ADDRESSES).into()
}

/// How a process is started.
pub struct Start<'a> {
    /// The program's file.
    pub program: &'a Path,
    /// A folder of its own, which is removed at its end: its configuration, its log, what its processes share.
    pub folder: PathBuf,
    pub config: Value,
    /// Shell commands before the program's own.
    pub shell: &'a str,
    /// More for its environment.
    pub environment: Vec<(String, String)>,
}

/// A running process. It is killed when this is dropped.
pub struct Standalone {
    child: Child,
    pub addr: SocketAddr,
    pub folder: PathBuf,
}

impl Drop for Standalone {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

impl Standalone {
    /// Starts it; `prepare` gets the folder that its processes share, `$TMPDIR`, before.
    ///
    /// # Errors
    /// Those of files, and of a shell that can't be started.
    pub fn start(start: Start, prepare: impl FnOnce(&Path)) -> io::Result<Standalone> {
        let Start { program, folder, mut config, shell, environment } = start;
        let addr = own_address();
        config["listen"] = json!(addr.to_string());
        let _ = std::fs::remove_dir_all(&folder);
        std::fs::create_dir_all(folder.join("tmp"))?;
        prepare(&folder.join("tmp"));
        std::fs::write(folder.join("config.json"), config.to_string())?;
        let child = Command::new("/bin/sh")
            .arg("-c")
            .arg(format!("{shell} exec \"$0\""))
            .arg(program)
            .env("ROUTER_CONFIG", folder.join("config.json"))
            .env("TMPDIR", folder.join("tmp"))
            .env_remove("ROUTER_CONTROL")
            .env_remove("ROUTER_LISTEN_FD")
            .envs(environment)
            .stderr(File::create(folder.join("log"))?)
            .spawn()?;
        Ok(Standalone { child, addr, folder })
    }

    /// What it has logged so far.
    ///
    /// # Panics
    /// Where its log can't be read.
    pub fn log(&self) -> String {
        std::fs::read_to_string(self.folder.join("log")).expect("its log")
    }

    /// Waits for a line of its log.
    ///
    /// # Panics
    /// Where it does not come within `patience`.
    pub fn until_logged(&self, what: &str, patience: Duration) {
        let began = Instant::now();
        while !self.log().contains(what) {
            assert!(began.elapsed() < patience, "{what}: {}", self.log());
            std::thread::sleep(LOOK);
        }
    }

    /// Connects as soon as its socket listens; reads wait for `patience` at most.
    ///
    /// # Panics
    /// Where it listens nowhere within that time.
    pub fn connect(&self, patience: Duration) -> TcpStream {
        let began = Instant::now();
        loop {
            if let Ok(stream) = TcpStream::connect(self.addr) {
                stream.set_read_timeout(Some(patience)).expect("it can be set");
                return stream;
            }
            assert!(began.elapsed() < patience, "it listens nowhere: {}", self.log());
            std::thread::yield_now();
        }
    }

    /// Sends a signal by name, as kill(1) takes it: `-TERM`.
    ///
    /// # Panics
    /// Where there is no such process any more.
    pub fn signal(&self, name: &str) {
        let kill = Command::new("kill").arg(name).arg(self.child.id().to_string()).status();
        assert!(kill.is_ok_and(|s| s.success()));
    }

    /// Stops it, and waits until each of its threads stands. The signal alone returns before that: a thread that waits for events may
    /// still take in what comes first.
    ///
    /// # Panics
    /// Where there is no such process any more.
    pub fn stop(&self) {
        self.signal("-STOP");
        while !self.threads_stand() {
            std::thread::yield_now();
        }
    }

    /// Whether each of its threads is stopped, by the state behind its name in parentheses (proc(5)).
    fn threads_stand(&self) -> bool {
        let tasks = std::fs::read_dir(format!("/proc/{}/task", self.child.id())).expect("it lives");
        tasks.filter_map(Result::ok).all(|task| {
            let stat = std::fs::read_to_string(task.path().join("stat")).unwrap_or_default();
            stat.rsplit(')').next().is_some_and(|rest| rest.trim_start().starts_with('T'))
        })
    }

    /// How it has ended, if it has.
    ///
    /// # Errors
    /// Those of the wait.
    pub fn has_ended(&mut self) -> io::Result<Option<ExitStatus>> {
        self.child.try_wait()
    }

    /// Waits for its end.
    ///
    /// # Errors
    /// Those of the wait.
    pub fn ends(&mut self) -> io::Result<ExitStatus> {
        self.child.wait()
    }
}
