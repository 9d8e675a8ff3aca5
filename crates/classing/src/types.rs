//! The types that a statement names: in a cast, in front of a string (`date '2020-01-01'`) and in the columns of a record.
//! The input function of a type may have effects, and so may the checks of a domain; those of PostgreSQL's own have none.

use crate::catalogue::{self, Catalogue};
use crate::explain::begins_query;
use crate::lexer::Kind;
use crate::shape::CanonicalToken;

/// Words that take a type behind AS.
const CASTS: &[&str] = &["cast", "xmlserialize"];

/// Words behind which a string is a pattern, or the escape character of one.
const PATTERN_OPERATORS: &[&str] = &["like", "ilike", "escape"];

/// Why the types that these tokens name speak against a read.
pub(crate) fn object(tokens: &[CanonicalToken], catalogue: &Catalogue) -> Option<String> {
    (0..tokens.len()).find_map(|at| {
        let token = &tokens[at];
        if token.is("::") {
            object_to_type(&tokens[at + 1..], catalogue)
        } else if token.is("(") {
            object_to_bracket(tokens, at, catalogue)
        } else if token.kind == Kind::Text {
            object_to_literal(&tokens[..at], catalogue)
        } else {
            None
        }
    })
}

/// Whether an operand may end in this token, so that no other one begins right behind it.
pub(crate) fn ends_operand(tokens: &[CanonicalToken], at: usize, catalogue: &Catalogue) -> bool {
    let token = &tokens[at];
    match token.kind {
        Kind::Word => {
            catalogue::is_reserved_operand(&token.text) || !catalogue.stands_before_operand(&token.text)
        }
        Kind::Mark if token.text == ")" => !closes_distinct_on(&tokens[..at]),
        Kind::Mark => token.text == "]",
        Kind::Operator => false,
        Kind::Quoted | Kind::Number | Kind::Text | Kind::Doubtful | Kind::Bits | Kind::Parameter => true,
    }
}

/// Whether the bracket that is closed behind these tokens is that of DISTINCT ON, which operands follow.
fn closes_distinct_on(tokens: &[CanonicalToken]) -> bool {
    let before = opening_bracket(tokens).map(|open| &tokens[..open]);
    matches!(before, Some([.., distinct, on]) if distinct.is_word("distinct") && on.is_word("on"))
}

/// Where the bracket opens that is closed behind these tokens.
fn opening_bracket(tokens: &[CanonicalToken]) -> Option<usize> {
    let mut depth = 1_usize;
    tokens.iter().rposition(|token| {
        if token.is(")") {
            depth += 1;
        } else if token.is("(") {
            depth -= 1;
        }
        depth == 0
    })
}

/// Why a string behind these tokens may be a literal of a type that has effects.
fn object_to_literal(before: &[CanonicalToken], catalogue: &Catalogue) -> Option<String> {
    let last = before.len().checked_sub(1)?;
    let name = &before[last];
    match name.kind {
        Kind::Quoted => object_to_name(name, &before[..last], catalogue),
        Kind::Word if is_dotted(&before[..last]) => object_to_name(name, &before[..last], catalogue),
        Kind::Word if stands_before_string(before, last, catalogue) => None,
        Kind::Word => object_to_name(name, &before[..last], catalogue),
        Kind::Mark if name.text == ")" => object_to_measured(&before[..last], catalogue),
        _ => None,
    }
}

fn is_dotted(before: &[CanonicalToken]) -> bool {
    before.last().is_some_and(|token| token.is("."))
}

/// Whether the word at `at` is a key word where a string follows it, and no name of a type.
fn stands_before_string(tokens: &[CanonicalToken], at: usize, catalogue: &Catalogue) -> bool {
    let word = &tokens[at].text;
    // No type has BETWEEN for its bare name, as with the reserved words.
    if catalogue::is_reserved(word) || word == "between" {
        return true;
    }
    let operand = match &tokens[..at] {
        [.., list] if word == "by" => {
            return ["order", "group", "partition"].iter().any(|word| list.is_word(word))
        }
        [.., _, not] if not.is_word("not") => at - 2,
        [.., _] => at - 1,
        [] => return false,
    };
    // Behind an operand no literal begins: LIKE, NOT LIKE, ESCAPE, ZONE and their kind.
    ends_operand(tokens, operand, catalogue)
        || (PATTERN_OPERATORS.contains(&&**word) && is_column(&tokens[..=operand]))
}

/// Whether the last of these tokens is a column, though its name is a key word that is not reserved (`name`, `value`).
fn is_column(tokens: &[CanonicalToken]) -> bool {
    let [before @ .., column] = tokens else { return false };
    if column.kind != Kind::Word || column.is_word("by") {
        return false;
    }
    match before {
        [.., dot] if dot.is(".") => true,
        [.., xmlparse, open] if open.is("(") => !xmlparse.is_word("xmlparse"),
        [.., fetch] if fetch.is_word("fetch") => false,
        [.., like] if like.is_word("like") || like.is_word("ilike") => true,
        [.., word] if word.kind == Kind::Word => {
            catalogue::is_reserved(&word.text) && !catalogue::is_reserved_operand(&word.text)
        }
        [.., token] => token.kind == Kind::Operator || token.is(",") || token.is("(") || token.is("["),
        [] => false,
    }
}

/// Why a string behind a bracket that these tokens precede may be a literal of a type that has effects.
fn object_to_measured(tokens: &[CanonicalToken], catalogue: &Catalogue) -> Option<String> {
    let before = &tokens[..opening_bracket(tokens)?];
    let (name, before) = before.split_last()?;
    object_to_name(name, before, catalogue)
}

/// Why the type of this name, with its schema before it, may have effects.
fn object_to_name(name: &CanonicalToken, before: &[CanonicalToken], catalogue: &Catalogue) -> Option<String> {
    let is_own = match before {
        [.., deeper, _, dot] if dot.is(".") && deeper.is(".") => false,
        [.., schema, dot] if dot.is(".") => schema.text == "pg_catalog",
        _ => true,
    };
    let known = is_own && (catalogue.is_type(&name.text) || name.is_word("varying"));
    (!known).then(|| unknown_type(&name.text))
}

/// Why a type whose name begins these tokens may have effects.
fn object_to_type(tokens: &[CanonicalToken], catalogue: &Catalogue) -> Option<String> {
    let name = match tokens {
        [schema, dot, name, ..] if dot.is(".") && schema.text == "pg_catalog" => name,
        [schema, dot, ..] if dot.is(".") => {
            return Some(format!("the type {} has a schema of its own", schema.text))
        }
        [setof, name, ..] if setof.is_word("setof") => {
            return object_to_type(&tokens[1..], catalogue)
                .or_else(|| (!name.is_name()).then(|| unknown_type(&name.text)))
        }
        [name, ..] => name,
        [] => return None,
    };
    let known = name.is_name() && catalogue.is_type(&name.text);
    (!known).then(|| unknown_type(&name.text))
}

fn unknown_type(name: &str) -> String {
    format!("the type {name} is not PostgreSQL's own")
}

/// Why the types that stand in the bracket that opens at `open` may have effects.
fn object_to_bracket(tokens: &[CanonicalToken], open: usize, catalogue: &Catalogue) -> Option<String> {
    let inside = || &tokens[open + 1..open + 1 + length_of_bracket(&tokens[open + 1..])];
    let before = open.checked_sub(1).map(|at| &tokens[at])?;
    if CASTS.iter().any(|cast| before.is_word(cast)) {
        return object_to_cast(inside(), catalogue);
    }
    if !may_define_columns(tokens, open, catalogue) {
        return None;
    }
    split_list(inside()).find_map(|column| object_to_column(column, catalogue))
}

/// Tokens up to the bracket that closes this one.
fn length_of_bracket(tokens: &[CanonicalToken]) -> usize {
    let mut depth = 1_usize;
    let end = tokens.iter().position(|token| {
        if token.is("(") {
            depth += 1;
        } else if token.is(")") {
            depth -= 1;
        }
        depth == 0
    });
    end.unwrap_or(tokens.len())
}

/// The parts between the commas that stand in no further bracket.
fn split_list(tokens: &[CanonicalToken]) -> impl Iterator<Item = &[CanonicalToken]> {
    let mut depth = 0_usize;
    tokens.split(move |token| {
        if token.is("(") || token.is("[") {
            depth += 1;
        } else if token.is(")") || token.is("]") {
            depth = depth.saturating_sub(1);
        }
        depth == 0 && token.is(",")
    })
}

/// Why what CAST does may have effects.
fn object_to_cast(inside: &[CanonicalToken], catalogue: &Catalogue) -> Option<String> {
    let mut depth = 0_usize;
    let as_word = inside.iter().rposition(|token| {
        if token.is(")") {
            depth += 1;
        } else if token.is("(") {
            depth = depth.saturating_sub(1);
        }
        depth == 0 && token.is_word("as")
    });
    match as_word {
        Some(at) => object_to_type(&inside[at + 1..], catalogue),
        None => Some("a cast can't be read".to_owned()),
    }
}

/// Whether the bracket that opens at `open` may hold the columns of a record: behind an alias, or behind AS where the
/// alias is left out.
fn may_define_columns(tokens: &[CanonicalToken], open: usize, catalogue: &Catalogue) -> bool {
    let (before, inside) = (&tokens[..open], &tokens[open + 1..]);
    match before {
        [.., source, as_word] if as_word.is_word("as") => {
            (source.is(")") || source.is_word("ordinality")) && !begins_query(inside)
        }
        [.., as_word, alias] if as_word.is_word("as") => alias.is_name(),
        [.., alias] if alias.kind == Kind::Word && catalogue::is_reserved(&alias.text) => false,
        [.., alias] if alias.is_name() && open >= 2 => ends_operand(tokens, open - 2, catalogue),
        _ => false,
    }
}

/// Why a column of a record (`TableFuncElement` of PostgreSQL's grammar) may have effects; what is no definition has none.
fn object_to_column(column: &[CanonicalToken], catalogue: &Catalogue) -> Option<String> {
    let is_free = |token: &CanonicalToken| {
        token.is_name() && !(token.kind == Kind::Word && catalogue::is_reserved(&token.text))
    };
    let (name, of_type) = column.split_first()?;
    let first_of_type = of_type.first()?;
    if !is_free(name) || !is_free(first_of_type) {
        return None;
    }
    let generic = match of_type {
        [setof, _, ..] if setof.is_word("setof") => true,
        [_] => true,
        [_, next, ..] => {
            ["(", ".", "["].iter().any(|mark| next.is(mark))
                || ["array", "collate"].iter().any(|word| next.is_word(word))
        }
        [] => false,
    };
    generic.then(|| object_to_type(of_type, catalogue)).flatten()
}
