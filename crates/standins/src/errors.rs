//! Errors at the start of a stand-in.

use std::path::Path;
use std::path::PathBuf;

use thiserror::Error;

/// `Result` is the result of starting a stand-in.
pub type Result<T> = std::result::Result<T, Error>;

/// `Error` is why a stand-in could not be started.
#[derive(Debug, Error)]
pub enum Error {
    /// The address could not be listened on.
    #[error("can't listen: {0}")]
    Listen(#[from] std::io::Error),
    /// A file could not be read.
    #[error("can't read {path}: {cause}")]
    File {
        /// The file.
        path: PathBuf,
        /// Why.
        cause: std::io::Error,
    },
    /// A line of a file of models is not `name bytes`.
    #[error("{path}, line {line}: expected a name and a number of bytes")]
    ModelLine {
        /// The file.
        path: PathBuf,
        /// The line, from one.
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
