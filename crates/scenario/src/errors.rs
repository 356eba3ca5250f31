//! Errors of parsing, checking and running scenarios.

use thiserror::Error;

use crate::ast::Position;

/// Result of parsing, checking or running a scenario.
pub type Result<T> = std::result::Result<T, Error>;

/// Reason for which a scenario can't be parsed or checked, or a step of it fails.
#[derive(Debug, Error)]
pub enum Error {
    /// The text does not follow the grammar. The message shows the line and the column.
    #[error("{0}")]
    Syntax(String),
    /// A statement follows the grammar but is invalid where it stands, for example because it names
    /// an unknown process.
    #[error("line {}, column {}: {detail}", position.line, position.column)]
    Meaning {
        /// Start of the statement or the word.
        position: Position,
        /// Why the statement is invalid, as a sentence without a full stop.
        detail: String,
    },
    /// A step had another result than the scenario demands.
    #[error("{0}")]
    Failed(String),
    /// The launcher could not start, signal or query a process or a stand-in.
    #[error("{0}")]
    Launcher(#[from] apricotdale_launcher::Error),
    /// A request to a daemon's admin interface failed.
    #[error("admin interface: {0}")]
    Admin(#[from] apricotdale_admin::Error),
    /// A file could not be read, or the transcript could not be written.
    #[error("input or output: {0}")]
    Io(#[from] std::io::Error),
}

impl Error {
    /// Returns an [`Error::Meaning`] for the statement at a position.
    pub fn meaning(position: Position, detail: impl Into<String>) -> Self {
        Self::Meaning {
            position,
            detail: detail.into(),
        }
    }

    /// Returns an [`Error::Failed`] with the result that was found.
    pub fn failed(detail: impl Into<String>) -> Self {
        Self::Failed(detail.into())
    }
}
