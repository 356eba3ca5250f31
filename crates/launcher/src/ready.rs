//! Ready line: the line on its standard output with which a process announces its listeners.

use std::net::SocketAddr;

/// First word of every ready line.
const READY_WORD: &str = "listening";

/// Addresses at which a process listens, from its ready line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadyLine {
    /// Ready line of a stand-in: `listening 127.0.0.1:4000`.
    Standin(SocketAddr),
    /// Ready line of a daemon:
    /// `listening callers=127.0.0.1:4000 peers=127.0.0.1:4001 admin=127.0.0.1:4002`, with the
    /// addresses in any order.
    Daemon(DaemonAddresses),
}

/// Addresses at which a daemon listens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DaemonAddresses {
    /// Address for callers' requests.
    pub callers: SocketAddr,
    /// Address for messages of the other daemons.
    pub peers: SocketAddr,
    /// Address of the admin interface for operators.
    pub admin: SocketAddr,
}

impl ReadyLine {
    /// Parses a line of output; none if it is no ready line.
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
