//! The decisions. Types, events and actions stand in `src/interface.rs`; docs/design.md tells the mechanism.

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

/// Buckets of session keys, as many as the source's switch holds.
const BUCKETS: u64 = 4096;
/// Positions come in whole milliseconds: a commit was rounded up by less than this.
const POSITION_UNIT: Micros = 1_000;
/// Before any time that a clock shows, with room to subtract.
const NEVER: Micros = -(1 << 60);
const FOREVER: Micros = 1 << 60;
/// Rounds in the shortest aim while requests are held.
const ROUNDS_PER_AIM: i64 = 10;
/// Paces in the shortest aim; a pace is the shortest time between rounds.
const PACES_PER_AIM: i64 = 50;
/// Failure rate (moving average) above which a member is hardly drawn any more.
const ERROR_SHARE_LIMIT: f64 = 0.3;
/// Initial concurrency window of a member, in attempts of all drivers together; each driver starts with two at least.
const INITIAL_WINDOW: f64 = 24.0;
/// A window never shrinks below this share of the mean concurrency of members: less load does not cure, say, a slow link.
const MIN_WINDOW_SHARE: f64 = 0.3;
/// Nor below what allows this many attempts at a member from all drivers together; for one driver it need not exceed one.
const MIN_FLEET_WINDOW: f64 = 4.0;
/// Time constant of the exponential decay of sums of recent work and load, in microseconds.
const DECAY_US: f64 = 10e6;
/// Mean answer time, as a share of the aim, above which a member counts as crowded.
const CROWDED: f64 = 0.28;
/// Least and greatest timeout of a first attempt, as multiples of the usual answer time.
const TIMEOUT_FACTORS: (f64, f64) = (6.0, 24.0);
/// Share of answers that may take longer than that timeout: it is adapted to this quantile.
const TAIL_SHARE: f64 = 0.003;
/// Share of a primary's window that reads which replicas could serve may fill while those are full.
const PRIMARY_READ_SHARE: f64 = 0.85;
/// Growth of the limit on a cold member's concurrency over its warm-up, beside the first value; quadratic in its share.
const WARMUP_GROWTH: f64 = 3.0;
/// Turns that a member with a window below one grants in advance to requests worth more than the mean for their work.
const MAX_TURNS_AHEAD: f64 = 2.0;
/// Requests worth less than this share of the mean for their work count as low in worth.
const LOW_WORTH: f64 = 0.25;
/// Share of a member's window that those may fill.
const LOW_WORTH_ROOM: f64 = 0.25;
/// Burst of a tenant's rate limit: its unused share is kept for this long.
const TENANT_BURST: Micros = 500_000;
/// A read that is worth little when late is held for this share of its aim, then refused.
const BRIEF_HOLD_SHARE: f64 = 0.12;
/// One that is worth more is held for this share of its time before its first attempt, so that a repeat by its client
/// can still be in time.
const FIRST_ATTEMPT_HOLD_SHARE: f64 = 0.45;
/// Retry budget (token bucket): tokens earned by each request, and the most that are kept. Failures can't turn into a
/// retry storm.
const RETRIES_PER_REQUEST: f64 = 0.2;
const MAX_RETRY_TOKENS: f64 = 2.0;
/// Probe budget: points that probes may cost for each request, as a share of one, and the most tokens that are kept.
const PROBE_POINTS: f64 = 0.014;
const MAX_PROBE_TOKENS: f64 = 8.0;
/// Twice the longest wait of a read for a probe, in paces.
const PROBE_WAIT_PACES: i64 = 5;
/// Paces in the first gap between probes of a suspect.
const PROBE_GAP_PACES: i64 = 10;
/// The longest gap between probes of a suspect.
const MAX_PROBE_GAP: Micros = 4_000_000;
/// Refused connects of late that can be accidents, as when a network resets them; more, of a
/// member that runs, mean that its connection table is full.
const REFUSED_CONNECTS_TOLERATED: f64 = 2.5;
/// A member that was down for this long may have restarted, and counts as cold.
const RESTART_TAKES: Micros = 1_000_000;
/// A member that was heard of within this time is looked over in each round.
const ACTIVE_FOR: Micros = 1_000_000;
/// After this long a suspect gets requests again though its probes fail.
const SUSPECT_TRIED_AFTER: Micros = 2_000_000;
/// Time constant with which a replica's replication lag is expected to shrink.
const LAG_FADES_IN: Micros = 2_000_000;
/// Answers that are rarer than this count for more, one by one.
const DENSE_ANSWERS: Micros = 1_000_000;
/// How long the weight of warm members is taken as it was summed up.
const WARM_SUMMED_FOR: Micros = 1_000_000;
/// A driver counts as no younger than this.
const MIN_AGE: Micros = 1_000_000;

/// A sum that fades with [`DECAY_US`], and as of when.
type Recent = (f64, Micros);

fn fade(recent: Recent, now: Micros) -> f64 {
    recent.0 * (-((now - recent.1) as f64) / DECAY_US).exp()
}

fn shortest_aim(settings: &Settings) -> Micros {
    settings.classes.iter().map(|c| c.aim).min().unwrap_or(0)
}

/// How long a read of this class is held that earns as little when late.
fn brief_hold(class: &Class) -> Micros {
    (class.aim as f64 * BRIEF_HOLD_SHARE) as Micros
}

/// A replica set as the list tells it, with the requests that wait for one of its members.
#[derive(Default)]
struct Group {
    members: BTreeSet<MemberId>,
    primary: Option<MemberId>,
    held: BTreeSet<RequestId>,
}

/// What sessions whose keys fall in one bucket have written.
#[derive(Default, Clone)]
struct Bucket {
    /// The latest write that is not settled.
    open: Option<u64>,
    /// The commit position that their reads have to see.
    position: Micros,
}

/// An attempt; it is out until it has an ending.
struct Attempt {
    zone: ZoneId,
    sent: Micros,
    ending: Option<Ending>,
}

/// A request without its final answer, or with attempts that are still out.
#[derive(Default)]
struct Request {
    class: ClassId,
    group: GroupId,
    bucket: Option<usize>,
    arrived: Micros,
    /// When its client first asked, as far as that can be told of a repeat.
    began: Micros,
    deadline: Micros,
    /// A session read's needed position; `None` without one.
    need: Option<Micros>,
    /// Whether members check that themselves.
    checked: bool,
    /// A write's number in its bucket.
    sequence: u64,
    /// What it has taken of its tenant's share.
    share: Option<(usize, Micros)>,
    /// A replica turned it away: only the primary will do.
    primary_only: bool,
    /// The replica whose probe it has waited for.
    asked: Option<MemberId>,
    attempts: Vec<Attempt>,
    answered: bool,
    /// From when on another attempt may follow the closed connections of earlier ones.
    settled_at: Option<Micros>,
    /// When the first attempt that another followed in doubt was sent: it counts for a keyed class's window throughout.
    copied_from: Option<Micros>,
}

impl Request {
    fn out(&self) -> usize {
        self.attempts.iter().filter(|a| a.ending.is_none()).count()
    }

    /// Whether the closes of its attempts' connections have settled.
    fn is_settled(&self, now: Micros) -> bool {
        self.settled_at.is_none_or(|at| now >= at)
    }

    /// The first attempt that may have run or is still out.
    fn doubt(&self) -> Option<&Attempt> {
        self.attempts.iter().find(|a| !a.ending.is_some_and(Ending::never_ran))
    }
}

/// The decisions of one driver.
pub struct Balancer {
    settings: Settings,
    rng: fastrand::Rng,
    members: BTreeMap<MemberId, Member>,
    groups: BTreeMap<GroupId, Group>,
    buckets: Vec<Bucket>,
    sequence: u64,
    requests: BTreeMap<RequestId, Request>,
    /// Open requests by the time at which their final answer falls due.
    due: BTreeSet<(Micros, RequestId)>,
    /// Held requests that are looked at again at a time: a close settles then, or a probe has been waited for long enough.
    dispatch_due: BTreeSet<(Micros, RequestId)>,
    /// Work of each class: its median answer time, raised by members that are not crowded alone.
    work: Vec<f64>,
    /// The usual wait of each class's clients.
    waits: Vec<f64>,
    /// How many usual answer times nearly all answers take at most.
    tail: f64,
    /// Tokens left in the budgets of retries and probes.
    retries: f64,
    probes: f64,
    ask_at: Option<Micros>,
    list_calls: ListCalls,
    /// Members with work of ours, heard of lately or not well; groups that hold requests.
    watched: BTreeSet<MemberId>,
    holding: BTreeSet<GroupId>,
    /// The shortest pace of the rounds: what is short beside the shortest aim.
    pace: Micros,
    /// Until when connections count as scarce: idle ones are closed, and one refused convicts nobody.
    connections_scarce_until: Micros,
    /// When a suspect is probed next.
    probe_due: Micros,
    /// When the next round is due.
    timer: Micros,
    /// The latest time for which a timer was asked because requests are looked at again then.
    resume_timer: Micros,
    /// The end of the latest time for which the driver stood still.
    stalled_until: Micros,
    /// When the driver started.
    born: Micros,
    /// Answered work of late, the weight of warm members as of some time, and the mean merit of requests.
    served: Recent,
    warm: (f64, Micros),
    merit: f64,
    /// How crowded primaries were of late, as shares of aims.
    crowd: Recent,
    /// From when on the next request of each tenant counts as within its share.
    shares: Vec<Micros>,
}

impl Balancer {
    /// A balancer that knows nothing yet: buckets settled, nothing owed.
    pub fn new(settings: Settings, seed: u64, now: Micros) -> Self {
        Balancer {
            rng: fastrand::Rng::with_seed(seed),
            members: BTreeMap::new(),
            groups: BTreeMap::new(),
            buckets: vec![Bucket { position: NEVER, ..Bucket::default() }; BUCKETS as usize],
            sequence: 0,
            requests: BTreeMap::new(),
            due: BTreeSet::new(),
            dispatch_due: BTreeSet::new(),
            work: settings.classes.iter().map(|c| (c.aim as f64 / 4.0).max(1.0)).collect(),
            waits: settings.classes.iter().map(|c| c.deadline as f64).collect(),
            tail: (TIMEOUT_FACTORS.0 + TIMEOUT_FACTORS.1) / 2.0,
            retries: MAX_RETRY_TOKENS,
            probes: MAX_PROBE_TOKENS,
            ask_at: settings.list_on_request.then_some(now),
            list_calls: ListCalls::new(now, settings.fleet),
            watched: BTreeSet::new(),
            holding: BTreeSet::new(),
            pace: (shortest_aim(&settings) / PACES_PER_AIM).clamp(1_000, 10_000),
            connections_scarce_until: NEVER,
            probe_due: FOREVER,
            timer: now,
            resume_timer: NEVER,
            stalled_until: now,
            born: now,
            served: (0.0, now),
            warm: (1.0, NEVER),
            merit: 0.0,
            crowd: (0.0, now),
            shares: vec![NEVER; settings.tenants.len()],
            settings,
        }
    }

    /// How many members it knows, and of these how it stands with them.
    pub fn targets(&self) -> Targets {
        let listed = self.members.values().filter(|m| m.entry.phase != Phase::Removed);
        let avoided = listed.clone().filter(|m| !m.usable()).count();
        Targets { known: self.members.len(), listed: listed.count(), avoided }
    }

    /// Whether an open request is beyond its tenant's share.
    pub fn is_beyond(&self, id: RequestId) -> bool {
        self.requests.get(&id).is_some_and(|r| r.share.is_none()) && !self.shares.is_empty()
    }

    /// Takes one event and appends what is to be done about it.
    pub fn handle(&mut self, now: Micros, event: Event, actions: &mut Vec<Action>) {
        let due = now >= self.timer;
        // A driver that stood still finds all that came meanwhile at once: the silence was its own.
        if now > self.timer + self.settings.tick + self.pace {
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
        self.dispatch_resumed(now, actions);
        if due {
            self.timer = FOREVER;
            self.run_round(now, actions);
        }
        let next = self.next_round(now).max(now + 1);
        if next < self.timer {
            self.timer = next;
            actions.push(Action::Timer { tag: TimerTag(0), at: next });
        }
        // No round: what is held beside these is not to be shed any sooner for them.
        let resume = self.dispatch_due.first().map(|(at, _)| (*at).max(now + 1));
        if let Some(at) = resume.filter(|at| *at != self.resume_timer) {
            self.resume_timer = at;
            actions.push(Action::Timer { tag: TimerTag(0), at });
        }
    }

    /// Nothing due, no timer: an idle driver costs nothing. What is out is looked at as answers come.
    fn next_round(&self, now: Micros) -> Micros {
        let aim = shortest_aim(&self.settings);
        let held =
            if self.holding.is_empty() { FOREVER } else { now + (aim / ROUNDS_PER_AIM).max(self.pace) };
        let out = if self.due.is_empty() { FOREVER } else { now + self.fastest().max(self.pace) };
        let (due, ask) = (self.due.first().map_or(FOREVER, |d| d.0), self.ask_at.unwrap_or(FOREVER));
        held.min(out).min(due).min(ask).min(self.probe_due)
    }

    fn fastest(&self) -> Micros {
        self.work.iter().copied().fold(DECAY_US, f64::min) as Micros
    }

    fn on_request(&mut self, now: Micros, arrival: Arrival, actions: &mut Vec<Action>) {
        let Arrival { request: id, class, group, key, deadline, since_write, repeat, checked, .. } = arrival;
        let Some(c) = self.settings.classes.get(class.0) else {
            return actions.push(Action::Fail { request: id });
        };
        // A repeat has what its client's first try has left: clients of a class wait about equally long.
        let (wait, usual) = ((deadline - now) as f64, &mut self.waits[class.0]);
        *usual += if repeat { 0.0 } else { 0.05 * (wait - *usual) };
        let began = if repeat { now - (*usual - wait).clamp(0.0, c.deadline as f64) as Micros } else { now };
        let write = c.read == ReadLevel::Write;
        let bucket = key.map(|k| (mix(k ^ mix(group.0)) % BUCKETS) as usize);
        let need = match self.settings.tokens {
            Tokens::Carried => since_write.map(|ago| now - ago + POSITION_UNIT),
            Tokens::Remembered => bucket.map(|b| self.buckets[b].position),
        };
        let share = self.take_share(now, arrival.tenant);
        self.sequence += 1;
        let sequence = if write { self.sequence } else { 0 };
        let r = Request { class, group, bucket, arrived: now, began, deadline, need, ..Request::default() };
        let r = Request { checked, share, sequence, ..r };
        self.retries = (self.retries + RETRIES_PER_REQUEST).min(MAX_RETRY_TOKENS);
        let per_request = (PROBE_POINTS / self.settings.prices.probe.max(PROBE_POINTS)).min(0.5);
        self.probes = (self.probes + per_request).min(MAX_PROBE_TOKENS);
        self.due.insert((deadline, id));
        self.merit += 0.05 * (self.merit(now, &r) - self.merit);
        self.requests.insert(id, r);
        self.hold(group, id);
        if now - self.warm.1 > WARM_SUMMED_FOR {
            let up = self.members.values().filter(|m| m.usable());
            self.warm = (up.map(|m| m.entry.weight * self.share(now, m)).sum(), now);
        }
        self.dispatch(now, group, actions);
    }

    /// Counts a request, unless its tenant has used up this driver's part of its share: whose, and how much of its time.
    fn take_share(&mut self, now: Micros, tenant: Option<TenantId>) -> Option<(usize, Micros)> {
        let t = tenant?.0;
        let rate = self.settings.tenants.get(t)?.rate.max(1e-6) / f64::from(self.settings.fleet);
        let (next, gap) = (self.shares.get_mut(t).filter(|next| **next <= now)?, (1e6 / rate) as Micros);
        *next = (*next).max(now - TENANT_BURST) + gap;
        Some((t, gap))
    }

    fn on_outcome(&mut self, now: Micros, outcome: Outcome, actions: &mut Vec<Action>) {
        let Outcome { request: id, attempt, member, ending, last, elapsed, note, report, settled_at } =
            outcome;
        self.learn_answer(now - elapsed, member, report);
        let class = self.requests.get(&id).map(|r| &self.settings.classes[r.class.0]);
        let write = class.is_some_and(|c| c.read == ReadLevel::Write);
        if let Some(note) = note {
            // A served write's position was rounded up.
            let position =
                note.position.map(|p| if write && ending == Ending::Ok { p - POSITION_UNIT } else { p });
            let told = Report { position, primary: Some(note.primary), ..Report::default() };
            self.learn(now, now, member, told);
        }
        let Some(r) = self.requests.get_mut(&id) else { return };
        let Some(a) = r.attempts.get_mut(attempt as usize).filter(|a| a.ending.is_none()) else { return };
        a.ending = Some(ending);
        r.settled_at = r.settled_at.max(settled_at);
        let (sent, class, group) = (a.sent, r.class, r.group);
        let (bucket, sequence) = (r.bucket.filter(|_| write && ending == Ending::Ok), r.sequence);
        if let Some(m) = self.members.get_mut(&member) {
            m.out.remove(&(sent, id, attempt));
        }
        self.update_health(now, &outcome, class);
        if now < self.connections_scarce_until && self.members.get(&member).is_some_and(|m| m.out.is_empty())
        {
            actions.push(Action::Close { member });
        }
        if let Some(b) = bucket.map(|b| &mut self.buckets[b]) {
            b.position = b.position.max(note.and_then(|n| n.position).unwrap_or(now));
            b.open = b.open.filter(|latest| *latest != sequence);
        }
        let r = &self.requests[&id];
        if last || r.answered {
            self.close(now, id, actions);
        } else if r.out() == 0 {
            // A miss costs no member work, an error costs one that has it to spare; all else draws on the budget.
            let calm = self.members.get(&member).is_some_and(|m| m.strain <= CROWDED);
            let free = write && ending.never_ran() || calm && ending == Ending::Error;
            self.retry_or_give_up(now, id, ending, free || ending == Ending::Miss, actions);
        }
        self.dispatch(now, group, actions);
    }

    fn on_probed(&mut self, now: Micros, probed: Probed, actions: &mut Vec<Action>) {
        let Probed { member: id, ending, elapsed, report } = probed;
        let Some(m) = self.members.get_mut(&id) else { return };
        m.probing = None;
        let group = m.entry.group;
        if ending == Ending::Ok {
            // It refused a connection and runs, too soon for a new start: its table is full of idle ones.
            if m.suspect
                && m.down
                && now - m.ill_since < RESTART_TAKES
                && fade(m.refused, now) > REFUSED_CONNECTS_TOLERATED
            {
                self.connections_scarce_until = now + DECAY_US as Micros;
            }
            m.recover(now);
        }
        // A failed probe convicts nobody: members may serve while their probes fail.
        self.learn_answer(now - elapsed, id, report);
        self.dispatch(now, group, actions);
    }
}

/// Spreads keys over buckets (the finisher of splitmix64).
fn mix(mut x: u64) -> u64 {
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}
