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
use crate::cycle::Handlers;
use crate::deadlines::DeadlineKind;
use crate::exchange;
use crate::frontend::Frontend;
use crate::resumed::Resumed;
use crate::shared::worker::{Wake, Worker};
use crate::shared::{self, Shared};
use crate::transient::retry_while_transient;
use crate::turn::{self, EventSource, ReadySources};

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
        event_loop: &EventLoop<'static, ReadySources>,
        log: Logger,
    ) -> Result<Proxy, String> {
        let (ping, pinged) =
            retry_while_transient(calloop::ping::make_ping).map_err(|e| format!("cannot poll: {e}"))?;
        let source = Resumed(pinged);
        let told =
            event_loop.handle().insert_source(source, |(), (), ready| ready.push(EventSource::FileTask));
        told.map_err(|e| format!("cannot poll: {e}"))?;
        Proxy::with_waker(config, file, event_loop, log, ping)
    }

    /// The proxy whose thread for file work wakes the loop by `waker`.
    fn with_waker(
        mut config: Config,
        file: Option<PathBuf>,
        event_loop: &EventLoop<'static, ReadySources>,
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
            Some(fd) => retry_while_transient(|| turn::inherited_listener(fd))
                .map_err(|e| format!("cannot listen on descriptor {fd}: {e}"))?,
            None => retry_while_transient(|| turn::listening_socket(listen))
                .map_err(|e| format!("cannot listen at {listen}: {e}"))?,
        };
        let mut frontend = Frontend::new(facts.settings, facts.names);
        frontend.set_rules(rules);
        let listen = |addr| {
            retry_while_transient(|| Control::listen(&core.turn, addr, OPERATORS))
                .map_err(|e| format!("cannot listen at {addr}: {e}"))
        };
        let control = control.map(listen).transpose()?;
        let worker = Worker::start(move || shared::files::open(&name), file, waker);
        let worker = worker.map_err(|e| format!("cannot start a thread: {e}"))?;
        let turn = &mut core.turn;
        turn.deadlines.set(turn.now + SUMMARY, DeadlineKind::Summary);
        turn.deadlines.set(turn.now, DeadlineKind::ScanIdleClients);
        turn.deadlines.set(turn.now + SHARED_STATE_POLL_INTERVAL, DeadlineKind::CheckSharedFolder);
        let begin_by = turn.now + SHARED_STATE_TIMEOUT;
        turn.deadlines.set(begin_by, DeadlineKind::SharedFolderTimeout);
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
        self.core.turn.deadlines.clear(by, DeadlineKind::SharedFolderTimeout);
        self.share_limits();
        self.core.start();
        self.settle();
        if self.shared.is_alone() {
            self.serve();
        } else {
            info!(self.core.turn.log, "starting beside another process"; "control" => self.operators());
            self.core
                .turn
                .deadlines
                .set(self.core.turn.now + self.silence + DISCOVERY_GRACE, DeadlineKind::DiscoveryTimeout);
        }
    }

    /// Carries what the parts have for each other, until none has anything left.
    fn settle(&mut self) {
        loop {
            if let Some(step) = self.core.next_step() {
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
            Step::Order(order) => self.backend.carry_out(turn, exchange, order),
            Step::Answer(request, exchange::Answer::Part(bytes)) => {
                self.frontend.forward_part(turn, exchange, request, &bytes)
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
        self.backend.list(turn, exchange, list.kind, &list.listed);
        // The ban on a name outlasts whatever the list says of it.
        for l in list.listed.iter().filter(|l| self.shared.is_held_out(&l.id)) {
            exchange.maintain(turn, l.member, true);
            self.backend.maintain(turn, exchange, l.member, true);
        }
        let lost = |l: &&backend::Listed| exchange.sites.as_ref().is_some_and(|s| s.is_out(l.member));
        for member in list.listed.iter().filter(lost).map(|l| l.member).collect::<Vec<_>>() {
            exchange.maintain(turn, member, true);
        }
        if list.is_from_discovery() && self.frontend.has_hosts {
            self.serve();
        }
    }

    /// Whether the program may end: all is answered, or it is time to leave.
    pub fn is_done(&self) -> bool {
        let process = ProcessFacts {
            must_leave: self.leave,
            serving: self.frontend.may_accept(),
            clients_open: self.frontend.has_clients(),
            requests_open: !self.core.exchange.is_idle(),
        };
        may_end(&process).is_ok()
    }
}

impl Handlers for Proxy {
    fn core(&mut self) -> &mut Core {
        &mut self.core
    }

    fn on_event(&mut self, source: EventSource) {
        self.core.process_event(source);
        let (turn, exchange) = (&mut self.core.turn, &mut self.core.exchange);
        match source {
            EventSource::Listener => self.frontend.accept(turn),
            EventSource::PeerListener => self.frontend.accept_peers(turn),
            EventSource::Session(id) => self.frontend.ready(turn, exchange, id),
            EventSource::Server(id) => self.backend.ready(turn, exchange, id),
            EventSource::Call(_) => {}
            EventSource::Control => self.control.iter_mut().for_each(|c| c.accept(turn)),
            EventSource::Caller(id) => self.call(id),
            EventSource::Terminate => self.terminate(),
            EventSource::Reload => self.shared.reread(),
            EventSource::FileTask => self.file_work_done(),
        }
        self.settle();
    }

    fn on_deadline(&mut self, due: DeadlineKind) {
        self.core.process_deadline(due);
        let (turn, exchange) = (&mut self.core.turn, &mut self.core.exchange);
        match due {
            DeadlineKind::Module(_)
            | DeadlineKind::Overdue(_)
            | DeadlineKind::ForwardAgain(_)
            | DeadlineKind::Call(_)
            | DeadlineKind::ReopenWatch => {}
            DeadlineKind::Attempt(id) => self.backend.attempt_due(turn, exchange, id),
            DeadlineKind::Probe(member) => self.backend.probe_due(turn, exchange, member),
            DeadlineKind::RetryConnect(member) => self.backend.connect_due(turn, exchange, member),
            DeadlineKind::Server(id) => self.backend.server_due(turn, exchange, id),
            DeadlineKind::Session(id) => self.frontend.session_due(turn, id),
            DeadlineKind::RetryAccept => self.frontend.accept(turn),
            DeadlineKind::RetryAcceptPeers => self.frontend.accept_peers(turn),
            DeadlineKind::Caller(id) => self.control.iter_mut().for_each(|c| c.due(turn, id)),
            DeadlineKind::RetryAcceptCallers => self.control.iter_mut().for_each(|c| c.accept(turn)),
            DeadlineKind::CheckSharedFolder => {
                turn.deadlines.set(turn.now + SHARED_STATE_POLL_INTERVAL, DeadlineKind::CheckSharedFolder);
                // The ping that tells of work done may have failed.
                self.file_work_done();
                let turn = &self.core.turn;
                let stands = self.shared.look(turn.now);
                stands.into_iter().for_each(|c| self.change(c));
            }
            DeadlineKind::SharedFolderTimeout => self.begin(),
            DeadlineKind::ScanIdleClients => self.frontend.close_idle_clients(turn),
            DeadlineKind::CloseListener => self.frontend.close_listener(turn, exchange, false),
            DeadlineKind::DiscoveryTimeout if self.frontend.has_hosts => self.serve(),
            DeadlineKind::DiscoveryTimeout => {
                turn.deadlines.set(turn.now + SHARED_STATE_POLL_INTERVAL, DeadlineKind::DiscoveryTimeout)
            }
            DeadlineKind::CheckSites => self.watch_sites(),
            DeadlineKind::Summary => {
                exchange.sum_up(turn);
                self.frontend.log_summary(turn);
                self.core.loop_stats.log_summary(&turn.log);
                turn.deadlines.set(turn.now + SUMMARY, DeadlineKind::Summary);
            }
            DeadlineKind::LastAnswers => exchange.end_all(turn),
            DeadlineKind::Exit => self.leave = true,
        }
        self.settle();
    }
}

#[cfg(test)]
mod tests;
