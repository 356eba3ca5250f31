//! Errors of starting the logs.

use thiserror::Error;

/// `Result` is the result of starting the logs.
pub type Result<T> = std::result::Result<T, Error>;

/// `Error` is what starting the logs can fail with.
#[derive(Debug, Error)]
pub enum Error {
    /// The log file can't be opened.
    #[error("the log file can't be opened: {0}")]
    Open(#[source] std::io::Error),
    /// The thread that writes the lines can't be started.
    #[error("the log's thread can't be started: {0}")]
    Thread(#[source] std::io::Error),
    /// A logger has been installed before.
    #[error("a logger is installed already")]
    Installed(#[source] log::SetLoggerError),
}
