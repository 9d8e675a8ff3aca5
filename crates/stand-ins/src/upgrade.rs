//! The upgrade of a proxy under load, over and over: a second process starts on the same socket, says yes, and the
//! first is told to leave, while clients connect and ask all the time. With or without a disk that stands amid it.

use std::io;
use std::net::SocketAddr;
use std::ops::Range;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use rustix::fs::{mknodat, FileType, Mode, CWD};

use crate::checker::{Checker, Outcome};
use crate::postgres::client::Client;
use crate::program::{Platform, Process};
use crate::site::Site;

/// A client's patience, beyond the wait of its request.
const PATIENCE: Duration = Duration::from_secs(20);

/// A load of clients that each ask one request on a connection of its own, and the next at once.
pub struct Load {
    ends: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
    asked: Arc<AtomicU64>,
    pub checker: Checker,
}

impl Load {
    /// Clients of these numbers, whose requests wait for `wait_ms`; every fourth is a write.
    pub fn start(addr: SocketAddr, clients: Range<u64>, wait_ms: u32) -> Load {
        let (ends, asked) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicU64::new(0)));
        let checker = Checker::of_wait(Duration::from_millis(wait_ms.into()));
        let threads = clients.map(|client| {
            let (ends, asked, checker) = (Arc::clone(&ends), Arc::clone(&asked), checker.clone());
            thread::spawn(move || {
                for n in 0.. {
                    if ends.load(Ordering::Relaxed) {
                        return;
                    }
                    let id = format!("{client:x}-{n:x}");
                    let statement = if n % 4 == 0 {
                        format!("/* id={id},c=tally-write,d={wait_ms},k={id},cluster=1 */ INSERT INTO facts (code, data) VALUES ('{client:x}', '{n:x}') RETURNING data")
                    } else {
                        format!("/* id={id},c=own-read,d={wait_ms},cluster=1 */ SELECT data FROM facts WHERE code = '{client:x}'")
                    };
                    checker.asked(&id);
                    let since = Instant::now();
                    let outcome = ask(addr, &statement);
                    checker.ended(&id, outcome, since.elapsed());
                    asked.fetch_add(1, Ordering::Relaxed);
                }
            })
        });
        let threads = threads.collect();
        Load { ends, threads, asked, checker }
    }

    /// Waits until so many more requests have had their outcome, or one has ended at the door: then there is nothing to
    /// wait for.
    pub fn another(&self, requests: u64) {
        let until = self.asked.load(Ordering::Relaxed) + requests;
        while self.asked.load(Ordering::Relaxed) < until && self.checker.counts().at_the_door() == 0 {
            thread::sleep(Duration::from_millis(1));
        }
    }

    /// Ends it when all that was asked has had its outcome.
    pub fn end(mut self) -> Checker {
        self.ends.store(true, Ordering::Relaxed);
        self.threads.drain(..).for_each(|t| drop(t.join()));
        self.checker.clone()
    }
}

/// One request on a connection of its own, written in one go with the startup message.
fn ask(addr: SocketAddr, statement: &str) -> Outcome {
    let identity = [("user", "portal"), ("database", "crm")];
    let Ok(mut client) = Client::open(addr, &identity, PATIENCE) else { return Outcome::Unreached };
    if client.ask(statement).is_err() {
        return Outcome::Lost;
    }
    match client.until_ready() {
        // Turned away before its session started.
        Ok(startup) if startup.error.is_some() => startup.outcome(),
        Ok(_) => client.until_ready().map_or(Outcome::Lost, |reply| reply.outcome()),
        Err(_) => Outcome::Lost,
    }
}

/// A folder whose disk stands: whoever looks at all that is in it waits. Linux holds an open of a pipe with a name until
/// someone opens its other end, which is just what a process sees of a disk that does not answer.
pub struct Standing(PathBuf);

impl Standing {
    /// Makes it stand; `folder` is the one that the processes of a proxy share.
    pub fn begin(folder: &Path) -> io::Result<Standing> {
        let pipe = folder.join("process-63");
        mknodat(CWD, &pipe, FileType::Fifo, Mode::RUSR | Mode::WUSR, 0)?;
        Ok(Standing(pipe))
    }
}

impl Drop for Standing {
    fn drop(&mut self) {
        let opened = std::fs::File::options().read(true).write(true).open(&self.0);
        let _ = std::fs::remove_file(&self.0);
        // Whoever was about to open it by its name gets an error, or waits for this one.
        thread::sleep(Duration::from_millis(5));
        drop(opened);
    }
}

/// The folder that the processes share, once one of them has made it.
pub fn shared_folder(platform: &Platform) -> io::Result<PathBuf> {
    let mut folders = std::fs::read_dir(platform.folder.join("tmp"))?;
    Ok(folders.next().ok_or(io::ErrorKind::NotFound)??.path())
}

/// One upgrade: the successor starts, says yes, and the former one leaves. Returns the successor, and how long the
/// former took to end.
pub fn upgrade(platform: &Platform, mut former: Process) -> io::Result<(Process, Duration)> {
    let successor = platform.start()?;
    successor.ready()?;
    former.signal("TERM")?;
    let since = Instant::now();
    let status =
        former.exits(PATIENCE)?.ok_or_else(|| io::Error::other("the former process does not end"))?;
    if !status.success() {
        return Err(io::Error::other(format!("the former process ended with {status}")));
    }
    Ok((successor, since.elapsed()))
}

/// Starts the program for a site, its socket held by the platform.
pub fn begin(program: &Path, folder: &Path, site: &Site) -> io::Result<(Platform, Process)> {
    let platform = Platform::new(program, folder, true)?;
    platform.configure(&site.config())?;
    let first = platform.start()?;
    first.ready()?;
    Ok((platform, first))
}
