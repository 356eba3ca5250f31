//! Parsing of request heads: which ones are accepted and which are rejected.

use apricotdale_http1::BodyLength;
use apricotdale_http1::Error;
use apricotdale_http1::parse_request_head;
use rstest::rstest;

const LIMIT_BYTES: usize = 1_000;

fn parse(text: &str) -> apricotdale_http1::Result<Option<apricotdale_http1::RequestHead>> {
    parse_request_head(text.as_bytes(), LIMIT_BYTES).map(|found| found.map(|(head, _)| head))
}

#[test]
fn complete_head() {
    let text = "POST /a/b?c=1 HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\nabc";
    let (head, length) = parse_request_head(text.as_bytes(), LIMIT_BYTES)
        .expect("valid")
        .expect("complete");
    assert_eq!(head.method, "POST");
    assert_eq!(head.target, "/a/b?c=1");
    assert_eq!(head.headers.text("host"), Some("x"));
    assert_eq!(head.body, BodyLength::Bytes(3));
    assert_eq!(&text[length..], "abc");
    assert!(!head.close);
}

#[rstest]
#[case::empty("")]
#[case::no_end("GET / HTTP/1.1\r\nHost: x\r\n")]
fn more_bytes_needed(#[case] text: &str) {
    assert_eq!(parse(text), Ok(None));
}

/// Guards against request smuggling. If a head whose body length can be read in two ways were
/// forwarded, this VM could take the longer body and the upstream the shorter one, and the upstream
/// would run the remainder as a request that no caller sent.
#[rstest]
#[case::length_and_chunks("Content-Length: 3\r\nTransfer-Encoding: chunked\r\n")]
#[case::two_lengths("Content-Length: 3\r\nContent-Length: 4\r\n")]
#[case::equal_lengths_twice("Content-Length: 3\r\nContent-Length: 3\r\n")]
#[case::list_of_lengths("Content-Length: 3, 3\r\n")]
#[case::signed_length("Content-Length: +3\r\n")]
#[case::hexadecimal_length("Content-Length: 0x3\r\n")]
#[case::empty_length("Content-Length: \r\n")]
#[case::two_codings("Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n")]
#[case::coding_list("Transfer-Encoding: gzip, chunked\r\n")]
#[case::unknown_coding("Transfer-Encoding: xchunked\r\n")]
fn ambiguous_length(#[case] fields: &str) {
    let text = format!("POST / HTTP/1.1\r\nHost: x\r\n{fields}\r\n");
    assert_eq!(parse(&text), Err(Error::AmbiguousLength));
}

#[rstest]
#[case::no_version("GET /\r\n\r\n")]
#[case::blank_in_name("GET / HTTP/1.1\r\nHo st: x\r\n\r\n")]
#[case::blank_before_colon("GET / HTTP/1.1\r\nContent-Length : 3\r\n\r\n")]
#[case::folded_line("GET / HTTP/1.1\r\nA: b\r\n c\r\n\r\n")]
#[case::other_protocol("\x16\x03\x01 HTTP\r\n\r\n")]
fn malformed_head(#[case] text: &str) {
    assert_eq!(parse(text), Err(Error::MalformedHead));
}

#[rstest]
#[case::complete(format!("GET / HTTP/1.1\r\nA: {}\r\n\r\n", "b".repeat(LIMIT_BYTES)))]
#[case::incomplete(format!("GET / HTTP/1.1\r\nA: {}", "b".repeat(LIMIT_BYTES)))]
#[case::many_fields(format!("GET / HTTP/1.1\r\n{}\r\n", "a:b\r\n".repeat(150)))]
fn head_too_large(#[case] text: String) {
    assert_eq!(parse(&text), Err(Error::HeadTooLarge));
}

#[rstest]
#[case::close_requested("GET / HTTP/1.1\r\nConnection: close\r\n\r\n", true)]
#[case::among_other_tokens("GET / HTTP/1.1\r\nConnection: a, Close\r\n\r\n", true)]
#[case::http_1_0("GET / HTTP/1.0\r\n\r\n", true)]
#[case::http_1_0_keep_alive("GET / HTTP/1.0\r\nConnection: keep-alive\r\n\r\n", false)]
#[case::keep_alive("GET / HTTP/1.1\r\n\r\n", false)]
fn connection_close(#[case] text: &str, #[case] close: bool) {
    assert_eq!(parse(text).expect("valid").expect("complete").close, close);
}

#[test]
fn hop_by_hop_fields_dropped() {
    let text = "GET / HTTP/1.1\r\nHost: x\r\nConnection: Keep-Alive, X-Hop\r\nX-Hop: 1\r\n\
                Keep-Alive: timeout=5\r\nTE: trailers\r\nX-End: 2\r\nContent-Length: 0\r\n\r\n";
    let head = parse(text).expect("valid").expect("complete");
    let names: Vec<&str> = head.headers.end_to_end().map(|(name, _)| name).collect();
    assert_eq!(names, ["Host", "X-End"]);
}
