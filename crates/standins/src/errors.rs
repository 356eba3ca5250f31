//! Errors at the start of a stand-in.

use std::path::Path;
use std::path::PathBuf;

use thiserror::Error;

/// Result of starting a stand-in.
pub type Result<T> = std::result::Result<T, Error>;

/// Reason why a stand-in could not start.
#[derive(Debug, Error)]
pub enum Error {
    /// The server could not listen on its address.
    #[error("can't listen: {0}")]
    Listen(#[from] std::io::Error),
    /// A file could not be read.
    #[error("can't read {path}: {cause}")]
    File {
        /// Path of the file.
        path: PathBuf,
        /// Error of the read.
        cause: std::io::Error,
    },
    /// A line of the file of models is not a name followed by a number of bytes.
    #[error("{path}, line {line}: expected a name and a number of bytes")]
    ModelLine {
        /// Path of the file of models.
        path: PathBuf,
        /// Line number, from one.
        line: usize,
    },
}

impl Error {
    /// Returns an [`Error::File`].
    pub fn file(path: &Path, cause: std::io::Error) -> Self {
        let path = path.to_owned();
        Self::File { path, cause }
    }

    /// Returns an [`Error::ModelLine`].
    pub fn model_line(path: &Path, line: usize) -> Self {
        let path = path.to_owned();
        Self::ModelLine { path, line }
    }
}
