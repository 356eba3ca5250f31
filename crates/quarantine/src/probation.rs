//! Requests on probation: those under which so much was lost that they are sent one at a time.

use std::collections::BTreeMap;

use crate::fingerprint::Fingerprint;

/// Requests on probation that are remembered.
const MAX_REQUESTS: usize = 1_024;

/// How long a request is on probation of which nothing more is heard: as long as crashes are
/// remembered.
const PROBATION_MS: u64 = 600_000;

/// When a judge tells of a request that it put on probation, since datagrams may be lost.
const TOLD_MS: [u64; 3] = [0, 300, 1_500];

/// `Probations` are the requests that are sent one at a time over all VMs, until one was answered.
#[derive(Clone, Debug, Default)]
pub(crate) struct Probations {
    until_ms: BTreeMap<Fingerprint, u64>,
    /// Those that the others are to be told, and when.
    telling: Vec<(u64, Fingerprint)>,
}

impl Probations {
    /// Adds a request that this VM has found.
    pub fn find(&mut self, now_ms: u64, fingerprint: Fingerprint) {
        if self.add(now_ms, fingerprint) {
            let tellings = TOLD_MS.map(|after_ms| (now_ms + after_ms, fingerprint));
            self.telling.extend(tellings);
        }
    }

    /// Adds a request that another VM has found. Returns whether that is news.
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
        self.telling.retain(|(_, it)| it != fingerprint);
        self.until_ms.remove(fingerprint).is_some()
    }

    pub fn contains(&self, fingerprint: &Fingerprint) -> bool {
        self.until_ms.contains_key(fingerprint)
    }

    pub fn all(&self) -> impl Iterator<Item = &Fingerprint> {
        self.until_ms.keys()
    }

    /// Returns the requests that the others are to be told now.
    pub fn due(&mut self, now_ms: u64) -> Vec<Fingerprint> {
        let due = self.telling.extract_if(.., |(at_ms, _)| *at_ms <= now_ms);
        due.map(|(_, fingerprint)| fingerprint).collect()
    }

    /// Returns when the others are to be told next.
    pub fn next_ms(&self) -> u64 {
        let tellings = self.telling.iter().map(|(at_ms, _)| *at_ms);
        tellings.min().unwrap_or(u64::MAX)
    }

    pub fn forget(&mut self, now_ms: u64) {
        self.until_ms.retain(|_, until_ms| now_ms < *until_ms);
    }
}
