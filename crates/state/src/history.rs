//! Recent verdicts, from which the process that appended a record learns its verdict.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use serde::Deserialize;
use serde::Serialize;

use apricotdale_core::numbers::Offset;

use crate::verdict::Verdict;

/// Number of most recent offsets whose verdicts are kept.
pub const MAX_KEPT_VERDICTS: usize = 1024;
/// Number of most recent configuration changes whose verdicts are kept: about two days of them.
pub const MAX_KEPT_CHANGES: usize = 4096;

/// Verdict on a configuration change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DecidedChange {
    /// Offset of the change in the control stream, which becomes its version if it is accepted.
    pub offset: Offset,
    /// Verdict that replay gave.
    pub verdict: Verdict,
}

/// Recent verdicts by offset, and by the identity of a configuration change.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct History {
    verdicts: VecDeque<(Offset, Verdict)>,
    changes: BTreeMap<u64, DecidedChange>,
    change_order: VecDeque<u64>,
}

impl History {
    /// Returns the verdict on the record at an offset; `None` if it is no longer kept or the record
    /// has not been replayed.
    pub fn verdict(&self, offset: Offset) -> Option<&Verdict> {
        let index = self
            .verdicts
            .binary_search_by_key(&offset, |(offset, _)| *offset)
            .ok()?;
        Some(&self.verdicts[index].1)
    }

    /// Returns the verdict on a configuration change; `None` if it is no longer kept or the change
    /// has not been replayed.
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
