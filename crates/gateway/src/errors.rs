//! Errors of starting a gateway.

use thiserror::Error;

/// Result of starting a gateway.
pub type Result<T> = std::result::Result<T, Error>;

/// Error of starting a gateway. A request never fails with an error: it is answered or refused.
#[derive(Debug, Error)]
pub enum Error {
    /// The watcher of callers' connections could not be started.
    #[error(transparent)]
    Http(#[from] apricotdale_http::Error),
    /// A thread could not be started.
    #[error("start a thread: {0}")]
    Thread(#[from] std::io::Error),
}
