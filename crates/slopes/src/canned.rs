//! HTTP server that sends the same answer to every request and counts the bytes of both.

use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;

use crate::errors::Result;

const LENGTH: &str = "content-length:";

/// Server that runs until the process ends.
#[derive(Debug)]
pub struct CannedServer {
    /// Address on loopback at which the server listens.
    pub address: SocketAddr,
    bytes: Arc<AtomicU64>,
}

impl CannedServer {
    /// Starts a server that answers every request with the status line text `status`, such as
    /// `200 OK`, and `body`.
    ///
    /// # Errors
    ///
    /// [`Error::System`](crate::Error::System) if no port can be bound.
    pub fn start(status: &str, body: &str) -> Result<Self> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
        let address = listener.local_addr()?;
        let length = body.len();
        let head = "Content-Type: application/json\r\nContent-Length";
        let answer = format!("HTTP/1.1 {status}\r\n{head}: {length}\r\n\r\n{body}");
        let bytes = Arc::new(AtomicU64::new(0));
        let counted = bytes.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (answer, counted) = (answer.clone(), counted.clone());
                thread::spawn(move || answer_all(stream, answer.as_bytes(), &counted));
            }
        });
        Ok(Self { address, bytes })
    }

    /// Returns the bytes of HTTP read and written so far, without the headers of TCP and IP.
    pub fn bytes(&self) -> u64 {
        self.bytes.load(Ordering::SeqCst)
    }
}

/// Answers the requests on one connection until it is closed.
fn answer_all(mut stream: TcpStream, answer: &[u8], counted: &AtomicU64) {
    let Ok(reading) = stream.try_clone() else {
        return;
    };
    let mut reader = BufReader::new(reading);
    while let Some(request_bytes) = read_request(&mut reader) {
        counted.fetch_add(request_bytes + answer.len() as u64, Ordering::SeqCst);
        if stream.write_all(answer).is_err() {
            return;
        }
    }
}

fn read_request(reader: &mut BufReader<TcpStream>) -> Option<u64> {
    let mut head_bytes = 0;
    let mut body_bytes = 0;
    loop {
        let mut line = String::new();
        match reader.read_line(&mut line) {
            Ok(0) | Err(_) => return None,
            Ok(count) => head_bytes += count as u64,
        }
        let line = line.to_lowercase();
        if let Some(length) = line.strip_prefix(LENGTH) {
            body_bytes = length.trim().parse().ok()?;
        }
        if line.trim_end().is_empty() {
            break;
        }
    }
    let mut body = vec![0; body_bytes];
    reader.read_exact(&mut body).ok()?;
    Some(head_bytes + body_bytes as u64)
}
