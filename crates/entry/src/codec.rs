//! Interfaces of a platform's codecs, which translate between its wire formats and this crate's
//! types.

use std::fmt;
use std::sync::Arc;

use apricotdale_core::names::InstanceName;
use apricotdale_core::names::RequestId;
use apricotdale_core::refusal::Refusal;
use apricotdale_dispatch::LoadSample;
use apricotdale_dispatch::RateLimit;
use apricotdale_fleet::Configuration;
use apricotdale_fleet::ServingRequest;
use apricotdale_fleet::Upstream;
use apricotdale_holder::EngineReport;
use apricotdale_holder::Order;
use apricotdale_holder::OrderKind;
use apricotdale_holder::OrderOutcome;
use apricotdale_http1::RequestHead;
use apricotdale_http1::ResponseHead;

/// Reason why a message can't be decoded.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DecodeError {
    /// Description of the error, for logs and for the caller.
    pub detail: String,
}

impl DecodeError {
    /// Returns an error with this description.
    pub fn new(detail: impl Into<String>) -> Self {
        Self {
            detail: detail.into(),
        }
    }
}

impl fmt::Display for DecodeError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&self.detail)
    }
}

impl std::error::Error for DecodeError {}

/// Fields that the daemon adds to a request when it forwards the request to an upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ForwardFields {
    /// Upstream instance that the request is addressed to; another one at its address must not run
    /// it.
    pub instance: InstanceName,
    /// Time until the request's deadline.
    pub left_ms: u64,
    /// ID of the last event that the caller has received, if the stream is resumed; none otherwise.
    pub last_event: Option<u64>,
    /// Priority rank of the request; 0 goes first.
    pub rank: u32,
    /// Organisation that holds the caller's key; none if the request needs no key.
    pub organisation: Option<Arc<str>>,
}

/// Rate limit in the head of an upstream's answer.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum LimitField {
    /// The answer states no limit.
    #[default]
    Absent,
    /// The answer states a limit.
    Stated(RateLimit),
    /// The answer states something that is no limit.
    Invalid(String),
}

/// Rest in the head of an upstream's answer: time in which it wants no request from this VM.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum RestField {
    /// The answer asks for no rest.
    #[default]
    Absent,
    /// The answer asks for this many milliseconds of rest.
    Stated(u64),
    /// The answer states something that is no time.
    Invalid(String),
}

/// Contents of the head of an upstream's answer.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AnswerFields {
    /// ID of the request that it answers; none if not stated.
    pub request: Option<RequestId>,
    /// Whether it carries an upstream's signature.
    pub signed: bool,
    /// Whether the upstream states that it did not run the request and will not.
    pub not_run: bool,
    /// Whether the request was addressed to another upstream, or to a model that the upstream
    /// lacks.
    pub misdirected: bool,
    /// Whether the body has a content encoding, which no upstream's own answer has.
    pub encoded: bool,
    /// Load of the upstream; none if not stated.
    pub load: Option<LoadSample>,
    /// Version of the model's weights that produced the answer; none if not stated.
    pub version: Option<u64>,
    /// Instance that answered; none if not stated.
    pub answered_by: Option<InstanceName>,
    /// How long the upstream keeps an idle connection; none if not stated.
    pub idle_ms: Option<u64>,
    /// Requests per second that the upstream takes from all VMs together.
    pub rate_limit: LimitField,
    /// Requests per second that the upstream may have to reject for want of room before it fails.
    pub rejection_limit: LimitField,
    /// Whether the upstream states that it leaves.
    pub leaving: bool,
    /// Rest that the upstream asks for.
    pub rest: RestField,
}

/// Format of the event streams that upstreams write.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StreamFormat {
    /// ID of the first event; none if upstreams do not number events from a fixed ID.
    pub first_event: Option<u64>,
    /// Field of an event that states a new version of the model's weights; none if there is none.
    pub version_field: Option<&'static str>,
}

/// Codec of requests and answers between callers and upstreams.
pub trait CallerCodec {
    /// Decodes a caller's request from its head.
    ///
    /// # Errors
    ///
    /// [`DecodeError`] if the request must not reach any upstream.
    fn decode(&self, head: &RequestHead) -> Result<ServingRequest, DecodeError>;

    /// Removes the caller's key from a request, so that it is neither kept nor forwarded.
    fn remove_key(&self, head: &mut RequestHead);

    /// Encodes the request as an upstream receives it.
    fn forward(&self, head: &RequestHead, body: &[u8], fields: &ForwardFields) -> Vec<u8>;

    /// Decodes the head of an upstream's answer.
    fn answer(&self, head: &ResponseHead) -> AnswerFields;

    /// Returns the format of the event streams that upstreams write.
    fn stream_format(&self) -> StreamFormat;

    /// Encodes a complete answer that refuses a request. `id` is the request's ID if known; `close`
    /// announces that the connection closes after the answer.
    fn refusal(&self, refusal: &Refusal, id: Option<&RequestId>, close: bool) -> Vec<u8>;
}

/// A topic of the platform's store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Topic {
    /// Configuration written by the operators. Only the newest record of each key is kept.
    Configuration,
    /// Entries of upstreams. Only the newest record of each key is kept.
    Upstreams,
    /// Entries of VMs. Only the newest record of each key is kept.
    Vms,
    /// Snapshot of the upstream list, written by the lease holder.
    ListSnapshot,
    /// Records of the order lease.
    Lease,
    /// Requests that are refused because upstreams crash under them. Only the newest record of each
    /// key is kept.
    Blocks,
}

impl Topic {
    /// Returns the name of the topic in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Configuration => "configuration",
            Self::Upstreams => "upstreams",
            Self::Vms => "vms",
            Self::ListSnapshot => "list_copy",
            Self::Lease => "lease",
            Self::Blocks => "blocks",
        }
    }
}

/// A record of a topic that keeps only the newest record of each key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyedRecord {
    /// Key of the record.
    pub key: String,
    /// Value of the record; none deletes the key.
    pub value: Option<Vec<u8>>,
}

/// A page of the newest records of a topic.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyedPage {
    /// Records in the order of the store.
    pub records: Vec<KeyedRecord>,
    /// Whether more pages follow behind the last key of this one.
    pub more: bool,
    /// Offset behind the topic's last record.
    pub end: u64,
}

/// Result of reading a topic from an offset.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LogRead {
    /// The records from the requested offset on.
    Records {
        /// Offset behind the topic's last record.
        end: u64,
        /// Undecoded records; empty if there are none yet.
        records: Vec<Vec<u8>>,
    },
    /// The records at the requested offset are no longer kept.
    Expired {
        /// First offset that is still kept.
        first: u64,
    },
}

/// Outcome of a write to the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreOutcome {
    /// The records were appended.
    Done {
        /// Offset of the first appended record.
        offset: u64,
    },
    /// Nothing was appended, because the topic does not end at the required offset.
    EndedElsewhere {
        /// Offset behind the topic's last record.
        end: u64,
    },
    /// Nothing was appended, for another reason.
    NotDone,
}

/// Encodes calls to the platform's store and decodes its answers. Implemented by the platform's
/// program, since the formats are the platform's.
pub trait StoreCodec {
    /// Returns the era in an answer's head, which counts how often the store was rolled back; none
    /// if the answer does not state one.
    fn era(&self, head: &ResponseHead) -> Option<u64>;

    /// Encodes the call that reads a topic from an offset and waits up to `wait_ms` for a record if
    /// there is none. The answer holds at most `max_kb` kilobytes of records, but at least one
    /// record; none for the store's own limit.
    fn read(&self, topic: Topic, from: u64, wait_ms: u64, max_kb: Option<u64>) -> Vec<u8>;

    /// Decodes the answer to a read from an offset.
    ///
    /// # Errors
    ///
    /// [`DecodeError`] if the store refused the call or the answer is invalid.
    fn read_answer(&self, status: u16, body: &[u8]) -> Result<LogRead, DecodeError>;

    /// Decodes a record of a topic that keeps only the newest record of each key.
    ///
    /// # Errors
    ///
    /// [`DecodeError`] if the record is invalid.
    fn keyed(&self, record: &[u8]) -> Result<KeyedRecord, DecodeError>;

    /// Encodes the call that reads the newest record of each key, from the key behind `after` on.
    fn newest(&self, topic: Topic, after: Option<&str>) -> Vec<u8>;

    /// Decodes the answer to a read of the newest records.
    ///
    /// # Errors
    ///
    /// As for [`StoreCodec::read_answer`].
    fn newest_answer(&self, status: u16, body: &[u8]) -> Result<KeyedPage, DecodeError>;

    /// Encodes the call that appends one record. With `at` it is appended only if the topic ends
    /// there.
    fn append(&self, topic: Topic, at: Option<u64>, record: &[u8]) -> Vec<u8>;

    /// Encodes the call that appends all of the keyed records or none.
    fn append_keyed(&self, topic: Topic, records: &[(String, Vec<u8>)]) -> Vec<u8>;

    /// Decodes the answer to an append.
    ///
    /// # Errors
    ///
    /// [`DecodeError`] if the answer does not tell whether the records were appended.
    fn append_answer(&self, status: u16, body: &[u8]) -> Result<StoreOutcome, DecodeError>;

    /// Decodes a record of the configuration topic; none if the record holds no configuration.
    ///
    /// # Errors
    ///
    /// [`DecodeError`] if the configuration is invalid.
    fn configuration(&self, record: &KeyedRecord) -> Result<Option<Configuration>, DecodeError>;

    /// Decodes an upstream's entry from its key and value.
    ///
    /// # Errors
    ///
    /// [`DecodeError`] if the entry is invalid.
    fn upstream(&self, key: &str, value: &[u8]) -> Result<Upstream, DecodeError>;
}

/// Codec of calls to the engines' operating interface.
pub trait EngineCodec {
    /// Encodes the call that sends an order to an engine.
    fn order(&self, order: &Order) -> Vec<u8>;

    /// Decodes the answer to an order.
    fn order_answer(&self, order: &OrderKind, status: u16, body: &[u8]) -> OrderOutcome;

    /// Encodes the call that asks the upstream with this instance name whether it is healthy.
    fn health(&self, path: &str, instance: &InstanceName) -> Vec<u8>;

    /// Encodes the call that reads the report of the engine with this instance name.
    fn report(&self, instance: &InstanceName) -> Vec<u8>;

    /// Decodes an engine's report.
    ///
    /// # Errors
    ///
    /// [`DecodeError`] if the answer is no valid report.
    fn report_answer(&self, status: u16, body: &[u8]) -> Result<EngineReport, DecodeError>;
}

/// Codecs of one platform, for all that an entry VM exchanges messages with except other VMs.
pub struct Codecs {
    /// Codec of requests and answers between callers and upstreams.
    pub callers: Box<dyn CallerCodec>,
    /// Codec of calls to the store.
    pub store: Box<dyn StoreCodec>,
    /// Codec of calls to the engines' operating interface.
    pub engines: Box<dyn EngineCodec>,
}
