//! The balancer: decides which member gets which request. Types, events and actions are in
//! `src/interface.rs`; docs/design.md describes the mechanism.

mod candidates;
mod concurrency;
mod dispatch;
mod list_calls;
mod member;
mod membership;
mod outcome;
mod periodic;

use std::collections::{BTreeMap, BTreeSet};

use self::list_calls::ListCalls;
use self::member::Member;
use crate::interface::*;

/// Number of buckets that session keys are hashed to; the switch in the design that this follows has as many.
const BUCKETS: u64 = 4096;
/// Positions are in whole milliseconds, so the position of a commit was rounded up by less than this.
const POSITION_UNIT: Micros = 1_000;
/// Earlier than any time on the driver's clock, yet far enough from the minimum that subtraction can't
/// overflow.
const NEVER: Micros = -(1 << 60);
const FOREVER: Micros = 1 << 60;
/// Number of rounds within the shortest latency target while requests are held.
const ROUNDS_PER_LATENCY_TARGET: i64 = 10;
/// Number of round gaps within the shortest latency target. A round gap is the shortest time between two
/// rounds.
const ROUND_GAPS_PER_LATENCY_TARGET: i64 = 50;
/// Failure rate (moving average) above which a member is chosen only rarely.
const ERROR_SHARE_LIMIT: f64 = 0.3;
/// Initial concurrency window of a member, in attempts of all drivers together. Each driver starts with a
/// window of at least two.
const INITIAL_WINDOW: f64 = 24.0;
/// Lower bound of a window, as a fraction of the members' mean concurrency. Long answer times that load does
/// not cause, such as those of a slow link, don't get better with less load.
const MIN_WINDOW_SHARE: f64 = 0.3;
/// Lower bound of a window, in attempts of all drivers together. For a single driver the bound is at most one
/// attempt.
const MIN_FLEET_WINDOW: f64 = 4.0;
/// Time constant, in microseconds, of the exponential decay of sums over recent work and load.
const DECAY_US: f64 = 10e6;
/// Mean answer time, as a fraction of the latency target, above which a member counts as overloaded.
const OVERLOAD_LATENCY_SHARE: f64 = 0.28;
/// Bounds of the timeout of a first attempt, as multiples of the usual answer time.
const TIMEOUT_FACTORS: (f64, f64) = (6.0, 24.0);
/// Fraction of answers that may exceed the timeout of a first attempt; the timeout is adapted to this
/// quantile.
const SLOW_ANSWER_SHARE: f64 = 0.003;
/// Fraction of a primary's window that reads may fill which replicas could serve but have no room for.
const PRIMARY_READ_SHARE: f64 = 0.85;
/// How much the concurrency limit of a cold member grows during warm-up, relative to the initial limit. The
/// growth is quadratic in the fraction of capacity reached.
const WARMUP_GROWTH: f64 = 3.0;
/// Number of send slots by which requests worth more than the mean for their work may run ahead at a member
/// whose window is below one.
const MAX_SLOTS_AHEAD: f64 = 2.0;
/// Requests whose worth for their work is below this fraction of the mean count as low-worth.
const LOW_WORTH: f64 = 0.25;
/// Fraction of a member's window that low-worth requests may fill.
const LOW_WORTH_WINDOW_SHARE: f64 = 0.25;
/// Burst of a tenant's rate limit: the share that the tenant left unused is kept for this long.
const TENANT_BURST: Micros = 500_000;
/// A read that earns little after its latency target is held for this fraction of the target, then refused.
const BRIEF_HOLD_SHARE: f64 = 0.12;
/// A read that still earns much is held for this fraction of its client's time before its first attempt, so
/// that a retry by the client can still be answered in time.
const FIRST_ATTEMPT_HOLD_SHARE: f64 = 0.45;
/// Retry budget (token bucket): tokens that each request adds, and the maximum number of tokens. The budget
/// keeps failures from causing a retry storm.
const RETRIES_PER_REQUEST: f64 = 0.2;
const MAX_RETRY_TOKENS: f64 = 2.0;
/// Probe budget (token bucket): the cost in points that probes may add to each request, and the maximum
/// number of tokens.
const PROBE_POINTS_PER_REQUEST: f64 = 0.014;
const MAX_PROBE_TOKENS: f64 = 8.0;
/// The longest time that a read waits for a probe, in half round gaps.
const PROBE_WAIT_HALF_GAPS: i64 = 5;
/// Number of round gaps before the first probe of a suspect; also the time in which a failure counts as
/// immediate.
const PROBE_DELAY_GAPS: i64 = 10;
/// The longest time between two probes of a suspect.
const MAX_PROBE_GAP: Micros = 4_000_000;
/// Refused connects (decayed count) that may be accidental, as when a network resets connections. If more are
/// refused and the member turns out to be running, its connection table is full.
const REFUSED_CONNECTS_TOLERATED: f64 = 2.5;
/// A member that was down for longer than this may have restarted, and counts as cold.
const MIN_RESTART_TIME: Micros = 1_000_000;
/// A member that answered within this time is checked in every round.
const ACTIVE_FOR: Micros = 1_000_000;
/// A suspect gets requests again after this time even if its probes fail.
const MAX_SUSPICION: Micros = 2_000_000;
/// Time constant of the assumed decay of a replica's replication lag.
const LAG_DECAY: Micros = 2_000_000;
/// Answers at intervals longer than this get a larger weight each in the moving averages.
const SPARSE_ANSWER_INTERVAL: Micros = 1_000_000;
/// How long the sum of the weights of warm members is cached.
const WARM_WEIGHT_CACHED_FOR: Micros = 1_000_000;
/// Lower bound on a driver's age in the estimate of members' load.
const MIN_DRIVER_AGE: Micros = 1_000_000;

/// A sum that decays with the time constant [`DECAY_US`], and the time at which it had this value.
type DecayingSum = (f64, Micros);

fn decayed(recent: DecayingSum, now: Micros) -> f64 {
    recent.0 * (-((now - recent.1) as f64) / DECAY_US).exp()
}

fn shortest_latency_target(settings: &Settings) -> Micros {
    settings.classes.iter().map(|c| c.latency_target).min().unwrap_or(0)
}

/// How long to hold a read of a class that earns little after its latency target.
fn brief_hold(class: &Class) -> Micros {
    (class.latency_target as f64 * BRIEF_HOLD_SHARE) as Micros
}

/// A group according to the member list and to the members themselves, with the requests that wait for a
/// member of it.
#[derive(Default)]
struct Group {
    members: BTreeSet<MemberId>,
    primary: Option<MemberId>,
    held: BTreeSet<RequestId>,
}

/// The writes of the sessions whose keys hash to this bucket.
#[derive(Default, Clone)]
struct Bucket {
    /// Sequence number of the latest write whose result is not known yet.
    unsettled_write: Option<u64>,
    /// The commit position that the sessions' reads have to see.
    position: Micros,
}

/// An attempt; it is in flight until it has a result.
struct Attempt {
    zone: ZoneId,
    sent: Micros,
    ending: Option<Ending>,
}

/// A request that has no final answer yet or has attempts in flight.
#[derive(Default)]
struct Request {
    class: ClassId,
    /// What a second execution would do: that of its class, unless a member has shown that the class is wrong.
    effect: Effect,
    group: GroupId,
    bucket: Option<usize>,
    arrived: Micros,
    /// When the client first sent the request; estimated if the request is marked as a retry.
    first_sent: Micros,
    deadline: Micros,
    /// The position that a read of its session needs; `None` if the session has written nothing.
    position_needed: Option<Micros>,
    /// Whether members check the needed position themselves and reject the read if they lag.
    checked: bool,
    /// The sequence number of a write; 0 for reads.
    sequence: u64,
    /// The tenant's index and the time taken from its share; `None` if the request is beyond the share.
    tenant_share: Option<(usize, Micros)>,
    /// Whether a replica has rejected the request, so that only the primary can serve it.
    primary_only: bool,
    /// The replica whose probe the request has waited for.
    probed_replica: Option<MemberId>,
    attempts: Vec<Attempt>,
    answered: bool,
    /// The time from which another attempt may follow the closed connections of earlier ones.
    settled_at: Option<Micros>,
    /// When the first attempt was sent that may have executed and was followed by another one. The window of
    /// a keyed class is counted from this time until the request ends.
    uncertain_since: Option<Micros>,
}

impl Request {
    fn in_flight(&self) -> usize {
        self.attempts.iter().filter(|a| a.ending.is_none()).count()
    }

    /// Whether enough time has passed since connections of earlier attempts were closed.
    fn is_settled(&self, now: Micros) -> bool {
        self.settled_at.is_none_or(|at| now >= at)
    }

    /// The first attempt that may have executed, which includes those in flight.
    fn first_uncertain(&self) -> Option<&Attempt> {
        self.attempts.iter().find(|a| !a.ending.is_some_and(Ending::never_ran))
    }
}

/// Decides where one driver sends its requests.
pub struct Balancer {
    settings: Settings,
    rng: fastrand::Rng,
    members: BTreeMap<MemberId, Member>,
    groups: BTreeMap<GroupId, Group>,
    buckets: Vec<Bucket>,
    sequence: u64,
    requests: BTreeMap<RequestId, Request>,
    /// Open requests by the time at which their final answer is due.
    deadlines: BTreeSet<(Micros, RequestId)>,
    /// Held requests by the time at which to try again: when the close of a connection has taken effect, or
    /// when a probe has been waited for long enough.
    dispatch_due: BTreeSet<(Micros, RequestId)>,
    /// Estimated work per class: the median answer time. Answers of overloaded members do not raise it.
    work: Vec<f64>,
    /// Average time that clients of each class wait for an answer.
    client_waits: Vec<f64>,
    /// Multiple of the usual answer time that nearly all answers stay below.
    tail_factor: f64,
    /// Tokens left in the retry budget.
    retry_tokens: f64,
    /// Tokens left in the probe budget.
    probe_tokens: f64,
    /// When to call for the member list next; `None` if no call is due.
    next_list_call: Option<Micros>,
    list_calls: ListCalls,
    /// Members to check in each round: those that have attempts in flight, answered recently or are suspects.
    active_members: BTreeSet<MemberId>,
    /// Groups that have held requests.
    groups_with_held: BTreeSet<GroupId>,
    /// The shortest time between two rounds, a small fraction of the shortest latency target.
    min_round_gap: Micros,
    /// The time until which connections count as scarce: idle ones are closed, and a refused connect does not
    /// make a member a suspect.
    connections_scarce_until: Micros,
    /// When the next probe of a suspect is due.
    next_suspect_probe: Micros,
    /// When the next round is due.
    next_round_at: Micros,
    /// The latest time for which a timer was set because held requests are due to be tried again.
    dispatch_timer: Micros,
    /// The time at which the driver's latest stall ended.
    stalled_until: Micros,
    /// When the driver started.
    started_at: Micros,
    /// Decayed sum of the work that members have answered.
    recent_work: DecayingSum,
    /// Cached sum of the members' weights, each reduced while it is cold, and when it was computed.
    warm_weight: (f64, Micros),
    /// Moving average of requests' worth per work.
    mean_worth_per_work: f64,
    /// Moving average of primaries' answer times, as a fraction of the latency target, and its last update.
    primary_load: DecayingSum,
    /// For each tenant, the time from which its next request counts as within its share.
    tenant_share_times: Vec<Micros>,
}

impl Balancer {
    /// Creates a balancer that knows no members and has no requests.
    pub fn new(settings: Settings, seed: u64, now: Micros) -> Self {
        Balancer {
            rng: fastrand::Rng::with_seed(seed),
            members: BTreeMap::new(),
            groups: BTreeMap::new(),
            buckets: vec![Bucket { position: NEVER, ..Bucket::default() }; BUCKETS as usize],
            sequence: 0,
            requests: BTreeMap::new(),
            deadlines: BTreeSet::new(),
            dispatch_due: BTreeSet::new(),
            work: settings.classes.iter().map(|c| (c.latency_target as f64 / 4.0).max(1.0)).collect(),
            client_waits: settings.classes.iter().map(|c| c.deadline as f64).collect(),
            tail_factor: (TIMEOUT_FACTORS.0 + TIMEOUT_FACTORS.1) / 2.0,
            retry_tokens: MAX_RETRY_TOKENS,
            probe_tokens: MAX_PROBE_TOKENS,
            next_list_call: settings.list_on_request.then_some(now),
            list_calls: ListCalls::new(now, settings.fleet_size),
            active_members: BTreeSet::new(),
            groups_with_held: BTreeSet::new(),
            min_round_gap: (shortest_latency_target(&settings) / ROUND_GAPS_PER_LATENCY_TARGET)
                .clamp(1_000, 10_000),
            connections_scarce_until: NEVER,
            next_suspect_probe: FOREVER,
            next_round_at: now,
            dispatch_timer: NEVER,
            stalled_until: now,
            started_at: now,
            recent_work: (0.0, now),
            warm_weight: (1.0, NEVER),
            mean_worth_per_work: 0.0,
            primary_load: (0.0, now),
            tenant_share_times: vec![NEVER; settings.tenants.len()],
            settings,
        }
    }

    /// Counts the known members, the listed ones and those that get no new attempts.
    pub fn member_counts(&self) -> MemberCounts {
        let listed = self.members.values().filter(|m| m.entry.phase != Phase::Removed);
        let avoided = listed.clone().filter(|m| !m.is_usable()).count();
        MemberCounts { known: self.members.len(), listed: listed.count(), unavailable: avoided }
    }

    /// Whether an open request exceeds its tenant's share.
    pub fn exceeds_share(&self, id: RequestId) -> bool {
        self.requests.get(&id).is_some_and(|r| r.tenant_share.is_none())
            && !self.tenant_share_times.is_empty()
    }

    /// Processes one event and appends the resulting actions.
    pub fn handle(&mut self, now: Micros, event: Event, actions: &mut Vec<Action>) {
        let due = now >= self.next_round_at;
        // After a stall of the driver, everything that arrived meanwhile is delivered at once. Members must
        // not count as silent for the time of the stall.
        if now > self.next_round_at + self.settings.tick + self.min_round_gap {
            self.stalled_until = now;
        }
        match event {
            Event::Members { kind, entries } => self.on_members(now, kind, entries),
            Event::Request(arrival) => self.on_request(now, arrival, actions),
            Event::Outcome(outcome) => self.on_outcome(now, outcome, actions),
            Event::Gone { request } => self.close(now, request, actions),
            Event::Probed(probed) => self.on_probed(now, probed, actions),
            Event::Maintenance { member, out } => self.on_maintenance(now, member, out),
            Event::Timer { tag: _ } | Event::Peer { from: _, body: _ } => {}
        }
        self.dispatch_due_requests(now, actions);
        if due {
            self.next_round_at = FOREVER;
            self.run_round(now, actions);
        }
        let next = self.next_round(now).max(now + 1);
        if next < self.next_round_at {
            self.next_round_at = next;
            actions.push(Action::Timer { tag: TimerTag(0), at: next });
        }
        // This timer only dispatches and runs no full round, which would shed other held requests earlier
        // than planned.
        let resume = self.dispatch_due.first().map(|(at, _)| (*at).max(now + 1));
        if let Some(at) = resume.filter(|at| *at != self.dispatch_timer) {
            self.dispatch_timer = at;
            actions.push(Action::Timer { tag: TimerTag(0), at });
        }
    }

    /// When the next round is due. With nothing to do no timer is set, so that an idle driver uses no CPU
    /// time; attempts in flight are checked about once per usual answer time.
    fn next_round(&self, now: Micros) -> Micros {
        let target = shortest_latency_target(&self.settings);
        let held = if self.groups_with_held.is_empty() {
            FOREVER
        } else {
            now + (target / ROUNDS_PER_LATENCY_TARGET).max(self.min_round_gap)
        };
        let out = if self.deadlines.is_empty() {
            FOREVER
        } else {
            now + self.shortest_work().max(self.min_round_gap)
        };
        let (due, ask) =
            (self.deadlines.first().map_or(FOREVER, |d| d.0), self.next_list_call.unwrap_or(FOREVER));
        held.min(out).min(due).min(ask).min(self.next_suspect_probe)
    }

    fn shortest_work(&self) -> Micros {
        self.work.iter().copied().fold(DECAY_US, f64::min) as Micros
    }

    fn on_request(&mut self, now: Micros, arrival: Arrival, actions: &mut Vec<Action>) {
        let Arrival { request: id, class, group, key, deadline, since_write, repeat, checked, .. } = arrival;
        let Some(c) = self.settings.classes.get(class.0) else {
            return actions.push(Action::Fail { request: id });
        };
        // A retry has the time that remains of its client's first try. Clients of a class wait for about the
        // same time, so the difference to the usual time tells when the first try began.
        let (wait, usual) = ((deadline - now) as f64, &mut self.client_waits[class.0]);
        *usual += if repeat { 0.0 } else { 0.05 * (wait - *usual) };
        let began = if repeat { now - (*usual - wait).clamp(0.0, c.deadline as f64) as Micros } else { now };
        let write = c.read == ReadLevel::Write;
        let bucket = key.map(|k| (hash_key(k ^ hash_key(group.0)) % BUCKETS) as usize);
        let need = match self.settings.session_tracking {
            SessionTracking::ByRequest => since_write.map(|ago| now - ago + POSITION_UNIT),
            SessionTracking::ByDriver => bucket.map(|b| self.buckets[b].position),
        };
        let share = self.take_share(now, arrival.tenant);
        self.sequence += 1;
        let sequence = if write { self.sequence } else { 0 };
        let r = Request {
            class,
            effect: self.settings.classes[class.0].effect,
            group,
            bucket,
            arrived: now,
            first_sent: began,
            deadline,
            position_needed: need,
            ..Request::default()
        };
        let r = Request { checked, tenant_share: share, sequence, ..r };
        self.retry_tokens = (self.retry_tokens + RETRIES_PER_REQUEST).min(MAX_RETRY_TOKENS);
        let tokens_per_request =
            (PROBE_POINTS_PER_REQUEST / self.settings.penalties.probe.max(PROBE_POINTS_PER_REQUEST)).min(0.5);
        self.probe_tokens = (self.probe_tokens + tokens_per_request).min(MAX_PROBE_TOKENS);
        self.deadlines.insert((deadline, id));
        self.mean_worth_per_work += 0.05 * (self.worth_per_work(now, &r) - self.mean_worth_per_work);
        self.requests.insert(id, r);
        self.enqueue(group, id);
        if now - self.warm_weight.1 > WARM_WEIGHT_CACHED_FOR {
            let up = self.members.values().filter(|m| m.is_usable());
            self.warm_weight = (up.map(|m| m.entry.weight * self.capacity_share(now, m)).sum(), now);
        }
        self.dispatch(now, group, actions);
    }

    /// Charges a request to its tenant's share on this driver. Returns the tenant's index and the time
    /// charged, or `None` if the share is used up.
    fn take_share(&mut self, now: Micros, tenant: Option<TenantId>) -> Option<(usize, Micros)> {
        let t = tenant?.0;
        let rate = self.settings.tenants.get(t)?.rate.max(1e-6) / f64::from(self.settings.fleet_size);
        let (next, gap) =
            (self.tenant_share_times.get_mut(t).filter(|next| **next <= now)?, (1e6 / rate) as Micros);
        *next = (*next).max(now - TENANT_BURST) + gap;
        Some((t, gap))
    }

    fn on_outcome(&mut self, now: Micros, outcome: Outcome, actions: &mut Vec<Action>) {
        let Outcome {
            request: id,
            attempt,
            member,
            ending,
            last,
            elapsed,
            note,
            report,
            settled_at,
            rejected_as_write,
        } = outcome;
        self.record_answer_report(now - elapsed, member, report);
        let class = self.requests.get(&id).map(|r| &self.settings.classes[r.class.0]);
        let write = class.is_some_and(|c| c.read == ReadLevel::Write);
        if let Some(note) = note {
            // The position of a successful write was rounded up.
            let position =
                note.position.map(|p| if write && ending == Ending::Ok { p - POSITION_UNIT } else { p });
            let report_of_answer = Report { position, primary: Some(note.primary), ..Report::default() };
            self.record_report(now, now, member, report_of_answer);
        }
        let Some(r) = self.requests.get_mut(&id) else { return };
        let Some(a) = r.attempts.get_mut(attempt as usize).filter(|a| a.ending.is_none()) else { return };
        a.ending = Some(ending);
        r.settled_at = r.settled_at.max(settled_at);
        if rejected_as_write {
            r.effect = self.settings.classes[r.class.0].effect_once_rejected_as_write();
        }
        let (sent, class, group) = (a.sent, r.class, r.group);
        let (bucket, sequence) = (r.bucket.filter(|_| write && ending == Ending::Ok), r.sequence);
        if let Some(m) = self.members.get_mut(&member) {
            m.in_flight.remove(&(sent, id, attempt));
        }
        self.update_health(now, &outcome, class);
        if now < self.connections_scarce_until
            && self.members.get(&member).is_some_and(|m| m.in_flight.is_empty())
        {
            actions.push(Action::Close { member });
        }
        if let Some(b) = bucket.map(|b| &mut self.buckets[b]) {
            b.position = b.position.max(note.and_then(|n| n.position).unwrap_or(now));
            b.unsettled_write = b.unsettled_write.filter(|latest| *latest != sequence);
        }
        let r = &self.requests[&id];
        if last || r.answered {
            self.close(now, id, actions);
        } else if r.in_flight() == 0 {
            // A rejected attempt costs a member no work, and an error costs little at a member that is not
            // overloaded. All other retries use up the retry budget.
            let has_room = self.members.get(&member).is_some_and(|m| m.load <= OVERLOAD_LATENCY_SHARE);
            let without_token = write && ending.never_ran() || has_room && ending == Ending::Error;
            self.retry_or_give_up(now, id, ending, without_token || ending == Ending::Miss, actions);
        }
        self.dispatch(now, group, actions);
    }

    fn on_probed(&mut self, now: Micros, probed: Probed, actions: &mut Vec<Action>) {
        let Probed { member: id, ending, elapsed, report } = probed;
        let Some(m) = self.members.get_mut(&id) else { return };
        m.probe_sent_at = None;
        let group = m.entry.group;
        if ending == Ending::Ok {
            // The member refused connections and yet is running, too soon to have restarted: its connection
            // table is full of idle connections.
            if m.suspect
                && m.may_be_down
                && now - m.health_changed_at < MIN_RESTART_TIME
                && decayed(m.refused_connects, now) > REFUSED_CONNECTS_TOLERATED
            {
                self.connections_scarce_until = now + DECAY_US as Micros;
            }
            m.recover(now);
        }
        // A failed probe alone does not make a member a suspect: members may serve requests while their
        // probes fail.
        self.record_answer_report(now - elapsed, id, report);
        self.dispatch(now, group, actions);
    }
}

/// Hashes a key (the finalizer of splitmix64).
fn hash_key(mut x: u64) -> u64 {
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}
