//! Request heads: search for their end, parsing, framing of the body.

use crate::options::Options;
use crate::protocol::ProtocolError;

/// How a request's body is delimited.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Framing {
    /// The body has this number of bytes.
    Length(usize),
    /// The body is sent in chunks.
    Chunked,
}

/// Request line and headers of a request, as parsed and without a decoded target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Head {
    pub(crate) method: String,
    pub(crate) target: String,
    pub(crate) is_http_10: bool,
    pub(crate) headers: Vec<(String, String)>,
}

/// Finds the end of a head in a growing buffer. Each byte is scanned only once, so a head that
/// arrives byte by byte costs no more than one that arrives at once.
#[derive(Default)]
pub(crate) struct HeadEndFinder {
    scanned: usize,
}

impl HeadEndFinder {
    /// Returns whether nothing was scanned yet.
    pub(crate) fn is_fresh(&self) -> bool {
        self.scanned == 0
    }

    /// Returns the length of the head including the empty line, if the buffer contains all of it.
    pub(crate) fn find(&mut self, buffer: &[u8]) -> Option<usize> {
        while let Some(found) = buffer[self.scanned..]
            .iter()
            .position(|byte| *byte == b'\n')
        {
            let line_end = self.scanned + found;
            match &buffer[line_end + 1..] {
                [b'\n', ..] => return Some(line_end + 2),
                [b'\r', b'\n', ..] => return Some(line_end + 3),
                [] | [b'\r'] => {
                    self.scanned = line_end;
                    return None;
                }
                _ => self.scanned = line_end + 1,
            }
        }
        self.scanned = buffer.len();
        None
    }
}

/// Returns the number of bytes of line ends before the request line, which clients may send.
pub(crate) fn leading_line_ends(buffer: &[u8]) -> usize {
    buffer
        .iter()
        .take_while(|byte| matches!(byte, b'\r' | b'\n'))
        .count()
}

impl Head {
    /// Parses the bytes of a complete head.
    pub(crate) fn parse(bytes: &[u8], options: &Options) -> Result<Self, ProtocolError> {
        let mut lines = vec![httparse::EMPTY_HEADER; options.max_header_count];
        let mut parsed = httparse::Request::new(&mut lines);
        match parsed.parse(bytes) {
            Ok(httparse::Status::Complete(_)) => {}
            Ok(httparse::Status::Partial) => return Err(bad("the head is not complete")),
            Err(httparse::Error::TooManyHeaders) => {
                return Err(ProtocolError::TooManyHeaders {
                    limit: options.max_header_count,
                });
            }
            Err(error) => return Err(bad(error.to_string())),
        }
        let head = Self {
            method: parsed.method.unwrap_or_default().to_owned(),
            target: parsed.path.unwrap_or_default().to_owned(),
            is_http_10: parsed.version == Some(0),
            headers: parsed
                .headers
                .iter()
                .map(owned_header)
                .collect::<Result<_, _>>()?,
        };
        head.check_host()?;
        Ok(head)
    }

    /// Returns every value of a header. The name is compared without regard to case.
    pub(crate) fn values<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a str> {
        self.headers
            .iter()
            .filter(move |(known, _)| known.eq_ignore_ascii_case(name))
            .map(|(_, value)| value.as_str())
    }

    /// Returns how the body is delimited.
    ///
    /// A load balancer may interpret a head with both a length and a coding, or with two lengths,
    /// in another way. The remainder of the body would then be taken for another caller's request.
    /// Such heads are rejected.
    pub(crate) fn framing(&self) -> Result<Framing, ProtocolError> {
        let lengths: Vec<&str> = self.values("content-length").collect();
        let codings: Vec<&str> = self.values("transfer-encoding").collect();
        match (lengths.as_slice(), codings.as_slice()) {
            ([], []) => Ok(Framing::Length(0)),
            ([length], []) => parse_length(length).map(Framing::Length),
            ([], [coding]) if self.is_http_10 => Err(bad(format!("HTTP/1.0 with {coding:?}"))),
            ([], [coding]) if coding.eq_ignore_ascii_case("chunked") => Ok(Framing::Chunked),
            ([], _) => Err(bad("the transfer encoding is not supported")),
            (_, []) => Err(bad("more than one content length")),
            _ => Err(bad("both a content length and a transfer encoding")),
        }
    }

    /// Returns whether the client allows the connection to be reused.
    pub(crate) fn keeps_alive(&self) -> bool {
        let has_token = |word: &str| {
            self.values("connection")
                .flat_map(|value| value.split(','))
                .any(|token| token.trim().eq_ignore_ascii_case(word))
        };
        match self.is_http_10 {
            true => has_token("keep-alive") && !has_token("close"),
            false => !has_token("close"),
        }
    }

    /// Returns whether the client waits for `100 Continue` before it sends the body.
    pub(crate) fn expects_continue(&self) -> Result<bool, ProtocolError> {
        match self.values("expect").next() {
            None => Ok(false),
            Some(_) if self.is_http_10 => Ok(false),
            Some(value) if value.eq_ignore_ascii_case("100-continue") => Ok(true),
            Some(value) => Err(ProtocolError::ExpectationFailed(value.to_owned())),
        }
    }

    fn check_host(&self) -> Result<(), ProtocolError> {
        match self.values("host").count() {
            1 => Ok(()),
            0 if self.is_http_10 => Ok(()),
            0 => Err(bad("no host header")),
            _ => Err(bad("more than one host header")),
        }
    }
}

fn owned_header(header: &httparse::Header<'_>) -> Result<(String, String), ProtocolError> {
    let value = std::str::from_utf8(header.value)
        .map_err(|_| bad(format!("header {} is not UTF-8", header.name)))?;
    Ok((header.name.to_owned(), value.trim().to_owned()))
}

fn parse_length(text: &str) -> Result<usize, ProtocolError> {
    let digits = !text.is_empty() && text.bytes().all(|byte| byte.is_ascii_digit());
    match text.parse() {
        Ok(length) if digits => Ok(length),
        _ => Err(bad("the content length is not a number")),
    }
}

fn bad(detail: impl Into<String>) -> ProtocolError {
    ProtocolError::BadRequest(detail.into())
}
