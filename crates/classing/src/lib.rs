//! Determines what a PostgreSQL statement does, without asking a database: read, write, session, or unknown. A read is only
//! what is proved to be one. Statements of one shape, which differ in their literals and looks alone, have one verdict,
//! which is remembered.
//!
//! No I/O and no clock here. `docs/classing.md` tells how it works and why.

pub mod cache;
pub mod catalogue;
mod explain;
pub mod lexer;
mod objection;
mod refuted;
pub mod shape;
mod size;
mod temporary;
mod tokens;
mod tree;
mod types;
pub mod verdict;

use std::rc::Rc;

pub use cache::{Cache, CacheStats};
pub use catalogue::{Catalogue, Declared};
pub use shape::{shape, Key, Shape};
pub use verdict::{Access, Verdict};

use lexer::Unlexable;
use refuted::RefutedReads;

/// The classification of one statement.
#[derive(Clone, Debug, PartialEq)]
pub struct Classified {
    /// Its shape; `None` where it can't be lexed.
    pub shape: Option<Shape>,
    /// What it does.
    pub verdict: Rc<Verdict>,
}

/// Classes statements, and remembers their shapes.
pub struct Classer {
    key: Key,
    catalogue: Catalogue,
    cache: Cache<Rc<Verdict>>,
    refuted: RefutedReads,
}

impl Classer {
    /// Remembers shapes in so many bytes. `key` is this process's own, from a source that nobody can guess.
    pub fn new(key: Key, catalogue: Catalogue, bytes: usize) -> Self {
        Classer { key, catalogue, cache: Cache::new(bytes), refuted: RefutedReads::default() }
    }

    /// Classes by another catalogue from now on. Reads that were refuted stay refuted.
    pub fn with_catalogue(self, catalogue: Catalogue, bytes: usize) -> Self {
        Classer { catalogue, cache: Cache::new(bytes), ..self }
    }

    /// Classes a statement.
    pub fn class(&mut self, statement: &str) -> Classified {
        let shape = match shape(self.key, statement.as_bytes()) {
            Ok(shape) => shape,
            Err(e) => return Classified { shape: None, verdict: Rc::new(unlexable(e)) },
        };
        if let Some(verdict) = self.cache.get(&shape) {
            return Classified { shape: Some(shape), verdict: Rc::clone(verdict) };
        }
        let mut verdict = self.judge(statement);
        if self.refuted.contains(&shape) {
            verdict.refute_read();
        }
        Classified { shape: Some(shape), verdict: self.remember(shape, verdict) }
    }

    fn remember(&mut self, shape: Shape, verdict: Verdict) -> Rc<Verdict> {
        let size = size_of::<Verdict>() + 2 * size_of::<usize>() + verdict.held();
        let verdict = Rc::new(verdict);
        self.cache.insert(shape, Rc::clone(&verdict), size);
        verdict
    }

    /// A db host has refused a statement as a write. If it counts as a read, all statements of its shape count
    /// as writes from now on.
    pub fn refute_read(&mut self, statement: &str) {
        let Ok(shape) = shape(self.key, statement.as_bytes()) else { return };
        let mut verdict = self.judge(statement);
        if verdict.access == Access::Read {
            self.refuted.insert(shape);
            verdict.refute_read();
            self.remember(shape, verdict);
        }
    }

    /// How many shapes count as writes because a db host refused them.
    pub fn refuted_reads(&self) -> usize {
        self.refuted.len()
    }

    /// Judges a statement without remembering it.
    pub fn judge(&self, statement: &str) -> Verdict {
        match shape::canonical_tokens(statement.as_bytes()) {
            Ok(tokens) => verdict::judge(&self.catalogue, &tokens),
            Err(e) => unlexable(e),
        }
    }

    /// Counters of the cache of shapes.
    pub fn stats(&self) -> CacheStats {
        self.cache.stats()
    }
}

fn unlexable(e: Unlexable) -> Verdict {
    Verdict::undecided("").decided(Access::Unknown, &format!("it can't be read: {e}"))
}

/// The canonical text of a statement's shape, for people to read.
///
/// # Errors
/// Where the statement can't be lexed.
pub fn canonical(statement: &str) -> Result<String, Unlexable> {
    shape::canonical_tokens(statement.as_bytes()).map(|p| shape::canonical(&p))
}
