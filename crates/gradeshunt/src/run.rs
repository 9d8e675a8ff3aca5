//! The program from its arguments to its end: the signals, the loop.

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Instant;

use calloop::signals::{Signal, Signals};
use slog::info;

use crate::cli::{self, Arguments, Command, LogFormat, LogLevel};
use crate::config::Config;
use crate::cycle::ProxyLoop;
use crate::logging::{Log, LAST};
use crate::placement_command;
use crate::planning;
use crate::proxy::Proxy;
use crate::resumed::Resumed;
use crate::transient::retry_while_transient;
use crate::turn::{EventSource, ReadySources};

/// The status of `gradeshunt plan` where a loss is not borne.
const NOT_BORNE: u8 = 3;

/// Turns of the loop until the proxy is done; gives until when the process may wait for its log.
fn turns(mut cycle: ProxyLoop, mut proxy: Proxy) -> Result<Instant, String> {
    while !proxy.is_done() {
        let wait = ProxyLoop::wait(&proxy.core);
        cycle.run_turn(&mut proxy, wait)?;
        if let Some(why) = proxy.failed.take() {
            return Err(why);
        }
    }
    info!(proxy.core.turn.log, #LAST, "leaving");
    Ok(Instant::now() + proxy.time_left())
}

fn serve(file: Option<PathBuf>, format: LogFormat, level: LogLevel) -> Result<(), String> {
    // Before anything that takes time, for until then a signal's default ends the process; and before any thread starts, so that
    // it inherits the mask: only the loop hears of signals.
    let signals = retry_while_transient(|| Ok(Signals::new(&[Signal::SIGTERM, Signal::SIGHUP])?));
    let signals = signals.map_err(|e| format!("cannot take signals: {e}"))?;
    let config = Config::load(file.as_deref())?;
    let cycle = ProxyLoop::open()?;
    let handle = cycle.event_loop().handle();
    let told = handle.insert_source(Resumed(signals), move |event, (), ready: &mut ReadySources| {
        let reload = event.signal() == Signal::SIGHUP;
        ready.push(if reload { EventSource::Reload } else { EventSource::Terminate });
    });
    told.map_err(|e| format!("cannot take signals: {e}"))?;
    let log = Log::open(format, level, &config.name);
    let proxy = Proxy::new(config, file, cycle.event_loop(), log.logger.clone())?;
    let end_by = turns(cycle, proxy)?;
    log.end(end_by);
    Ok(())
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
        Some(Command::Placement(options)) => placement_command::place(&options)?,
    }
    Ok(ExitCode::SUCCESS)
}
