//! Small TCP servers with scripted answers for the tests of the adapters.

#![allow(dead_code)]

use std::io::Read;
use std::io::Write;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::mpsc;
use std::sync::mpsc::Receiver;
use std::thread;
use std::time::Duration;

use socket2::Domain;
use socket2::Socket;
use socket2::Type;

use apricotdale_adapters::Adapters;
use apricotdale_adapters::Options;
use apricotdale_adapters::http_adapters;

/// Timeout that no passing test waits for.
pub const LONG_MS: u64 = 30_000;

/// Bounds the waits of a failing test. No assertion depends on its length.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(30);

/// Timeout for tests whose server never answers.
pub const SHORT_MS: u64 = 50;

/// Returns a listener on a free port.
pub fn listener() -> TcpListener {
    TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a loopback port")
}

/// Returns an address that nothing listens on. Its port stays bound until the process ends, because
/// a server of another test could otherwise get it.
pub fn closed_port() -> SocketAddr {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
    let any_port = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    socket.bind(&any_port.into()).expect("a port");
    let address = socket.local_addr().expect("an address");
    std::mem::forget(socket);
    address.as_socket().expect("an IP address")
}

/// Returns all adapters with one address and long timeouts.
pub fn adapters_at(address: SocketAddr) -> Adapters {
    http_adapters(&options_at(address, LONG_MS))
}

/// Returns options with one address and one timeout for all adapters.
pub fn options_at(address: SocketAddr, timeout_ms: u64) -> Options {
    let mut options = Options::at(address, address, address);
    options.http.connect_timeout_ms = timeout_ms;
    options.log.append_timeout_ms = timeout_ms;
    options.log.read_timeout_ms = timeout_ms;
    options.engine.fence_timeout_ms = timeout_ms;
    options.engine.report_timeout_ms = timeout_ms;
    options.engine.cancel_timeout_ms = timeout_ms;
    options.weights.timeout_ms = timeout_ms;
    options.vm_list.timeout_ms = timeout_ms;
    options
}

/// Server that runs a script on each connection and passes the requests to the test.
pub struct Server {
    /// Address that the server listens on.
    pub address: SocketAddr,
    /// Requests as text, in order of arrival.
    pub requests: Receiver<String>,
}

/// Starts a server that reads one request on every connection and then runs the script.
pub fn serve(mut script: impl FnMut(&mut TcpStream) + Send + 'static) -> Server {
    let listener = listener();
    let address = listener.local_addr().expect("a bound listener");
    let (sender, requests) = mpsc::channel();
    thread::spawn(move || {
        for stream in listener.incoming() {
            let Ok(mut stream) = stream else { return };
            let request = read_request(&mut stream);
            if sender.send(request).is_err() {
                return;
            }
            script(&mut stream);
        }
    });
    Server { address, requests }
}

/// Starts a server that answers every request with the same bytes and closes the connection.
pub fn answering(answer: impl Into<Vec<u8>>) -> Server {
    let answer = answer.into();
    serve(move |stream| {
        stream.write_all(&answer).ok();
    })
}

/// Returns a complete answer with its length.
pub fn answer(status: &str, content_type: &str, body: &str) -> Vec<u8> {
    let length = body.len();
    let head = format!("HTTP/1.1 {status}\r\nConnection: close\r\nContent-Type: {content_type}");
    format!("{head}\r\nContent-Length: {length}\r\n\r\n{body}").into_bytes()
}

/// Returns a complete JSON answer with its length.
pub fn json(status: &str, body: &str) -> Vec<u8> {
    answer(status, "application/json", body)
}

/// Reads one request with its body, or as much of it as arrives.
pub fn read_request(stream: &mut TcpStream) -> String {
    let mut bytes = Vec::new();
    let mut byte = [0; 1];
    while !bytes.ends_with(b"\r\n\r\n") {
        match stream.read(&mut byte) {
            Ok(1) => bytes.push(byte[0]),
            _ => return String::from_utf8_lossy(&bytes).into_owned(),
        }
    }
    let head = String::from_utf8_lossy(&bytes).to_lowercase();
    let length = head
        .lines()
        .find_map(|line| line.strip_prefix("content-length: "))
        .and_then(|length| length.trim().parse::<usize>().ok())
        .unwrap_or(0);
    let mut body = vec![0; length];
    stream.read_exact(&mut body).ok();
    bytes.extend_from_slice(&body);
    String::from_utf8_lossy(&bytes).into_owned()
}

/// Waits until the client has closed the connection. Returns false if it sends a byte instead.
pub fn closed_by_client(stream: &mut TcpStream) -> bool {
    let mut byte = [0; 1];
    matches!(stream.read(&mut byte), Ok(0) | Err(_))
}
