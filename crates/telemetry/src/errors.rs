//! Errors of opening and installing the log.

use thiserror::Error;

/// Result of opening or installing the log.
pub type Result<T> = std::result::Result<T, Error>;

/// Reason why the log could not be opened or installed.
#[derive(Debug, Error)]
pub enum Error {
    /// The log file can't be opened for appending.
    #[error("can't open the log file: {0}")]
    Open(#[source] std::io::Error),
    /// The thread that writes the log lines can't be started.
    #[error("can't start the thread that writes the log: {0}")]
    Thread(#[source] std::io::Error),
    /// The program has a logger already; a process can install only one.
    #[error("a logger is already installed")]
    Installed(#[source] log::SetLoggerError),
}
