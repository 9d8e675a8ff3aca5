//! Runs the program from its arguments to its end: signals and the event loop.

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Instant;

use calloop::signals::{Signal, Signals};
use slog::info;

use crate::cli::{self, Arguments, Command, LogFormat, LogLevel};
use crate::config::Config;
use crate::cycle::ProxyLoop;
use crate::logging::{Log, LAST_LINE};
use crate::placement_command;
use crate::planning;
use crate::proxy::Proxy;
use crate::resumed::RetryInterrupted;
use crate::transient::retry_while_transient;
use crate::turn::{EventSource, ReadySources};

/// Exit status of `gradeshunt plan` if a loss is not borne.
const NOT_BORNE: u8 = 3;

/// Runs the loop until the proxy is done; returns the time until which the process may wait for its log.
fn run_loop(mut cycle: ProxyLoop, mut proxy: Proxy) -> Result<Instant, String> {
    while !proxy.is_done() {
        let wait = ProxyLoop::wait(&proxy.core);
        cycle.run_turn(&mut proxy, wait)?;
        if let Some(why) = proxy.fatal_error.take() {
            return Err(why);
        }
    }
    info!(proxy.core.turn.log, #LAST_LINE, "leaving");
    Ok(Instant::now() + proxy.time_left())
}

fn serve(file: Option<PathBuf>, format: LogFormat, level: LogLevel) -> Result<(), String> {
    // Signals are taken over before anything that takes time, because until then their default action ends
    // the process, and before any thread starts, so that threads inherit the mask and only the loop receives
    // signals.
    let signals = retry_while_transient(|| Ok(Signals::new(&[Signal::SIGTERM, Signal::SIGHUP])?));
    let signals = signals.map_err(|e| format!("cannot take signals: {e}"))?;
    let config = Config::load(file.as_deref())?;
    let cycle = ProxyLoop::open()?;
    let handle = cycle.event_loop().handle();
    let registered =
        handle.insert_source(RetryInterrupted(signals), move |event, (), ready: &mut ReadySources| {
            let reload = event.signal() == Signal::SIGHUP;
            ready.push(if reload { EventSource::Reload } else { EventSource::Terminate });
        });
    registered.map_err(|e| format!("cannot take signals: {e}"))?;
    let log = Log::open(format, level, &config.name);
    let proxy = Proxy::new(config, file, cycle.event_loop(), log.logger.clone())?;
    let end_by = run_loop(cycle, proxy)?;
    log.wait_for_last_line(end_by);
    Ok(())
}

/// Carries out the command line; when serving, returns when the process is told to leave.
///
/// # Errors
///
/// A message for the user, such as an invalid configuration or an address that can't be listened at.
pub fn run(arguments: Arguments) -> Result<ExitCode, String> {
    match arguments.command {
        None => serve(None, arguments.log_format, arguments.log_level)?,
        Some(Command::Run { config }) => serve(config, arguments.log_format, arguments.log_level)?,
        Some(Command::Check { config }) => println!("{}", Config::load(Some(&config))?.summary()),
        Some(Command::Classify { rules, format, null, sql }) => cli::classify(rules, format, null, sql)?,
        Some(Command::Plan(options)) if !planning::plan(&options)? => return Ok(ExitCode::from(NOT_BORNE)),
        Some(Command::Plan(_)) => {}
        Some(Command::Placement(options)) => placement_command::print_groups(&options)?,
    }
    Ok(ExitCode::SUCCESS)
}
