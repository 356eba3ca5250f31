//! Options of the link and the server.

use std::net::Ipv4Addr;
use std::net::SocketAddr;

/// Scheme of peer addresses in nng's URLs.
pub(crate) const SCHEME: &str = "tcp://";

/// Default maximum size of a message, sufficient for a part of a snapshot.
const DEFAULT_MESSAGE_LIMIT_BYTES: usize = 1024 * 1024;

/// Multiple of the message limit from which nng closes the connection. Messages between the two
/// limits are read and counted as too long; nng does not report those that it refuses to read.
const READ_LIMIT_FACTOR: usize = 2;

/// Returns the maximum number of bytes that nng reads of one message.
pub(crate) fn read_limit_bytes(message_limit_bytes: usize) -> usize {
    message_limit_bytes.saturating_mul(READ_LIMIT_FACTOR)
}

/// Options of [`NngLink`](crate::NngLink).
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LinkOptions {
    /// Maximum number of connections that stay open while they are not in use.
    pub open_peers_max: usize,
    /// Maximum size in bytes of a sent request and of an accepted reply.
    pub message_limit_bytes: usize,
    /// Delay in milliseconds before nng first redials a broken connection.
    pub redial_min_ms: u64,
    /// Maximum redial delay in milliseconds. The delay doubles with each attempt.
    pub redial_max_ms: u64,
    /// Time in milliseconds without a connection after which the next request dials a new socket.
    pub stale_dial_ms: u64,
}

impl Default for LinkOptions {
    fn default() -> Self {
        Self {
            open_peers_max: 64,
            message_limit_bytes: DEFAULT_MESSAGE_LIMIT_BYTES,
            redial_min_ms: 20,
            redial_max_ms: 1_000,
            stale_dial_ms: 2_000,
        }
    }
}

/// Options of [`PeerServer`](crate::PeerServer).
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerOptions {
    /// Address to listen on. Port 0 selects a free port.
    pub listen: SocketAddr,
    /// Address by which peers reach the server, if it differs from the one it listens on.
    pub advertised: Option<SocketAddr>,
    /// Number of threads that answer requests, at least 1.
    pub workers: usize,
    /// Maximum size in bytes of an accepted request and of a sent reply.
    pub message_limit_bytes: usize,
    /// Maximum number of open connections from peers.
    pub connections_max: usize,
    /// Maximum number of senders whose sequence numbers are remembered to detect replays.
    pub senders_max: usize,
    /// Maximum time in milliseconds for passing a reply to nng.
    pub reply_timeout_ms: u64,
}

impl Default for ServerOptions {
    fn default() -> Self {
        Self {
            listen: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            advertised: None,
            workers: 2,
            message_limit_bytes: DEFAULT_MESSAGE_LIMIT_BYTES,
            connections_max: 1024,
            senders_max: 1024,
            reply_timeout_ms: 2_000,
        }
    }
}
