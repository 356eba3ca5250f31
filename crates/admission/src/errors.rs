//! Errors of this crate.

use thiserror::Error;

/// `Result` is the result of building a policy.
pub type Result<T> = std::result::Result<T, Error>;

/// `Error` is what building a policy can fail with.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum Error {
    /// No policy of that name exists.
    #[error("unknown policy {name:?}, expected one of {known:?}")]
    UnknownPolicy {
        /// The name that was asked for.
        name: String,
        /// The names that exist.
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
