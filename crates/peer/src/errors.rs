//! Errors at the start of a link or server.

use std::net::SocketAddr;

use thiserror::Error;

/// `Result` with this crate's [`enum@Error`].
pub type Result<T> = std::result::Result<T, Error>;

/// Error at the start of a link or server.
#[derive(Debug, Error)]
pub enum Error {
    /// The cluster key is too short to be secure.
    #[error("the cluster key has {length} bytes, but at least {required} are required")]
    ShortKey {
        /// Length of the key in bytes.
        length: usize,
        /// Minimum length in bytes.
        required: usize,
    },
    /// The server can't listen on its address.
    #[error("can't listen for peers on {address}: {source}")]
    Listen {
        /// Address to listen on.
        address: SocketAddr,
        /// Cause reported by nng.
        source: nng::Error,
    },
    /// The server listens on all addresses and has no address to advertise to its peers.
    #[error("listening on {0} requires an advertised address")]
    NoAdvertisedAddress(SocketAddr),
    /// nng could not set up a socket, most likely for lack of file descriptors or memory.
    #[error("can't set up an nng socket: {0}")]
    Nng(#[from] nng::Error),
    /// A worker thread could not be started.
    #[error("can't start a worker thread: {0}")]
    Worker(#[from] std::io::Error),
}

impl Error {
    pub(crate) fn listen(address: SocketAddr, source: nng::Error) -> Self {
        Self::Listen { address, source }
    }
}
