//! The command line. Without arguments the program serves, as the platform starts it.

use std::io::{self, BufRead, BufWriter, Read, Write};
use std::path::PathBuf;

use clap::{Parser, Subcommand, ValueEnum};
use gradeshunt_classing::{Access, Catalogue, Classer, Classified, Key};
use serde_json::json;

use crate::routing::{rules, Origin};

/// Memory in which `classify` caches shapes, in bytes.
const SHAPE_CACHE_BYTES: usize = 16 << 20;

/// A proxy for replicated PostgreSQL.
#[derive(Debug, Parser)]
#[command(version, about)]
pub struct Arguments {
    #[command(subcommand)]
    pub(crate) command: Option<Command>,
    /// Format of the log's lines.
    #[arg(long, global = true, value_enum, default_value_t = LogFormat::Text)]
    pub(crate) log_format: LogFormat,
    /// What is logged: `debug` adds all events and actions of the decision library.
    #[arg(long, global = true, value_enum, default_value_t = LogLevel::Info)]
    pub(crate) log_level: LogLevel,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum LogLevel {
    Info,
    Debug,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum LogFormat {
    Text,
    Json,
}

#[derive(Debug, Subcommand)]
pub enum Command {
    /// Serve clients; the same as without a command.
    Run {
        /// The configuration file; by default $ROUTER_CONFIG.
        #[arg(long)]
        config: Option<PathBuf>,
    },
    /// Check a configuration without serving.
    Check {
        /// The configuration file.
        config: PathBuf,
    },
    /// Classify SQL statements, from the arguments or one per line from standard input.
    Classify {
        /// The operators' rules: their functions and types are taken into account, and the class of the first
        /// matching route is printed.
        #[arg(long)]
        rules: Option<PathBuf>,
        #[arg(long, value_enum, default_value_t = ClassFormat::Json)]
        format: ClassFormat,
        /// Statements on standard input are separated by NUL bytes and may span several lines.
        #[arg(long)]
        null: bool,
        sql: Vec<String>,
    },
    /// Plan how load is distributed when sites are lost. Exits with status 3 if a loss is not borne.
    Plan(crate::planning::Options),
    /// Show which proxies form groups and which sets they serve, according to the operators' file on
    /// placement.
    Placement(crate::placement_command::Options),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum ClassFormat {
    Text,
    Json,
}

/// Returns the kind of db host that a statement may go to.
fn target(access: Access) -> &'static str {
    if access == Access::Read {
        "replica"
    } else {
        "primary"
    }
}

fn format_verdict(classified: &Classified, class: Option<&str>, format: ClassFormat) -> String {
    let verdict = &*classified.verdict;
    let shape = classified.shape.map(|s| s.to_string());
    let (access, target) = (verdict.access.name(), target(verdict.access));
    match format {
        ClassFormat::Json => {
            let cost = (f64::from(verdict.cost) * 100.0).round() / 100.0;
            json!({"access": access, "target": target, "class": class, "shape": shape, "cost": cost, "why": verdict.why})
                .to_string()
        }
        ClassFormat::Text => {
            let shape = shape.as_deref().unwrap_or("-");
            let class = class.unwrap_or("-");
            format!("{access:<8} {target:<8} {class:<12} {:>7.2} {shape} {}", verdict.cost, verdict.why)
        }
    }
}

/// Classifies statements in input order.
///
/// # Errors
/// If the rules or standard input can't be read, or standard output can't be written.
pub fn classify(
    rules: Option<PathBuf>,
    format: ClassFormat,
    null: bool,
    sql: Vec<String>,
) -> Result<(), String> {
    let (declared, routes) =
        rules.map_or_else(|| Ok(Default::default()), |file| rules::read_outline(&file))?;
    // A fixed key gives a shape the same number in every call: it needs no secrecy here.
    let mut classer = Classer::new(Key(0, 0), Catalogue::new(&declared), SHAPE_CACHE_BYTES);
    let mut out = BufWriter::new(io::stdout().lock());
    let mut print = |statement: &str| {
        let classified = classer.class(statement);
        let sent = matches!(classified.verdict.access, Access::Read | Access::Write | Access::Unknown);
        let route = routes.iter().find(|(m, _)| sent && m.accepts(&Origin::default(), &classified.verdict));
        let line = format_verdict(&classified, route.map(|(_, class)| class.as_str()), format);
        writeln!(out, "{line}")
    };
    let mut written = Ok(());
    if sql.is_empty() {
        let mut input = io::stdin().lock();
        let mut bytes = Vec::new();
        loop {
            bytes.clear();
            let separator = if null { 0 } else { b'\n' };
            let n = input.by_ref().read_until(separator, &mut bytes);
            if n.map_err(|e| format!("cannot read standard input: {e}"))? == 0 {
                break;
            }
            let end = if bytes.last() == Some(&separator) { bytes.len() - 1 } else { bytes.len() };
            // Input that is not UTF-8 can't be a statement; it still gets a line of output, so that output
            // and input lines match.
            written = written.and_then(|()| print(std::str::from_utf8(&bytes[..end]).unwrap_or("\0")));
        }
    } else {
        written = sql.iter().try_for_each(|s| print(s));
    }
    match written.and_then(|()| out.flush()) {
        // The reader has closed the pipe.
        Err(e) if e.kind() == io::ErrorKind::BrokenPipe => Ok(()),
        written => written.map_err(|e| format!("cannot write standard output: {e}")),
    }
}
