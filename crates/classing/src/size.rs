//! Bounds on the statements that are judged: a tree of a larger one could exhaust the stack or the time.

use crate::lexer::Kind;
use crate::shape::CanonicalToken;

/// Tokens of the longest statement.
const MAX_TOKENS: usize = 20_000;
/// Brackets around the innermost part.
const MAX_DEPTH: usize = 16;
/// Operators, casts and words that link parts.
const MAX_LINKS: usize = 400;

/// Why a statement is too large to be judged; `None` if it is not.
pub(crate) fn too_large(tokens: &[CanonicalToken]) -> Option<&'static str> {
    if tokens.len() > MAX_TOKENS {
        return Some("it is too long to be judged");
    }
    let (mut depth, mut links) = (0_usize, 0);
    for p in tokens {
        match p.kind {
            Kind::Mark if p.text == "(" || p.text == "[" => depth += 1,
            Kind::Mark if p.text == ")" || p.text == "]" => depth = depth.saturating_sub(1),
            Kind::Operator => links += 1,
            Kind::Mark if p.text == "::" => links += 1,
            Kind::Word
                if matches!(
                    &*p.text,
                    "and" | "or" | "not" | "union" | "intersect" | "except" | "case" | "join"
                ) =>
            {
                links += 1;
            }
            _ => {}
        }
        if depth > MAX_DEPTH {
            return Some("it is nested too deep to be judged");
        }
    }
    (links > MAX_LINKS).then_some("it links too much to be judged")
}
