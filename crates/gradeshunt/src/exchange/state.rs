//! The exchange's state: the requests, the decisions, and what is queued for the two sides.

use std::collections::{BTreeMap, VecDeque};

use gradeshunt_sites::proxy::Sites;
use leadmast::permission::AttemptLimits;
use leadmast::{Action, Balancer, ClassId, Effect, Event, Micros, RequestId, Settings};

use super::messages::{Answer, Ask, Order};
use super::request::Request;
use super::tally::Tally;
use crate::figures::{Metrics, OutcomeCounts, TenantCount};
use crate::placing::PlacementRouter;
use crate::site_loss;

/// The exchange.
pub struct Exchange {
    pub(super) balancer: Balancer,
    pub(super) slack: Micros,
    pub(super) limits: AttemptLimits,
    pub(super) drain_grace: Micros,
    pub(super) requests: BTreeMap<RequestId, Request>,
    pub(super) next: u64,
    pub(super) events: VecDeque<Event>,
    pub(super) telling: bool,
    pub(super) actions: Vec<Action>,
    pub(super) tally: Tally,
    pub(super) figures: Metrics,
    /// Names of the tenants, as in [`Metrics::tenants`]; none where the settings name none.
    pub(super) tenants: Vec<String>,
    /// What is done at the loss of a site, where operators have a plan for it. What it does is carried out by
    /// `crate::proxy::sites`.
    pub sites: Option<Sites>,
    /// Which requests go to other proxies, where operators have a file on that.
    pub placing: Option<PlacementRouter>,
    /// Time that an answer takes from one proxy to another, at most.
    pub(super) hop: Micros,
    /// By class.
    pub(super) effects: Vec<Effect>,
    /// By class.
    pub(super) retry_after: Vec<Option<Micros>>,
    /// What is asked of the server side, of discovery, and of the client side.
    pub orders: VecDeque<Order>,
    pub asks: VecDeque<Ask>,
    pub answers: VecDeque<(RequestId, Answer)>,
}

impl Exchange {
    pub fn new(settings: Settings, tenants: Vec<String>, seed: u64, now: Micros) -> Self {
        Exchange {
            tenants,
            figures: Metrics {
                classes: vec![OutcomeCounts::default(); settings.classes.len()],
                tenants: vec![TenantCount::default(); settings.tenants.len() + 1],
                ..Metrics::default()
            },
            slack: settings.rules.answer_slack,
            limits: AttemptLimits {
                attempts: settings.allowed.attempts,
                // One at a time here, whatever the settings allow.
                second_copies: false,
                margin: settings.tick,
            },
            drain_grace: settings.rules.drain_grace,
            sites: None,
            placing: None,
            hop: settings.tick,
            effects: settings.classes.iter().map(|c| c.effect).collect(),
            retry_after: settings.classes.iter().map(|c| site_loss::retry_after(&settings, c)).collect(),
            balancer: Balancer::new(settings, seed, now),
            requests: BTreeMap::new(),
            next: 0,
            events: VecDeque::new(),
            telling: false,
            actions: Vec::new(),
            tally: Tally::default(),
            orders: VecDeque::new(),
            asks: VecDeque::new(),
            answers: VecDeque::new(),
        }
    }

    /// When a refused request of this class may come again, where the settings allow to say so.
    pub(super) fn retry_after(&self, class: ClassId) -> Option<Micros> {
        self.retry_after.get(class.0).copied().flatten()
    }
}
