//! Replays one claim stream.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use log::warn;

use apricotdale_core::log::LogClient;
use apricotdale_core::log::LogRecord;
use apricotdale_state::claims::ClaimVerdict;
use apricotdale_state::claims::DecidedClaim;

use super::claim_stream::ClaimStream;

/// The most records asked for in one read.
const READ_RECORDS: usize = 500;

/// The pause after a read that failed.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// `ClaimTail` replays one claim stream.
pub struct ClaimTail {
    /// The stream.
    pub stream: Arc<ClaimStream>,
    /// The log.
    pub log: Arc<dyn LogClient>,
    /// How long a read waits for a first record.
    pub wait_ms: u64,
    /// This process.
    pub process_id: u64,
    /// Set when the daemon stops.
    pub stop: Arc<AtomicBool>,
}

impl ClaimTail {
    /// Replays until the daemon stops.
    pub fn run(self) {
        while !self.stop.load(Ordering::Relaxed) {
            let from = self.stream.with_table(|table| table.next_offset());
            match self
                .log
                .read(&self.stream.name, from, READ_RECORDS, self.wait_ms)
            {
                Ok(batch) => batch.records.iter().for_each(|record| self.replay(record)),
                Err(error) => {
                    warn!("reading {} failed: {error}", self.stream.name);
                    thread::sleep(RETRY_PAUSE);
                }
            }
        }
    }

    fn replay(&self, record: &LogRecord) {
        let decided = self
            .stream
            .with_table(|table| table.apply(record.offset, record.appended_ms, &record.payload));
        match decided {
            Ok(decided) => decided.iter().for_each(|claim| self.tell(claim)),
            Err(reason) => warn!(
                "claim record {} was ignored: {}",
                record.offset,
                reason.as_str()
            ),
        }
    }

    fn tell(&self, claim: &DecidedClaim) {
        let is_claim = !matches!(claim.verdict, ClaimVerdict::Ended | ClaimVerdict::NotHolder);
        if !is_claim || self.stream.decide(&claim.request, &claim.verdict) {
            return;
        }
        // An append whose answer was lost can come onto the stream after its request was refused as
        // not run. The key would then be held by a request that never runs, and every repetition
        // would be told that it is in progress.
        if claim.verdict == ClaimVerdict::Won && self.is_own(claim) {
            self.stream.free(&claim.key, &claim.request);
        }
    }

    fn is_own(&self, claim: &DecidedClaim) -> bool {
        let entry = self.stream.entry(&claim.key);
        entry.is_some_and(|entry| {
            entry.process_id == self.process_id && entry.request == claim.request
        })
    }
}
