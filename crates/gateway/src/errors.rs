//! Errors of starting a gateway.

use thiserror::Error;

/// `Result` is the result of this crate's calls.
pub type Result<T> = std::result::Result<T, Error>;

/// `Error` is what starting a gateway can fail with. What becomes of a request is no error but a
/// refusal.
#[derive(Debug, Error)]
pub enum Error {
    /// The watch on callers' connections could not be started.
    #[error(transparent)]
    Http(#[from] apricotdale_http::Error),
    /// A thread could not be started.
    #[error("start a thread: {0}")]
    Thread(#[from] std::io::Error),
}
