//! Reasons for which a configuration or an entry of the upstream list is rejected.

use std::net::SocketAddr;

use thiserror::Error as ThisError;

/// Reason for which the directory rejects a configuration.
#[derive(Clone, Debug, PartialEq, Eq, ThisError)]
pub enum Error {
    /// The configuration is older than the one in force.
    #[error("version {offered} is older than version {in_force}")]
    OlderVersion {
        /// Version of the rejected configuration.
        offered: u64,
        /// Version in force.
        in_force: u64,
    },
    /// A route names a service that the configuration lacks.
    #[error("route {route} leads to the unknown service {service}")]
    UnknownService {
        /// Name of the route.
        route: String,
        /// Name of the missing service.
        service: String,
    },
}

/// `Result` with this crate's [`Error`].
pub type Result<T> = std::result::Result<T, Error>;

/// Reason for which an entry of the upstream list can't be an upstream's.
#[derive(Clone, Debug, PartialEq, Eq, ThisError)]
pub enum InvalidEntry {
    /// The number of slots is above any upstream's.
    #[error("{0} slots are too many")]
    Slots(u32),
    /// No single host can listen at the address.
    #[error("no host can listen at {0}")]
    Address(SocketAddr),
    /// The start, in Unix milliseconds, lies in the future.
    #[error("start {0} lies in the future")]
    Start(u64),
}
