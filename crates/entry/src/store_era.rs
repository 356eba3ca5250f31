//! The era of the store: what follows when it has come back from an older copy.
//!
//! What was written since that copy is gone, and offsets are given out again. A position of an
//! earlier era says nothing of where a topic ends now, so each VM keeps what it knows, forgets the
//! places up to which it had read, and takes what is missing for missing as after an outage.
//! Operators and upstreams write theirs again by themselves; what VMs keep in the store they write
//! again here.

use apricotdale_core::numbers::Position;

use crate::calling::CallAnswer;
use crate::calling::CallOutcome;
use crate::calling::CallTag;
use crate::daemon::Daemon;

/// `StoreEra` is the latest era of the store that is known.
#[derive(Debug, Default)]
pub(crate) struct StoreEra {
    known: Option<u64>,
}

impl StoreEra {
    /// Returns the era as far as it is known.
    pub fn now(&self) -> u64 {
        self.known.unwrap_or_default()
    }

    /// Returns a position of this era.
    pub fn position(&self, offset: u64) -> Position {
        Position::new(self.now(), offset)
    }

    /// Returns whether a later era than this one is known.
    pub fn is_past(&self, era: u64) -> bool {
        era < self.now()
    }

    /// Takes in an era. Returns the one before, if it has just begun for this VM.
    fn note(&mut self, era: u64) -> Option<u64> {
        let before = self.known;
        self.known = before.max(Some(era));
        before.filter(|before| *before < era)
    }
}

impl Daemon {
    /// Returns how a call ended that was answered. An answer of an earlier era changes nothing.
    pub(crate) fn outcome_in_era(
        &mut self,
        tag: &CallTag,
        asked_era: u64,
        answer: CallAnswer,
    ) -> CallOutcome {
        let CallAnswer { status, era, body } = answer;
        if let Some(era) = era.filter(|_| tag.is_of_store()) {
            if self.store_era.is_past(era) {
                self.metrics.answer_of_earlier_era(tag.as_str());
                return CallOutcome::Unknown;
            }
            let knew_another = self.store_era.known.is_some_and(|_| asked_era < era);
            self.note_era(era);
            if knew_another && tag.names_a_place() {
                return CallOutcome::SetBack;
            }
        }
        CallOutcome::Answered { status, body }
    }

    /// Takes in the era of the store, as one of its answers or another VM tells it.
    pub(crate) fn note_era(&mut self, era: u64) {
        let now_ms = self.now_ms;
        self.ordering.note_era(now_ms, era);
        let Some(before) = self.store_era.note(era) else {
            return;
        };
        self.metrics.store_set_back();
        log::warn!(
            era, before, list_read_to = self.feeds.list_read_to().to_string(),
            lease_end = self.ordering.lease_end().to_string(),
            configuration = self.directory.version();
            "store came back from an older copy"
        );
        self.directory.record_list_rollback(now_ms);
        let leads = self.ordering.held_lease_end(now_ms).is_some();
        self.feeds.set_back(now_ms, leads, &mut self.pacing);
        self.block_store.set_back();
        self.look_again = true;
    }
}
