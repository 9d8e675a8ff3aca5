//! Requests that are forwarded to a home proxy. The balancer does not know of them, unless no home is
//! available and this proxy serves them itself.

use gradeshunt_placement::Source;
use leadmast::permission::{may_repeat, repeat_deadline, PossibleExecution};
use leadmast::{Arrival, Ending, Event, MemberId, Micros, RequestId};
use slog::{debug, warn};

use super::endings;
use super::messages::{AnswerForm, BackendCommand, FinalAnswer, HostReply};
use super::reason::FinalReason;
use super::request::{ActiveAttempt, Forward};
use super::state::Exchange;
use crate::deadlines::DeadlineKind;
use crate::ids::AttemptId;
use crate::placing::{self, Decision};
use crate::turn::Turn;

/// First number of an attempt to forward a request; the balancer numbers its attempts from 0.
const FIRST_FORWARD: u32 = 1 << 16;

impl AttemptId {
    /// Whether this is a forward to another proxy rather than an attempt at a db host.
    pub fn is_forward(self) -> bool {
        self.number >= FIRST_FORWARD
    }
}

impl Exchange {
    /// Forwards a request, or serves it here. A request that came from another proxy is always served here,
    /// so that requests cannot circulate among proxies.
    pub(super) fn forward_or_serve(&mut self, turn: &mut Turn, source: Source, arrival: Arrival) {
        let id = arrival.request;
        // Another proxy can stand in for a db host only for requests that state their wait time and return
        // one value.
        let body = self.requests.get(&id).map(|r| &r.body);
        let is_not_forwardable = body.is_none_or(|b| !b.states_wait() || b.form != AnswerForm::Value);
        let Some(placing) = &mut self.placing else { return self.serve_here(turn, arrival) };
        if source == Source::Proxy {
            placing.counts.taken += 1;
            return self.serve_here(turn, arrival);
        }
        if is_not_forwardable {
            placing.counts.direct += 1;
            return self.serve_here(turn, arrival);
        }
        let bucket = placing::session_bucket(arrival.group, arrival.key, id.0);
        self.choose_proxy(turn, id, Forward { arrival, bucket, tried: Vec::new() });
    }

    fn choose_proxy(&mut self, turn: &mut Turn, id: RequestId, forward: Forward) {
        let Some(placing) = &mut self.placing else { return self.serve_here(turn, forward.arrival) };
        match placing.decide(turn.now, forward.arrival.group, forward.bucket, &forward.tried) {
            Decision::Here => self.serve_here(turn, forward.arrival),
            Decision::SendOn(peer) => self.forward_to(turn, id, peer, forward),
            Decision::Refuse => self.refuse(turn, id),
        }
    }

    fn serve_here(&mut self, turn: &mut Turn, arrival: Arrival) {
        let id = arrival.request;
        self.handle_event(turn, Event::Request(arrival));
        let beyond = self.balancer.exceeds_share(id);
        self.requests.get_mut(&id).into_iter().for_each(|r| r.exceeds_share = beyond);
    }

    fn refuse(&mut self, turn: &mut Turn, id: RequestId) {
        let retry_after = self.requests.get(&id).and_then(|r| self.retry_after(r.class));
        self.give_final_answer(turn, id, FinalAnswer::Refused { retry_after }, Some(FinalReason::NoHome));
    }

    fn forward_to(&mut self, turn: &mut Turn, id: RequestId, peer: MemberId, mut forward: Forward) {
        let Some(r) = self.requests.get(&id) else { return };
        // Leaves time for the home's answer to reach this proxy.
        let latest_end = r.deadline - self.forward_time;
        if latest_end <= turn.now {
            return self.refuse(turn, id);
        }
        // A home that has answered lately is given all of the time. For one that may be unresponsive, a
        // request that may be repeated keeps half of the time for the next home.
        let halfway = turn.now + (r.deadline - turn.now) / 2;
        let is_responsive =
            self.placing.as_ref().is_some_and(|placing| placing.has_answered_recently(turn.now, peer));
        let until = if !is_responsive && self.may_repeat(turn.now, id, halfway) {
            halfway.min(latest_end)
        } else {
            latest_end
        };
        forward.tried.push(peer);
        let number = FIRST_FORWARD + forward.tried.len() as u32;
        debug!(turn.log, "request forwarded to a home proxy"; "request" => id.0, "member" => peer.0);
        let Some(r) = self.requests.get_mut(&id) else { return };
        let doubt = r.outcome_unknown_since.map(|since| PossibleExecution { sent_at: since, zone: None });
        let write_by = repeat_deadline(r.effect, doubt, self.limits.margin).map_or(until, |by| by.min(until));
        r.active_attempt = Some(ActiveAttempt { number, member: peer, begun_at: turn.now });
        r.forward = Some(Box::new(forward));
        let body = std::rc::Rc::clone(&r.body);
        let attempt = AttemptId { request: id, number };
        self.backend_commands.push_back(BackendCommand::Start {
            attempt,
            member: peer,
            body,
            until,
            write_by,
        });
    }

    /// Whether a request that may have run may be sent again at `at`.
    fn may_repeat(&self, now: Micros, id: RequestId, at: Micros) -> bool {
        let Some(r) = self.requests.get(&id) else { return false };
        let doubt = PossibleExecution { sent_at: r.outcome_unknown_since.unwrap_or(now), zone: None };
        may_repeat(at, r.effect, Some(doubt), None, self.limits.margin).is_ok()
    }

    /// A forward to another proxy has ended.
    pub(super) fn forward_ended(
        &mut self,
        turn: &mut Turn,
        id: RequestId,
        active: ActiveAttempt,
        ending: Ending,
        host_reply: HostReply,
    ) {
        let Some(r) = self.requests.get_mut(&id) else { return };
        let Some(forward) = r.forward.take() else { return };
        let (over, begun, group) = (r.is_over, r.answer_begun, r.group);
        let again_at = r.settled_at.map_or(turn.now, |settled| settled.max(turn.now));
        let is_shutting_down = matches!(host_reply, HostReply::ShuttingDown);
        let may_have_run = !ending.never_ran() && !is_shutting_down;
        if may_have_run {
            r.outcome_unknown_since.get_or_insert(active.begun_at);
        }
        self.record_forward_end(turn, &active, ending, &host_reply, group);
        if over {
            return self.remove_if_done(id);
        }
        match host_reply {
            HostReply::Answer(bytes) => self.give_final_answer(turn, id, FinalAnswer::Served(bytes), None),
            _ if begun => self.give_final_answer(
                turn,
                id,
                FinalAnswer::Interrupted,
                Some(FinalReason::AnswerInterrupted),
            ),
            HostReply::StatementError(bytes) | HostReply::Error(bytes) => self.give_final_answer(
                turn,
                id,
                FinalAnswer::Failed(Some(bytes)),
                Some(FinalReason::MayHaveRun),
            ),
            HostReply::PossibleDuplicate => {
                self.give_final_answer(turn, id, FinalAnswer::Failed(None), Some(FinalReason::AnswerUnclear))
            }
            HostReply::Refused { retry_after } => self.give_final_answer(
                turn,
                id,
                FinalAnswer::Refused { retry_after },
                Some(FinalReason::HomeRefused),
            ),
            HostReply::Nothing | HostReply::ReadOnly | HostReply::ShuttingDown
                if !may_have_run || self.may_repeat(turn.now, id, again_at) =>
            {
                self.forward_at(turn, id, *forward, again_at);
            }
            HostReply::Nothing | HostReply::ReadOnly | HostReply::ShuttingDown => {
                self.give_final_answer(turn, id, FinalAnswer::Failed(None), Some(FinalReason::MayHaveRun))
            }
        }
        self.remove_if_done(id);
    }

    /// Forwards a request to another proxy, or serves it here, once the close of its latest connection has
    /// settled.
    fn forward_at(&mut self, turn: &mut Turn, id: RequestId, forward: Forward, at: Micros) {
        if at <= turn.now {
            return self.choose_proxy(turn, id, forward);
        }
        let Some(r) = self.requests.get_mut(&id) else { return };
        r.forward = Some(Box::new(forward));
        turn.deadlines.set(at, DeadlineKind::ForwardAgain(id));
    }

    /// The close of the latest connection has settled: forwards the request, unless it is over by now.
    pub fn forward_due(&mut self, turn: &mut Turn, id: RequestId) {
        let Some(r) = self.requests.get_mut(&id).filter(|r| !r.is_over) else { return };
        if let Some(forward) = r.forward.take() {
            self.choose_proxy(turn, id, *forward);
        }
    }

    /// Updates the state of a proxy by how a forward to it ended.
    fn record_forward_end(
        &mut self,
        turn: &mut Turn,
        active: &ActiveAttempt,
        ending: Ending,
        host_reply: &HostReply,
        group: leadmast::GroupId,
    ) {
        let Some(placing) = &mut self.placing else { return };
        match (host_reply, ending) {
            (
                HostReply::Answer(_)
                | HostReply::StatementError(_)
                | HostReply::Error(_)
                | HostReply::Refused { .. }
                | HostReply::PossibleDuplicate,
                _,
            ) => {
                placing.record_answer(turn.now, active.member, group);
            }
            (HostReply::Nothing, Ending::Moot | Ending::Cancelled | Ending::Ok | Ending::Error) => {}
            (HostReply::ShuttingDown | HostReply::ReadOnly | HostReply::Nothing, _) => {
                if placing.record_failure(turn.now, active.member) {
                    let name = placing.name(active.member).map(str::to_owned);
                    warn!(turn.log, "home proxy is unavailable"; "ending" => endings::ending_name(ending), "name" => name);
                    self.abandon_peer(turn.now, active.member);
                }
            }
        }
    }

    /// Abandons the forwards at an unresponsive proxy that may be repeated, and closes the idle connections
    /// to it: the next request needs a new one.
    fn abandon_peer(&mut self, now: Micros, peer: MemberId) {
        self.backend_commands.push_back(BackendCommand::CloseIdle(peer));
        let at_peer = self.requests.iter().filter_map(|(id, r)| {
            let active = r
                .active_attempt
                .as_ref()
                .filter(|active| active.member == peer && !r.answer_begun && !r.is_over)?;
            Some(AttemptId { request: *id, number: active.number })
        });
        let repeatable: Vec<_> =
            at_peer.filter(|attempt| self.may_repeat(now, attempt.request, now)).collect();
        self.backend_commands.extend(repeatable.into_iter().map(BackendCommand::Cancel));
    }
}
