//! Errors of the replay.

use std::path::PathBuf;

use thiserror::Error;

/// `Result` is the result of a step of the replay.
pub type Result<T> = std::result::Result<T, Error>;

/// `Error` is what stops the replay before or after it has run.
#[derive(Debug, Error)]
pub enum Error {
    /// A deployment's file can't be read.
    #[error("{path}: {detail}")]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// What is wrong with it.
        detail: String,
    },
    /// A key of a deployment's file is missing or has no usable value.
    #[error("[{section}] {key}: {detail}")]
    Key {
        /// The section.
        section: String,
        /// The key.
        key: String,
        /// What is wrong with it.
        detail: String,
    },
    /// No policy of this name.
    #[error("no policy is called {0}")]
    UnknownPolicy(String),
    /// A result can't be written.
    #[error("can't write the results: {0}")]
    Unwritable(String),
}

impl Error {
    /// Returns an [`Error::Key`].
    pub fn key(section: &str, key: &str, detail: impl Into<String>) -> Self {
        Self::Key {
            section: section.to_owned(),
            key: key.to_owned(),
            detail: detail.into(),
        }
    }
}
