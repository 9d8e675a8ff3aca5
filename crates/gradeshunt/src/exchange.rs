//! Where the client side and the server side meet. Requests, attempts and final answers stand here in no
//! protocol's terms: bodies and answers are bytes that only the two sides read.
//!
//! The exchange owns the module. It hands it events one at a time and queues what the module asks for; the
//! turn carries the queues to the two sides, so that the module is never re-entered.

mod audit;
mod forwarding;
mod messages;
mod reason;
mod trace;

use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;

use gradeshunt_sites::proxy::Sites;
use leadmast::permission::{may_begin, may_take, repeat_by, settled_at, AttemptLimits};
use leadmast::*;
use slog::{debug, error, info};

pub use self::messages::{Answer, Ask, Body, Call, Ended, Final, Form, Order, Said, ROOM};
use self::reason::FinalReason;
use self::trace::EndedAttempt;
pub use self::trace::{AttemptTrace, ConnectionEnd};
use crate::deadlines::Due;
use crate::figures::{Count, Figures, TenantCount};
pub use crate::ids::AttemptId;
use crate::placing::Placing;
use crate::site_loss;
use crate::turn::Turn;

struct Out {
    number: u32,
    member: MemberId,
    since: Micros,
}

struct Request {
    class: ClassId,
    group: GroupId,
    of: Option<TenantId>,
    /// Its place in [`Figures::tenants`], and whether it is beyond that tenant's share.
    tenant: usize,
    beyond: bool,
    deadline: Micros,
    body: Rc<Body>,
    sends: u32,
    out: Option<Out>,
    /// An attempt was written whole.
    written: bool,
    /// When the first attempt that may have run was sent.
    doubt_since: Option<Micros>,
    /// From when on another attempt may follow those whose connections were closed.
    settled_at: Option<Micros>,
    /// When its client left before it had its answer.
    left: Option<Micros>,
    /// How its latest attempt has ended.
    ended: Option<Ending>,
    /// All that have ended, for the log.
    ended_attempts: Vec<EndedAttempt>,
    /// The final answer is given, or the client has gone.
    over: bool,
    error: Option<Vec<u8>>,
    /// While another proxy has it.
    forward: Option<Box<forwarding::Forward>>,
    /// The first part of a long answer was passed on: from then on it is this attempt's, without a deadline.
    begun: bool,
    /// How much of it the client side can take now, how much is on its way there, and whether the server side waits
    /// for more room.
    room: usize,
    queued: usize,
    stalled: bool,
}

/// What has come to pass since the last summary in the log.
#[derive(Default)]
struct Tally {
    requests: u32,
    served: u32,
    refused: u32,
    failed: u32,
    gone: u32,
    gone_unsent: u32,
    sent_after_gone: u32,
    /// Requests whose wait was over when their turn came.
    expired_unsent: u32,
    endings: BTreeMap<&'static str, u32>,
}

/// The exchange.
pub struct Exchange {
    balancer: Balancer,
    slack: Micros,
    limits: AttemptLimits,
    drain_grace: Micros,
    requests: BTreeMap<RequestId, Request>,
    next: u64,
    events: VecDeque<Event>,
    telling: bool,
    actions: Vec<Action>,
    tally: Tally,
    figures: Figures,
    /// Names of the tenants, as in [`Figures::tenants`]; none where the settings name none.
    tenants: Vec<String>,
    /// What is done at the loss of a site, where operators have a plan for it. What it does is carried out by
    /// `crate::proxy::sites`.
    pub sites: Option<Sites>,
    /// Which requests go to other proxies, where operators have a file on that.
    pub placing: Option<Placing>,
    /// Time that an answer takes from one proxy to another, at most.
    hop: Micros,
    /// By class.
    effects: Vec<Effect>,
    /// By class.
    retry_after: Vec<Option<Micros>>,
    /// What is asked of the server side, of discovery, and of the client side.
    pub orders: VecDeque<Order>,
    pub asks: VecDeque<Ask>,
    pub answers: VecDeque<(RequestId, Answer)>,
}

impl Exchange {
    pub fn new(settings: Settings, tenants: Vec<String>, seed: u64, now: Micros) -> Self {
        Exchange {
            tenants,
            figures: Figures {
                classes: vec![Count::default(); settings.classes.len()],
                tenants: vec![TenantCount::default(); settings.tenants.len() + 1],
                ..Figures::default()
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
            retry_after: settings.classes.iter().map(|c| site_loss::back(&settings, c)).collect(),
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

    // ---- From the client side ----

    pub fn submit(&mut self, turn: &mut Turn, call: Call) -> RequestId {
        let id = RequestId(self.next);
        self.next += 1;
        let Call { class, group, key, deadline, since_write, repeat, checked, tenant, source, body } = call;
        self.tally.requests += 1;
        // The module answers by the deadline. Should it not, the client gets its answer all the same.
        turn.deadlines.set(deadline + self.slack, Due::Overdue(id));
        let request = Request {
            class,
            group,
            of: tenant,
            tenant: tenant.map_or(self.figures.tenants.len() - 1, |t| t.0),
            beyond: false,
            deadline,
            body: Rc::new(body),
            sends: 0,
            out: None,
            written: false,
            doubt_since: None,
            settled_at: None,
            left: None,
            ended: None,
            ended_attempts: Vec::new(),
            over: false,
            error: None,
            forward: None,
            begun: false,
            room: ROOM,
            queued: 0,
            stalled: false,
        };
        self.requests.insert(id, request);
        let refused = Final::Refused { retry_after: self.retry_after.get(class.0).copied().flatten() };
        // Its wait was over before its turn came: nobody would have the answer of an attempt.
        if may_take(turn.now, deadline).is_err() {
            self.tally.expired_unsent += 1;
            self.figures.expired_unsent += 1;
            self.finish(turn, id, refused, Some(FinalReason::Expired));
            return id;
        }
        if self.sites.as_mut().is_some_and(|s| !s.admits(group, class, tenant)) {
            self.finish(turn, id, refused, Some(FinalReason::SitePlan));
            return id;
        }
        let arrival =
            Arrival { request: id, class, group, key, deadline, since_write, repeat, checked, tenant };
        self.place(turn, source, arrival);
        id
    }

    /// The client has left.
    pub fn gone(&mut self, turn: &mut Turn, id: RequestId) {
        let Some(r) = self.requests.get_mut(&id) else { return };
        r.left = Some(turn.now);
        let (written, begun, forwarded) = (r.written, r.begun, r.forward.is_some());
        let attempt = r.out.as_ref().map(|out| AttemptId { request: id, number: out.number });
        if self.end(turn, id) {
            // Of a long answer that has begun the module knows no more. What is not sent yet is no business of the
            // settings on calling off: nothing reaches a db host. A home learns of it by the end of its connection, and keeps to
            // the settings itself.
            let abandon = begun || forwarded;
            self.orders.extend(attempt.map(if abandon { Order::Abandon } else { Order::Withdraw }));
            self.tally.gone += 1;
            self.tally.gone_unsent += u32::from(!written);
            self.figures.gone_unsent += u64::from(!written);
            self.tell(turn, Event::Gone { request: id });
        }
    }

    /// The client has cancelled a request and waits to be told so. Of a value that has begun it gets the rest.
    pub fn cancel(&mut self, turn: &mut Turn, id: RequestId) {
        let Some(r) = self.requests.get_mut(&id).filter(|r| !r.over && !r.begun) else { return };
        r.left = Some(turn.now);
        let forwarded = r.forward.is_some();
        let attempt = r.out.as_ref().map(|out| AttemptId { request: id, number: out.number });
        self.finish(turn, id, Final::Cancelled, Some(FinalReason::Cancelled));
        self.orders.extend(attempt.map(if forwarded { Order::Abandon } else { Order::Withdraw }));
        self.tell(turn, Event::Gone { request: id });
    }

    pub fn overdue(&mut self, turn: &mut Turn, id: RequestId) {
        if self.requests.get(&id).is_some_and(|r| !r.over) {
            error!(turn.log, "overdue: the module gave no final answer, failing the request"; "request" => id.0);
            self.finish(turn, id, Final::Failed(None), Some(FinalReason::Overdue));
            self.tell(turn, Event::Gone { request: id });
        }
    }

    /// The process ends: what is still open is answered, as a failure where it may have run. Of a value that has begun the
    /// client has to see that it is not whole.
    pub fn end_all(&mut self, turn: &mut Turn) {
        let open: Vec<_> = self.requests.iter().filter(|(_, r)| !r.over).map(|(id, _)| *id).collect();
        for id in open {
            let Some(r) = self.requests.get(&id) else { continue };
            let retry_after = self.retry_after.get(r.class.0).copied().flatten();
            let answer = match (r.begun, r.doubt_since.is_some() || r.written) {
                (true, _) => Final::Broken,
                (false, true) => Final::Failed(None),
                (false, false) => Final::Refused { retry_after },
            };
            self.finish(turn, id, answer, Some(FinalReason::Leaving));
            self.tell(turn, Event::Gone { request: id });
        }
    }

    /// The client side has got so much more of a long answer, and holds so much that its client has yet to read.
    pub fn unread(&mut self, id: RequestId, got: usize, held: usize) {
        let Some(r) = self.requests.get_mut(&id).filter(|r| !r.over) else { return };
        r.queued = r.queued.saturating_sub(got);
        r.room = ROOM.saturating_sub(held + r.queued);
        if let (Some(out), true) = (&r.out, r.stalled && r.room > 0) {
            r.stalled = false;
            self.orders.push_back(Order::Resume(AttemptId { request: id, number: out.number }));
        }
    }

    pub fn is_idle(&self) -> bool {
        self.requests.values().all(|r| r.over)
    }

    // ---- From the server side ----

    /// How much of a long answer the client side can take. Where that is none, [`Order::Resume`] follows later.
    pub fn room(&mut self, attempt: AttemptId) -> usize {
        let Some(r) = self.requests.get_mut(&attempt.request).filter(|r| !r.over) else { return 0 };
        r.stalled = r.room == 0;
        r.room
    }

    /// A part of a long answer. The client has begun to read it: no deadline ends it any more. The module's outcome is
    /// that of the first part: how long a value is says nothing of its db host, and one that is silent to others while
    /// it sends would pass for ill.
    pub fn part(&mut self, turn: &mut Turn, attempt: AttemptId, bytes: Vec<u8>, note: Option<Note>) {
        let id = attempt.request;
        let Some(r) = self.requests.get_mut(&id).filter(|r| !r.over) else { return };
        let Some(out) = r.out.as_ref().filter(|o| o.number == attempt.number) else { return };
        let (member, elapsed) = (out.member, turn.now - out.since);
        r.room = r.room.saturating_sub(bytes.len());
        r.queued += bytes.len();
        self.answers.push_back((id, Answer::Part(bytes)));
        if !std::mem::replace(&mut r.begun, true) {
            turn.deadlines.clear(r.deadline + self.slack, Due::Overdue(id));
            // Of what another proxy serves the module knows nothing.
            if r.forward.is_none() {
                let last = true;
                self.outcome(
                    turn,
                    Outcome { last, elapsed, note, ..outcome_of(attempt, member, Ending::Ok) },
                );
            }
        }
    }

    pub fn ended(&mut self, turn: &mut Turn, ended: Ended) {
        let Ended { attempt: AttemptId { request: id, number }, ending, note, said, trace } = ended;
        let Some(r) = self.requests.get_mut(&id) else { return };
        let Some(out) = r.out.take_if(|o| o.number == number) else { return };
        // The time of the close itself: that of the turn may be long past.
        if trace.connection_end == ConnectionEnd::Reset {
            r.settled_at = r.settled_at.max(Some(settled_at(turn.clock.now())));
        }
        let settled_at = r.settled_at;
        if r.forward.is_some() {
            return self.forward_ended(turn, id, out, ending, said);
        }
        r.error = None;
        r.ended = Some(ending);
        r.ended_attempts.push(EndedAttempt { number, since: out.since, ended: turn.now, ending, trace });
        if !ending.never_ran() {
            r.doubt_since.get_or_insert(out.since);
        }
        let (over, begun) = (r.over, r.begun);
        let answer = match said {
            Said::Answer(bytes) => Some((Final::Served(bytes), None)),
            _ if begun => Some((Final::Broken, Some(FinalReason::ValueCut))),
            Said::Verdict(bytes) => Some((Final::Failed(Some(bytes)), Some(FinalReason::Statement))),
            Said::Error(bytes) => {
                r.error = Some(bytes);
                None
            }
            Said::Nothing | Said::Refused { .. } | Said::Leaving => None,
        };
        let last = over || answer.is_some();
        let broken = matches!(answer, Some((Final::Broken, _)));
        if let Some((answer, reason)) = answer {
            self.finish(turn, id, answer, reason);
        }
        self.forget_if_done(id);
        // The module has had its outcome when the answer began.
        if begun {
            *self.tally.endings.entry("broken").or_default() += u32::from(broken);
            return;
        }
        // What is the statement's own fault must not cost the db host its standing.
        let verdict = last && ending == Ending::Error && !over;
        let ending = if verdict { Ending::Cancelled } else { ending };
        let elapsed = turn.now - out.since;
        let outcome = outcome_of(AttemptId { request: id, number }, out.member, ending);
        self.outcome(turn, Outcome { last, elapsed, note, settled_at, ..outcome });
    }

    pub fn probed(&mut self, turn: &mut Turn, probed: Probed) {
        site_loss::see(&mut self.sites, turn.now, probed.member, probed.ending, probed.elapsed);
        self.tell(turn, Event::Probed(probed));
    }

    // ---- From discovery, operators and the clock ----

    /// A db host is held out by hand, or readmitted.
    pub fn maintain(&mut self, turn: &mut Turn, member: MemberId, out: bool) {
        self.tell(turn, Event::Maintenance { member, out });
    }

    pub fn figures(&self) -> Figures {
        let t = self.balancer.targets();
        let concurrent = self.requests.values().filter(|r| !r.over).count() as u64;
        Figures { concurrent, targets: t.listed as u64, avoided: t.avoided as u64, ..self.figures.clone() }
    }

    pub fn members(&mut self, turn: &mut Turn, kind: ListKind, entries: Vec<Entry>) {
        self.sites.iter_mut().for_each(|s| s.list(kind, &entries));
        self.tell(turn, Event::Members { kind, entries });
    }

    pub fn timer(&mut self, turn: &mut Turn, tag: TimerTag) {
        self.tell(turn, Event::Timer { tag });
    }

    /// Sums up in the log what has come to pass since the last time.
    pub fn sum_up(&mut self, turn: &Turn) {
        let t = std::mem::take(&mut self.tally);
        let endings: Vec<_> = t.endings.iter().map(|(name, n)| format!("{name}={n}")).collect();
        info!(turn.log, "summary"; "open" => self.requests.len(), "members" => self.balancer.targets().known,
            "requests" => t.requests,
            "served" => t.served, "refused" => t.refused, "failed" => t.failed, "gone" => t.gone,
            "gone_unsent" => t.gone_unsent, "sent_after_gone" => t.sent_after_gone,
            "expired_unsent" => t.expired_unsent,
            "attempts" => endings.join(","));
        for (name, t) in self.tenants.iter().zip(&self.figures.tenants) {
            let text = |c: &Count| format!("served={},refused={},failed={}", c.served, c.refused, c.failed);
            info!(turn.log, "tenant"; "beyond" => text(&t.beyond), "within" => text(&t.within), "name" => name);
        }
    }

    // ---- The module ----

    fn tell(&mut self, turn: &mut Turn, event: Event) {
        self.events.push_back(event);
        // What the module asks for can end at once, as when an attempt is never sent: such an event waits
        // until the module has returned, and the loop further up takes it.
        if std::mem::replace(&mut self.telling, true) {
            return;
        }
        while let Some(event) = self.events.pop_front() {
            let mut actions = std::mem::take(&mut self.actions);
            match &event {
                // A line a db host: a list of thousands is no line that a reader takes.
                Event::Members { kind, entries } => {
                    debug!(turn.log, "members"; "kind" => ?kind, "entries" => entries.len());
                    entries.iter().for_each(|e| debug!(turn.log, "listed"; "is" => ?e));
                }
                event => debug!(turn.log, "event"; "is" => ?event),
            }
            self.balancer.handle(turn.now, event, &mut actions);
            for action in actions.drain(..) {
                debug!(turn.log, "action"; "is" => ?action);
                self.act(turn, action);
            }
            self.actions = actions;
        }
        self.telling = false;
    }

    fn act(&mut self, turn: &mut Turn, action: Action) {
        match action {
            Action::Send { request, member, timeout } => self.send(turn, request, member, timeout),
            Action::Cancel { request, attempt } => {
                let out = self.requests.get(&request).and_then(|r| r.out.as_ref());
                if out.is_some_and(|o| o.number == attempt) {
                    self.orders.push_back(Order::Abandon(AttemptId { request, number: attempt }));
                }
            }
            Action::Refuse { request, retry_after } => {
                let reason = self.requests.get(&request).map(Request::given_up_because);
                self.finish(turn, request, Final::Refused { retry_after }, reason)
            }
            Action::Fail { request } => {
                let reason = self.requests.get(&request).map(Request::given_up_because);
                let error = self.requests.get_mut(&request).and_then(|r| r.error.take());
                self.finish(turn, request, Final::Failed(error), reason);
            }
            Action::Probe { member } => self.orders.push_back(Order::Probe(member)),
            Action::Close { member } => self.orders.push_back(Order::CloseIdle(member)),
            Action::Timer { tag, at } => turn.deadlines.set(at, Due::Module(tag)),
            Action::Watch => self.asks.push_back(Ask::Watch),
            Action::Fetch => self.asks.push_back(Ask::Fetch),
        }
    }

    fn send(&mut self, turn: &mut Turn, id: RequestId, member: MemberId, timeout: Micros) {
        let Some(r) = self.requests.get_mut(&id) else {
            let attempt = AttemptId { request: id, number: 0 };
            return self.outcome(turn, Outcome { last: true, ..outcome_of(attempt, member, Ending::Moot) });
        };
        let effect = self.effects.get(r.class.0).copied().unwrap_or(Effect::Unsafe);
        let (number, facts) = (r.sends, r.facts(effect));
        r.sends += 1;
        if let (0, Some(sites)) = (number, &mut self.sites) {
            sites.sent(r.group, r.class, r.of);
        }
        let (last, after, attempt) = (r.over, r.ended, AttemptId { request: id, number });
        let until = r.deadline.min(turn.now + timeout);
        if let Err(denial) = may_begin(turn.now, &facts, &self.limits, None) {
            self.denied(turn, attempt, denial);
            return self.outcome(turn, Outcome { last, ..outcome_of(attempt, member, Ending::Moot) });
        }
        // A repeat is none only within its window, counted from the first send: a connection that comes up late must not
        // carry it past that.
        let write_by = repeat_by(effect, facts.doubt, self.limits.margin).unwrap_or(until);
        self.note_retry(after);
        let Some(r) = self.requests.get_mut(&id) else { return };
        r.out = Some(Out { number, member, since: turn.now });
        self.orders.push_back(Order::Start { attempt, member, body: Rc::clone(&r.body), until, write_by });
    }

    /// An attempt has ended: the module is told.
    fn outcome(&mut self, turn: &mut Turn, outcome: Outcome) {
        *self.tally.endings.entry(name(outcome.ending)).or_default() += 1;
        site_loss::see(&mut self.sites, turn.now, outcome.member, outcome.ending, outcome.elapsed);
        self.tell(turn, Event::Outcome(outcome));
    }

    /// Gives a request its final answer, and why where it is not served.
    fn finish(&mut self, turn: &mut Turn, id: RequestId, answer: Final, reason: Option<FinalReason>) {
        let of = self.requests.get(&id).filter(|r| !r.over).map(|r| (r.class.0, r.tenant, r.beyond));
        if of.is_some() {
            self.audit_answer(turn, id, reason);
            let refused = matches!(answer, Final::Refused { .. });
            reason.into_iter().for_each(|reason| self.note_reason(turn, id, refused, reason));
        }
        if !self.end(turn, id) {
            return;
        }
        let Some((class, tenant, beyond)) = of else { return };
        let tenant = &mut self.figures.tenants[tenant];
        let tenant = if beyond { &mut tenant.beyond } else { &mut tenant.within };
        for count in [Some(tenant), self.figures.classes.get_mut(class)].into_iter().flatten() {
            match &answer {
                Final::Served(_) => count.served += 1,
                Final::Refused { .. } => count.refused += 1,
                Final::Failed(_) | Final::Cancelled | Final::Broken => count.failed += 1,
            }
        }
        match &answer {
            Final::Served(_) => self.tally.served += 1,
            Final::Refused { .. } => self.tally.refused += 1,
            Final::Failed(_) | Final::Cancelled | Final::Broken => self.tally.failed += 1,
        }
        self.answers.push_back((id, Answer::Final(answer)));
    }

    /// Marks a request as over; false where it already was.
    fn end(&mut self, turn: &mut Turn, id: RequestId) -> bool {
        let Some(r) = self.requests.get_mut(&id).filter(|r| !r.over) else { return false };
        r.over = true;
        turn.deadlines.clear(r.deadline + self.slack, Due::Overdue(id));
        self.forget_if_done(id);
        true
    }

    fn forget_if_done(&mut self, id: RequestId) {
        if self.requests.get(&id).is_some_and(|r| r.over && r.out.is_none()) {
            self.requests.remove(&id);
        }
    }
}

/// An attempt that ended so, at once and without a word.
fn outcome_of(attempt: AttemptId, member: MemberId, ending: Ending) -> Outcome {
    let AttemptId { request, number: attempt } = attempt;
    let (last, elapsed, note, report, settled_at) = (false, 0, None, None, None);
    Outcome { request, attempt, member, ending, last, elapsed, note, report, settled_at }
}

/// An ending's name in the log.
pub fn name(ending: Ending) -> &'static str {
    match ending {
        Ending::Ok => "ok",
        Ending::Error => "error",
        Ending::Full => "full",
        Ending::Timeout => "timeout",
        Ending::ConnectFailed => "connect_failed",
        Ending::Reset => "reset",
        Ending::Cancelled => "cancelled",
        Ending::Moot => "moot",
        Ending::Miss => "miss",
    }
}

#[cfg(test)]
mod tests;
