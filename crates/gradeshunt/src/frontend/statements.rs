//! Turns statements into requests, by their routing comment or by the operators' rules.

use std::rc::Rc;

use gradeshunt_placement::Source;
use leadmast::settings::fnv;
use leadmast::{Effect, GroupId, Micros, ReadLevel};
use slog::debug;

use super::Frontend;
use crate::exchange::{AnswerForm, Body, IncomingRequest};
use crate::ids::SessionId;
use crate::pg::{self, sqlstate, Writer};
use crate::routing::{Decision, Destination};
use crate::turn::Turn;

/// How a query is handled.
pub(super) enum QueryOutcome {
    /// The proxy answers the query itself.
    Reply(Writer),
    /// The query becomes a request with this id.
    Request(Box<IncomingRequest>, Rc<str>),
}

impl Frontend {
    /// Processes a statement whose last byte arrived at `arrived`.
    pub(super) fn process_query(
        &mut self,
        turn: &Turn,
        session: SessionId,
        text: Vec<u8>,
        arrived: Micros,
    ) -> Result<QueryOutcome, String> {
        let w = Writer::default();
        let statement = std::str::from_utf8(&text).map_err(|_| "the statement is not UTF-8")?;
        let trimmed = statement.trim().trim_end_matches(';').trim();
        let unavailable = if !self.has_hosts {
            Some("no db host is known yet")
        } else if self.drain.is_in_standby() {
            Some("the proxy is in standby")
        } else {
            None
        };
        if let (true, Some(why)) = (trimmed.is_empty(), unavailable) {
            let error = w.error("ERROR", sqlstate::CANNOT_CONNECT_NOW, why, None);
            return Ok(QueryOutcome::Reply(error.ready()));
        }
        if trimmed.is_empty() {
            return Ok(QueryOutcome::Reply(w.message(b'I', &[]).ready()));
        }
        let verb = trimmed.split_whitespace().next().unwrap_or("").to_ascii_uppercase();
        // The proxy keeps no session state, so there is nothing to set and nothing to discard.
        if matches!(verb.as_str(), "SET" | "RESET" | "DISCARD") {
            return Ok(QueryOutcome::Reply(w.message(b'C', &[verb.as_bytes(), b"\0"]).ready()));
        }
        let source = self.sessions.get(&session).map_or(Source::Client, |s| s.source);
        let routing = match pg::parse_routing_comment(statement) {
            // Other proxies forward only statements with a routing comment, since a plain statement depends
            // on its session, which the forwarding proxy holds.
            Err(_) if self.router.is_some() && source == Source::Client => {
                return self.route_plain(turn, session, text, arrived)
            }
            parsed => parsed?,
        };
        let mut class =
            self.names.class(routing.class).ok_or_else(|| format!("unknown class {:?}", routing.class))?;
        let mut group = GroupId(routing.cluster);
        if let (Some(router), Some(s)) = (&mut self.router, self.sessions.get_mut(&session)) {
            if let Some(decision) = router.override_class(&self.settings, &s.origin, statement, class) {
                match route_or_reply(decision) {
                    Ok(r) => (class, group) = (r.class, r.group),
                    Err(reply) => return Ok(QueryOutcome::Reply(reply)),
                }
            }
        }
        let (read, effect) = (self.settings.classes[class.0].read, self.settings.classes[class.0].effect);
        self.ids.check(routing.id, turn.now).map_err(|denial| denial.text().to_owned())?;
        if matches!(effect, Effect::Keyed { .. }) && !routing.has_key {
            return Err(format!("a request of class {:?} needs a key k", routing.class));
        }
        let key = matches!(read, ReadLevel::Session | ReadLevel::Write).then(|| pg::first_literal(statement));
        let key = key.flatten().map(|k| u64::from_str_radix(k, 16).unwrap_or_else(|_| fnv(k)));
        let after = routing.after.filter(|_| read == ReadLevel::Session);
        // At least one, so that a commit of this very moment still counts.
        let since_write = after.map(|ms| (turn.now - turn.clock.latest_at_unix_ms(ms as f64)).max(1));
        // The class's deadline bounds the wait that the client asks for.
        let wait = (Micros::from(routing.wait_ms) * 1000).min(self.settings.classes[class.0].deadline);
        let deadline = self.deadline(session, arrived, wait);
        let id = Rc::from(routing.id);
        let (repeat, wait_span) = (routing.repeat, routing.wait_span);
        let tenant = routing.tenant.and_then(|t| self.names.tenant(t));
        debug!(turn.log, "request"; "class" => class.0, "wait_ms" => routing.wait_ms);
        let body = Body::new(text, Some(wait_span), AnswerForm::Value);
        let checked = true;
        let call = IncomingRequest {
            class,
            group,
            key,
            deadline,
            since_write,
            repeat,
            checked,
            tenant,
            source,
            body,
        };
        Ok(QueryOutcome::Request(Box::new(call), id))
    }

    /// Routes a statement without a routing comment by the operators' rules. The connection is the session:
    /// its reads see its own writes.
    fn route_plain(
        &mut self,
        turn: &Turn,
        session: SessionId,
        text: Vec<u8>,
        arrived: Micros,
    ) -> Result<QueryOutcome, String> {
        let statement = std::str::from_utf8(&text).map_err(|_| "the statement is not UTF-8")?;
        let (Some(router), Some(s)) = (&mut self.router, self.sessions.get_mut(&session)) else {
            return Err("the statement has no routing comment".to_owned());
        };
        let destination = match route_or_reply(router.decide(&self.settings, &s.origin, statement)) {
            Ok(destination) => destination,
            Err(reply) => return Ok(QueryOutcome::Reply(reply)),
        };
        let Destination { class, group, wait, comment, writes } = destination;
        self.plain_statements += 1;
        s.may_write = writes;
        let session_reads = self.settings.classes[class.0].read == ReadLevel::Session;
        let since_write = s.last_write.filter(|_| session_reads).map(|at| (turn.now - at).max(1));
        let id: Rc<str> = format!("plain-{:x}-{:x}", session.0, self.plain_statements).into();
        let body = if comment {
            let mut body = format!("/* id={id},c={},d=", self.names.classes[class.0]);
            let at = body.len()..body.len();
            body += &format!(",cluster={} */ {statement}", group.0);
            Body::new(body.into_bytes(), Some(at), AnswerForm::Result)
        } else {
            Body::new(text, None, AnswerForm::Result)
        };
        let key = Some(fnv(&format!("session {}", session.0)));
        let deadline = self.deadline(session, arrived, wait);
        let (tenant, source) = (None, Source::Client);
        let (repeat, checked) = (false, false);
        let call = IncomingRequest {
            class,
            group,
            key,
            deadline,
            since_write,
            repeat,
            checked,
            tenant,
            source,
            body,
        };
        Ok(QueryOutcome::Request(Box::new(call), id))
    }

    /// Returns the deadline of a request whose last byte arrived at `arrived`. The wait counts from that
    /// arrival, however long the request then queued behind others.
    fn deadline(&self, session: SessionId, arrived: Micros, wait: Micros) -> Micros {
        let due = self.sessions.get(&session).and_then(|s| self.drain.of(s).answer_due_at(arrived));
        (arrived + wait).min(due.unwrap_or(Micros::MAX))
    }
}

/// Returns the route of a plain statement, or the reply to the client if the statement is not sent anywhere.
fn route_or_reply(decision: Decision) -> Result<Destination, Writer> {
    let w = Writer::default();
    let unsupported = |what: &str| w.error("ERROR", sqlstate::FEATURE_NOT_SUPPORTED, what, None).ready();
    Err(match decision {
        Decision::Send(destination) => return Ok(destination),
        Decision::Empty => Writer::default().message(b'I', &[]).ready(),
        Decision::SessionState { verb } => {
            unsupported(&format!("{verb} is not supported: the proxy keeps no state of a session"))
        }
        Decision::TemporaryObjects => {
            unsupported("temporary objects are not supported: the proxy keeps no state of a session")
        }
        Decision::MultipleStatements => unsupported("several statements in one query are not supported"),
        Decision::NoRoute { access } => {
            let what = format!("no route is given for a {} of this kind", access.name());
            Writer::default().error("ERROR", sqlstate::NO_ROUTE, &what, None).ready()
        }
    })
}
