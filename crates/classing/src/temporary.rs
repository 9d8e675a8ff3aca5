//! Temporary objects, which only the connection sees that made them: by the words TEMP and TEMPORARY where PostgreSQL's
//! grammar takes them (`OptTemp`, `OptTempTableName`), and by their schema.

use crate::catalogue;
use crate::explain::{Effect, Explain};
use crate::lexer::Kind;
use crate::shape::CanonicalToken;

/// The schema of the temporary objects of a connection. The server's own name for it has a number behind it.
const SCHEMA: &str = "pg_temp";

/// Whether a statement makes or uses temporary objects. What EXPLAIN only shows the plan of does neither.
pub(crate) fn uses_temporary_objects(statement: &[CanonicalToken]) -> bool {
    if let [explain, rest @ ..] = statement {
        let is_plan = |explain: Explain| explain.effect == Effect::ShowsPlan;
        if explain.is_word("explain") && Explain::read(rest).is_ok_and(is_plan) {
            return false;
        }
    }
    (0..statement.len()).any(|at| {
        let (before, from_here) = (&statement[..at], &statement[at..]);
        is_temporary_schema(&from_here[0]) || creates(from_here) || selects_into(before, from_here)
    })
}

fn is_temporary_schema(token: &CanonicalToken) -> bool {
    let is_name = token.is_name();
    let number = token.text.strip_prefix(SCHEMA).filter(|_| is_name);
    number.is_some_and(|number| {
        number.is_empty()
            || number.strip_prefix('_').is_some_and(|digits| digits.bytes().all(|b| b.is_ascii_digit()))
    })
}

/// Whether CREATE [OR REPLACE] TEMPORARY begins here.
fn creates(tokens: &[CanonicalToken]) -> bool {
    match tokens {
        [create, or, replace, rest @ ..]
            if create.is_word("create") && or.is_word("or") && replace.is_word("replace") =>
        {
            without_temporary(rest).is_some()
        }
        [create, rest @ ..] if create.is_word("create") => without_temporary(rest).is_some(),
        _ => false,
    }
}

/// Whether the INTO of a query begins here and names a temporary table. A table may itself have the name `temp`.
fn selects_into(before: &[CanonicalToken], tokens: &[CanonicalToken]) -> bool {
    let [into, rest @ ..] = tokens else { return false };
    let names_a_table = before.last().is_some_and(|verb| verb.is_word("insert") || verb.is_word("merge"));
    if !into.is_word("into") || names_a_table {
        return false;
    }
    let Some([next, ..]) = without_temporary(rest) else { return false };
    match next.kind {
        Kind::Quoted => true,
        Kind::Word => next.is_word("table") || !catalogue::is_reserved(&next.text),
        _ => false,
    }
}

/// The tokens behind [LOCAL | GLOBAL] TEMPORARY, if they begin so.
fn without_temporary(tokens: &[CanonicalToken]) -> Option<&[CanonicalToken]> {
    let is_temporary = |token: &CanonicalToken| token.is_word("temp") || token.is_word("temporary");
    match tokens {
        [scope, word, rest @ ..]
            if (scope.is_word("local") || scope.is_word("global")) && is_temporary(word) =>
        {
            Some(rest)
        }
        [word, rest @ ..] if is_temporary(word) => Some(rest),
        _ => None,
    }
}
