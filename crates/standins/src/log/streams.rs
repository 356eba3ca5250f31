//! Records of one stream.

use std::collections::VecDeque;

use apricotdale_core::log::LogRecord;
use apricotdale_core::numbers::Offset;

/// Limits on the records that a stream keeps.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Retention {
    /// Age at which a record expires, in milliseconds; absent if records don't expire by age.
    pub age_ms: Option<u64>,
    /// Maximum number of records; absent without a limit.
    pub records: Option<usize>,
}

/// Records of one stream that have not expired.
#[derive(Clone, Debug, Default)]
pub struct StreamRecords {
    first: u64,
    records: VecDeque<LogRecord>,
    last_appended_ms: u64,
    bytes_kept: u64,
}

impl StreamRecords {
    /// Returns the offset of the first record that is kept; the end if none is.
    pub fn first(&self) -> Offset {
        Offset(self.first)
    }

    /// Returns the offset that the next append gets.
    pub fn end(&self) -> Offset {
        Offset(self.first + self.records.len() as u64)
    }

    /// Returns the total size of the payloads that are kept, in bytes.
    pub fn bytes_kept(&self) -> u64 {
        self.bytes_kept
    }

    /// Appends a record and returns its offset. The record's time is never before that of its
    /// predecessor, even if the clock goes back.
    pub fn append(&mut self, now_ms: u64, payload: Vec<u8>) -> Offset {
        let offset = self.end();
        self.last_appended_ms = self.last_appended_ms.max(now_ms);
        self.bytes_kept += payload.len() as u64;
        self.records.push_back(LogRecord {
            offset,
            appended_ms: self.last_appended_ms,
            payload,
        });
        offset
    }

    /// Returns at most `max_records` records from an offset on, or none if the offset has expired.
    pub fn read(&self, from: Offset, max_records: usize) -> Option<Vec<LogRecord>> {
        let skipped = from.0.checked_sub(self.first)?;
        let skipped = usize::try_from(skipped).unwrap_or(usize::MAX);
        let records = self.records.iter().skip(skipped).take(max_records);
        Some(records.cloned().collect())
    }

    /// Drops the records before an offset.
    pub fn trim(&mut self, before: Offset) {
        while self.first < before.0 && !self.records.is_empty() {
            self.drop_first();
        }
    }

    /// Drops the records that exceed the retention.
    pub fn expire(&mut self, now_ms: u64, retention: Retention) {
        let max_records = retention.records.unwrap_or(usize::MAX);
        while self.records.len() > max_records || self.first_is_older(now_ms, retention.age_ms) {
            self.drop_first();
        }
    }

    fn first_is_older(&self, now_ms: u64, age_ms: Option<u64>) -> bool {
        let Some((record, age_ms)) = self.records.front().zip(age_ms) else {
            return false;
        };
        record.appended_ms.saturating_add(age_ms) <= now_ms
    }

    fn drop_first(&mut self) {
        if let Some(record) = self.records.pop_front() {
            self.first += 1;
            self.bytes_kept -= record.payload.len() as u64;
        }
    }
}
