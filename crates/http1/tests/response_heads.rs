//! Parsing of response heads.

use apricotdale_http1::BodyLength;
use apricotdale_http1::Error;
use apricotdale_http1::parse_response_head;
use rstest::rstest;

#[rstest]
#[case::length(
    "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n",
    false,
    BodyLength::Bytes(5)
)]
#[case::chunks(
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
    false,
    BodyLength::Chunked
)]
#[case::until_close("HTTP/1.1 200 OK\r\n\r\n", false, BodyLength::UntilClose)]
#[case::head_request(
    "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n",
    true,
    BodyLength::Bytes(0)
)]
#[case::no_content("HTTP/1.1 204 No Content\r\n\r\n", false, BodyLength::Bytes(0))]
#[case::not_modified(
    "HTTP/1.1 304 Not Modified\r\nContent-Length: 5\r\n\r\n",
    false,
    BodyLength::Bytes(0)
)]
fn body_length(#[case] text: &str, #[case] is_head_request: bool, #[case] expected: BodyLength) {
    let (head, length) = parse_response_head(text.as_bytes(), 1_000, is_head_request)
        .expect("valid")
        .expect("complete");
    assert_eq!(head.body, expected);
    assert_eq!(length, text.len());
}

#[test]
fn unframed_response_closes() {
    let text = b"HTTP/1.1 200 OK\r\n\r\n";
    let (head, _) = parse_response_head(text, 1_000, false)
        .expect("valid")
        .expect("complete");
    assert!(head.close);
}

#[test]
fn invalid_response_head() {
    assert!(parse_response_head(b"\x00\x01garbage\r\n\r\n", 1_000, false).is_err());
}

/// Guards against a response with a status outside the protocol's range, which would be taken for an
/// interim or a final one.
#[rstest]
fn invalid_status(#[values("000", "001", "099", "600", "999")] code: &str) {
    let text = format!("HTTP/1.1 {code} Status\r\nContent-Length: 5\r\n\r\n");
    for is_head_request in [false, true] {
        let parsed = parse_response_head(text.as_bytes(), 1_000, is_head_request);
        assert_eq!(parsed, Err(Error::MalformedHead));
    }
}

/// Guards against a head that is taken for an answer although one of its lines is no field, and
/// against a field that is read under another name.
#[rstest]
fn malformed_field(
    #[values(
        "X A: 1",
        "X\u{1}A: 1",
        "X\0A: 1",
        "X\u{7f}A: 1",
        "X\u{e9}A: 1",
        "X\tA: 1",
        "XA : 1",
        "XA\t: 1",
        " XA: 1",
        "\tXA: 1",
        ": 1",
        "XA",
        "XA: 1\r\n folded",
        "XA: 1\u{1}",
        "XA: 1\0",
        "XA: 1\u{7f}",
        "XA: 1\rXB: 2",
        "X\nA: 1",
        "Content-Length : 5",
        "Content Length: 5",
        "Content-Length\u{1}: 5",
        "Transfer-Encoding\u{b}: chunked"
    )]
    field: &str,
    #[values("", "Server: a\r\n")] before: &str,
    #[values("200 OK", "103 Early Hints", "204 No Content", "502 Bad Gateway")] status: &str,
    #[values(false, true)] is_head_request: bool,
) {
    let text = format!("HTTP/1.1 {status}\r\n{before}{field}\r\nContent-Length: 5\r\n\r\n");
    let parsed = parse_response_head(text.as_bytes(), 1_000, is_head_request);
    assert_eq!(parsed, Err(Error::MalformedHead));
}

#[rstest]
#[case("100", 100)]
#[case("599", 599)]
fn valid_status(#[case] code: &str, #[case] expected: u16) {
    let text = format!("HTTP/1.1 {code} Status\r\nContent-Length: 5\r\n\r\n");
    let (head, _) = parse_response_head(text.as_bytes(), 1_000, false)
        .expect("valid")
        .expect("complete");
    assert_eq!(head.status, expected);
}

/// Guards against a response that looks whole although its connection ended in the middle of its head.
#[rstest]
#[case::length("HTTP/1.1 200 OK\r\nServer: a\r\nContent-Length: 5\r\n\r\n")]
#[case::chunks("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nServer: a\r\n\r\n")]
#[case::until_close("HTTP/1.1 200 OK\r\nServer: a\r\n\r\n")]
#[case::no_content("HTTP/1.1 204 No Content\r\nServer: a\r\n\r\n")]
#[case::bare_line_feeds("HTTP/1.1 200 OK\nServer: a\nContent-Length: 5\n\n")]
#[case::mixed_line_ends("HTTP/1.1 200 OK\r\nServer: a\r\n\n")]
fn cut_head(#[case] text: &str) {
    let parse = |length, is_head_request| {
        parse_response_head(&text.as_bytes()[..length], 1_000, is_head_request)
    };
    for is_head_request in [false, true] {
        for length in 0..text.len() {
            assert_eq!(parse(length, is_head_request), Ok(None), "{length} bytes");
        }
        assert!(matches!(parse(text.len(), is_head_request), Ok(Some(_))));
    }
}
