//! Reads discovery's HTTP answers, in pieces that may be split anywhere. No I/O, no clock.

use crate::ring::Ring;

/// Longest line or list taken: some 10,000 db hosts. With what is made of it that is a part of the 48 MB that the
/// process may have.
const LONGEST: usize = 2 * 1024 * 1024;
/// Where a call's answer stands.
enum Part {
    Head,
    /// Before a chunk's size line.
    ChunkSize,
    /// So much of a chunk is to come.
    Chunk(usize),
    /// The line end behind a chunk.
    ChunkEnd,
    /// So much of a plain body is to come.
    Plain(usize),
    /// A body that ends with the connection.
    UntilEnd,
    Done,
}

/// What a call has been answered so far.
pub struct Answer {
    watch: bool,
    part: Part,
    /// What has come of the body and is not used yet: a line of a watch, or a whole list.
    body: Vec<u8>,
    /// So much of the body has been looked through for the end of a list, and what was found there.
    searched: usize,
    scan: Scan,
}

/// Where the lists of a watch end. One is a line each, or comes indented over many: a line end amid an object is none of
/// the watch's. An object that is cut shows by what follows it: a line that is empty, or begins another at its margin.
#[derive(Clone, Copy, Debug, Default)]
struct Scan {
    depth: usize,
    string: bool,
    escaped: bool,
    /// Nothing has come of the line yet.
    margin: bool,
}

impl Scan {
    /// Takes a byte; true where it ends a line that is no part of an object.
    fn take(&mut self, byte: u8) -> Result<bool, String> {
        let margin = std::mem::replace(&mut self.margin, byte == b'\n');
        if self.depth > 0 && margin && matches!(byte, b'\n' | b'{') {
            return Err("a list that is cut".into());
        }
        if self.string {
            (self.string, self.escaped) = match byte {
                // No string runs over a line end: this one was cut.
                b'\n' => return Err("a list that is cut".into()),
                _ if self.escaped => (true, false),
                b'\\' => (true, true),
                b'"' => (false, false),
                _ => (true, false),
            };
            return Ok(false);
        }
        match byte {
            b'"' => self.string = true,
            b'{' | b'[' => self.depth += 1,
            b'}' | b']' => self.depth = self.depth.saturating_sub(1),
            b'\n' => return Ok(self.depth == 0),
            _ => {}
        }
        Ok(false)
    }
}

/// What has become whole.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Whole {
    /// The head, or lines. Bytes alone don't count: what drips an endless line is no watch.
    pub any: bool,
    /// Lists of a watch, or empty lines of it.
    pub lists: Vec<Vec<u8>>,
}

impl Answer {
    /// The answer to a watch, or to a call for the whole list.
    pub fn new(watch: bool) -> Self {
        Answer { watch, part: Part::Head, body: Vec::new(), searched: 0, scan: Scan::default() }
    }

    /// Whether nothing more is to come, where the connection has ended or not.
    pub fn is_done(&self, ended: bool) -> bool {
        matches!(self.part, Part::Done) || ended && matches!(self.part, Part::UntilEnd)
    }

    /// What has come of the body.
    pub fn body(&mut self) -> Vec<u8> {
        std::mem::take(&mut self.body)
    }

    /// Takes what has come.
    pub fn take(&mut self, inbound: &mut Ring) -> Result<Whole, String> {
        let mut whole = Whole::default();
        loop {
            let bytes = inbound.bytes();
            let used = match self.part {
                Part::Head => match head(bytes)? {
                    Some((part, used)) => {
                        self.part = part;
                        whole.any = true;
                        used
                    }
                    None => break,
                },
                Part::ChunkSize => match httparse::parse_chunk_size(bytes) {
                    Ok(httparse::Status::Complete((used, 0))) => {
                        self.part = Part::Done;
                        used
                    }
                    Ok(httparse::Status::Complete((used, size))) => {
                        self.part = Part::Chunk(usize::try_from(size).map_err(|_| "a chunk too long")?);
                        used
                    }
                    Ok(httparse::Status::Partial) => break,
                    Err(_) => return Err("invalid chunk size".into()),
                },
                Part::Chunk(left) | Part::Plain(left) => {
                    let used = left.min(bytes.len());
                    self.body.extend(&bytes[..used]);
                    let chunk = matches!(self.part, Part::Chunk(_));
                    self.part = match (left - used, chunk) {
                        (0, true) => Part::ChunkEnd,
                        (0, false) => Part::Done,
                        (left, true) => Part::Chunk(left),
                        (left, false) => Part::Plain(left),
                    };
                    used
                }
                Part::ChunkEnd if bytes.starts_with(b"\r\n") => {
                    self.part = Part::ChunkSize;
                    2
                }
                Part::ChunkEnd if bytes.len() >= 2 => return Err("a chunk without its line end".into()),
                Part::ChunkEnd | Part::Done => break,
                Part::UntilEnd => {
                    self.body.extend(bytes);
                    bytes.len()
                }
            };
            if used == 0 && inbound.is_empty() {
                break;
            }
            inbound.consume(used);
        }
        // A head or a chunk's size that fills the ring is none.
        if inbound.is_full() {
            return Err("a head too long".into());
        }
        if self.body.len() > LONGEST {
            return Err("a list too long".into());
        }
        if self.watch {
            let mut from = 0;
            for at in self.searched..self.body.len() {
                if self.scan.take(self.body[at])? {
                    whole.lists.push(self.body[from..=at].to_vec());
                    (whole.any, from) = (true, at + 1);
                }
            }
            self.body.drain(..from);
            self.searched = self.body.len();
        }
        Ok(whole)
    }
}

/// Reads the head of an answer: how its body comes, and the head's length.
fn head(bytes: &[u8]) -> Result<Option<(Part, usize)>, String> {
    let mut headers = [httparse::EMPTY_HEADER; 32];
    let mut response = httparse::Response::new(&mut headers);
    let used = match response.parse(bytes).map_err(|e| format!("invalid HTTP answer: {e}"))? {
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
        return Ok(Some((Part::ChunkSize, used)));
    }
    let part = match header("content-length").map(str::parse) {
        Some(Ok(0)) => Part::Done,
        Some(Ok(length)) => Part::Plain(length),
        Some(Err(_)) => return Err("invalid Content-Length".into()),
        None => Part::UntilEnd,
    };
    Ok(Some((part, used)))
}

#[cfg(test)]
mod tests;
