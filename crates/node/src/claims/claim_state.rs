//! Replay of one claim stream.

use std::sync::Arc;

use log::warn;
use parking_lot::Mutex;

use apricotdale_core::log::LogRecord;
use apricotdale_core::names::StreamName;
use apricotdale_core::numbers::Offset;
use apricotdale_state::ClaimTable;
use apricotdale_state::Result;
use apricotdale_state::catch_up::Position;
use apricotdale_state::claims::ClaimOptions;
use apricotdale_state::claims::ClaimVerdict;
use apricotdale_state::claims::DecidedClaim;
use apricotdale_state::snapshot::Lineage;
use apricotdale_state::snapshot::Section;

use super::claim_stream::ClaimStream;
use crate::streams::StreamState;

/// Replayed state of one claim stream; wakes the requests that wait for its verdicts.
pub struct ClaimState {
    stream: Arc<ClaimStream>,
    process_id: u64,
    lineage: Mutex<Option<Lineage>>,
}

impl ClaimState {
    /// Returns the state of a stream of which nothing has been read.
    pub fn new(stream: Arc<ClaimStream>, process_id: u64) -> Self {
        Self {
            stream,
            process_id,
            lineage: Mutex::new(None),
        }
    }

    fn replay_one(&self, record: &LogRecord) {
        let decided = self
            .stream
            .with_table(|table| table.apply(record.offset, record.appended_ms, &record.payload));
        match decided {
            Ok(decided) => decided.iter().for_each(|claim| self.deliver_verdict(claim)),
            Err(reason) => warn!(
                "claim record {} was ignored: {}",
                record.offset,
                reason.as_str()
            ),
        }
    }

    fn deliver_verdict(&self, claim: &DecidedClaim) {
        let is_own = claim.process_id == Some(self.process_id);
        if !is_own || self.stream.decide(&claim.request, &claim.verdict) {
            return;
        }
        // The record of an append whose answer was lost can appear on the stream after its request
        // was refused as not run. The key would then be held by a request that never runs, and each
        // duplicate would be refused because the call is in progress.
        if claim.verdict == ClaimVerdict::Won {
            self.stream.free(&claim.key, &claim.request);
        }
    }
}

impl StreamState for ClaimState {
    fn stream(&self) -> &StreamName {
        &self.stream.name
    }

    fn position(&self) -> Option<Position> {
        let lineage = (*self.lineage.lock())?;
        let next = self.stream.with_table(|table| table.next_offset());
        Some(Position { lineage, next })
    }

    fn begin(&self) {
        *self.lineage.lock() = Some(Lineage::default());
    }

    fn replay(&self, records: &[LogRecord]) {
        records.iter().for_each(|record| self.replay_one(record));
    }

    fn section(&self) -> Option<Section> {
        let lineage = (*self.lineage.lock())?;
        Some(
            self.stream
                .with_table(|table| Section::of_claims(lineage, table)),
        )
    }

    fn install(&self, section: &Section) -> Result<()> {
        let installed = section.claims()?;
        self.stream.with_table(|table| *table = installed);
        *self.lineage.lock() = Some(section.lineage);
        Ok(())
    }

    fn fresh_start(&self, next: Offset, _: Option<&Section>) -> Vec<u8> {
        let table = ClaimTable::after_loss(next, ClaimOptions::default());
        Section::of_claims(Lineage::default(), &table).bytes
    }

    fn mark_caught_up(&self) {
        self.stream.mark_caught_up();
    }
}
