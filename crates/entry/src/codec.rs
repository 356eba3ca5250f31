//! What a platform's codecs translate between bytes and the product's types.

use std::fmt;
use std::sync::Arc;

use apricotdale_core::names::InstanceName;
use apricotdale_core::names::RequestId;
use apricotdale_core::refusal::Refusal;
use apricotdale_dispatch::LoadSample;
use apricotdale_fleet::Configuration;
use apricotdale_fleet::ServingRequest;
use apricotdale_fleet::Upstream;
use apricotdale_holder::EngineReport;
use apricotdale_holder::Order;
use apricotdale_holder::OrderKind;
use apricotdale_holder::OrderOutcome;
use apricotdale_http1::RequestHead;
use apricotdale_http1::ResponseHead;

/// `DecodeError` is why a message can't be decoded.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DecodeError {
    /// What is wrong, for logs and for the caller.
    pub detail: String,
}

impl DecodeError {
    /// Returns an error with this detail.
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

/// `ForwardFields` is what the daemon adds to a request that it forwards.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ForwardFields {
    /// The upstream that is meant; another one at its address must not run the request.
    pub instance: InstanceName,
    /// The time that is left for the request.
    pub left_ms: u64,
    /// The last event that the caller has, if the stream is resumed.
    pub last_event: Option<u64>,
    /// The rank of the request; 0 goes first.
    pub rank: u32,
    /// The organisation that holds the caller's key, if the request carries one.
    pub organisation: Option<Arc<str>>,
}

/// `AnswerFields` is what the head of an upstream's answer says.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AnswerFields {
    /// The request that it answers, if it says so.
    pub request: Option<RequestId>,
    /// Whether it carries an upstream's signature.
    pub signed: bool,
    /// Whether the upstream says that it did not run the request and will not.
    pub not_run: bool,
    /// Whether the request was meant for another upstream, or for a model that is not there.
    pub misdirected: bool,
    /// Whether the body is encoded, which no upstream's own is.
    pub encoded: bool,
    /// The upstream's load.
    pub load: Option<LoadSample>,
    /// The version of the model's weights that made it, if it says so.
    pub version: Option<u64>,
    /// The upstream that answered, if it says so.
    pub answered_by: Option<InstanceName>,
    /// How long the connection may stay idle.
    pub idle_ms: Option<u64>,
}

/// `StreamFormat` is how upstreams write streams of events.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StreamFormat {
    /// The number of the first event, where upstreams keep to one.
    pub first_event: Option<u64>,
    /// The field of an event that names a new version of the model's weights.
    pub version_field: Option<&'static str>,
}

/// `CallerCodec` translates between callers and upstreams.
pub trait CallerCodec {
    /// Decodes a caller's request.
    ///
    /// # Errors
    ///
    /// [`DecodeError`] for a request that no upstream may get.
    fn decode(&self, head: &RequestHead) -> Result<ServingRequest, DecodeError>;

    /// Removes the caller's key from a request, so that it is neither kept nor passed on.
    fn remove_key(&self, head: &mut RequestHead);

    /// Returns the bytes of the request as an upstream gets it.
    fn forward(&self, head: &RequestHead, body: &[u8], fields: &ForwardFields) -> Vec<u8>;

    /// Decodes the head of an upstream's answer.
    fn answer(&self, head: &ResponseHead) -> AnswerFields;

    /// Returns how upstreams write streams of events.
    fn stream_format(&self) -> StreamFormat;

    /// Returns the bytes of a whole refusal. `id` is the request's, where it is known.
    fn refusal(&self, refusal: &Refusal, id: Option<&RequestId>, close: bool) -> Vec<u8>;
}

/// `Topic` is a topic of the platform's store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Topic {
    /// The operators' configuration; the newest record of each key is kept.
    Configuration,
    /// The upstreams' entries; the newest record of each key is kept.
    Upstreams,
    /// The VMs' own entries; the newest record of each key is kept.
    Vms,
    /// The copy of the list that the giver of orders keeps.
    ListSnapshot,
    /// The lease for orders.
    Lease,
    /// Requests that are refused because upstreams crash under them; the newest record of each key
    /// is kept.
    Blocks,
}

impl Topic {
    /// Returns the word for logs and metrics.
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

/// `KeyedRecord` is a record of a topic that keeps the newest of each key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyedRecord {
    /// The key.
    pub key: String,
    /// The value; none drops the key.
    pub value: Option<Vec<u8>>,
}

/// `KeyedPage` is a page of the newest records.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyedPage {
    /// The records.
    pub records: Vec<KeyedRecord>,
    /// Whether more pages follow, after the last key.
    pub more: bool,
    /// The topic's end.
    pub end: u64,
}

/// `LogRead` is what a read of a topic found.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LogRead {
    /// The records from the offset that was asked for.
    Records {
        /// The topic's end.
        end: u64,
        /// The records.
        records: Vec<Vec<u8>>,
    },
    /// The records that were asked for are no longer kept.
    Expired {
        /// The first offset that is.
        first: u64,
    },
}

/// `StoreOutcome` is how a write to the store ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreOutcome {
    /// It was done, at this offset.
    Done {
        /// The offset of the first record.
        offset: u64,
    },
    /// Its condition did not hold; the topic ends here.
    EndedElsewhere {
        /// The topic's end.
        end: u64,
    },
    /// Nothing was done.
    NotDone,
}

/// `StoreCodec` translates between the daemon and the platform's store.
pub trait StoreCodec {
    /// Returns how often the store has come back from an older copy, as an answer's head tells it;
    /// none if it does not.
    fn era(&self, head: &ResponseHead) -> Option<u64>;

    /// Returns the call that reads a topic from an offset, waiting for a record if there is none.
    fn read(&self, topic: Topic, from: u64, wait_ms: u64) -> Vec<u8>;

    /// Decodes its answer.
    ///
    /// # Errors
    ///
    /// [`DecodeError`] if the store refused the call or the answer is none of its.
    fn read_answer(&self, status: u16, body: &[u8]) -> Result<LogRead, DecodeError>;

    /// Decodes a record of a topic that keeps the newest of each key.
    ///
    /// # Errors
    ///
    /// [`DecodeError`] if it is none.
    fn keyed(&self, record: &[u8]) -> Result<KeyedRecord, DecodeError>;

    /// Returns the call that reads the newest record of each key, after a key.
    fn newest(&self, topic: Topic, after: Option<&str>) -> Vec<u8>;

    /// Decodes its answer.
    ///
    /// # Errors
    ///
    /// As for [`StoreCodec::read_answer`].
    fn newest_answer(&self, status: u16, body: &[u8]) -> Result<KeyedPage, DecodeError>;

    /// Returns the call that appends one record, if the topic ends at `at` where that is given.
    fn append(&self, topic: Topic, at: Option<u64>, record: &[u8]) -> Vec<u8>;

    /// Returns the call that appends records with keys, all or none.
    fn append_keyed(&self, topic: Topic, records: &[(String, Vec<u8>)]) -> Vec<u8>;

    /// Decodes the answer to an append.
    ///
    /// # Errors
    ///
    /// [`DecodeError`] if it tells neither that it was done nor that it was not.
    fn append_answer(&self, status: u16, body: &[u8]) -> Result<StoreOutcome, DecodeError>;

    /// Decodes the operators' configuration.
    ///
    /// # Errors
    ///
    /// [`DecodeError`] if it is none.
    fn configuration(&self, record: &KeyedRecord) -> Result<Option<Configuration>, DecodeError>;

    /// Decodes an upstream's entry.
    ///
    /// # Errors
    ///
    /// [`DecodeError`] if it is none.
    fn upstream(&self, key: &str, value: &[u8]) -> Result<Upstream, DecodeError>;
}

/// `EngineCodec` translates between the daemon and the engines' operating interface.
pub trait EngineCodec {
    /// Returns the call that gives an order.
    fn order(&self, order: &Order) -> Vec<u8>;

    /// Decodes its answer.
    fn order_answer(&self, order: &OrderKind, status: u16, body: &[u8]) -> OrderOutcome;

    /// Returns the call that reads an engine's report.
    fn report(&self, instance: &InstanceName) -> Vec<u8>;

    /// Decodes its answer.
    ///
    /// # Errors
    ///
    /// [`DecodeError`] if it is no report.
    fn report_answer(&self, status: u16, body: &[u8]) -> Result<EngineReport, DecodeError>;
}

/// `Codecs` is the set of codecs of one platform.
pub struct Codecs {
    /// Towards callers and upstreams.
    pub callers: Box<dyn CallerCodec>,
    /// Towards the store.
    pub store: Box<dyn StoreCodec>,
    /// Towards the engines' operating interface.
    pub engines: Box<dyn EngineCodec>,
}
