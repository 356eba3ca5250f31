//! Messages between the system's own processes.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::errors::Result;
use crate::names::ModelName;
use crate::names::UpstreamName;
use crate::names::VmName;
use crate::numbers::Offset;

/// `PeerRequest` is what one daemon asks of another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerRequest {
    /// A heartbeat. It carries what the sender has replayed, so that both sides notice a state
    /// that has diverged.
    Heartbeat(Heartbeat),
    /// Asks the model's preferred VM to decide on a replica.
    Demand(Demand),
    /// Asks for the routing view of the models that the sender now serves.
    Replicas(ReplicasQuery),
    /// Asks for a part of the peer's state snapshot.
    Snapshot(SnapshotQuery),
}

/// `PeerReply` is the answer to a [`PeerRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerReply {
    /// The answer to a heartbeat.
    Heartbeat(Heartbeat),
    /// The demand has been taken in.
    DemandNoted,
    /// The routing view.
    Replicas(Vec<ReplicaLoad>),
    /// One part of a snapshot.
    Snapshot(SnapshotPart),
    /// The peer can't answer now.
    Declined(String),
}

/// `Heartbeat` tells that a daemon runs and how far it has replayed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The sender.
    pub vm: VmName,
    /// Its process, chosen at random at its start.
    pub process_id: u64,
    /// Whether it is stopping.
    pub draining: bool,
    /// The offset up to which it has replayed the control stream, exclusive.
    pub replayed: Offset,
    /// The digest of its state at `digest_at`.
    pub digest: u64,
    /// The offset at which the digest was taken: a multiple of a fixed interval.
    pub digest_at: Offset,
}

/// `Demand` tells of requests that wait for, or used, a model at one VM since its last report.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Demand {
    /// The sender.
    pub vm: VmName,
    /// One line a model.
    pub models: Vec<ModelDemand>,
}

/// `ModelDemand` is the demand for one model.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ModelDemand {
    /// The model or adapter.
    pub model: ModelName,
    /// Requests that arrived since the last report.
    pub arrived: u32,
    /// Requests that wait now without a replica.
    pub waiting: u32,
    /// Requests in progress now.
    pub running: u32,
    /// The shortest time left among the waiting requests.
    pub tightest_ms: Option<u64>,
}

/// `ReplicasQuery` asks for the load of the engines that hold some models.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicasQuery {
    /// The engines of interest.
    pub engines: Vec<UpstreamName>,
}

/// `ReplicaLoad` is the last known load of one engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaLoad {
    /// The engine.
    pub engine: UpstreamName,
    /// Requests in the running batch.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Places in the batch.
    pub slots: u32,
    /// The age of the report.
    pub age_ms: u64,
}

/// `SnapshotQuery` asks for one part of a snapshot.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotQuery {
    /// The snapshot's offset, or none for the newest.
    pub at: Option<Offset>,
    /// The part, from zero.
    pub part: u32,
}

/// `SnapshotPart` is one part of a snapshot.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotPart {
    /// The offset up to which the snapshot has replayed, exclusive.
    pub at: Offset,
    /// The part, from zero.
    pub part: u32,
    /// How many parts there are.
    pub parts: u32,
    /// The bytes of this part.
    pub bytes: Vec<u8>,
}

/// `PeerLink` asks other daemons.
pub trait PeerLink: Send + Sync {
    /// Sends a request and returns its reply.
    ///
    /// # Errors
    ///
    /// `Error::Unknown` if no reply came in time, `Error::Malformed` if it was not authentic.
    fn ask(&self, peer: SocketAddr, request: &PeerRequest, timeout_ms: u64) -> Result<PeerReply>;
}

/// `PeerHandler` answers other daemons.
pub trait PeerHandler: Send + Sync {
    /// Returns the reply to a request that was authentic and well-formed.
    fn answer(&self, request: PeerRequest) -> PeerReply;
}
