//! Statistics of the event loop: its turns, what the time goes to, and how late it wakes. During a turn
//! nothing else is served, so a long one is logged together with what it was spent on and the system's
//! statistics.

use std::collections::{BTreeMap, HashSet};
use std::fmt::Write as _;

use leadmast::Micros;
use slog::{info, warn, Logger};

use crate::proc_stats::{self, ProcStats, Sample};
use crate::turn::EventSource;
use crate::work_times::{Work, WorkTimes};

/// A turn that takes longer is logged.
const SLOW_TURN: Micros = 50_000;
/// Shorter times of waiting to be read count as zero.
const MIN_UNREAD: Micros = 5_000;
/// Greatest age of the sample that a long turn is compared with, as long as turns are short.
const SAMPLE_AGE: Micros = 50_000;

/// The longest of some times in the current summary interval and in the one before, so that no scrape misses
/// one.
#[derive(Clone, Copy, Debug, Default)]
struct LongestTimes {
    current: Micros,
    previous: Micros,
    since_start: Micros,
}

impl LongestTimes {
    fn add(&mut self, took: Micros) {
        self.current = self.current.max(took);
        self.since_start = self.since_start.max(took);
    }

    fn recent(&self) -> Micros {
        self.current.max(self.previous)
    }

    fn start_interval(&mut self) {
        self.previous = std::mem::take(&mut self.current);
    }
}

/// Record of one turn.
#[derive(Debug, PartialEq, Eq)]
struct TurnRecord {
    /// Time from the wake-up to the end.
    took: Micros,
    /// How late the loop woke, counted from when it should and could have.
    late: Micros,
    /// What the turn was spent on: each kind of source, its time, and its number of events.
    parts: Vec<(&'static str, Micros, u32)>,
    /// Number of different sources that were processed.
    sources: usize,
}

/// Statistics of the turns.
pub struct LoopStats {
    proc_stats: ProcStats,
    last_sample: (Micros, Sample),
    turn_start: Micros,
    last_event: Micros,
    late: Micros,
    /// How long the previous turn took.
    previous_took: Micros,
    spent: BTreeMap<&'static str, (Micros, u32)>,
    /// The sources that the turn has processed.
    sources: HashSet<EventSource>,
    turns: u64,
    slow_turns: u64,
    longest_turn: LongestTimes,
    /// Processor time of this thread at the end of the previous turn.
    cpu_used: Micros,
    longest_turn_cpu: LongestTimes,
    latest_wake: LongestTimes,
    by_source: BTreeMap<&'static str, LongestTimes>,
    by_work: BTreeMap<Work, LongestTimes>,
}

impl LoopStats {
    pub fn new(now: Micros) -> Self {
        let proc_stats = ProcStats::open();
        LoopStats {
            last_sample: (now, proc_stats.sample()),
            proc_stats,
            turn_start: now,
            last_event: now,
            late: 0,
            previous_took: 0,
            spent: BTreeMap::new(),
            sources: HashSet::new(),
            turns: 0,
            slow_turns: 0,
            longest_turn: LongestTimes::default(),
            cpu_used: proc_stats::thread_cpu_time(),
            longest_turn_cpu: LongestTimes::default(),
            latest_wake: LongestTimes::default(),
            by_source: BTreeMap::new(),
            by_work: BTreeMap::new(),
        }
    }

    /// Begins a turn, which should have begun by `until` if there was a deadline.
    pub fn begin(&mut self, now: Micros, until: Option<Micros>) {
        // What fell due during the previous turn is that turn's lateness.
        self.late = until.map_or(0, |at| (now - at.max(self.last_event)).max(0));
        self.previous_took = self.last_event - self.turn_start;
        (self.turn_start, self.last_event) = (now, now);
        if now - self.last_sample.0 > SAMPLE_AGE {
            self.last_sample = (now, self.proc_stats.sample());
        }
    }

    /// Returns how long the data read in this turn may have waited unread: it arrived at any time since the
    /// previous turn began its work, or since the loop should have woken. Short times count as zero.
    pub fn time_unread(&self) -> Micros {
        Some(self.late.max(self.previous_took)).filter(|t| *t > MIN_UNREAD).unwrap_or(0)
    }

    /// Records that an event of this source has been handled.
    pub fn record_event(&mut self, source: EventSource, now: Micros) {
        self.sources.insert(source);
        self.record(source.name(), now);
    }

    /// Records that an event or a deadline of this kind has been handled.
    pub fn record(&mut self, name: &'static str, now: Micros) {
        let (took, times) = self.spent.entry(name).or_default();
        *took += now - self.last_event;
        *times += 1;
        self.last_event = now;
    }

    /// Ends the turn, and logs it if it was long or late. `work` is what the turn's time went to, by kind of
    /// work. Returns the processor time that the turn has used.
    pub fn end(&mut self, log: &Logger, work: &WorkTimes) -> Micros {
        let turn = self.record_turn();
        let cpu_used = proc_stats::thread_cpu_time();
        let turn_cpu = cpu_used - std::mem::replace(&mut self.cpu_used, cpu_used);
        self.longest_turn_cpu.add(turn_cpu);
        for (kind, took, _) in work.by_kind() {
            self.by_work.entry(kind).or_default().add(took);
        }
        if turn.took > SLOW_TURN || turn.late > SLOW_TURN {
            self.log_turn(log, &turn, work);
        }
        turn_cpu
    }

    fn log_turn(&mut self, log: &Logger, turn: &TurnRecord, work: &WorkTimes) {
        let now = self.proc_stats.sample();
        let since = now.since(self.last_sample.1);
        self.last_sample = (self.last_event, now);
        let part = |name: &str, took: Micros, n: u32| format!("{name}={}ms/{n}", took / 1000);
        let parts: Vec<_> = turn.parts.iter().map(|(name, took, n)| part(name, *took, *n)).collect();
        let work: Vec<_> = work.by_kind().map(|(kind, took, n)| part(kind.name(), took, n)).collect();
        let what = if turn.took > SLOW_TURN { "a turn took long" } else { "the loop woke late" };
        warn!(log, "{}", what; "ms" => turn.took / 1000, "late_ms" => turn.late / 1000, "spent" => parts.join(","),
            "work" => work.join(","), "sources" => turn.sources, "cpu_ms" => since.ran / 1000, "without_cpu_ms" => since.waited / 1000, "major_faults" => since.major_faults,
            "stolen_ms" => since.stolen / 1000);
    }

    fn record_turn(&mut self) -> TurnRecord {
        let took = self.last_event - self.turn_start;
        let mut parts: Vec<_> =
            std::mem::take(&mut self.spent).into_iter().map(|(name, (t, n))| (name, t, n)).collect();
        parts.sort_by_key(|(_, took, _)| std::cmp::Reverse(*took));
        for (name, took, _) in &parts {
            self.by_source.entry(name).or_default().add(*took);
        }
        self.turns += 1;
        self.slow_turns += u64::from(took > SLOW_TURN);
        self.longest_turn.add(took);
        self.latest_wake.add(self.late);
        let sources = self.sources.len();
        self.sources.clear();
        TurnRecord { took, late: self.late, parts, sources }
    }

    /// Logs a summary, and begins a new interval.
    pub fn log_summary(&mut self, log: &Logger) {
        let worst = self.by_source.iter().max_by_key(|(_, l)| l.current);
        info!(log, "loop"; "turns" => self.turns, "longest_us" => self.longest_turn.current,
            "longest_cpu_us" => self.longest_turn_cpu.current, "latest_us" => self.latest_wake.current,
            "most_by" => worst.map(|(name, _)| *name), "most_by_us" => worst.map(|(_, l)| l.current));
        self.longest_turn.start_interval();
        self.longest_turn_cpu.start_interval();
        self.latest_wake.start_interval();
        self.by_source.values_mut().for_each(LongestTimes::start_interval);
        self.by_work.values_mut().for_each(LongestTimes::start_interval);
    }

    /// Returns the statistics as text: times in microseconds, the longest of the last 10 to 20 s and since
    /// the start.
    pub fn exposition(&self) -> String {
        let mut text = format!(
            "# TYPE app_loop_turns counter\napp_loop_turns {}\n# TYPE app_loop_slow_turns counter\napp_loop_slow_turns {}\n",
            self.turns, self.slow_turns
        );
        let mut gauge = |name: &str, label: &str, l: &LongestTimes| {
            let _ = writeln!(text, "app_loop_{name}_us{{{label}span=\"late\"}} {}", l.recent());
            let _ = writeln!(text, "app_loop_{name}_us{{{label}span=\"ever\"}} {}", l.since_start);
        };
        gauge("longest_turn", "", &self.longest_turn);
        gauge("longest_turn_cpu", "", &self.longest_turn_cpu);
        gauge("latest_wake", "", &self.latest_wake);
        for (name, longest) in &self.by_source {
            gauge("longest_source", &format!("source=\"{name}\","), longest);
        }
        for (kind, longest) in &self.by_work {
            gauge("longest_work", &format!("work=\"{}\",", kind.name()), longest);
        }
        text
    }
}

#[cfg(test)]
mod tests;
