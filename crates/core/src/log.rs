//! Client interface of the platform's append-only log.

use serde::Deserialize;
use serde::Serialize;

use crate::errors::Result;
use crate::names::StreamName;
use crate::numbers::Offset;

/// One record as stored on a stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogRecord {
    /// Position of the record on its stream.
    pub offset: Offset,
    /// Time at which the log service appended the record, in milliseconds of Unix time. All
    /// readers see the same value, so replay may use it as its clock.
    pub appended_ms: u64,
    /// Bytes of the record as they were appended.
    pub payload: Vec<u8>,
}

/// Result of one read of a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogBatch {
    /// Records in order of offset; empty if none arrived in time.
    pub records: Vec<LogRecord>,
    /// First offset that the log still keeps.
    pub first: Offset,
    /// Offset that the next appended record will get.
    pub end: Offset,
}

/// Client of the platform's append-only log service.
pub trait LogClient: Send + Sync {
    /// Appends one record and returns its offset.
    ///
    /// # Errors
    ///
    /// `Error::Unavailable` if the record was certainly not appended, `Error::Unknown` if it may
    /// have been appended or may still be.
    fn append(&self, stream: &StreamName, payload: &[u8]) -> Result<Offset>;

    /// Returns up to `max_records` records starting at the offset `from`, and waits up to `wait_ms`
    /// for the first one.
    ///
    /// # Errors
    ///
    /// `Error::Expired` if the log no longer keeps the offset, `Error::Unavailable` if the service
    /// can't be reached.
    fn read(
        &self,
        stream: &StreamName,
        from: Offset,
        max_records: usize,
        wait_ms: u64,
    ) -> Result<LogBatch>;
}
