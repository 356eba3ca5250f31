//! Errors of the soak itself. Broken promises are no errors but [`crate::Violation`]s.

use std::io;
use std::path::PathBuf;

use thiserror::Error as ThisError;

/// `Error` is why a soak could not be carried out.
#[derive(Debug, ThisError)]
pub enum Error {
    /// The VMs' program is not beside the running one.
    #[error("program {0} is missing; run `make build` first")]
    MissingProgram(PathBuf),
    /// A process, socket or file failed.
    #[error("{action}: {source}")]
    Io {
        /// What was tried.
        action: &'static str,
        /// Why it failed.
        source: io::Error,
    },
    /// No VM took callers in time.
    #[error("the VMs did not get ready within {0} ms")]
    NotReady(u64),
}

impl Error {
    /// Returns a function that says what an input or output error stopped.
    pub(crate) fn io_while(action: &'static str) -> impl Fn(io::Error) -> Self {
        move |source| Self::Io { action, source }
    }
}

/// `Result` with this crate's [`Error`].
pub type Result<T> = std::result::Result<T, Error>;
