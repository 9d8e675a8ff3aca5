//! The proxy: owns the program's parts and carries messages between them.

mod changes;
mod lifetime;
mod operators;
mod placement;
mod sites;

use std::net::TcpListener;
use std::path::PathBuf;

use calloop::EventLoop;
use leadmast::permission::{may_exit, ProcessState};
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
use crate::resumed::RetryInterrupted;
use crate::shared::worker::{Wake, Worker};
use crate::shared::{self, SharedState};
use crate::transient::retry_while_transient;
use crate::turn::{self, EventSource, ReadySources};

const SUMMARY_INTERVAL: Micros = 10_000_000;
/// Interval at which the state shared with other processes of this proxy is read.
const SHARED_STATE_POLL_INTERVAL: Micros = 50_000;
/// How long a new process waits to learn what other processes of its proxy do.
const SHARED_STATE_TIMEOUT: Micros = 2_000_000;
/// A process that starts while another one runs waits this much longer for discovery than discovery may be
/// silent, well within the 6 s that it has.
const DISCOVERY_GRACE: Micros = 1_000_000;
/// Descriptors reserved for operators' connections.
const OPERATOR_SOCKETS: usize = 12;

/// The program's parts, and the state that belongs to none of them.
pub struct Proxy {
    pub(crate) core: Core,
    frontend: Frontend,
    backend: Backend,
    control: Option<Control>,
    shared: SharedState,
    worker: Worker,
    /// Descriptors and bytes of memory that this proxy may use, shared by its processes while two of them
    /// run.
    sockets: usize,
    memory_bytes: usize,
    /// Whether the platform holds the clients' socket and passes it to this process.
    is_socket_inherited: bool,
    /// The clients' socket, until this process accepts connections on it.
    unserved_listener: Option<TcpListener>,
    /// The socket for other proxies, until this process accepts connections on it.
    peer_socket: Option<socket2::Socket>,
    /// Time at which the proxy begins at the latest; `None` once it has begun.
    begin_by: Option<Micros>,
    /// How long discovery may be silent.
    watch_silence: Micros,
    /// Why the program can't continue.
    pub fatal_error: Option<String>,
    /// Names of the classes, for the metrics.
    classes: Vec<String>,
    /// Names of the tenants, for the metrics.
    tenants: Vec<String>,
    longest_deadline: Micros,
    connect_timeout: Micros,
    is_terminating: bool,
    must_leave: bool,
    /// Time by which the process must have ended; set at SIGTERM.
    end_by: Option<Micros>,
}

impl Proxy {
    /// Opens the sockets and starts the thread for file work. Clients are served only after the proxy has
    /// begun.
    ///
    /// # Errors
    ///
    /// If the system provides no socket, poll or thread; the text is for the operator.
    pub fn new(
        config: Config,
        file: Option<PathBuf>,
        event_loop: &EventLoop<'static, ReadySources>,
        log: Logger,
    ) -> Result<Proxy, String> {
        let (ping, pinged) =
            retry_while_transient(calloop::ping::make_ping).map_err(|e| format!("cannot poll: {e}"))?;
        let source = RetryInterrupted(pinged);
        let registered =
            event_loop.handle().insert_source(source, |(), (), ready| ready.push(EventSource::FileTask));
        registered.map_err(|e| format!("cannot poll: {e}"))?;
        Proxy::with_waker(config, file, event_loop, log, ping)
    }

    /// Creates a proxy whose thread for file work wakes the loop through `waker`.
    fn with_waker(
        mut config: Config,
        file: Option<PathBuf>,
        event_loop: &EventLoop<'static, ReadySources>,
        log: Logger,
        waker: impl Wake + 'static,
    ) -> Result<Proxy, String> {
        let mut core = Core::new(&mut config, event_loop, log)?;
        let tenants = config.tenants();
        let Config {
            name,
            listen,
            listen_fd,
            control,
            sockets,
            memory_bytes,
            watch_silence,
            facts,
            rules,
            ..
        } = config;
        let longest_deadline = facts.settings.classes.iter().map(|c| c.deadline).max().unwrap_or(0);
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
            retry_while_transient(|| Control::listen(&core.turn, addr, OPERATOR_SOCKETS))
                .map_err(|e| format!("cannot listen at {addr}: {e}"))
        };
        let control = control.map(listen).transpose()?;
        let worker = Worker::start(move || shared::files::open(&name), file, waker);
        let worker = worker.map_err(|e| format!("cannot start a thread: {e}"))?;
        let turn = &mut core.turn;
        turn.deadlines.set(turn.now + SUMMARY_INTERVAL, DeadlineKind::Summary);
        turn.deadlines.set(turn.now, DeadlineKind::ScanIdleClients);
        turn.deadlines.set(turn.now + SHARED_STATE_POLL_INTERVAL, DeadlineKind::CheckSharedFolder);
        let begin_by = turn.now + SHARED_STATE_TIMEOUT;
        turn.deadlines.set(begin_by, DeadlineKind::SharedFolderTimeout);
        let mut proxy = Proxy {
            core,
            frontend,
            backend,
            control,
            shared: SharedState::new(),
            worker,
            sockets,
            memory_bytes,
            is_socket_inherited: listen_fd.is_some(),
            unserved_listener: Some(listener),
            peer_socket: None,
            begin_by: Some(begin_by),
            watch_silence,
            fatal_error: None,
            classes,
            tenants,
            longest_deadline,
            connect_timeout,
            is_terminating: false,
            must_leave: false,
            end_by: None,
        };
        proxy.apply_limits();
        proxy.open_placement()?;
        proxy.check_sites();
        proxy.run_until_idle();
        Ok(proxy)
    }

    /// Begins once it is known which db hosts are held out and whether another process serves, or when
    /// learning that takes too long. While another process serves, there is time to wait for discovery's
    /// list; if this process is alone, clients are waiting already.
    fn begin(&mut self) {
        let Some(by) = self.begin_by.take() else { return };
        self.core.turn.deadlines.clear(by, DeadlineKind::SharedFolderTimeout);
        self.apply_limits();
        self.core.start();
        self.run_until_idle();
        if self.shared.is_alone() {
            self.serve();
        } else {
            info!(self.core.turn.log, "starting while another process of this proxy runs"; "control" => self.operators_address());
            self.core.turn.deadlines.set(
                self.core.turn.now + self.watch_silence + DISCOVERY_GRACE,
                DeadlineKind::DiscoveryTimeout,
            );
        }
    }

    /// Carries orders, answers and file work between the parts until none is left.
    fn run_until_idle(&mut self) {
        loop {
            if let Some(step) = self.core.next_step() {
                self.carry_out_step(step);
            } else if let Some(task) = self.shared.next_task(self.core.turn.now) {
                if !self.worker.submit(task) {
                    warn!(self.core.turn.log, "file work dropped: its thread has ended or is too far behind");
                }
            } else {
                return;
            }
        }
    }

    /// Carries out a step of the control core that needs sockets.
    fn carry_out_step(&mut self, step: Step) {
        let Core { turn, exchange, .. } = &mut self.core;
        let interrupted = turn.work.begin(step.kind_of_work(), turn.clock.now());
        match step {
            Step::List(list) => self.apply_list(&list),
            Step::Order(order) => self.backend.execute(turn, exchange, order),
            Step::Answer(request, exchange::Answer::Part(bytes)) => {
                self.frontend.forward_part(turn, exchange, request, &bytes)
            }
            Step::Answer(request, exchange::Answer::Writes(body)) => {
                self.frontend.record_write(request, body.statement())
            }
            Step::Answer(request, exchange::Answer::Final(last)) => {
                self.frontend.answer(turn, exchange, request, last)
            }
        }
        let turn = &mut self.core.turn;
        turn.work.end(interrupted, turn.clock.now());
    }

    /// Applies a list that the decision library has received: the connection pool follows it, and db hosts
    /// that are held out stay held out.
    fn apply_list(&mut self, list: &List) {
        let Core { turn, exchange, .. } = &mut self.core;
        self.frontend.has_hosts |= list.entries() > 0;
        self.backend.apply_list(turn, exchange, list.kind, &list.listed);
        // A hold-out belongs to a name and outlasts whatever the list says.
        for l in list.listed.iter().filter(|l| self.shared.is_held_out(&l.id)) {
            exchange.set_held_out(turn, l.member, true);
            self.backend.set_held_out(turn, exchange, l.member, true);
        }
        let at_lost_site =
            |l: &&backend::ListedHost| exchange.sites.as_ref().is_some_and(|s| s.is_out(l.member));
        for member in list.listed.iter().filter(at_lost_site).map(|l| l.member).collect::<Vec<_>>() {
            exchange.set_held_out(turn, member, true);
        }
        if list.is_from_discovery() && self.frontend.has_hosts {
            self.serve();
        }
    }

    /// Whether the program may end: every request is answered, or it must leave now.
    pub fn is_done(&self) -> bool {
        let process = ProcessState {
            must_exit: self.must_leave,
            serving: self.frontend.may_accept(),
            clients_open: self.frontend.has_clients(),
            requests_open: !self.core.exchange.is_idle(),
        };
        may_exit(&process).is_ok()
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
            EventSource::Server(id) => self.backend.handle_socket_ready(turn, exchange, id),
            EventSource::Call(_) => {}
            EventSource::Control => self.control.iter_mut().for_each(|c| c.accept(turn)),
            EventSource::Caller(id) => self.serve_operator(id),
            EventSource::Terminate => self.terminate(),
            EventSource::Reload => self.shared.reread(),
            EventSource::FileTask => self.collect_file_work(),
        }
        self.run_until_idle();
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
            DeadlineKind::Server(id) => self.backend.connection_due(turn, exchange, id),
            DeadlineKind::Session(id) => self.frontend.session_due(turn, id),
            DeadlineKind::RetryAccept => self.frontend.accept(turn),
            DeadlineKind::RetryAcceptPeers => self.frontend.accept_peers(turn),
            DeadlineKind::Caller(id) => self.control.iter_mut().for_each(|c| c.due(turn, id)),
            DeadlineKind::RetryAcceptCallers => self.control.iter_mut().for_each(|c| c.accept(turn)),
            DeadlineKind::CheckSharedFolder => {
                turn.deadlines.set(turn.now + SHARED_STATE_POLL_INTERVAL, DeadlineKind::CheckSharedFolder);
                // The ping that announces completed work may have failed.
                self.collect_file_work();
                let turn = &self.core.turn;
                let complaint = self.shared.request_scan(turn.now);
                complaint.into_iter().for_each(|c| self.apply_change(c));
            }
            DeadlineKind::SharedFolderTimeout => self.begin(),
            DeadlineKind::ScanIdleClients => self.frontend.close_idle_clients(turn),
            DeadlineKind::CloseListener => self.frontend.close_listener(turn, false),
            DeadlineKind::DiscoveryTimeout if self.frontend.has_hosts => self.serve(),
            DeadlineKind::DiscoveryTimeout => {
                turn.deadlines.set(turn.now + SHARED_STATE_POLL_INTERVAL, DeadlineKind::DiscoveryTimeout)
            }
            DeadlineKind::CheckSites => self.check_sites(),
            DeadlineKind::Summary => {
                exchange.log_summary(turn);
                self.frontend.log_summary(turn);
                self.core.loop_stats.log_summary(&turn.log);
                turn.deadlines.set(turn.now + SUMMARY_INTERVAL, DeadlineKind::Summary);
            }
            DeadlineKind::LastAnswers => exchange.answer_all_at_shutdown(turn),
            DeadlineKind::Exit => self.must_leave = true,
        }
        self.run_until_idle();
    }
}

#[cfg(test)]
mod tests;
