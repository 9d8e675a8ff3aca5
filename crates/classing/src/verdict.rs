//! The judgement of a shape, on a miss of the cache: what the statement does, what it touches and what it may cost.
//!
//! Two judges look at it, and a read is only what both call one: the tree, and the tokens without regard to the tree.

use sqlparser::ast::{Statement, Visit};
use sqlparser::dialect::PostgreSqlDialect;
use sqlparser::parser::{Parser, ParserError};

use crate::catalogue::Catalogue;
use crate::lexer::Kind;
use crate::objection::Objection;
use crate::shape::{canonical, CanonicalToken};
use crate::size::too_large;
use crate::temporary::uses_temporary_objects;
use crate::tokens;
use crate::tree::Tree;

/// What a statement does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Access {
    /// It changes nothing, as was proved.
    Read,
    /// It changes data, or may.
    Write,
    /// It changes what later statements of the connection meet.
    Session,
    /// It can't be told.
    Unknown,
}

impl Access {
    /// Its name.
    pub fn name(self) -> &'static str {
        match self {
            Access::Read => "read",
            Access::Write => "write",
            Access::Session => "session",
            Access::Unknown => "unknown",
        }
    }
}

/// How many statements a text holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Statements {
    /// Comments and space alone.
    None,
    /// One, or what can't be told.
    One,
    /// More than one.
    Several,
}

/// What is known of all statements of a shape.
#[derive(Clone, Debug, PartialEq)]
pub struct Verdict {
    /// What they do.
    pub access: Access,
    /// How many there are.
    pub statements: Statements,
    /// Whether it makes or uses temporary objects, which only the connection sees that made them.
    pub temporary: bool,
    /// Why, in words.
    pub why: String,
    /// What they begin with, in lower case.
    pub verb: String,
    /// Tables that they name, as written, in lower case unless quoted.
    pub tables: Vec<String>,
    /// Functions that they call.
    pub functions: Vec<String>,
    /// An estimate of what they cost, by their structure: 1 for a look-up by a key.
    pub cost: f32,
}

impl Verdict {
    /// The verdict on a statement that begins with this word, before it is judged.
    pub(crate) fn undecided(verb: &str) -> Self {
        Verdict {
            access: Access::Unknown,
            statements: Statements::One,
            temporary: false,
            why: String::new(),
            verb: verb.to_owned(),
            tables: Vec::new(),
            functions: Vec::new(),
            cost: 1.0,
        }
    }

    pub(crate) fn decided(self, access: Access, why: &str) -> Self {
        Verdict { access, why: why.to_owned(), ..self }
    }

    /// Turns a read into a write: a db host has refused the statement as one.
    pub(crate) fn refute_read(&mut self) {
        if self.access == Access::Read {
            (self.access, self.why) = (Access::Write, "a db host refused it as a write".to_owned());
        }
    }

    /// Bytes that it holds, beside its own size.
    pub fn held(&self) -> usize {
        let lists = self.tables.iter().chain(&self.functions);
        let list = lists.map(|s| s.capacity() + size_of::<String>()).sum::<usize>();
        self.why.capacity() + self.verb.capacity() + list
    }
}

/// First words of statements that change what later statements of the connection meet.
const SESSION_VERBS: &str =
    "set reset discard begin start commit end rollback abort savepoint release listen unlisten declare \
    fetch move close prepare execute deallocate load checkpoint";
/// First words of statements that change data, or may.
const WRITE_VERBS: &str =
    "insert update delete merge truncate create alter drop grant revoke comment copy call do lock vacuum \
    analyze cluster reindex refresh notify reassign security import";

/// The deepest recursion of the parser.
const MAX_PARSER_DEPTH: usize = 64;

/// What statements that begin with a word do; `None` where more has to be known of them.
fn access_by_verb(verb: &str) -> Option<Access> {
    let is_among = |words: &str| words.split_whitespace().any(|word| word == verb);
    if is_among(SESSION_VERBS) {
        Some(Access::Session)
    } else if is_among(WRITE_VERBS) {
        Some(Access::Write)
    } else {
        None
    }
}

/// Judges the tokens of a shape.
pub(crate) fn judge(catalogue: &Catalogue, tokens: &[CanonicalToken]) -> Verdict {
    let statement = without_final_semicolons(tokens);
    let verb = first_word(statement);
    let mut verdict = Verdict::undecided(verb);
    if statement.is_empty() {
        verdict.statements = Statements::None;
        return verdict.decided(Access::Session, "it is empty");
    }
    if statement.iter().any(|token| token.is(";")) {
        verdict.statements = Statements::Several;
        return verdict.decided(Access::Unknown, "there are several statements");
    }
    if statement.iter().any(|token| token.kind == Kind::Doubtful) {
        let why = "the end of a string depends on standard_conforming_strings";
        return verdict.decided(Access::Unknown, why);
    }
    if uses_temporary_objects(statement) {
        verdict.temporary = true;
        return verdict.decided(Access::Session, "it makes or uses temporary objects");
    }
    let access_by_verb = access_by_verb(verb);
    if let Some(why) = too_large(statement) {
        return verdict.decided(access_by_verb.unwrap_or(Access::Unknown), why);
    }
    let parsed = parse(statement);
    let mut tree = Tree::new(catalogue);
    if let Ok(statements) = &parsed {
        let _ = statements.visit(&mut tree);
    }
    verdict.functions = tokens::calls(statement, catalogue).into_iter().map(|call| call.name).collect();
    verdict.tables = tree.take_tables();
    verdict.cost += tree.cost;
    if let Some(access) = access_by_verb {
        return verdict.decided(access, &format!("it begins with {verb}"));
    }
    match parsed.as_deref() {
        Err(error) => verdict.decided(Access::Unknown, &format!("it can't be parsed: {error}")),
        Ok([parsed]) => match tokens::object(statement, catalogue).or_else(|| tree.object_to(parsed)) {
            Some(Objection { access, why }) => verdict.decided(access, &why),
            None => verdict.decided(Access::Read, proof(verb)),
        },
        Ok(_) => verdict.decided(Access::Unknown, "it is no one statement"),
    }
}

fn without_final_semicolons(tokens: &[CanonicalToken]) -> &[CanonicalToken] {
    let last = tokens.iter().rposition(|token| !token.is(";"));
    last.map_or(&[], |last| &tokens[..=last])
}

/// The first word behind any brackets; empty where there is none.
fn first_word(statement: &[CanonicalToken]) -> &str {
    let first = statement.iter().find(|token| !token.is("("));
    first.filter(|token| token.kind == Kind::Word).map_or("", |token| &token.text)
}

fn parse(statement: &[CanonicalToken]) -> Result<Vec<Statement>, ParserError> {
    // TABLE t is short for a query that the parser knows in full only.
    let text = match statement {
        [table, name @ ..] if table.is_word("table") => format!("select * from {}", canonical(name)),
        _ => canonical(statement),
    };
    let parser = Parser::new(&PostgreSqlDialect {}).with_recursion_limit(MAX_PARSER_DEPTH);
    parser.try_with_sql(&text)?.parse_statements()
}

/// What was shown of a statement that is a read.
fn proof(verb: &str) -> &'static str {
    match verb {
        "explain" => "a plan is shown, and nothing runs that has effects",
        "show" => "a setting is shown",
        _ => "a query, and all that it calls is free of effects",
    }
}
