//! Errors of this crate.

use thiserror::Error;

/// `Result` is the result of a fallible function of this crate.
pub type Result<T> = std::result::Result<T, Error>;

/// `Error` is what decoding a snapshot can fail with.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum Error {
    /// The bytes are no snapshot, or a damaged one.
    #[error("malformed snapshot: {0}")]
    Malformed(String),
    /// The snapshot was written in a format that this program doesn't know.
    #[error("snapshot format {found} is not supported")]
    UnsupportedFormat {
        /// The format found.
        found: u32,
    },
}

impl Error {
    /// Returns an [`Error::Malformed`].
    pub fn malformed(detail: impl Into<String>) -> Self {
        Self::Malformed(detail.into())
    }
}
