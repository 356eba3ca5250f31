//! Pending proposals to record departures stated by the VM list.

use std::collections::BTreeMap;

use crate::listing::EntryKey;

/// Departures to be proposed until replay shows them.
#[derive(Debug, Default)]
pub(crate) struct Departures {
    pending: BTreeMap<EntryKey, Departure>,
}

#[derive(Debug)]
struct Departure {
    as_of_ms: u64,
    since_ms: u64,
    replayed: bool,
    next_ms: u64,
}

impl Departures {
    /// Records that the VM list states an entry as gone. Another `as_of_ms` than the known one
    /// means another departure: the entry was back in between.
    pub(crate) fn record(&mut self, now_ms: u64, key: &EntryKey, as_of_ms: u64) {
        let known = self.pending.get(key);
        if known.is_some_and(|departure| departure.as_of_ms == as_of_ms) {
            return;
        }
        let departure = Departure {
            as_of_ms,
            since_ms: now_ms,
            replayed: false,
            next_ms: now_ms,
        };
        self.pending.insert(key.clone(), departure);
    }

    /// Records that replay showed the departure, so that it is not proposed again.
    pub(crate) fn record_replayed(&mut self, key: &EntryKey) {
        if let Some(departure) = self.pending.get_mut(key) {
            departure.replayed = true;
        }
    }

    /// Removes the departures of entries that are no longer gone.
    pub(crate) fn retain(&mut self, is_gone: impl Fn(&EntryKey) -> bool) {
        self.pending.retain(|key, _| is_gone(key));
    }

    /// Returns the departures to propose now: the entry and the time of the listing that stated it.
    /// `may_propose` receives the entry and how long its departure has been pending.
    pub(crate) fn due(
        &mut self,
        now_ms: u64,
        repropose_ms: u64,
        may_propose: impl Fn(&EntryKey, u64) -> bool,
    ) -> Vec<(EntryKey, u64)> {
        let mut due = Vec::new();
        for (key, departure) in &mut self.pending {
            let waited_ms = now_ms.saturating_sub(departure.since_ms);
            let waits = departure.replayed || now_ms < departure.next_ms;
            if waits || !may_propose(key, waited_ms) {
                continue;
            }
            departure.next_ms = now_ms + repropose_ms;
            due.push((key.clone(), departure.as_of_ms));
        }
        due
    }
}
