//! The program from its arguments to its end: the signals, the loop.

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use calloop::signals::{Signal, Signals};
use calloop::EventLoop;
use slog::info;

use crate::cli::{self, Arguments, Command, LogFormat, LogLevel};
use crate::config::Config;
use crate::logging;
use crate::planning;
use crate::proxy::Proxy;
use crate::turn::{Ready, Source};

/// The status of `gradeshunt plan` where a loss is not borne.
const NOT_BORNE: u8 = 3;

/// Turns of the loop until the proxy is done.
fn turns(mut event_loop: EventLoop<'static, Ready>, mut proxy: Proxy) -> Result<(), String> {
    let mut ready = Ready::new();
    while !proxy.is_done() {
        let until = proxy.turn.deadlines.next();
        let wait = until.map(|at| (at - proxy.turn.clock.now()).max(0));
        let wait = if proxy.turn.again.is_empty() { wait } else { Some(0) };
        let timeout = wait.map(|t| Duration::from_micros(t as u64));
        event_loop.dispatch(timeout, &mut ready).map_err(|e| format!("cannot poll: {e}"))?;
        proxy.turn.now = proxy.turn.clock.now();
        proxy.loop_stats.begin(proxy.turn.now, until);
        proxy.turn.unread = proxy.loop_stats.unread();
        let again = std::mem::take(&mut proxy.turn.again);
        let mut sources: Vec<_> = again.into_iter().chain(ready.drain(..)).collect();
        // Operators' calls are few and owed an answer whatever the load.
        sources.sort_by_key(|s| !matches!(s, Source::Control | Source::Caller(_)));
        for source in sources {
            proxy.event(source);
            proxy.loop_stats.worked(source.name(), proxy.turn.clock.now());
        }
        while let Some(due) = proxy.turn.deadlines.pop(proxy.turn.now) {
            proxy.due(due);
            proxy.loop_stats.worked(due.name(), proxy.turn.clock.now());
        }
        if let Some(why) = proxy.failed.take() {
            return Err(why);
        }
        proxy.loop_stats.end(&proxy.turn.log);
    }
    info!(proxy.turn.log, "leaving");
    Ok(())
}

fn serve(file: Option<PathBuf>, format: LogFormat, level: LogLevel) -> Result<(), String> {
    let config = Config::load(file.as_deref())?;
    let event_loop = EventLoop::try_new().map_err(|e| format!("cannot poll: {e}"))?;
    // Before the log's thread starts, so that it inherits the mask: only the loop hears of signals.
    let signals = Signals::new(&[Signal::SIGTERM, Signal::SIGHUP]);
    let signals = signals.map_err(|e| format!("cannot take signals: {e}"))?;
    let handle = event_loop.handle();
    let told = handle.insert_source(signals, move |event, (), ready: &mut Ready| {
        let reload = event.signal() == Signal::SIGHUP;
        ready.push(if reload { Source::Reload } else { Source::Terminate });
    });
    told.map_err(|e| format!("cannot take signals: {e}"))?;
    let (log, _guard) = logging::logger(format, level, &config.name);
    let proxy = Proxy::new(config, file, &event_loop, log)?;
    turns(event_loop, proxy)
}

/// Does what the command line asks for; serving ends when the process is told to leave.
///
/// # Errors
///
/// What the user is to be told: a configuration that can't be used, an address that can't be listened at.
pub fn run(arguments: Arguments) -> Result<ExitCode, String> {
    match arguments.command {
        None => serve(None, arguments.log_format, arguments.log_level)?,
        Some(Command::Run { config }) => serve(config, arguments.log_format, arguments.log_level)?,
        Some(Command::Check { config }) => println!("{}", Config::load(Some(&config))?.summary()),
        Some(Command::Classify { rules, format, null, sql }) => cli::classify(rules, format, null, sql)?,
        Some(Command::Plan(options)) if !planning::plan(&options)? => return Ok(ExitCode::from(NOT_BORNE)),
        Some(Command::Plan(_)) => {}
    }
    Ok(ExitCode::SUCCESS)
}
