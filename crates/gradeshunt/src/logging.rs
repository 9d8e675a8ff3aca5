//! The log: lines on standard error, written by a thread of their own.

use slog::{o, Drain, Logger};
use slog_async::AsyncGuard;

use crate::cli::{LogFormat, LogLevel};

/// Lines of the log that may wait to be written.
const LINES: usize = 4096;

/// The logger of the proxy named so. Lines are written out until the guard is dropped, which waits for the last.
pub fn logger(format: LogFormat, level: LogLevel, proxy: &str) -> (Logger, AsyncGuard) {
    // Lines that the log's reader is too slow for are dropped and counted: it must never hold up the loop. One that can't be
    // written, as on a full disk, is lost: to take that for a fault of the drain would end its thread.
    let stderr = std::io::stderr();
    let (drain, guard) = match format {
        LogFormat::Text => {
            let plain = slog_term::PlainDecorator::new(stderr);
            let format = slog_term::FullFormat::new(plain).use_utc_timestamp().build().ignore_res();
            slog_async::Async::new(format).chan_size(LINES).build_with_guard()
        }
        LogFormat::Json => slog_async::Async::new(slog_json::Json::default(stderr).ignore_res())
            .chan_size(LINES)
            .build_with_guard(),
    };
    let most = match level {
        LogLevel::Info => slog::Level::Info,
        LogLevel::Debug => slog::Level::Debug,
    };
    let log = Logger::root(drain.filter_level(most).fuse(), o!("proxy" => proxy.to_owned()));
    (log, guard)
}
