//! The decisions. Types, events and actions stand in `src/interface.rs`; docs/design.md tells the mechanism.

use std::collections::{BTreeMap, BTreeSet};

use crate::interface::*;
use crate::permission::{may_begin, AttemptLimits, Doubt, RequestFacts};

/// Buckets of session keys, as many as the source's switch holds.
const BUCKETS: u64 = 4096;
/// Positions come in whole milliseconds: a commit was rounded up by less than this.
const UNIT: Micros = 1_000;
/// Before any time that a clock shows, with room to subtract.
const NEVER: Micros = -(1 << 60);
const FOREVER: Micros = 1 << 60;
/// Parts of the shortest aim: pace of the rounds while anything is held, and the shortest pace.
const ROUND: i64 = 10;
const SWEEP: i64 = 50;
/// A member's share of attempts that fails before it loses its place in the draw.
const BAD: f64 = 0.3;
/// Attempts that all drivers may hold at a member that shows no crowding; each starts with two at least.
const FIRST_WINDOW: f64 = 24.0;
/// No window shrinks below this part of what members bear: less work does not mend, say, a slow link.
const LEAST: f64 = 0.3;
/// Nor below what holds this many attempts there over all drivers, one of a driver's at most.
const LEAST_WINDOW: f64 = 4.0;
/// A driver's memory of what it sends and what members bear.
const MEMORY: f64 = 10e6;
/// Answers may take this share of their aim, in the mean, before a member counts as crowded.
const CROWDED: f64 = 0.28;
/// A first attempt may take so many usual answer times, at least and at most: as many as nearly all take.
const PATIENT: (f64, f64) = (6.0, 24.0);
/// Share of answers that may take longer.
const TAIL: f64 = 0.003;
/// Share of a primary's room that reads may fill which replicas could serve, had they room.
const SPARE: f64 = 0.85;
/// By how much the bound on a cold member has grown, beside itself, when it is warm; with the square of its share.
const WARMING: f64 = 3.0;
/// Turns that a thinned member grants in advance to what is worth more than most for its work.
const AHEAD: f64 = 2.0;
/// What is worth so little beside the mean, for its work, gets no more than this share of a member's room.
const LITTLE: f64 = 0.25;
const LEFT: f64 = 0.25;
/// A tenant's unused share is saved up for this long.
const SAVED: Micros = 500_000;
/// A read that earns as little when late is held for this share of its aim, then refused.
const HOLD: f64 = 0.12;
/// One that earns more is held this share of its time before its first attempt: under half of it is little lost.
const VAIN: f64 = 0.45;
/// Retries that a request earns, and the most that are saved up: failures can't turn into a storm.
const RETRY_SHARE: f64 = 0.2;
const RETRY_SAVED: f64 = 2.0;
/// Points that probes may cost, as a share of one; and probes that may be saved up.
const PROBE_POINTS: f64 = 0.014;
const PROBE_SAVED: f64 = 8.0;
/// Shortest paces in a read's longest wait for a probe, and in the first gap between looks; the longest such gap.
const ENQUIRY: i64 = 5;
const LOOK: i64 = 10;
const LOOK_LONGEST: Micros = 4_000_000;
/// Connects that a member refuses in a while by mere mishap, as when a network resets them.
const FEW: f64 = 2.5;
/// Away so long a member may have started anew, silent so long it is not active; a failed call for the list is repeated.
const AWAY: Micros = 1_000_000;

#[derive(Default)]
struct Member {
    entry: Entry,
    /// The rule on drains forbids sends: listed as draining, or gone where that binds.
    barred: bool,
    held_out: bool,
    position: Micros,
    heard_position: Micros,
    /// Its last word on its role, and as of when.
    role: Option<(bool, Micros)>,
    /// Attempts out there, oldest first.
    out: BTreeMap<(Micros, RequestId, u32), ClassId>,
    heard: Micros,
    /// Answer times against those of the class at large; answer times against aims; share of failures.
    slow: f64,
    strain: f64,
    errors: f64,
    window: f64,
    /// Below one the window thins in time: when its last turn was used.
    turn: Micros,
    cut_at: Micros,
    /// Nothing new until then: it turned work away unseen.
    pause: Micros,
    /// What we send it, as attempts held in the mean, and as of when.
    busy: Recent,
    /// Nothing new goes to a suspect.
    suspect: bool,
    /// Since when it is not well, and whether it refused connections, so may come back cold.
    ill_since: Micros,
    down: bool,
    /// When a connection of it last broke while it was heard otherwise; connects refused of late.
    strike: Micros,
    refused: Recent,
    look_at: Micros,
    /// When the probe that is still out was sent.
    probing: Option<Micros>,
}

/// A sum that fades with [`MEMORY`], and as of when.
type Recent = (f64, Micros);

fn fade(recent: Recent, now: Micros) -> f64 {
    recent.0 * (-((now - recent.1) as f64) / MEMORY).exp()
}

#[derive(Default)]
struct Group {
    members: BTreeSet<MemberId>,
    primary: Option<MemberId>,
    held: BTreeSet<RequestId>,
}

#[derive(Default, Clone)]
struct Bucket {
    /// The latest write that is not settled.
    open: Option<u64>,
    position: Micros,
}

struct Attempt {
    zone: ZoneId,
    sent: Micros,
    ending: Option<Ending>,
}

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
    /// When the first attempt that another followed in doubt was sent: it counts for a keyed class's window throughout.
    copied_from: Option<Micros>,
}

impl Request {
    fn out(&self) -> usize {
        self.attempts.iter().filter(|a| a.ending.is_none()).count()
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
    /// Work of each class: its median answer time, raised by members that are not crowded alone.
    work: Vec<f64>,
    /// The usual wait of each class's clients.
    waits: Vec<f64>,
    /// How many usual answer times nearly all answers take at most.
    tail: f64,
    retries: f64,
    probes: f64,
    ask_at: Option<Micros>,
    /// Members with work of ours, heard of lately or not well; groups that hold requests.
    watched: BTreeSet<MemberId>,
    holding: BTreeSet<GroupId>,
    /// The shortest pace of the rounds: what is short beside the shortest aim.
    pace: Micros,
    /// Until when connections count as scarce: idle ones are closed, and one refused convicts nobody.
    polite: Micros,
    /// When a suspect is looked at next, when the next round is due, the end of the latest stall, its own start.
    look_at: Micros,
    timer: Micros,
    awake: Micros,
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
            work: settings.classes.iter().map(|c| (c.aim as f64 / 4.0).max(1.0)).collect(),
            waits: settings.classes.iter().map(|c| c.deadline as f64).collect(),
            tail: (PATIENT.0 + PATIENT.1) / 2.0,
            retries: RETRY_SAVED,
            probes: PROBE_SAVED,
            ask_at: settings.list_on_request.then_some(now),
            watched: BTreeSet::new(),
            holding: BTreeSet::new(),
            pace: (settings.classes.iter().map(|c| c.aim).min().unwrap_or(0) / SWEEP).clamp(1_000, 10_000),
            polite: NEVER,
            look_at: FOREVER,
            timer: now,
            awake: now,
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
            self.awake = now;
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
        if due {
            self.timer = FOREVER;
            self.sweep(now, actions);
        }
        let next = self.next_round(now).max(now + 1);
        if next < self.timer {
            self.timer = next;
            actions.push(Action::Timer { tag: TimerTag(0), at: next });
        }
    }

    /// Nothing due, no timer: an idle driver costs nothing. What is out is looked at as answers come.
    fn next_round(&self, now: Micros) -> Micros {
        let aim = self.settings.classes.iter().map(|c| c.aim).min().unwrap_or(0);
        let held = if self.holding.is_empty() { FOREVER } else { now + (aim / ROUND).max(self.pace) };
        let out = if self.due.is_empty() { FOREVER } else { now + self.fastest().max(self.pace) };
        let (due, ask) = (self.due.first().map_or(FOREVER, |d| d.0), self.ask_at.unwrap_or(FOREVER));
        held.min(out).min(due).min(ask).min(self.look_at)
    }

    fn fastest(&self) -> Micros {
        self.work.iter().copied().fold(MEMORY, f64::min) as Micros
    }

    fn on_members(&mut self, now: Micros, kind: ListKind, entries: Vec<Entry>) {
        if kind == ListKind::Failed {
            // Paced and spread, so that drivers that failed together don't ask together.
            self.ask_at = Some(now + AWAY + self.rng.i64(0..AWAY));
            return;
        }
        if matches!(kind, ListKind::Full | ListKind::Saved) {
            let listed: BTreeSet<_> = entries.iter().map(|e| e.member).collect();
            let stay = self.settings.rules.dropped_stay_open;
            for (_, m) in self.members.iter_mut().filter(|(id, _)| !stay && !listed.contains(id)) {
                (m.barred, m.entry.phase) = (true, Phase::Removed);
            }
        }
        entries.into_iter().for_each(|entry| self.list(now, entry));
        self.forget();
    }

    /// Nothing new goes there until the call back. Restarted meanwhile, it is no suspect, cold, and has its turn.
    fn on_maintenance(&mut self, now: Micros, id: MemberId, out: bool) {
        let Some(m) = self.members.get_mut(&id) else { return };
        if std::mem::replace(&mut m.held_out, out) && !out {
            (m.suspect, m.entry.since, m.turn) = (false, m.entry.since.max(Some(now)), NEVER);
        }
    }

    /// Members come and go as long as the driver lives: what is gone and owes nothing takes no more room.
    fn forget(&mut self) {
        let gone = |m: &Member| m.barred && m.entry.phase == Phase::Removed && m.out.is_empty();
        let left = self.members.iter().filter(|(_, m)| gone(m)).map(|(id, m)| (*id, m.entry.group));
        for (id, group) in left.collect::<Vec<_>>() {
            self.members.remove(&id);
            self.watched.remove(&id);
            self.leave(id, group);
        }
    }

    fn leave(&mut self, id: MemberId, group: GroupId) {
        let g = self.groups.entry(group).or_default();
        g.members.remove(&id);
        g.primary = g.primary.filter(|p| *p != id);
    }

    fn list(&mut self, now: Micros, entry: Entry) {
        let (id, group) = (entry.member, entry.group);
        // Rebuilt under its name for another group, it has none of its former group's data.
        if let Some(former) = self.members.get(&id).map(|m| m.entry.group).filter(|former| *former != group) {
            self.leave(id, former);
            self.members.entry(id).and_modify(Member::forget_data);
        }
        let g = self.groups.entry(group).or_default();
        g.members.insert(id);
        let fresh = Entry { since: None, ..entry.clone() };
        let m = self.members.entry(id).or_insert_with(|| Member::new(fresh, self.settings.fleet));
        let binds = m.barred || !self.settings.rules.dropped_stay_open;
        m.barred = entry.phase == Phase::Draining || entry.phase == Phase::Removed && binds;
        let started = entry.since > m.entry.since;
        m.entry = Entry { since: entry.since.max(m.entry.since), ..entry };
        // The list is hearsay: it names a primary only where no member's own word says otherwise.
        let said_no = m.role.is_some_and(|(primary, _)| !primary);
        let known = g.primary.and_then(|p| self.members.get(&p));
        if self.members[&id].entry.leader && !said_no && known.is_none_or(|p| p.suspect) {
            self.groups.entry(group).or_default().primary = Some(id);
        }
        // Drivers that learn together of a start must not turn to it together: the first turn is drawn.
        if let (true, Some(m)) = (started, self.members.get(&id)) {
            let gap = self.fastest() as f64 / self.room(now, m);
            let drawn = (self.rng.f64() * gap.min(MEMORY)) as Micros;
            self.members.entry(id).and_modify(|m| m.turn = now - drawn);
        }
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
            Tokens::Carried => since_write.map(|ago| now - ago + UNIT),
            Tokens::Remembered => bucket.map(|b| self.buckets[b].position),
        };
        let share = self.take_share(now, arrival.tenant);
        self.sequence += 1;
        let sequence = if write { self.sequence } else { 0 };
        let r = Request { class, group, bucket, arrived: now, began, deadline, need, ..Request::default() };
        let r = Request { checked, share, sequence, ..r };
        self.retries = (self.retries + RETRY_SHARE).min(RETRY_SAVED);
        let per_request = (PROBE_POINTS / self.settings.prices.probe.max(PROBE_POINTS)).min(0.5);
        self.probes = (self.probes + per_request).min(PROBE_SAVED);
        self.due.insert((deadline, id));
        self.merit += 0.05 * (self.merit(now, &r) - self.merit);
        self.requests.insert(id, r);
        self.hold(group, id);
        if now - self.warm.1 > AWAY {
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
        *next = (*next).max(now - SAVED) + gap;
        Some((t, gap))
    }

    fn on_outcome(&mut self, now: Micros, outcome: Outcome, actions: &mut Vec<Action>) {
        let Outcome { request: id, attempt, member, ending, last, elapsed, note, report } = outcome;
        if let Some(report) = report {
            let asked = now - elapsed;
            self.learn(asked, report.position.map_or(asked, |p| p.min(asked)), member, report);
        }
        let class = self.requests.get(&id).map(|r| &self.settings.classes[r.class.0]);
        let write = class.is_some_and(|c| c.read == ReadLevel::Write);
        if let Some(note) = note {
            // A served write's position was rounded up.
            let position = note.position.map(|p| if write && ending == Ending::Ok { p - UNIT } else { p });
            let told = Report { position, primary: Some(note.primary), ..Report::default() };
            self.learn(now, now, member, told);
        }
        let Some(r) = self.requests.get_mut(&id) else { return };
        let Some(a) = r.attempts.get_mut(attempt as usize).filter(|a| a.ending.is_none()) else { return };
        a.ending = Some(ending);
        let (sent, class, group) = (a.sent, r.class, r.group);
        let (bucket, sequence) = (r.bucket.filter(|_| write && ending == Ending::Ok), r.sequence);
        if let Some(m) = self.members.get_mut(&member) {
            m.out.remove(&(sent, id, attempt));
        }
        self.judge(now, &outcome, class);
        if now < self.polite && self.members.get(&member).is_some_and(|m| m.out.is_empty()) {
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
            self.again(now, id, ending, free || ending == Ending::Miss, actions);
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
            if m.suspect && m.down && now - m.ill_since < AWAY && fade(m.refused, now) > FEW {
                self.polite = now + MEMORY as Micros;
            }
            m.recover(now);
        }
        // A failed probe convicts nobody: members may serve while their probes fail.
        if let Some(report) = report {
            let asked = now - elapsed;
            self.learn(asked, report.position.map_or(asked, |p| p.min(asked)), id, report);
        }
        self.dispatch(now, group, actions);
    }

    /// A report may be older than the probe that brought it: its role counts as of its own position.
    fn learn(&mut self, now: Micros, as_of: Micros, id: MemberId, told: Report) {
        let Some(m) = self.members.get_mut(&id) else { return };
        if let Some(p) = told.position {
            m.position = m.position.max(p);
            m.heard_position = now;
        }
        let group = m.entry.group;
        let Some(primary) = told.primary else { return };
        if m.role.is_some_and(|(_, at)| at > as_of) {
            return;
        }
        m.role = Some((primary, as_of));
        let known = self.groups.get(&group).and_then(|g| g.primary);
        if primary && known != Some(id) {
            let rival = known.and_then(|k| self.members.get(&k)).and_then(|k| k.role);
            if rival.is_none_or(|(claims, at)| !claims || at < as_of) {
                self.groups.entry(group).or_default().primary = Some(id);
            }
        } else if !primary && known == Some(id) {
            self.groups.entry(group).or_default().primary = None;
        }
    }

    /// The position that a replica must have reached to serve this; `None` where only the primary will do.
    fn need(&self, now: Micros, r: &Request) -> Option<Micros> {
        let unsettled = r.bucket.is_some_and(|b| self.buckets[b].open.is_some());
        match self.settings.classes[r.class.0].read {
            ReadLevel::Write | ReadLevel::Fresh => None,
            _ if r.primary_only => None,
            ReadLevel::Session if unsettled => None,
            ReadLevel::Session => Some(r.need.unwrap_or(NEVER)),
            ReadLevel::Bounded(bound) => Some(now - bound),
            ReadLevel::Any => Some(NEVER),
        }
    }

    /// The members that may serve this request now: replicas that qualify, or else the primary.
    fn eligible(&self, now: Micros, r: &Request) -> Vec<MemberId> {
        let primary = self.groups.get(&r.group).and_then(|g| g.primary);
        let primary = primary.filter(|p| self.members.get(p).is_some_and(Member::usable));
        let c = &self.settings.classes[r.class.0];
        let mut found = match self.need(now, r) {
            Some(need) => self.replicas(r.group, |m| m.position >= need),
            // A write looks for a lost primary itself, all its patience long: a miss tells the role and costs no work.
            None if primary.is_none() && c.read == ReadLevel::Write => {
                let gap = c.deadline / i64::from(self.settings.allowed.attempts.max(1));
                self.replicas(r.group, |m| m.role.is_none_or(|(_, at)| now - at > gap))
            }
            None => Vec::new(),
        };
        // Where members check reads, one slightly behind is tried, else one that may have caught up: a miss is cheap.
        let slack = self.settings.behind.slack().filter(|_| r.checked);
        for past in [FOREVER, 2 * AWAY] {
            if let (true, Some(need), Some(slack)) = (found.is_empty(), self.need(now, r), slack) {
                found = self.replicas(r.group, |m| m.outlook(now, past) + slack >= need);
            }
        }
        found.extend(primary.filter(|_| found.is_empty()));
        found
    }

    fn replicas(&self, group: GroupId, fit: impl Fn(&Member) -> bool) -> Vec<MemberId> {
        let Some(g) = self.groups.get(&group) else { return Vec::new() };
        let fits = |id: &&MemberId| self.members.get(id).is_some_and(|m| m.usable() && fit(m));
        g.members.iter().filter(|id| Some(**id) != g.primary).filter(fits).copied().collect()
    }

    /// The draw: two by size and health, then less of our work: idle drivers must not all turn to the best one.
    fn draw(&mut self, now: Micros, class: ClassId, merit: f64, among: &[MemberId]) -> Option<MemberId> {
        let weigh = |m: &Member| {
            let errors = m.errors * (-((now - m.heard) as f64) / MEMORY).exp();
            let errors = if errors > BAD { 0.02 } else { 1.0 - errors };
            m.entry.weight.max(0.01) * self.share(now, m) * errors / m.slow.max(0.2)
        };
        let open = among.iter().filter_map(|id| self.members.get(id).map(|m| (*id, m)));
        let open = open.filter(|(_, m)| now >= m.pause && self.has_room(now, m, class, merit));
        let open: Vec<_> = open.map(|(id, m)| (weigh(m), m.out.len(), id)).collect();
        let mut lots: Vec<_> = open.iter().map(|o| (-self.rng.f64().max(1e-12).ln() / o.0, o)).collect();
        lots.sort_by(|a, b| a.0.total_cmp(&b.0));
        let load = |o: &(f64, usize, MemberId)| o.1 as f64 / o.0;
        lots.iter().take(2).map(|l| l.1).min_by(|a, b| load(a).total_cmp(&load(b))).map(|o| o.2)
    }

    /// Share of its capacity that a member may have reached since its start.
    fn share(&self, now: Micros, m: &Member) -> f64 {
        let rules = &self.settings.rules;
        let Some(since) = m.entry.since else { return 1.0 };
        let warm = (now - since) as f64 / rules.cold.max(1) as f64;
        rules.cold_share + (1.0 - rules.cold_share) * warm.clamp(0.0, 1.0)
    }

    /// Attempts that a member may hold in the mean: a cold one its share of what warm ones bear, by half until it answers.
    fn room(&self, now: Micros, m: &Member) -> f64 {
        let share = self.share(now, m);
        if share >= 1.0 {
            return m.window;
        }
        let (proven, most) = (Some(m.heard) > m.entry.since, self.settings.rules.fall_multiple);
        let least = if proven && m.strain <= CROWDED { most } else { 0.0 };
        let spare = (most / 2.0 * (1.0 + WARMING * share * share)).max(least);
        m.window.min(share * m.entry.weight.max(0.01) * self.borne(now) * spare).max(1e-6)
    }

    /// Attempts of ours that a warm member of weight one holds in the mean, as served of late.
    fn borne(&self, now: Micros) -> f64 {
        // A young driver has seen only so much of the time that its memory spans.
        let seen = MEMORY * (1.0 - (-((now - self.born).max(AWAY) as f64) / MEMORY).exp());
        fade(self.served, now) / seen / self.warm.0.max(0.01)
    }

    /// Room below one attempt thins in time, one out at a time. What is worth more may go ahead: the rest makes room.
    fn has_room(&self, now: Micros, m: &Member, class: ClassId, merit: f64) -> bool {
        let room = self.room(now, m);
        if room >= 1.0 {
            let low = merit < self.merit * LITTLE;
            return (m.held().count() as f64) < if low { room * LEFT } else { room };
        }
        let cold = self.share(now, m) < 1.0;
        let ahead = if cold { 0.0 } else { (merit / self.merit.max(1e-12) - 1.0).clamp(-1.0, AHEAD) };
        let few = (m.held().count() as f64) < 1.0 + ahead.max(0.0);
        few && (now - m.turn) as f64 >= self.gap(now, class, m) * (1.0 - ahead)
    }

    /// Whether primaries at large are crowded: of one alone a driver of a large fleet hears too seldom to tell in time.
    fn crowded(&self, now: Micros) -> bool {
        f64::from(self.settings.fleet) > FIRST_WINDOW && fade(self.crowd, now) > CROWDED
    }

    /// Whether a primary has more room than what only it can do is likely to need.
    fn spares(&self, now: Micros, id: MemberId) -> bool {
        let m = self.members.get(&id).filter(|m| m.usable() && m.strain <= CROWDED && !self.crowded(now));
        m.is_some_and(|m| m.held().count() as f64 + 1.0 <= self.room(now, m) * SPARE)
    }

    /// The time between two turns: a cold member's room bounds its work, a warm one's what it holds, by its latest answers.
    fn gap(&self, now: Micros, class: ClassId, m: &Member) -> f64 {
        let strain = if self.share(now, m) < 1.0 { 0.0 } else { fade((m.strain, m.heard), now) };
        let takes = strain * self.settings.classes[class.0].aim as f64;
        (self.work[class.0].max(takes) / self.room(now, m)).min(MEMORY)
    }

    /// Sends what the group holds, the worthiest for its work first, as far as members have room.
    fn dispatch(&mut self, now: Micros, group: GroupId, actions: &mut Vec<Action>) {
        let Some(g) = self.groups.get(&group) else { return };
        let primary = g.primary;
        let requests = g.held.iter().filter_map(|id| self.requests.get(id).map(|r| (*id, r)));
        let mut held: Vec<_> = requests.map(|(id, r)| (self.merit(now, r), (r.arrived, id))).collect();
        // Of equals the newest: under overload it has the most time left.
        held.sort_by(|a, b| b.0.total_cmp(&a.0).then(b.1.cmp(&a.1)));
        let mut full = BTreeSet::new();
        for (worth, (_, id)) in held {
            // What is worth no more than one of its kind that found no room finds none: many may wait for a primary.
            let kind = self.requests.get(&id).map(|r| (r.class, r.primary_only));
            if full.contains(&kind) {
                continue;
            }
            let Some(mut r) = self.requests.remove(&id) else { continue };
            let among = self.eligible(now, &r);
            let lone = among.iter().all(|to| primary == Some(*to));
            // Reads that fall back on the primary leave its turns to what only it can do.
            let read = self.settings.classes[r.class.0].read;
            let off = matches!(read, ReadLevel::Bounded(_) | ReadLevel::Any) && self.crowded(now);
            if lone && (self.enquire(now, &mut r, actions) || off) {
                self.requests.insert(id, r);
                continue;
            }
            let only = matches!(read, ReadLevel::Write | ReadLevel::Fresh);
            let worth = if lone && !only { worth / 2.0 } else { worth };
            let mut target = self.draw(now, r.class, worth, &among);
            // Where those have no room, a primary with room to spare takes reads too: a few recent ones would drown.
            if let (None, false, Some(p)) = (target, lone, primary.filter(|p| self.spares(now, *p))) {
                target = self.draw(now, r.class, worth / 2.0, &[p]);
            }
            // Session reads differ in what they need.
            if target.is_none() && read != ReadLevel::Session {
                full.insert(kind);
            }
            let target = target.filter(|to| self.may_send(now, &r, self.members[to].entry.zone));
            self.requests.insert(id, r);
            if let Some(to) = target {
                self.groups.entry(group).or_default().held.remove(&id);
                self.send(now, id, to, actions);
            }
        }
        if self.groups.get(&group).is_none_or(|g| g.held.is_empty()) {
            self.holding.remove(&group);
        }
    }

    /// A read that only ignorance keeps from replicas waits for one probe's answer: with many drivers primaries drown.
    fn enquire(&mut self, now: Micros, r: &mut Request, actions: &mut Vec<Action>) -> bool {
        let Some(need) = self.need(now, r).filter(|n| *n > NEVER && r.out() == 0) else { return false };
        if let Some(asked) = r.asked {
            let m = self.members.get(&asked);
            return m.and_then(|m| m.probing).is_some_and(|sent| now - sent < self.pace * ENQUIRY / 2);
        }
        // Drawn among those that should be recent enough: all drivers must not ask the same one.
        let old = |m: &Member| m.outlook(now, 2 * AWAY) >= need && now - m.heard_position > self.pace * 2;
        let likely = self.replicas(r.group, old);
        let Some(to) = self.rng.choice(&likely).copied() else { return false };
        if self.members[&to].probing.is_none() && !self.probe(now, to, actions) {
            return false;
        }
        r.asked = Some(to);
        true
    }

    /// Worth for work; what is late already counts with what it still earns.
    fn merit(&self, now: Micros, r: &Request) -> f64 {
        // Judged by work: a queue at the primary must not make its writes look late.
        let c = &self.settings.classes[r.class.0];
        let late = now + self.work[r.class.0] as Micros > r.began + c.aim;
        let share = r.share.map_or(self.settings.over_share_worth, |_| 1.0);
        c.worth * share * if late { c.late_worth } else { 1.0 } / self.work[r.class.0]
    }

    /// Whether the class's effect, the attempt limit and the settings permit another attempt in this zone.
    fn may_send(&self, now: Micros, r: &Request, zone: ZoneId) -> bool {
        let allowed = &self.settings.allowed;
        let doubt = r.doubt().map(|first| Doubt {
            since: r.copied_from.map_or(first.sent, |at| at.min(first.sent)),
            zone: Some(first.zone),
        });
        let request = RequestFacts {
            effect: self.settings.classes[r.class.0].effect,
            deadline: r.deadline,
            answered: r.answered,
            // Of one whose client has left the driver tells, and it is closed.
            client_left: false,
            begun: r.attempts.len() as u32,
            out: r.out() as u32,
            doubt,
        };
        let limits = AttemptLimits {
            attempts: allowed.attempts,
            second_copies: allowed.second_copies,
            margin: self.settings.tick,
        };
        may_begin(now, &request, &limits, Some(zone)).is_ok()
    }

    fn send(&mut self, now: Micros, id: RequestId, to: MemberId, actions: &mut Vec<Action>) {
        let Some(r) = self.requests.get(&id) else { return };
        let (attempt, work) = (r.attempts.len() as u32, self.work[r.class.0]);
        let Some(m) = self.members.get(&to) else { return };
        let gap = if self.room(now, m) < 1.0 { self.gap(now, r.class, m) as Micros } else { 0 };
        let (Some(m), Some(r)) = (self.members.get_mut(&to), self.requests.get_mut(&id)) else { return };
        m.turn = if gap > 0 { now.max(m.turn + gap) } else { m.turn };
        m.busy = (fade(m.busy, now) + work, now);
        self.watched.insert(to);
        r.copied_from = r.copied_from.or(r.doubt().map(|a| a.sent));
        r.attempts.push(Attempt { zone: m.entry.zone, sent: now, ending: None });
        m.out.insert((now, id, attempt), r.class);
        if let (Some(b), true) = (r.bucket, r.sequence > 0) {
            self.buckets[b].open = self.buckets[b].open.max(Some(r.sequence));
        }
        // A connection may fall silent while its member serves on: a first attempt waits no longer than nearly all take.
        let tail = if m.strain > CROWDED { PATIENT.1 } else { self.tail };
        let patience = (work * m.slow.max(1.0) * tail) as Micros;
        let first = attempt == 0 && self.settings.classes[r.class.0].effect != Effect::Unsafe;
        let timeout = if first { patience.max(self.pace).min(r.deadline - now) } else { r.deadline - now };
        actions.push(Action::Send { request: id, member: to, timeout });
    }

    /// What an outcome says of the member's health, speed and room.
    fn judge(&mut self, now: Micros, outcome: &Outcome, class: ClassId) {
        let Outcome { member: id, ending, elapsed, .. } = *outcome;
        let (borne, fleet) = (self.borne(now), f64::from(self.settings.fleet.max(1)));
        let share = elapsed as f64 / (self.settings.classes[class.0].aim as f64).max(1.0);
        let Some(m) = self.members.get_mut(&id) else { return };
        // A client that waits for little says little of the member.
        let late = matches!(ending, Ending::Timeout | Ending::Cancelled) && share > 2.0 * CROWDED;
        let primary = self.groups.get(&m.entry.group).is_some_and(|g| g.primary == Some(id));
        if primary && (late || matches!(ending, Ending::Ok | Ending::Full)) {
            let told = if ending == Ending::Full { 1.0 } else { share.min(2.0) };
            let fresh = (1.0 - ((self.crowd.1 - now) as f64 / AWAY as f64).exp()).max(0.1);
            self.crowd = (self.crowd.0 + fresh * (told - self.crowd.0), now);
        }
        // How long this tells of: as answers get rare each counts for more, up to a few seconds' worth.
        let age = ((now - m.heard) as f64 / AWAY as f64).min(3.0);
        let fresh = 1.0 - (-age).exp();
        if matches!(ending, Ending::Ok | Ending::Error | Ending::Miss | Ending::Full) {
            m.heard = now;
        }
        let least = (m.entry.weight.max(0.01) * borne * LEAST).max((LEAST_WINDOW / fleet).min(1.0));
        let (ratio, lately) = (elapsed as f64 / self.work[class.0], now - self.pace * LOOK);
        if ending == Ending::ConnectFailed && elapsed < self.pace * LOOK {
            m.refused = (fade(m.refused, now) + 1.0, now);
        }
        match ending {
            Ending::Ok => {
                self.served = (fade(self.served, now) + self.work[class.0], now);
                m.recover(now);
                let long = ratio / m.slow.max(1.0) > self.tail;
                self.tail = (self.tail + if long { 2.0 } else { -2.0 * TAIL }).clamp(PATIENT.0, PATIENT.1);
                m.errors *= 0.9 - 0.2 * fresh;
                m.slow += (0.2 * fresh).max(0.05) * (ratio - m.slow);
                m.strain(now, elapsed, share, age, least);
                let rise = if m.strain > CROWDED { 0.0 } else { 0.03 };
                self.work[class.0] *= 1.0 + if ratio < 1.0 { -0.03 } else { rise };
            }
            Ending::Error => m.errors += (0.5 * fresh).max(0.1) * (1.0 - m.errors),
            Ending::Miss => m.recover(now),
            Ending::Full => {
                m.cut(now, 0.7, least);
                (m.turn, m.pause) = (now, now + self.pace * LOOK / 2);
            }
            Ending::ConnectFailed if now < self.polite => m.pause = now + self.pace * LOOK,
            // Connections break one by one, too, while the process serves on. It is gone if others break as well.
            Ending::ConnectFailed | Ending::Reset if m.heard > m.strike.max(lately) => m.strike = now,
            // One that is gone refuses at once; one that never answers is out of reach, and need not start anew.
            Ending::ConnectFailed => self.convict(now, id, elapsed < self.pace * LOOK),
            Ending::Reset => self.convict(now, id, true),
            // Called off at its deadline, it took as long at least.
            Ending::Timeout | Ending::Cancelled => {
                m.slow += (0.2 * fresh).max(0.05) * (ratio - m.slow).max(0.0);
                if late {
                    m.strain(now, elapsed, share, age, least);
                }
            }
            Ending::Moot => {}
        }
    }

    /// A suspect gets nothing new, and requests that wait on it get a copy where that is permitted.
    fn convict(&mut self, now: Micros, id: MemberId, down: bool) {
        let Some(m) = self.members.get_mut(&id) else { return };
        if !m.suspect {
            (m.suspect, m.down, m.ill_since, m.look_at) = (true, false, now, now + self.pace * LOOK);
        }
        m.down |= down;
        for id in m.out.keys().map(|k| k.1).collect::<Vec<_>>() {
            let Some(r) = self.requests.get(&id).filter(|r| !r.answered && r.out() == 1) else { continue };
            let (group, zone) = (r.group, r.doubt().map_or(self.settings.zone, |a| a.zone));
            if self.may_send(now, r, zone) && self.spend() {
                self.hold(group, id);
            }
        }
    }

    fn hold(&mut self, group: GroupId, id: RequestId) {
        self.groups.entry(group).or_default().held.insert(id);
        self.holding.insert(group);
    }

    fn spend(&mut self) -> bool {
        let enough = self.retries >= 1.0;
        self.retries -= if enough { 1.0 } else { 0.0 };
        enough
    }

    /// All attempts have ended without an answer: hold it for another, or give it up at once.
    fn again(&mut self, now: Micros, id: RequestId, ending: Ending, free: bool, actions: &mut Vec<Action>) {
        let Some(r) = self.requests.get_mut(&id) else { return };
        r.primary_only |= ending == Ending::Miss;
        let (group, r) = (r.group, &self.requests[&id]);
        let permitted = self.may_send(now, r, r.doubt().map_or(self.settings.zone, |a| a.zone));
        if permitted && (free || self.spend()) {
            self.hold(group, id);
        } else {
            self.give_up(now, id, actions);
        }
    }

    /// The final answer: a refusal where a repeat is harmless, else a failure.
    fn give_up(&mut self, now: Micros, id: RequestId, actions: &mut Vec<Action>) {
        let Some(r) = self.requests.get_mut(&id).filter(|r| !r.answered) else { return };
        r.answered = true;
        r.share.iter().for_each(|(t, gap)| self.shares[*t] -= gap);
        let effect = self.settings.classes[r.class.0].effect;
        if r.doubt().is_none() || matches!(effect, Effect::Safe | Effect::Keyed { scope: Scope::All, .. }) {
            let a = &self.settings.allowed;
            let hold = (self.settings.classes[r.class.0].aim as f64 * HOLD) as Micros;
            let retry_after = a.retry_after.then_some(hold.min(a.max_retry_after));
            actions.push(Action::Refuse { request: id, retry_after });
        } else {
            actions.push(Action::Fail { request: id });
        }
        self.close(now, id, actions);
    }

    /// The request is over: attempts still out are called off, and a bucket that waits on it settles.
    fn close(&mut self, now: Micros, id: RequestId, actions: &mut Vec<Action>) {
        let Some(r) = self.requests.get_mut(&id) else { return };
        let first = self.due.remove(&(r.deadline, id));
        r.answered = true;
        self.groups.entry(r.group).or_default().held.remove(&id);
        let cancel = first && self.settings.allowed.cancel;
        let out = r.attempts.iter().zip(0..).filter(|(a, _)| cancel && a.ending.is_none());
        actions.extend(out.map(|(_, attempt)| Action::Cancel { request: id, attempt }));
        if r.out() > 0 {
            return;
        }
        // A lost write answer must not park its bucket's reads: replicas past this moment have it.
        if let Some(b) = r.bucket.map(|b| &mut self.buckets[b]).filter(|b| b.open == Some(r.sequence)) {
            (b.open, b.position) = (None, b.position.max(now));
        }
        self.requests.remove(&id);
    }

    /// The steady round: silence, holds that can't be met, lost primaries, probes, the member list.
    fn sweep(&mut self, now: Micros, actions: &mut Vec<Action>) {
        self.look_at = FOREVER;
        self.find_silent(now);
        self.shed(now, actions);
        self.look(now, actions);
        actions.extend(self.ask_at.take_if(|at| now >= *at).map(|_| Action::Watch));
        self.holding.clone().into_iter().for_each(|group| self.dispatch(now, group, actions));
        let active = |m: &Member| !m.out.is_empty() || m.suspect || now - m.heard <= AWAY;
        self.watched.retain(|id| self.members.get(id).is_some_and(active));
    }

    /// A member that holds work of ours in silence for several usual answer times is a suspect, unless most do.
    fn find_silent(&mut self, now: Micros) {
        let mut silent = Vec::new();
        for (id, m) in self.watched.iter().filter_map(|id| self.members.get(id).map(|m| (id, m))) {
            let Some((sent, _)) = m.held().next() else { continue };
            let usual = m.held().map(|(_, c)| self.work[c.0]).fold(0.0, f64::max);
            let patience = usual * m.slow.max(1.0) * (2.0 + 4.0 / m.held().count() as f64);
            if !m.suspect && (now - sent.max(m.heard).max(self.awake)) as f64 > patience {
                silent.push(*id);
            }
        }
        if silent.len() * 2 <= self.watched.len().max(2) {
            silent.into_iter().for_each(|id| self.convict(now, id, false));
        }
    }

    /// Held requests that can't be served in time any more are given up, and so is all at its deadline.
    fn shed(&mut self, now: Micros, actions: &mut Vec<Action>) {
        let mut lost = Vec::new();
        for g in self.holding.iter().filter_map(|g| self.groups.get(g)) {
            for (id, r) in g.held.iter().filter_map(|id| self.requests.get(id).map(|r| (id, r))) {
                let c = &self.settings.classes[r.class.0];
                let best = ((self.work[r.class.0] / 2.0) as Micros).min(c.aim / 2);
                // Where lateness leaves little, refuse while a repeat still has time.
                let hold = r.arrived + (c.aim as f64 * HOLD) as Micros;
                // Nor is one held for most of its time in vain.
                let vain = r.arrived + ((r.deadline - r.arrived) as f64 * VAIN) as Micros;
                let patient = if r.attempts.is_empty() { vain } else { r.deadline };
                let useful = r.deadline.min(hold + best).min(r.began + c.aim);
                let end = if c.late_worth > LITTLE { patient } else { useful };
                if r.out() == 0 && now + best + self.pace > end {
                    lost.push(*id);
                }
            }
        }
        lost.extend(self.due.iter().take_while(|d| d.0 <= now).map(|d| d.1));
        lost.into_iter().for_each(|id| self.give_up(now, id, actions));
    }

    /// Looks at suspects. Probes may fail while members serve: after a while requests test a suspect, too.
    fn look(&mut self, now: Micros, actions: &mut Vec<Action>) {
        for id in self.watched.clone() {
            let ill = |m: &&mut Member| m.suspect && !m.barred && !m.held_out;
            let Some(m) = self.members.get_mut(&id).filter(ill) else { continue };
            let due = now >= m.look_at;
            if due {
                m.look_at = now + (now - m.ill_since).clamp(self.pace * LOOK, LOOK_LONGEST);
                if now - m.ill_since > 2 * AWAY {
                    m.recover(now);
                }
            }
            self.look_at = self.look_at.min(m.look_at);
            let _ = due && self.probe(now, id, actions);
        }
    }

    fn probe(&mut self, now: Micros, id: MemberId, actions: &mut Vec<Action>) -> bool {
        let Some(m) = self.members.get_mut(&id).filter(|m| m.probing.is_none()) else { return false };
        let granted = self.settings.allowed.probes && self.probes >= 1.0;
        if granted {
            (self.probes, m.probing) = (self.probes - 1.0, Some(now));
            actions.push(Action::Probe { member: id });
        }
        granted
    }
}

impl Member {
    fn new(entry: Entry, fleet: u32) -> Self {
        Member {
            entry,
            position: NEVER,
            heard_position: NEVER,
            heard: NEVER,
            slow: 1.0,
            window: (FIRST_WINDOW / f64::from(fleet.max(1))).max(2.0),
            turn: NEVER,
            pause: NEVER,
            ill_since: NEVER,
            strike: NEVER,
            ..Member::default()
        }
    }

    /// What it told of its data and its role was of another group.
    fn forget_data(&mut self) {
        (self.position, self.heard_position, self.role) = (NEVER, NEVER, None);
    }

    /// Where its position should be by now if its lag fades within `past`; one never heard of counts as recent.
    fn outlook(&self, now: Micros, past: Micros) -> Micros {
        let (age, lag) = ((now - self.heard_position) as f64, self.heard_position - self.position);
        now - (lag as f64 * (-age / past as f64).exp()) as Micros
    }

    /// Answer times near the aim mean a queue there: the window shrinks, at most once an answer time.
    fn strain(&mut self, now: Micros, elapsed: Micros, ratio: f64, age: f64, least: f64) {
        let fresh = 1.0 - (-age).exp();
        self.strain += fresh.max(0.1) * (ratio - self.strain);
        let crowded = CROWDED * (1.0 + fresh);
        if self.strain > crowded && now - self.cut_at > elapsed {
            self.cut(now, (-0.07 - 0.2 * age).exp(), least);
        } else if self.strain <= crowded && self.window < 1.0 {
            self.window *= (0.4 * age.max(0.1)).exp();
        } else if self.strain <= crowded && self.out.len() as f64 + 2.0 > self.window {
            self.window += 1.0 / self.window;
        }
    }

    /// The window shrinks from what is used: what is out there or, where that is mostly nothing, the mean.
    fn cut(&mut self, now: Micros, to: f64, least: f64) {
        let mean = 2.0 * fade(self.busy, now) / MEMORY;
        let used = if self.out.is_empty() { mean } else { self.out.len() as f64 + 1.0 };
        self.window = (self.window.min(used) * to).max(least).max(1e-6);
        self.cut_at = now;
    }

    /// Attempts out there, oldest first; those from before its latest recovery wait on connections that are silent.
    fn held(&self) -> impl Iterator<Item = (Micros, ClassId)> + '_ {
        self.out.range((self.ill_since, RequestId(0), 0)..).map(|(at, class)| (at.0, *class))
    }

    fn usable(&self) -> bool {
        !self.barred && !self.suspect && !self.held_out
    }

    /// An answer clears a suspect; one that was down that long may have started anew, and counts as cold.
    fn recover(&mut self, now: Micros) {
        if self.suspect {
            self.suspect = false;
            // Not below one: suspicions in a row must not thin it to nothing.
            self.window = self.window.min((self.window / 2.0).max(1.0));
            if self.down && now - self.ill_since > AWAY {
                (self.entry.since, self.turn) = (self.entry.since.max(Some(now)), now);
            }
            self.ill_since = now;
        }
    }
}

/// Spreads keys over buckets (the finisher of splitmix64).
fn mix(mut x: u64) -> u64 {
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}
