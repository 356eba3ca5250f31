//! Upstreams that serve one request at a time on a connection, and leave to each case what is
//! written for a request.

use std::io;
use std::io::Read;
use std::io::Write;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::thread;

use crate::names::name;

/// Path of the health check in the configuration of the site.
const HEALTH_PATH: &str = "/health";

/// Request as it arrived.
pub struct Arrived {
    /// HTTP method.
    pub method: String,
    /// Path with the query.
    pub target: String,
    /// Body; empty for none.
    pub body: Vec<u8>,
    /// Number of the connection, in the order in which they were accepted.
    pub connection: usize,
    headers: Vec<(String, String)>,
}

impl Arrived {
    /// Returns the value of a header; empty without one.
    pub fn header(&self, field: &str) -> &str {
        let mut headers = self.headers.iter();
        let found = headers.find(|(name, _)| name.eq_ignore_ascii_case(field));
        found.map_or("", |(_, value)| value)
    }

    /// Returns the identity of the request; empty for a call without one.
    pub fn id(&self) -> &str {
        self.header(name("id"))
    }

    /// Returns a request without an identity that arrived on the same connection.
    pub fn without_id(other: &Self) -> Self {
        Self {
            method: String::new(),
            target: String::new(),
            body: Vec::new(),
            connection: other.connection,
            headers: Vec::new(),
        }
    }

    /// Returns whether the request is a health check.
    pub fn is_health_check(&self) -> bool {
        self.method == "GET" && self.target == HEALTH_PATH
    }
}

/// What is written for a request. An error ends the connection.
pub type Serve = dyn Fn(&Arrived, &mut TcpStream) -> io::Result<()> + Send + Sync;

/// Starts an upstream on loopback and returns its address.
pub fn start(serve: Arc<Serve>) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
    let address = listener.local_addr()?;
    thread::spawn(move || {
        let accepted = listener.incoming().map_while(Result::ok);
        for (connection, stream) in accepted.enumerate() {
            let serve = serve.clone();
            thread::spawn(move || serve_connection(stream, connection, &*serve));
        }
    });
    Ok(address)
}

fn serve_connection(mut stream: TcpStream, connection: usize, serve: &Serve) {
    // Failing to set it makes answers slower only.
    let _ = stream.set_nodelay(true);
    let mut input = Vec::new();
    while let Some(arrived) = read_request(&mut stream, &mut input, connection) {
        if serve(&arrived, &mut stream).is_err() {
            return;
        }
    }
}

fn read_request(stream: &mut TcpStream, input: &mut Vec<u8>, connection: usize) -> Option<Arrived> {
    let end = loop {
        match input.windows(4).position(|it| it == b"\r\n\r\n") {
            Some(end) => break end + 4,
            None => read_more(stream, input)?,
        }
    };
    let head = String::from_utf8_lossy(&input[..end]).into_owned();
    let mut lines = head.lines();
    let mut first = lines.next()?.split(' ');
    let (method, target) = (first.next()?.to_owned(), first.next()?.to_owned());
    let headers = lines.filter_map(|line| line.split_once(": "));
    let mut arrived = Arrived {
        method,
        target,
        body: Vec::new(),
        connection,
        headers: headers
            .map(|(name, value)| (name.to_owned(), value.to_owned()))
            .collect(),
    };
    let length: usize = arrived.header("Content-Length").parse().unwrap_or(0);
    while input.len() < end + length {
        read_more(stream, input)?;
    }
    arrived.body = input[end..end + length].to_vec();
    input.drain(..end + length);
    Some(arrived)
}

fn read_more(stream: &mut TcpStream, input: &mut Vec<u8>) -> Option<()> {
    let mut bytes = [0_u8; 16 * 1024];
    let count = stream.read(&mut bytes).ok().filter(|count| *count > 0)?;
    input.extend_from_slice(&bytes[..count]);
    Some(())
}

/// Answers of one upstream.
pub struct Answers {
    /// Identity of the upstream.
    pub instance: String,
    /// Number of requests that it runs at once.
    pub slots: u32,
}

impl Answers {
    /// Returns the answer to a request that ran, with the given lines in its head.
    pub fn success(&self, arrived: &Arrived, fields: &str, body: &str) -> Vec<u8> {
        format!(
            "HTTP/1.1 200 OK\r\n{}: {}\r\n{}: s.{}\r\n{}: 0,0,{}\r\n{fields}\
             Content-Length: {}\r\n\r\n{body}",
            name("id"),
            arrived.id(),
            name("signature"),
            self.instance,
            name("load"),
            self.slots,
            body.len()
        )
        .into_bytes()
    }

    /// Returns the answer to a request that ran, with the numbers of those that run and wait now.
    pub fn success_with_load(
        &self,
        arrived: &Arrived,
        running: u32,
        waiting: u32,
        body: &str,
    ) -> Vec<u8> {
        format!(
            "HTTP/1.1 200 OK\r\n{}: {}\r\n{}: s.{}\r\n{}: {running},{waiting},{}\r\n\
             Content-Length: {}\r\n\r\n{body}",
            name("id"),
            arrived.id(),
            name("signature"),
            self.instance,
            name("load"),
            self.slots,
            body.len()
        )
        .into_bytes()
    }

    /// Returns the answer which says that a request was not run. It echoes the identity if the
    /// request has one.
    pub fn not_run(&self, arrived: &Arrived, status: u16) -> Vec<u8> {
        let id = match arrived.id() {
            "" => String::new(),
            id => format!("{}: {id}\r\n", name("id")),
        };
        format!(
            "HTTP/1.1 {status} Not Run\r\n{id}{}: 1\r\n{}: {}\r\nContent-Length: 2\r\n\r\n{{}}",
            name("not_run"),
            name("instance"),
            self.instance
        )
        .into_bytes()
    }

    /// Returns an answer without an identity, to a call.
    pub fn plain(&self, status: u16, body: &str) -> Vec<u8> {
        format!(
            "HTTP/1.1 {status} Status\r\n{}: {}\r\nContent-Length: {}\r\n\r\n{body}",
            name("instance"),
            self.instance,
            body.len()
        )
        .into_bytes()
    }

    /// Answers a request that is meant for another upstream. Returns whether it was one.
    pub fn reject_misdirected(
        &self,
        arrived: &Arrived,
        stream: &mut TcpStream,
    ) -> io::Result<bool> {
        let expected = arrived.header(name("expected"));
        let is_misdirected = !expected.is_empty() && expected != self.instance;
        if is_misdirected {
            stream.write_all(&self.not_run(arrived, 421))?;
        }
        Ok(is_misdirected)
    }
}
