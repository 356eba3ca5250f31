//! Answers, and how their heads are written.

use std::time::SystemTime;

use http::StatusCode;

/// `ResponseHead` is the status and the headers of an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ResponseHead {
    /// The status.
    pub status: u16,
    /// The headers, without those of the framing.
    pub headers: Vec<(String, String)>,
}

impl ResponseHead {
    /// Returns a head without headers.
    pub fn new(status: u16) -> Self {
        Self {
            status,
            headers: Vec::new(),
        }
    }

    /// Returns the head with one more header.
    pub fn header(mut self, name: &str, value: impl Into<String>) -> Self {
        self.headers.push((name.to_owned(), value.into()));
        self
    }

    /// Returns whether answers of this status have no body.
    pub(crate) fn is_bodiless(&self) -> bool {
        matches!(self.status, 100..=199 | 204 | 304)
    }

    /// Returns the head as it is sent, with the given framing headers.
    pub(crate) fn encode(&self, framing: &[(&str, String)]) -> Vec<u8> {
        let phrase = StatusCode::from_u16(self.status)
            .ok()
            .and_then(|status| status.canonical_reason())
            .unwrap_or("");
        let mut text = format!("HTTP/1.1 {} {phrase}\r\n", self.status);
        push_header(
            &mut text,
            "Date",
            &httpdate::fmt_http_date(SystemTime::now()),
        );
        for (name, value) in &self.headers {
            push_header(&mut text, name, value);
        }
        for (name, value) in framing {
            push_header(&mut text, name, value);
        }
        text.push_str("\r\n");
        text.into_bytes()
    }
}

/// Adds a header line. A name or value with control characters could start a header or an answer
/// of its own in the client's eyes, so such a header is left out.
fn push_header(text: &mut String, name: &str, value: &str) {
    if name.chars().chain(value.chars()).any(char::is_control) {
        log::warn!("left out a header with control characters: {name:?}");
        return;
    }
    text.push_str(name);
    text.push_str(": ");
    text.push_str(value);
    text.push_str("\r\n");
}

/// `Response` is one whole answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Response {
    /// The status and the headers.
    pub head: ResponseHead,
    /// The body.
    pub body: Vec<u8>,
}

impl Response {
    /// Returns an answer without headers and body.
    pub fn new(status: u16) -> Self {
        Self {
            head: ResponseHead::new(status),
            body: Vec::new(),
        }
    }

    /// Returns the answer with one more header.
    pub fn header(mut self, name: &str, value: impl Into<String>) -> Self {
        self.head = self.head.header(name, value);
        self
    }

    /// Returns the answer with a body.
    pub fn body(mut self, body: impl Into<Vec<u8>>) -> Self {
        self.body = body.into();
        self
    }
}
