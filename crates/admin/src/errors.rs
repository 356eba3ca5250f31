//! Errors of the operators' interface. The same type stands at both ends: the server sends it as a
//! problem document, and the client turns the document back.

use thiserror::Error;

/// `Result` is the result of the operators' interface.
pub type Result<T> = std::result::Result<T, Error>;

/// `Error` is what the operators' interface can fail with.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum Error {
    /// The daemon has not yet learned the state that the answer needs.
    #[error("not ready: {0}")]
    NotReady(String),
    /// The daemon does not know the thing asked for.
    #[error("not found: {0}")]
    NotFound(String),
    /// The request can't be understood.
    #[error("bad request: {0}")]
    BadRequest(String),
    /// The path is served, but not by this method.
    #[error("method not allowed: {0}")]
    MethodNotAllowed(String),
    /// The request's body is larger than the limit.
    #[error("body too large: {0}")]
    BodyTooLarge(String),
    /// The daemon answers as many changes at once as it may. The request did nothing.
    #[error("busy: {0}")]
    Busy(String),
    /// A fault inside the daemon.
    #[error("internal: {0}")]
    Internal(String),
    /// The daemon was not reached. The request did nothing.
    #[error("daemon not reached: {0}")]
    Unreachable(String),
    /// The daemon may have acted on the request: its answer was lost.
    #[error("outcome unknown: {0}")]
    OutcomeUnknown(String),
    /// The daemon answered with something that can't be understood.
    #[error("malformed answer: {0}")]
    Malformed(String),
    /// The address can't be listened on.
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
