//! Errors of the slope measurements.

use thiserror::Error;

/// Result of a measurement step.
pub type Result<T> = std::result::Result<T, Error>;

/// Reason why a measurement failed.
#[derive(Debug, Error)]
pub enum Error {
    /// The command line names a part that the catalogue does not have.
    #[error("unknown part {name}; the parts are: {known}")]
    UnknownPart {
        /// Name on the command line.
        name: String,
        /// Names of all parts, separated by commas.
        known: String,
    },
    /// A slope was measured at fewer than two different sizes, through which no line can be fitted.
    #[error("{0} was measured at fewer than two different sizes")]
    TooFewPoints(&'static str),
    /// A file or socket failed.
    #[error("file or socket: {0}")]
    System(#[from] std::io::Error),
    /// The memory of the process can't be read from `/proc`.
    #[error("memory: {0}")]
    Memory(#[from] procfs::ProcError),
    /// The link or server for peer messages could not be started.
    #[error("peers: {0}")]
    Peers(#[from] apricotdale_peer::Error),
    /// A policy could not be created.
    #[error("policy: {0}")]
    Policy(String),
    /// A measured call failed.
    #[error("call: {0}")]
    Call(#[from] apricotdale_core::Error),
    /// The CSV table could not be written.
    #[error("table: {0}")]
    Table(#[from] csv::Error),
}

impl Error {
    /// Returns an [`Error::Policy`] with the text of `source`.
    pub(crate) fn policy(source: impl std::fmt::Display) -> Self {
        Self::Policy(source.to_string())
    }
}
