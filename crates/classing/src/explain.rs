//! EXPLAIN: whether it only shows the plan of its statement, or runs the statement as well.
//!
//! Options are read as PostgreSQL's grammar reads them (`explain_option_list`, "EXPLAIN" in its reference): a name is a
//! bare word, which is folded to lower case, or a quoted identifier, which is taken as it is; where an option is given
//! twice, the last one counts. An option that is not listed here is taken for one that may run the statement.

use sqlparser::ast::{Expr, UtilityOption, Value};

use crate::lexer::Kind;
use crate::shape::CanonicalToken;

/// Options of PostgreSQL 18 that change what is shown, and never run the statement by themselves.
const DISPLAY_OPTIONS: &[&str] = &[
    "verbose",
    "costs",
    "settings",
    "generic_plan",
    "buffers",
    "serialize",
    "wal",
    "timing",
    "summary",
    "memory",
    "format",
];

/// What the statements begin with whose plan can be shown (`ExplainableStmt`), without EXECUTE: the arguments of a
/// prepared statement are computed even where only its plan is shown.
const EXPLAINABLE: &[&str] = &[
    "select", "values", "table", "with", "insert", "update", "delete", "merge", "declare", "create",
    "refresh",
];

/// What queries begin with, behind any brackets.
const QUERY_WORDS: &[&str] = &["select", "values", "table", "with"];

/// The value of an option.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Setting {
    /// Surely off.
    Off,
    /// On, or of a value that is not known: literals are no part of a shape.
    MayBeOn,
}

impl Setting {
    /// The value that a bare word or a quoted identifier stands for.
    fn of_name(name: &str) -> Self {
        let is_off = ["off", "false"].iter().any(|off| name.eq_ignore_ascii_case(off));
        if is_off {
            Setting::Off
        } else {
            Setting::MayBeOn
        }
    }
}

/// An option of EXPLAIN.
#[derive(Clone, Debug, PartialEq, Eq)]
struct ExplainOption {
    /// In lower case unless quoted.
    name: String,
    setting: Setting,
}

/// What an EXPLAIN does with its statement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Effect {
    /// It shows the plan.
    ShowsPlan,
    /// It runs the statement.
    Runs,
}

/// Why the effect of an EXPLAIN is not known.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Unclear {
    /// The text in brackets is no list of options.
    NotOptions,
    /// An option that may do anything.
    UnknownOption(String),
}

impl std::fmt::Display for Unclear {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        match self {
            Unclear::NotOptions => write!(f, "the options of EXPLAIN can't be read"),
            Unclear::UnknownOption(name) => write!(f, "the option {name} of EXPLAIN may run the statement"),
        }
    }
}

/// An EXPLAIN as its tokens show it.
#[derive(Debug, PartialEq, Eq)]
pub(crate) struct Explain<'a> {
    pub(crate) effect: Effect,
    /// The statement that is explained.
    pub(crate) statement: &'a [CanonicalToken],
}

impl<'a> Explain<'a> {
    /// Reads the tokens behind the word EXPLAIN.
    ///
    /// # Errors
    /// Where the effect of the options is not known.
    pub(crate) fn read(tokens: &'a [CanonicalToken]) -> Result<Self, Unclear> {
        match tokens {
            [open, rest @ ..] if open.is("(") && !begins_query(rest) => {
                let (options, statement) = read_options(rest)?;
                Ok(Explain { effect: effect(&options)?, statement })
            }
            [analyze, rest @ ..] if is_analyze(analyze) => {
                Ok(Explain { effect: Effect::Runs, statement: without_verbose(rest) })
            }
            _ => Ok(Explain { effect: Effect::ShowsPlan, statement: without_verbose(tokens) }),
        }
    }

    /// Whether the plan of its statement can be shown without running any part of it.
    pub(crate) fn is_explainable(&self) -> bool {
        let first = self.statement.iter().find(|t| !t.is("("));
        let begins_well = first.is_some_and(|t| EXPLAINABLE.iter().any(|word| t.is_word(word)));
        // CREATE TABLE ... AS EXECUTE computes the arguments of a prepared statement.
        let creates = first.is_some_and(|t| t.is_word("create"));
        begins_well && !(creates && self.statement.iter().any(|t| t.is_word("execute")))
    }
}

fn is_analyze(token: &CanonicalToken) -> bool {
    token.is_word("analyze") || token.is_word("analyse")
}

fn without_verbose(tokens: &[CanonicalToken]) -> &[CanonicalToken] {
    match tokens {
        [verbose, rest @ ..] if verbose.is_word("verbose") => rest,
        _ => tokens,
    }
}

/// Whether these tokens begin like a query.
pub(crate) fn begins_query(tokens: &[CanonicalToken]) -> bool {
    let first = tokens.iter().find(|t| !t.is("("));
    first.is_some_and(|t| QUERY_WORDS.iter().any(|word| t.is_word(word)))
}

/// Reads options up to the closing bracket, and returns the tokens behind it.
fn read_options(tokens: &[CanonicalToken]) -> Result<(Vec<ExplainOption>, &[CanonicalToken]), Unclear> {
    let end = tokens.iter().position(|t| t.is(")")).ok_or(Unclear::NotOptions)?;
    let options = tokens[..end].split(|t| t.is(",")).map(read_option).collect::<Result<_, _>>()?;
    Ok((options, &tokens[end + 1..]))
}

fn read_option(tokens: &[CanonicalToken]) -> Result<ExplainOption, Unclear> {
    let (name, argument) = tokens.split_first().ok_or(Unclear::NotOptions)?;
    if !name.is_name() {
        return Err(Unclear::NotOptions);
    }
    let setting = match argument {
        [] => Setting::MayBeOn,
        [word] if word.is_name() => Setting::of_name(&word.text),
        [literal] if matches!(literal.kind, Kind::Number | Kind::Text) => Setting::MayBeOn,
        [sign, number] if sign.kind == Kind::Operator && number.kind == Kind::Number => Setting::MayBeOn,
        _ => return Err(Unclear::NotOptions),
    };
    Ok(ExplainOption { name: name.text.clone(), setting })
}

/// What an EXPLAIN with these options does.
fn effect(options: &[ExplainOption]) -> Result<Effect, Unclear> {
    let mut effect = Effect::ShowsPlan;
    for option in options {
        match &*option.name {
            "analyze" | "analyse" => {
                effect = if option.setting == Setting::Off { Effect::ShowsPlan } else { Effect::Runs };
            }
            name if DISPLAY_OPTIONS.contains(&name) => {}
            name => return Err(Unclear::UnknownOption(name.to_owned())),
        }
    }
    Ok(effect)
}

/// What an EXPLAIN does by its options as the parser read them.
///
/// # Errors
/// Where the effect of an option is not known.
pub(crate) fn effect_of_parsed(options: &[UtilityOption]) -> Result<Effect, Unclear> {
    let options: Vec<_> = options.iter().map(parsed_option).collect();
    effect(&options)
}

fn parsed_option(option: &UtilityOption) -> ExplainOption {
    let name = match option.name.quote_style {
        Some(_) => option.name.value.clone(),
        None => option.name.value.to_ascii_lowercase(),
    };
    let setting = match &option.arg {
        Some(Expr::Identifier(word)) => Setting::of_name(&word.value),
        Some(Expr::Value(value)) if value.value == Value::Boolean(false) => Setting::Off,
        _ => Setting::MayBeOn,
    };
    ExplainOption { name, setting }
}
