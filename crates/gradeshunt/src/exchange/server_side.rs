//! What the server side tells the exchange: parts of long answers, attempts and probes that have ended.

use leadmast::permission::settled_at;
use leadmast::{Ending, Event, Micros, Note, Outcome, Probed};

use super::endings::outcome_of;
use super::messages::{Answer, Ended, Final, Said};
use super::reason::FinalReason;
use super::state::Exchange;
use super::trace::{ConnectionEnd, EndedAttempt};
use crate::deadlines::Due;
use crate::ids::AttemptId;
use crate::site_loss;
use crate::turn::Turn;

impl Exchange {
    /// How much of a long answer the client side can take. Where that is none, [`Order::Resume`] follows later.
    pub fn room(&mut self, attempt: AttemptId) -> usize {
        let Some(r) = self.requests.get_mut(&attempt.request).filter(|r| !r.over) else { return 0 };
        r.stalled = r.room == 0;
        r.room
    }

    /// Whether another attempt might follow one that ends at `at`.
    pub fn may_be_followed(&self, attempt: AttemptId, at: Micros) -> bool {
        self.requests.get(&attempt.request).is_some_and(|r| !r.over && at < r.deadline)
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

    /// An attempt has ended, at a db host or at another proxy.
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
            Said::Unclear => Some((Final::Failed(None), Some(FinalReason::AnswerUnclear))),
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

    /// A probe has ended.
    pub fn probed(&mut self, turn: &mut Turn, probed: Probed) {
        site_loss::record_ending(&mut self.sites, turn.now, probed.member, probed.ending, probed.elapsed);
        self.tell(turn, Event::Probed(probed));
    }
}
