//! Requests and prompt parts on probation: of those requests, one is sent at a time.

use std::collections::BTreeMap;

use crate::features::RequestFeatures;
use crate::fingerprint::Fingerprint;
use crate::reports::ProbationRow;

/// Number of requests and parts on probation that are remembered.
const MAX_FEATURES: usize = 1_024;

/// Length of a probation without further reports. It equals the time for which crashes are
/// remembered.
const PROBATION_MS: u64 = 600_000;

/// Delays after which a judge announces what it put on probation, since datagrams may be
/// lost.
const ANNOUNCE_DELAYS_MS: [u64; 3] = [0, 300, 1_500];

/// Probation of one request or part.
#[derive(Clone, Copy, Debug)]
struct Probation {
    /// A complete answer since then ends it.
    since_ms: u64,
    until_ms: u64,
}

/// Requests of which one copy is sent at a time over all VMs, until one was answered, and parts of
/// which one request is.
#[derive(Clone, Debug, Default)]
pub(crate) struct Probations {
    by_feature: BTreeMap<Fingerprint, Probation>,
    /// Requests and parts that are to be announced to the other VMs, and when.
    announcements: Vec<(u64, Fingerprint)>,
}

impl Probations {
    /// Adds a request or part that this VM put on probation, and schedules its announcements.
    pub fn begin_probation(&mut self, now_ms: u64, feature: Fingerprint, since_ms: u64) {
        if self.add(now_ms, feature, since_ms) {
            let announcements = ANNOUNCE_DELAYS_MS.map(|after_ms| (now_ms + after_ms, feature));
            self.announcements.extend(announcements);
        }
    }

    /// Adds a request or part that is on probation. Returns whether it was not before.
    pub fn add(&mut self, now_ms: u64, feature: Fingerprint, since_ms: u64) -> bool {
        let probation = Probation {
            since_ms,
            until_ms: now_ms + PROBATION_MS,
        };
        let before = self.by_feature.insert(feature, probation);
        if before.is_none() && self.by_feature.len() > MAX_FEATURES {
            let first = self.by_feature.iter().min_by_key(|(_, it)| it.until_ms);
            let first = first.map(|(feature, _)| *feature);
            first.and_then(|first| self.by_feature.remove(&first));
        }
        before.is_none()
    }

    pub fn remove(&mut self, feature: &Fingerprint) -> bool {
        self.announcements.retain(|(_, it)| it != feature);
        self.by_feature.remove(feature).is_some()
    }

    pub fn contains(&self, feature: &Fingerprint) -> bool {
        self.by_feature.contains_key(feature)
    }

    /// Returns the features of a request that are on probation.
    pub fn features_of(&self, request: &RequestFeatures) -> Vec<Fingerprint> {
        match self.by_feature.is_empty() {
            true => Vec::new(),
            false => request
                .all()
                .filter(|it| self.contains(it))
                .copied()
                .collect(),
        }
    }

    /// Returns everything that is on probation, as it is announced.
    pub fn rows(&self, now_ms: u64) -> Vec<ProbationRow> {
        let all = self.by_feature.iter();
        all.map(|(feature, it)| it.row(now_ms, *feature)).collect()
    }

    /// Returns what is to be announced now.
    pub fn due(&mut self, now_ms: u64) -> Vec<ProbationRow> {
        let due = self
            .announcements
            .extract_if(.., |(at_ms, _)| *at_ms <= now_ms);
        let due: Vec<Fingerprint> = due.map(|(_, feature)| feature).collect();
        let known = due.into_iter().filter_map(|feature| {
            let probation = self.by_feature.get(&feature)?;
            Some(probation.row(now_ms, feature))
        });
        known.collect()
    }

    /// Returns when the next announcement is due, or `u64::MAX` if none is.
    pub fn next_ms(&self) -> u64 {
        let announcements = self.announcements.iter().map(|(at_ms, _)| *at_ms);
        announcements.min().unwrap_or(u64::MAX)
    }

    pub fn forget(&mut self, now_ms: u64) {
        self.by_feature.retain(|_, it| now_ms < it.until_ms);
    }
}

impl Probation {
    fn row(&self, now_ms: u64, fingerprint: Fingerprint) -> ProbationRow {
        ProbationRow {
            fingerprint,
            ago_ms: now_ms.saturating_sub(self.since_ms),
        }
    }
}
