//! Encoding of status lines.

use apricotdale_http1::append_status_line;
use rstest::rstest;

/// Guards against a refusal whose status line has no matching reason phrase.
#[rstest]
#[case(400, "Bad Request")]
#[case(401, "Unauthorized")]
#[case(404, "Not Found")]
#[case(413, "Content Too Large")]
#[case(429, "Too Many Requests")]
#[case(431, "Request Header Fields Too Large")]
#[case(502, "Bad Gateway")]
#[case(503, "Service Unavailable")]
#[case(504, "Gateway Timeout")]
fn reason_phrases(#[case] status: u16, #[case] phrase: &str) {
    let mut line = Vec::new();
    append_status_line(&mut line, status);
    assert_eq!(line, format!("HTTP/1.1 {status} {phrase}\r\n").as_bytes());
}
