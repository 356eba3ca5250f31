//! Errors that the server itself responds with, and their rendering.

use thiserror::Error;

use crate::response::Response;

/// Reason for which the server itself responds to a client.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ProtocolError {
    /// The head or the body's framing is not valid HTTP/1.1.
    #[error("bad request: {0}")]
    BadRequest(String),
    /// The head is larger than the limit.
    #[error("the request's head is above {limit_bytes} bytes")]
    HeadTooLarge {
        /// Maximum size of a head.
        limit_bytes: usize,
    },
    /// The head has more header lines than the limit.
    #[error("the request has more than {limit} headers")]
    TooManyHeaders {
        /// Maximum number of header lines.
        limit: usize,
    },
    /// The body is larger than the limit.
    #[error("the request's body is above {limit_bytes} bytes")]
    BodyTooLarge {
        /// Maximum size of a body after decoding.
        limit_bytes: usize,
    },
    /// The head did not arrive before its timeout.
    #[error("the request's head did not arrive in time")]
    HeadTimeout,
    /// The body did not arrive before its timeout.
    #[error("the request's body did not arrive in time")]
    BodyTimeout,
    /// The `Expect` header asks for something that the server does not support.
    #[error("the expectation can't be met: {0}")]
    ExpectationFailed(String),
    /// All connections that the server may have open are in use.
    #[error("the server holds as many connections as it may")]
    TooManyConnections,
    /// The handler panicked or returned without a response.
    #[error("the request ended without an answer")]
    HandlerFailed,
}

impl ProtocolError {
    /// Returns the HTTP status of the error.
    pub fn status(&self) -> u16 {
        match self {
            Self::BadRequest(_) => 400,
            Self::HeadTooLarge { .. } | Self::TooManyHeaders { .. } => 431,
            Self::BodyTooLarge { .. } => 413,
            Self::HeadTimeout | Self::BodyTimeout => 408,
            Self::ExpectationFailed(_) => 417,
            Self::TooManyConnections => 503,
            Self::HandlerFailed => 500,
        }
    }
}

/// Renders protocol errors in the form of the embedding program's responses.
pub trait ErrorRenderer: Send + Sync {
    /// Returns the response for an error. It must not block, since the accepting thread calls it
    /// too.
    fn render(&self, error: &ProtocolError) -> Response;
}

/// Renders protocol errors as plain text.
#[derive(Clone, Copy, Debug, Default)]
pub struct PlainErrors;

impl ErrorRenderer for PlainErrors {
    fn render(&self, error: &ProtocolError) -> Response {
        Response::new(error.status())
            .header("Content-Type", "text/plain; charset=utf-8")
            .body(format!("{error}\n"))
    }
}
