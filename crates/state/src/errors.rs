//! Errors of decoding snapshots.

use thiserror::Error;

/// Result of decoding a snapshot or a part of one.
pub type Result<T> = std::result::Result<T, Error>;

/// Error of decoding a snapshot or a part of one.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum Error {
    /// The bytes are not a snapshot, or are damaged. The text says what is wrong.
    #[error("malformed snapshot: {0}")]
    Malformed(String),
    /// The snapshot has a format that this program does not support.
    #[error("snapshot format {found} is not supported")]
    UnsupportedFormat {
        /// Format number in the snapshot.
        found: u32,
    },
}

impl Error {
    /// Returns an [`Error::Malformed`].
    pub fn malformed(detail: impl Into<String>) -> Self {
        Self::Malformed(detail.into())
    }
}
