//! What db hosts are scripted to do, as data that is no protocol's.

use std::time::Duration;

/// One value of a row; `None` is NULL.
pub type Value = Option<Vec<u8>>;

/// A result: rows of named columns.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Table {
    pub columns: Vec<String>,
    pub rows: Vec<Vec<Value>>,
    /// What the command calls itself when it is complete (`SELECT 3`); made from the rows where it is empty.
    pub tag: String,
    /// Remarks sent before the rows.
    pub notices: Vec<String>,
}

impl Table {
    /// Rows of text.
    pub fn of(columns: &[&str], rows: &[&[&str]]) -> Self {
        let text = |v: &&str| Some(v.as_bytes().to_vec());
        Table {
            columns: columns.iter().map(|c| c.to_string()).collect(),
            rows: rows.iter().map(|r| r.iter().map(text).collect()).collect(),
            ..Table::default()
        }
    }
}

/// What a db host does with a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Act {
    /// What it does to its data and says of it by itself.
    Usual,
    Answer(Table),
    /// An error with a code of the protocol's (PostgreSQL's SQLSTATE), and nothing has run.
    Refuse {
        code: String,
        text: String,
    },
    /// The connection is reset, and nothing has run.
    ResetBefore,
    /// It runs, and the connection is reset before anything is said.
    ResetAfter,
    /// It runs, and so many bytes of the answer are sent before the connection is reset.
    CutAt(usize),
    /// This answer, up to so many bytes before the connection ends.
    CutAfter(Table, usize),
    /// It runs, and nothing is ever said.
    Silence,
    /// Nothing runs, and nothing is ever said.
    Hang,
}

/// One rule of a script.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Rule {
    /// Requests that hold this text.
    pub holds: String,
    /// How often it applies; `None` for ever.
    pub times: Option<u32>,
    /// How long the db host works on it.
    pub takes: Duration,
    pub act: Act,
}

impl Rule {
    /// Applies to every request that holds `text`.
    pub fn always(text: &str, act: Act) -> Self {
        Rule { holds: text.to_owned(), times: None, takes: Duration::ZERO, act }
    }

    /// Applies to the next request that holds `text`.
    pub fn once(text: &str, act: Act) -> Self {
        Rule { times: Some(1), ..Rule::always(text, act) }
    }

    /// The same, worked on for so long.
    pub fn taking(self, takes: Duration) -> Self {
        Rule { takes, ..self }
    }
}

/// The rules of one db host; the first that applies counts.
#[derive(Clone, Debug, Default)]
pub struct Script(Vec<Rule>);

impl Script {
    pub fn add(&mut self, rule: Rule) {
        self.0.push(rule);
    }

    pub fn clear(&mut self) {
        self.0.clear();
    }

    /// What to do with a request.
    pub fn meet(&mut self, request: &str) -> (Duration, Act) {
        let applies = |r: &Rule| r.times != Some(0) && request.contains(&r.holds);
        let Some(rule) = self.0.iter_mut().find(|r| applies(r)) else { return (Duration::ZERO, Act::Usual) };
        rule.times = rule.times.map(|n| n - 1);
        (rule.takes, rule.act.clone())
    }
}

#[cfg(test)]
mod tests;
