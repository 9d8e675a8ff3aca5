//! Requests that are sent on to a home proxy. The module hears nothing of them, unless no home can be had and they are served
//! from here after all.

use gradeshunt_placement::Source;
use leadmast::permission::{may_repeat, repeat_by, Doubt};
use leadmast::{Arrival, Ending, Event, MemberId, Micros, RequestId};
use slog::{debug, warn};

use super::endings;
use super::messages::{Final, Form, Order, Said};
use super::reason::FinalReason;
use super::request::{Forward, Out};
use super::state::Exchange;
use crate::deadlines::Due;
use crate::ids::AttemptId;
use crate::placing::{self, Decision};
use crate::turn::Turn;

/// Numbers of tries at other proxies; the module numbers its attempts from 0 on.
const FIRST_FORWARD: u32 = 1 << 16;

impl AttemptId {
    /// Whether it is a try at another proxy, and no attempt at a db host.
    pub fn is_forward(self) -> bool {
        self.number >= FIRST_FORWARD
    }
}

impl Exchange {
    /// Sends a request on, or serves it from here. One that came from another proxy is always served here, so that none goes
    /// round in circles.
    pub(super) fn place(&mut self, turn: &mut Turn, source: Source, arrival: Arrival) {
        let id = arrival.request;
        // Only a value that tells its db host how long to wait can be had from another proxy as from a db host.
        let body = self.requests.get(&id).map(|r| &r.body);
        let plain = body.is_none_or(|b| !b.tells_wait() || b.form != Form::Value);
        let Some(placing) = &mut self.placing else { return self.serve_here(turn, arrival) };
        if source == Source::Proxy {
            placing.counts.taken += 1;
            return self.serve_here(turn, arrival);
        }
        if plain {
            placing.counts.direct += 1;
            return self.serve_here(turn, arrival);
        }
        let bucket = placing::session_bucket(arrival.group, arrival.key, id.0);
        self.decide(turn, id, Forward { arrival, bucket, tried: Vec::new() });
    }

    fn decide(&mut self, turn: &mut Turn, id: RequestId, forward: Forward) {
        let Some(placing) = &mut self.placing else { return self.serve_here(turn, forward.arrival) };
        match placing.decide(turn.now, forward.arrival.group, forward.bucket, &forward.tried) {
            Decision::Here => self.serve_here(turn, forward.arrival),
            Decision::SendOn(peer) => self.send_on(turn, id, peer, forward),
            Decision::Refuse => self.refuse(turn, id),
        }
    }

    fn serve_here(&mut self, turn: &mut Turn, arrival: Arrival) {
        let id = arrival.request;
        self.tell(turn, Event::Request(arrival));
        let beyond = self.balancer.is_beyond(id);
        self.requests.get_mut(&id).into_iter().for_each(|r| r.beyond = beyond);
    }

    fn refuse(&mut self, turn: &mut Turn, id: RequestId) {
        let retry_after = self.requests.get(&id).and_then(|r| self.retry_after(r.class));
        self.finish(turn, id, Final::Refused { retry_after }, Some(FinalReason::NoHome));
    }

    fn send_on(&mut self, turn: &mut Turn, id: RequestId, peer: MemberId, mut forward: Forward) {
        let Some(r) = self.requests.get(&id) else { return };
        // The home's last answer has to come back in time.
        let last = r.deadline - self.hop;
        if last <= turn.now {
            return self.refuse(turn, id);
        }
        // A home that answers others is waited for. Of one that may be silent, what may be repeated leaves time for the next.
        let half = turn.now + (r.deadline - turn.now) / 2;
        let heard =
            self.placing.as_ref().is_some_and(|placing| placing.has_answered_recently(turn.now, peer));
        let until = if !heard && self.may_repeat(turn.now, id, half) { half.min(last) } else { last };
        forward.tried.push(peer);
        let number = FIRST_FORWARD + forward.tried.len() as u32;
        debug!(turn.log, "sent on"; "request" => id.0, "member" => peer.0);
        let Some(r) = self.requests.get_mut(&id) else { return };
        let doubt = r.doubt_since.map(|since| Doubt { since, zone: None });
        let write_by = repeat_by(r.effect, doubt, self.limits.margin).map_or(until, |by| by.min(until));
        r.out = Some(Out { number, member: peer, since: turn.now });
        r.forward = Some(Box::new(forward));
        let body = std::rc::Rc::clone(&r.body);
        let attempt = AttemptId { request: id, number };
        self.orders.push_back(Order::Start { attempt, member: peer, body, until, write_by });
    }

    /// Whether a request that may have run may be sent once more at `at`.
    fn may_repeat(&self, now: Micros, id: RequestId, at: Micros) -> bool {
        let Some(r) = self.requests.get(&id) else { return false };
        let doubt = Doubt { since: r.doubt_since.unwrap_or(now), zone: None };
        may_repeat(at, r.effect, Some(doubt), None, self.limits.margin).is_ok()
    }

    /// A try at another proxy has ended.
    pub(super) fn forward_ended(
        &mut self,
        turn: &mut Turn,
        id: RequestId,
        out: Out,
        ending: Ending,
        said: Said,
    ) {
        let Some(r) = self.requests.get_mut(&id) else { return };
        let Some(forward) = r.forward.take() else { return };
        let (over, begun, group) = (r.over, r.begun, r.group);
        let again_at = r.settled_at.map_or(turn.now, |settled| settled.max(turn.now));
        let leaving = matches!(said, Said::Leaving);
        let ran = !ending.never_ran() && !leaving;
        if ran {
            r.doubt_since.get_or_insert(out.since);
        }
        self.judge_peer(turn, &out, ending, &said, group);
        if over {
            return self.forget_if_done(id);
        }
        match said {
            Said::Answer(bytes) => self.finish(turn, id, Final::Served(bytes), None),
            _ if begun => self.finish(turn, id, Final::Broken, Some(FinalReason::ValueCut)),
            Said::Verdict(bytes) | Said::Error(bytes) => {
                self.finish(turn, id, Final::Failed(Some(bytes)), Some(FinalReason::MayHaveRun))
            }
            Said::Unclear => self.finish(turn, id, Final::Failed(None), Some(FinalReason::AnswerUnclear)),
            Said::Refused { retry_after } => {
                self.finish(turn, id, Final::Refused { retry_after }, Some(FinalReason::HomeRefused))
            }
            Said::Nothing | Said::Leaving if !ran || self.may_repeat(turn.now, id, again_at) => {
                self.send_on_at(turn, id, *forward, again_at);
            }
            Said::Nothing | Said::Leaving => {
                self.finish(turn, id, Final::Failed(None), Some(FinalReason::MayHaveRun))
            }
        }
        self.forget_if_done(id);
    }

    /// Sends a request on to another proxy, or serves it from here, once the close of its latest connection has settled.
    fn send_on_at(&mut self, turn: &mut Turn, id: RequestId, forward: Forward, at: Micros) {
        if at <= turn.now {
            return self.decide(turn, id, forward);
        }
        let Some(r) = self.requests.get_mut(&id) else { return };
        r.forward = Some(Box::new(forward));
        turn.deadlines.set(at, Due::SendOn(id));
    }

    /// The close has settled: the request is sent on, unless it is over by now.
    pub fn send_on_due(&mut self, turn: &mut Turn, id: RequestId) {
        let Some(r) = self.requests.get_mut(&id).filter(|r| !r.over) else { return };
        if let Some(forward) = r.forward.take() {
            self.decide(turn, id, *forward);
        }
    }

    /// What the end of a try says of the proxy that it went to.
    fn judge_peer(
        &mut self,
        turn: &mut Turn,
        out: &Out,
        ending: Ending,
        said: &Said,
        group: leadmast::GroupId,
    ) {
        let Some(placing) = &mut self.placing else { return };
        match (said, ending) {
            (
                Said::Answer(_) | Said::Verdict(_) | Said::Error(_) | Said::Refused { .. } | Said::Unclear,
                _,
            ) => {
                placing.record_answer(turn.now, out.member, group);
            }
            (Said::Nothing, Ending::Moot | Ending::Cancelled | Ending::Ok | Ending::Error) => {}
            (Said::Leaving, _) | (Said::Nothing, _) => {
                if placing.record_failure(turn.now, out.member) {
                    let name = placing.name(out.member).map(str::to_owned);
                    warn!(turn.log, "home proxy is unavailable"; "ending" => endings::name(ending), "name" => name);
                    self.leave_peer(turn.now, out.member);
                }
            }
        }
    }

    /// Takes back from a silent proxy what may be repeated, and closes the connections to it that stand in the pool: the next
    /// request needs one that has come up.
    fn leave_peer(&mut self, now: Micros, peer: MemberId) {
        self.orders.push_back(Order::CloseIdle(peer));
        let at_peer = self.requests.iter().filter_map(|(id, r)| {
            let out = r.out.as_ref().filter(|out| out.member == peer && !r.begun && !r.over)?;
            Some(AttemptId { request: *id, number: out.number })
        });
        let repeatable: Vec<_> =
            at_peer.filter(|attempt| self.may_repeat(now, attempt.request, now)).collect();
        self.orders.extend(repeatable.into_iter().map(Order::Abandon));
    }
}
