//! Errors of this crate.

use thiserror::Error;

/// Result of building a policy.
pub type Result<T> = std::result::Result<T, Error>;

/// Error of building a policy.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum Error {
    /// No policy has this name.
    #[error("unknown policy {name:?}, expected one of {known:?}")]
    UnknownPolicy {
        /// Name that was requested.
        name: String,
        /// Names of the existing policies.
        known: &'static [&'static str],
    },
}

impl Error {
    /// Returns an [`Error::UnknownPolicy`].
    pub fn unknown_policy(name: &str, known: &'static [&'static str]) -> Self {
        Self::UnknownPolicy {
            name: name.to_owned(),
            known,
        }
    }
}
