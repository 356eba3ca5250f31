//! Errors of a measurement.

use thiserror::Error;

/// `Result` is the result of a measurement.
pub type Result<T> = std::result::Result<T, Error>;

/// `Error` is why a measurement could not be made.
#[derive(Debug, Error)]
pub enum Error {
    /// The processes could not be started or steered.
    #[error(transparent)]
    Launcher(#[from] apricotdale_launcher::Error),
    /// The system's accounts of a process can't be read.
    #[error("reading the system's accounts: {0}")]
    Accounts(#[from] procfs::ProcError),
    /// Something did not come within its limit.
    #[error("{0}")]
    Failed(String),
}

impl Error {
    /// Returns an [`Error::Failed`].
    pub fn failed(detail: impl Into<String>) -> Self {
        Self::Failed(detail.into())
    }
}
