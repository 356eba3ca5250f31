//! Errors of the replay.

use std::path::PathBuf;

use thiserror::Error;

/// Result of a step of the replay.
pub type Result<T> = std::result::Result<T, Error>;

/// Reason why the replay could not run or its results could not be written.
#[derive(Debug, Error)]
pub enum Error {
    /// The file of a deployment or its folder can't be read or parsed.
    #[error("{path}: {detail}")]
    Unreadable {
        /// Path of the file or folder.
        path: PathBuf,
        /// Error of reading or parsing.
        detail: String,
    },
    /// A key in the file of a deployment is missing, or its value is invalid.
    #[error("[{section}] {key}: {detail}")]
    Key {
        /// Section of the key.
        section: String,
        /// Name of the key.
        key: String,
        /// Reason why the value can't be used.
        detail: String,
    },
    /// No policy is registered under this name.
    #[error("unknown policy {0}")]
    UnknownPolicy(String),
    /// The results can't be written; holds the error.
    #[error("can't write the results: {0}")]
    Unwritable(String),
}

impl Error {
    /// Returns an [`Error::Key`] for a key of a section.
    pub fn key(section: &str, key: &str, detail: impl Into<String>) -> Self {
        Self::Key {
            section: section.to_owned(),
            key: key.to_owned(),
            detail: detail.into(),
        }
    }
}
