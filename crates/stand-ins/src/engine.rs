//! What a db host bears: so many requests at a time, each for its class's work, more slowly while it is cold; and what it
//! was asked for that it should not have been.

use std::collections::BTreeMap;
use std::sync::{Condvar, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant, SystemTime};

use crate::{lock, now};

/// Requests that wait for each that is worked on, at most.
const WAIT: usize = 8;
/// What a read may be older than its bound: the proxy judged it when it was sent, over a link and two loops.
const SLACK: Duration = Duration::from_millis(50);
/// What the rule on drains grants.
const GRACE: Duration = Duration::from_millis(250);

/// What a class asks of a db host.
#[derive(Clone, Copy, Debug)]
pub struct Kind {
    pub work: Duration,
    /// A read's data may be so old.
    pub bound: Option<Duration>,
}

/// A cold start: when it was, what the host bears then, and for how long it is cold.
#[derive(Clone, Copy, Debug)]
pub struct Cold {
    pub since: Instant,
    pub share: f64,
    pub lasts: Duration,
}

impl Cold {
    /// What it bears of its usual load.
    fn warmth(&self, at: Instant) -> f64 {
        let past =
            at.saturating_duration_since(self.since).as_secs_f64() / self.lasts.as_secs_f64().max(1e-9);
        (self.share + (1.0 - self.share) * past).min(1.0)
    }
}

#[derive(Default)]
struct Book {
    busy: usize,
    waiting: usize,
    cold: Option<Cold>,
    /// Each request that arrived, and its work in seconds.
    arrived: Vec<(Instant, f64)>,
    stale: Vec<String>,
    /// Listed as draining or gone since then.
    drained: Option<SystemTime>,
    after_drain: Vec<AfterDrain>,
}

/// A request that was read long after the drain of its db host.
struct AfterDrain {
    drained: SystemTime,
    read: SystemTime,
    statement: String,
}

impl AfterDrain {
    fn is_late(drained: SystemTime, at: SystemTime) -> bool {
        at > drained + GRACE + SLACK
    }

    /// The fault, where it was written long after the drain, too.
    fn fault(&self, written: Option<SystemTime>) -> Option<String> {
        let sent = written.unwrap_or(self.read);
        let after = |at: SystemTime| at.duration_since(self.drained).unwrap_or_default().as_millis();
        AfterDrain::is_late(self.drained, sent).then(|| {
            let (sent, read) = (after(sent), after(self.read));
            format!(
                "sent long after its drain: written after {sent} ms, read after {read} ms, {}",
                self.statement
            )
        })
    }
}

/// The engine of one db host.
pub struct Engine {
    slots: usize,
    kinds: BTreeMap<String, Kind>,
    book: Mutex<Book>,
    free: Condvar,
}

/// It turns a request away: too many wait.
pub struct Full;

impl Engine {
    pub fn new(slots: usize, kinds: BTreeMap<String, Kind>) -> Engine {
        Engine { slots: slots.max(1), kinds, book: Mutex::default(), free: Condvar::new() }
    }

    /// It has just started.
    pub fn start_cold(&self, cold: Cold) {
        lock(&self.book).cold = Some(cold);
    }

    /// The list says from now on that it drains, or that it does not.
    pub fn drain(&self, drains: bool) {
        lock(&self.book).drained = drains.then(SystemTime::now);
    }

    /// Works on a statement, once there is room. `position`: up to where its data reaches.
    pub fn work(&self, statement: &str, position: impl Fn() -> Duration) -> Result<(), Full> {
        let field = |name: &str| field(statement, name);
        let kind = field("c").and_then(|c| self.kinds.get(c)).copied();
        let work = kind.map_or(Duration::ZERO, |k| k.work);
        let mut book = lock(&self.book);
        let arrived = Instant::now();
        book.arrived.push((arrived, work.as_secs_f64()));
        let read = SystemTime::now();
        if let Some(drained) = book.drained.filter(|drained| AfterDrain::is_late(*drained, read)) {
            book.after_drain.push(AfterDrain { drained, read, statement: statement.to_owned() });
        }
        let (at, reaches) = (now(), position());
        let after = field("after").and_then(|a| a.parse().ok()).map(Duration::from_millis);
        let old = kind.and_then(|k| k.bound).is_some_and(|b| reaches + b + SLACK < at);
        if old || after.is_some_and(|a| reaches + Duration::from_millis(1) < a) {
            book.stale.push(statement.to_owned());
        }
        if book.waiting >= WAIT * self.slots {
            return Err(Full);
        }
        book.waiting += 1;
        let full = |b: &mut Book| b.busy >= self.slots;
        let mut book = self.free.wait_while(book, full).unwrap_or_else(PoisonError::into_inner);
        (book.waiting, book.busy) = (book.waiting - 1, book.busy + 1);
        let warmth = book.cold.map_or(1.0, |c| c.warmth(Instant::now()));
        drop(book);
        thread::sleep(work.div_f64(warmth.max(0.01)));
        lock(&self.book).busy -= 1;
        self.free.notify_one();
        Ok(())
    }

    /// Work that arrived in each of so many seconds since a moment, as a share of what it bears warm.
    pub fn asked(&self, since: Instant, seconds: usize) -> Vec<f64> {
        let mut asked = vec![0.0; seconds];
        for (at, work) in &lock(&self.book).arrived {
            let second = at.saturating_duration_since(since).as_secs() as usize;
            asked.get_mut(second).into_iter().for_each(|a| *a += work / self.slots as f64);
        }
        asked
    }

    /// What may not be: reads served from data that is too old, requests long after a drain was told, and more sent to it
    /// while cold, in any time of `fall`, than `multiple` times what it bore. A request counts as sent when it was written,
    /// where `written` knows that: on a busy machine it may be read long after.
    pub fn faults(
        &self,
        multiple: f64,
        fall: Duration,
        written: impl Fn(&str) -> Option<SystemTime>,
    ) -> Vec<String> {
        let book = lock(&self.book);
        let stale = book.stale.iter().map(|s| format!("stale read: {s}"));
        let drained = book.after_drain.iter().filter_map(|late| late.fault(written(&late.statement)));
        let mut faults: Vec<_> = stale.chain(drained).collect();
        if let Some(cold) = book.cold {
            let of: Vec<_> = book
                .arrived
                .iter()
                .filter(|(at, _)| *at >= cold.since && *at < cold.since + cold.lasts)
                .collect();
            for (n, (from, _)) in of.iter().enumerate() {
                let within = of[n..].iter().take_while(|(at, _)| *at < *from + fall);
                let (count, sent) = within.fold((0.0_f64, 0.0), |(n, sum), (_, work)| (n + 1.0, sum + work));
                let bears = self.slots as f64 * fall.as_secs_f64() * cold.warmth(*from + fall / 2);
                // As much for chance as the counts of arrivals have.
                let mean = sent / count.max(1.0);
                let most = multiple * bears + (3.0 * count.sqrt() + 3.0) * mean;
                if sent > most {
                    faults.push(format!(
                        "pushed over while cold: {sent:.2} s of work where {most:.2} are allowed"
                    ));
                    break;
                }
            }
        }
        faults
    }
}

/// A field of the routing comment.
fn field<'a>(statement: &'a str, name: &str) -> Option<&'a str> {
    let comment = statement.split_once("/*")?.1.split_once("*/")?.0;
    comment.split(',').find_map(|pair| pair.trim().strip_prefix(name)?.strip_prefix('='))
}

#[cfg(test)]
mod tests;
