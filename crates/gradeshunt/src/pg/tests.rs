//! Tests of the parsing of messages and routing comments.

use super::*;

/// The span of the wait covers exactly the digits of `d`, wherever `d` is in the comment, so that they can be
/// rewritten.
#[test]
fn wait_span_covers_its_digits() {
    let s =
        "/* id=9b,c=own-read,d=480,k=5c,cluster=2,after=17,r=1 */ SELECT data FROM facts WHERE code = 'ab'";
    let c = parse_routing_comment(s).expect("a comment");
    assert_eq!((&s[c.wait_span.clone()], c.wait_ms), ("480", 480));
    assert_eq!((c.class, c.cluster, c.after, c.repeat), ("own-read", 2, Some(17), true));
    assert_eq!(first_literal(s), Some("ab"));
}

/// Statements whose comment lacks a required value are refused and not routed by a guess.
#[test]
fn incomplete_routing_comments_are_refused() {
    for s in [
        "SELECT 1",
        "/* id=1,c=a,d=5 */ x",
        "/* id=1,c=a,cluster=1 */ x",
        "/* id=1,c=a,d=-5,cluster=1 */ x",
        "/* c=a,d=5,cluster=1 */ x",
        "/* c=a",
    ] {
        assert!(parse_routing_comment(s).is_err(), "{s}");
    }
}

/// Truncated or malformed errors are rejected, since clients could not parse them.
#[test]
fn malformed_errors_are_rejected() {
    let whole = b"SERROR\0VERROR\0CXX000\0Mno\0\0";
    assert_eq!(parse_error_code(whole), Ok("XX000"));
    for cut in 0..whole.len() {
        assert!(parse_error_code(&whole[..cut]).is_err(), "cut to {cut}");
    }
    let odd: [&[u8]; 8] = [
        b"SERROR\0CXX000\0Mno\0",
        b"SERROR\0CXX000\0Mno\0\0\0",
        b"SERROR\0\0CXX000\0Mno\0\0",
        b"SERROR\0CXX00\0Mno\0\0",
        b"SERROR\0CXX0\x7f0\0Mno\0\0",
        b"SERROR\0CXX000\0M\xff\0\0",
        b"SERROR\0Mno\0\0",
        b"\0\0",
    ];
    odd.into_iter().for_each(|e| assert!(parse_error_code(e).is_err(), "{}", e.escape_ascii()));
}

/// Length fields are bounded, so that no client or db host can make the proxy buffer or read without limit.
#[test]
fn lengths_are_bounded() {
    assert!(parse_message(&[b'Q', 0, 0, 0, 3], FRONTEND_MESSAGE_TYPES).is_err());
    assert!(parse_message(&[b'Q', 0x7f, 0, 0, 0], FRONTEND_MESSAGE_TYPES).is_err());
    assert!(parse_message(b"!", FRONTEND_MESSAGE_TYPES).is_err());
    assert!(parse_startup(&[0, 0, 0, 7]).is_err());
    assert!(parse_startup(&[1, 0, 0, 0]).is_err());
    assert_eq!(parse_message(&[b'Q', 0, 0, 0], FRONTEND_MESSAGE_TYPES), Ok(None));
    assert!(check_row(&[0, 1, 0, 0, 0, 9, 1]).is_err());
    assert!(check_row(&[0, 2, 0, 0, 0, 1, 7, 0, 0, 0, 1, 7]).is_err());
    let header =
        |length: u32, value: u32| [b"D", &length.to_be_bytes()[..], &[0, 1], &value.to_be_bytes()].concat();
    assert_eq!(long_row_size(&header(100_010, 100_000)), Ok(Some(100_011)));
    assert_eq!(long_row_size(&header(100_010, 100_000)[..10]), Ok(None));
    assert_eq!(long_row_size(&header(1010, 1000)), Ok(None), "a short row is received whole");
    assert!(long_row_size(&header(100_010, 100_001)).is_err());
    assert!(long_row_size(&header(3_000_000_010, 3_000_000_000)).is_err());
    assert!(first_column(&[0, 1, 0, 0, 0, 1, 7]) == Ok(&[7]));
    assert!(check_description(&[&b"\0\x01data\0"[..], &[0; 18]].concat()).is_ok());
    assert!(check_description(&[&b"\0\x01data\0"[..], &[0; 17]].concat()).is_err());
}
