//! Statements with routing comments: written by clients, read by db hosts.

use std::time::Duration;

/// The classes of the stand-in site's settings.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Class {
    /// A read whose data may be [`READ_BOUND`] old.
    Read,
    /// A write with an idempotency key.
    KeyedWrite,
    /// A write that must never run twice.
    PlainWrite,
}

/// How old the data of a read may be, as the stand-in site's settings say.
pub const READ_BOUND: Duration = Duration::from_millis(200);

impl Class {
    /// Its name in the settings.
    pub fn name(self) -> &'static str {
        match self {
            Class::Read => "page-read",
            Class::KeyedWrite => "tally-write",
            Class::PlainWrite => "plain-write",
        }
    }

    fn named(name: &str) -> Option<Class> {
        [Class::Read, Class::KeyedWrite, Class::PlainWrite].into_iter().find(|class| class.name() == name)
    }

    /// Whether it changes data, so that only a primary takes it.
    pub fn writes(self) -> bool {
        self != Class::Read
    }
}

/// A request as its statement tells it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Statement {
    pub id: u64,
    pub class: Class,
    /// How long its sender waits.
    pub wait: Duration,
    pub set: usize,
}

impl Statement {
    /// The value that belongs to this request and to no other.
    pub fn value(&self) -> String {
        format!("v-{:x}", self.id)
    }

    /// The statement's text.
    pub fn text(&self) -> String {
        let Statement { id, class, wait, set } = self;
        let key = if *class == Class::KeyedWrite { format!(",k={id:016x}") } else { String::new() };
        let comment = format!("/* id={id:x},c={},d={}{key},cluster={set} */", class.name(), wait.as_millis());
        if class.writes() {
            let value = self.value();
            format!("{comment} INSERT INTO facts (code, data) VALUES ('{id:x}', '{value}') RETURNING data")
        } else {
            format!("{comment} SELECT data FROM facts WHERE code = '{id:x}'")
        }
    }

    /// Reads a statement; `None` where it is none of a client's.
    pub fn read(text: &str) -> Option<Statement> {
        let comment = text.split_once("/*")?.1.split_once("*/")?.0;
        let field = |name: &str| {
            comment.split(',').find_map(|pair| pair.trim().strip_prefix(name)?.strip_prefix('='))
        };
        Some(Statement {
            id: u64::from_str_radix(field("id")?, 16).ok()?,
            class: Class::named(field("c")?)?,
            wait: Duration::from_millis(field("d")?.parse().ok()?),
            set: field("cluster")?.parse().ok()?,
        })
    }
}
