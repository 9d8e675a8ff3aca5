//! State of the exchange: open requests, the balancer, and the queues to the frontend, the backend and
//! discovery.

use std::collections::{BTreeMap, VecDeque};

use gradeshunt_sites::proxy::Sites;
use leadmast::permission::AttemptLimits;
use leadmast::{Action, Balancer, Class, ClassId, Effect, Event, Micros, RequestId, Settings};

use super::messages::{Answer, BackendCommand, DiscoveryCall};
use super::request::Request;
use super::tally::SummaryCounts;
use crate::figures::{Metrics, OutcomeCounts, TenantCount};
use crate::placing::PlacementRouter;
use crate::site_loss;

/// Tracks requests and attempts, and carries out the balancer's decisions.
pub struct Exchange {
    pub(super) balancer: Balancer,
    pub(super) answer_slack: Micros,
    pub(super) limits: AttemptLimits,
    pub(super) drain_grace: Micros,
    pub(super) requests: BTreeMap<RequestId, Request>,
    pub(super) next_request: u64,
    pub(super) events: VecDeque<Event>,
    pub(super) is_handling_event: bool,
    pub(super) actions: Vec<Action>,
    pub(super) summary_counts: SummaryCounts,
    pub(super) figures: Metrics,
    /// Names of the tenants, in the order of [`Metrics::tenants`]; empty where the settings name none.
    pub(super) tenants: Vec<String>,
    /// The operators' plan for the loss of a site, if there is one. `crate::proxy::sites` carries out its
    /// actions.
    pub sites: Option<Sites>,
    /// Decides which requests go to other proxies, where operators have a placement file.
    pub placing: Option<PlacementRouter>,
    /// The longest time that an answer takes from one proxy to another.
    pub(super) forward_time: Micros,
    /// Indexed by class.
    pub(super) effects: Vec<Effect>,
    /// The effect of a request that a db host has refused as a write; indexed by class.
    pub(super) effects_once_refused_as_writes: Vec<Effect>,
    /// Indexed by class.
    pub(super) retry_after: Vec<Option<Micros>>,
    /// Commands for the backend.
    pub backend_commands: VecDeque<BackendCommand>,
    /// Calls to discovery.
    pub discovery_calls: VecDeque<DiscoveryCall>,
    /// Answers for the frontend.
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
            answer_slack: settings.rules.answer_slack,
            limits: AttemptLimits {
                max_attempts: settings.allowed.max_attempts,
                // This proxy never runs two attempts of a request at once, whatever the settings allow.
                second_copies: false,
                margin: settings.tick,
            },
            drain_grace: settings.rules.drain_grace,
            sites: None,
            placing: None,
            forward_time: settings.tick,
            effects: settings.classes.iter().map(|c| c.effect).collect(),
            effects_once_refused_as_writes: settings
                .classes
                .iter()
                .map(Class::effect_once_rejected_as_write)
                .collect(),
            retry_after: settings.classes.iter().map(|c| site_loss::retry_after(&settings, c)).collect(),
            balancer: Balancer::new(settings, seed, now),
            requests: BTreeMap::new(),
            next_request: 0,
            events: VecDeque::new(),
            is_handling_event: false,
            actions: Vec::new(),
            summary_counts: SummaryCounts::default(),
            backend_commands: VecDeque::new(),
            discovery_calls: VecDeque::new(),
            answers: VecDeque::new(),
        }
    }

    /// The time after which a refused request of this class may be sent again, where the settings allow
    /// stating it.
    pub(super) fn retry_after(&self, class: ClassId) -> Option<Micros> {
        self.retry_after.get(class.0).copied().flatten()
    }
}
