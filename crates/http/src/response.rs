//! Responses and the encoding of their heads.

use std::time::SystemTime;

use http::StatusCode;

/// Status and headers of a response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ResponseHead {
    /// HTTP status code.
    pub status: u16,
    /// Headers in sending order, without those that the server adds for the framing.
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

    /// Returns whether responses with this status have no body.
    pub(crate) fn is_bodiless(&self) -> bool {
        matches!(self.status, 100..=199 | 204 | 304)
    }

    /// Encodes the head with additional framing headers.
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

/// Appends a header line. A name or value with control characters could inject a header or a
/// response, so such a header is dropped.
fn push_header(text: &mut String, name: &str, value: &str) {
    if name.chars().chain(value.chars()).any(char::is_control) {
        log::warn!("dropped a header with control characters: {name:?}");
        return;
    }
    text.push_str(name);
    text.push_str(": ");
    text.push_str(value);
    text.push_str("\r\n");
}

/// A complete response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Response {
    /// Status and headers.
    pub head: ResponseHead,
    /// Body, empty if there is none.
    pub body: Vec<u8>,
}

impl Response {
    /// Returns a response without headers and body.
    pub fn new(status: u16) -> Self {
        Self {
            head: ResponseHead::new(status),
            body: Vec::new(),
        }
    }

    /// Returns the response with one more header.
    pub fn header(mut self, name: &str, value: impl Into<String>) -> Self {
        self.head = self.head.header(name, value);
        self
    }

    /// Returns the response with a body.
    pub fn body(mut self, body: impl Into<Vec<u8>>) -> Self {
        self.body = body.into();
        self
    }
}
