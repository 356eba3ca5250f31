//! The line with which a process says that its listeners are up.

use std::net::SocketAddr;

/// The word with which every ready line begins.
const READY_WORD: &str = "listening";

/// `ReadyLine` is the addresses that a process has bound.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadyLine {
    /// A stand-in: `listening 127.0.0.1:4000`.
    Standin(SocketAddr),
    /// A daemon: `listening callers=127.0.0.1:4000 peers=127.0.0.1:4001 admin=127.0.0.1:4002`.
    Daemon(DaemonAddresses),
}

/// `DaemonAddresses` is where a daemon listens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DaemonAddresses {
    /// For callers.
    pub callers: SocketAddr,
    /// For the other daemons.
    pub peers: SocketAddr,
    /// For operators.
    pub admin: SocketAddr,
}

impl ReadyLine {
    /// Returns the ready line that the text is, or none if it is another line.
    pub fn parse(text: &str) -> Option<Self> {
        let mut words = text.split_whitespace();
        if words.next() != Some(READY_WORD) {
            return None;
        }
        let fields: Vec<&str> = words.collect();
        match fields.as_slice() {
            [address] if !address.contains('=') => address.parse().ok().map(Self::Standin),
            fields => Some(Self::Daemon(DaemonAddresses {
                callers: field(fields, "callers")?,
                peers: field(fields, "peers")?,
                admin: field(fields, "admin")?,
            })),
        }
    }
}

fn field(fields: &[&str], name: &str) -> Option<SocketAddr> {
    fields
        .iter()
        .filter_map(|field| field.split_once('='))
        .find(|(key, _)| *key == name)
        .and_then(|(_, value)| value.parse().ok())
}
