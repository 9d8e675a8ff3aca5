//! What the client side tells the exchange: calls, clients that leave or cancel, and how much they have read.

use leadmast::permission::may_take;
use leadmast::{Arrival, Effect, Event, RequestId};

use super::messages::{Call, Final, Order, ROOM};
use super::reason::FinalReason;
use super::request::Request;
use super::state::Exchange;
use crate::deadlines::DeadlineKind;
use crate::ids::AttemptId;
use crate::turn::Turn;

impl Exchange {
    /// Takes a request, which gets one final answer.
    pub fn submit(&mut self, turn: &mut Turn, call: Call) -> RequestId {
        let id = RequestId(self.next);
        self.next += 1;
        let Call { class, group, key, deadline, since_write, repeat, checked, tenant, source, body } = call;
        self.tally.requests += 1;
        // The module answers by the deadline. Should it not, the client gets its answer all the same.
        turn.deadlines.set(deadline + self.slack, DeadlineKind::Overdue(id));
        let place = tenant.map_or(self.figures.tenants.len() - 1, |t| t.0);
        let effect = self.effects.get(class.0).copied().unwrap_or(Effect::Unsafe);
        let request = Request::new(class, effect, group, tenant, place, deadline, body);
        self.requests.insert(id, request);
        let refused = Final::Refused { retry_after: self.retry_after(class) };
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
}
