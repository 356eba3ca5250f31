//! Errors of the interfaces to the outside: engines, services, the log, the weight store, the list
//! of VMs and the peers.

use thiserror::Error;

use crate::numbers::Offset;
use crate::refusal::Ran;

/// Result of a call to an external interface.
pub type Result<T> = std::result::Result<T, Error>;

/// Error of a call to an external interface. Each variant states whether the action may have taken
/// effect, which decides whether the caller may repeat it.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum Error {
    /// The remote side was not reached, or answered that it did nothing. The action had no effect.
    #[error("unavailable: {0}")]
    Unavailable(String),
    /// The answer was lost, so the action may or may not have taken effect.
    #[error("outcome unknown: {0}")]
    Unknown(String),
    /// The remote side understood the action and refused it. The action had no effect.
    #[error("rejected: {0}")]
    Rejected(String),
    /// The fencing token of the order is lower than one that the engine has seen. The order had no
    /// effect.
    #[error("stale fencing number, the engine has seen {highest}")]
    StaleFence {
        /// Highest fencing token that the engine has seen.
        highest: u64,
    },
    /// The requested records are no longer kept by the log.
    #[error("records before offset {first} have expired")]
    Expired {
        /// First offset that the log still keeps.
        first: Offset,
    },
    /// The answer of the remote side can't be decoded. The action may have taken effect.
    #[error("malformed answer: {0}")]
    Malformed(String),
}

impl Error {
    /// Returns an [`Error::Unavailable`].
    pub fn unavailable(detail: impl Into<String>) -> Self {
        Self::Unavailable(detail.into())
    }

    /// Returns an [`Error::Unknown`].
    pub fn unknown(detail: impl Into<String>) -> Self {
        Self::Unknown(detail.into())
    }

    /// Returns an [`Error::Rejected`].
    pub fn rejected(detail: impl Into<String>) -> Self {
        Self::Rejected(detail.into())
    }

    /// Returns an [`Error::Malformed`].
    pub fn malformed(detail: impl Into<String>) -> Self {
        Self::Malformed(detail.into())
    }

    /// Returns whether the failed action ran at the remote side.
    pub fn ran(&self) -> Ran {
        match self {
            Self::Unavailable(_)
            | Self::Rejected(_)
            | Self::StaleFence { .. }
            | Self::Expired { .. } => Ran::NotRun,
            Self::Unknown(_) | Self::Malformed(_) => Ran::Unknown,
        }
    }
}
