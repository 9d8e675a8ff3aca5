//! Tests of the parsing of operators' calls.

use super::*;

/// Names in paths are decoded, and invalid calls get the 4xx status that tells what is wrong.
#[test]
fn parses_calls() {
    let call = |line: &str| parse_call(format!("{line} HTTP/1.1\r\nHost: x\r\n\r\n").as_bytes());
    assert_eq!(call("GET /status?full"), Ok(Some(Command::Status)));
    assert_eq!(call("PUT /maintenance/enter/s%2D5%2f"), Ok(Some(Command::HoldOut("s-5/".into()))));
    let refused = |line: &str| call(line).map_err(|a| (a.status, a.allow));
    assert_eq!(refused("GET /standby"), Err((405, Some("PUT"))));
    assert_eq!(refused("GET /"), Err((404, None)));
    assert_eq!(refused("PUT /maintenance/exit/%f"), Err((400, None)));
    assert_eq!(refused("PUT /maintenance/exit/"), Err((400, None)));
    assert_eq!(parse_call(b"GET /status HTTP/1.1\r\nHost"), Ok(None));
    assert_eq!(parse_call(b"\0\0\r\n").map_err(|a| a.status), Err(400));
    assert_eq!(parse_call(&[b'A'; MAX_CALL_SIZE]).map_err(|a| a.status), Err(431));
}
