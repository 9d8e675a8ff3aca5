//! A request as the exchange knows it: its attempts, what may have run, and how far its answer got.

use std::rc::Rc;

use gradeshunt_placement::Bucket;
use leadmast::permission::{Doubt, RequestFacts};
use leadmast::{Arrival, ClassId, Effect, Ending, GroupId, MemberId, Micros, TenantId};

use super::messages::{Body, ROOM};
use super::reason::FinalReason;
use super::trace::{ConnectionEnd, EndedAttempt};

/// The attempt that is out.
pub(super) struct Out {
    pub(super) number: u32,
    pub(super) member: MemberId,
    pub(super) since: Micros,
}

/// A request on its way over other proxies.
#[derive(Debug)]
pub(super) struct Forward {
    /// What the module is told should it be served from here.
    pub(super) arrival: Arrival,
    pub(super) bucket: Bucket,
    /// The proxies that it was sent on to.
    pub(super) tried: Vec<MemberId>,
}

/// A request that has no final answer yet, or whose last attempt is still out.
pub(super) struct Request {
    pub(super) class: ClassId,
    /// What a second run of it would do, by its class.
    pub(super) effect: Effect,
    pub(super) group: GroupId,
    pub(super) of: Option<TenantId>,
    /// Its place in [`Metrics::tenants`](crate::figures::Metrics::tenants), and whether it is beyond that tenant's share.
    pub(super) tenant: usize,
    pub(super) beyond: bool,
    pub(super) deadline: Micros,
    pub(super) body: Rc<Body>,
    pub(super) sends: u32,
    pub(super) out: Option<Out>,
    /// An attempt was written whole.
    pub(super) written: bool,
    /// When the first attempt that may have run was sent.
    pub(super) doubt_since: Option<Micros>,
    /// From when on another attempt may follow those whose connections were closed.
    pub(super) settled_at: Option<Micros>,
    /// When its client left before it had its answer.
    pub(super) left: Option<Micros>,
    /// How its latest attempt has ended.
    pub(super) ended: Option<Ending>,
    /// All that have ended, for the log.
    pub(super) ended_attempts: Vec<EndedAttempt>,
    /// The final answer is given, or the client has gone.
    pub(super) over: bool,
    pub(super) error: Option<Vec<u8>>,
    /// While another proxy has it.
    pub(super) forward: Option<Box<Forward>>,
    /// The first part of a long answer was passed on: from then on it is this attempt's, without a deadline.
    pub(super) begun: bool,
    /// How much of it the client side can take now, how much is on its way there, and whether the server side waits
    /// for more room.
    pub(super) room: usize,
    pub(super) queued: usize,
    pub(super) stalled: bool,
}

impl Request {
    /// A request that has just been taken; `tenant` is its place among the figures of tenants.
    pub(super) fn new(
        class: ClassId,
        effect: Effect,
        group: GroupId,
        of: Option<TenantId>,
        tenant: usize,
        deadline: Micros,
        body: Body,
    ) -> Self {
        Request {
            class,
            effect,
            group,
            of,
            tenant,
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
        }
    }

    /// What is known of it where an attempt is considered.
    pub(super) fn facts(&self) -> RequestFacts {
        RequestFacts {
            effect: self.effect,
            deadline: self.deadline,
            answered: self.over,
            client_left: self.left.is_some(),
            begun: self.sends,
            out: u32::from(self.out.is_some()),
            doubt: self.doubt_since.map(|since| Doubt { since, zone: None }),
            settled_at: self.settled_at,
        }
    }

    /// Attempts that are out beside this one. A db host counts an attempt as out for as long as its connection is open and has not told
    /// ReadyForQuery, also where it counts as ended here.
    pub(super) fn others_out(&self, number: u32) -> u32 {
        let other = self.out.as_ref().is_some_and(|out| out.number != number);
        let open = |ended: &&EndedAttempt| ended.trace.connection_end == ConnectionEnd::AwaitsReady;
        u32::from(other) + self.ended_attempts.iter().filter(open).count() as u32
    }

    /// When the first of its attempts began that may have run, also by what was written of each and what its db host said of it: an
    /// ending that was told by mistake hides nothing.
    pub(super) fn may_have_run_since(&self) -> Option<Micros> {
        let in_doubt = self.ended_attempts.iter().filter(|ended| ended.may_have_run());
        in_doubt.map(|ended| ended.since).chain(self.doubt_since).min()
    }

    /// Why it gets no answer of a db host's, where the decisions give it up.
    pub(super) fn given_up_because(&self) -> FinalReason {
        match (self.sends, self.doubt_since) {
            (0, None) => FinalReason::NeverSent,
            (_, None) => FinalReason::NeverRan,
            (_, Some(_)) => FinalReason::MayHaveRun,
        }
    }
}
