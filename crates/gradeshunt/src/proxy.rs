//! The proxy: its parts, and what passes between them.

mod changes;
mod lifetime;
mod operators;
mod placement;
mod sites;

use std::net::TcpListener;
use std::path::PathBuf;

use calloop::EventLoop;
use leadmast::permission::{may_end, ProcessFacts};
use leadmast::Micros;
use slog::{info, warn, Logger};

use crate::backend::{self, Backend};
use crate::config::Config;
use crate::control::Control;
use crate::control_core::{Core, List, Step};
use crate::cycle::Parts;
use crate::deadlines::Due;
use crate::exchange;
use crate::frontend::Frontend;
use crate::resumed::Resumed;
use crate::shared::worker::{Wake, Worker};
use crate::shared::{self, Shared};
use crate::transient::retry_while_transient;
use crate::turn::{self, Ready, Source};

const SUMMARY: Micros = 10_000_000;
/// Interval of the looks at what the processes of this proxy share.
const SHARED_STATE_POLL_INTERVAL: Micros = 50_000;
/// A new process waits so long to see what others of its proxy do.
const SHARED_STATE_TIMEOUT: Micros = 2_000_000;
/// A process that starts beside another waits for discovery so much longer than discovery may be silent, well within
/// the 6 s that it has.
const DISCOVERY_GRACE: Micros = 1_000_000;
/// Descriptors for operators' connections.
const OPERATORS: usize = 12;

/// The program: its parts, and what passes between them.
pub struct Proxy {
    pub(crate) core: Core,
    frontend: Frontend,
    backend: Backend,
    control: Option<Control>,
    shared: Shared,
    worker: Worker,
    /// What this proxy may hold, with another process of it where there is one.
    sockets: usize,
    memory: usize,
    /// Whether the platform holds the clients' socket.
    held: bool,
    /// The clients' socket, until it is served.
    waiting: Option<TcpListener>,
    /// The socket for other proxies, until they are served.
    peer_socket: Option<socket2::Socket>,
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
    longest: Micros,
    connect_timeout: Micros,
    terminating: bool,
    leave: bool,
    /// When it has to have ended, once it was told to.
    end_by: Option<Micros>,
}

impl Proxy {
    /// Opens the sockets and starts the thread for file work. Clients are served once it has begun.
    ///
    /// # Errors
    ///
    /// Where the system gives no socket, poll or thread, in words for the operator.
    pub fn new(
        config: Config,
        file: Option<PathBuf>,
        event_loop: &EventLoop<'static, Ready>,
        log: Logger,
    ) -> Result<Proxy, String> {
        let (ping, pinged) =
            retry_while_transient(calloop::ping::make_ping).map_err(|e| format!("cannot poll: {e}"))?;
        let source = Resumed(pinged);
        let told = event_loop.handle().insert_source(source, |(), (), ready| ready.push(Source::Files));
        told.map_err(|e| format!("cannot poll: {e}"))?;
        Proxy::with_waker(config, file, event_loop, log, ping)
    }

    /// The proxy whose thread for file work wakes the loop by `waker`.
    fn with_waker(
        mut config: Config,
        file: Option<PathBuf>,
        event_loop: &EventLoop<'static, Ready>,
        log: Logger,
        waker: impl Wake + 'static,
    ) -> Result<Proxy, String> {
        let mut core = Core::new(&mut config, event_loop, log)?;
        let tenants = config.tenants();
        let Config { name, listen, listen_fd, control, sockets, memory, silence, facts, rules, .. } = config;
        let longest = facts.settings.classes.iter().map(|c| c.deadline).max().unwrap_or(0);
        let classes = facts.names.classes.clone();
        let connect_timeout = facts.connections.connect_timeout;
        let backend = Backend::new(facts.connections, &facts.names);
        let listener = match listen_fd {
            Some(fd) => retry_while_transient(|| turn::inherited(fd))
                .map_err(|e| format!("cannot listen on descriptor {fd}: {e}"))?,
            None => retry_while_transient(|| turn::listener(listen))
                .map_err(|e| format!("cannot listen at {listen}: {e}"))?,
        };
        let mut frontend = Frontend::new(facts.settings, facts.names);
        frontend.route_by(rules);
        let listen = |addr| {
            retry_while_transient(|| Control::listen(&core.turn, addr, OPERATORS))
                .map_err(|e| format!("cannot listen at {addr}: {e}"))
        };
        let control = control.map(listen).transpose()?;
        let worker = Worker::start(move || shared::files::open(&name), file, waker);
        let worker = worker.map_err(|e| format!("cannot start a thread: {e}"))?;
        let turn = &mut core.turn;
        turn.deadlines.set(turn.now + SUMMARY, Due::Summary);
        turn.deadlines.set(turn.now, Due::Reap);
        turn.deadlines.set(turn.now + SHARED_STATE_POLL_INTERVAL, Due::Look);
        let begin_by = turn.now + SHARED_STATE_TIMEOUT;
        turn.deadlines.set(begin_by, Due::Begin);
        let mut proxy = Proxy {
            core,
            frontend,
            backend,
            control,
            shared: Shared::new(),
            worker,
            sockets,
            memory,
            held: listen_fd.is_some(),
            waiting: Some(listener),
            peer_socket: None,
            begin_by: Some(begin_by),
            silence,
            failed: None,
            classes,
            tenants,
            longest,
            connect_timeout,
            terminating: false,
            leave: false,
            end_by: None,
        };
        proxy.share_limits();
        proxy.open_placement()?;
        proxy.watch_sites();
        proxy.settle();
        Ok(proxy)
    }

    /// Begins once it is known which db hosts are held out and whether another process serves, or when that takes too
    /// long. Beside another process there is time to hear discovery first; alone, clients wait already.
    fn begin(&mut self) {
        let Some(by) = self.begin_by.take() else { return };
        self.core.turn.deadlines.clear(by, Due::Begin);
        self.share_limits();
        self.core.start();
        self.settle();
        if self.shared.is_alone() {
            self.serve();
        } else {
            info!(self.core.turn.log, "starting beside another process"; "control" => self.operators());
            self.core.turn.deadlines.set(self.core.turn.now + self.silence + DISCOVERY_GRACE, Due::Serve);
        }
    }

    /// Carries what the parts have for each other, until none has anything left.
    fn settle(&mut self) {
        loop {
            if let Some(step) = self.core.step() {
                self.take(step);
            } else if let Some(task) = self.shared.next(self.core.turn.now) {
                if !self.worker.ask(task) {
                    warn!(self.core.turn.log, "file work is lost: its thread has ended or is too far behind");
                }
            } else {
                return;
            }
        }
    }

    /// Does what the control part leaves to those who have sockets.
    fn take(&mut self, step: Step) {
        let Core { turn, exchange, .. } = &mut self.core;
        match step {
            Step::List(list) => self.list(&list),
            Step::Order(order) => self.backend.execute(turn, exchange, order),
            Step::Answer(request, exchange::Answer::Part(bytes)) => {
                self.frontend.part(turn, exchange, request, &bytes)
            }
            Step::Answer(request, exchange::Answer::Final(last)) => {
                self.frontend.answer(turn, exchange, request, last)
            }
        }
    }

    /// The module has heard of a list: the pool follows, and what is held out stays so.
    fn list(&mut self, list: &List) {
        let Core { turn, exchange, .. } = &mut self.core;
        self.frontend.has_hosts |= list.entries() > 0;
        self.backend.apply_list(turn, exchange, list.kind, &list.listed);
        // The ban on a name outlasts whatever the list says of it.
        for l in list.listed.iter().filter(|l| self.shared.is_held_out(&l.id)) {
            exchange.set_held_out(turn, l.member, true);
            self.backend.set_held_out(turn, exchange, l.member, true);
        }
        let lost = |l: &&backend::ListedHost| exchange.sites.as_ref().is_some_and(|s| s.is_out(l.member));
        for member in list.listed.iter().filter(lost).map(|l| l.member).collect::<Vec<_>>() {
            exchange.set_held_out(turn, member, true);
        }
        if list.is_heard() && self.frontend.has_hosts {
            self.serve();
        }
    }

    /// Whether the program may end: all is answered, or it is time to leave.
    pub fn is_done(&self) -> bool {
        let process = ProcessFacts {
            must_leave: self.leave,
            serving: self.frontend.serves(),
            clients_open: self.frontend.has_clients(),
            requests_open: !self.core.exchange.is_idle(),
        };
        may_end(&process).is_ok()
    }
}

impl Parts for Proxy {
    fn core(&mut self) -> &mut Core {
        &mut self.core
    }

    fn event(&mut self, source: Source) {
        self.core.event(source);
        let (turn, exchange) = (&mut self.core.turn, &mut self.core.exchange);
        match source {
            Source::Listener => self.frontend.accept(turn),
            Source::PeerListener => self.frontend.accept_peers(turn),
            Source::Session(id) => self.frontend.ready(turn, exchange, id),
            Source::Server(id) => self.backend.handle_socket_ready(turn, exchange, id),
            Source::Call(_) => {}
            Source::Control => self.control.iter_mut().for_each(|c| c.accept(turn)),
            Source::Caller(id) => self.call(id),
            Source::Terminate => self.terminate(),
            Source::Reload => self.shared.reread(),
            Source::Files => self.file_work_done(),
        }
        self.settle();
    }

    fn due(&mut self, due: Due) {
        self.core.due(due);
        let (turn, exchange) = (&mut self.core.turn, &mut self.core.exchange);
        match due {
            Due::Module(_) | Due::Overdue(_) | Due::SendOn(_) | Due::Call(_) | Due::Reopen => {}
            Due::Attempt(id) => self.backend.attempt_due(turn, exchange, id),
            Due::Probe(member) => self.backend.probe_due(turn, exchange, member),
            Due::Connect(member) => self.backend.connect_due(turn, exchange, member),
            Due::Server(id) => self.backend.connection_due(turn, exchange, id),
            Due::Session(id) => self.frontend.session_due(turn, id),
            Due::Accept => self.frontend.accept(turn),
            Due::AcceptPeers => self.frontend.accept_peers(turn),
            Due::Caller(id) => self.control.iter_mut().for_each(|c| c.due(turn, id)),
            Due::AcceptCallers => self.control.iter_mut().for_each(|c| c.accept(turn)),
            Due::Look => {
                turn.deadlines.set(turn.now + SHARED_STATE_POLL_INTERVAL, Due::Look);
                // The ping that tells of work done may have failed.
                self.file_work_done();
                let turn = &self.core.turn;
                let stands = self.shared.look(turn.now);
                stands.into_iter().for_each(|c| self.change(c));
            }
            Due::Begin => self.begin(),
            Due::Reap => self.frontend.reap(turn),
            Due::CloseListener => self.frontend.close_listener(turn, exchange, false),
            Due::Serve if self.frontend.has_hosts => self.serve(),
            Due::Serve => turn.deadlines.set(turn.now + SHARED_STATE_POLL_INTERVAL, Due::Serve),
            Due::Sites => self.watch_sites(),
            Due::Summary => {
                exchange.log_summary(turn);
                self.frontend.log_summary(turn);
                self.core.loop_stats.log_summary(&turn.log);
                turn.deadlines.set(turn.now + SUMMARY, Due::Summary);
            }
            Due::LastAnswers => exchange.answer_all_at_shutdown(turn),
            Due::Leave => self.leave = true,
        }
        self.settle();
    }
}

#[cfg(test)]
mod tests;
