//! Requests and how they are read.

use std::borrow::Cow;
use std::io;
use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::IpAddr;
use std::net::TcpStream;
use std::time::Instant;

use percent_encoding::percent_decode_str;
use serde::de::DeserializeOwned;
use serde_json::json;

use crate::http::caller::Caller;
use crate::http::reply::Reply;

const MAX_HEADERS: usize = 64;
const MAX_HEAD_BYTES: u64 = 64 * 1024;
const MAX_BODY_BYTES: u64 = 64 * 1024 * 1024;

/// Request that has been read completely.
#[derive(Debug)]
pub struct Request {
    /// Method, such as `GET`.
    pub method: String,
    /// Path without the query, still percent-encoded.
    pub path: String,
    /// Body without transfer encoding; empty if none was sent.
    pub body: Vec<u8>,
    /// Client that sent the request.
    pub caller: Caller,
    /// Time at which it had been read.
    pub read_at: Instant,
    query: String,
    headers: Vec<(String, String)>,
}

impl Request {
    /// Reads the head of the next request of a client's connection, or none if the connection ended
    /// before it began. Once the client has reset the connection, its address can't be read any more.
    pub(crate) fn read_head(
        reader: &mut BufReader<TcpStream>,
        client: IpAddr,
    ) -> io::Result<Option<Self>> {
        let Some(head) = read_head(reader)? else {
            return Ok(None);
        };
        let caller = Caller::new(reader.get_ref().try_clone()?, Some(client));
        parse_head(&head, caller).map(Some)
    }

    /// Reads the body, which completes the request.
    pub(crate) fn read_body(&mut self, reader: &mut BufReader<TcpStream>) -> io::Result<()> {
        if self.header("Expect").is_some() {
            reader
                .get_ref()
                .write_all(b"HTTP/1.1 100 Continue\r\n\r\n")?;
        }
        self.body = self.body_bytes(reader)?;
        self.read_at = Instant::now();
        Ok(())
    }

    /// Returns the value of the first header of a name in any case, or none without one.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers
            .iter()
            .find(|(candidate, _)| candidate.eq_ignore_ascii_case(name))
            .map(|(_, value)| value.as_str())
    }

    /// Returns the number that a query parameter holds, or none if there is no such parameter or
    /// it is not a number.
    pub fn query_number(&self, name: &str) -> Option<u64> {
        self.query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .find(|(candidate, _)| *candidate == name)
            .and_then(|(_, value)| value.parse().ok())
    }

    /// Returns the percent-decoded value of a query parameter, or none without one.
    pub fn query_text(&self, name: &str) -> Option<Cow<'_, str>> {
        self.query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .find(|(candidate, _)| *candidate == name)
            .map(|(_, value)| decode(value))
    }

    /// Returns all headers in the order in which they were sent.
    pub fn headers(&self) -> &[(String, String)] {
        &self.headers
    }

    /// Returns the path with the query, as it was sent.
    pub fn target(&self) -> String {
        match self.query.as_str() {
            "" => self.path.clone(),
            query => format!("{}?{query}", self.path),
        }
    }

    /// Returns the percent-decoded segments of the path.
    pub fn segments(&self) -> Vec<Cow<'_, str>> {
        self.path
            .trim_start_matches('/')
            .split('/')
            .map(decode)
            .collect()
    }

    /// Returns the percent-decoded remainder of the path after a prefix, or none if the path does
    /// not start with it.
    pub fn remainder(&self, prefix: &str) -> Option<Cow<'_, str>> {
        self.path.strip_prefix(prefix).map(decode)
    }

    /// Returns the body deserialized from JSON, or the reply that refuses it.
    ///
    /// # Errors
    ///
    /// A reply with status 400 if the body is not of the expected form.
    pub fn json<T: DeserializeOwned>(&self) -> Result<T, Reply> {
        serde_json::from_slice(&self.body).map_err(|error| {
            let detail = error.to_string();
            Reply::json(
                400,
                &json!({"error": {"code": "bad_request", "message": detail}}),
            )
        })
    }

    /// Returns whether the client keeps the connection open for more requests.
    pub(crate) fn keeps_alive(&self) -> bool {
        self.header("Connection")
            .is_none_or(|value| !value.eq_ignore_ascii_case("close"))
    }

    fn body_bytes(&self, reader: &mut BufReader<TcpStream>) -> io::Result<Vec<u8>> {
        let mut body = Vec::new();
        if self.header("Transfer-Encoding").is_some() {
            chunked_transfer::Decoder::new(reader)
                .take(MAX_BODY_BYTES)
                .read_to_end(&mut body)?;
            return Ok(body);
        }
        let Some(length) = self.header("Content-Length") else {
            return Ok(body);
        };
        let length: u64 = length.parse().map_err(|_| malformed("content length"))?;
        if length > MAX_BODY_BYTES {
            return Err(malformed("body too large"));
        }
        reader.take(length).read_to_end(&mut body)?;
        if body.len() as u64 != length {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        Ok(body)
    }
}

fn read_head(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Vec<u8>>> {
    let mut head = Vec::new();
    let mut limited = reader.take(MAX_HEAD_BYTES);
    loop {
        let line_start = head.len();
        let read = limited.read_until(b'\n', &mut head)?;
        if read == 0 && head.is_empty() {
            return Ok(None);
        }
        if read == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let blank = head[line_start..].trim_ascii().is_empty();
        if blank && line_start > 0 {
            return Ok(Some(head));
        }
        // A blank line before the request line is skipped.
        if blank {
            head.clear();
        }
    }
}

fn parse_head(head: &[u8], caller: Caller) -> io::Result<Request> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut parsed = httparse::Request::new(&mut headers);
    let status = parsed
        .parse(head)
        .map_err(|error| malformed(&error.to_string()))?;
    if status.is_partial() {
        return Err(malformed("head"));
    }
    let target = parsed.path.unwrap_or("/");
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    Ok(Request {
        method: parsed.method.unwrap_or_default().to_owned(),
        path: path.to_owned(),
        body: Vec::new(),
        caller,
        read_at: Instant::now(),
        query: query.to_owned(),
        headers: parsed.headers.iter().map(owned_header).collect(),
    })
}

fn owned_header(header: &httparse::Header<'_>) -> (String, String) {
    let value = String::from_utf8_lossy(header.value).into_owned();
    (header.name.to_owned(), value)
}

fn decode(text: &str) -> Cow<'_, str> {
    percent_decode_str(text).decode_utf8_lossy()
}

fn malformed(detail: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, detail)
}
