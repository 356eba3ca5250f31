//! Errors of the outside interfaces.

use thiserror::Error;

use crate::numbers::Offset;
use crate::refusal::Ran;

/// `Result` is the result of an outside interface.
pub type Result<T> = std::result::Result<T, Error>;

/// `Error` is what an outside interface can fail with. Each variant says whether the action may
/// have taken effect, because that decides what the caller of the interface may do next.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum Error {
    /// The other side was not reached, or it said that it did nothing. The action had no effect.
    #[error("unavailable: {0}")]
    Unavailable(String),
    /// The action may or may not have taken effect: its answer was lost.
    #[error("outcome unknown: {0}")]
    Unknown(String),
    /// The other side understood and refused. The action had no effect.
    #[error("rejected: {0}")]
    Rejected(String),
    /// The order's fencing number is lower than one the engine has already seen. No effect.
    #[error("stale fencing number, the engine has seen {highest}")]
    StaleFence {
        /// The highest fencing number that the engine has seen.
        highest: u64,
    },
    /// The records asked for are no longer kept.
    #[error("records before offset {first} have expired")]
    Expired {
        /// The first offset still kept.
        first: Offset,
    },
    /// The other side answered with something that can't be understood.
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

    /// Returns whether the failed action ran.
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
