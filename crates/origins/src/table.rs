//! Origins of streams that callers may resume.

use std::collections::HashMap;
use std::collections::HashSet;
use std::collections::VecDeque;

use apricotdale_core::origin::Origin;
use serde::Deserialize;
use serde::Serialize;

use crate::stream_id::StreamId;

/// Largest number of records, as a multiple of the largest number of streams. Each resumption of a
/// stream, and each repeated statement, is a record of its own.
const MAX_RECORDS_PER_STREAM: usize = 2;

/// Limits of an [`OriginTable`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TableOptions {
    /// Time for which an origin is kept, in milliseconds. A caller resumes a stream only within the
    /// time for which it waits for the answer.
    pub lifetime_ms: u64,
    /// Largest number of origins. The oldest one is dropped first.
    pub max_streams: usize,
}

impl Default for TableOptions {
    fn default() -> Self {
        Self {
            lifetime_ms: 10_000,
            max_streams: 40_000,
        }
    }
}

/// Origin of one stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamOrigin {
    /// Identity of the stream.
    pub stream: StreamId,
    /// Origin of its first event.
    pub origin: Origin,
}

/// What is recorded of a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Recorded {
    /// Its origin.
    Origin(Origin),
    /// Origins that exclude each other: nothing tells which of them brought the first event.
    Conflict,
}

#[derive(Clone, Debug)]
struct Kept {
    at_ms: u64,
    recorded: Recorded,
}

/// Origins of the streams that this VM began or was told of.
#[derive(Debug, Default)]
pub struct OriginTable {
    options: TableOptions,
    by_stream: HashMap<StreamId, Kept>,
    /// Streams in the order in which they were recorded, with the time. A stream that was recorded
    /// again occurs more than once.
    order: VecDeque<(u64, StreamId)>,
    dropped: u64,
}

impl OriginTable {
    /// Returns an empty table.
    pub fn new(options: TableOptions) -> Self {
        Self {
            options,
            ..Self::default()
        }
    }

    /// Sets the time for which an origin is kept, in milliseconds.
    pub fn set_lifetime_ms(&mut self, lifetime_ms: u64) {
        self.options.lifetime_ms = lifetime_ms;
    }

    /// Returns the time for which an origin is kept, in milliseconds.
    pub fn lifetime_ms(&self) -> u64 {
        self.options.lifetime_ms
    }

    /// Records the origin of a stream. If it excludes the one that is known, the stream has none.
    pub fn record(&mut self, now_ms: u64, stated: StreamOrigin) {
        self.drop_expired(now_ms);
        let known = self.by_stream.get(&stated.stream);
        let recorded = match known.map(|kept| &kept.recorded) {
            None => Recorded::Origin(stated.origin),
            Some(Recorded::Origin(known)) if known.accepts(&stated.origin) => {
                Recorded::Origin(known.clone())
            }
            Some(_) => Recorded::Conflict,
        };
        let kept = Kept {
            at_ms: now_ms,
            recorded,
        };
        let former = self.by_stream.insert(stated.stream, kept);
        if former.is_none_or(|former| former.at_ms != now_ms) {
            self.order.push_back((now_ms, stated.stream));
        }
        let max_records = self
            .options
            .max_streams
            .saturating_mul(MAX_RECORDS_PER_STREAM);
        while self.by_stream.len() > self.options.max_streams || self.order.len() > max_records {
            self.dropped += u64::from(self.drop_oldest());
        }
    }

    /// Returns what is recorded of a stream; `None` if the table does not have it.
    pub fn get(&self, now_ms: u64, stream: StreamId) -> Option<&Recorded> {
        let kept = self.by_stream.get(&stream)?;
        let is_valid = now_ms.saturating_sub(kept.at_ms) <= self.options.lifetime_ms;
        is_valid.then_some(&kept.recorded)
    }

    /// Returns the newest streams whose origin is known, at most `count`.
    pub fn newest(&self, count: usize) -> Vec<StreamOrigin> {
        let streams = self.order.iter().rev().map(|(_, stream)| *stream);
        let mut seen = HashSet::new();
        let streams = streams.filter(|stream| seen.insert(*stream)).take(count);
        let origins = streams.filter_map(|stream| match &self.by_stream.get(&stream)?.recorded {
            Recorded::Origin(origin) => Some(StreamOrigin {
                stream,
                origin: origin.clone(),
            }),
            Recorded::Conflict => None,
        });
        origins.collect()
    }

    /// Returns the number of streams.
    pub fn len(&self) -> usize {
        self.by_stream.len()
    }

    /// Returns whether the table has no streams.
    pub fn is_empty(&self) -> bool {
        self.by_stream.is_empty()
    }

    /// Returns the number of streams that were dropped before the end of their time.
    pub fn dropped(&self) -> u64 {
        self.dropped
    }

    fn drop_expired(&mut self, now_ms: u64) {
        let lifetime_ms = self.options.lifetime_ms;
        let is_expired = |(at_ms, _): &(u64, StreamId)| now_ms.saturating_sub(*at_ms) > lifetime_ms;
        while self.order.front().is_some_and(is_expired) {
            self.drop_oldest();
        }
    }

    /// Removes the first record of the order. Returns whether its stream is dropped with it, which
    /// it is unless it was recorded again later.
    fn drop_oldest(&mut self) -> bool {
        let Some((at_ms, stream)) = self.order.pop_front() else {
            return false;
        };
        let is_last = self
            .by_stream
            .get(&stream)
            .is_some_and(|kept| kept.at_ms == at_ms);
        if is_last {
            self.by_stream.remove(&stream);
        }
        is_last
    }
}
