//! Appends the claims and ends of one claim stream, in batches.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use crossbeam_channel::RecvTimeoutError;
use log::warn;

use apricotdale_core::Error;
use apricotdale_core::claims::ClaimBatch;
use apricotdale_core::claims::ClaimRecord;
use apricotdale_core::log::LogClient;
use apricotdale_telemetry::Metrics;
use apricotdale_telemetry::StreamKind;

use super::claim_stream::ClaimStream;
use crate::appender::append_outcome;

/// How long the first record of a batch waits for others. The log takes several hundred appends a
/// second in all, so claims have to share them.
const GATHER: Duration = Duration::from_millis(3);

/// The most records of one batch.
const BATCH_RECORDS: usize = 128;

/// The pause between two tries of an append.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// How often an append of unknown outcome is repeated for claims alone.
const UNKNOWN_TRIES: u32 = 10;

/// How often the thread looks whether it should stop.
const STOP_CHECK: Duration = Duration::from_millis(200);

/// `ClaimWriter` appends the records of one claim stream.
pub struct ClaimWriter {
    /// The stream.
    pub stream: Arc<ClaimStream>,
    /// The log.
    pub log: Arc<dyn LogClient>,
    /// The metrics.
    pub metrics: Arc<Metrics>,
    /// Set when the daemon stops.
    pub stop: Arc<AtomicBool>,
}

impl ClaimWriter {
    /// Appends until the daemon stops.
    pub fn run(self) {
        while let Some(batch) = self.gather() {
            self.append(batch);
        }
    }

    /// Returns the next batch, or none when the daemon stops.
    fn gather(&self) -> Option<Vec<ClaimRecord>> {
        let queued = self.stream.queued();
        let first = loop {
            match queued.recv_timeout(STOP_CHECK) {
                Ok(record) => break record,
                Err(RecvTimeoutError::Timeout) if !self.stopped() => {}
                Err(_) => return None,
            }
        };
        let mut batch = vec![first];
        while batch.len() < BATCH_RECORDS {
            match queued.recv_timeout(GATHER) {
                Ok(record) => batch.push(record),
                Err(_) => break,
            }
        }
        Some(batch)
    }

    /// Appends a batch. Claims are given up when the log refuses; ends are kept until they are on
    /// the stream, since a lost end would leave its key in progress for ever.
    fn append(&self, mut batch: Vec<ClaimRecord>) {
        let mut unknown_tries = 0;
        while !batch.is_empty() {
            let payload = ClaimBatch {
                entries: batch.clone(),
            }
            .encode();
            let outcome = self.log.append(&self.stream.name, &payload);
            let counted = append_outcome(&outcome);
            self.metrics
                .node()
                .record_append(StreamKind::Claims, counted);
            let error = match outcome {
                Ok(_) => {
                    drop_claims(&mut batch);
                    return self.stream.note_ends_appended(batch.len());
                }
                Err(error) => error,
            };
            warn!("append to {} failed: {error}", self.stream.name);
            let certain = matches!(error, Error::Unavailable(_) | Error::Rejected(_));
            unknown_tries += u32::from(!certain);
            match certain {
                true if unknown_tries == 0 => self.give_up_claims(&mut batch),
                // Claims of unknown outcome are neither refused as not appended nor repeated for
                // ever: their requests time out, and replay frees the key if a claim wins late.
                _ if unknown_tries >= UNKNOWN_TRIES => drop_claims(&mut batch),
                _ => {}
            }
            if self.stopped() {
                return;
            }
            thread::sleep(RETRY_PAUSE);
        }
    }

    fn give_up_claims(&self, batch: &mut Vec<ClaimRecord>) {
        for record in batch.iter() {
            if let ClaimRecord::Claim(claim) = record {
                self.stream.fail(&claim.request);
            }
        }
        drop_claims(batch);
    }

    fn stopped(&self) -> bool {
        self.stop.load(Ordering::Relaxed)
    }
}

fn drop_claims(batch: &mut Vec<ClaimRecord>) {
    batch.retain(|record| matches!(record, ClaimRecord::Finish(_)));
}
