//! Errors of the server and of sending responses.

use std::io;

use thiserror::Error;

/// Result of the fallible calls of this crate.
pub type Result<T> = std::result::Result<T, Error>;

/// Error of the server or of sending a response.
#[derive(Debug, Error)]
pub enum Error {
    /// The client closed its connection, or the connection broke.
    #[error("the client is gone: {0}")]
    ClientGone(io::Error),
    /// The client did not accept a piece of the response within the write timeout.
    #[error("the client did not take the answer in time")]
    WriteTimeout,
    /// The system refused a socket, a thread or a wait.
    #[error("{action}: {source}")]
    System {
        /// Action that failed, as a phrase for the message.
        action: &'static str,
        /// Error of the system.
        source: io::Error,
    },
}

impl Error {
    /// Returns an [`Error::System`] for an action.
    pub(crate) fn system(action: &'static str, source: impl Into<io::Error>) -> Self {
        Self::System {
            action,
            source: source.into(),
        }
    }
}
