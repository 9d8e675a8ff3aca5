//! The platform: it holds the clients' socket, and starts, upgrades and ends the program.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::OwnedFd;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::mpsc::{channel, Receiver};
use std::time::{Duration, Instant};

use rustix::process::Pid;
use serde_json::Value;

use crate::ending::{Ending, Overdue};

/// What the program needs around it.
pub struct Platform {
    /// The program's file.
    pub program: PathBuf,
    /// A folder of its own: its configuration, and what its processes share.
    pub folder: PathBuf,
    held: Option<TcpListener>,
    /// The operators' address that the platform names, where it does.
    pub control: Option<String>,
    /// More for its environment.
    pub environment: Vec<(String, String)>,
}

/// One process of it.
pub struct Process {
    child: Child,
    log: Receiver<String>,
    /// What it has logged so far.
    pub lines: Vec<String>,
    pub control: SocketAddr,
    pub listen: Option<SocketAddr>,
}

impl Platform {
    /// `held`: the platform holds the clients' socket.
    pub fn new(program: &Path, folder: &Path, held: bool) -> io::Result<Platform> {
        let _ = std::fs::remove_dir_all(folder);
        std::fs::create_dir_all(folder.join("tmp"))?;
        let held = held.then(|| TcpListener::bind("127.0.0.1:0")).transpose()?;
        if let Some(held) = &held {
            // Crowds wait here while nobody accepts.
            rustix::net::listen(held, 4096)?;
        }
        let (program, folder) = (program.to_owned(), folder.to_owned());
        Ok(Platform {
            program,
            folder,
            held,
            control: Some("127.0.0.1:0".to_owned()),
            environment: Vec::new(),
        })
    }

    pub fn configure(&self, config: &Value) -> io::Result<()> {
        std::fs::write(self.config(), config.to_string())
    }

    pub fn config(&self) -> PathBuf {
        self.folder.join("config.json")
    }

    /// Where clients connect, if the platform holds the socket.
    pub fn held_addr(&self) -> Option<SocketAddr> {
        self.held.as_ref().and_then(|h| h.local_addr().ok())
    }

    /// Starts a process, and waits until it has told its operators' address.
    pub fn start(&self) -> io::Result<Process> {
        let mut process = self.spawn()?;
        let line = process.until("control: ")?;
        process.control = named(&line, "control").ok_or_else(|| io::Error::other(line.clone()))?;
        process.listen = named(&line, "listen");
        Ok(process)
    }

    /// Starts a process, and does not wait for its log, which may take no lines: its operators' address is the one that the
    /// platform names.
    pub fn spawn(&self) -> io::Result<Process> {
        let mut command = Command::new("/bin/sh");
        command.env_remove("ROUTER_LISTEN_FD").env_remove("ROUTER_RULES");
        let held = "exec \"$0\" 7<&0 </dev/null";
        command.arg("-c").arg(if self.held.is_some() { held } else { "exec \"$0\" </dev/null" });
        if let Some(held) = &self.held {
            command.env("ROUTER_LISTEN_FD", "7").stdin(Stdio::from(OwnedFd::from(held.try_clone()?)));
        }
        let mut child = command
            .arg(&self.program)
            .envs(self.environment.iter().cloned())
            .env("ROUTER_CONFIG", self.config())
            .env("ROUTER_CONTROL", self.control.as_deref().unwrap_or_default())
            .env("TMPDIR", self.folder.join("tmp"))
            .stderr(Stdio::piped())
            .spawn()?;
        let (tell, log) = channel();
        let lines = BufReader::new(child.stderr.take().ok_or(io::ErrorKind::BrokenPipe)?).lines();
        std::thread::spawn(move || lines.map_while(Result::ok).for_each(|l| drop(tell.send(l))));
        let control = self.control.as_ref().and_then(|control| control.parse().ok());
        let control = control.unwrap_or_else(|| ([0; 4], 0).into());
        Ok(Process { child, log, lines: Vec::new(), control, listen: None })
    }
}

impl Process {
    /// Waits for a line of its log.
    pub fn until(&mut self, what: &str) -> io::Result<String> {
        loop {
            let line = self.log.recv();
            let line = line.map_err(|_| io::Error::other(format!("it ended: {}", self.lines.join("\n"))))?;
            self.lines.push(line.clone());
            if line.contains(what) {
                return Ok(line);
            }
        }
    }

    /// What it has logged up to now.
    pub fn logged(&mut self) -> &[String] {
        self.lines.extend(self.log.try_iter());
        &self.lines
    }

    /// Calls an operator's address: the status, and the body.
    pub fn call(&self, method: &str, path: &str) -> io::Result<(u16, String)> {
        let mut stream = TcpStream::connect(self.control)?;
        // A program that answers nobody fails a test; it must not hold it up for ever.
        stream.set_read_timeout(Some(Duration::from_secs(60)))?;
        write!(stream, "{method} {path} HTTP/1.1\r\nHost: x\r\n\r\n")?;
        let mut text = String::new();
        stream.read_to_string(&mut text)?;
        let (head, body) = text.split_once("\r\n\r\n").ok_or(io::ErrorKind::UnexpectedEof)?;
        let status = head.split(' ').nth(1).and_then(|s| s.parse().ok());
        Ok((status.ok_or(io::ErrorKind::InvalidData)?, body.to_owned()))
    }

    /// Waits until it says that it serves.
    pub fn ready(&self) -> io::Result<()> {
        while self.call("GET", "/status")?.0 != 200 {
            std::thread::sleep(Duration::from_millis(2));
        }
        Ok(())
    }

    /// Sends a signal by name (`TERM`, `HUP`, `STOP`, `CONT`).
    pub fn signal(&self, name: &str) -> io::Result<()> {
        use rustix::process::{kill_process, Signal};
        let signal = match name {
            "TERM" => Signal::TERM,
            "HUP" => Signal::HUP,
            "STOP" => Signal::STOP,
            "CONT" => Signal::CONT,
            _ => return Err(io::ErrorKind::InvalidInput.into()),
        };
        let pid = Pid::from_child(&self.child);
        Ok(kill_process(pid, signal)?)
    }

    /// Waits for its end, so long at most.
    pub fn exits(&mut self, within: Duration) -> io::Result<Option<ExitStatus>> {
        if let Some(status) = self.child.try_wait()? {
            return Ok(Some(status));
        }
        let in_time = Ending::within(Pid::from_child(&self.child), within)?.is_in_time()?;
        Ok(if in_time { Some(self.child.wait()?) } else { None })
    }

    /// As [`Process::exits`]; where it does not end in time, tells where it stands.
    pub fn exits_or_stands(&mut self, within: Duration) -> io::Result<Result<ExitStatus, Overdue>> {
        let over = Instant::now() + within;
        Ok(self.exits(within)?.ok_or_else(|| Overdue::since(over, self.id())))
    }

    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Processor time that its threads have taken, to the nanosecond: the first field of each thread's `schedstat`
    /// (Documentation/scheduler/sched-stats.rst of Linux). A thread that has ended takes its time with it; those of the
    /// program live as long as it does.
    pub fn cpu(&self) -> io::Result<Duration> {
        let mut taken = Duration::ZERO;
        for thread in std::fs::read_dir(format!("/proc/{}/task", self.child.id()))? {
            // One that ends meanwhile has no figure any more.
            let Ok(text) = std::fs::read_to_string(thread?.path().join("schedstat")) else { continue };
            let nanoseconds = text.split(' ').next().and_then(|field| field.parse().ok());
            taken += Duration::from_nanos(nanoseconds.ok_or(io::ErrorKind::InvalidData)?);
        }
        Ok(taken)
    }

    /// Memory that it holds, in bytes: the resident pages of `status` in proc(5).
    pub fn memory(&self) -> io::Result<u64> {
        let text = std::fs::read_to_string(format!("/proc/{}/status", self.child.id()))?;
        let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let kilobytes = line.and_then(|line| line.trim().trim_end_matches("kB").trim().parse::<u64>().ok());
        Ok(kilobytes.ok_or(io::ErrorKind::InvalidData)? * 1024)
    }

    /// File descriptors that it holds.
    pub fn descriptors(&self) -> io::Result<usize> {
        Ok(std::fs::read_dir(format!("/proc/{}/fd", self.child.id()))?.count())
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// An address in a line of the log.
fn named(line: &str, what: &str) -> Option<SocketAddr> {
    let text = line.split_once(&format!("{what}: "))?.1;
    text.split([',', ' ']).next()?.parse().ok()
}
