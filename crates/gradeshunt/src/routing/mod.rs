//! Routing of plain statements (those without a routing comment): chooses the class, the group of db hosts
//! and the wait. The decision module chooses the db host and decides on retries and refusals, as for
//! statements with a routing comment.
//!
//! This module does no I/O and has no clock.

pub mod rules;

use std::fmt::Write as _;

use gradeshunt_classing::verdict::Statements;
use gradeshunt_classing::{Access, Catalogue, Classer, Classified, Declared, Key, Verdict};
use leadmast::{ClassId, GroupId, Micros, ReadLevel, Settings};

/// The identity of a client, as its startup message gives it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Origin {
    pub user: String,
    pub database: String,
    pub application_name: String,
}

/// The conditions of a route; an empty list matches everything.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Match {
    pub access: Vec<Access>,
    pub tables: Vec<String>,
    pub functions: Vec<String>,
    pub users: Vec<String>,
    pub databases: Vec<String>,
    pub applications: Vec<String>,
    pub cost_from: f32,
    /// `None` if there is no upper bound.
    pub cost_below: Option<f32>,
}

impl Match {
    /// Whether a statement of this origin and verdict fulfils all conditions.
    pub fn accepts(&self, origin: &Origin, verdict: &Verdict) -> bool {
        let allows = |list: &[String], item: &String| list.is_empty() || list.contains(item);
        let allows_any =
            |list: &[String], items: &[String]| list.is_empty() || items.iter().any(|i| list.contains(i));
        (self.access.is_empty() || self.access.contains(&verdict.access))
            && allows_any(&self.tables, &verdict.tables)
            && allows_any(&self.functions, &verdict.functions)
            && allows(&self.users, &origin.user)
            && allows(&self.databases, &origin.database)
            && allows(&self.applications, &origin.application_name)
            && verdict.cost >= self.cost_from
            && self.cost_below.is_none_or(|below| verdict.cost < below)
    }
}

/// A rule that sends matching statements to a class and a group.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    pub name: String,
    pub matches: Match,
    pub class: ClassId,
    pub group: GroupId,
    /// How long a client waits at most; `None` for the class's deadline.
    pub wait: Option<Micros>,
    /// Whether the proxy puts a routing comment before the statement.
    pub comment: bool,
}

/// The contents of the operators' rules file.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Rules {
    pub routes: Vec<Route>,
    pub declared: Declared,
    /// Bytes for the cache of statement shapes.
    pub shape_cache_bytes: usize,
}

/// The destination of a statement.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Destination {
    pub class: ClassId,
    pub group: GroupId,
    /// How long the client waits at most.
    pub wait: Micros,
    /// Whether the proxy puts a routing comment before the statement.
    pub comment: bool,
    /// Whether the statement may write.
    pub writes: bool,
}

/// How a plain statement is handled.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// The statement is sent on.
    Send(Destination),
    /// The text holds no statement.
    Empty,
    /// The statement would change the state of the session, which is not supported.
    SessionState { verb: String },
    /// The statement makes or uses temporary objects, which only one connection to a db host sees.
    TemporaryObjects,
    /// The text holds several statements.
    MultipleStatements,
    /// No route matches the statement.
    NoRoute { access: Access },
}

/// Counts of statements since the start, by access and by outcome.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    pub read: u64,
    pub write: u64,
    pub session: u64,
    pub unknown: u64,
    /// Routing comments that named a reading class for a statement that is not known to be a read.
    pub contradictions: u64,
    /// Statements that no route matched.
    pub unrouted: u64,
}

/// Routes plain statements by the operators' rules.
pub struct Router {
    classer: Classer,
    routes: Vec<Route>,
    counts: Counts,
}

impl Router {
    pub fn new(rules: Rules, key: Key) -> Self {
        let classer = Classer::new(key, Catalogue::new(&rules.declared), rules.shape_cache_bytes);
        Router { classer, routes: rules.routes, counts: Counts::default() }
    }

    /// Replaces the rules. Statements that db hosts have refused as writes stay writes.
    pub fn with_rules(self, rules: Rules) -> Self {
        let classer = self.classer.with_catalogue(Catalogue::new(&rules.declared), rules.shape_cache_bytes);
        Router { classer, routes: rules.routes, counts: Counts::default() }
    }

    /// A db host has refused a statement as a write that counts as a read: from now on it counts as a write.
    pub fn refute_read(&mut self, statement: &str) {
        self.classer.refute_read(statement);
    }

    /// Classifies a plain statement and decides how it is handled.
    pub fn decide(&mut self, settings: &Settings, origin: &Origin, statement: &str) -> Decision {
        let classified = self.classer.class(statement);
        let count = match classified.verdict.access {
            Access::Read => &mut self.counts.read,
            Access::Write => &mut self.counts.write,
            Access::Session => &mut self.counts.session,
            Access::Unknown => &mut self.counts.unknown,
        };
        *count += 1;
        match classified.verdict.statements {
            Statements::None => Decision::Empty,
            Statements::Several => Decision::MultipleStatements,
            Statements::One => self.route(settings, origin, &classified),
        }
    }

    /// Finds the first route that matches a classified statement, unless it would change the session.
    fn route(&mut self, settings: &Settings, origin: &Origin, classified: &Classified) -> Decision {
        let verdict = &*classified.verdict;
        if let Some(refusal) = session_change(verdict) {
            return refusal;
        }
        // A statement that may write is only sent with a writing class, whatever the route's conditions say.
        // A reading class could send the statement to a replica.
        let fits = |r: &Route| verdict.access == Access::Read || is_write_class(settings, r.class);
        let Some(route) = self.routes.iter().find(|r| r.matches.accepts(origin, verdict) && fits(r)) else {
            self.counts.unrouted += 1;
            return Decision::NoRoute { access: verdict.access };
        };
        let deadline = settings.classes[route.class.0].deadline;
        Decision::Send(Destination {
            class: route.class,
            group: route.group,
            wait: route.wait.map_or(deadline, |wait| wait.min(deadline)),
            comment: route.comment,
            writes: verdict.access != Access::Read,
        })
    }

    /// Checks the class that a statement's routing comment names. Returns `None` if the comment is accepted.
    /// If the comment names a reading class and the statement is not known to be a read, the rules override
    /// the comment.
    pub fn override_class(
        &mut self,
        settings: &Settings,
        origin: &Origin,
        statement: &str,
        class: ClassId,
    ) -> Option<Decision> {
        if is_write_class(settings, class) {
            return None;
        }
        let classified = self.classer.class(statement);
        if classified.verdict.access == Access::Read {
            return None;
        }
        self.counts.contradictions += 1;
        Some(self.route(settings, origin, &classified))
    }

    /// Renders the counters of statements and of the shape cache in the text exposition format.
    pub fn exposition(&self) -> String {
        let (c, t) = (self.counts, self.classer.stats());
        let mut text = String::from("# TYPE app_statements counter\n");
        for (access, n) in
            [("read", c.read), ("write", c.write), ("session", c.session), ("unknown", c.unknown)]
        {
            let _ = writeln!(text, "app_statements{{access=\"{access}\"}} {n}");
        }
        let figures = [
            ("contradictions", "counter", c.contradictions),
            ("unrouted", "counter", c.unrouted),
            ("shape_hits", "counter", t.hits),
            ("shape_misses", "counter", t.misses),
            ("shape_evictions", "counter", t.evictions),
            ("refuted_shapes", "gauge", self.classer.refuted_reads() as u64),
            ("shapes", "gauge", t.entries as u64),
            ("shape_bytes", "gauge", t.bytes as u64),
        ];
        for (name, kind, n) in figures {
            let _ = writeln!(text, "# TYPE app_{name} {kind}\napp_{name} {n}");
        }
        text
    }
}

/// Why a statement is not sent: it would leave something on a connection that the next client gets.
fn session_change(verdict: &Verdict) -> Option<Decision> {
    if verdict.temporary {
        return Some(Decision::TemporaryObjects);
    }
    // COPY would switch the connection to its data transfer.
    let changes = verdict.access == Access::Session || verdict.verb == "copy";
    (changes && verdict.statements == Statements::One)
        .then(|| Decision::SessionState { verb: verdict.verb.clone() })
}

/// Whether a class is for writes.
pub fn is_write_class(settings: &Settings, class: ClassId) -> bool {
    settings.classes[class.0].read == ReadLevel::Write
}

#[cfg(test)]
mod tests;
