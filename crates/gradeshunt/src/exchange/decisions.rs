//! Passes events to the balancer one at a time, and carries out the actions that it returns.

use std::rc::Rc;

use leadmast::permission::{may_begin, repeat_deadline};
use leadmast::{Action, Ending, Entry, Event, ListKind, MemberId, Micros, Outcome, RequestId, TimerTag};
use slog::debug;

use super::endings::{ending_name, immediate_outcome};
use super::messages::{BackendCommand, DiscoveryCall, FinalAnswer};
use super::request::{ActiveAttempt, Request};
use super::state::Exchange;
use crate::deadlines::DeadlineKind;
use crate::ids::AttemptId;
use crate::site_loss;
use crate::turn::Turn;
use crate::work_times::Work;

impl Exchange {
    /// An operator holds a db host out, or readmits it.
    pub fn set_held_out(&mut self, turn: &mut Turn, member: MemberId, out: bool) {
        self.handle_event(turn, Event::Maintenance { member, out });
    }

    /// Discovery has sent a list, or a call for one has failed.
    pub fn update_members(&mut self, turn: &mut Turn, kind: ListKind, entries: Vec<Entry>) {
        self.sites.iter_mut().for_each(|s| s.list(kind, &entries));
        self.handle_event(turn, Event::Members { kind, entries });
    }

    /// A timer that the balancer has set is due.
    pub fn timer_due(&mut self, turn: &mut Turn, tag: TimerTag) {
        self.handle_event(turn, Event::Timer { tag });
    }

    /// Passes an event to the balancer and carries out the actions that it returns.
    pub(super) fn handle_event(&mut self, turn: &mut Turn, event: Event) {
        self.events.push_back(event);
        // Carrying out an action can raise another event at once, such as an attempt that is never sent. That
        // event is queued until the balancer has returned; the outer call's loop handles it.
        if std::mem::replace(&mut self.is_handling_event, true) {
            return;
        }
        while let Some(event) = self.events.pop_front() {
            let mut actions = std::mem::take(&mut self.actions);
            match &event {
                // One line per db host: a list of thousands on one line is too long for log readers.
                Event::Members { kind, entries } => {
                    debug!(turn.log, "members"; "kind" => ?kind, "entries" => entries.len());
                    entries.iter().for_each(|e| debug!(turn.log, "listed"; "is" => ?e));
                }
                event => debug!(turn.log, "event"; "is" => ?event),
            }
            let interrupted = turn.work.begin(Work::Decisions, turn.clock.now());
            self.balancer.handle(turn.now, event, &mut actions);
            turn.work.end(interrupted, turn.clock.now());
            for action in actions.drain(..) {
                debug!(turn.log, "action"; "is" => ?action);
                self.apply(turn, action);
            }
            self.actions = actions;
        }
        self.is_handling_event = false;
    }

    /// Carries out one action of the balancer.
    fn apply(&mut self, turn: &mut Turn, action: Action) {
        match action {
            Action::Send { request, member, timeout } => self.begin_attempt(turn, request, member, timeout),
            Action::Cancel { request, attempt } => {
                let active = self.requests.get(&request).and_then(|r| r.active_attempt.as_ref());
                if active.is_some_and(|o| o.number == attempt) {
                    self.backend_commands
                        .push_back(BackendCommand::Cancel(AttemptId { request, number: attempt }));
                }
            }
            Action::Refuse { request, retry_after } => {
                let reason = self.requests.get(&request).map(Request::give_up_reason);
                self.give_final_answer(turn, request, FinalAnswer::Refused { retry_after }, reason)
            }
            Action::Fail { request } => {
                let reason = self.requests.get(&request).map(Request::give_up_reason);
                let error = self.requests.get_mut(&request).and_then(|r| r.last_error.take());
                self.give_final_answer(turn, request, FinalAnswer::Failed(error), reason);
            }
            Action::Probe { member } => self.backend_commands.push_back(BackendCommand::Probe(member)),
            Action::Close { member } => self.backend_commands.push_back(BackendCommand::CloseIdle(member)),
            Action::Timer { tag, at } => turn.deadlines.set(at, DeadlineKind::Module(tag)),
            Action::Watch => self.discovery_calls.push_back(DiscoveryCall::Watch),
            Action::Fetch => self.discovery_calls.push_back(DiscoveryCall::Fetch),
        }
    }

    /// Begins an attempt, unless the rules deny it.
    fn begin_attempt(&mut self, turn: &mut Turn, id: RequestId, member: MemberId, timeout: Micros) {
        let Some(r) = self.requests.get_mut(&id) else {
            let attempt = AttemptId { request: id, number: 0 };
            return self.report_outcome(
                turn,
                Outcome { last: true, ..immediate_outcome(attempt, member, Ending::Moot) },
            );
        };
        let (number, facts) = (r.attempts_begun, r.facts());
        r.attempts_begun += 1;
        if let (0, Some(sites)) = (number, &mut self.sites) {
            sites.sent(r.group, r.class, r.tenant_id);
        }
        let (last, after, attempt) = (r.is_over, r.last_ending, AttemptId { request: id, number });
        let until = r.deadline.min(turn.now + timeout);
        if let Err(denial) = may_begin(turn.now, &facts, &self.limits, None) {
            self.record_denial(turn, attempt, denial);
            return self
                .report_outcome(turn, Outcome { last, ..immediate_outcome(attempt, member, Ending::Moot) });
        }
        // Db hosts recognize a repeat only within its window, counted from the first send. A connection that
        // comes up late must not carry it past that.
        let write_by =
            repeat_deadline(facts.effect, facts.possible_execution, self.limits.margin).unwrap_or(until);
        self.count_retry(after);
        let Some(r) = self.requests.get_mut(&id) else { return };
        r.active_attempt = Some(ActiveAttempt { number, member, begun_at: turn.now });
        self.backend_commands.push_back(BackendCommand::Start {
            attempt,
            member,
            body: Rc::clone(&r.body),
            until,
            write_by,
        });
    }

    /// Reports the outcome of an attempt to the balancer.
    pub(super) fn report_outcome(&mut self, turn: &mut Turn, outcome: Outcome) {
        *self.summary_counts.endings.entry(ending_name(outcome.ending)).or_default() += 1;
        site_loss::record_ending(&mut self.sites, turn.now, outcome.member, outcome.ending, outcome.elapsed);
        self.handle_event(turn, Event::Outcome(outcome));
    }
}
