//! What passes between proxies: which request went from which proxy to which, read from the bytes on the links.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use crate::link::{Reader, Tap};

/// A way between two proxies, by their numbers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Hop {
    pub from: usize,
    pub to: usize,
}

/// The hops of all requests, by request id. Clones are the same book.
#[derive(Clone, Default)]
pub struct Hops(Arc<Mutex<BTreeMap<String, BTreeSet<Hop>>>>);

impl Hops {
    fn book(&self) -> MutexGuard<'_, BTreeMap<String, BTreeSet<Hop>>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Reads along the link of a pair of proxies.
    pub fn tap(&self, hop: Hop) -> Tap {
        let hops = self.clone();
        Arc::new(move || hops.reader(hop))
    }

    fn reader(&self, hop: Hop) -> Reader {
        let (hops, mut messages) = (self.clone(), Messages::default());
        Box::new(move |bytes| {
            for id in messages.ids(bytes) {
                hops.book().entry(id).or_default().insert(hop);
            }
        })
    }

    /// Whether a request went over another proxy.
    pub fn has(&self, id: &str) -> bool {
        self.book().contains_key(id)
    }

    /// Requests that went over another proxy.
    pub fn len(&self) -> usize {
        self.book().len()
    }

    /// Whether none did.
    pub fn is_empty(&self) -> bool {
        self.book().is_empty()
    }

    /// Requests that more than one proxy has sent on. The client's proxy may try several homes; none of those may send on.
    pub fn handed_on_twice(&self) -> Vec<String> {
        let book = self.book();
        let senders = |hops: &BTreeSet<Hop>| hops.iter().map(|hop| hop.from).collect::<BTreeSet<_>>().len();
        let twice = book.iter().filter(|(_, hops)| senders(hops) > 1);
        twice.map(|(id, hops)| format!("request {id} was handed on twice: {hops:?}")).collect()
    }
}

/// Splits one connection's bytes into PostgreSQL's messages.
#[derive(Default)]
struct Messages {
    buffer: Vec<u8>,
    started: bool,
}

impl Messages {
    /// Ids of the statements that these bytes complete.
    fn ids(&mut self, bytes: &[u8]) -> Vec<String> {
        self.buffer.extend(bytes);
        let mut ids = Vec::new();
        loop {
            // The startup message has no type byte before its length.
            let tag_length = usize::from(self.started);
            let length = self.buffer.get(tag_length..).and_then(<[u8]>::first_chunk);
            let Some(length) = length.map(|b| u32::from_be_bytes(*b) as usize) else { return ids };
            let end = tag_length + length.max(4);
            if self.buffer.len() < end {
                return ids;
            }
            let message: Vec<_> = self.buffer.drain(..end).collect();
            if self.started && message[0] == b'Q' {
                ids.extend(request_id(&String::from_utf8_lossy(&message[5..])));
            }
            self.started = true;
        }
    }
}

/// The id in a statement's routing comment.
fn request_id(statement: &str) -> Option<String> {
    let (_, rest) = statement.split_once("/* id=")?;
    rest.split([',', ' ']).next().map(str::to_owned)
}

#[cfg(test)]
mod tests;
