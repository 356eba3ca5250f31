//! What was decided lately, so that whoever appended a record learns its verdict.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use serde::Deserialize;
use serde::Serialize;

use apricotdale_core::numbers::Offset;

use crate::verdict::Verdict;

/// The most recent offsets whose verdicts are kept.
pub const MAX_KEPT_VERDICTS: usize = 1024;
/// The most recent configuration changes whose verdicts are kept: two days of them.
pub const MAX_KEPT_CHANGES: usize = 4096;

/// `DecidedChange` is the verdict on a configuration change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DecidedChange {
    /// Where the change was.
    pub offset: Offset,
    /// What became of it.
    pub verdict: Verdict,
}

/// `History` holds recent verdicts by offset and by the identity of a configuration change.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct History {
    verdicts: VecDeque<(Offset, Verdict)>,
    changes: BTreeMap<u64, DecidedChange>,
    change_order: VecDeque<u64>,
}

impl History {
    /// Returns the verdict on the record at an offset, or none if it is too old or not yet there.
    pub fn verdict(&self, offset: Offset) -> Option<&Verdict> {
        let index = self
            .verdicts
            .binary_search_by_key(&offset, |(offset, _)| *offset)
            .ok()?;
        Some(&self.verdicts[index].1)
    }

    /// Returns the verdict on a configuration change, or none if it is too old or not yet there.
    pub fn change(&self, change_id: u64) -> Option<&DecidedChange> {
        self.changes.get(&change_id)
    }

    pub(crate) fn record_verdict(&mut self, offset: Offset, verdict: Verdict) {
        if self.verdicts.len() == MAX_KEPT_VERDICTS {
            self.verdicts.pop_front();
        }
        self.verdicts.push_back((offset, verdict));
    }

    pub(crate) fn record_change(&mut self, change_id: u64, change: DecidedChange) {
        if self.change_order.len() == MAX_KEPT_CHANGES {
            let oldest = self.change_order.pop_front();
            oldest.and_then(|oldest| self.changes.remove(&oldest));
        }
        self.change_order.push_back(change_id);
        self.changes.insert(change_id, change);
    }
}
