//! Errors of a measurement.

use thiserror::Error;

/// Result of a measurement step.
pub type Result<T> = std::result::Result<T, Error>;

/// Reason why a measurement could not be made.
#[derive(Debug, Error)]
pub enum Error {
    /// A process could not be started, stopped or reached through the launcher.
    #[error(transparent)]
    Launcher(#[from] apricotdale_launcher::Error),
    /// The statistics that the kernel keeps in `/proc` can't be read, for instance because the
    /// process has ended.
    #[error("reading process and system statistics: {0}")]
    Statistics(#[from] procfs::ProcError),
    /// A step of the measurement failed; the text says which one and why.
    #[error("{0}")]
    Failed(String),
}

impl Error {
    /// Returns an [`Error::Failed`] with the given text.
    pub fn failed(detail: impl Into<String>) -> Self {
        Self::Failed(detail.into())
    }
}
