//! Valid forms of requests, and bodies that are cut.

mod support;

use std::io::Write;
use std::net::Shutdown;

use apricotdale_http::Options;
use rstest::rstest;
use support::Echo;
use support::connect;
use support::exchange;
use support::read_to_close;
use support::read_until;
use support::start;

#[rstest]
#[case::length(
    "POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nabc",
    "POST /a abc"
)]
#[case::chunks(
    "POST /a?q=1 HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n2;x=y\r\nbc\r\n0\r\n\r\n",
    "POST /a abc"
)]
#[case::leading_line_ends("\r\n\r\nGET /b HTTP/1.1\r\nHost: a\r\n\r\n", "GET /b ")]
#[case::bare_line_ends("GET /c HTTP/1.1\nHost: a\n\n", "GET /c ")]
#[case::http_10("GET /d HTTP/1.0\r\n\r\n", "GET /d ")]
fn request_read_completely(#[case] request: &str, #[case] echo: &str) {
    let server = start(Options::default(), Echo);
    let mut client = connect(&server);
    client.write_all(request.as_bytes()).expect("sent");
    client
        .shutdown(Shutdown::Write)
        .expect("closed for sending");
    let answer = read_to_close(&mut client);
    assert!(answer.starts_with("HTTP/1.1 200 OK\r\n"), "{answer}");
    assert!(answer.ends_with(&format!("\r\n\r\n{echo}")), "{answer}");
}

#[test]
fn pipelined_requests() {
    let server = start(Options::default(), Echo);
    let first = "POST /1 HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nhi";
    let second = "GET /2 HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n";
    let answers = exchange(&server, format!("{first}{second}").as_bytes());
    assert_eq!(answers.matches("HTTP/1.1 200 OK").count(), 2, "{answers}");
    let first = answers.find("POST /1 hi").expect("the first answer");
    let second = answers.find("GET /2 ").expect("the second answer");
    assert!(first < second, "{answers}");
}

#[test]
fn head_response() {
    let server = start(Options::default(), Echo);
    let request = b"HEAD /x HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n";
    let answer = exchange(&server, request);
    assert!(answer.contains("Content-Length: 8\r\n"), "{answer}");
    assert!(answer.ends_with("\r\n\r\n"), "{answer}");
}

#[test]
fn expect_continue() {
    let server = start(Options::default(), Echo);
    let mut client = connect(&server);
    let head = "POST / HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n";
    client.write_all(head.as_bytes()).expect("sent");
    let interim_response = read_until(&mut client, "\r\n\r\n");
    assert!(
        interim_response.starts_with("HTTP/1.1 100 "),
        "{interim_response}"
    );
    client.write_all(b"ok").expect("sent");
    assert!(read_until(&mut client, "POST / ok").starts_with("HTTP/1.1 200 "));
}

/// Guards against half a body that is passed to the handler as complete: the client closes its side
/// within a chunk, and the chunk decoder takes an end of input for the end of the body.
#[rstest]
#[case::chunk("Transfer-Encoding: chunked\r\n\r\n5\r\nab")]
#[case::between_chunks("Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n")]
#[case::length("Content-Length: 5\r\n\r\nab")]
fn cut_body(#[case] framing_and_body: &str) {
    let server = start(Options::default(), Echo);
    let mut client = connect(&server);
    let request = format!("POST / HTTP/1.1\r\nHost: a\r\n{framing_and_body}");
    client.write_all(request.as_bytes()).expect("sent");
    client
        .shutdown(Shutdown::Write)
        .expect("closed for sending");
    assert_eq!(read_to_close(&mut client), "");
}
