//! Tests of the response parser.

use super::*;

/// Feeds these pieces. Returns the piece at which the answer was given up, if it was, and for how many pieces
/// something became complete.
fn feed(answer: &mut AnswerParser, pieces: impl IntoIterator<Item = Vec<u8>>) -> (Option<usize>, usize) {
    let (mut ring, mut whole) = (Ring::default(), 0);
    for (n, piece) in pieces.into_iter().enumerate() {
        // Like a read from a socket: no more than fits.
        assert!(ring.push(&piece[..piece.len().min(crate::ring::MAX_RING_SIZE - ring.len())]));
        match answer.take(&mut ring) {
            Ok(w) => whole += usize::from(w.has_any),
            Err(_) => return (Some(n), whole),
        }
    }
    (None, whole)
}

fn chunk(bytes: &[u8]) -> Vec<u8> {
    [format!("{:x}\r\n", bytes.len()).as_bytes(), bytes, b"\r\n"].concat()
}

const HEAD: &[u8] = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

/// Guards against a watch that is kept alive by bytes that complete nothing: the proxy would miss drains
/// meanwhile.
#[test]
fn endless_line_does_not_keep_a_watch_alive_and_is_bounded() {
    let mut answer = AnswerParser::new(true);
    assert_eq!(feed(&mut answer, [HEAD.to_vec()]), (None, 1));
    assert_eq!(
        feed(&mut answer, [chunk(b"{\"generation\":1}\n"), chunk(b"\n")]),
        (None, 2),
        "complete lines count"
    );
    assert_eq!(feed(&mut answer, vec![chunk(b"x"); 1000]), (None, 0), "single bytes of a line don't");
    let (given_up, whole) = feed(&mut answer, vec![chunk(&[b'x'; 100_000]); 30]);
    assert_eq!((given_up, whole), (Some(20), 0), "2 MiB of one line");
}

/// Guards against heads, chunk sizes and bodies that never end.
#[test]
fn endless_heads_and_bodies_are_bounded() {
    let endless = |first: &[u8], piece: &[u8]| {
        let mut answer = AnswerParser::new(false);
        let rest = vec![piece.to_vec(); 3 * 1024 * 1024 / piece.len()];
        feed(&mut answer, [first.to_vec()].into_iter().chain(rest)).0.is_some()
    };
    assert!(endless(b"HTTP/1.1 200 OK\r\n", &[b"X: ".as_slice(), &[b'x'; 1018], b"\r\n"].concat()));
    assert!(endless(b"HTTP/1.1 200 OK\r\nX: ", &[b'x'; 1024]));
    assert!(endless(b"HTTP/1.1 200 OK\r\n\r\n", &[b'x'; 1024]));
    assert!(endless(HEAD, &[b'0'; 1024]));
}

/// Guards indented lists: braces determine where such a list ends, not line ends. A list that is cut off is
/// recognized at once by what follows it: a watch that waited for the rest would deliver nothing until it
/// counts as silent.
#[test]
fn indented_list_is_accepted_and_a_truncated_one_rejected() {
    let lists = |pieces: &[&[u8]]| {
        let (mut answer, mut ring, mut lists) = (AnswerParser::new(true), Ring::default(), Vec::new());
        for piece in [HEAD.to_vec()].into_iter().chain(pieces.iter().map(|p| chunk(p))) {
            assert!(ring.push(&piece));
            match answer.take(&mut ring) {
                Ok(w) => lists.extend(w.lists.into_iter().map(|l| String::from_utf8(l).expect("text"))),
                Err(_) => return Err(lists.len()),
            }
        }
        Ok(lists)
    };
    let indented =
        "{\n  \"note\": \"a } and a \\\" {\",\n  \"instances\": [\n    {\n      \"cell\": 1\n    }\n  ]\n}\n";
    assert_eq!(lists(&[indented.as_bytes()]), Ok(vec![indented.to_owned()]));
    let (one, two) = indented.as_bytes().split_at(40);
    assert_eq!(
        lists(&[one, two, b"\n", b"{}\n{}\n"]).map(|l| l.len()),
        Ok(4),
        "split anywhere, with other lists after it"
    );
    assert_eq!(
        lists(&[b"{}\n", b"{\"instances\":[", b"\n", b"\n"]),
        Err(1),
        "an empty line after half of a list"
    );
    assert_eq!(lists(&[b"{}\n", b"{\"instances\":[\n", b"{}\n"]), Err(1), "another list in the first column");
    assert_eq!(lists(&[b"{}\n", b"{\"instances\":[{\"instanceId\":\"s-\n"]), Err(1), "cut off within a name");
}
