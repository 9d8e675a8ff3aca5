//! Discovery: the whole list over HTTP/1.1, and a watch that gets what changes, a line each.

use std::collections::{BTreeMap, VecDeque};
use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use serde_json::{json, Value};

use crate::lock;

/// An idle watch gets an empty line so often.
const BEAT: Duration = Duration::from_secs(2);

/// How the service behaves to its callers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Service {
    #[default]
    Serving,
    /// Calls are taken and watches stand, and nothing is ever written to them.
    Silent,
    /// Calls get 503, and watches end.
    Down,
}

/// A list that was written to a watch.
struct Told {
    generation: u64,
    /// When the watch was opened.
    opened: Instant,
    at: Instant,
}

/// Who calls: a watch, or one that only asks for the list.
#[derive(Clone, Copy)]
struct Call {
    watch: u64,
    opened: Instant,
    /// Who it is, where it has an address of its own.
    caller: Option<usize>,
}

#[derive(Default)]
struct List {
    service: Service,
    generation: u64,
    entries: Vec<Value>,
    /// What has changed, each with the generation that it made.
    changes: VecDeque<(u64, Value)>,
    /// Open watches, each with the generation that was last written to it.
    watches: BTreeMap<u64, u64>,
    /// What was written to each caller that has an address of its own.
    told: BTreeMap<usize, Vec<Told>>,
    next_watch: u64,
}

/// How long a watch may take no bytes before nobody waits for it any more.
const LONG_POLL_TIMEOUT: Duration = Duration::from_secs(10);

/// The service. Clones are the same one.
#[derive(Clone)]
pub struct Discovery {
    addr: SocketAddr,
    list: Arc<(Mutex<List>, Condvar)>,
    /// A watch was written to, or has ended.
    told: Arc<Condvar>,
}

impl Discovery {
    /// Listens at a port that the system gives.
    pub fn open(entries: Vec<Value>) -> io::Result<Self> {
        Self::open_at("127.0.0.1:0", entries)
    }

    pub fn open_at(addr: &str, entries: Vec<Value>) -> io::Result<Self> {
        let listener = TcpListener::bind(addr)?;
        let list = List { generation: 1, entries, ..List::default() };
        let discovery = Discovery {
            addr: listener.local_addr()?,
            list: Arc::new((Mutex::new(list), Condvar::new())),
            told: Arc::default(),
        };
        discovery.listen(listener, None);
        Ok(discovery)
    }

    fn listen(&self, listener: TcpListener, caller: Option<usize>) {
        let served = self.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let served = served.clone();
                thread::spawn(move || served.serve(stream, caller));
            }
        });
    }

    /// The same service at another address as well, which only this caller knows: what it was told is kept apart.
    pub fn open_for(&self, caller: usize) -> io::Result<SocketAddr> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let addr = listener.local_addr()?;
        self.listen(listener, Some(caller));
        Ok(addr)
    }

    /// When a caller was first told of a generation, or a later one, by a watch that it opened after `since`.
    pub fn told(&self, caller: usize, generation: u64, since: Instant) -> Option<Instant> {
        let list = lock(&self.list.0);
        let mut told = list.told.get(&caller)?.iter();
        told.find(|told| told.generation >= generation && told.opened >= since).map(|told| told.at)
    }

    /// Changes how the service behaves. What stands silent falls behind and stays so until it is asked anew.
    pub fn set_service(&self, service: Service) {
        lock(&self.list.0).service = service;
        self.list.1.notify_all();
    }

    /// Waits while a call is to get nothing; false where the service is down.
    fn is_up(&self) -> bool {
        let list = lock(&self.list.0);
        let list = self.list.1.wait_while(list, |list| list.service == Service::Silent);
        list.unwrap_or_else(|poisoned| poisoned.into_inner()).service == Service::Serving
    }

    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// The whole list as it is now.
    pub fn whole(&self) -> Value {
        let list = lock(&self.list.0);
        json!({"generation": list.generation, "reset": true, "instances": list.entries})
    }

    /// Changes a field of an entry, and tells all that watch. Gives the generation that this made.
    pub fn change(&self, id: &str, field: &str, to: Value) -> u64 {
        let mut list = lock(&self.list.0);
        list.generation += 1;
        let generation = list.generation;
        let Some(entry) = list.entries.iter_mut().find(|e| e["instanceId"] == id) else { return generation };
        entry[field] = to;
        let entry = entry.clone();
        list.changes.push_back((generation, entry));
        self.list.1.notify_all();
        generation
    }

    /// Waits until the list as it is now is written to all open watches: from then on whoever watches has been told, however
    /// late a thread of this stand-in came to it. Gives up after a while, where a watch takes no bytes.
    pub fn until_told(&self) {
        let list = lock(&self.list.0);
        let generation = list.generation;
        let behind = |list: &mut List| list.watches.values().any(|told| *told < generation);
        drop(self.told.wait_timeout_while(list, LONG_POLL_TIMEOUT, behind));
    }

    fn serve(&self, stream: TcpStream, caller: Option<usize>) -> io::Result<()> {
        let opened = Instant::now();
        let watch = {
            let mut list = lock(&self.list.0);
            list.next_watch += 1;
            list.next_watch
        };
        let served = self.serve_call(stream, Call { watch, opened, caller });
        lock(&self.list.0).watches.remove(&watch);
        self.told.notify_all();
        served
    }

    /// What this watch has been written is as new as this generation.
    fn written(&self, call: Call, generation: u64) {
        let Call { watch, opened, caller } = call;
        let mut list = lock(&self.list.0);
        list.watches.insert(watch, generation);
        if let Some(caller) = caller {
            list.told.entry(caller).or_default().push(Told { generation, opened, at: Instant::now() });
        }
        drop(list);
        self.told.notify_all();
    }

    fn serve_call(&self, mut stream: TcpStream, call: Call) -> io::Result<()> {
        let mut lines = BufReader::new(stream.try_clone()?).lines();
        let request = lines.next().transpose()?.unwrap_or_default();
        while lines.next().transpose()?.is_some_and(|l| !l.is_empty()) {}
        if !self.is_up() {
            return write!(stream, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n");
        }
        let mut known = lock(&self.list.0).generation;
        let whole = self.whole().to_string() + "\n";
        if !request.contains("stream=1") {
            return write!(stream, "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{whole}", whole.len());
        }
        write!(
            stream,
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{:x}\r\n{whole}\r\n",
            whole.len()
        )?;
        self.written(call, known);
        loop {
            let list = lock(&self.list.0);
            let idle = |l: &mut List| l.generation == known && l.service == Service::Serving;
            let waited = self.list.1.wait_timeout_while(list, BEAT, idle);
            let (list, _) = waited.unwrap_or_else(|poisoned| poisoned.into_inner());
            match list.service {
                Service::Serving => {}
                Service::Down => return Ok(()),
                // A watch that has fallen silent is never heard again.
                Service::Silent => {
                    drop(list);
                    thread::park();
                    return Ok(());
                }
            }
            let news = list.changes.iter().filter(|(g, _)| *g > known);
            let news: Vec<_> = news.map(|(_, entry)| entry.clone()).collect();
            known = list.generation;
            drop(list);
            let line = match news.is_empty() {
                true => "\n".to_owned(),
                false => json!({"generation": known, "reset": false, "instances": news}).to_string() + "\n",
            };
            write!(stream, "{:x}\r\n{line}\r\n", line.len())?;
            self.written(call, known);
        }
    }
}
