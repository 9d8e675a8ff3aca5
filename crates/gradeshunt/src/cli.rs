//! The command line. Without arguments the program serves, as the platform starts it.

use std::io::{self, BufRead, BufWriter, Read, Write};
use std::path::PathBuf;

use clap::{Parser, Subcommand, ValueEnum};
use gradeshunt_classing::{Access, Catalogue, Classer, Key, Told};
use serde_json::json;

use crate::routing::{rules, Origin};

/// Bytes in which `classify` remembers shapes.
const SHAPES: usize = 16 << 20;

/// A proxy for replicated PostgreSQL.
#[derive(Debug, Parser)]
#[command(version, about)]
pub struct Arguments {
    #[command(subcommand)]
    pub(crate) command: Option<Command>,
    /// How lines of the log are written.
    #[arg(long, global = true, value_enum, default_value_t = LogFormat::Text)]
    pub(crate) log_format: LogFormat,
    /// What the log holds: `debug` adds all that the decisions hear and ask for.
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
    /// Serve clients; the same as no command.
    Run {
        /// The configuration; $ROUTER_CONFIG where it is not given.
        #[arg(long)]
        config: Option<PathBuf>,
    },
    /// Check a configuration, without serving.
    Check {
        /// The file.
        config: PathBuf,
    },
    /// Tell what statements do: from the arguments, or one a line from standard input.
    Classify {
        /// The operators' rules: their functions and types count, and the class of the first route that matches is told.
        #[arg(long)]
        rules: Option<PathBuf>,
        #[arg(long, value_enum, default_value_t = ClassFormat::Json)]
        format: ClassFormat,
        /// Statements on standard input are separated by NUL bytes, and may have several lines.
        #[arg(long)]
        null: bool,
        sql: Vec<String>,
    },
    /// Tell what becomes of the load when sites are lost. Ends with status 3 where a loss is not borne.
    Plan(crate::planning::Options),
    /// Tell which proxies form groups and serve which sets, by the operators' file on placement.
    Placement(crate::placement_command::Options),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum ClassFormat {
    Text,
    Json,
}

/// Where a statement may go.
fn target(access: Access) -> &'static str {
    if access == Access::Read {
        "replica"
    } else {
        "primary"
    }
}

fn show(told: &Told, class: Option<&str>, format: ClassFormat) -> String {
    let verdict = &*told.verdict;
    let shape = told.shape.map(|s| s.to_string());
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

/// Classes statements, in the order in which they come.
///
/// # Errors
/// Where the rules or standard input can't be read, or standard output can't be written.
pub fn classify(
    rules: Option<PathBuf>,
    format: ClassFormat,
    null: bool,
    sql: Vec<String>,
) -> Result<(), String> {
    let (declared, routes) =
        rules.map_or_else(|| Ok(Default::default()), |file| rules::read_outline(&file))?;
    // The same shape has the same number in every call: it is no secret here.
    let mut classer = Classer::new(Key(0, 0), Catalogue::new(&declared), SHAPES);
    let mut out = BufWriter::new(io::stdout().lock());
    let mut tell = |statement: &str| {
        let told = classer.class(statement);
        let sent = matches!(told.verdict.access, Access::Read | Access::Write | Access::Unknown);
        let route = routes.iter().find(|(m, _)| sent && m.accepts(&Origin::default(), &told.verdict));
        let line = show(&told, route.map(|(_, class)| class.as_str()), format);
        writeln!(out, "{line}")
    };
    let mut told = Ok(());
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
            // What is no UTF-8 can't be a statement; its line is kept, so that answers and questions match.
            told = told.and_then(|()| tell(std::str::from_utf8(&bytes[..end]).unwrap_or("\0")));
        }
    } else {
        told = sql.iter().try_for_each(|s| tell(s));
    }
    match told.and_then(|()| out.flush()) {
        // Whoever reads has enough.
        Err(e) if e.kind() == io::ErrorKind::BrokenPipe => Ok(()),
        told => told.map_err(|e| format!("cannot write standard output: {e}")),
    }
}
