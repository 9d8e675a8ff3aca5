//! State of a request in the exchange: its attempts, which of them may have run, and how much of its answer
//! was passed on.

use std::rc::Rc;

use gradeshunt_placement::Bucket;
use leadmast::permission::{PossibleExecution, RequestState};
use leadmast::{Arrival, ClassId, Effect, Ending, GroupId, MemberId, Micros, TenantId};

use super::messages::{Body, ANSWER_BUFFER_SIZE};
use super::reason::FinalReason;
use super::trace::{ConnectionEnd, EndedAttempt};

/// The attempt that is out.
pub(super) struct ActiveAttempt {
    pub(super) number: u32,
    pub(super) member: MemberId,
    pub(super) begun_at: Micros,
}

/// A request that is being forwarded to other proxies.
#[derive(Debug)]
pub(super) struct Forward {
    /// Passed to the balancer if this proxy serves the request after all.
    pub(super) arrival: Arrival,
    pub(super) bucket: Bucket,
    /// The proxies to which the request has been forwarded.
    pub(super) tried: Vec<MemberId>,
}

/// A request that has no final answer yet, or whose last attempt is still out.
pub(super) struct Request {
    pub(super) class: ClassId,
    /// What a second execution would do, by the request's class.
    pub(super) effect: Effect,
    pub(super) group: GroupId,
    pub(super) tenant_id: Option<TenantId>,
    /// Index in [`Metrics::tenants`](crate::figures::Metrics::tenants).
    pub(super) tenant_index: usize,
    /// Whether the request exceeds its tenant's share.
    pub(super) exceeds_share: bool,
    pub(super) deadline: Micros,
    pub(super) body: Rc<Body>,
    pub(super) attempts_begun: u32,
    pub(super) active_attempt: Option<ActiveAttempt>,
    /// Whether an attempt was written completely.
    pub(super) any_attempt_written: bool,
    /// When the first attempt that may have run was started.
    pub(super) outcome_unknown_since: Option<Micros>,
    /// The time from which another attempt may start, where a connection of an earlier one was closed.
    pub(super) settled_at: Option<Micros>,
    /// When the client disconnected before it had its answer.
    pub(super) client_left_at: Option<Micros>,
    /// How the latest attempt ended.
    pub(super) last_ending: Option<Ending>,
    /// All attempts that have ended.
    pub(super) ended_attempts: Vec<EndedAttempt>,
    /// The final answer was given, or the client has disconnected.
    pub(super) is_over: bool,
    pub(super) last_error: Option<Vec<u8>>,
    /// Set while the request is being forwarded to other proxies.
    pub(super) forward: Option<Box<Forward>>,
    /// The first part of a long answer was passed on. From then on no other attempt may answer, and no
    /// deadline applies.
    pub(super) answer_begun: bool,
    /// Bytes of the answer that the frontend can take now.
    pub(super) room: usize,
    /// Bytes of the answer that are queued for the frontend.
    pub(super) queued_bytes: usize,
    /// Whether the backend waits for more room.
    pub(super) awaits_room: bool,
}

impl Request {
    /// A new request; `tenant_index` is its index among the tenants' counters.
    pub(super) fn new(
        class: ClassId,
        effect: Effect,
        group: GroupId,
        tenant_id: Option<TenantId>,
        tenant_index: usize,
        deadline: Micros,
        body: Body,
    ) -> Self {
        Request {
            class,
            effect,
            group,
            tenant_id,
            tenant_index,
            exceeds_share: false,
            deadline,
            body: Rc::new(body),
            attempts_begun: 0,
            active_attempt: None,
            any_attempt_written: false,
            outcome_unknown_since: None,
            settled_at: None,
            client_left_at: None,
            last_ending: None,
            ended_attempts: Vec::new(),
            is_over: false,
            last_error: None,
            forward: None,
            answer_begun: false,
            room: ANSWER_BUFFER_SIZE,
            queued_bytes: 0,
            awaits_room: false,
        }
    }

    /// The facts by which the rules allow or deny an attempt.
    pub(super) fn facts(&self) -> RequestState {
        RequestState {
            effect: self.effect,
            deadline: self.deadline,
            answered: self.is_over,
            client_left: self.client_left_at.is_some(),
            attempts_begun: self.attempts_begun,
            in_flight: u32::from(self.active_attempt.is_some()),
            possible_execution: self
                .outcome_unknown_since
                .map(|since| PossibleExecution { sent_at: since, zone: None }),
            settled_at: self.settled_at,
        }
    }

    /// Counts the request's other attempts that are out. To a db host an attempt is out for as long as its
    /// connection is open and ReadyForQuery has not been sent, even if it has ended here.
    pub(super) fn others_out(&self, number: u32) -> u32 {
        let other = self.active_attempt.as_ref().is_some_and(|active| active.number != number);
        let open = |ended: &&EndedAttempt| ended.trace.connection_end == ConnectionEnd::AwaitsReady;
        u32::from(other) + self.ended_attempts.iter().filter(open).count() as u32
    }

    /// The start of the first attempt that may have run. Besides the reported endings this considers what was
    /// written and what the db host replied, so that an attempt that ended with a wrong ending is counted
    /// too.
    pub(super) fn may_have_run_since(&self) -> Option<Micros> {
        let in_doubt = self.ended_attempts.iter().filter(|ended| ended.may_have_run());
        in_doubt.map(|ended| ended.begun_at).chain(self.outcome_unknown_since).min()
    }

    /// Why no db host answered the request, when the balancer gives it up.
    pub(super) fn give_up_reason(&self) -> FinalReason {
        match (self.attempts_begun, self.outcome_unknown_since) {
            (0, None) => FinalReason::NeverSent,
            (_, None) => FinalReason::NeverRan,
            (_, Some(_)) => FinalReason::MayHaveRun,
        }
    }
}
