//! Tunables of the link and the server.

use std::net::Ipv4Addr;
use std::net::SocketAddr;

/// The scheme of peer addresses in nng's URLs.
pub(crate) const SCHEME: &str = "tcp://";

/// The largest message, unless the options say otherwise: a part of a snapshot with room to spare.
const MESSAGE_LIMIT_BYTES: usize = 1024 * 1024;

/// How many times the limit nng reads before it closes the connection. Between the two, a message
/// is read and counted as too long; nng tells nobody of those it does not read.
const READ_FACTOR: usize = 2;

/// Returns how much of one message nng reads at most.
pub(crate) fn read_limit_bytes(message_limit_bytes: usize) -> usize {
    message_limit_bytes.saturating_mul(READ_FACTOR)
}

/// `LinkOptions` are the tunables of [`NngLink`](crate::NngLink).
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LinkOptions {
    /// How many connections to peers are kept. More are open only while more are in use.
    pub open_peers_max: usize,
    /// The largest request that is sent, and the largest reply that is taken.
    pub message_limit_bytes: usize,
    /// How long a kept connection that broke waits before nng dials again, at first.
    pub redial_min_ms: u64,
    /// How long it waits at most. Each attempt doubles the wait.
    pub redial_max_ms: u64,
    /// How long a connection may be missing before the next request dials it on a new socket.
    pub stale_dial_ms: u64,
}

impl Default for LinkOptions {
    fn default() -> Self {
        Self {
            open_peers_max: 64,
            message_limit_bytes: MESSAGE_LIMIT_BYTES,
            redial_min_ms: 20,
            redial_max_ms: 1_000,
            stale_dial_ms: 2_000,
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
    /// The largest request that is taken, and the largest reply that is sent.
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
            message_limit_bytes: MESSAGE_LIMIT_BYTES,
            connections_max: 1024,
            senders_max: 1024,
            reply_timeout_ms: 2_000,
        }
    }
}
