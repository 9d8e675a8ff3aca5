//! The event sources that have work, in the order in which they get their share of a turn.
//!
//! A source stands in the queue at most once, however often it becomes ready or is put back because its share
//! was used up. So the number of shares in a turn is bounded by the number of sources, whatever their peers
//! send.

use std::collections::{HashMap, VecDeque};

use leadmast::Micros;

use crate::turn::EventSource;

/// A part of a turn. In each phase, every source of its kind that waits gets one share.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// Operators' calls come first because they are few and must be answered under any load.
    Operators,
    /// Discovery comes next, so that no request goes to a db host that starts to drain in the same turn.
    Discovery,
    /// Clients come before db hosts, so that the request of a client that has disconnected is not written to
    /// a db host connection that is established in the same turn.
    Clients,
    /// Db hosts, listeners, signals and file operations.
    Others,
}

/// Number of phases.
const PHASES: usize = 4;

impl Phase {
    /// All of them, in their order within a turn.
    pub const ALL: [Phase; PHASES] = [Phase::Operators, Phase::Discovery, Phase::Clients, Phase::Others];

    /// The phase in which a source gets its share.
    pub fn of(source: EventSource) -> Phase {
        match source {
            EventSource::Control | EventSource::Caller(_) => Phase::Operators,
            EventSource::Call(_) => Phase::Discovery,
            EventSource::Session(_) => Phase::Clients,
            EventSource::Listener
            | EventSource::PeerListener
            | EventSource::Server(_)
            | EventSource::Terminate
            | EventSource::Reload
            | EventSource::FileTask => Phase::Others,
        }
    }
}

/// A queue of sources, first in, first out within each phase.
#[derive(Debug, Default)]
pub struct ReadyQueue {
    order: [VecDeque<EventSource>; PHASES],
    /// For each source in the queue, the time since which its work may have been waiting.
    waiting_since: HashMap<EventSource, Micros>,
}

impl ReadyQueue {
    /// Adds a source whose work may have been waiting since `since`. A source that already waits keeps its
    /// place and the earlier of the two times.
    pub fn push(&mut self, source: EventSource, since: Micros) {
        let known = self.waiting_since.entry(source).or_insert_with(|| {
            self.order[Phase::of(source) as usize].push_back(source);
            since
        });
        *known = since.min(*known);
    }

    /// Removes the source of a phase that has waited longest; returns it and the time since which its work
    /// may have been waiting.
    pub fn pop(&mut self, phase: Phase) -> Option<(EventSource, Micros)> {
        let source = self.order[phase as usize].pop_front()?;
        let since = self.waiting_since.remove(&source)?;
        Some((source, since))
    }

    /// Number of sources that wait for their share in a phase.
    pub fn len(&self, phase: Phase) -> usize {
        self.order[phase as usize].len()
    }

    /// Whether no source waits.
    pub fn is_empty(&self) -> bool {
        self.waiting_since.is_empty()
    }
}

#[cfg(test)]
mod tests;
