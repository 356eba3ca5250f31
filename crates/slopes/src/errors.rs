//! Errors of measuring.

use thiserror::Error;

/// `Result` is the result of measuring.
pub type Result<T> = std::result::Result<T, Error>;

/// `Error` is what measuring can fail with.
#[derive(Debug, Error)]
pub enum Error {
    /// No part has this name.
    #[error("no part is called {name}; there are: {known}")]
    UnknownPart {
        /// The name.
        name: String,
        /// The names that are known.
        known: String,
    },
    /// A line needs at least two different sizes.
    #[error("{0} was measured at fewer than two sizes")]
    TooFewPoints(&'static str),
    /// The system's accounts or a socket failed.
    #[error("system: {0}")]
    System(#[from] std::io::Error),
    /// The process's memory could not be read.
    #[error("memory: {0}")]
    Memory(#[from] procfs::ProcError),
    /// Peers could not be set up.
    #[error("peers: {0}")]
    Peers(#[from] apricotdale_peer::Error),
    /// A policy could not be built.
    #[error("policy: {0}")]
    Policy(String),
    /// A call that is measured failed.
    #[error("call: {0}")]
    Call(#[from] apricotdale_core::Error),
    /// The table could not be written.
    #[error("table: {0}")]
    Table(#[from] csv::Error),
}

impl Error {
    /// Returns an [`Error::Policy`].
    pub(crate) fn policy(source: impl std::fmt::Display) -> Self {
        Self::Policy(source.to_string())
    }
}
