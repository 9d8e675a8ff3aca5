//! What a proxy spends on control: discovery's client, the list of db hosts, the decision module, and what passes between
//! them. It knows no client's socket and no db host's: those who have them take the [`Step`]s that it hands out.

use std::net::SocketAddr;

use calloop::EventLoop;
use leadmast::{ListKind, Micros, RequestId};
use slog::{warn, Logger};

use crate::backend::Listed;
use crate::config::Config;
use crate::deadlines::Due;
use crate::discovery::{self, Discovery, ListUpdate};
use crate::exchange::{Answer, Exchange, Order};
use crate::loop_stats::LoopStats;
use crate::placing::PlacementRouter;
use crate::turn::{Ready, Source, Turn};

/// The control part of a proxy.
pub struct Core {
    pub(crate) turn: Turn,
    pub(crate) exchange: Exchange,
    pub(crate) discovery: Discovery,
    pub(crate) loop_stats: LoopStats,
    /// The list of db hosts from the configuration, until the proxy begins.
    known: Option<ListUpdate>,
    news: Vec<ListUpdate>,
}

/// What is left for the parts that have sockets.
pub enum Step {
    /// The module has heard of a list.
    List(List),
    /// The module asks something of the db hosts' side.
    Order(Order),
    /// A request's client is to be answered.
    Answer(RequestId, Answer),
}

/// A list of db hosts that the module has heard of.
pub struct List {
    pub(crate) kind: ListKind,
    pub(crate) listed: Vec<Listed>,
}

impl List {
    /// Whether discovery told it, and not the configuration.
    pub fn is_heard(&self) -> bool {
        matches!(self.kind, ListKind::Full | ListKind::Incremental)
    }

    /// Whether discovery told it whole.
    pub fn is_whole(&self) -> bool {
        self.kind == ListKind::Full
    }

    /// How many db hosts it tells of.
    pub fn entries(&self) -> usize {
        self.listed.len()
    }
}

impl Core {
    /// The control part as the configuration describes it. Nothing is asked of discovery before [`Core::start`].
    ///
    /// # Errors
    ///
    /// Where the list of db hosts in the configuration can't be read.
    pub fn new(
        config: &mut Config,
        event_loop: &EventLoop<'static, Ready>,
        log: Logger,
    ) -> Result<Core, String> {
        let turn = Turn::new(event_loop.handle(), log);
        let facts = &config.facts;
        let pace = discovery::WatchPolicy::new(&facts.settings);
        let mut discovery = Discovery::new(config.discovery, config.watch_silence, facts.names.clone(), pace);
        let known = std::mem::take(&mut config.known_list);
        let known = if known.is_null() { None } else { Some(discovery.read_known(&turn.clock, &known)?) };
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
        Ok(Core { turn, exchange, discovery, loop_stats, known, news: Vec::new() })
    }

    /// Takes in the list that the configuration gives, and watches discovery from now on.
    pub fn start(&mut self) {
        // What is known may be old: it comes before anything that discovery tells.
        self.news.extend(self.known.take());
        self.discovery.start(&mut self.turn, &mut self.news);
    }

    /// Works off a source that has become ready; false where it is another part's.
    pub fn event(&mut self, source: Source) -> bool {
        let Source::Call(id) = source else { return false };
        self.discovery.ready(&mut self.turn, id, &mut self.news);
        true
    }

    /// Works off a deadline that has fallen due; false where it is another part's.
    pub fn due(&mut self, due: Due) -> bool {
        match due {
            Due::Module(tag) => self.exchange.timer(&mut self.turn, tag),
            Due::Overdue(id) => self.exchange.overdue(&mut self.turn, id),
            Due::SendOn(id) => self.exchange.send_on_due(&mut self.turn, id),
            Due::Call(id) => self.discovery.call_due(&mut self.turn, id, &mut self.news),
            Due::Reopen => self.discovery.reopen_due(&mut self.turn, &mut self.news),
            _ => return false,
        }
        true
    }

    /// Discovery is elsewhere from now on, or may be silent for another time.
    pub(crate) fn move_discovery(&mut self, to: SocketAddr, silence: Micros) {
        self.discovery.move_to(&mut self.turn, to, silence, &mut self.news);
    }

    /// Carries on what stands between its parts, until there is something for another part to do, or nothing at all.
    pub fn step(&mut self) -> Option<Step> {
        loop {
            // The module hears of a change before the pool acts on it, and before anything else is sent.
            self.news.extend(self.discovery.corrected_starts(&self.turn.clock));
            if !self.news.is_empty() {
                let news = self.news.remove(0);
                return Some(Step::List(self.tell(news)));
            }
            if let Some(order) = self.exchange.orders.pop_front() {
                return Some(Step::Order(order));
            }
            if let Some((request, answer)) = self.exchange.answers.pop_front() {
                return Some(Step::Answer(request, answer));
            }
            let ask = self.exchange.asks.pop_front()?;
            self.discovery.ask(&mut self.turn, ask, &mut self.news);
        }
    }

    /// Tells the module of a list.
    fn tell(&mut self, news: ListUpdate) -> List {
        let ListUpdate { kind, entries, listed, unreadable, why } = news;
        for what in &why {
            warn!(self.turn.log, "unreadable entry in the list of db hosts"; "what" => what, "of" => unreadable);
        }
        self.exchange.members(&mut self.turn, kind, entries);
        List { kind, listed }
    }
}
