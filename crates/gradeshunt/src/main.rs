//! gradeshunt: a proxy for replicated PostgreSQL. The module `leadmast` decides; this program is its sockets.

mod backend;
mod cli;
mod clock;
mod config;
mod control;
mod deadlines;
mod discovery;
mod exchange;
mod figures;
mod frontend;
mod ids;
mod memory;
mod pace;
mod pg;
mod placing;
mod planning;
mod ring;
mod routing;
mod shared;
mod site_loss;
mod strain;
mod turn;

use std::net::TcpListener;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use calloop::signals::{Signal, Signals};
use calloop::EventLoop;
use clap::Parser;
use leadmast::{ListKind, Micros};
use slog::{info, o, warn, Drain, Logger};

use backend::Backend;
use cli::{Arguments, Command, LogFormat, LogLevel};
use config::Config;
use control::{Answer, Control};
use deadlines::Due;
use discovery::{Discovery, News};
use exchange::Exchange;
use frontend::Frontend;
use ids::CallerId;
use pace::Pace;
use shared::worker::Worker;
use shared::{Change, Duty, Shared};
use turn::{Ready, Source, Turn};

/// New connections go on coming for a while after SIGTERM.
const ACCEPT_ON: Micros = 500_000;
/// SIGKILL may follow SIGTERM when the longest deadline, counted as this much where it is longer, and a while have passed:
/// by then all has its answer, and this process has left.
const LONGEST_COUNTED: Micros = 3_000_000;
const LEAVE_AFTER: Micros = 650_000;
/// So long before it leaves, what is open gets its last answer; and so long before that requests are over that come late.
const LAST_ANSWERS: Micros = 50_000;
const LAST_CALL: Micros = 50_000;
const SUMMARY: Micros = 10_000_000;
/// Pace of the looks at what the processes of this proxy share.
const LOOK: Micros = 50_000;
/// A new process waits so long to see what others of its proxy do.
const SEE: Micros = 2_000_000;
/// Descriptors kept for the log, the poll, the signals, discovery and files.
const RESERVED: usize = 24;
/// A process that starts beside another waits for discovery so much longer than discovery may be silent, well within
/// the 6 s that it has.
const HEAR: Micros = 1_000_000;
/// Lines of the log that may wait to be written.
const LINES: usize = 4096;
/// The status of `gradeshunt plan` where a loss is not borne.
const NOT_BORNE: u8 = 3;
/// Descriptors for operators' connections.
const OPERATORS: usize = 12;

/// The program: its parts, and what passes between them.
struct Proxy {
    turn: Turn,
    exchange: Exchange,
    frontend: Frontend,
    backend: Backend,
    discovery: Discovery,
    control: Option<Control>,
    shared: Shared,
    worker: Worker,
    pace: Pace,
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
    failed: Option<String>,
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
    fn new(
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
        let pace = Pace::new(turn.now);
        let mut proxy = Proxy {
            turn,
            exchange,
            frontend,
            backend,
            discovery,
            control,
            shared: Shared::new(),
            worker,
            pace,
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

    fn event(&mut self, source: Source) {
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

    fn due(&mut self, due: Due) {
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
            Due::Serve if self.frontend.able => self.serve(),
            Due::Serve => turn.deadlines.set(turn.now + LOOK, Due::Serve),
            Due::Sites => self.watch_sites(),
            Due::Summary => {
                exchange.sum_up(turn);
                self.frontend.sum_up(turn);
                self.pace.sum_up(&turn.log);
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
                self.frontend.able |= !news.entries.is_empty();
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
                if heard && self.frontend.able {
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

    // ---- Operators ----

    fn call(&mut self, id: CallerId) {
        let Some(command) = self.control.as_mut().and_then(|c| c.ready(&mut self.turn, id)) else { return };
        if let Some(answer) = self.carry_out(id, command) {
            self.answer(id, &answer);
        }
    }

    fn answer(&mut self, id: CallerId, answer: &Answer) {
        if let Some(control) = &mut self.control {
            control.answer(&mut self.turn, id, answer);
        }
    }

    /// Carries out what an operator asks for; the answer follows later where that is file work.
    fn carry_out(&mut self, caller: CallerId, command: control::Command) -> Option<Answer> {
        let (turn, exchange) = (&mut self.turn, &mut self.exchange);
        Some(match command {
            control::Command::Status if self.frontend.able && self.waiting.is_none() => {
                Answer::new(200, "serving\n")
            }
            control::Command::Status => Answer::new(503, "starting\n"),
            control::Command::Figures => {
                Answer::new(200, control::exposition(&exchange.figures(), &self.classes, &self.tenants))
            }
            control::Command::Shapes => match self.frontend.exposition() {
                Some(text) => Answer::new(200, text),
                None => Answer::new(404, "no rules for plain statements are given\n"),
            },
            control::Command::Loop => Answer::new(200, self.pace.exposition()),
            control::Command::Sites => self.show_sites(),
            control::Command::HoldSite(name) => self.hold_site(&name, true),
            control::Command::LetSiteBack(name) => self.hold_site(&name, false),
            control::Command::Standby | control::Command::Active => {
                let standby = command == control::Command::Standby;
                info!(turn.log, "told by an operator"; "standby" => standby);
                self.frontend.stand_by(turn, exchange, standby);
                Answer::new(200, if standby { "sending clients away\n" } else { "serving\n" })
            }
            control::Command::HoldOut(id) => return self.hold_out(caller, &id, true),
            control::Command::Readmit(id) => return self.hold_out(caller, &id, false),
        })
    }

    /// It stands where the other process looks, and will be found after this one, before it is confirmed.
    fn hold_out(&mut self, caller: CallerId, id: &str, out: bool) -> Option<Answer> {
        // One held out may be off the list by now.
        if self.discovery.member(id).is_none() && !self.shared.is_held_out(id) {
            return Some(Answer::new(404, "no such db host\n"));
        }
        let taken = self.shared.hold_out(caller, id, out);
        (!taken).then(|| Answer::new(503, "too much file work is under way\n"))
    }

    fn maintain(&mut self, id: &str, out: bool) {
        info!(self.turn.log, "db host held out or readmitted"; "id" => id, "out" => out);
        let Some(member) = self.discovery.member(id) else { return };
        // Its site may be out as well.
        let lost = self.exchange.sites.as_ref().is_some_and(|s| s.is_out(member));
        self.exchange.maintain(&mut self.turn, member, out || lost);
        self.backend.maintain(&mut self.turn, &mut self.exchange, member, out);
    }

    fn file_work_done(&mut self) {
        while let Some(done) = self.worker.done() {
            let changes = self.shared.done(self.turn.now, done);
            changes.into_iter().for_each(|c| self.change(c));
        }
    }

    /// Follows what file work has shown.
    fn change(&mut self, change: Change) {
        match change {
            Change::Unusable(why) => self.failed = Some(why),
            Change::Seen => {
                self.begin();
                // It may have begun without this, and be alone after all.
                if self.shared.is_alone() {
                    self.serve();
                }
            }
            Change::Ban { id, out } => self.maintain(&id, out),
            Change::Other { anew } => {
                if anew {
                    let duty = self.shared.other().map(Duty::name);
                    info!(self.turn.log, "other process of this proxy"; "duty" => duty);
                }
                self.share_limits();
                self.hand_over();
            }
            Change::Kept { caller, out, kept } => {
                let answer = match kept {
                    Ok(()) => Answer::new(200, if out { "held out\n" } else { "readmitted\n" }),
                    Err(e) => {
                        warn!(self.turn.log, "cannot keep what an operator says"; "error" => e);
                        Answer::new(500, "cannot be kept\n")
                    }
                };
                self.answer(caller, &answer);
            }
            Change::Reread(config) => self.reload(config),
            Change::Complain { what, why } => warn!(self.turn.log, "{}", what; "error" => why),
        }
    }

    /// Two processes of a proxy share its limits while both live.
    fn share_limits(&mut self) {
        let processes = 1 + usize::from(!self.shared.is_alone());
        let sockets = (self.sockets / processes).saturating_sub(RESERVED + OPERATORS);
        // A third of the descriptors for db hosts: an attempt needs one only while it is out, a client for
        // as long as it likes.
        let servers = sockets / 3;
        self.backend.limit(&mut self.turn, servers);
        // Rings may still grow when a third of the memory is held: by what is under way.
        self.frontend.limit(&mut self.turn, sockets - servers, self.memory / processes / 3);
    }

    /// Serves clients from now on.
    fn serve(&mut self) {
        let Some(listener) = self.waiting.take() else { return };
        let listen = listener.local_addr().map(|a| a.to_string()).ok();
        let opened = self.frontend.open(&mut self.turn, listener);
        self.shared.turn_to(Duty::Serving);
        if let Err(e) = opened {
            warn!(self.turn.log, "cannot serve as it should be"; "error" => e.to_string());
        }
        info!(self.turn.log, "serving"; "control" => self.operators(), "listen" => listen);
    }

    fn operators(&self) -> Option<String> {
        self.control.as_ref().and_then(Control::local_addr).map(|a| a.to_string())
    }

    /// After SIGTERM, where a successor serves: what waits on the clients' socket is the successor's.
    fn hand_over(&mut self) {
        if self.terminating && self.shared.is_succeeded() {
            self.frontend.close_listener(&mut self.turn, &mut self.exchange, true);
        }
    }

    fn terminate(&mut self) {
        if std::mem::replace(&mut self.terminating, true) {
            return;
        }
        info!(self.turn.log, "terminating: serving on until all is answered");
        // Clients may have connected to a socket of our own before it is served. One that the platform holds is another's.
        if self.held {
            self.waiting = None;
        } else {
            self.begin();
            self.serve();
        }
        self.shared.turn_to(Duty::Leaving);
        let now = self.turn.now;
        let leave = now + self.longest.min(LONGEST_COUNTED) + LEAVE_AFTER;
        self.frontend.last_call(leave - LAST_ANSWERS - LAST_CALL);
        self.turn.deadlines.set(now + ACCEPT_ON, Due::CloseListener);
        self.turn.deadlines.set(leave - LAST_ANSWERS, Due::LastAnswers);
        self.turn.deadlines.set(leave, Due::Leave);
    }

    /// Rereads the configuration after SIGHUP. What is under way is left alone, and so is everything where the
    /// new file can't be used: an operator's slip must not cost more than a line in the log.
    fn reload(&mut self, config: Result<Box<Config>, String>) {
        match config {
            Ok(config) => {
                info!(self.turn.log, "configuration reread"; "discovery" => config.discovery.to_string());
                self.frontend.route_by(config.rules);
                self.replace_sites(config.sites);
                self.discovery.move_to(&mut self.turn, config.discovery, config.silence, &mut self.news);
            }
            Err(why) => warn!(self.turn.log, "configuration kept, the new one can't be used"; "why" => why),
        }
    }

    fn is_done(&self) -> bool {
        self.leave || (self.frontend.is_done() && self.exchange.is_idle())
    }
}

fn run(mut event_loop: EventLoop<'static, Ready>, mut proxy: Proxy) -> Result<(), String> {
    let mut ready = Ready::new();
    while !proxy.is_done() {
        let until = proxy.turn.deadlines.next();
        let wait = until.map(|at| (at - proxy.turn.clock.now()).max(0));
        let wait = if proxy.turn.again.is_empty() { wait } else { Some(0) };
        let timeout = wait.map(|t| Duration::from_micros(t as u64));
        event_loop.dispatch(timeout, &mut ready).map_err(|e| format!("cannot poll: {e}"))?;
        proxy.turn.now = proxy.turn.clock.now();
        proxy.pace.begin(proxy.turn.now, until);
        proxy.turn.unread = proxy.pace.unread();
        let again = std::mem::take(&mut proxy.turn.again);
        let mut sources: Vec<_> = again.into_iter().chain(ready.drain(..)).collect();
        // Operators' calls are few and owed an answer whatever the load.
        sources.sort_by_key(|s| !matches!(s, Source::Control | Source::Caller(_)));
        for source in sources {
            proxy.event(source);
            proxy.pace.worked(source.name(), proxy.turn.clock.now());
        }
        while let Some(due) = proxy.turn.deadlines.pop(proxy.turn.now) {
            proxy.due(due);
            proxy.pace.worked(due.name(), proxy.turn.clock.now());
        }
        if let Some(why) = proxy.failed.take() {
            return Err(why);
        }
        proxy.pace.end(&proxy.turn.log);
    }
    info!(proxy.turn.log, "leaving");
    Ok(())
}

fn serve(file: Option<PathBuf>, format: LogFormat, level: LogLevel) -> Result<(), String> {
    let config = Config::load(file.as_deref())?;
    let event_loop = EventLoop::try_new().map_err(|e| format!("cannot poll: {e}"))?;
    // Before the log's thread starts, so that it inherits the mask: only the loop hears of signals.
    let signals = Signals::new(&[Signal::SIGTERM, Signal::SIGHUP]);
    let signals = signals.map_err(|e| format!("cannot take signals: {e}"))?;
    let handle = event_loop.handle();
    let told = handle.insert_source(signals, move |event, (), ready: &mut Ready| {
        let reload = event.signal() == Signal::SIGHUP;
        ready.push(if reload { Source::Reload } else { Source::Terminate });
    });
    told.map_err(|e| format!("cannot take signals: {e}"))?;
    // Lines that the log's reader is too slow for are dropped and counted: it must never hold up the loop.
    let stderr = std::io::stderr();
    let (drain, _guard) = match format {
        LogFormat::Text => {
            let plain = slog_term::PlainDecorator::new(stderr);
            let format = slog_term::FullFormat::new(plain).use_utc_timestamp().build().fuse();
            slog_async::Async::new(format).chan_size(LINES).build_with_guard()
        }
        LogFormat::Json => slog_async::Async::new(slog_json::Json::default(stderr).fuse())
            .chan_size(LINES)
            .build_with_guard(),
    };
    let most = match level {
        LogLevel::Info => slog::Level::Info,
        LogLevel::Debug => slog::Level::Debug,
    };
    let log = Logger::root(drain.filter_level(most).fuse(), o!("proxy" => config.name.clone()));
    let proxy = Proxy::new(config, file, &event_loop, log)?;
    run(event_loop, proxy)
}

fn start(arguments: Arguments) -> Result<ExitCode, String> {
    match arguments.command {
        None => serve(None, arguments.log_format, arguments.log_level)?,
        Some(Command::Run { config }) => serve(config, arguments.log_format, arguments.log_level)?,
        Some(Command::Check { config }) => println!("{}", Config::load(Some(&config))?.summary()),
        Some(Command::Classify { rules, format, null, sql }) => cli::classify(rules, format, null, sql)?,
        Some(Command::Plan(options)) if !planning::plan(&options)? => return Ok(ExitCode::from(NOT_BORNE)),
        Some(Command::Plan(_)) => {}
        Some(Command::Placement(options)) => placing::place(&options)?,
    }
    Ok(ExitCode::SUCCESS)
}

fn main() -> ExitCode {
    match start(Arguments::parse()) {
        Ok(code) => code,
        Err(message) => {
            eprintln!("gradeshunt: {message}");
            ExitCode::FAILURE
        }
    }
}
