//! What is wrong with a list of organisations.

use std::sync::Arc;

use thiserror::Error as ThisError;

use crate::key::KeyFault;

/// `Error` is why a list of organisations can't be used.
#[derive(Clone, Debug, PartialEq, Eq, ThisError)]
pub enum Error {
    /// A name is empty, too long or holds other than visible ASCII characters.
    #[error("an organisation's name is no visible ASCII text of 1 to 256 bytes")]
    BadName,
    /// Two organisations have one name.
    #[error("two organisations are named {0}")]
    SameName(Arc<str>),
    /// A key of an organisation can't be used.
    #[error("a key of {0}: {1}")]
    BadKey(Arc<str>, KeyFault),
    /// Two organisations hold one key.
    #[error("{0} and {1} hold one key")]
    SharedKey(Arc<str>, Arc<str>),
    /// A limit is no number above 0, or its burst is none.
    #[error("the limit of {0} is no number above 0")]
    BadLimit(Arc<str>),
}

/// `Result` is a result with this crate's error.
pub type Result<T> = std::result::Result<T, Error>;
