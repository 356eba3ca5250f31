//! A raw client and small handlers for the tests of the server.

#![allow(dead_code)]

use std::io::Read;
use std::io::Write;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::time::Duration;

use apricotdale_http::Handler;
use apricotdale_http::Options;
use apricotdale_http::PlainErrors;
use apricotdale_http::Request;
use apricotdale_http::Responder;
use apricotdale_http::Response;
use apricotdale_http::Server;

/// Bounds the waits of a failing test. No assertion depends on its length.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(30);

/// Handler that responds with the method, the path and the body of the request.
pub struct Echo;

impl Handler for Echo {
    fn handle(&self, request: Request, responder: Responder<'_>) {
        let body = format!(
            "{} {} {}",
            request.method(),
            request.path(),
            String::from_utf8_lossy(request.body())
        );
        let _ = responder.send(Response::new(200).body(body));
    }
}

/// Handler that calls a function.
pub struct FunctionHandler<F>(pub F);

impl<F> Handler for FunctionHandler<F>
where
    F: Fn(Request, Responder<'_>) + Send + Sync,
{
    fn handle(&self, request: Request, responder: Responder<'_>) {
        (self.0)(request, responder);
    }
}

pub fn start(options: Options, handler: impl Handler + 'static) -> Server {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    Server::start(listener, options, Arc::new(handler), Arc::new(PlainErrors)).expect("a server")
}

pub fn connect(server: &Server) -> TcpStream {
    let client = TcpStream::connect(server.address()).expect("a connection");
    client
        .set_read_timeout(Some(TEST_TIMEOUT))
        .expect("a read timeout");
    client
}

/// Sends bytes and returns all that is received until the server closes the connection.
pub fn exchange(server: &Server, bytes: &[u8]) -> String {
    let mut client = connect(server);
    client.write_all(bytes).expect("the request is sent");
    read_to_close(&mut client)
}

pub fn read_to_close(client: &mut TcpStream) -> String {
    let mut answer = Vec::new();
    client
        .read_to_end(&mut answer)
        .expect("the server closes in order");
    String::from_utf8(answer).expect("text")
}

/// Reads until the received text ends with `end`.
pub fn read_until(client: &mut TcpStream, end: &str) -> String {
    let mut text = Vec::new();
    let mut byte = [0];
    while !text.ends_with(end.as_bytes()) {
        client.read_exact(&mut byte).expect("more bytes");
        text.push(byte[0]);
    }
    String::from_utf8(text).expect("text")
}
