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
    /// So much of the body holds no line end.
    searched: usize,
}

/// What has become whole.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Whole {
    /// The head, or lines. Bytes alone don't count: what drips an endless line is no watch.
    pub any: bool,
    /// Lines of a watch, with their ends.
    pub lines: Vec<u8>,
}

impl Answer {
    /// The answer to a watch, or to a call for the whole list.
    pub fn new(watch: bool) -> Self {
        Answer { watch, part: Part::Head, body: Vec::new(), searched: 0 }
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
        let end = self.body[self.searched..].iter().rposition(|b| *b == b'\n');
        if let (true, Some(end)) = (self.watch, end) {
            let rest = self.body.split_off(self.searched + end + 1);
            whole = Whole { any: true, lines: std::mem::replace(&mut self.body, rest) };
        }
        self.searched = self.body.len();
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
mod tests {
    use super::*;

    /// Feeds so many pieces; tells after how many the answer was given up, if it was, and in how many something was whole.
    fn feed(answer: &mut Answer, pieces: impl IntoIterator<Item = Vec<u8>>) -> (Option<usize>, usize) {
        let (mut ring, mut whole) = (Ring::default(), 0);
        for (n, piece) in pieces.into_iter().enumerate() {
            // As a socket is read: no more than fits.
            assert!(ring.push(&piece[..piece.len().min(crate::ring::LARGEST - ring.len())]));
            match answer.take(&mut ring) {
                Ok(w) => whole += usize::from(w.any),
                Err(_) => return (Some(n), whole),
            }
        }
        (None, whole)
    }

    fn chunk(bytes: &[u8]) -> Vec<u8> {
        [format!("{:x}\r\n", bytes.len()).as_bytes(), bytes, b"\r\n"].concat()
    }

    const HEAD: &[u8] = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

    /// Guards against a watch that is kept by bytes that tell nothing: discovery would be deaf to drains meanwhile.
    #[test]
    fn endless_line_shows_no_life_and_ends_by_its_size() {
        let mut answer = Answer::new(true);
        assert_eq!(feed(&mut answer, [HEAD.to_vec()]), (None, 1));
        assert_eq!(feed(&mut answer, [chunk(b"{\"generation\":1,\n"), chunk(b"\n")]), (None, 2), "lines do");
        assert_eq!(feed(&mut answer, vec![chunk(b"x"); 1000]), (None, 0), "a drip does not");
        let (given_up, whole) = feed(&mut answer, vec![chunk(&[b'x'; 100_000]); 30]);
        assert_eq!((given_up, whole), (Some(20), 0), "2 MiB of one line");
    }

    /// Guards against heads, chunk sizes and bodies that never end.
    #[test]
    fn endless_heads_and_bodies_end_by_their_size() {
        let endless = |first: &[u8], piece: &[u8]| {
            let mut answer = Answer::new(false);
            let rest = vec![piece.to_vec(); 3 * 1024 * 1024 / piece.len()];
            feed(&mut answer, [first.to_vec()].into_iter().chain(rest)).0.is_some()
        };
        assert!(endless(b"HTTP/1.1 200 OK\r\n", &[b"X: ".as_slice(), &[b'x'; 1018], b"\r\n"].concat()));
        assert!(endless(b"HTTP/1.1 200 OK\r\nX: ", &[b'x'; 1024]));
        assert!(endless(b"HTTP/1.1 200 OK\r\n\r\n", &[b'x'; 1024]));
        assert!(endless(HEAD, &[b'0'; 1024]));
    }
}
