//! Shapes: a statement without the values of its literals, without comments, case and space, and with its lists of
//! literals folded. Statements of one shape differ in nothing that a verdict may rest on.

use std::hash::Hasher as _;

use siphasher::sip128::{Hasher128, SipHasher13};

use crate::lexer::{Kind, Lexer, Token, Unlexable};

/// A shape, as 128 bits that are keyed: nobody outside can aim at a collision.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Shape(pub u128);

impl std::fmt::Display for Shape {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

impl std::fmt::Debug for Shape {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        write!(f, "Shape({self})")
    }
}

/// The key of the hash.
#[derive(Clone, Copy, Debug)]
pub struct Key(pub u64, pub u64);

/// Receives the tokens of a shape, in order.
pub(crate) trait Sink {
    fn token(&mut self, token: &Token);
}

/// The shape of a statement.
///
/// # Errors
/// Where the statement can't be lexed.
pub fn shape(key: Key, statement: &[u8]) -> Result<Shape, Unlexable> {
    let mut hash = Hash::new(key);
    emit_tokens(statement, &mut hash)?;
    Ok(hash.finish())
}

/// Hashes tokens, many at a time: a call of the hash for each would cost more than the hash.
struct Hash {
    hash: SipHasher13,
    buffer: [u8; BUFFER],
    held: usize,
}

const BUFFER: usize = 512;

impl Hash {
    fn new(key: Key) -> Self {
        Hash { hash: SipHasher13::new_with_keys(key.0, key.1), buffer: [0; BUFFER], held: 0 }
    }

    fn flush(&mut self) {
        self.hash.write(&self.buffer[..self.held]);
        self.held = 0;
    }

    fn finish(mut self) -> Shape {
        self.flush();
        Shape(self.hash.finish128().as_u128())
    }

    /// Room for so many bytes, at most [`BUFFER`].
    fn room(&mut self, bytes: usize) -> &mut [u8] {
        if self.held + bytes > BUFFER {
            self.flush();
        }
        let from = self.held;
        self.held += bytes;
        &mut self.buffer[from..self.held]
    }
}

impl Sink for Hash {
    #[inline]
    fn token(&mut self, token: &Token) {
        if !matches!(token.kind, Kind::Number | Kind::Text | Kind::Bits | Kind::Parameter | Kind::Doubtful) {
            for part in token.text.chunks(BUFFER) {
                let room = self.room(part.len());
                if token.kind == Kind::Word {
                    room.iter_mut().zip(part).for_each(|(to, from)| *to = from.to_ascii_lowercase());
                } else {
                    room.copy_from_slice(part);
                }
            }
        }
        // No byte of UTF-8 is as high as these, so a kind can't be mistaken for text.
        self.room(1)[0] = 0xf5 + token.kind as u8;
    }
}

/// One token of a canonical statement.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct CanonicalToken {
    pub kind: Kind,
    /// In lower case where case means nothing; empty for literals.
    pub text: String,
}

impl CanonicalToken {
    pub fn is(&self, mark: &str) -> bool {
        self.kind == Kind::Mark && self.text == mark
    }

    pub fn is_word(&self, word: &str) -> bool {
        self.kind == Kind::Word && self.text == word
    }

    /// Whether it is an identifier or a key word, quoted or not.
    pub fn is_name(&self) -> bool {
        matches!(self.kind, Kind::Word | Kind::Quoted)
    }
}

/// The tokens of a statement's shape, written out.
pub(crate) fn canonical_tokens(statement: &[u8]) -> Result<Vec<CanonicalToken>, Unlexable> {
    let mut tokens = CanonicalTokens(Vec::new());
    emit_tokens(statement, &mut tokens)?;
    Ok(tokens.0)
}

struct CanonicalTokens(Vec<CanonicalToken>);

impl Sink for CanonicalTokens {
    fn token(&mut self, token: &Token) {
        let text = String::from_utf8_lossy(token.text);
        let text = match token.kind {
            Kind::Number | Kind::Text | Kind::Bits | Kind::Parameter | Kind::Doubtful => String::new(),
            Kind::Word => text.to_ascii_lowercase(),
            _ => text.into_owned(),
        };
        self.0.push(CanonicalToken { kind: token.kind, text });
    }
}

/// The canonical text: the same for all statements of a shape, with a stand-in for each literal.
pub(crate) fn canonical(tokens: &[CanonicalToken]) -> String {
    let mut text = String::new();
    let mut before: Option<&CanonicalToken> = None;
    for token in tokens {
        // A name of several parts is written together; a number would take the dot for its own.
        let joins = |p: &CanonicalToken| p.is(".") || matches!(p.kind, Kind::Word | Kind::Quoted);
        let joined = before.is_none_or(|b| joins(b) && joins(token) && (b.is(".") != token.is(".")));
        if !joined {
            text.push(' ');
        }
        before = Some(token);
        match token.kind {
            Kind::Number => text.push('1'),
            Kind::Text | Kind::Doubtful => text.push_str("'x'"),
            Kind::Bits => text.push_str("B'1'"),
            Kind::Parameter => text.push_str("$1"),
            Kind::Quoted => text.extend(["\"", &token.text, "\""]),
            Kind::Word | Kind::Operator | Kind::Mark => text.push_str(&token.text),
        }
    }
    text
}

/// Where a fold stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fold {
    None,
    /// A word that a list may follow has come; for VALUES, whole rows fold too.
    Word {
        rows: bool,
    },
    /// In a list; nothing or a comma has come since the last literal, or a sign.
    List {
        rows: bool,
        held: Held,
    },
    /// Behind a whole row of literals.
    Row {
        held: Held,
    },
    /// In a further row, of which nothing has been emitted so far.
    Further {
        any: bool,
        held: Held,
    },
}

/// What has come and is not emitted yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Held {
    Nothing,
    /// At the start of a list: a literal may follow.
    Open,
    Comma,
    /// A sign behind a comma, or at the start.
    Sign {
        comma: bool,
        plus: bool,
    },
}

const COMMA: Token = Token { kind: Kind::Mark, text: b"," };
const OPEN: Token = Token { kind: Kind::Mark, text: b"(" };

impl Held {
    fn release(self, sink: &mut impl Sink) {
        match self {
            Held::Nothing | Held::Open => {}
            Held::Comma => sink.token(&COMMA),
            Held::Sign { comma, plus } => {
                if comma {
                    sink.token(&COMMA);
                }
                sink.token(&Token { kind: Kind::Operator, text: if plus { b"+" } else { b"-" } });
            }
        }
    }

    /// Whether a literal fits here; `Some(true)` where it is the first one.
    fn takes(self, token: &Token) -> Option<bool> {
        match self {
            _ if !token.is_constant() => None,
            Held::Sign { .. } if token.kind != Kind::Number => None,
            Held::Open | Held::Sign { comma: false, .. } => Some(true),
            Held::Comma | Held::Sign { comma: true, .. } => Some(false),
            Held::Nothing => None,
        }
    }

    /// What is held once a comma or a sign has come, where one fits.
    fn and(self, token: &Token) -> Option<Held> {
        let plus = token.text == b"+";
        match self {
            Held::Nothing if token.is_sign(b',') => Some(Held::Comma),
            Held::Open | Held::Comma if token.kind == Kind::Operator && (plus || token.text == b"-") => {
                Some(Held::Sign { comma: self == Held::Comma, plus })
            }
            _ => None,
        }
    }
}

/// Emits a statement's tokens to a sink, with lists of literals folded into their first one.
fn emit_tokens(statement: &[u8], sink: &mut impl Sink) -> Result<(), Unlexable> {
    let mut lexer = Lexer::new(statement);
    let mut fold = Fold::None;
    while let Some(token) = lexer.next()? {
        fold = step(fold, &token, sink);
    }
    match fold {
        Fold::List { held, .. } | Fold::Row { held } => held.release(sink),
        Fold::Further { any, held } => further(any, held, sink),
        Fold::None | Fold::Word { .. } => {}
    }
    Ok(())
}

/// Emits what was held of a further row that turns out to hold more than literals.
fn further(any: bool, held: Held, sink: &mut impl Sink) {
    sink.token(&COMMA);
    sink.token(&OPEN);
    if any {
        sink.token(&Token { kind: Kind::Number, text: b"1" });
    }
    held.release(sink);
}

fn step(fold: Fold, token: &Token, sink: &mut impl Sink) -> Fold {
    match fold {
        Fold::Word { rows } if token.is_sign(b'(') || (!rows && token.is_sign(b'[')) => {
            sink.token(token);
            return Fold::List { rows, held: Held::Open };
        }
        Fold::List { rows, held } => {
            if let Some(first) = held.takes(token) {
                if first {
                    sink.token(&Token { kind: Kind::Number, text: b"1" });
                }
                return Fold::List { rows, held: Held::Nothing };
            }
            if let Some(held) = held.and(token) {
                return Fold::List { rows, held };
            }
            held.release(sink);
            if rows && held == Held::Nothing && token.is_sign(b')') {
                sink.token(token);
                return Fold::Row { held: Held::Nothing };
            }
        }
        Fold::Row { held: Held::Nothing } if token.is_sign(b',') => return Fold::Row { held: Held::Comma },
        Fold::Row { held: Held::Comma } if token.is_sign(b'(') => {
            return Fold::Further { any: false, held: Held::Open };
        }
        Fold::Row { held } => held.release(sink),
        Fold::Further { any, held } => {
            if held.takes(token).is_some() {
                return Fold::Further { any: true, held: Held::Nothing };
            }
            if let Some(held) = held.and(token) {
                return Fold::Further { any, held };
            }
            if any && held == Held::Nothing && token.is_sign(b')') {
                return Fold::Row { held: Held::Nothing };
            }
            further(any, held, sink);
        }
        Fold::None | Fold::Word { .. } => {}
    }
    sink.token(token);
    // Most words are none of these, by their first letter.
    if token.kind != Kind::Word || !matches!(token.text[0], b'v' | b'V' | b'i' | b'I' | b'a' | b'A') {
        Fold::None
    } else if token.is_word("values") {
        Fold::Word { rows: true }
    } else if token.is_word("in") || token.is_word("array") {
        Fold::Word { rows: false }
    } else {
        Fold::None
    }
}

#[cfg(test)]
mod tests;
