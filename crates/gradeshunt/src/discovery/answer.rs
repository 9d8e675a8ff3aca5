//! Parses discovery's HTTP responses, which may be split anywhere. No I/O, no clock.

use crate::ring::Ring;

/// Longest line or list accepted: some 10,000 db hosts. Together with what is parsed from it, it takes only
/// part of the 48 MB that the process may use.
const MAX_BODY: usize = 2 * 1024 * 1024;
/// The part of the response that is parsed next.
enum Expected {
    Head,
    /// The size line of a chunk.
    ChunkSize,
    /// A chunk of which this many bytes are missing.
    Chunk(usize),
    /// The line end after a chunk.
    ChunkEnd,
    /// A body with Content-Length of which this many bytes are missing.
    Plain(usize),
    /// A body that ends with the connection.
    UntilEnd,
    Done,
}

/// The response to a call, as far as it was received.
pub struct AnswerParser {
    is_watch: bool,
    expected: Expected,
    /// The part of the body that is not consumed yet: an incomplete line of a watch, or a whole list.
    body: Vec<u8>,
    /// How much of the body has been searched for the end of a list, and the state of that search.
    searched: usize,
    scanner: ListScanner,
}

/// Finds the end of each list in a watch. A list is one line, or is indented over many lines: a line end
/// within an object does not end the list. A list that was cut off is recognized by what follows it: an empty
/// line, or another object that starts in the first column.
#[derive(Clone, Copy, Debug, Default)]
struct ListScanner {
    depth: usize,
    in_string: bool,
    escaped: bool,
    /// The next byte is the first of its line.
    at_line_start: bool,
}

impl ListScanner {
    /// Takes a byte; returns true if it ends a line outside any object.
    fn take(&mut self, byte: u8) -> Result<bool, String> {
        let at_line_start = std::mem::replace(&mut self.at_line_start, byte == b'\n');
        if self.depth > 0 && at_line_start && matches!(byte, b'\n' | b'{') {
            return Err("a list that is cut off".into());
        }
        if self.in_string {
            (self.in_string, self.escaped) = match byte {
                // A string can't contain a line end, so this list was cut off.
                b'\n' => return Err("a list that is cut off".into()),
                _ if self.escaped => (true, false),
                b'\\' => (true, true),
                b'"' => (false, false),
                _ => (true, false),
            };
            return Ok(false);
        }
        match byte {
            b'"' => self.in_string = true,
            b'{' | b'[' => self.depth += 1,
            b'}' | b']' => self.depth = self.depth.saturating_sub(1),
            b'\n' => return Ok(self.depth == 0),
            _ => {}
        }
        Ok(false)
    }
}

/// What the latest bytes have completed.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Completed {
    /// Whether the head or a line is complete. Bytes alone don't count: a server that drips an endless line
    /// does not keep a watch alive.
    pub has_any: bool,
    /// Complete lists of a watch, or empty lines.
    pub lists: Vec<Vec<u8>>,
}

impl AnswerParser {
    /// Creates the parser for the response to a watch, or to a fetch of the whole list.
    pub fn new(is_watch: bool) -> Self {
        AnswerParser {
            is_watch,
            expected: Expected::Head,
            body: Vec::new(),
            searched: 0,
            scanner: ListScanner::default(),
        }
    }

    /// Returns whether the response is complete, given whether the connection has `ended`.
    pub fn is_done(&self, ended: bool) -> bool {
        matches!(self.expected, Expected::Done) || ended && matches!(self.expected, Expected::UntilEnd)
    }

    /// Takes out the body received so far.
    pub fn body(&mut self) -> Vec<u8> {
        std::mem::take(&mut self.body)
    }

    /// Parses the received bytes.
    pub fn take(&mut self, inbound: &mut Ring) -> Result<Completed, String> {
        let mut completed = Completed::default();
        loop {
            let bytes = inbound.bytes();
            let used = match self.expected {
                Expected::Head => match parse_head(bytes)? {
                    Some((expected, used)) => {
                        self.expected = expected;
                        completed.has_any = true;
                        used
                    }
                    None => break,
                },
                Expected::ChunkSize => match httparse::parse_chunk_size(bytes) {
                    Ok(httparse::Status::Complete((used, 0))) => {
                        self.expected = Expected::Done;
                        used
                    }
                    Ok(httparse::Status::Complete((used, size))) => {
                        self.expected =
                            Expected::Chunk(usize::try_from(size).map_err(|_| "a chunk that is too long")?);
                        used
                    }
                    Ok(httparse::Status::Partial) => break,
                    Err(_) => return Err("invalid chunk size".into()),
                },
                Expected::Chunk(left) | Expected::Plain(left) => {
                    let used = left.min(bytes.len());
                    self.body.extend(&bytes[..used]);
                    let is_chunk = matches!(self.expected, Expected::Chunk(_));
                    self.expected = match (left - used, is_chunk) {
                        (0, true) => Expected::ChunkEnd,
                        (0, false) => Expected::Done,
                        (left, true) => Expected::Chunk(left),
                        (left, false) => Expected::Plain(left),
                    };
                    used
                }
                Expected::ChunkEnd if bytes.starts_with(b"\r\n") => {
                    self.expected = Expected::ChunkSize;
                    2
                }
                Expected::ChunkEnd if bytes.len() >= 2 => return Err("a chunk without a line end".into()),
                Expected::ChunkEnd | Expected::Done => break,
                Expected::UntilEnd => {
                    self.body.extend(bytes);
                    bytes.len()
                }
            };
            if used == 0 && inbound.is_empty() {
                break;
            }
            inbound.consume(used);
        }
        // No valid head or chunk size is long enough to fill the ring.
        if inbound.is_full() {
            return Err("a response head that is too long".into());
        }
        if self.body.len() > MAX_BODY {
            return Err("a list that is too long".into());
        }
        if self.is_watch {
            let mut from = 0;
            for at in self.searched..self.body.len() {
                if self.scanner.take(self.body[at])? {
                    completed.lists.push(self.body[from..=at].to_vec());
                    (completed.has_any, from) = (true, at + 1);
                }
            }
            self.body.drain(..from);
            self.searched = self.body.len();
        }
        Ok(completed)
    }
}

/// Parses the head of a response. Returns how its body is delimited, and the length of the head.
fn parse_head(bytes: &[u8]) -> Result<Option<(Expected, usize)>, String> {
    let mut headers = [httparse::EMPTY_HEADER; 32];
    let mut response = httparse::Response::new(&mut headers);
    let used = match response.parse(bytes).map_err(|e| format!("invalid HTTP response: {e}"))? {
        httparse::Status::Partial => return Ok(None),
        httparse::Status::Complete(used) => used,
    };
    if response.code != Some(200) {
        return Err(format!("status {}", response.code.unwrap_or(0)));
    }
    let header = |name: &str| {
        let found = response.headers.iter().find(|h| h.name.eq_ignore_ascii_case(name));
        found.and_then(|h| std::str::from_utf8(h.value).ok()).map(str::trim)
    };
    if header("transfer-encoding").is_some_and(|v| v.eq_ignore_ascii_case("chunked")) {
        return Ok(Some((Expected::ChunkSize, used)));
    }
    let expected = match header("content-length").map(str::parse) {
        Some(Ok(0)) => Expected::Done,
        Some(Ok(length)) => Expected::Plain(length),
        Some(Err(_)) => return Err("invalid Content-Length".into()),
        None => Expected::UntilEnd,
    };
    Ok(Some((expected, used)))
}

#[cfg(test)]
mod tests;
