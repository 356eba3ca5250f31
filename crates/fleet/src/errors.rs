//! Errors of the directory.

use thiserror::Error as ThisError;

/// `Error` is why a configuration is not taken over.
#[derive(Clone, Debug, PartialEq, Eq, ThisError)]
pub enum Error {
    /// The configuration is older than the one in force.
    #[error("version {offered} is older than version {in_force}")]
    OlderVersion {
        /// The version that was offered.
        offered: u64,
        /// The version in force.
        in_force: u64,
    },
    /// A route leads to a service that the configuration does not name.
    #[error("route {route} leads to the unknown service {service}")]
    UnknownService {
        /// The route.
        route: String,
        /// The service.
        service: String,
    },
}

/// `Result` with this crate's [`Error`].
pub type Result<T> = std::result::Result<T, Error>;
