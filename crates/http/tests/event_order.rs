//! Pieces of a stream are sent without buffering.

mod support;

use std::io::Write;
use std::sync::Mutex;
use std::sync::mpsc;

use apricotdale_http::Options;
use apricotdale_http::ResponseHead;
use support::FunctionHandler;
use support::connect;
use support::read_until;
use support::start;

/// Guards against a server that collects pieces before it sends them: the handler waits until the
/// client has read each event before it sends the next. Such a server would keep this test from
/// ending.
#[test]
fn pieces_sent_immediately() {
    let (read, has_read) = mpsc::channel::<usize>();
    let has_read = Mutex::new(has_read);
    let server = start(
        Options::default(),
        FunctionHandler(move |_, responder: apricotdale_http::Responder<'_>| {
            let mut stream = responder.start(ResponseHead::new(200)).expect("a stream");
            for index in 0..5 {
                let event = format!("data: {index}\n\n");
                stream.send_piece(event.as_bytes()).expect("a piece");
                let seen = has_read.lock().expect("no panic").recv();
                assert_eq!(seen, Ok(index));
            }
            stream.finish().expect("an end");
        }),
    );
    let mut client = connect(&server);
    client
        .write_all(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
        .expect("sent");
    let head = read_until(&mut client, "\r\n\r\n");
    assert!(head.contains("Transfer-Encoding: chunked"), "{head}");
    for index in 0..5 {
        let piece = read_until(&mut client, "\n\n\r\n");
        assert!(piece.contains(&format!("data: {index}")), "{piece}");
        read.send(index).expect("the handler waits");
    }
    assert_eq!(read_until(&mut client, "\r\n\r\n"), "0\r\n\r\n");
}
