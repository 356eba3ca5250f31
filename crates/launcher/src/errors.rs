//! Errors of starting and driving processes.

use std::path::PathBuf;

use thiserror::Error;

/// `Result` is the result of starting or driving a process.
pub type Result<T> = std::result::Result<T, Error>;

/// `Error` is what starting or driving processes can fail with.
#[derive(Debug, Error)]
pub enum Error {
    /// A program is not beside the running one. `make build` puts all of them there.
    #[error("program {0} is missing; run `make build` first")]
    MissingProgram(PathBuf),
    /// A process did not print its ready line.
    #[error("{name} did not get ready: {detail}; its log:\n{log}")]
    NotReady {
        /// The process.
        name: String,
        /// What came instead.
        detail: String,
        /// The end of its standard error.
        log: String,
    },
    /// A process is not running.
    #[error("{0} is not running")]
    NotRunning(String),
    /// No process or upstream has the name.
    #[error("there is no {0}")]
    UnknownName(String),
    /// A condition did not come true within its limit.
    #[error("gave up waiting until {0}")]
    PollLimitReached(String),
    /// A stand-in, an admin address or `apricotctl` refused or could not be reached.
    #[error("{action} failed: {detail}")]
    Failed {
        /// What was tried.
        action: String,
        /// Why it failed.
        detail: String,
    },
    /// A signal could not be sent.
    #[error("signal: {0}")]
    Signal(#[from] nix::errno::Errno),
    /// A file, pipe or socket failed.
    #[error("input or output: {0}")]
    Io(#[from] std::io::Error),
}

impl Error {
    /// Returns an [`Error::Failed`].
    pub fn failed(action: impl Into<String>, detail: impl ToString) -> Self {
        Self::Failed {
            action: action.into(),
            detail: detail.to_string(),
        }
    }
}
