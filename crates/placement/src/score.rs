//! Scores for rendezvous hashing: SipHash-2-4 (Aumasson, Bernstein: "SipHash: a fast short-input PRF", 2012) with fixed keys.
//! The same bytes give the same score on every machine and in every version of this program.

use std::hash::Hasher;

use siphasher::sip::SipHasher24;

/// "gradeshunt placement" cut to 16 bytes. Another key would move every set: it never changes.
const KEY: [u8; 16] = *b"gradeshunt place";

/// What a score is for, so that the same names score differently for different questions.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Purpose {
    /// The order in which a zone's proxies choose their group.
    ProxyOrder,
    /// A proxy's liking for a group.
    Group,
    /// The order of parts that weigh the same.
    PartOrder,
    /// A part's liking for a proxy.
    Home,
}

impl Purpose {
    fn tag(self) -> u8 {
        match self {
            Purpose::ProxyOrder => 1,
            Purpose::Group => 2,
            Purpose::PartOrder => 3,
            Purpose::Home => 4,
        }
    }
}

/// Takes the fields of a key, each by its own length, so that no two lists of fields are the same bytes.
pub struct Score(SipHasher24);

impl Score {
    pub fn new(purpose: Purpose) -> Score {
        let mut hasher = SipHasher24::new_with_key(&KEY);
        hasher.write(&[purpose.tag()]);
        Score(hasher)
    }

    pub fn text(mut self, text: &str) -> Score {
        self.0.write(&(text.len() as u64).to_le_bytes());
        self.0.write(text.as_bytes());
        self
    }

    pub fn number(mut self, number: u64) -> Score {
        self.0.write(&number.to_le_bytes());
        self
    }

    pub fn value(self) -> u64 {
        self.0.finish()
    }
}
