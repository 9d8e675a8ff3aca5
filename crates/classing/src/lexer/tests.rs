//! Tests of the part named by the folder.

use super::*;

fn lex(statement: &str) -> Result<Vec<(Kind, String)>, &'static str> {
    let mut lexer = Lexer::new(statement.as_bytes());
    let mut tokens = Vec::new();
    while let Some(t) = lexer.next().map_err(|e| e.what)? {
        tokens.push((t.kind, String::from_utf8_lossy(t.text).into_owned()));
    }
    Ok(tokens)
}

fn kinds(statement: &str) -> Vec<Kind> {
    lex(statement).map(|t| t.into_iter().map(|t| t.0).collect()).unwrap_or_default()
}

/// Guards what hides statements: comments that nest, and all the ways to write a string.
#[test]
fn strings_and_comments_hide_nothing() {
    use Kind::*;
    assert_eq!(kinds("a /* x /* y */ z */ b -- c\n d"), [Word, Word, Word]);
    assert_eq!(lex("a /* x /* y */ b"), Err("a comment without an end"));
    assert_eq!(
        kinds("'a''b' E'a\\'b' U&'a' n'a' B'01' x'1f' $$a$$ $x$ $$ $y$ $x$"),
        [Text, Text, Text, Text, Bits, Bits, Text, Text]
    );
    assert_eq!(kinds("'a'  \n 'b' c"), [Text, Word], "one string in two parts");
    assert_eq!(kinds("'a' 'b'"), [Text, Text]);
    assert_eq!(kinds("'a\\' 'b'"), [Doubtful, Text]);
    assert_eq!(kinds("'a\\b'"), [Text]);
    assert_eq!(lex("'a"), Err("a string without an end"));
    assert_eq!(lex("E'a\\'"), Err("a string without an end"));
    assert_eq!(lex("$a$ b $b$"), Err("a dollar-quoted string without an end"));
    assert_eq!(lex("\"\""), Err("a quoted identifier of no length"));
    assert_eq!(lex("u&\"d\\0061ta\""), Err("an escaped identifier"));
    assert_eq!(lex("U&\"data\" \"a\"\"b\"").map(|t| t[1].1.clone()), Ok("a\"\"b".to_owned()));
    assert_eq!(kinds("a$b$c"), [Word], "dollars may stand in names");
}

#[test]
fn numbers_operators_and_marks() {
    use Kind::*;
    assert_eq!(
        kinds("1 1.5 .5 1e10 1.e-3 0xff 1_000 $1 1..2"),
        [Number, Number, Number, Number, Number, Number, Number, Parameter, Number, Mark, Number]
    );
    assert_eq!(lex("1a"), Err("letters right behind a number"));
    let ops = |s: &str| lex(s).map(|t| t.into_iter().map(|t| t.1).collect::<Vec<_>>()).unwrap_or_default();
    assert_eq!(ops("a=-1"), ["a", "=", "-", "1"]);
    assert_eq!(ops("a@-1"), ["a", "@-", "1"]);
    assert_eq!(ops("a<=b::c->>'d'"), ["a", "<=", "b", "::", "c", "->>", "'d'"]);
    assert_eq!(ops("a+-+-+1"), ["a", "+", "-", "+", "-", "+", "1"]);
    assert_eq!(ops("a<+-+1 -2"), ["a", "<", "+", "-", "+", "1", "-", "2"]);
    assert_eq!(ops("a+--b\nc"), ["a", "+", "c"]);
    assert_eq!(ops("a*/*b*/c"), ["a", "*", "c"]);
    assert_eq!(lex("a \0 b"), Err("no token begins with this byte"));
    assert_eq!(lex("a \\ b"), Err("no token begins with this byte"));
}
