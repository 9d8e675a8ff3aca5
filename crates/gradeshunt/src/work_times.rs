//! What a turn's time goes to, by kind of work. One event can cause work of several kinds: a timer of the
//! balancer may begin many attempts, and each attempt that fails at once may answer a client.

use leadmast::Micros;

/// A kind of work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Work {
    /// Reading from sockets, parsing, and all that is none of the other kinds.
    Input,
    /// The balancer's decisions.
    Decisions,
    /// Commands to db hosts: attempts, probes and closes.
    HostCommands,
    /// Answers to clients.
    Answers,
    /// Applying lists of db hosts.
    Lists,
}

/// Number of kinds.
const KINDS: usize = 5;

impl Work {
    const ALL: [Work; KINDS] = [Work::Input, Work::Decisions, Work::HostCommands, Work::Answers, Work::Lists];

    /// The name in the log and the metrics.
    pub fn name(self) -> &'static str {
        match self {
            Work::Input => "input",
            Work::Decisions => "decisions",
            Work::HostCommands => "db host commands",
            Work::Answers => "answers",
            Work::Lists => "lists",
        }
    }
}

/// Work that was interrupted by work of another kind, to be passed to [`WorkTimes::end`].
#[must_use]
pub struct Interrupted(Work);

/// The times of one turn. Each moment counts for one kind: work that begins within other work interrupts it.
#[derive(Debug)]
pub struct WorkTimes {
    current: Work,
    since: Micros,
    times: [(Micros, u32); KINDS],
}

impl WorkTimes {
    /// Begins a turn.
    pub fn new(now: Micros) -> WorkTimes {
        WorkTimes { current: Work::Input, since: now, times: [(0, 0); KINDS] }
    }

    /// Begins work of a kind.
    pub fn begin(&mut self, work: Work, now: Micros) -> Interrupted {
        self.times[work as usize].1 += 1;
        Interrupted(self.switch(work, now))
    }

    /// Ends the latest work; what it interrupted goes on.
    pub fn end(&mut self, interrupted: Interrupted, now: Micros) {
        self.switch(interrupted.0, now);
    }

    fn switch(&mut self, to: Work, now: Micros) -> Work {
        self.times[self.current as usize].0 += now - self.since;
        self.since = now;
        std::mem::replace(&mut self.current, to)
    }

    /// Whether work of a kind has begun.
    pub fn has_begun(&self, work: Work) -> bool {
        self.times[work as usize].1 > 0
    }

    /// The kinds that took time, each with its time and how often it began.
    pub fn by_kind(&self) -> impl Iterator<Item = (Work, Micros, u32)> + '_ {
        let all = Work::ALL.into_iter().zip(self.times);
        all.filter(|(_, (took, _))| *took > 0).map(|(work, (took, n))| (work, took, n))
    }
}

#[cfg(test)]
mod tests;
