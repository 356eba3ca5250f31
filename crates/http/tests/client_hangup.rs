//! Detection of a client that closes its connection while its request is in progress.

mod support;

use std::io::Write;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::mpsc;
use std::sync::mpsc::Receiver;
use std::sync::mpsc::Sender;

use apricotdale_http::HangupWatcher;
use apricotdale_http::Options;
use apricotdale_http::Request;
use apricotdale_http::Responder;
use apricotdale_http::Response;
use apricotdale_http::Server;
use rstest::rstest;
use support::FunctionHandler;
use support::TEST_TIMEOUT;
use support::connect;
use support::start;

/// Message from the handler to the test.
#[derive(Debug, PartialEq, Eq)]
enum HandlerEvent {
    Watching,
    HungUp,
}

/// Starts a server whose handler responds only after its client has hung up.
fn start_watching() -> (Server, Receiver<HandlerEvent>) {
    let (event_sender, event_receiver): (Sender<HandlerEvent>, Receiver<HandlerEvent>) =
        mpsc::channel();
    let watcher = Arc::new(HangupWatcher::start().expect("a watcher"));
    let handler = move |request: Request, responder: Responder<'_>| {
        let (hung_up, has_hung_up) = mpsc::channel();
        let guard = watcher.watch(request.socket(), move || {
            hung_up.send(()).expect("the handler waits");
        });
        event_sender
            .send(HandlerEvent::Watching)
            .expect("the test waits");
        has_hung_up.recv_timeout(TEST_TIMEOUT).expect("a hang-up");
        // The callback is dropped after its one call, and the sender with it.
        assert!(has_hung_up.recv().is_err());
        drop(guard);
        event_sender
            .send(HandlerEvent::HungUp)
            .expect("the test waits");
        let _ = responder.send(Response::new(200));
    };
    (
        start(Options::default(), FunctionHandler(handler)),
        event_receiver,
    )
}

/// Guards against a watch that peeks for the end of input, which is not visible behind unread
/// bytes. In one case the client has sent a further request before it closes.
#[rstest]
#[case::plain("")]
#[case::behind_a_request("GET /next HTTP/1.1\r\nHost: a\r\n\r\n")]
fn hangup_detected(#[case] sent_ahead: &str) {
    let (server, event_receiver) = start_watching();
    let mut client: TcpStream = connect(&server);
    let request = format!("GET / HTTP/1.1\r\nHost: a\r\n\r\n{sent_ahead}");
    client.write_all(request.as_bytes()).expect("sent");
    assert_eq!(
        event_receiver.recv_timeout(TEST_TIMEOUT),
        Ok(HandlerEvent::Watching)
    );
    drop(client);
    assert_eq!(
        event_receiver.recv_timeout(TEST_TIMEOUT),
        Ok(HandlerEvent::HungUp)
    );
}

/// Guards against a watch that is not removed after its request: the watch of the next request on
/// the connection would fail.
#[test]
fn each_request_watched() {
    let (event_sender, event_receiver) = mpsc::channel();
    let watcher = Arc::new(HangupWatcher::start().expect("a watcher"));
    let server = start(
        Options::default(),
        FunctionHandler(move |request: Request, responder: Responder<'_>| {
            let (hung_up, has_hung_up) = mpsc::channel();
            let watched = watcher.watch(request.socket(), move || {
                hung_up.send(()).expect("the handler waits");
            });
            let _guard = watched.expect("a connection that is not watched");
            // A second watch fails and does not affect the first.
            assert!(watcher.watch(request.socket(), || {}).is_err());
            let _ = responder.send(Response::new(200).body("ok"));
            if request.path() == "/2" {
                event_sender
                    .send(has_hung_up.recv_timeout(TEST_TIMEOUT))
                    .expect("the test waits");
            }
        }),
    );
    let mut client = connect(&server);
    for path in ["/1", "/2"] {
        let request = format!("GET {path} HTTP/1.1\r\nHost: a\r\n\r\n");
        client.write_all(request.as_bytes()).expect("sent");
        support::read_until(&mut client, "ok");
    }
    drop(client);
    assert_eq!(event_receiver.recv_timeout(TEST_TIMEOUT), Ok(Ok(())));
}
