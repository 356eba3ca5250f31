//! Errors of the protocol and how they are rendered.

use thiserror::Error;

use crate::response::Response;

/// `ProtocolError` is a reason for which the server itself answers a client.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ProtocolError {
    /// The head or the body's framing is not valid HTTP/1.1.
    #[error("bad request: {0}")]
    BadRequest(String),
    /// The head is larger than the limit.
    #[error("the request's head is above {limit_bytes} bytes")]
    HeadTooLarge {
        /// The limit.
        limit_bytes: usize,
    },
    /// The head has more lines than the limit.
    #[error("the request has more than {limit} headers")]
    TooManyHeaders {
        /// The limit.
        limit: usize,
    },
    /// The body is larger than the limit.
    #[error("the request's body is above {limit_bytes} bytes")]
    BodyTooLarge {
        /// The limit.
        limit_bytes: usize,
    },
    /// The head did not arrive in time.
    #[error("the request's head did not arrive in time")]
    HeadTimeout,
    /// The body did not arrive in time.
    #[error("the request's body did not arrive in time")]
    BodyTimeout,
    /// The client expects something that the server does not offer.
    #[error("the expectation can't be met: {0}")]
    ExpectationFailed(String),
    /// The server holds as many connections as it may.
    #[error("the server holds as many connections as it may")]
    TooManyConnections,
    /// The handler ended without an answer.
    #[error("the request ended without an answer")]
    HandlerFailed,
}

impl ProtocolError {
    /// Returns the HTTP status that fits the error.
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

/// `ErrorRenderer` renders protocol errors in the form that the embedding program answers with.
pub trait ErrorRenderer: Send + Sync {
    /// Returns the answer to a client. It must return at once, since the accepting thread calls
    /// it too.
    fn render(&self, error: &ProtocolError) -> Response;
}

/// `PlainErrors` renders protocol errors as plain text.
#[derive(Clone, Copy, Debug, Default)]
pub struct PlainErrors;

impl ErrorRenderer for PlainErrors {
    fn render(&self, error: &ProtocolError) -> Response {
        Response::new(error.status())
            .header("Content-Type", "text/plain; charset=utf-8")
            .body(format!("{error}\n"))
    }
}
