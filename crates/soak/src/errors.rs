//! Errors that keep a soak from running. A violated invariant is no error but a
//! [`crate::Violation`].

use std::io;
use std::path::PathBuf;

use thiserror::Error as ThisError;

/// Reason for which a soak could not be carried out.
#[derive(Debug, ThisError)]
pub enum Error {
    /// The program of the entry VMs is neither beside the running program nor one directory above.
    #[error("program {0} is missing; run `make build` first")]
    MissingProgram(PathBuf),
    /// An operation on a process, socket or file failed.
    #[error("{action}: {source}")]
    Io {
        /// Operation that failed, as a gerund phrase for the message.
        action: &'static str,
        /// Error of the operating system.
        source: io::Error,
    },
    /// Some VM was not ready for callers within this many milliseconds of the start.
    #[error("the VMs did not get ready within {0} ms")]
    NotReady(u64),
}

impl Error {
    /// Returns a function that wraps an I/O error with the operation that it interrupted.
    pub(crate) fn io_while(action: &'static str) -> impl Fn(io::Error) -> Self {
        move |source| Self::Io { action, source }
    }
}

/// Result of an operation that fails with this crate's [`Error`].
pub type Result<T> = std::result::Result<T, Error>;
