//! Interfaces of the model engines: load and unload orders, status reports and serving.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::errors::Result;
use crate::names::ModelName;
use crate::names::RequestId;
use crate::numbers::BootId;
use crate::numbers::FencingToken;

const EVENT_STREAM: &str = "text/event-stream";

/// Order to load a model or an adapter.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadOrder {
    /// Model or adapter to load.
    pub model: ModelName,
    /// Model that the adapter belongs to; `None` for a model.
    pub base: Option<ModelName>,
    /// Accelerator memory that it takes, in bytes.
    pub bytes: u64,
    /// Fencing number of the order.
    pub fence: FencingToken,
}

/// Order to finish the requests in progress on a model and then to unload it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UnloadOrder {
    /// Model or adapter to unload.
    pub model: ModelName,
    /// Fencing number of the order.
    pub fence: FencingToken,
}

/// State of a model that takes accelerator memory on an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Residency {
    /// The model is being loaded. Its memory is already taken.
    Loading,
    /// The model can serve.
    Loaded,
    /// The model finishes its last requests. Its memory is still taken.
    Unloading,
}

/// One model that takes accelerator memory on an engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Resident {
    /// Model or adapter.
    pub model: ModelName,
    /// Whether the model is being loaded, loaded or being unloaded.
    pub residency: Residency,
    /// Accelerator memory that it takes, in bytes.
    pub bytes: u64,
    /// Fencing number of the order that loaded it.
    pub fence: FencingToken,
}

/// Place where the host of an engine finds the checkpoint of a model, fastest first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CacheTier {
    /// In the host's memory.
    Memory,
    /// On the host's disk.
    Disk,
    /// Only in the weight store.
    Remote,
}

/// One checkpoint on the host of an engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CachedCheckpoint {
    /// Model or adapter.
    pub model: ModelName,
    /// Place where the checkpoint is held.
    pub tier: CacheTier,
}

/// Status of an engine's models. It is exact at its `sequence`, unlike a [`LoadReport`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineStatus {
    /// Incarnation of the engine process that answered.
    pub boot: BootId,
    /// Sequence number, which grows with each change of the models within one incarnation.
    pub sequence: u64,
    /// Accelerator memory for models and adapters, in bytes.
    pub capacity_bytes: u64,
    /// Whether the engine refuses orders whose fencing token is below the highest it has seen.
    pub checks_fence: bool,
    /// Highest fencing token that the engine has seen in this incarnation.
    pub highest_fence: FencingToken,
    /// Models that take accelerator memory.
    pub residents: Vec<Resident>,
}

/// Report of an engine's load, which is some seconds old when it is read.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Time at which the report was true, in milliseconds of Unix time.
    pub as_of_ms: u64,
    /// Number of requests in the running batch.
    pub running: u32,
    /// Number of requests that wait for a slot of the batch.
    pub waiting: u32,
    /// Number of slots of the batch.
    pub slots: u32,
    /// Checkpoints on the host; a model that is not listed is only in the weight store.
    #[serde(default)]
    pub checkpoints: Vec<CachedCheckpoint>,
}

/// Event that an engine has cached or evicted one block of a prompt prefix.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Sequence number, which grows by one with each event; a gap means that events were lost.
    pub sequence: u64,
    /// Hash of the prompt prefix.
    pub prefix_hash: u64,
    /// Whether the block was cached; `false` if it was evicted.
    pub cached: bool,
}

/// Sends load and unload orders to engines.
pub trait EngineOrders: Send + Sync {
    /// Sends a load order and returns when the model is loaded.
    ///
    /// # Errors
    ///
    /// `Error::StaleFence` or `Error::Rejected` if the engine refused the order,
    /// `Error::Unavailable` if the engine certainly did not receive it, `Error::Unknown` if it may
    /// have received it.
    fn load(&self, engine: SocketAddr, order: &LoadOrder, timeout_ms: u64) -> Result<EngineStatus>;

    /// Sends an unload order and returns when the memory is free.
    ///
    /// # Errors
    ///
    /// As for `load`.
    fn unload(
        &self,
        engine: SocketAddr,
        order: &UnloadOrder,
        timeout_ms: u64,
    ) -> Result<EngineStatus>;

    /// Raises the highest fencing token of the engine, so that it refuses every older order, and
    /// returns the status after that. An engine that does not check fencing tokens only returns
    /// its status.
    ///
    /// # Errors
    ///
    /// As for `load`.
    fn raise_fence(&self, engine: SocketAddr, fence: FencingToken) -> Result<EngineStatus>;
}

/// Reads the status, load reports and cache events of engines.
pub trait EngineReports: Send + Sync {
    /// Returns the exact status of the engine.
    ///
    /// # Errors
    ///
    /// `Error::Unavailable` if the engine can't be reached.
    fn status(&self, engine: SocketAddr) -> Result<EngineStatus>;

    /// Returns the latest load report of the engine, which is some seconds old.
    ///
    /// # Errors
    ///
    /// `Error::Unavailable` if the engine can't be reached.
    fn load_report(&self, engine: SocketAddr) -> Result<LoadReport>;

    /// Returns the cache events after a sequence number. They arrive late and may have gaps.
    ///
    /// # Errors
    ///
    /// `Error::Unavailable` if the engine can't be reached.
    fn cache_events(&self, engine: SocketAddr, after: u64) -> Result<Vec<CacheEvent>>;
}

/// One request to an engine, in the API format that the caller used.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServeRequest {
    /// Identity of the request, which the engine repeats in its answer.
    pub id: RequestId,
    /// Path of the API, such as `/v1/completions`.
    pub path: String,
    /// JSON body as the caller sent it.
    pub body: Vec<u8>,
    /// Whether the answer is a stream of events.
    pub stream: bool,
    /// Time within which the answer must begin.
    pub first_byte_timeout_ms: u64,
    /// Longest time allowed between two events of a stream.
    pub idle_timeout_ms: u64,
    /// Priority for engines that honour priorities; lower values are served first.
    pub priority: u32,
}

/// Head of an engine's answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServeHead {
    /// HTTP status code.
    pub status: u16,
    /// Value of the `Content-Type` header.
    pub content_type: String,
    /// Request identity that the engine repeated; `None` if it repeated none.
    pub id: Option<RequestId>,
}

impl ServeHead {
    /// Returns whether the content type is that of a stream of events, ignoring its parameters.
    pub fn is_event_stream(&self) -> bool {
        let essence = self.content_type.split(';').next().unwrap_or_default();
        essence.trim().eq_ignore_ascii_case(EVENT_STREAM)
    }
}

/// Answer of an engine, read while it arrives.
pub trait ServeAnswer: Send {
    /// Returns the head of the answer.
    fn head(&self) -> &ServeHead;

    /// Returns the next piece: one complete event with its closing blank line for a stream, the
    /// complete body otherwise. Returns `None` at the end of a complete answer.
    ///
    /// # Errors
    ///
    /// `Error::Unknown` if the answer ended early, `Error::Malformed` if it is not in the announced
    /// format or a piece exceeds the size limit.
    fn next_piece(&mut self) -> Result<Option<Vec<u8>>>;
}

/// Sends callers' requests to engines.
pub trait EngineServing: Send + Sync {
    /// Sends a request once, without retries, and returns when the answer begins.
    ///
    /// # Errors
    ///
    /// `Error::Unavailable` if the engine certainly did not receive the request, `Error::Unknown`
    /// if it may have received it.
    fn serve(&self, engine: SocketAddr, request: &ServeRequest) -> Result<Box<dyn ServeAnswer>>;

    /// Asks the engine to abort a request, whose answer then ends early.
    ///
    /// # Errors
    ///
    /// Any error; the request may then run to completion.
    fn cancel(&self, engine: SocketAddr, id: &RequestId) -> Result<()>;
}
