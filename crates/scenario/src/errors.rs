//! Errors of reading and running scenarios.

use thiserror::Error;

use crate::ast::Position;

/// `Result` is the result of reading or running a scenario.
pub type Result<T> = std::result::Result<T, Error>;

/// `Error` is what reading or running a scenario can fail with.
#[derive(Debug, Error)]
pub enum Error {
    /// The text is no scenario. The message shows the line and the column.
    #[error("{0}")]
    Syntax(String),
    /// A statement is of the right form but makes no sense where it stands.
    #[error("line {}, column {}: {detail}", position.line, position.column)]
    Meaning {
        /// Where.
        position: Position,
        /// Why.
        detail: String,
    },
    /// A step did not come out as the scenario tells.
    #[error("{0}")]
    Failed(String),
    /// A process or a stand-in could not be driven.
    #[error("{0}")]
    Launcher(#[from] apricotdale_launcher::Error),
    /// A daemon's operators' interface failed.
    #[error("operators' interface: {0}")]
    Admin(#[from] apricotdale_admin::Error),
    /// A file could not be read.
    #[error("input or output: {0}")]
    Io(#[from] std::io::Error),
}

impl Error {
    /// Returns an [`Error::Meaning`].
    pub fn meaning(position: Position, detail: impl Into<String>) -> Self {
        Self::Meaning {
            position,
            detail: detail.into(),
        }
    }

    /// Returns an [`Error::Failed`].
    pub fn failed(detail: impl Into<String>) -> Self {
        Self::Failed(detail.into())
    }
}
