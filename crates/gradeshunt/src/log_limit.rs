//! Limits the log lines that clients can cause at will: a client that connects and breaks the protocol at full
//! speed must not fill the log's queue, from which other lines would then be dropped.

use leadmast::Micros;

/// Lines of a kind that are logged in an interval.
const LINES_PER_INTERVAL: u64 = 10;
const INTERVAL: Micros = 1_000_000;

/// A kind of line that clients can cause.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClientLine {
    ProtocolViolation,
    TooManyClients,
    TooMuchBuffered,
    PeerNotAdmitted,
    ReadRefusedAsWrite,
}

/// Number of kinds.
const KINDS: usize = 5;

/// The lines of one kind in the current interval.
#[derive(Clone, Copy, Debug, Default)]
struct Count {
    since: Micros,
    lines: u64,
    suppressed: u64,
}

/// Counts the lines of each kind.
#[derive(Debug, Default)]
pub struct LogLimit([Count; KINDS]);

impl LogLimit {
    /// Returns whether a line may be logged at `now`: the number of lines of its kind that were not logged
    /// since the last one that was, or `None` if it may not.
    pub fn admit(&mut self, line: ClientLine, now: Micros) -> Option<u64> {
        let count = &mut self.0[line as usize];
        if now - count.since >= INTERVAL {
            (count.since, count.lines) = (now, 0);
        }
        if count.lines >= LINES_PER_INTERVAL {
            count.suppressed += 1;
            return None;
        }
        count.lines += 1;
        Some(std::mem::take(&mut count.suppressed))
    }
}

#[cfg(test)]
mod tests;
