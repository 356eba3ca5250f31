//! Errors of starting, signalling and querying processes.

use std::path::PathBuf;

use thiserror::Error;

/// Result of starting, signalling or querying a process.
pub type Result<T> = std::result::Result<T, Error>;

/// Reason for which a process can't be started, signalled or queried.
#[derive(Debug, Error)]
pub enum Error {
    /// A program is not in the directory of the running one, where `make build` puts all of them.
    #[error("program {0} is missing; run `make build` first")]
    MissingProgram(PathBuf),
    /// A process did not print its ready line or did not become ready.
    #[error("{name} did not become ready: {detail}; its log:\n{log}")]
    NotReady {
        /// Name of the process.
        name: String,
        /// What happened instead, as a phrase.
        detail: String,
        /// Last lines of its output.
        log: String,
    },
    /// The process with this name is not running.
    #[error("{0} is not running")]
    NotRunning(String),
    /// No process or upstream has this name.
    #[error("there is no {0}")]
    UnknownName(String),
    /// A condition, described by this text, did not hold within its number of polls or its timeout.
    #[error("timed out waiting until {0}")]
    PollLimitReached(String),
    /// A stand-in or a daemon refused a request or could not be reached, or another operation of
    /// the launcher failed.
    #[error("{action} failed: {detail}")]
    Failed {
        /// Operation that failed.
        action: String,
        /// Reason of the failure.
        detail: String,
    },
    /// A signal could not be sent.
    #[error("signal: {0}")]
    Signal(#[from] nix::errno::Errno),
    /// An operation on a file, pipe or socket failed.
    #[error("input or output: {0}")]
    Io(#[from] std::io::Error),
}

impl Error {
    /// Returns an [`Error::Failed`] for an operation.
    pub fn failed(action: impl Into<String>, detail: impl ToString) -> Self {
        Self::Failed {
            action: action.into(),
            detail: detail.to_string(),
        }
    }
}
