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

/// A bound on waits that end a broken test; no assertion depends on its length.
pub const PATIENCE: Duration = Duration::from_secs(30);

/// `Echo` answers with the method, the target and the body.
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

/// `Calls` is a handler made of a function.
pub struct Calls<F>(pub F);

impl<F> Handler for Calls<F>
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
        .set_read_timeout(Some(PATIENCE))
        .expect("a read timeout");
    client
}

/// Sends bytes and returns all that comes until the server closes.
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

/// Reads until what was read ends with the given text.
pub fn read_until(client: &mut TcpStream, end: &str) -> String {
    let mut text = Vec::new();
    let mut byte = [0];
    while !text.ends_with(end.as_bytes()) {
        client.read_exact(&mut byte).expect("more bytes");
        text.push(byte[0]);
    }
    String::from_utf8(text).expect("text")
}
