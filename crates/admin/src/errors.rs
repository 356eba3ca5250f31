//! Errors of the operators' interface. The server and the client share them: the server sends an
//! error as a problem document, which the client converts back.

use thiserror::Error;

/// Result of a call of the operators' interface.
pub type Result<T> = std::result::Result<T, Error>;

/// Error of a call of the operators' interface, with a detail for the operator.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum Error {
    /// The daemon has not replayed the state yet that the answer needs.
    #[error("not ready: {0}")]
    NotReady(String),
    /// The daemon has no such path or request.
    #[error("not found: {0}")]
    NotFound(String),
    /// The request is not valid.
    #[error("bad request: {0}")]
    BadRequest(String),
    /// The path exists, but not for this HTTP method.
    #[error("method not allowed: {0}")]
    MethodNotAllowed(String),
    /// The request body is larger than [`ServerOptions`](crate::ServerOptions) allow.
    #[error("body too large: {0}")]
    BodyTooLarge(String),
    /// As many changes as allowed wait for the log already. The request had no effect.
    #[error("busy: {0}")]
    Busy(String),
    /// The daemon failed in a way that has no code of its own.
    #[error("internal: {0}")]
    Internal(String),
    /// The daemon can't be reached. The request had no effect.
    #[error("daemon not reached: {0}")]
    Unreachable(String),
    /// The answer was lost, so the request may have had its effect.
    #[error("outcome unknown: {0}")]
    OutcomeUnknown(String),
    /// The answer is not what the operators' interface sends.
    #[error("malformed answer: {0}")]
    Malformed(String),
    /// The server can't listen on its address.
    #[error("cannot listen: {0}")]
    Listen(String),
}

impl Error {
    /// Returns an [`Error::NotReady`].
    pub fn not_ready(detail: impl Into<String>) -> Self {
        Self::NotReady(detail.into())
    }

    /// Returns an [`Error::NotFound`].
    pub fn not_found(detail: impl Into<String>) -> Self {
        Self::NotFound(detail.into())
    }

    /// Returns an [`Error::BadRequest`].
    pub fn bad_request(detail: impl Into<String>) -> Self {
        Self::BadRequest(detail.into())
    }

    /// Returns an [`Error::Malformed`].
    pub fn malformed(detail: impl Into<String>) -> Self {
        Self::Malformed(detail.into())
    }
}
