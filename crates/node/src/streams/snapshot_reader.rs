//! Reader of the snapshot stream.

use std::sync::Arc;

use log::warn;
use parking_lot::Mutex;

use apricotdale_core::Error;
use apricotdale_core::log::LogClient;
use apricotdale_core::names::StreamName;
use apricotdale_core::numbers::Offset;
use apricotdale_state::parts::SnapshotCatalog;
use apricotdale_state::snapshot::Lineage;
use apricotdale_state::snapshot::Section;

/// Maximum number of records of one read. A record is a part of up to 64 KiB.
const MAX_READ_RECORDS: usize = 64;

/// Reader of the snapshot stream that keeps the newest complete section of each stream.
pub struct SnapshotReader {
    stream: StreamName,
    log: Arc<dyn LogClient>,
    catalog: Mutex<SnapshotCatalog>,
}

impl SnapshotReader {
    /// Returns a reader that has read nothing.
    pub fn new(stream: StreamName, log: Arc<dyn LogClient>) -> Self {
        Self {
            stream,
            log,
            catalog: Mutex::new(SnapshotCatalog::new(Offset(0))),
        }
    }

    /// Returns the name of the snapshot stream.
    pub fn stream(&self) -> &StreamName {
        &self.stream
    }

    /// Reads to the end of the stream. Returns whether every read succeeded.
    pub fn read_to_end(&self) -> bool {
        let mut catalog = self.catalog.lock();
        loop {
            let from = catalog.next_offset();
            match self.log.read(&self.stream, from, MAX_READ_RECORDS, 0) {
                Ok(batch) => {
                    for record in &batch.records {
                        if let Err(error) = catalog.apply(record.offset, &record.payload) {
                            warn!("snapshot record {} was not applied: {error}", record.offset);
                        }
                    }
                    if catalog.next_offset() >= batch.end {
                        return true;
                    }
                }
                Err(Error::Expired { first }) => *catalog = SnapshotCatalog::new(first),
                Err(error) => {
                    warn!("reading the snapshot stream failed: {error}");
                    return false;
                }
            }
        }
    }

    /// Returns the newest complete section of a stream that has been read.
    pub fn newest(&self, stream: &StreamName) -> Option<Section> {
        self.catalog.lock().newest(stream).cloned()
    }

    /// Returns the lineage of a stream, which is its unbroken history, as far as it has been read.
    pub fn lineage(&self, stream: &StreamName) -> Lineage {
        self.catalog.lock().lineage(stream)
    }

    /// Returns the offset of the next record to read.
    pub fn next_offset(&self) -> Offset {
        self.catalog.lock().next_offset()
    }
}
