//! Errors of setting up the messages between peers.

use std::net::SocketAddr;

use thiserror::Error;

/// `Result` is the result of setting up the messages between peers.
pub type Result<T> = std::result::Result<T, Error>;

/// `Error` is what setting up the messages between peers can fail with.
#[derive(Debug, Error)]
pub enum Error {
    /// The cluster key is too short to protect anything.
    #[error("the cluster key has {length} bytes, at least {required} are needed")]
    ShortKey {
        /// The key's bytes.
        length: usize,
        /// The fewest bytes allowed.
        required: usize,
    },
    /// The address can't be listened on.
    #[error("can't listen for peers on {address}: {source}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// What nng said.
        source: nng::Error,
    },
    /// The server listens on all addresses and does not know by which one its peers know it.
    #[error("listening on {0} needs an advertised address")]
    NoAdvertisedAddress(SocketAddr),
    /// nng could not set up a socket, most likely for want of file descriptors or memory.
    #[error("nng: {0}")]
    Nng(#[from] nng::Error),
    /// A worker thread could not be started.
    #[error("can't start a worker: {0}")]
    Worker(#[from] std::io::Error),
}

impl Error {
    /// Returns an [`Error::Listen`].
    pub(crate) fn listen(address: SocketAddr, source: nng::Error) -> Self {
        Self::Listen { address, source }
    }
}
