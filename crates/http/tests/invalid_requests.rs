//! Responses to requests that are malformed or exceed a limit.

mod support;

use apricotdale_http::Options;
use rstest::rstest;
use support::Echo;
use support::exchange;
use support::start;

/// Guards against heads that are accepted although their framing is ambiguous or their size
/// unbounded: one caller's body could be served as another caller's request, or a thread could be
/// occupied for ever.
#[rstest]
#[case::no_host("GET / HTTP/1.1\r\n\r\n", 400)]
#[case::two_hosts("GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n", 400)]
#[case::not_http("hello there\r\n\r\n", 400)]
#[case::length_and_coding(
    "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
    400
)]
#[case::two_lengths(
    "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabc",
    400
)]
#[case::signed_length("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: +3\r\n\r\nabc", 400)]
#[case::coding_list(
    "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: gzip, chunked\r\n\r\n",
    400
)]
#[case::bad_chunk(
    "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
    400
)]
#[case::long_head(&format!("GET /{} HTTP/1.1\r\n", "a".repeat(600)), 431)]
#[case::many_headers(&format!("GET / HTTP/1.1\r\nHost: a\r\n{}\r\n", "a: b\r\n".repeat(20)), 431)]
#[case::long_body("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 101\r\n\r\n", 413)]
#[case::long_chunk(
    &format!("POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n65\r\n{}\r\n0\r\n\r\n", "x".repeat(101)),
    413
)]
#[case::expectation(
    "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nExpect: tea\r\n\r\n",
    417
)]
fn invalid_request_status(#[case] request: &str, #[case] status: u16) {
    let options = Options {
        max_head_bytes: 512,
        max_header_count: 16,
        max_body_bytes: 100,
        ..Options::default()
    };
    let server = start(options, Echo);
    let answer = exchange(&server, request.as_bytes());
    assert!(
        answer.starts_with(&format!("HTTP/1.1 {status} ")),
        "{answer}"
    );
}
