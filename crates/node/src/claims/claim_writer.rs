//! Appends the records of one claim stream in batches.

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

/// Longest gap between two records of a batch. The log accepts several hundred appends a second in
/// total, so claims have to share them.
const MAX_RECORD_GAP: Duration = Duration::from_millis(3);

/// Maximum number of records of one batch.
const MAX_BATCH_RECORDS: usize = 128;

/// Pause between two attempts of an append.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// Appends of unknown outcome after which a batch's claims are dropped.
const MAX_UNKNOWN_ATTEMPTS: u32 = 10;

/// Interval at which the thread checks the stop flag.
const STOP_CHECK: Duration = Duration::from_millis(200);

/// Thread that appends the queued records of one claim stream.
pub struct ClaimWriter {
    /// Claim stream whose queue is appended.
    pub stream: Arc<ClaimStream>,
    /// Client of the platform's log.
    pub log: Arc<dyn LogClient>,
    /// Metrics of this daemon.
    pub metrics: Arc<Metrics>,
    /// Set when the daemon's threads have to end.
    pub stop: Arc<AtomicBool>,
}

impl ClaimWriter {
    /// Appends until the daemon stops.
    pub fn run(self) {
        while let Some(batch) = self.gather() {
            self.append(batch);
        }
    }

    /// Returns the next batch, or none once the daemon stops.
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
        while batch.len() < MAX_BATCH_RECORDS {
            match queued.recv_timeout(MAX_RECORD_GAP) {
                Ok(record) => batch.push(record),
                Err(_) => break,
            }
        }
        Some(batch)
    }

    /// Appends a batch. Its claims are dropped if the log rejects them; its finish records are
    /// retried until they are appended, since a lost one would leave its key in progress for ever.
    fn append(&self, mut batch: Vec<ClaimRecord>) {
        let mut unknown_attempts = 0;
        while !batch.is_empty() {
            let payload = ClaimBatch {
                entries: batch.clone(),
            }
            .encode();
            let outcome = self.log.append(&self.stream.name, &payload);
            let metric_outcome = append_outcome(&outcome);
            self.metrics
                .node()
                .record_append(StreamKind::Claims, metric_outcome);
            let error = match outcome {
                Ok(_) => {
                    drop_claims(&mut batch);
                    return self.stream.record_finishes_appended(batch.len());
                }
                Err(error) => error,
            };
            warn!("append to {} failed: {error}", self.stream.name);
            let is_certain = matches!(error, Error::Unavailable(_) | Error::Rejected(_));
            unknown_attempts += u32::from(!is_certain);
            match is_certain {
                true if unknown_attempts == 0 => self.reject_claims(&mut batch),
                // Claims of unknown outcome are neither refused as not appended nor retried for
                // ever: their requests time out, and replay frees the key if a claim wins late.
                _ if unknown_attempts >= MAX_UNKNOWN_ATTEMPTS => drop_claims(&mut batch),
                _ => {}
            }
            if self.stopped() {
                return;
            }
            thread::sleep(RETRY_PAUSE);
        }
    }

    fn reject_claims(&self, batch: &mut Vec<ClaimRecord>) {
        for record in batch.iter() {
            if let ClaimRecord::Claim(claim) = record {
                self.stream.mark_not_appended(&claim.request);
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
