//! The list of db hosts and its versions, encoded as it is sent.

use std::collections::{HashMap, VecDeque};

use serde_json::{json, Value};

use super::connection::{Kind, Message};
use super::First;

/// Changes that are kept for those who ask for what came after a version.
const KEPT: usize = 8192;

/// The list, and what it was made of.
pub struct Catalogue {
    generation: u64,
    entries: Vec<Value>,
    /// Each entry's place, by its name.
    places: HashMap<String, usize>,
    /// The entries of each version, from the one after `since` on.
    changes: VecDeque<Vec<Value>>,
    since: u64,
    first: First,
    /// The whole list as a watch is sent it, until it changes.
    encoded: Option<Message>,
}

impl Catalogue {
    /// The list of version 1.
    pub fn new(entries: Vec<Value>, first: First) -> Catalogue {
        let places = entries.iter().enumerate().map(|(place, entry)| (name(entry), place)).collect();
        Catalogue { generation: 1, entries, places, changes: VecDeque::new(), since: 1, first, encoded: None }
    }

    /// Makes the next version, and gives what a watch is sent of it. Entries without a name in the list are appended.
    pub fn change(&mut self, entries: Vec<Value>) -> Message {
        self.generation += 1;
        self.encoded = None;
        for entry in &entries {
            match self.places.get(&name(entry)) {
                Some(place) => self.entries[*place] = entry.clone(),
                None => {
                    self.places.insert(name(entry), self.entries.len());
                    self.entries.push(entry.clone());
                }
            }
        }
        let message = self.object(false, &entries, Kind::Change);
        self.changes.push_back(entries);
        if self.changes.len() > KEPT {
            self.changes.pop_front();
            self.since += 1;
        }
        message
    }

    /// What a watch is sent first that asks for what came after a version.
    pub fn first(&mut self, after: u64) -> Message {
        if self.first == First::Changes && (self.since..=self.generation).contains(&after) {
            let passed = usize::try_from(after - self.since).unwrap_or(usize::MAX);
            let changed: Vec<_> = self.changes.iter().skip(passed).flatten().cloned().collect();
            return self.object(false, &changed, Kind::Change);
        }
        if self.encoded.is_none() {
            self.encoded = Some(self.object(true, &self.entries, Kind::List));
        }
        self.encoded.clone().unwrap_or_else(|| self.object(true, &self.entries, Kind::List))
    }

    /// The whole list as a call without a watch is answered.
    pub fn fetched(&self) -> Message {
        let list = json!({"generation": self.generation, "reset": true, "instances": self.entries});
        Message::whole_answer(&(list.to_string() + "\n"))
    }

    fn object(&self, reset: bool, entries: &[Value], kind: Kind) -> Message {
        let object = json!({"generation": self.generation, "reset": reset, "instances": entries});
        Message::chunk(kind, &(object.to_string() + "\n"))
    }
}

/// The name of an entry; those without one share the empty name.
fn name(entry: &Value) -> String {
    entry["instanceId"].as_str().unwrap_or_default().to_owned()
}
