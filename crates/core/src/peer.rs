//! Messages between the daemons of a region.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::errors::Result;
use crate::names::ModelName;
use crate::names::UpstreamName;
use crate::names::VmName;
use crate::numbers::Offset;

/// Request from one daemon to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerRequest {
    /// Heartbeat, which carries the replayed offset and a state digest so that both sides notice
    /// when their states have diverged.
    Heartbeat(Heartbeat),
    /// Reports demand to the VM that is preferred to decide on replicas of the models.
    Demand(Demand),
    /// Asks for the load of engines whose models the sender is about to serve.
    Replicas(ReplicasQuery),
    /// Asks for one part of the peer's state snapshot.
    Snapshot(SnapshotQuery),
}

/// Reply to a [`PeerRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerReply {
    /// Heartbeat of the replying daemon.
    Heartbeat(Heartbeat),
    /// The demand was recorded.
    DemandNoted,
    /// Last known loads of the engines that were asked for.
    Replicas(Vec<ReplicaLoad>),
    /// One part of a snapshot.
    Snapshot(SnapshotPart),
    /// The peer can't answer now. The text gives the cause.
    Declined(String),
}

/// Shows that a daemon is running and how far it has replayed the control stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// VM on which the sender runs.
    pub vm: VmName,
    /// Random identity that the sending process chose when it started.
    pub process_id: u64,
    /// Whether the sender is draining before it stops.
    pub draining: bool,
    /// Offset up to which the sender has replayed the control stream, exclusive.
    pub replayed: Offset,
    /// Digest of the sender's state at `digest_at`.
    pub digest: u64,
    /// Offset at which the digest was taken, a multiple of a fixed interval.
    pub digest_at: Offset,
}

/// Requests of one VM that wait for or have used models since its last report.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Demand {
    /// VM whose requests are counted.
    pub vm: VmName,
    /// Demand for each model.
    pub models: Vec<ModelDemand>,
}

/// Demand of one VM for one model.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ModelDemand {
    /// Model or adapter.
    pub model: ModelName,
    /// Number of requests that arrived since the last report.
    pub arrived: u32,
    /// Number of requests that are waiting because the model has no replica.
    pub waiting: u32,
    /// Number of requests in progress.
    pub running: u32,
    /// Shortest remaining time of a waiting request; `None` if no request waits.
    pub tightest_ms: Option<u64>,
}

/// Asks for the last known loads of some engines.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicasQuery {
    /// Engines whose loads the sender asks for.
    pub engines: Vec<UpstreamName>,
}

/// Last known load of one engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaLoad {
    /// Engine that made the load report.
    pub engine: UpstreamName,
    /// Number of requests in the running batch.
    pub running: u32,
    /// Number of requests that wait for a slot of the batch.
    pub waiting: u32,
    /// Number of slots of the batch.
    pub slots: u32,
    /// Age of the load report.
    pub age_ms: u64,
}

/// Asks for one part of a snapshot.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotQuery {
    /// Offset of the snapshot; `None` for the newest one.
    pub at: Option<Offset>,
    /// Index of the part, starting at zero.
    pub part: u32,
}

/// One part of a snapshot.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotPart {
    /// Offset up to which the snapshot covers the stream, exclusive.
    pub at: Offset,
    /// Index of the part, starting at zero.
    pub part: u32,
    /// Total number of parts.
    pub parts: u32,
    /// Bytes of the encoded snapshot in this part.
    pub bytes: Vec<u8>,
}

/// Sends requests to other daemons.
pub trait PeerLink: Send + Sync {
    /// Sends a request and waits up to `timeout_ms` for its reply.
    ///
    /// # Errors
    ///
    /// `Error::Unavailable` if the peer was not reached, `Error::Unknown` if no reply came in time,
    /// `Error::Malformed` if the reply could not be authenticated or decoded, `Error::Rejected` if
    /// the request is too long to be sent.
    fn ask(&self, peer: SocketAddr, request: &PeerRequest, timeout_ms: u64) -> Result<PeerReply>;
}

/// Answers requests of other daemons.
pub trait PeerHandler: Send + Sync {
    /// Returns the reply to a request, which has already been authenticated and decoded.
    fn answer(&self, request: PeerRequest) -> PeerReply;
}
