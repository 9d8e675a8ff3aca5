//! The control part of a proxy: discovery's client, the list of db hosts, the decision module, and the data
//! that passes between them. It has no sockets of clients or db hosts; the parts that have them carry out the
//! [`Step`]s that it returns.

use std::collections::VecDeque;
use std::net::SocketAddr;

use calloop::EventLoop;
use leadmast::{ListKind, Micros, RequestId};
use slog::{warn, Logger};

use crate::backend::ListedHost;
use crate::config::Config;
use crate::deadlines::DeadlineKind;
use crate::discovery::{self, Discovery, ListUpdate};
use crate::exchange::{Answer, BackendCommand, Exchange};
use crate::loop_stats::LoopStats;
use crate::placing::PlacementRouter;
use crate::turn::{EventSource, ReadySources, Turn};
use crate::work_times::Work;

/// The control part of a proxy.
pub struct Core {
    pub(crate) turn: Turn,
    pub(crate) exchange: Exchange,
    pub(crate) discovery: Discovery,
    pub(crate) loop_stats: LoopStats,
    /// The list of db hosts from the configuration, until [`Core::start`].
    configured_list: Option<ListUpdate>,
    /// Lists and changes that discovery's client has delivered since the last step.
    new_updates: Vec<ListUpdate>,
    /// Lists and changes that the decision module has not processed yet.
    pending_updates: VecDeque<ListUpdate>,
}

/// Work for the parts that have sockets.
pub enum Step {
    /// The db host side applies a list that the decision module has processed.
    List(List),
    /// The db host side carries out an order of the decision module.
    Order(BackendCommand),
    /// The client side answers a request.
    Answer(RequestId, Answer),
}

impl Step {
    /// The kind of work that carrying it out counts as.
    pub(crate) fn kind_of_work(&self) -> Work {
        match self {
            Step::List(_) => Work::Lists,
            Step::Order(_) => Work::HostCommands,
            Step::Answer(..) => Work::Answers,
        }
    }
}

/// A list of db hosts, or a change to it, that the decision module has processed.
pub struct List {
    pub(crate) kind: ListKind,
    pub(crate) listed: Vec<ListedHost>,
}

impl List {
    /// Whether the list comes from discovery and not from the configuration.
    pub fn is_from_discovery(&self) -> bool {
        matches!(self.kind, ListKind::Full | ListKind::Incremental)
    }

    /// Whether discovery sent the complete list and not only a change.
    pub fn is_complete(&self) -> bool {
        self.kind == ListKind::Full
    }

    /// Number of db hosts in the list.
    pub fn entries(&self) -> usize {
        self.listed.len()
    }
}

impl Core {
    /// Creates the control part from the configuration. Discovery is not contacted before [`Core::start`].
    ///
    /// # Errors
    ///
    /// If the list of db hosts in the configuration can't be parsed.
    pub fn new(
        config: &mut Config,
        event_loop: &EventLoop<'static, ReadySources>,
        log: Logger,
    ) -> Result<Core, String> {
        let turn = Turn::new(event_loop.handle(), log);
        let facts = &config.facts;
        let watch_policy = discovery::WatchPolicy::new(&facts.settings);
        let mut discovery =
            Discovery::new(config.discovery, config.watch_silence, facts.names.clone(), watch_policy);
        let configured_list = std::mem::take(&mut config.known_list);
        let configured_list = if configured_list.is_null() {
            None
        } else {
            Some(discovery.read_known(&turn.clock, &configured_list)?)
        };
        let tenants = config.tenants();
        let connect_timeout = facts.connections.connect_timeout;
        let placing =
            config.placement.take().map(|placement| PlacementRouter::new(placement, connect_timeout));
        let mut settings = facts.settings.clone();
        let placing = placing.map(|placing| placing.divide_budgets(&mut settings));
        let mut exchange = Exchange::new(settings, tenants, config.seed, turn.now);
        exchange.sites = config.sites.take();
        exchange.placing = placing;
        let loop_stats = LoopStats::new(turn.now);
        Ok(Core {
            turn,
            exchange,
            discovery,
            loop_stats,
            configured_list,
            new_updates: Vec::new(),
            pending_updates: VecDeque::new(),
        })
    }

    /// Applies the list of db hosts from the configuration and starts to watch discovery.
    pub fn start(&mut self) {
        // The configured list may be outdated, so it is applied before anything from discovery.
        self.pending_updates.extend(self.configured_list.take());
        self.discovery.start(&mut self.turn, &mut self.new_updates);
    }

    /// Processes a source that has become ready. Returns false if the source belongs to another part.
    pub fn process_event(&mut self, source: EventSource) -> bool {
        let EventSource::Call(id) = source else { return false };
        self.discovery.ready(&mut self.turn, id, &mut self.new_updates);
        true
    }

    /// Processes an expired deadline. Returns false if the deadline belongs to another part.
    pub fn process_deadline(&mut self, due: DeadlineKind) -> bool {
        match due {
            DeadlineKind::Module(tag) => self.exchange.timer_due(&mut self.turn, tag),
            DeadlineKind::Overdue(id) => self.exchange.answer_overdue(&mut self.turn, id),
            DeadlineKind::ForwardAgain(id) => self.exchange.forward_due(&mut self.turn, id),
            DeadlineKind::Call(id) => self.discovery.call_due(&mut self.turn, id, &mut self.new_updates),
            DeadlineKind::ReopenWatch => self.discovery.reopen_due(&mut self.turn, &mut self.new_updates),
            _ => return false,
        }
        true
    }

    /// Changes discovery's address or the time for which discovery may be silent.
    pub(crate) fn set_discovery(&mut self, to: SocketAddr, silence: Micros) {
        self.discovery.move_to(&mut self.turn, to, silence, &mut self.new_updates);
    }

    /// Passes queued data between the parts of the core until there is work for another part, or none is
    /// left.
    pub fn next_step(&mut self) -> Option<Step> {
        loop {
            // The decision module processes a change of the list before the connection pool does, and before
            // any further request is sent.
            self.pending_updates.extend(self.new_updates.drain(..));
            self.pending_updates.extend(self.discovery.corrected_starts(&self.turn.clock));
            if let Some(update) = self.pending_updates.pop_front() {
                return Some(Step::List(self.apply_list(update)));
            }
            if let Some(order) = self.exchange.backend_commands.pop_front() {
                return Some(Step::Order(order));
            }
            if let Some((request, answer)) = self.exchange.answers.pop_front() {
                return Some(Step::Answer(request, answer));
            }
            let ask = self.exchange.discovery_calls.pop_front()?;
            self.discovery.ask(&mut self.turn, ask, &mut self.new_updates);
        }
    }

    /// Passes a list to the decision module.
    fn apply_list(&mut self, update: ListUpdate) -> List {
        let ListUpdate { kind, entries, listed, unreadable, why } = update;
        for what in &why {
            warn!(self.turn.log, "unreadable entry in the list of db hosts"; "what" => what, "of" => unreadable);
        }
        let interrupted = self.turn.work.begin(Work::Lists, self.turn.clock.now());
        self.exchange.update_members(&mut self.turn, kind, entries);
        self.turn.work.end(interrupted, self.turn.clock.now());
        List { kind, listed }
    }
}
