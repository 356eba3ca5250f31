//! Model engines: orders, serving, and what they report.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::errors::Result;
use crate::names::ModelName;
use crate::names::RequestId;
use crate::numbers::BootId;
use crate::numbers::FencingNumber;

const EVENT_STREAM: &str = "text/event-stream";

/// `LoadOrder` tells an engine to load a model or an adapter.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadOrder {
    /// The model or adapter to load.
    pub model: ModelName,
    /// The model an adapter belongs to.
    pub base: Option<ModelName>,
    /// The accelerator memory it takes.
    pub bytes: u64,
    /// The order's number.
    pub fence: FencingNumber,
}

/// `UnloadOrder` tells an engine to finish the requests in progress on a model and to unload it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UnloadOrder {
    /// The model or adapter to unload.
    pub model: ModelName,
    /// The order's number.
    pub fence: FencingNumber,
}

/// `Residency` is how far a model is on an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Residency {
    /// The model is being loaded. Its memory is taken.
    Loading,
    /// The model can serve.
    Loaded,
    /// The model finishes its last requests. Its memory is still taken.
    Unloading,
}

/// `Resident` is one model that takes accelerator memory on an engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Resident {
    /// The model or adapter.
    pub model: ModelName,
    /// How far it is.
    pub residency: Residency,
    /// The memory it takes.
    pub bytes: u64,
    /// The number of the order that loaded it.
    pub fence: FencingNumber,
}

/// `CacheTier` is where an engine's host holds a model's checkpoint.
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

/// `CachedCheckpoint` is one checkpoint that an engine's host holds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CachedCheckpoint {
    /// The model or adapter.
    pub model: ModelName,
    /// Where it is held.
    pub tier: CacheTier,
}

/// `EngineStatus` is what an engine answers of its models. It is exact at `sequence`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineStatus {
    /// The run of the engine process that answered.
    pub boot: BootId,
    /// Grows with each change of the models within one run.
    pub sequence: u64,
    /// Its accelerator memory for models and adapters.
    pub capacity_bytes: u64,
    /// Whether the engine refuses orders with an old fencing number.
    pub checks_fence: bool,
    /// The highest fencing number it has seen in this run.
    pub highest_fence: FencingNumber,
    /// The models that take memory now.
    pub residents: Vec<Resident>,
}

/// `LoadReport` is an engine's report of its load. It lags by seconds.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// The time of which the report speaks, in milliseconds of Unix time.
    pub as_of_ms: u64,
    /// Requests in the running batch.
    pub running: u32,
    /// Requests that wait for a place in the batch.
    pub waiting: u32,
    /// Places in the batch.
    pub slots: u32,
    /// Checkpoints held on the host.
    #[serde(default)]
    pub checkpoints: Vec<CachedCheckpoint>,
}

/// `CacheEvent` tells of one block of a prompt prefix that an engine has cached or dropped.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Grows by one with each event; a gap means that events were lost.
    pub sequence: u64,
    /// The hash of the prompt prefix.
    pub prefix_hash: u64,
    /// Whether the block is cached (or else dropped).
    pub cached: bool,
}

/// `EngineOrders` gives orders to engines.
pub trait EngineOrders: Send + Sync {
    /// Orders a load and returns when the model is loaded.
    ///
    /// # Errors
    ///
    /// `Error::StaleFence` or `Error::Rejected` if the engine refused, `Error::Unavailable` if the
    /// order was certainly not received, `Error::Unknown` if it may have been.
    fn load(&self, engine: SocketAddr, order: &LoadOrder, timeout_ms: u64) -> Result<EngineStatus>;

    /// Orders an unload and returns when the memory is free.
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

    /// Raises the engine's highest fencing number, so that it refuses every older order, and
    /// returns its status after that. An engine that ignores numbers only returns its status.
    ///
    /// # Errors
    ///
    /// As for `load`.
    fn raise_fence(&self, engine: SocketAddr, fence: FencingNumber) -> Result<EngineStatus>;
}

/// `EngineReports` reads what engines publish.
pub trait EngineReports: Send + Sync {
    /// Returns the engine's exact status.
    ///
    /// # Errors
    ///
    /// `Error::Unavailable` if the engine can't be reached.
    fn status(&self, engine: SocketAddr) -> Result<EngineStatus>;

    /// Returns the engine's lagging load report.
    ///
    /// # Errors
    ///
    /// `Error::Unavailable` if the engine can't be reached.
    fn load_report(&self, engine: SocketAddr) -> Result<LoadReport>;

    /// Returns the cache events after a sequence number; late and with gaps.
    ///
    /// # Errors
    ///
    /// `Error::Unavailable` if the engine can't be reached.
    fn cache_events(&self, engine: SocketAddr, after: u64) -> Result<Vec<CacheEvent>>;
}

/// `ServeRequest` is one request to an engine, in the published format that the caller used.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServeRequest {
    /// The request's identity. The engine repeats it in its answer.
    pub id: RequestId,
    /// The path, such as `/v1/completions`.
    pub path: String,
    /// The JSON body as the caller sent it.
    pub body: Vec<u8>,
    /// Whether the answer is a stream of events.
    pub stream: bool,
    /// The time left until the answer must begin.
    pub first_byte_timeout_ms: u64,
    /// The longest time between two events of a stream.
    pub idle_timeout_ms: u64,
    /// Lower values are served first by engines that honour priorities.
    pub priority: u32,
}

/// `ServeHead` is the beginning of an engine's answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServeHead {
    /// The HTTP status.
    pub status: u16,
    /// The content type.
    pub content_type: String,
    /// The request identity that the engine repeated, if any.
    pub id: Option<RequestId>,
}

impl ServeHead {
    /// Returns whether the answer comes event by event.
    pub fn is_event_stream(&self) -> bool {
        let essence = self.content_type.split(';').next().unwrap_or_default();
        essence.trim().eq_ignore_ascii_case(EVENT_STREAM)
    }
}

/// `ServeAnswer` is an engine's answer as it arrives.
pub trait ServeAnswer: Send {
    /// Returns the beginning of the answer.
    fn head(&self) -> &ServeHead;

    /// Returns the next piece: one whole event with its closing blank line for a stream, the whole
    /// body otherwise. Returns none at the end of a whole answer.
    ///
    /// # Errors
    ///
    /// `Error::Unknown` if the answer was cut short, `Error::Malformed` if it is not of the
    /// announced format or exceeds the limit of one piece.
    fn next_piece(&mut self) -> Result<Option<Vec<u8>>>;
}

/// `EngineServing` sends requests to engines.
pub trait EngineServing: Send + Sync {
    /// Sends a request once and returns when the answer begins.
    ///
    /// # Errors
    ///
    /// `Error::Unavailable` if the request was certainly not received, `Error::Unknown` if it may
    /// have been.
    fn serve(&self, engine: SocketAddr, request: &ServeRequest) -> Result<Box<dyn ServeAnswer>>;

    /// Tells the engine to end a request. The engine's answer then ends short.
    ///
    /// # Errors
    ///
    /// Any; the request may then run to its end.
    fn cancel(&self, engine: SocketAddr, id: &RequestId) -> Result<()>;
}
