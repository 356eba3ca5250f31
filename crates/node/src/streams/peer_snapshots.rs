//! Exchange of snapshots between daemons.

use std::net::SocketAddr;
use std::sync::Arc;

use log::warn;
use parking_lot::Mutex;

use apricotdale_core::Error;
use apricotdale_core::numbers::Offset;
use apricotdale_core::peer::PeerLink;
use apricotdale_core::peer::PeerReply;
use apricotdale_core::peer::PeerRequest;
use apricotdale_core::peer::SnapshotPart;
use apricotdale_core::peer::SnapshotQuery;
use apricotdale_core::serving::Clock;
use apricotdale_state::snapshot::PART_BYTES;
use apricotdale_state::snapshot::Snapshot;

use super::stream_state::StreamState;

/// Lifetime of a prepared snapshot, after which a newer one is prepared. When all VMs of an
/// availability zone restart at once, one snapshot serves them all.
const PREPARED_TTL_MS: u64 = 5_000;

/// Maximum number of parts of a peer's snapshot.
const MAX_PARTS: u32 = 2_048;

/// Result of asking a peer for its state.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Fetched {
    /// The peer did not answer, or its snapshot can't be used.
    Silent,
    /// The peer has no state.
    NoState,
    /// State of the peer, of which every part has been fetched.
    State(Snapshot),
}

/// Client that fetches the state of other daemons.
pub struct PeerSnapshots {
    /// Link over which peers are sent requests.
    pub link: Arc<dyn PeerLink>,
    /// Timeout of one request to a peer, in milliseconds.
    pub timeout_ms: u64,
}

impl PeerSnapshots {
    /// Fetches a peer's state part by part.
    pub fn fetch(&self, peer: SocketAddr) -> Fetched {
        let mut parts: Vec<SnapshotPart> = Vec::new();
        loop {
            let at = parts.first().map(|part| part.at);
            let query = SnapshotQuery {
                at,
                part: parts.len() as u32,
            };
            let reply = self
                .link
                .ask(peer, &PeerRequest::Snapshot(query), self.timeout_ms);
            match reply {
                Ok(PeerReply::Snapshot(part)) if part.parts <= MAX_PARTS => parts.push(part),
                Ok(_) if parts.is_empty() => return Fetched::NoState,
                Ok(_) => return Fetched::Silent,
                Err(error) => {
                    warn!("no snapshot from {peer}: {error}");
                    return Fetched::Silent;
                }
            }
            if parts.len() as u32 >= parts[0].parts {
                return decode_snapshot(&parts);
            }
        }
    }
}

fn decode_snapshot(parts: &[SnapshotPart]) -> Fetched {
    match Snapshot::from_parts(parts) {
        Ok(snapshot) => Fetched::State(snapshot),
        Err(error) => {
            warn!("a peer's snapshot can't be decoded: {error}");
            Fetched::Silent
        }
    }
}

/// Serves snapshots of this daemon's state to peers.
pub struct SnapshotServer {
    states: Vec<Arc<dyn StreamState>>,
    clock: Arc<dyn Clock>,
    prepared: Mutex<Option<Prepared>>,
}

struct Prepared {
    at: Offset,
    made_ms: u64,
    parts: Vec<SnapshotPart>,
}

impl SnapshotServer {
    /// Returns a server of the given states, of which the first is the control stream's.
    pub fn new(states: Vec<Arc<dyn StreamState>>, clock: Arc<dyn Clock>) -> Self {
        Self {
            states,
            clock,
            prepared: Mutex::new(None),
        }
    }

    /// Returns the part of a snapshot that a peer asks for.
    ///
    /// # Errors
    ///
    /// `Error::Rejected` if there is no state, no such part, or no snapshot of the queried offset.
    pub fn part(&self, query: &SnapshotQuery) -> Result<SnapshotPart, Error> {
        let mut prepared = self.prepared.lock();
        let now_ms = self.clock.monotonic_ms();
        let is_old = |one: &Prepared| now_ms.saturating_sub(one.made_ms) > PREPARED_TTL_MS;
        if query.at.is_none() && prepared.as_ref().is_none_or(is_old) {
            *prepared = Some(self.prepare(now_ms)?);
        }
        let known = prepared
            .as_ref()
            .filter(|one| query.at.is_none_or(|at| at == one.at));
        let known = known.ok_or_else(|| Error::rejected("another snapshot is handed out now"))?;
        let part = known.parts.get(query.part as usize).cloned();
        part.ok_or_else(|| Error::rejected("the snapshot has no such part"))
    }

    fn prepare(&self, now_ms: u64) -> Result<Prepared, Error> {
        let control = self.states.first().and_then(|state| state.position());
        let at = control
            .ok_or_else(|| Error::rejected("this daemon has no state"))?
            .next;
        let mut snapshot = Snapshot::default();
        for state in &self.states {
            if let Some(section) = state.section() {
                snapshot.sections.insert(state.stream().clone(), section);
            }
        }
        Ok(Prepared {
            at,
            made_ms: now_ms,
            parts: snapshot.to_parts(at, PART_BYTES),
        })
    }
}
