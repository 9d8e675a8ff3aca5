//! Tokens of a statement, by PostgreSQL's rules ("SQL Syntax", "Lexical Structure", PostgreSQL 16).
//!
//! One pass, no allocation: each byte is looked at a bounded number of times.

use std::fmt;

/// What a token is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// An identifier or key word as it stands there, without quotes.
    Word,
    /// An identifier in double quotes, without them; a doubled quote inside stays doubled.
    Quoted,
    /// A number.
    Number,
    /// A string constant of any notation.
    Text,
    /// A string constant whose end depends on a setting of the server: a backslash stands before a quote in it, and
    /// means something where `standard_conforming_strings` is off.
    Doubtful,
    /// A bit string, `B''` or `X''`.
    Bits,
    /// A parameter, `$1`.
    Parameter,
    /// An operator.
    Operator,
    /// One of `( ) [ ] , ; . : :: := ..`.
    Mark,
}

/// A token and its text: of a constant all of it, of a quoted identifier what is between the quotes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Token<'a> {
    /// What it is.
    pub kind: Kind,
    /// How it stands in the statement.
    pub text: &'a [u8],
}

impl Token<'_> {
    /// Whether it is a constant or a parameter.
    pub fn is_constant(&self) -> bool {
        matches!(self.kind, Kind::Number | Kind::Text | Kind::Bits | Kind::Parameter)
    }

    /// Whether it is this mark.
    pub fn is_mark(&self, mark: &str) -> bool {
        self.kind == Kind::Mark && self.text == mark.as_bytes()
    }

    /// Whether it is this mark of one character.
    #[inline]
    pub fn is_sign(&self, sign: u8) -> bool {
        self.kind == Kind::Mark && self.text == [sign]
    }

    /// Whether it is this word, in whatever case.
    pub fn is_word(&self, word: &str) -> bool {
        self.kind == Kind::Word && self.text.eq_ignore_ascii_case(word.as_bytes())
    }
}

/// Why a statement has no tokens from some byte on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Unlexable {
    /// Where, in bytes from the start.
    pub at: usize,
    /// What is wrong there.
    pub what: &'static str,
}

impl fmt::Display for Unlexable {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "{} at byte {}", self.what, self.at)
    }
}

impl std::error::Error for Unlexable {}

/// Reads a statement's tokens, one after the other.
#[derive(Clone, Debug)]
pub struct Lexer<'a> {
    bytes: &'a [u8],
    at: usize,
    /// Up to here, behind an operator, stand signs alone: each of them is an operator.
    signs: usize,
}

impl<'a> Lexer<'a> {
    /// Begins at the start of a statement.
    pub fn new(statement: &'a [u8]) -> Self {
        Lexer { bytes: statement, at: 0, signs: 0 }
    }

    #[inline(always)]
    fn peek(&self, ahead: usize) -> u8 {
        // Zero is no byte of a statement: PostgreSQL's strings end there.
        self.bytes.get(self.at + ahead).copied().unwrap_or(0)
    }

    fn error<T>(&self, what: &'static str) -> Result<T, Unlexable> {
        Err(Unlexable { at: self.at, what })
    }

    /// The next token; `None` behind the last.
    ///
    /// # Errors
    /// Where no token begins here that PostgreSQL knows, or one has no end.
    #[allow(clippy::should_implement_trait)]
    #[inline]
    pub fn next(&mut self) -> Result<Option<Token<'a>>, Unlexable> {
        self.skip()?;
        if self.at >= self.bytes.len() {
            return Ok(None);
        }
        let start = self.at;
        let kind = match self.peek(0) {
            b'\'' => self.plain_string()?,
            b'e' | b'E' if self.peek(1) == b'\'' => {
                self.at += 1;
                self.escaped_string()?
            }
            b'b' | b'B' | b'x' | b'X' if self.peek(1) == b'\'' => {
                self.at += 1;
                self.plain_string()?;
                Kind::Bits
            }
            b'n' | b'N' if self.peek(1) == b'\'' => {
                self.at += 1;
                self.plain_string()?
            }
            b'u' | b'U' if self.peek(1) == b'&' && self.peek(2) == b'\'' => {
                self.at += 2;
                self.plain_string()?
            }
            b'u' | b'U' if self.peek(1) == b'&' && self.peek(2) == b'"' => {
                self.at += 2;
                let token = self.quoted()?;
                // What it spells depends on an escape character that may follow it.
                return if token.text.contains(&b'\\') || self.uescape_follows()? {
                    self.error("an escaped identifier")
                } else {
                    Ok(Some(token))
                };
            }
            b'"' => return self.quoted().map(Some),
            b'$' => self.dollar()?,
            b'0'..=b'9' => self.number()?,
            b'.' if self.peek(1).is_ascii_digit() => self.number()?,
            b'a'..=b'z' | b'A'..=b'Z' | b'_' | 0x80.. => {
                let rest = &self.bytes[self.at..];
                self.at += rest.iter().position(|b| !NAME[*b as usize]).unwrap_or(rest.len());
                Kind::Word
            }
            b'(' | b')' | b'[' | b']' | b',' | b';' => {
                self.at += 1;
                Kind::Mark
            }
            b':' => {
                self.at += if matches!(self.peek(1), b':' | b'=') { 2 } else { 1 };
                Kind::Mark
            }
            b'.' => {
                self.at += if self.peek(1) == b'.' { 2 } else { 1 };
                Kind::Mark
            }
            c if is_operator(c) => {
                self.operator();
                Kind::Operator
            }
            _ => return self.error("no token begins with this byte"),
        };
        Ok(Some(Token { kind, text: &self.bytes[start..self.at] }))
    }

    /// Whether the next word is UESCAPE, which names the escape character of the identifier before it.
    fn uescape_follows(&self) -> Result<bool, Unlexable> {
        let mut ahead = self.clone();
        ahead.skip()?;
        let word = self.bytes[ahead.at..].get(..UESCAPE.len());
        Ok(word.is_some_and(|word| word.eq_ignore_ascii_case(UESCAPE)))
    }

    /// Passes over space and comments.
    #[inline]
    fn skip(&mut self) -> Result<(), Unlexable> {
        loop {
            match self.peek(0) {
                b' ' => {
                    self.at += 1;
                    continue;
                }
                // Nothing else begins space or a comment.
                c if c > b' ' && c != b'-' && c != b'/' => return Ok(()),
                _ => {}
            }
            match (self.peek(0), self.peek(1)) {
                (b' ' | b'\t' | b'\n' | b'\r' | 0x0b | 0x0c, _) => self.at += 1,
                (b'-', b'-') => {
                    while self.at < self.bytes.len() && !matches!(self.peek(0), b'\n' | b'\r') {
                        self.at += 1;
                    }
                }
                (b'/', b'*') => self.comment()?,
                _ => return Ok(()),
            }
        }
    }

    fn comment(&mut self) -> Result<(), Unlexable> {
        let mut depth = 0_usize;
        loop {
            match (self.peek(0), self.peek(1)) {
                (b'/', b'*') => {
                    (depth, self.at) = (depth + 1, self.at + 2);
                }
                (b'*', b'/') => {
                    (depth, self.at) = (depth - 1, self.at + 2);
                    if depth == 0 {
                        return Ok(());
                    }
                }
                _ if self.at >= self.bytes.len() => return self.error("a comment without an end"),
                _ => self.at += 1,
            }
        }
    }

    /// A string in which only the quote means something, if the server keeps to the standard.
    fn plain_string(&mut self) -> Result<Kind, Unlexable> {
        let mut kind = Kind::Text;
        loop {
            self.at += 1;
            match self.peek(0) {
                b'\'' if self.peek(1) == b'\'' => self.at += 1,
                b'\'' => {
                    self.at += 1;
                    if !self.goes_on() {
                        return Ok(kind);
                    }
                }
                b'\\' if matches!(self.peek(1), b'\'' | b'\\') => kind = Kind::Doubtful,
                _ if self.at >= self.bytes.len() => return self.error("a string without an end"),
                _ => {}
            }
        }
    }

    fn escaped_string(&mut self) -> Result<Kind, Unlexable> {
        loop {
            self.at += 1;
            match self.peek(0) {
                b'\\' => self.at += 1,
                b'\'' if self.peek(1) == b'\'' => self.at += 1,
                b'\'' => {
                    self.at += 1;
                    if !self.goes_on() {
                        return Ok(Kind::Text);
                    }
                }
                _ if self.at >= self.bytes.len() => return self.error("a string without an end"),
                _ => {}
            }
        }
    }

    /// Whether a string goes on in another quoted part: behind space with a line break in it. Stands at that part's
    /// quote then, else where it was. Space that is looked at in vain is looked at once more, by [`Lexer::skip`].
    fn goes_on(&mut self) -> bool {
        let (from, mut line) = (self.at, false);
        while matches!(self.peek(0), b' ' | b'\t' | b'\n' | b'\r' | 0x0b | 0x0c) {
            line |= matches!(self.peek(0), b'\n' | b'\r');
            self.at += 1;
        }
        let more = line && self.peek(0) == b'\'';
        if !more {
            self.at = from;
        }
        more
    }

    fn quoted(&mut self) -> Result<Token<'a>, Unlexable> {
        let start = self.at + 1;
        loop {
            self.at += 1;
            match self.peek(0) {
                b'"' if self.peek(1) == b'"' => self.at += 1,
                b'"' => break,
                _ if self.at >= self.bytes.len() => return self.error("a quoted identifier without an end"),
                _ => {}
            }
        }
        let text = &self.bytes[start..self.at];
        if text.is_empty() {
            return self.error("a quoted identifier of no length");
        }
        self.at += 1;
        Ok(Token { kind: Kind::Quoted, text })
    }

    /// A parameter, or a string in dollar quotes.
    fn dollar(&mut self) -> Result<Kind, Unlexable> {
        if self.peek(1).is_ascii_digit() {
            self.at += 1;
            while self.peek(0).is_ascii_digit() {
                self.at += 1;
            }
            return self.no_junk(Kind::Parameter);
        }
        let start = self.at;
        let rest = &self.bytes[start + 1..];
        let length =
            rest.iter().position(|b| !matches!(b, b'a'..=b'z' | b'A'..=b'Z' | b'0'..=b'9' | b'_' | 0x80..));
        let Some(length) = length.filter(|n| rest[*n] == b'$') else {
            return self.error("a dollar that quotes nothing");
        };
        let tag = &self.bytes[start..start + length + 2];
        let mut at = start + tag.len();
        // The tag has a dollar at its start and at its end and none between, so this is linear.
        while let Some(next) = self.bytes[at..].iter().position(|b| *b == b'$') {
            at += next;
            if self.bytes[at..].starts_with(tag) {
                self.at = at + tag.len();
                return Ok(Kind::Text);
            }
            at += 1;
        }
        self.error("a dollar-quoted string without an end")
    }

    fn number(&mut self) -> Result<Kind, Unlexable> {
        let digits = |lexer: &mut Self, is: fn(u8) -> bool| {
            while is(lexer.peek(0)) || (lexer.peek(0) == b'_' && is(lexer.peek(1))) {
                lexer.at += 1;
            }
        };
        let decimal = |c: u8| c.is_ascii_digit();
        let radix: Option<fn(u8) -> bool> = match (self.peek(0), self.peek(1)) {
            (b'0', b'x' | b'X') => Some(|c| c.is_ascii_hexdigit()),
            (b'0', b'o' | b'O') => Some(|c| matches!(c, b'0'..=b'7')),
            (b'0', b'b' | b'B') => Some(|c| matches!(c, b'0' | b'1')),
            _ => None,
        };
        if let Some(is) = radix {
            self.at += 2;
            digits(self, is);
            return self.no_junk(Kind::Number);
        }
        digits(self, decimal);
        if self.peek(0) == b'.' && self.peek(1) != b'.' {
            self.at += 1;
            digits(self, decimal);
        }
        let sign = usize::from(matches!(self.peek(1), b'+' | b'-'));
        if matches!(self.peek(0), b'e' | b'E') && self.peek(1 + sign).is_ascii_digit() {
            self.at += 1 + sign;
            digits(self, decimal);
        }
        self.no_junk(Kind::Number)
    }

    /// PostgreSQL refuses letters right behind a number.
    fn no_junk(&self, kind: Kind) -> Result<Kind, Unlexable> {
        match self.peek(0) {
            b'a'..=b'z' | b'A'..=b'Z' | b'_' | 0x80.. => self.error("letters right behind a number"),
            _ => Ok(kind),
        }
    }

    fn operator(&mut self) {
        let start = self.at;
        // Looked at once: a long row of signs must not be looked over from each of them anew.
        if start < self.signs {
            self.at += 1;
            return;
        }
        while is_operator(self.peek(0))
            && !matches!((self.peek(0), self.peek(1)), (b'-', b'-') | (b'/', b'*'))
        {
            self.at += 1;
        }
        // One of several characters may end in + or - only if it holds a character that is in no SQL operator.
        let odd = |c: &u8| matches!(c, b'~' | b'!' | b'@' | b'#' | b'%' | b'^' | b'&' | b'|' | b'`' | b'?');
        if !self.bytes[start..self.at].iter().any(odd) {
            self.signs = self.at;
            while self.at > start + 1 && matches!(self.bytes[self.at - 1], b'+' | b'-') {
                self.at -= 1;
            }
        }
    }
}

/// The key word behind an escaped identifier or string that names its escape character.
const UESCAPE: &[u8] = b"uescape";

/// What may stand in a name behind its first byte.
const NAME: [bool; 256] = {
    let mut table = [false; 256];
    let mut c = 0_usize;
    while c < 256 {
        table[c] = matches!(c as u8, b'a'..=b'z' | b'A'..=b'Z' | b'0'..=b'9' | b'_' | b'$' | 0x80..);
        c += 1;
    }
    table
};

fn is_operator(c: u8) -> bool {
    matches!(
        c,
        b'+' | b'-'
            | b'*'
            | b'/'
            | b'<'
            | b'>'
            | b'='
            | b'~'
            | b'!'
            | b'@'
            | b'#'
            | b'%'
            | b'^'
            | b'&'
            | b'|'
            | b'`'
            | b'?'
    )
}

#[cfg(test)]
mod tests;
