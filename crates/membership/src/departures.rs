//! Proposals to record what the list says is gone.

use std::collections::BTreeMap;

use crate::listing::EntryKey;

/// `Departures` keeps what is to be proposed as gone until replay shows it.
#[derive(Debug, Default)]
pub(crate) struct Departures {
    pending: BTreeMap<EntryKey, Departure>,
}

#[derive(Debug)]
struct Departure {
    as_of_ms: u64,
    since_ms: u64,
    settled: bool,
    next_ms: u64,
}

impl Departures {
    /// Notes that the list says that an entry is gone. A later time of the list's statement is
    /// another statement: the entry came back in between.
    pub(crate) fn note(&mut self, now_ms: u64, key: &EntryKey, as_of_ms: u64) {
        let known = self.pending.get(key);
        if known.is_some_and(|departure| departure.as_of_ms == as_of_ms) {
            return;
        }
        let departure = Departure {
            as_of_ms,
            since_ms: now_ms,
            settled: false,
            next_ms: now_ms,
        };
        self.pending.insert(key.clone(), departure);
    }

    /// Notes that replay showed the entry as gone.
    pub(crate) fn settle(&mut self, key: &EntryKey) {
        if let Some(departure) = self.pending.get_mut(key) {
            departure.settled = true;
        }
    }

    /// Drops the entries that are no longer gone.
    pub(crate) fn retain(&mut self, is_gone: impl Fn(&EntryKey) -> bool) {
        self.pending.retain(|key, _| is_gone(key));
    }

    /// Returns what to propose now: the entry and the time of the list's statement. `may_propose`
    /// gets the entry and how long it has waited.
    pub(crate) fn due(
        &mut self,
        now_ms: u64,
        repropose_ms: u64,
        may_propose: impl Fn(&EntryKey, u64) -> bool,
    ) -> Vec<(EntryKey, u64)> {
        let mut due = Vec::new();
        for (key, departure) in &mut self.pending {
            let waited_ms = now_ms.saturating_sub(departure.since_ms);
            let waits = departure.settled || now_ms < departure.next_ms;
            if waits || !may_propose(key, waited_ms) {
                continue;
            }
            departure.next_ms = now_ms + repropose_ms;
            due.push((key.clone(), departure.as_of_ms));
        }
        due
    }
}
