//! The platform's append-only log.

use serde::Deserialize;
use serde::Serialize;

use crate::errors::Result;
use crate::names::StreamName;
use crate::numbers::Offset;

/// `LogRecord` is one record as it stands on a stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogRecord {
    /// The record's position.
    pub offset: Offset,
    /// The time at which the log service took the record, in milliseconds of Unix time. All
    /// readers see the same value, so replay may use it as its clock.
    pub appended_ms: u64,
    /// The record's bytes.
    pub payload: Vec<u8>,
}

/// `LogBatch` is the answer to a read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogBatch {
    /// The records, in order of offset.
    pub records: Vec<LogRecord>,
    /// The first offset that is still kept.
    pub first: Offset,
    /// The offset that the next append will get.
    pub end: Offset,
}

/// `LogClient` is the platform's append-only log service.
pub trait LogClient: Send + Sync {
    /// Appends one record and returns its offset.
    ///
    /// # Errors
    ///
    /// `Error::Unavailable` if the record was certainly not appended, `Error::Unknown` if it may
    /// have been or may still be.
    fn append(&self, stream: &StreamName, payload: &[u8]) -> Result<Offset>;

    /// Returns the records from an offset on, waiting up to `wait_ms` for the first one.
    ///
    /// # Errors
    ///
    /// `Error::Expired` if the offset is older than the first one kept, `Error::Unavailable` if
    /// the service can't be reached.
    fn read(
        &self,
        stream: &StreamName,
        from: Offset,
        max_records: usize,
        wait_ms: u64,
    ) -> Result<LogBatch>;
}
