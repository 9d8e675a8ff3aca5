//! The judgement by the tokens of a statement, without regard to its tree: a call is found in every place where an
//! expression can stand, because nobody asks where it stands.

use crate::catalogue::Catalogue;
use crate::explain::{self, Effect, Explain};
use crate::lexer::Kind;
use crate::objection::Objection;
use crate::shape::CanonicalToken;
use crate::types;

/// So far the columns of a common table expression are looked for, in tokens.
const MAX_COLUMN_TOKENS: usize = 200;

/// A call as the tokens show it.
pub(crate) struct Call {
    /// With its schema, where it has one.
    pub(crate) name: String,
    pure: bool,
}

/// All calls: a name with a bracket behind it, unless it is an alias with its columns.
pub(crate) fn calls(tokens: &[CanonicalToken], catalogue: &Catalogue) -> Vec<Call> {
    let names = (0..tokens.len()).filter(|at| is_call(tokens, *at, catalogue));
    names.map(|at| call_of(&tokens[..at], &tokens[at], catalogue)).collect()
}

/// Whether the token at `at` is the name of a function that is called.
fn is_call(tokens: &[CanonicalToken], at: usize, catalogue: &Catalogue) -> bool {
    let name = &tokens[at];
    if !name.is_name() || !tokens.get(at + 1).is_some_and(|next| next.is("(")) {
        return false;
    }
    let before = at.checked_sub(1).map(|before| &tokens[before]);
    let is_bare = name.kind == Kind::Word && !before.is_some_and(|dot| dot.is("."));
    if is_bare && catalogue.begins_no_call(&name.text) && !is_function_too(&name.text) {
        return false;
    }
    !(has_other_bracket(before, name, catalogue) || is_alias(tokens, at, catalogue))
}

/// Whether the bracket behind a word holds something other than arguments: options, a sample's size, a type's measure.
fn has_other_bracket(before: Option<&CanonicalToken>, word: &CanonicalToken, catalogue: &Catalogue) -> bool {
    let Some(before) = before else { return word.is_word("explain") };
    let is_cast = before.is("::") || before.is_word("as");
    if is_cast && word.kind == Kind::Word && catalogue.is_type(&word.text) {
        return true;
    }
    // The sample's own methods; elsewhere these are names like any other.
    before.is_word("tablesample") && (word.is_word("bernoulli") || word.is_word("system"))
}

/// Whether the name at `at` is an alias, with its columns in brackets.
fn is_alias(tokens: &[CanonicalToken], at: usize, catalogue: &Catalogue) -> bool {
    let Some(before) = at.checked_sub(1).map(|before| &tokens[before]) else { return false };
    if before.is_word("as") || before.is_word("recursive") {
        return true;
    }
    if (before.is_name() || before.is(")")) && types::ends_operand(tokens, at - 1, catalogue) {
        return true;
    }
    // WITH a (x) AS: a name, and no call; a further one stands behind a comma, and shows by what follows.
    (before.is_word("with") || before.is(",")) && names_columns(&tokens[at + 1..])
}

/// The call of a function by this name, with the tokens before it.
fn call_of(before: &[CanonicalToken], name: &CanonicalToken, catalogue: &Catalogue) -> Call {
    let (schema, is_complete) = match before {
        [.., deeper, schema, dot] if dot.is(".") && schema.is_name() => (Some(&schema.text), !deeper.is(".")),
        [schema, dot] if dot.is(".") && schema.is_name() => (Some(&schema.text), true),
        [.., dot] if dot.is(".") => (None, false),
        _ => (None, true),
    };
    let pure = is_complete && catalogue.is_pure(schema.map(String::as_str), &name.text);
    let name = schema.map_or_else(|| name.text.clone(), |schema| format!("{schema}.{}", name.text));
    Call { name, pure }
}

/// Words that are key words, and functions as well.
fn is_function_too(word: &str) -> bool {
    matches!(word, "left" | "right" | "grouping")
}

/// Whether a bracket holds names alone and is followed by AS and a bracket: the columns of a common table expression.
fn names_columns(tokens: &[CanonicalToken]) -> bool {
    let Some(end) = tokens.iter().take(MAX_COLUMN_TOKENS).position(|p| p.is(")")) else { return false };
    let names = tokens[1..end].iter().all(|p| p.is_name() || p.is(","));
    let mut rest = tokens[end + 1..].iter().filter(|p| !p.is_word("not") && !p.is_word("materialized"));
    names && rest.next().is_some_and(|p| p.is_word("as")) && rest.next().is_some_and(|p| p.is("("))
}

/// Why the tokens alone speak against a read.
pub(crate) fn object(tokens: &[CanonicalToken], catalogue: &Catalogue) -> Option<Objection> {
    let (first, rest) = tokens.split_first()?;
    if first.is_word("explain") {
        return object_to_explain(rest, catalogue);
    }
    if first.is_word("show") {
        return object_to_show(rest);
    }
    if !explain::begins_query(tokens) {
        return Some(Objection::unknown_kind());
    }
    object_to_query(tokens, catalogue).map(Objection::write)
}

/// Why the tokens behind EXPLAIN speak against a read.
fn object_to_explain(tokens: &[CanonicalToken], catalogue: &Catalogue) -> Option<Objection> {
    let explain = match Explain::read(tokens) {
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
fn object_to_show(tokens: &[CanonicalToken]) -> Option<Objection> {
    let in_name = |p: &CanonicalToken| p.is_name() || p.is(".");
    (!tokens.iter().all(in_name)).then(|| Objection::write("what is shown is no name"))
}

/// Why the tokens of a query alone speak against a read.
fn object_to_query(tokens: &[CanonicalToken], catalogue: &Catalogue) -> Option<String> {
    if let Some(call) = calls(tokens, catalogue).into_iter().find(|c| !c.pure) {
        return Some(format!("{} is not known to be free of effects", call.name));
    }
    let object = |at| {
        let (before, from_here) = tokens.split_at(at);
        object_to_token(before, from_here, catalogue)
            .or_else(|| object_to_field(before, &from_here[0], catalogue))
    };
    (0..tokens.len()).find_map(object).or_else(|| types::object(tokens, catalogue))
}

/// Why a word or an operator speaks against a read.
fn object_to_token(
    before: &[CanonicalToken],
    from_here: &[CanonicalToken],
    catalogue: &Catalogue,
) -> Option<String> {
    let (token, next) = (from_here.first()?, from_here.get(1));
    let dotted = before.last().is_some_and(|dot| dot.is("."));
    match token.kind {
        Kind::Word if !dotted && catalogue.writes(&token.text) => {
            Some(format!("{} stands in it", token.text))
        }
        Kind::Word if token.text == "operator" && next.is_some_and(|n| n.is("(")) => {
            Some("an operator is named by its schema".to_owned())
        }
        Kind::Word if token.text == "for" && next.is_some_and(begins_lock) => {
            Some("it locks rows".to_owned())
        }
        Kind::Operator if !catalogue.is_operator(&token.text) => {
            Some(format!("the operator {} is not PostgreSQL's own", token.text))
        }
        _ => None,
    }
}

/// Whether a word behind FOR names a lock on rows.
fn begins_lock(token: &CanonicalToken) -> bool {
    ["update", "share", "no", "key"].iter().any(|word| token.is_word(word))
}

/// Why a name behind a dot may be a call of a function, written like a column.
fn object_to_field(
    before: &[CanonicalToken],
    token: &CanonicalToken,
    catalogue: &Catalogue,
) -> Option<String> {
    let [row @ .., dot] = before else { return None };
    if !dot.is(".") || !token.is_name() {
        return None;
    }
    if row.last().is_some_and(|end| end.is(")") || end.is("]") || end.kind == Kind::Parameter) {
        return Some(format!("({}) may be a call of a function", token.text));
    }
    catalogue.is_writing(&token.text).then(|| format!("{} is declared to write", token.text))
}
