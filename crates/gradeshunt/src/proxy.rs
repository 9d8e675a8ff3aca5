//! The proxy: its parts, and what passes between them.

mod changes;
mod lifetime;
mod operators;
mod sites;

use std::net::TcpListener;
use std::path::PathBuf;

use calloop::EventLoop;
use leadmast::{ListKind, Micros};
use slog::{info, warn, Logger};

use crate::backend::{self, Backend};
use crate::config::Config;
use crate::control::Control;
use crate::deadlines::Due;
use crate::discovery::{self, Discovery, News};
use crate::exchange::{self, Exchange};
use crate::frontend::Frontend;
use crate::loop_stats::LoopStats;
use crate::shared::worker::Worker;
use crate::shared::{self, Shared};
use crate::turn::{self, Ready, Source, Turn};

const SUMMARY: Micros = 10_000_000;
/// Interval of the looks at what the processes of this proxy share.
const LOOK: Micros = 50_000;
/// A new process waits so long to see what others of its proxy do.
const SEE: Micros = 2_000_000;
/// A process that starts beside another waits for discovery so much longer than discovery may be silent, well within
/// the 6 s that it has.
const HEAR: Micros = 1_000_000;
/// Descriptors for operators' connections.
const OPERATORS: usize = 12;

/// The program: its parts, and what passes between them.
pub struct Proxy {
    pub turn: Turn,
    exchange: Exchange,
    frontend: Frontend,
    backend: Backend,
    discovery: Discovery,
    control: Option<Control>,
    shared: Shared,
    worker: Worker,
    pub loop_stats: LoopStats,
    /// What this proxy may hold, with another process of it where there is one.
    sockets: usize,
    memory: usize,
    /// Whether the platform holds the clients' socket.
    held: bool,
    /// The clients' socket, until it is served.
    waiting: Option<TcpListener>,
    /// The list of db hosts from the configuration, until this process begins.
    known: Option<News>,
    /// When it begins at the latest, until it has.
    begin_by: Option<Micros>,
    /// How long discovery may be silent.
    silence: Micros,
    /// Why the program can't go on.
    pub failed: Option<String>,
    /// Names of the classes, for the figures.
    classes: Vec<String>,
    /// And of the tenants.
    tenants: Vec<String>,
    news: Vec<News>,
    longest: Micros,
    terminating: bool,
    leave: bool,
}

impl Proxy {
    /// Opens the sockets and starts the thread for file work. Clients are served once it has begun.
    pub fn new(
        config: Config,
        file: Option<PathBuf>,
        event_loop: &EventLoop<'static, Ready>,
        log: Logger,
    ) -> Result<Proxy, String> {
        let Config {
            name,
            listen,
            listen_fd,
            discovery,
            control,
            seed,
            sockets,
            memory,
            silence,
            known,
            facts,
            rules,
            sites,
        } = config;
        let mut turn = Turn::new(event_loop.handle(), log);
        let longest = facts.settings.classes.iter().map(|c| c.deadline).max().unwrap_or(0);
        let classes = facts.names.classes.clone();
        let pace = discovery::Pace::new(&facts.settings);
        let mut discovery = Discovery::new(discovery, silence, facts.names.clone(), pace);
        let known = if known.is_null() { None } else { Some(discovery.known(&turn.clock, &known)?) };
        let mut tenants = facts.names.tenants.clone();
        tenants.extend((!tenants.is_empty()).then(|| "?".to_owned()));
        let mut exchange = Exchange::new(facts.settings.clone(), tenants.clone(), seed, turn.now);
        exchange.sites = sites;
        let backend = Backend::new(facts.connections, &facts.names);
        let listener = match listen_fd {
            Some(fd) => turn::inherited(fd).map_err(|e| format!("cannot listen on descriptor {fd}: {e}"))?,
            None => turn::listener(listen).map_err(|e| format!("cannot listen at {listen}: {e}"))?,
        };
        let mut frontend = Frontend::new(facts.settings, facts.names);
        frontend.route_by(rules);
        let listen = |addr| {
            Control::listen(&turn, addr, OPERATORS).map_err(|e| format!("cannot listen at {addr}: {e}"))
        };
        let control = control.map(listen).transpose()?;
        let handle = event_loop.handle();
        let (ping, pinged) = calloop::ping::make_ping().map_err(|e| format!("cannot poll: {e}"))?;
        let told = handle.insert_source(pinged, |(), (), ready: &mut Ready| ready.push(Source::Files));
        told.map_err(|e| format!("cannot poll: {e}"))?;
        let worker = Worker::start(move || shared::files::open(&name), file, ping);
        let worker = worker.map_err(|e| format!("cannot start a thread: {e}"))?;
        turn.deadlines.set(turn.now + SUMMARY, Due::Summary);
        turn.deadlines.set(turn.now, Due::Reap);
        turn.deadlines.set(turn.now + LOOK, Due::Look);
        let begin_by = turn.now + SEE;
        turn.deadlines.set(begin_by, Due::Begin);
        let loop_stats = LoopStats::new(turn.now);
        let mut proxy = Proxy {
            turn,
            exchange,
            frontend,
            backend,
            discovery,
            control,
            shared: Shared::new(),
            worker,
            loop_stats,
            sockets,
            memory,
            held: listen_fd.is_some(),
            waiting: Some(listener),
            known,
            begin_by: Some(begin_by),
            silence,
            failed: None,
            classes,
            tenants,
            news: Vec::new(),
            longest,
            terminating: false,
            leave: false,
        };
        proxy.share_limits();
        proxy.watch_sites();
        proxy.settle();
        Ok(proxy)
    }

    /// Begins once it is known which db hosts are held out and whether another process serves, or when that takes too
    /// long. Beside another process there is time to hear discovery first; alone, clients wait already.
    fn begin(&mut self) {
        let Some(by) = self.begin_by.take() else { return };
        self.turn.deadlines.clear(by, Due::Begin);
        self.share_limits();
        // What is known may be old: it comes before anything that discovery tells.
        self.news.extend(self.known.take());
        self.discovery.start(&mut self.turn, &mut self.news);
        self.settle();
        if self.shared.is_alone() {
            self.serve();
        } else {
            info!(self.turn.log, "starting beside another process"; "control" => self.operators());
            self.turn.deadlines.set(self.turn.now + self.silence + HEAR, Due::Serve);
        }
    }

    /// Works off a source that has become ready.
    pub fn event(&mut self, source: Source) {
        let (turn, exchange) = (&mut self.turn, &mut self.exchange);
        match source {
            Source::Listener => self.frontend.accept(turn),
            Source::Session(id) => self.frontend.ready(turn, exchange, id),
            Source::Server(id) => self.backend.ready(turn, exchange, id),
            Source::Call(id) => self.discovery.ready(turn, id, &mut self.news),
            Source::Control => self.control.iter_mut().for_each(|c| c.accept(turn)),
            Source::Caller(id) => self.call(id),
            Source::Terminate => self.terminate(),
            Source::Reload => self.shared.reread(),
            Source::Files => self.file_work_done(),
        }
        self.settle();
    }

    /// Works off a deadline that has fallen due.
    pub fn due(&mut self, due: Due) {
        let (turn, exchange) = (&mut self.turn, &mut self.exchange);
        match due {
            Due::Module(tag) => exchange.timer(turn, tag),
            Due::Overdue(id) => exchange.overdue(turn, id),
            Due::Attempt(id) => self.backend.attempt_due(turn, exchange, id),
            Due::Probe(member) => self.backend.probe_due(turn, exchange, member),
            Due::Server(id) => self.backend.server_due(turn, exchange, id),
            Due::Session(id) => self.frontend.session_due(turn, id),
            Due::Call(id) => self.discovery.call_due(turn, id, &mut self.news),
            Due::Reopen => self.discovery.reopen_due(turn, &mut self.news),
            Due::Accept => self.frontend.accept(turn),
            Due::Caller(id) => self.control.iter_mut().for_each(|c| c.due(turn, id)),
            Due::AcceptCallers => self.control.iter_mut().for_each(|c| c.accept(turn)),
            Due::Look => {
                turn.deadlines.set(turn.now + LOOK, Due::Look);
                let stands = self.shared.look(turn.now);
                stands.into_iter().for_each(|c| self.change(c));
            }
            Due::Begin => self.begin(),
            Due::Reap => self.frontend.reap(turn),
            Due::CloseListener => self.frontend.close_listener(turn, exchange, false),
            Due::Serve if self.frontend.has_hosts => self.serve(),
            Due::Serve => turn.deadlines.set(turn.now + LOOK, Due::Serve),
            Due::Sites => self.watch_sites(),
            Due::Summary => {
                exchange.sum_up(turn);
                self.frontend.log_summary(turn);
                self.loop_stats.log_summary(&turn.log);
                turn.deadlines.set(turn.now + SUMMARY, Due::Summary);
            }
            Due::LastAnswers => exchange.end_all(turn),
            Due::Leave => self.leave = true,
        }
        self.settle();
    }

    /// Carries what the parts have for each other, until none has anything left.
    fn settle(&mut self) {
        loop {
            let (turn, exchange) = (&mut self.turn, &mut self.exchange);
            // The module hears of a change before the pool acts on it, and before anything else is sent.
            if !self.news.is_empty() {
                let news = self.news.remove(0);
                for what in &news.why {
                    warn!(turn.log, "unreadable entry in the list of db hosts"; "what" => what,
                        "of" => news.unreadable);
                }
                self.frontend.has_hosts |= !news.entries.is_empty();
                let heard = matches!(news.kind, ListKind::Full | ListKind::Incremental);
                exchange.members(turn, news.kind, news.entries);
                self.backend.list(turn, exchange, news.kind, &news.listed);
                // The ban on a name outlasts whatever the list says of it.
                for l in news.listed.iter().filter(|l| self.shared.is_held_out(&l.id)) {
                    exchange.maintain(turn, l.member, true);
                    self.backend.maintain(turn, exchange, l.member, true);
                }
                let lost = |l: &&backend::Listed| exchange.sites.as_ref().is_some_and(|s| s.is_out(l.member));
                for member in news.listed.iter().filter(lost).map(|l| l.member).collect::<Vec<_>>() {
                    exchange.maintain(turn, member, true);
                }
                if heard && self.frontend.has_hosts {
                    self.serve();
                }
            } else if let Some(order) = exchange.orders.pop_front() {
                self.backend.carry_out(turn, exchange, order);
            } else if let Some((request, answer)) = exchange.answers.pop_front() {
                match answer {
                    exchange::Answer::Part(bytes) => self.frontend.part(turn, exchange, request, &bytes),
                    exchange::Answer::Final(last) => self.frontend.answer(turn, exchange, request, last),
                }
            } else if let Some(ask) = exchange.asks.pop_front() {
                self.discovery.ask(turn, ask, &mut self.news);
            } else if let Some(task) = self.shared.next(turn.now) {
                if !self.worker.ask(task) {
                    warn!(turn.log, "file work is lost: its thread has ended or is too far behind");
                }
            } else {
                return;
            }
        }
    }

    /// Whether the program may end: all is answered, or it is time to leave.
    pub fn is_done(&self) -> bool {
        self.leave || (self.frontend.is_done() && self.exchange.is_idle())
    }
}
