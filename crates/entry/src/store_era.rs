//! The store's era, which counts its rollbacks, and the handling of a rollback.
//!
//! In a rollback the store is restored from an older copy: later records are lost, and their
//! offsets are assigned again. A position of an earlier era says nothing about the current end of a
//! topic. Each VM therefore keeps the state that it has, discards its read positions, and treats
//! missing entries as after an outage. Operators and upstreams write their records again by
//! themselves; what VMs keep in the store is rewritten here.

use apricotdale_core::numbers::Position;

use crate::calls::CallAnswer;
use crate::calls::CallOutcome;
use crate::calls::CallTag;
use crate::daemon::Daemon;

/// Latest known era of the store.
#[derive(Debug, Default)]
pub(crate) struct StoreEra {
    known: Option<u64>,
}

impl StoreEra {
    /// Returns the latest known era; 0 if none is known.
    pub fn now(&self) -> u64 {
        self.known.unwrap_or_default()
    }

    /// Returns a position in the latest known era.
    pub fn position(&self, offset: u64) -> Position {
        Position::new(self.now(), offset)
    }

    /// Returns whether a later era than this one is known.
    pub fn is_past(&self, era: u64) -> bool {
        era < self.now()
    }

    /// Records an era. Returns the previous one if this era is new to this VM; none otherwise, and
    /// for the first era.
    fn record(&mut self, era: u64) -> Option<u64> {
        let before = self.known;
        self.known = before.max(Some(era));
        before.filter(|before| *before < era)
    }
}

impl Daemon {
    /// Returns the outcome of an answered call. An answer of an earlier era counts as none.
    pub(crate) fn era_checked_outcome(
        &mut self,
        tag: &CallTag,
        request_era: u64,
        answer: CallAnswer,
    ) -> CallOutcome {
        let CallAnswer { status, era, body } = answer;
        if let Some(era) = era.filter(|_| tag.targets_store()) {
            if self.store_era.is_past(era) {
                self.metrics.answer_of_earlier_era(tag.as_str());
                return CallOutcome::Unknown;
            }
            let knew_another = self.store_era.known.is_some_and(|_| request_era < era);
            self.handle_era(era);
            if knew_another && tag.continues_from_position() {
                return CallOutcome::RolledBack;
            }
        }
        CallOutcome::Answered { status, body }
    }

    /// Records the era of the store as stated by a store's answer or by another VM, and handles a
    /// rollback that this reveals.
    pub(crate) fn handle_era(&mut self, era: u64) {
        let now_ms = self.now_ms;
        self.engine_orders.record_era(now_ms, era);
        let Some(before) = self.store_era.record(era) else {
            return;
        };
        self.metrics.store_rolled_back();
        log::warn!(
            era, before, list_read_to = self.store_pollers.list_read_to().to_string(),
            lease_end = self.engine_orders.lease_end().to_string(),
            configuration = self.directory.version();
            "store came back from an older copy"
        );
        self.directory.record_list_rollback(now_ms);
        self.configuration_evidence.record_rollback(now_ms);
        let holds_lease = self.engine_orders.held_lease_end(now_ms).is_some();
        self.store_pollers
            .handle_rollback(now_ms, holds_lease, &mut self.pacing);
        self.block_store.handle_rollback();
        self.learned_store.handle_rollback();
        self.redispatch_needed = true;
    }
}
