//! The log: lines on standard error, written by a thread of their own.

use std::sync::mpsc::{sync_channel, Receiver, SyncSender};
use std::time::Instant;

use slog::{o, Drain, Logger, OwnedKVList, Record};
use slog_async::AsyncGuard;

use crate::cli::{LogFormat, LogLevel};

/// Lines that may wait to be written.
const QUEUED_LINES: usize = 4096;
/// The tag of a process's last line.
pub const LAST_LINE: &str = "last";

/// The log and the thread that writes it.
pub struct Log {
    pub logger: Logger,
    /// Dropping it waits until all lines are written.
    guard: AsyncGuard,
    last: Receiver<()>,
}

impl Log {
    /// Opens the log of the proxy with this name.
    pub fn open(format: LogFormat, level: LogLevel, proxy: &str) -> Log {
        // Lines are dropped and counted if the log's reader is too slow: the log must never hold up the event
        // loop. Errors of writing, such as on a full disk, are ignored and lose the line: treated as errors
        // of the drain they would end its thread.
        let stderr = std::io::stderr();
        let (written, last) = sync_channel(1);
        let (drain, guard) = match format {
            LogFormat::Text => {
                let plain = slog_term::PlainDecorator::new(stderr);
                let format = slog_term::FullFormat::new(plain).use_utc_timestamp().build().ignore_res();
                let lines = LastLine { lines: format, written };
                slog_async::Async::new(lines).chan_size(QUEUED_LINES).build_with_guard()
            }
            LogFormat::Json => {
                let lines = LastLine { lines: slog_json::Json::default(stderr).ignore_res(), written };
                slog_async::Async::new(lines).chan_size(QUEUED_LINES).build_with_guard()
            }
        };
        let most = match level {
            LogLevel::Info => slog::Level::Info,
            LogLevel::Debug => slog::Level::Debug,
        };
        let logger = Logger::root(drain.filter_level(most).fuse(), o!("proxy" => proxy.to_owned()));
        Log { logger, guard, last }
    }

    /// Ends the log of a process that has logged its last line: waits until that line is written, but no
    /// longer than `by` in case the reader does not read. Lines not written by then are lost, as they would
    /// be at SIGKILL.
    pub fn wait_for_last_line(self, by: Instant) {
        // Lines are dropped when too many wait, and the last one may be among them.
        let _ = self.last.recv_timeout(by.saturating_duration_since(Instant::now()));
        std::mem::forget(self.guard);
    }
}

/// Writes lines, and signals when the last one is written.
struct LastLine<D> {
    lines: D,
    written: SyncSender<()>,
}

impl<D: Drain> Drain for LastLine<D> {
    type Ok = D::Ok;
    type Err = D::Err;

    fn log(&self, record: &Record, values: &OwnedKVList) -> Result<D::Ok, D::Err> {
        let done = self.lines.log(record, values);
        if record.tag() == LAST_LINE {
            let _ = self.written.try_send(());
        }
        done
    }
}
