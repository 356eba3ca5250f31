//! HTTP client that reads an answer piece by piece.

use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpStream;

use serde_json::Value;

use super::MODEL;
use super::TEST_TIMEOUT;

pub struct Caller {
    reader: BufReader<TcpStream>,
}

/// A complete answer.
#[derive(Debug)]
pub struct Answer {
    pub status: u16,
    pub head: String,
    pub body: String,
}

impl Answer {
    pub fn header(&self, name: &str) -> Option<&str> {
        let lines = self.head.lines();
        let mut pairs = lines.filter_map(|line| line.split_once(": "));
        pairs
            .find(|(known, _)| known.eq_ignore_ascii_case(name))
            .map(|(_, value)| value)
    }

    pub fn json(&self) -> Value {
        serde_json::from_str(&self.body).expect("a JSON body")
    }

    /// Returns the status, the reason and `ran` of a refusal.
    pub fn refusal(&self) -> (u16, String, String) {
        let problem = self.json();
        let text = |member: &str| problem[member].as_str().unwrap_or("-").to_owned();
        (self.status, text("reason"), text("ran"))
    }
}

/// Next part of a chunked answer, or its end.
#[derive(Debug, PartialEq, Eq)]
pub enum Piece {
    Data(String),
    End,
    Cut,
}

impl Caller {
    pub fn connect(address: SocketAddr) -> Self {
        let stream = TcpStream::connect(address).expect("a connection");
        stream
            .set_read_timeout(Some(TEST_TIMEOUT))
            .expect("a timeout");
        Self {
            reader: BufReader::new(stream),
        }
    }

    pub fn send(&mut self, method: &str, path: &str, headers: &[(&str, &str)], body: &str) {
        let mut text = format!("{method} {path} HTTP/1.1\r\nHost: entry\r\n");
        for (name, value) in headers {
            text.push_str(&format!("{name}: {value}\r\n"));
        }
        text.push_str(&format!("Content-Length: {}\r\n\r\n{body}", body.len()));
        self.reader
            .get_mut()
            .write_all(text.as_bytes())
            .expect("the request is sent");
    }

    pub fn call(
        &mut self,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: &str,
    ) -> Answer {
        self.send(method, path, headers, body);
        self.answer()
    }

    pub fn send_raw(&mut self, bytes: &str) {
        let stream = self.reader.get_mut();
        stream
            .write_all(bytes.as_bytes())
            .expect("the bytes are sent");
    }

    /// Sends a call to the model.
    pub fn send_completion(&mut self, headers: &[(&str, &str)]) {
        let body = format!(r#"{{"model":"{MODEL}","prompt":"a slot"}}"#);
        self.send("POST", "/v1/completions", headers, &body);
    }

    /// Sends a call to the model and returns its complete answer.
    pub fn complete(&mut self, headers: &[(&str, &str)]) -> Answer {
        self.send_completion(headers);
        self.answer()
    }

    /// Sends a call to the model whose answer is a stream.
    pub fn stream(&mut self, headers: &[(&str, &str)]) {
        let body = format!(r#"{{"model":"{MODEL}","messages":[],"stream":true}}"#);
        self.send("POST", "/v1/chat/completions", headers, &body);
    }

    pub fn head(&mut self) -> (u16, String) {
        let mut head = String::new();
        while !head.ends_with("\r\n\r\n") {
            let count = self.reader.read_line(&mut head).expect("a head");
            assert!(count > 0, "closed within the head: {head:?}");
        }
        let status = head.split(' ').nth(1).and_then(|text| text.parse().ok());
        (status.expect("a status"), head)
    }

    pub fn answer(&mut self) -> Answer {
        let (status, head) = self.head();
        let mut answer = Answer {
            status,
            head,
            body: String::new(),
        };
        let length = answer.header("content-length").map(|text| text.parse());
        let mut body = vec![0; length.expect("a length").expect("a number")];
        self.reader.read_exact(&mut body).expect("a complete body");
        answer.body = String::from_utf8(body).expect("text");
        answer
    }

    /// Closes the sending side of the connection. The caller can still read.
    pub fn close_sending(&mut self) {
        let stream = self.reader.get_mut();
        stream
            .shutdown(Shutdown::Write)
            .expect("an open connection");
    }

    /// Returns all bytes up to the end of the connection.
    pub fn read_to_end(&mut self) -> Vec<u8> {
        let mut bytes = Vec::new();
        // A connection that was reset has ended, too.
        let _ = self.reader.read_to_end(&mut bytes);
        bytes
    }

    /// Returns the pieces up to the end of the answer, and how the answer ended.
    pub fn pieces(&mut self) -> (Vec<String>, Piece) {
        let mut pieces = Vec::new();
        loop {
            match self.piece() {
                Piece::Data(text) => pieces.push(text),
                end => return (pieces, end),
            }
        }
    }

    pub fn piece(&mut self) -> Piece {
        let mut size = String::new();
        match self.reader.read_line(&mut size) {
            Ok(0) | Err(_) => return Piece::Cut,
            Ok(_) => {}
        }
        let size = usize::from_str_radix(size.trim(), 16).expect("a chunk size");
        let mut chunk = vec![0; size + 2];
        self.reader
            .read_exact(&mut chunk)
            .expect("a complete chunk");
        chunk.truncate(size);
        match size {
            0 => Piece::End,
            _ => Piece::Data(String::from_utf8(chunk).expect("text")),
        }
    }
}
