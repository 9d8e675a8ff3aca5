//! The module that decides: what it is told, one event at a time, and what it asks for.

use std::rc::Rc;

use leadmast::permission::{may_begin, repeat_by};
use leadmast::{Action, Ending, Entry, Event, ListKind, MemberId, Micros, Outcome, RequestId, TimerTag};
use slog::debug;

use super::endings::{name, outcome_of};
use super::messages::{Ask, Final, Order};
use super::request::{Out, Request};
use super::state::Exchange;
use crate::deadlines::Due;
use crate::ids::AttemptId;
use crate::site_loss;
use crate::turn::Turn;

impl Exchange {
    /// A db host is held out by hand, or readmitted.
    pub fn maintain(&mut self, turn: &mut Turn, member: MemberId, out: bool) {
        self.tell(turn, Event::Maintenance { member, out });
    }

    /// Discovery has sent a list, or a call for one has failed.
    pub fn members(&mut self, turn: &mut Turn, kind: ListKind, entries: Vec<Entry>) {
        self.sites.iter_mut().for_each(|s| s.list(kind, &entries));
        self.tell(turn, Event::Members { kind, entries });
    }

    /// A timer that the module has set is due.
    pub fn timer(&mut self, turn: &mut Turn, tag: TimerTag) {
        self.tell(turn, Event::Timer { tag });
    }

    /// Hands the module an event, and carries out what it asks for.
    pub(super) fn tell(&mut self, turn: &mut Turn, event: Event) {
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

    /// Carries out one action of the module.
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

    /// Begins an attempt, unless the rules deny it.
    fn send(&mut self, turn: &mut Turn, id: RequestId, member: MemberId, timeout: Micros) {
        let Some(r) = self.requests.get_mut(&id) else {
            let attempt = AttemptId { request: id, number: 0 };
            return self.outcome(turn, Outcome { last: true, ..outcome_of(attempt, member, Ending::Moot) });
        };
        let (number, facts) = (r.sends, r.facts());
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
        let write_by = repeat_by(facts.effect, facts.doubt, self.limits.margin).unwrap_or(until);
        self.note_retry(after);
        let Some(r) = self.requests.get_mut(&id) else { return };
        r.out = Some(Out { number, member, since: turn.now });
        self.orders.push_back(Order::Start { attempt, member, body: Rc::clone(&r.body), until, write_by });
    }

    /// An attempt has ended: the module is told.
    pub(super) fn outcome(&mut self, turn: &mut Turn, outcome: Outcome) {
        *self.tally.endings.entry(name(outcome.ending)).or_default() += 1;
        site_loss::record_ending(&mut self.sites, turn.now, outcome.member, outcome.ending, outcome.elapsed);
        self.tell(turn, Event::Outcome(outcome));
    }
}
