//! Hollow proxies: many proxies' control parts in one thread, over real sockets to discovery. Each has the program's own
//! discovery client, list, decision module, deadlines and loop ([`gradeshunt::Core`], [`gradeshunt::ProxyLoop`]).
//!
//! Left out are the parts with sockets of clients, db hosts and operators, the folder that two processes of a proxy share
//! (20 looks a second), the summary in the log, and the log's lines. What the decision module asks of db hosts is counted
//! and not carried out; without requests it asks for nothing.

use std::collections::BTreeSet;
use std::io;
use std::os::fd::OwnedFd;
use std::path::{Path, PathBuf};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::{Arc, Condvar, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use gradeshunt::{Config, Core, DeadlineKind, EventSource, Handlers, List, ProxyLoop, Step};
use rustix::event::{epoll, eventfd, EventfdFlags, Timespec};
use slog::{o, Discard, Logger};

pub mod fleet;
#[cfg(test)]
mod tests;

/// Events taken from the poll at a time.
const EVENTS: usize = 1024;
/// The commands' name in the poll; proxies have their numbers.
const COMMANDS: u64 = u64::MAX;

/// What one proxy has heard, over all its starts.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Heard {
    /// How often it was started.
    pub starts: u64,
    /// Entries of lists that its configuration gave.
    pub known: u64,
    /// Whole lists that discovery told.
    pub lists: u64,
    /// Objects of discovery's that held changes.
    pub changes: u64,
    /// Entries of those.
    pub changed: u64,
    /// What the decision module asked of the parts that are left out.
    pub unanswered: u64,
    /// When it last heard of discovery.
    pub at: Option<Instant>,
    /// Why it has ended.
    pub failed: Option<String>,
}

/// The parts of a hollow proxy.
struct Hollow {
    core: Core,
    heard: Heard,
}

impl Hollow {
    fn settle(&mut self) {
        while let Some(step) = self.core.next_step() {
            match step {
                Step::List(list) => self.list(&list),
                Step::Order(_) | Step::Answer(..) => self.heard.unanswered += 1,
            }
        }
    }

    fn list(&mut self, list: &List) {
        let (heard, entries) = (&mut self.heard, list.entries() as u64);
        if !list.is_from_discovery() {
            heard.known += entries;
            return;
        }
        heard.at = Some(Instant::now());
        if list.is_complete() {
            heard.lists += 1;
        } else {
            heard.changes += 1;
            heard.changed += entries;
        }
    }
}

impl Handlers for Hollow {
    fn core(&mut self) -> &mut Core {
        &mut self.core
    }

    fn on_event(&mut self, source: EventSource) {
        self.core.process_event(source);
        self.settle();
    }

    fn on_deadline(&mut self, due: DeadlineKind) {
        self.core.process_deadline(due);
        self.settle();
    }
}

/// A hollow proxy with its loop.
struct Proxy {
    cycle: ProxyLoop,
    parts: Hollow,
    /// When it is to have a turn at the latest, whatever its sources do.
    due: Option<Instant>,
}

impl Proxy {
    /// Starts as the program does, from a configuration's file.
    fn start(file: &Path, heard: Heard) -> Result<Proxy, String> {
        let mut config = Config::load(Some(file))?;
        let cycle = ProxyLoop::open()?;
        let core = Core::new(&mut config, cycle.event_loop(), Logger::root(Discard, o!()))?;
        let mut parts = Hollow { core, heard };
        parts.heard.starts += 1;
        parts.core.start();
        parts.settle();
        Ok(Proxy { cycle, parts, due: None })
    }
}

enum Command {
    /// Starts the proxy of this number, or ends the one that runs and starts it anew.
    Start(usize, PathBuf),
    Stop,
}

#[derive(Default)]
struct Told {
    heard: Mutex<Vec<Heard>>,
    changed: Condvar,
}

/// A thread of hollow proxies; it ends when this is dropped.
pub struct Crowd {
    commands: Sender<Command>,
    wake: Arc<OwnedFd>,
    told: Arc<Told>,
    thread_id: i32,
    thread: Option<thread::JoinHandle<()>>,
}

impl Crowd {
    /// A thread without a proxy.
    pub fn open() -> io::Result<Crowd> {
        let (commands, received) = channel();
        let wake = Arc::new(eventfd(0, EventfdFlags::CLOEXEC | EventfdFlags::NONBLOCK)?);
        let told = Arc::new(Told::default());
        let poll = epoll::create(epoll::CreateFlags::CLOEXEC)?;
        epoll::add(&poll, &wake, epoll::EventData::new_u64(COMMANDS), epoll::EventFlags::IN)?;
        let (tell_id, thread_id) = channel();
        let (woken, tell) = (Arc::clone(&wake), Arc::clone(&told));
        let run = move || {
            // Whoever opened the crowd waits for this.
            let _ = tell_id.send(rustix::thread::gettid().as_raw_nonzero().get());
            let dues = BTreeSet::new();
            Running { commands: received, wake: woken, told: tell, poll, proxies: Vec::new(), dues }.run();
        };
        let thread = thread::Builder::new().name("hollow".to_owned()).spawn(run)?;
        let thread_id = thread_id.recv().map_err(io::Error::other)?;
        Ok(Crowd { commands, wake, told, thread_id, thread: Some(thread) })
    }

    /// Starts the proxy of this number from a configuration's file, or ends the one that runs and starts it anew. Numbers
    /// are given from 0 on.
    pub fn start(&self, number: usize, file: &Path) {
        self.command(Command::Start(number, file.to_owned()));
    }

    /// What each proxy has heard so far.
    pub fn heard(&self) -> Vec<Heard> {
        self.told.heard.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Waits until what the proxies have heard is so; false where it is not within this time.
    pub fn wait(&self, within: Duration, mut so: impl FnMut(&[Heard]) -> bool) -> bool {
        let heard = self.told.heard.lock().unwrap_or_else(PoisonError::into_inner);
        let waited = self.told.changed.wait_timeout_while(heard, within, |heard| !so(heard));
        !waited.unwrap_or_else(PoisonError::into_inner).1.timed_out()
    }

    /// The number of the thread with the system, for its account of processor time.
    pub fn thread_id(&self) -> i32 {
        self.thread_id
    }

    fn command(&self, command: Command) {
        // The thread ends by nothing else than `Stop`.
        let _ = self.commands.send(command);
        let _ = rustix::io::write(&*self.wake, &1_u64.to_ne_bytes());
    }
}

impl Drop for Crowd {
    fn drop(&mut self) {
        self.command(Command::Stop);
        let _ = self.thread.take().map(thread::JoinHandle::join);
    }
}

/// What the thread holds.
struct Running {
    commands: Receiver<Command>,
    wake: Arc<OwnedFd>,
    told: Arc<Told>,
    poll: OwnedFd,
    /// By number; one that could not start or go on is none.
    proxies: Vec<Option<Proxy>>,
    /// When proxies are to have a turn at the latest.
    dues: BTreeSet<(Instant, usize)>,
}

impl Running {
    fn run(mut self) {
        let mut events = Vec::with_capacity(EVENTS);
        let mut touched = Vec::new();
        loop {
            let wait = self.dues.first().map(|(at, _)| at.saturating_duration_since(Instant::now()));
            let wait = wait.and_then(|w| Timespec::try_from(w).ok());
            events.clear();
            let spare = rustix::buffer::spare_capacity(&mut events);
            if !matches!(epoll::wait(&self.poll, spare, wait.as_ref()), Ok(_) | Err(rustix::io::Errno::INTR))
            {
                return;
            }
            for event in &events {
                match event.data.u64() {
                    COMMANDS => {
                        if !self.take_commands(&mut touched) {
                            return;
                        }
                    }
                    number => self.turn(number as usize, &mut touched),
                }
            }
            let now = Instant::now();
            while let Some((_, number)) = self.dues.first().copied().filter(|(at, _)| *at <= now) {
                self.turn(number, &mut touched);
            }
            self.tell(&mut touched);
        }
    }

    /// False where the thread is to end.
    fn take_commands(&mut self, touched: &mut Vec<(usize, Heard)>) -> bool {
        let _ = rustix::io::read(&*self.wake, &mut [0; 8]);
        while let Ok(command) = self.commands.try_recv() {
            match command {
                Command::Start(number, file) => self.start(number, &file, touched),
                Command::Stop => return false,
            }
        }
        true
    }

    fn start(&mut self, number: usize, file: &Path, touched: &mut Vec<(usize, Heard)>) {
        if self.proxies.len() <= number {
            self.proxies.resize_with(number + 1, || None);
        }
        let former = self.end(number);
        let heard = former.map(|p| p.parts.heard).unwrap_or_default();
        let started = Proxy::start(file, heard.clone()).and_then(|proxy| {
            let data = epoll::EventData::new_u64(number as u64);
            let added = epoll::add(&self.poll, &proxy.cycle, data, epoll::EventFlags::IN);
            added.map(|()| proxy).map_err(|e| e.to_string())
        });
        match started {
            Ok(proxy) => {
                touched.push((number, proxy.parts.heard.clone()));
                self.proxies[number] = Some(proxy);
                self.schedule(number);
            }
            Err(why) => touched.push((number, Heard { failed: Some(why), ..heard })),
        }
    }

    /// Ends a proxy; its sockets are closed as those of a killed process are.
    fn end(&mut self, number: usize) -> Option<Proxy> {
        let former = self.proxies.get_mut(number)?.take()?;
        if let Some(at) = former.due {
            self.dues.remove(&(at, number));
        }
        Some(former)
    }

    fn turn(&mut self, number: usize, touched: &mut Vec<(usize, Heard)>) {
        let Some(Some(proxy)) = self.proxies.get_mut(number) else { return };
        let before = proxy.parts.heard.clone();
        if let Err(why) = proxy.cycle.run_turn(&mut proxy.parts, Some(Duration::ZERO)) {
            touched.push((number, Heard { failed: Some(why), ..before }));
            self.end(number);
            return;
        }
        if proxy.parts.heard != before {
            touched.push((number, proxy.parts.heard.clone()));
        }
        self.schedule(number);
    }

    /// Notes when a proxy is to have its next turn at the latest.
    fn schedule(&mut self, number: usize) {
        let Some(Some(proxy)) = self.proxies.get_mut(number) else { return };
        let due = ProxyLoop::wait(&proxy.parts.core).map(|wait| Instant::now() + wait);
        if let Some(former) = std::mem::replace(&mut proxy.due, due) {
            self.dues.remove(&(former, number));
        }
        self.dues.extend(due.map(|at| (at, number)));
    }

    /// Tells whoever waits what was heard in this round.
    fn tell(&self, touched: &mut Vec<(usize, Heard)>) {
        if touched.is_empty() {
            return;
        }
        let mut told = self.told.heard.lock().unwrap_or_else(PoisonError::into_inner);
        for (number, heard) in touched.drain(..) {
            if told.len() <= number {
                told.resize_with(number + 1, Heard::default);
            }
            told[number] = heard;
        }
        drop(told);
        self.told.changed.notify_all();
    }
}
