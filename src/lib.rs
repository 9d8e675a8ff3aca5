//! leadmast decides which member of a sharded, replicated database gets each query.
//!
//! It does no I/O and reads no clock: a driver passes each [`Event`] with the time to [`Balancer::handle`]
//! and executes the resulting [`Action`]s in order. Each driver has its own instance.
//!
//! ```
//! use leadmast::*;
//!
//! let settings = Settings {
//!     classes: vec![Class {
//!         latency_target: 100_000, deadline: 1_000_000, worth: 1.0, late_worth: 0.0,
//!         effect: Effect::Safe, read: ReadLevel::Any,
//!     }],
//!     zone: ZoneId(0), fleet_size: 1, driver_index: 0, tick: 1_000,
//!     list_on_request: false,
//!     listed_role: ListedRole::Delayed, session_tracking: SessionTracking::ByRequest,
//!     lag_policy: LagPolicy::AnswerStale, answers_carry_positions: true,
//!     rules: Rules {
//!         answer_slack: 20_000, initial_capacity_share: 0.2, warm_up_time: 10_000_000, drain_grace: 500_000,
//!         overload_multiple: 2.5, overload_time: 1_500_000, max_list_age: 10_000_000,
//!         delisted_stay_open: false,
//!     },
//!     allowed: Allowed {
//!         max_attempts: 4, second_copies: true, probes: true, cancel: true, peers: false,
//!         retry_after: true, max_retry_after: 500_000,
//!     },
//!     penalties: Penalties { probe: 0.02, cross_zone: 0.0, waste: 0.05 },
//!     tenants: Vec::new(),
//!     over_share_worth: 1.0,
//! };
//! let mut balancer = Balancer::new(settings, 7, 0);
//! let mut actions = Vec::new();
//! let entry = |n, leader| Entry {
//!     member: MemberId(n), common: n.into(), group: GroupId(1), zone: ZoneId(0), weight: 1.0, since: None,
//!     phase: Phase::Up, leader,
//! };
//! let list = vec![entry(0, true), entry(1, false)];
//! balancer.handle(0, Event::Members { kind: ListKind::Full, entries: list }, &mut actions);
//! actions.clear();
//! let read = Event::Request(Arrival {
//!     request: RequestId(1), class: ClassId(0), group: GroupId(1), key: None,
//!     deadline: 1_000_000, since_write: None, repeat: false, checked: true, tenant: None,
//! });
//! balancer.handle(5_000, read, &mut actions);
//! // The read goes to the replica, not to the primary.
//! assert!(actions.iter().any(|a| matches!(a, Action::Send { member: MemberId(1), .. })));
//! ```

pub mod balance;
pub mod interface;
pub mod invariant;
pub mod permission;
pub mod settings;

pub use balance::Balancer;
pub use interface::*;
