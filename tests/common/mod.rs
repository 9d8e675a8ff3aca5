//! A driver for tests: it hands events to a balancer, keeps the time and the timers, and logs the actions.

// Each test file uses only a part of this module.
#![allow(dead_code)]

use std::collections::BTreeMap;

use leadmast::*;

pub const GROUP: GroupId = GroupId(1);
pub const PRIMARY: MemberId = MemberId(0);
pub const REPLICA: MemberId = MemberId(1);
pub const THIRD: MemberId = MemberId(2);

/// A request class, given by its read level and its effect.
pub type ClassKind = (ReadLevel, Effect);
pub const ANY: ClassKind = (ReadLevel::Any, Effect::Safe);
pub const BOUNDED: ClassKind = (ReadLevel::Bounded(300_000), Effect::Safe);
pub const SESSION: ClassKind = (ReadLevel::Session, Effect::Safe);
pub const FRESH: ClassKind = (ReadLevel::Fresh, Effect::Safe);
pub const WRITE: ClassKind = (ReadLevel::Write, Effect::Keyed { scope: Scope::Group, window: 2_000_000 });
pub const UNSAFE: ClassKind = (ReadLevel::Write, Effect::Unsafe);

pub fn settings(kinds: Vec<ClassKind>) -> Settings {
    let class = |(read, effect): ClassKind| Class {
        latency_target: 200_000,
        deadline: 900_000,
        worth: 1.0,
        late_worth: 0.0,
        effect,
        read,
    };
    Settings {
        classes: kinds.into_iter().map(class).collect(),
        zone: ZoneId(0),
        fleet_size: 1,
        driver_index: 0,
        tick: 5_000,
        list_on_request: false,
        listed_role: ListedRole::Delayed,
        session_tracking: SessionTracking::ByDriver,
        lag_policy: LagPolicy::AnswerStale,
        answers_carry_positions: true,
        rules: Rules {
            answer_slack: 20_000,
            initial_capacity_share: 0.2,
            warm_up_time: 10_000_000,
            drain_grace: 500_000,
            overload_multiple: 2.5,
            overload_time: 1_500_000,
            max_list_age: 10_000_000,
            delisted_stay_open: false,
        },
        allowed: Allowed {
            max_attempts: 6,
            second_copies: true,
            probes: true,
            cancel: true,
            peers: false,
            retry_after: true,
            max_retry_after: 500_000,
        },
        penalties: Penalties { probe: 0.02, cross_zone: 0.0, waste: 0.05 },
        tenants: Vec::new(),
        over_share_worth: 1.0,
    }
}

/// Settings of a deployment with keyed writes, with db hosts that refuse a read if their data is too old for
/// it, and without tenants.
pub fn keyed_deployment() -> Settings {
    let mut s = settings(vec![(ReadLevel::Bounded(200_000), Effect::Safe), SESSION, WRITE]);
    let figures =
        [(500_000, 1_200_000, 2.0, 0.0), (600_000, 2_000_000, 1.0, 0.0), (600_000, 3_000_000, 3.0, 0.3)];
    for (c, (aim, deadline, worth, late_worth)) in s.classes.iter_mut().zip(figures) {
        (c.latency_target, c.deadline, c.worth, c.late_worth) = (aim, deadline, worth, late_worth);
    }
    (s.session_tracking, s.lag_policy, s.listed_role) =
        (SessionTracking::ByRequest, LagPolicy::Reject, ListedRole::Initial);
    (s.allowed.max_attempts, s.allowed.second_copies, s.allowed.max_retry_after) = (8, false, 2_000_000);
    s
}

/// Settings of a deployment with writes that must never run twice, with db hosts that answer a read however
/// old their data is, with a member list that names no primary, and with three tenants.
pub fn shared_deployment() -> Settings {
    let mut s = settings(vec![(ReadLevel::Bounded(200_000), Effect::Safe), SESSION, UNSAFE]);
    let figures =
        [(250_000, 750_000, 3.0, 0.2), (500_000, 1_500_000, 2.0, 0.2), (500_000, 5_000_000, 3.0, 0.3)];
    for (c, (aim, deadline, worth, late_worth)) in s.classes.iter_mut().zip(figures) {
        (c.latency_target, c.deadline, c.worth, c.late_worth) = (aim, deadline, worth, late_worth);
    }
    (s.session_tracking, s.lag_policy, s.listed_role) =
        (SessionTracking::ByRequest, LagPolicy::AnswerStale, ListedRole::Unlisted);
    (s.allowed.max_attempts, s.allowed.second_copies, s.allowed.max_retry_after) = (10, true, 500_000);
    s.tenants = [100.0, 60.0, 40.0].map(|rate| Tenant { rate }).to_vec();
    s.over_share_worth = 0.1;
    s
}

pub fn entry(member: MemberId, leader: bool) -> Entry {
    Entry {
        member,
        common: member.0.into(),
        group: GROUP,
        zone: ZoneId(0),
        weight: 1.0,
        since: None,
        phase: Phase::Up,
        leader,
    }
}

pub struct Driver {
    pub balancer: Balancer,
    classes: Vec<Class>,
    now: Micros,
    timers: BTreeMap<Micros, TimerTag>,
    probing: Vec<MemberId>,
    pub log: Vec<(Micros, Action)>,
    /// Unanswered attempts by request and number: the member they were sent to, and the time at which they
    /// time out.
    unanswered: BTreeMap<(u64, u32), (MemberId, Micros)>,
    finished: Vec<u64>,
    /// The tenant that sends the following requests.
    pub tenant: Option<TenantId>,
}

impl Driver {
    pub fn new(settings: Settings) -> Self {
        Driver::seeded(settings, 42)
    }

    pub fn seeded(settings: Settings, seed: u64) -> Self {
        let classes = settings.classes.clone();
        let balancer = Balancer::new(settings, seed, 0);
        let mut d = Driver {
            balancer,
            classes,
            now: 0,
            timers: BTreeMap::new(),
            probing: Vec::new(),
            log: Vec::new(),
            unanswered: BTreeMap::new(),
            finished: Vec::new(),
            tenant: None,
        };
        d.handle(Event::Timer { tag: TimerTag(0) });
        d
    }

    pub fn now(&self) -> Micros {
        self.now
    }

    /// Sets the clock without firing timers or timing out attempts.
    pub fn at(&mut self, now: Micros) {
        assert!(now >= self.now);
        self.now = now;
    }

    /// Hands an event to the balancer and carries out the actions that it returns.
    pub fn handle(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.balancer.handle(self.now, event, &mut actions);
        for action in actions {
            match &action {
                Action::Timer { tag, at } => {
                    assert!(*at > self.now);
                    self.timers.insert(*at, *tag);
                }
                Action::Probe { member } => self.probing.push(*member),
                Action::Send { request, member, timeout } => {
                    assert!(
                        !self.finished.contains(&request.0),
                        "attempt sent after the request was over: {request:?}"
                    );
                    let attempt = self.sent(request.0).len() as u32;
                    self.unanswered.insert((request.0, attempt), (*member, self.now + *timeout));
                }
                Action::Refuse { request, .. } | Action::Fail { request } => {
                    assert!(!self.finished.contains(&request.0), "answered twice: {request:?}");
                    self.finished.push(request.0);
                }
                Action::Cancel { .. } | Action::Close { .. } | Action::Watch | Action::Fetch => {}
            }
            self.log.push((self.now, action));
        }
    }

    /// Advances the clock to `until`, firing the timers that are due and timing out attempts.
    pub fn run_to(&mut self, until: Micros) {
        loop {
            let timer = self.timers.first_key_value().map(|(at, _)| *at);
            let late = self.unanswered.iter().map(|(k, v)| (v.1, *k, v.0)).min();
            match (timer, late) {
                (_, Some((at, (id, n), member))) if at <= until && timer.is_none_or(|t| at <= t) => {
                    self.now = self.now.max(at);
                    let last = self.finished.contains(&id);
                    self.end((id, n, member), Ending::Timeout, None, last);
                }
                (Some(at), _) if at <= until => {
                    let tag = self.timers.remove(&at).unwrap();
                    self.now = self.now.max(at);
                    self.handle(Event::Timer { tag });
                }
                _ => break,
            }
        }
        self.now = until;
    }

    /// Hands over a member list.
    pub fn list(&mut self, kind: ListKind, entries: Vec<Entry>) {
        self.handle(Event::Members { kind, entries });
    }

    /// Hands over a complete list of these members, of which `leader` is the primary.
    pub fn members(&mut self, members: &[MemberId], leader: MemberId) {
        let entries = members.iter().map(|m| entry(*m, *m == leader)).collect();
        self.list(ListKind::Full, entries);
    }

    /// Answers a probe of a replica with the replica's position.
    pub fn position(&mut self, member: MemberId, position: Micros) {
        self.report(member, position, false);
    }

    /// Answers a probe with the member's position and role.
    pub fn report(&mut self, member: MemberId, position: Micros, primary: bool) {
        self.probing.retain(|m| *m != member);
        let report = Report { position: Some(position), primary: Some(primary), ..Report::default() };
        self.handle(Event::Probed(Probed { member, ending: Ending::Ok, elapsed: 0, report: Some(report) }));
    }

    /// Answers a probe of the member without a report: the member is up.
    pub fn answer_probe(&mut self, member: MemberId) {
        self.handle(Event::Probed(Probed { member, ending: Ending::Ok, elapsed: 0, report: None }));
    }

    /// Whether a probe of the member is unanswered.
    pub fn is_probing(&self, member: MemberId) -> bool {
        self.probing.contains(&member)
    }

    /// Answers all outstanding probes without a report.
    pub fn answer_probes(&mut self) {
        for member in std::mem::take(&mut self.probing) {
            self.answer_probe(member);
        }
    }

    pub fn request(&mut self, id: u64, kind: ClassKind, key: Option<u64>) {
        self.request_since(id, kind, key, None);
    }

    pub fn request_since(&mut self, id: u64, kind: ClassKind, key: Option<u64>, since_write: Option<Micros>) {
        let class = self.classes.iter().position(|c| (c.read, c.effect) == kind).unwrap();
        self.arrive(id, class, GROUP, key, since_write);
    }

    /// Hands over a client's repeat of a request, with `left` until the client's deadline.
    pub fn repeat(&mut self, id: u64, kind: ClassKind, left: Micros) {
        let class = self.classes.iter().position(|c| (c.read, c.effect) == kind).unwrap();
        let (request, class, deadline) = (RequestId(id), ClassId(class), self.now + left);
        let (group, key, since_write) = (GROUP, None, None);
        self.handle(Event::Request(Arrival {
            request,
            class,
            group,
            key,
            deadline,
            since_write,
            repeat: true,
            checked: true,
            tenant: self.tenant,
        }));
    }

    pub fn request_in(&mut self, id: u64, class: usize, group: GroupId) {
        self.arrive(id, class, group, Some(id), None);
    }

    fn arrive(&mut self, id: u64, class: usize, group: GroupId, key: Option<u64>, since: Option<Micros>) {
        let deadline = self.now + self.classes.get(class).map_or(100_000, |c| c.deadline);
        self.handle(Event::Request(Arrival {
            request: RequestId(id),
            class: ClassId(class),
            group,
            key,
            deadline,
            since_write: since,
            repeat: false,
            checked: true,
            tenant: self.tenant,
        }));
    }

    /// Sends a write and returns its first attempt as request, attempt number and member.
    pub fn write(&mut self, id: u64, key: u64) -> (u64, u32, MemberId) {
        self.request(id, WRITE, Some(key));
        (id, 0, *self.sent(id).last().expect("the write has been sent to a member"))
    }

    pub fn ok(&mut self, attempt: (u64, u32, MemberId), position: Option<Micros>, primary: bool) {
        self.ok_after(attempt, position, primary, 20_000);
    }

    pub fn ok_after(
        &mut self,
        at: (u64, u32, MemberId),
        position: Option<Micros>,
        primary: bool,
        elapsed: Micros,
    ) {
        self.finished.push(at.0);
        self.end_after(at, Ending::Ok, Some(Note { position, primary }), true, elapsed);
        self.finished.pop();
    }

    /// Returns the unanswered attempts, each as request, attempt number and member, with the time at which it
    /// was sent.
    pub fn unanswered(&self) -> Vec<((u64, u32, MemberId), Micros)> {
        let sent = |id: u64, n: u32| {
            let sends =
                self.log.iter().filter(|(_, a)| matches!(a, Action::Send { request, .. } if request.0 == id));
            sends.map(|s| s.0).nth(n as usize).unwrap()
        };
        self.unanswered.iter().map(|(k, v)| ((k.0, k.1, v.0), sent(k.0, k.1))).collect()
    }

    pub fn end(&mut self, at: (u64, u32, MemberId), ending: Ending, note: Option<Note>, last: bool) {
        self.end_after(at, ending, note, last, 20_000);
    }

    pub fn fail_to_connect(&mut self, at: (u64, u32, MemberId), elapsed: Micros) {
        self.end_after(at, Ending::ConnectFailed, None, false, elapsed);
    }

    /// Ends an attempt that took `elapsed`; `last` says whether this also ends its request.
    pub fn end_after(
        &mut self,
        (id, attempt, member): (u64, u32, MemberId),
        ending: Ending,
        note: Option<Note>,
        last: bool,
        elapsed: Micros,
    ) {
        let outcome = outcome((id, attempt, member), ending);
        self.conclude(Outcome { last, elapsed, note, ..outcome });
    }

    /// Ends an attempt whose connection was closed before an answer came; the next attempt is allowed from
    /// `settled_at` on.
    pub fn end_closed(&mut self, at: (u64, u32, MemberId), ending: Ending, settled_at: Micros) {
        self.conclude(Outcome { settled_at: Some(settled_at), ..outcome(at, ending) });
    }

    /// Ends an attempt whose member refused it as a write.
    pub fn end_rejected_as_write(&mut self, at: (u64, u32, MemberId)) {
        self.conclude(Outcome { rejected_as_write: true, ..outcome(at, Ending::Miss) });
    }

    fn conclude(&mut self, outcome: Outcome) {
        self.unanswered.remove(&(outcome.request.0, outcome.attempt));
        self.handle(Event::Outcome(outcome));
    }

    /// The members to which a request's attempts were sent, in order.
    pub fn sent(&self, id: u64) -> Vec<MemberId> {
        let sends = self.log.iter().filter_map(|(_, a)| match a {
            Action::Send { request, member, .. } if request.0 == id => Some(*member),
            _ => None,
        });
        sends.collect()
    }

    /// The number of attempts that were sent to a member.
    pub fn sends_to(&self, to: MemberId) -> usize {
        self.log.iter().filter(|(_, a)| matches!(a, Action::Send { member, .. } if *member == to)).count()
    }

    pub fn refusals(&self, id: u64) -> usize {
        let refused = |a: &Action| matches!(a, Action::Refuse { request, .. } if request.0 == id);
        self.log.iter().filter(|(_, a)| refused(a)).count()
    }

    /// The number of final answers (refusals and failures) that the balancer itself has given to a request.
    pub fn final_answers(&self, id: u64) -> usize {
        let failed = |a: &Action| matches!(a, Action::Fail { request } if request.0 == id);
        self.refusals(id) + self.log.iter().filter(|(_, a)| failed(a)).count()
    }

    pub fn watches(&self) -> usize {
        self.log.iter().filter(|(_, a)| *a == Action::Watch).count()
    }
}

/// An attempt that ended after 20 ms, with nothing known of its member.
fn outcome((id, attempt, member): (u64, u32, MemberId), ending: Ending) -> Outcome {
    Outcome {
        request: RequestId(id),
        attempt,
        member,
        ending,
        last: false,
        elapsed: 20_000,
        note: None,
        report: None,
        settled_at: None,
        rejected_as_write: false,
    }
}
