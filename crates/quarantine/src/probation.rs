//! Requests on probation, whose copies are sent one at a time.

use std::collections::BTreeMap;

use crate::fingerprint::Fingerprint;

/// Number of requests on probation that are remembered.
const MAX_REQUESTS: usize = 1_024;

/// Length of a probation without further reports. It equals the time for which crashes are
/// remembered.
const PROBATION_MS: u64 = 600_000;

/// Delays after which a judge announces a request that it put on probation, since datagrams may be
/// lost.
const ANNOUNCE_DELAYS_MS: [u64; 3] = [0, 300, 1_500];

/// Requests of which one copy is sent at a time over all VMs, until one is answered.
#[derive(Clone, Debug, Default)]
pub(crate) struct Probations {
    until_ms: BTreeMap<Fingerprint, u64>,
    /// Requests that are to be announced to the other VMs, and when.
    announcements: Vec<(u64, Fingerprint)>,
}

impl Probations {
    /// Adds a request that this VM put on probation, and schedules its announcements.
    pub fn begin_probation(&mut self, now_ms: u64, fingerprint: Fingerprint) {
        if self.add(now_ms, fingerprint) {
            let announcements = ANNOUNCE_DELAYS_MS.map(|after_ms| (now_ms + after_ms, fingerprint));
            self.announcements.extend(announcements);
        }
    }

    /// Adds a request that is on probation. Returns whether it was not before.
    pub fn add(&mut self, now_ms: u64, fingerprint: Fingerprint) -> bool {
        let before = self.until_ms.insert(fingerprint, now_ms + PROBATION_MS);
        if before.is_none() && self.until_ms.len() > MAX_REQUESTS {
            let first = self.until_ms.iter().min_by_key(|(_, at_ms)| **at_ms);
            let first = first.map(|(fingerprint, _)| *fingerprint);
            first.and_then(|first| self.until_ms.remove(&first));
        }
        before.is_none()
    }

    pub fn remove(&mut self, fingerprint: &Fingerprint) -> bool {
        self.announcements.retain(|(_, it)| it != fingerprint);
        self.until_ms.remove(fingerprint).is_some()
    }

    pub fn contains(&self, fingerprint: &Fingerprint) -> bool {
        self.until_ms.contains_key(fingerprint)
    }

    pub fn all(&self) -> impl Iterator<Item = &Fingerprint> {
        self.until_ms.keys()
    }

    /// Returns the requests that are to be announced now.
    pub fn due(&mut self, now_ms: u64) -> Vec<Fingerprint> {
        let due = self
            .announcements
            .extract_if(.., |(at_ms, _)| *at_ms <= now_ms);
        due.map(|(_, fingerprint)| fingerprint).collect()
    }

    /// Returns when the next announcement is due, or `u64::MAX` if none is.
    pub fn next_ms(&self) -> u64 {
        let announcements = self.announcements.iter().map(|(at_ms, _)| *at_ms);
        announcements.min().unwrap_or(u64::MAX)
    }

    pub fn forget(&mut self, now_ms: u64) {
        self.until_ms.retain(|_, until_ms| now_ms < *until_ms);
    }
}
