//! The judgement by the tokens of a statement, without regard to its tree: a call is found in every place where an
//! expression can stand, because nobody asks where it stands.

use crate::catalogue::Catalogue;
use crate::explain::{self, Effect, Explain};
use crate::lexer::Kind;
use crate::objection::Objection;
use crate::shape::Piece;
use crate::types;

/// So far the columns of a common table expression are looked for, in tokens.
const MOST_COLUMNS: usize = 200;

/// A call as the tokens show it.
pub(crate) struct Call {
    /// With its schema, where it has one.
    pub(crate) name: String,
    pure: bool,
}

/// All calls: a name with a bracket behind it, unless it is an alias with its columns.
pub(crate) fn calls(pieces: &[Piece], catalogue: &Catalogue) -> Vec<Call> {
    let mut calls = Vec::new();
    for (i, p) in pieces.iter().enumerate() {
        let is_name = matches!(p.kind, Kind::Word | Kind::Quoted);
        if !is_name || !pieces.get(i + 1).is_some_and(|n| n.is("(")) {
            continue;
        }
        let before = |n: usize| i.checked_sub(n).and_then(|at| pieces.get(at));
        let dotted = before(1).is_some_and(|b| b.is("."));
        if p.kind == Kind::Word && !dotted && catalogue.opens_no_call(&p.text) && !is_function_too(&p.text) {
            continue;
        }
        // The sample's own methods; elsewhere these are names like any other.
        let sampled = before(1).is_some_and(|b| b.is_word("tablesample"));
        let options = i == 0 && p.is_word("explain");
        if options || (sampled && (p.is_word("bernoulli") || p.is_word("system"))) {
            continue;
        }
        // A type with its measure, `numeric(10, 2)`, behind a cast.
        let cast = before(1).is_some_and(|b| b.is("::") || b.is_word("as"));
        if p.kind == Kind::Word && cast && catalogue.is_type(&p.text) {
            continue;
        }
        let alias = match before(1) {
            Some(b) if b.is_word("as") || b.is_word("recursive") => true,
            Some(b) if matches!(b.kind, Kind::Word | Kind::Quoted) || b.is(")") => {
                types::ends_operand(pieces, i - 1, catalogue)
            }
            _ => false,
        };
        // WITH a (x) AS: a name, and no call; a further one stands behind a comma, and shows by what follows.
        let named = before(1).is_some_and(|b| b.is_word("with") || b.is(",") || b.is_word("recursive"));
        if alias || (named && names_columns(&pieces[i + 1..])) {
            continue;
        }
        let schema = before(2).filter(|b| dotted && matches!(b.kind, Kind::Word | Kind::Quoted));
        let deeper = dotted && before(3).is_some_and(|b| b.is("."));
        let pure =
            !deeper && (!dotted || schema.is_some()) && catalogue.is_pure(schema.map(|s| &*s.text), &p.text);
        let name = schema.map_or_else(|| p.text.clone(), |s| format!("{}.{}", s.text, p.text));
        calls.push(Call { name, pure });
    }
    calls
}

/// Words that are key words, and functions as well.
fn is_function_too(word: &str) -> bool {
    matches!(word, "left" | "right" | "grouping")
}

/// Whether a bracket holds names alone and is followed by AS and a bracket: the columns of a common table expression.
fn names_columns(pieces: &[Piece]) -> bool {
    let Some(end) = pieces.iter().take(MOST_COLUMNS).position(|p| p.is(")")) else { return false };
    let names = pieces[1..end].iter().all(|p| matches!(p.kind, Kind::Word | Kind::Quoted) || p.is(","));
    let mut rest = pieces[end + 1..].iter().filter(|p| !p.is_word("not") && !p.is_word("materialized"));
    names && rest.next().is_some_and(|p| p.is_word("as")) && rest.next().is_some_and(|p| p.is("("))
}

/// Why the tokens alone speak against a read.
pub(crate) fn object(pieces: &[Piece], catalogue: &Catalogue) -> Option<Objection> {
    let (first, rest) = pieces.split_first()?;
    if first.is_word("explain") {
        return object_to_explain(rest, catalogue);
    }
    if first.is_word("show") {
        return object_to_show(rest);
    }
    if !explain::begins_query(pieces) {
        return Some(Objection::unknown_kind());
    }
    object_to_query(pieces, catalogue).map(Objection::write)
}

/// Why the tokens behind EXPLAIN speak against a read.
fn object_to_explain(pieces: &[Piece], catalogue: &Catalogue) -> Option<Objection> {
    let explain = match Explain::read(pieces) {
        Ok(explain) => explain,
        Err(unclear) => return Some(Objection::write(unclear.to_string())),
    };
    match explain.effect {
        Effect::ShowsPlan if explain.is_explainable() => None,
        Effect::ShowsPlan => Some(Objection::write("what is explained is not known to stay unrun")),
        Effect::Runs => object_to_query(explain.statement, catalogue).map(Objection::write),
    }
}

/// Why the tokens behind SHOW speak against a read: it takes a name.
fn object_to_show(pieces: &[Piece]) -> Option<Objection> {
    let in_name = |p: &Piece| matches!(p.kind, Kind::Word | Kind::Quoted) || p.is(".");
    (!pieces.iter().all(in_name)).then(|| Objection::write("what is shown is no name"))
}

/// Why the tokens of a query alone speak against a read.
fn object_to_query(pieces: &[Piece], catalogue: &Catalogue) -> Option<String> {
    if let Some(call) = calls(pieces, catalogue).into_iter().find(|c| !c.pure) {
        return Some(format!("{} is not known to be free of effects", call.name));
    }
    for (i, p) in pieces.iter().enumerate() {
        let next = pieces.get(i + 1);
        let before = i.checked_sub(1).and_then(|at| pieces.get(at));
        let dotted = before.is_some_and(|b| b.is("."));
        match p.kind {
            Kind::Word if !dotted && catalogue.writes(&p.text) => {
                return Some(format!("{} stands in it", p.text));
            }
            Kind::Word if p.text == "operator" && next.is_some_and(|n| n.is("(")) => {
                return Some("an operator is named by its schema".to_owned());
            }
            Kind::Word if p.text == "for" => {
                let locks =
                    |n: &Piece| matches!(&*n.text, "update" | "share" | "no" | "key") && n.kind == Kind::Word;
                if next.is_some_and(locks) {
                    return Some("it locks rows".to_owned());
                }
            }
            Kind::Operator if !catalogue.is_operator(&p.text) => {
                return Some(format!("the operator {} is not PostgreSQL's own", p.text));
            }
            _ => {}
        }
        if dotted && matches!(p.kind, Kind::Word | Kind::Quoted) {
            let behind = i.checked_sub(2).and_then(|at| pieces.get(at));
            if behind.is_some_and(|b| b.is(")") || b.is("]") || b.kind == Kind::Parameter) {
                return Some(format!("({}) may be a call of a function", p.text));
            }
            if catalogue.is_writing(&p.text) {
                return Some(format!("{} is declared to write", p.text));
            }
        }
    }
    types::object(pieces, catalogue)
}
