//! An incomplete response never looks complete.

mod support;

use std::io::Read;
use std::io::Write;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

use apricotdale_http::Options;
use apricotdale_http::Request;
use apricotdale_http::Responder;
use apricotdale_http::ResponseHead;
use rstest::rstest;
use support::FunctionHandler;
use support::connect;
use support::exchange;
use support::start;

fn unfinished_stream(_: Request, responder: Responder<'_>) {
    let mut stream = responder.start(ResponseHead::new(200)).expect("a stream");
    stream.send_piece(b"half").expect("a piece");
}

fn panic_in_stream(request: Request, responder: Responder<'_>) {
    let mut stream = responder.start(ResponseHead::new(200)).expect("a stream");
    stream.send_piece(b"half").expect("a piece");
    panic!("a scripted panic in {}", request.path());
}

/// Guards against an encoder that ends the body when it is dropped: the handler abandons a stream
/// or panics within it, and the client would act on half a response.
#[rstest]
#[case::dropped(unfinished_stream)]
#[case::panic(panic_in_stream)]
fn abandoned_stream_unfinished(#[case] handler: fn(Request, Responder<'_>)) {
    let server = start(Options::default(), FunctionHandler(handler));
    let answer = exchange(&server, b"GET / HTTP/1.1\r\nHost: a\r\n\r\n");
    assert!(answer.ends_with("4\r\nhalf\r\n"), "{answer}");
}

/// Guards against the same for an HTTP/1.0 client, which takes the end of the connection for the
/// end of the response.
#[test]
fn http_10_stream_reset() {
    let server = start(Options::default(), FunctionHandler(unfinished_stream));
    let mut client = connect(&server);
    client.write_all(b"GET / HTTP/1.0\r\n\r\n").expect("sent");
    let read = client.read_to_end(&mut Vec::new());
    assert!(read.is_err(), "the response looked complete: {read:?}");
}

fn no_answer(_: Request, _: Responder<'_>) {}

fn panics(request: Request, _: Responder<'_>) {
    panic!("a scripted panic in {}", request.path());
}

#[rstest]
#[case::unused(no_answer)]
#[case::panic(panics)]
fn missing_response(#[case] handler: fn(Request, Responder<'_>)) {
    let server = start(Options::default(), FunctionHandler(handler));
    let request = b"GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n";
    let answer = exchange(&server, request);
    assert!(answer.starts_with("HTTP/1.1 500 "), "{answer}");
}

#[test]
fn closed_responder() {
    let called = AtomicBool::new(false);
    let server = start(
        Options::default(),
        FunctionHandler(move |_, responder: Responder<'_>| {
            called.store(true, Ordering::Relaxed);
            responder.close();
        }),
    );
    let answer = exchange(&server, b"GET / HTTP/1.1\r\nHost: a\r\n\r\n");
    assert_eq!(answer, "");
}
