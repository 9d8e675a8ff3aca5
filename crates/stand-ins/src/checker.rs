//! What became of requests, and whether that may be.

use std::collections::BTreeMap;
use std::fmt::{self, Display};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use crate::lock;

/// How a request ended for its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Outcome {
    Served,
    /// Turned away, to come again.
    Refused,
    Failed,
    /// Its answer began and broke off, as the client could see.
    Cut,
    /// The connection ended without a word on it.
    Lost,
    /// No connection was to be had for it.
    Unreached,
}

impl Outcome {
    /// It ended with no word from the proxy.
    pub fn at_the_door(self) -> bool {
        matches!(self, Outcome::Lost | Outcome::Unreached)
    }
}

/// What a set of requests came to.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    pub outcomes: BTreeMap<Outcome, u64>,
    /// The longest that a request has taken.
    pub longest: Duration,
    /// Requests that took over half of what their clients wait.
    pub over_half: u64,
}

impl Counts {
    pub fn of(&self, outcome: Outcome) -> u64 {
        self.outcomes.get(&outcome).copied().unwrap_or(0)
    }

    pub fn all(&self) -> u64 {
        self.outcomes.values().sum()
    }

    /// Requests that ended at the door: with no word from the proxy.
    pub fn at_the_door(&self) -> u64 {
        self.of(Outcome::Lost) + self.of(Outcome::Unreached)
    }

    pub fn add(&mut self, other: &Counts) {
        other.outcomes.iter().for_each(|(o, n)| *self.outcomes.entry(*o).or_default() += n);
        self.longest = self.longest.max(other.longest);
        self.over_half += other.over_half;
    }
}

impl Display for Counts {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let parts = self.outcomes.iter().map(|(o, n)| format!("{o:?} {n}")).collect::<Vec<_>>();
        write!(f, "{}; longest {} ms", parts.join(", "), self.longest.as_millis())
    }
}

#[derive(Default)]
struct Book {
    open: BTreeMap<String, u32>,
    ended: BTreeMap<String, Vec<Outcome>>,
    counts: Counts,
}

/// Where clients enter what they ask and what they get. Clones are the same checker.
#[derive(Clone, Default)]
pub struct Checker {
    book: Arc<Mutex<Book>>,
    /// How long clients wait for an answer, where that is counted.
    wait: Option<Duration>,
}

impl Checker {
    /// Of requests whose clients wait so long.
    pub fn of_wait(wait: Duration) -> Self {
        Checker { wait: Some(wait), ..Checker::default() }
    }

    /// A request is sent.
    pub fn asked(&self, id: &str) {
        *lock(&self.book).open.entry(id.to_owned()).or_default() += 1;
    }

    /// An outcome has come for a request.
    pub fn ended(&self, id: &str, outcome: Outcome, took: Duration) {
        let mut book = lock(&self.book);
        book.ended.entry(id.to_owned()).or_default().push(outcome);
        *book.counts.outcomes.entry(outcome).or_default() += 1;
        book.counts.longest = book.counts.longest.max(took);
        book.counts.over_half += u64::from(self.wait.is_some_and(|wait| took > wait / 2));
    }

    /// Requests whose client was told that they are served.
    pub fn served(&self) -> Vec<String> {
        let book = lock(&self.book);
        let served = book.ended.iter().filter(|(_, outcomes)| outcomes.contains(&Outcome::Served));
        served.map(|(id, _)| id.clone()).collect()
    }

    /// Those of them whose ids begin so.
    pub fn served_of(&self, begins: &str) -> Vec<String> {
        self.served().into_iter().filter(|id| id.starts_with(begins)).collect()
    }

    pub fn counts(&self) -> Counts {
        lock(&self.book).counts.clone()
    }

    /// What may not be: a request with no outcome or with several, an outcome that nobody asked for, and a key that has
    /// changed data more than once.
    pub fn faults(&self, writes: &BTreeMap<String, u32>) -> Vec<String> {
        let book = lock(&self.book);
        let none = book.open.keys().filter(|id| !book.ended.contains_key(*id));
        let none = none.map(|id| format!("request {id} has no outcome"));
        let many = book.ended.iter().filter_map(|(id, outcomes)| match book.open.get(id) {
            None => Some(format!("nobody asked for request {id}: {outcomes:?}")),
            Some(asked) if outcomes.len() != *asked as usize => {
                Some(format!("request {id} has {} outcomes: {outcomes:?}", outcomes.len()))
            }
            Some(_) => None,
        });
        let twice = writes.iter().filter(|(_, n)| **n > 1).map(|(k, n)| format!("key {k} has run {n} times"));
        none.chain(many).chain(twice).collect()
    }
}

#[cfg(test)]
mod tests;
