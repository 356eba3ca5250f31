//! Answers of engines whose connection is closed in order before the answer is complete.

mod support;

use std::io::Write;
use std::net::Shutdown;
use std::sync::mpsc;
use std::sync::mpsc::Receiver;

use rstest::rstest;

use apricotdale_adapters::http_adapters;
use apricotdale_core::engine::ServeRequest;
use apricotdale_core::errors::Error;
use apricotdale_core::errors::Result;
use apricotdale_core::names::RequestId;
use apricotdale_core::service::ServiceAnswer;
use apricotdale_core::service::ServiceCall;
use support::LONG_MS;
use support::PATIENCE;
use support::Server;
use support::closed_by_client;
use support::options_at;
use support::serve;

const STREAM: &str = "Content-Type: text/event-stream\r\nX-Request-Id: r-1";
const WHOLE: &str = "Content-Type: application/json\r\nX-Request-Id: r-1";

/// Pieces that an adapter returned, and how the answer ended.
struct Got {
    pieces: Vec<String>,
    end: Result<()>,
}

/// Starts a server that sends these bytes and then closes its sending side in order. The receiver
/// is notified once the client has closed its side too.
fn closing(bytes: String) -> (Server, Receiver<()>) {
    let (played, is_played) = mpsc::channel();
    let server = serve(move |stream| {
        stream
            .write_all(bytes.as_bytes())
            .expect("the client reads");
        stream
            .shutdown(Shutdown::Write)
            .expect("an open connection");
        closed_by_client(stream);
        played.send(()).ok();
    });
    (server, is_played)
}

fn ask(server: &Server) -> Got {
    let request = ServeRequest {
        id: RequestId::new("r-1"),
        path: "/v1/completions".to_owned(),
        body: b"{}".to_vec(),
        stream: true,
        first_byte_timeout_ms: LONG_MS,
        idle_timeout_ms: LONG_MS,
        priority: 3,
    };
    let serving = http_adapters(&options_at(server.address, LONG_MS)).serving;
    let mut got = Got {
        pieces: Vec::new(),
        end: Ok(()),
    };
    let mut answer = match serving.serve(server.address, &request) {
        Ok(answer) => answer,
        Err(error) => {
            got.end = Err(error);
            return got;
        }
    };
    loop {
        match answer.next_piece() {
            Ok(Some(piece)) => got.pieces.push(String::from_utf8(piece).expect("text")),
            Ok(None) => return got,
            Err(error) => {
                got.end = Err(error);
                return got;
            }
        }
    }
}

fn ask_service(server: &Server) -> Result<ServiceAnswer> {
    let call = ServiceCall {
        id: RequestId::new("r-1"),
        method: "POST".to_owned(),
        path: "/slots".to_owned(),
        content_type: "text/plain".to_owned(),
        body: b"slot 7".to_vec(),
        key: None,
        timeout_ms: LONG_MS,
    };
    let service = http_adapters(&options_at(server.address, LONG_MS)).service;
    service.call(server.address, &call)
}

/// Guards against a stream that counts as complete although its end marker has not arrived,
/// whatever the framing of its body says.
#[rstest]
#[case::until_close_between_events("", "data: a\n\n", 1)]
#[case::until_close_in_an_event("", "data: a\n\ndata: b", 1)]
#[case::until_close_in_the_end_mark("", "data: a\n\ndata: [DONE]\n", 1)]
#[case::until_close_empty("", "", 0)]
#[case::last_chunk_between_events(
    "\r\nTransfer-Encoding: chunked",
    "9\r\ndata: a\n\n\r\n0\r\n\r\n",
    1
)]
#[case::last_chunk_in_an_event("\r\nTransfer-Encoding: chunked", "7\r\ndata: a\r\n0\r\n\r\n", 0)]
#[case::last_chunk_empty("\r\nTransfer-Encoding: chunked", "0\r\n\r\n", 0)]
#[case::no_last_chunk("\r\nTransfer-Encoding: chunked", "9\r\ndata: a\n\n\r\n", 1)]
#[case::length_between_events("\r\nContent-Length: 9", "data: a\n\n", 1)]
#[case::length_in_an_event("\r\nContent-Length: 7", "data: a", 0)]
#[case::length_not_reached("\r\nContent-Length: 99", "data: a\n\n", 1)]
#[case::length_zero("\r\nContent-Length: 0", "", 0)]
fn stream_without_its_end_mark(
    #[case] framing: &str,
    #[case] body: &str,
    #[case] whole_events: usize,
) {
    let (server, is_played) = closing(format!("HTTP/1.1 200 X\r\n{STREAM}{framing}\r\n\r\n{body}"));
    let got = ask(&server);
    is_played.recv_timeout(PATIENCE).expect("it is played");
    assert_eq!(got.pieces.len(), whole_events, "{:?}", got.pieces);
    assert!(got.end.is_err(), "whole");
}

/// Guards against the beginning of a body that counts as the complete body.
#[rstest]
#[case::no_length("", "{\"text\":\"half")]
#[case::no_length_and_no_body("", "")]
#[case::length_not_reached("\r\nContent-Length: 99", "{\"text\":\"half")]
#[case::no_last_chunk("\r\nTransfer-Encoding: chunked", "4\r\nhalf\r\n")]
#[case::cut_in_a_chunk("\r\nTransfer-Encoding: chunked", "9\r\nhalf")]
#[case::other_coding("\r\nTransfer-Encoding: unchunked", "half")]
#[case::two_codings("\r\nTransfer-Encoding: gzip, chunked", "4\r\nhalf\r\n")]
#[case::identity("\r\nTransfer-Encoding: identity", "half")]
#[case::no_number("\r\nContent-Length: many", "half")]
fn body_that_may_be_cut(#[case] framing: &str, #[case] body: &str) {
    let answer = format!("HTTP/1.1 200 X\r\n{WHOLE}{framing}\r\n\r\n{body}");
    let (server, is_played) = closing(answer.clone());
    let got = ask(&server);
    is_played.recv_timeout(PATIENCE).expect("it is played");
    assert!(got.pieces.is_empty(), "{:?}", got.pieces);
    assert!(matches!(got.end, Err(Error::Unknown(_))), "{:?}", got.end);

    let (server, is_played) = closing(answer);
    let outcome = ask_service(&server);
    is_played.recv_timeout(PATIENCE).expect("it is played");
    assert!(matches!(outcome, Err(Error::Unknown(_))), "{outcome:?}");
}

/// Guards against chunks that are announced in HTTP/1.0, which has none: the body ends with its
/// connection.
#[test]
fn old_protocol_has_no_chunks() {
    let framing = "Transfer-Encoding: chunked";
    let (server, is_played) = closing(format!(
        "HTTP/1.0 200 X\r\n{WHOLE}\r\n{framing}\r\n\r\nhalf"
    ));
    let got = ask(&server);
    is_played.recv_timeout(PATIENCE).expect("it is played");
    assert!(got.pieces.is_empty(), "{:?}", got.pieces);
    assert!(matches!(got.end, Err(Error::Unknown(_))), "{:?}", got.end);
}

/// Guards against an interim answer that counts as the answer, or as its beginning.
#[rstest]
#[case::interim("HTTP/1.1 100 Continue\r\n\r\n")]
#[case::hints("HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n")]
#[case::half_a_head("HTTP/1.1 200 OK\r\nContent-Type: text/ev")]
#[case::nothing("")]
fn answer_that_does_not_come(#[case] bytes: &str) {
    let (server, is_played) = closing(bytes.to_owned());
    let got = ask(&server);
    is_played.recv_timeout(PATIENCE).expect("it is played");
    assert!(got.pieces.is_empty(), "{:?}", got.pieces);
    assert!(matches!(got.end, Err(Error::Unknown(_))), "{:?}", got.end);
}
