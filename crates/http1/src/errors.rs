//! Errors of HTTP/1.1 messages.

use thiserror::Error as ThisError;

/// `Error` is why bytes are not an HTTP/1.1 message that may be passed on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ThisError)]
pub enum Error {
    /// The head is not one of HTTP/1.1.
    #[error("malformed head")]
    MalformedHead,
    /// The head is larger than the limit.
    #[error("head larger than the limit")]
    HeadTooLarge,
    /// The length of the body can be read in two ways, which would let a second request be hidden
    /// in the body.
    #[error("ambiguous body length")]
    AmbiguousLength,
    /// The body is larger than the limit.
    #[error("body larger than the limit")]
    BodyTooLarge,
    /// The body's framing is broken.
    #[error("malformed chunk")]
    MalformedChunk,
}

/// `Result` with this crate's [`Error`].
pub type Result<T> = std::result::Result<T, Error>;
