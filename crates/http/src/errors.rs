//! Errors of the server and of answers.

use std::io;

use thiserror::Error;

/// `Result` is the result of this crate's calls.
pub type Result<T> = std::result::Result<T, Error>;

/// `Error` is what the server or an answer can fail with.
#[derive(Debug, Error)]
pub enum Error {
    /// The client closed its connection or it broke.
    #[error("the client is gone: {0}")]
    ClientGone(io::Error),
    /// The client did not take a piece of the answer within the write timeout.
    #[error("the client did not take the answer in time")]
    WriteTimeout,
    /// The system refused a socket, a thread or a wait.
    #[error("{action}: {source}")]
    System {
        /// What was attempted.
        action: &'static str,
        /// Why it failed.
        source: io::Error,
    },
}

impl Error {
    /// Returns an [`Error::System`].
    pub(crate) fn system(action: &'static str, source: impl Into<io::Error>) -> Self {
        Self::System {
            action,
            source: source.into(),
        }
    }
}
