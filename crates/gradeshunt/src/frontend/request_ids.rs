//! Ids of requests, as clients gave them: those in progress, and those whose client has left and that must not
//! run again.

use std::collections::{HashMap, HashSet, VecDeque};
use std::rc::Rc;

use leadmast::Micros;

/// Maximum number of retired ids, which bounds their memory. The one retired first is forgotten first.
const MAX_RETIRED: usize = 4_096;

/// Why an id may not be used for a new request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum IdDenial {
    /// Another client waits for the answer of this id and must not be mixed up with this one.
    InProgress,
    /// The client that used it has left, and its request may have run or may run yet.
    Departed,
}

impl IdDenial {
    /// The text of the error that the client gets.
    pub(super) fn text(self) -> &'static str {
        match self {
            IdDenial::InProgress => "the id is that of an open request",
            IdDenial::Departed => "the id is that of a request that may have run, whose client has left",
        }
    }
}

/// The ids that may not be used for a new request.
#[derive(Debug, Default)]
pub(super) struct RequestIds {
    in_progress: HashSet<Rc<str>>,
    /// The retired ids, each with the time until which it is taken.
    retired: HashMap<Rc<str>, Micros>,
    /// The retired ids, the first retired first.
    order: VecDeque<Rc<str>>,
}

impl RequestIds {
    /// Checks whether a new request may have this id at `now`.
    ///
    /// # Errors
    ///
    /// If the id is in use or retired.
    pub(super) fn check(&self, id: &str, now: Micros) -> Result<(), IdDenial> {
        if self.in_progress.contains(id) {
            return Err(IdDenial::InProgress);
        }
        match self.retired.get(id) {
            Some(until) if now < *until => Err(IdDenial::Departed),
            _ => Ok(()),
        }
    }

    /// A request with this id has begun.
    pub(super) fn begin(&mut self, id: Rc<str>) {
        self.in_progress.insert(id);
    }

    /// The request with this id has ended.
    pub(super) fn end(&mut self, id: &str) {
        self.in_progress.remove(id);
    }

    /// The client of a request that has ended left, and the id must not be used before `until`.
    pub(super) fn retire(&mut self, id: Rc<str>, until: Micros) {
        if self.retired.insert(Rc::clone(&id), until).is_some() {
            return;
        }
        self.order.push_back(id);
        if self.order.len() > MAX_RETIRED {
            if let Some(oldest) = self.order.pop_front() {
                self.retired.remove(&oldest);
            }
        }
    }
}

#[cfg(test)]
mod tests;
