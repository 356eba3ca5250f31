//! Error type of parsing and decoding.

use thiserror::Error as ThisError;

/// Reason why bytes are not an HTTP/1.1 message that may be forwarded.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ThisError)]
pub enum Error {
    /// The head is no valid HTTP/1.x head.
    #[error("malformed head")]
    MalformedHead,
    /// The head is larger than the caller's limit or has too many fields.
    #[error("head larger than the limit")]
    HeadTooLarge,
    /// The framing of the body can be read in two ways, which would allow a second request to be
    /// smuggled in the body.
    #[error("ambiguous body length")]
    AmbiguousLength,
    /// The body is larger than the limit. Reported by the owner of the connection, not by this
    /// crate.
    #[error("body larger than the limit")]
    BodyTooLarge,
    /// The chunked framing of the body is invalid.
    #[error("malformed chunk")]
    MalformedChunk,
}

/// `Result` with this crate's [`Error`].
pub type Result<T> = std::result::Result<T, Error>;
