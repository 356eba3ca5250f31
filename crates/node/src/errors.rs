//! Errors of the daemon's start.

use std::net::SocketAddr;

use thiserror::Error;

/// `Result` is the result of starting the daemon.
pub type Result<T> = std::result::Result<T, Error>;

/// `Error` is why the daemon can't start.
#[derive(Debug, Error)]
pub enum Error {
    /// An address can't be listened on.
    #[error("cannot listen on {address}: {detail}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// What the system said.
        detail: String,
    },
    /// The settings name a policy that is not there.
    #[error("unknown policy: {0}")]
    UnknownPolicy(String),
    /// The system refused a thread, a descriptor or a signal handler.
    #[error("the system refused: {0}")]
    System(String),
}

impl Error {
    /// Returns an [`Error::Listen`].
    pub fn listen(address: SocketAddr, detail: impl ToString) -> Self {
        Self::Listen {
            address,
            detail: detail.to_string(),
        }
    }

    /// Returns an [`Error::UnknownPolicy`].
    pub fn unknown_policy(detail: impl ToString) -> Self {
        Self::UnknownPolicy(detail.to_string())
    }

    /// Returns an [`Error::System`].
    pub fn system(detail: impl ToString) -> Self {
        Self::System(detail.to_string())
    }
}
