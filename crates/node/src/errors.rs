//! Errors of the daemon's start.

use std::net::SocketAddr;

use thiserror::Error;

/// Result of a step of the daemon's start.
pub type Result<T> = std::result::Result<T, Error>;

/// Reason why the daemon can't start.
#[derive(Debug, Error)]
pub enum Error {
    /// An address can't be listened on.
    #[error("cannot listen on {address}: {detail}")]
    Listen {
        /// Address from the settings.
        address: SocketAddr,
        /// The system's error message.
        detail: String,
    },
    /// The settings name an unknown policy.
    #[error("unknown policy: {0}")]
    UnknownPolicy(String),
    /// The system can't provide a thread or a descriptor, or a value of the settings is not valid.
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
