//! Tunables of the link and the server.

use std::net::Ipv4Addr;
use std::net::SocketAddr;

/// The scheme of peer addresses in nng's URLs.
pub(crate) const SCHEME: &str = "tcp://";

/// `LinkOptions` are the tunables of [`NngLink`](crate::NngLink).
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LinkOptions {
    /// How many peers may have an open connection at once.
    pub open_peers_max: usize,
    /// The largest reply that is read.
    pub message_limit_bytes: usize,
}

impl Default for LinkOptions {
    fn default() -> Self {
        Self {
            open_peers_max: 64,
            message_limit_bytes: 1024 * 1024,
        }
    }
}

/// `ServerOptions` are the tunables of [`PeerServer`](crate::PeerServer).
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerOptions {
    /// Where the server listens.
    pub listen: SocketAddr,
    /// The address by which peers know it, if it differs from the one it listens on.
    pub advertised: Option<SocketAddr>,
    /// How many threads answer.
    pub workers: usize,
    /// The largest request that is read.
    pub message_limit_bytes: usize,
    /// How many connections peers may have open at once.
    pub connections_max: usize,
    /// How many senders are remembered to recognise replays.
    pub senders_max: usize,
    /// The longest time to hand a reply to the connection.
    pub reply_timeout_ms: u64,
}

impl Default for ServerOptions {
    fn default() -> Self {
        Self {
            listen: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            advertised: None,
            workers: 2,
            message_limit_bytes: 1024 * 1024,
            connections_max: 1024,
            senders_max: 1024,
            reply_timeout_ms: 2_000,
        }
    }
}
