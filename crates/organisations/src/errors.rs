//! Reasons for which a list of organisations is rejected.

use std::sync::Arc;

use thiserror::Error as ThisError;

use crate::key::KeyFault;

/// Reason for which a list of organisations is rejected.
#[derive(Clone, Debug, PartialEq, Eq, ThisError)]
pub enum Error {
    /// A name is empty, longer than 256 bytes, or contains other than visible ASCII characters.
    #[error("the name of an organisation is not 1 to 256 visible ASCII characters")]
    BadName,
    /// Two organisations have the same name.
    #[error("two organisations are named {0}")]
    SameName(Arc<str>),
    /// A key of the named organisation is invalid.
    #[error("a key of {0}: {1}")]
    BadKey(Arc<str>, KeyFault),
    /// The two named organisations hold the same key.
    #[error("{0} and {1} hold one key")]
    SharedKey(Arc<str>, Arc<str>),
    /// The limit of the named organisation has a rate that is not a positive number, or a burst
    /// that is negative or not a number.
    #[error("the limit of {0} needs a rate above 0 and a burst of at least 0")]
    BadLimit(Arc<str>),
}

/// `Result` with this crate's [`Error`].
pub type Result<T> = std::result::Result<T, Error>;
