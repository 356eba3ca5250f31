//! Software versions of services over time.

use std::collections::HashMap;

use apricotdale_core::names::GroupName;
use apricotdale_core::names::SoftwareVersion;
use apricotdale_core::names::UpstreamName;
use apricotdale_core::origin::Origin;

/// Time for which versions are remembered, as a multiple of the time for which an origin is kept.
/// A caller may resume a stream after its record has expired: attempts that brought no event did
/// not renew it.
const REMEMBERED_LIFETIMES: u64 = 3;

/// Versions of a service that can have begun a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum KnownVersions {
    /// This VM has not observed the service for long enough.
    Unknown,
    /// Only one version.
    One(SoftwareVersion),
    /// More than one version, or upstreams whose version is not known.
    Several,
}

/// Versions from before this VM followed the upstream list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Former {
    /// They are not known.
    #[default]
    Unknown,
    /// They were taken over from a VM that knew them. What has come since is not known yet.
    Unconfirmed,
    /// They are known.
    Known,
}

/// Software versions that this VM has seen in the upstream list, by service, and when.
#[derive(Debug, Default)]
pub struct VersionHistory {
    /// Time since which the upstream list has been followed without a gap.
    complete_since_ms: Option<u64>,
    former: Former,
    /// When each version was last seen.
    by_service: HashMap<GroupName, HashMap<SoftwareVersion, u64>>,
    /// When upstreams whose version has never been known were last seen, by service and name;
    /// `None` stands for all those of the VM whose versions were taken over.
    unknown: HashMap<(GroupName, Option<UpstreamName>), u64>,
}

impl VersionHistory {
    /// Records that the upstream of an origin is listed. Once its version is known, so is that of
    /// all streams that it began before.
    pub fn record(&mut self, now_ms: u64, origin: &Origin) {
        let Some(version) = &origin.version else {
            let key = (origin.service.clone(), origin.upstream.clone());
            self.unknown.insert(key, now_ms);
            return;
        };
        if !self.unknown.is_empty() && origin.upstream.is_some() {
            let key = (origin.service.clone(), origin.upstream.clone());
            self.unknown.remove(&key);
        }
        let by_version = match self.by_service.get_mut(&origin.service) {
            Some(by_version) => by_version,
            None => self.by_service.entry(origin.service.clone()).or_default(),
        };
        match by_version.get_mut(version) {
            Some(seen_ms) => *seen_ms = now_ms,
            None => {
                by_version.insert(version.clone(), now_ms);
            }
        }
    }

    /// Records that the upstream list is followed from now on, unless it was before.
    pub fn record_followed(&mut self, now_ms: u64) {
        self.complete_since_ms.get_or_insert(now_ms);
    }

    /// Records that upstreams may have come and gone unseen.
    pub fn record_gap(&mut self) {
        self.complete_since_ms = None;
        self.former = Former::Unknown;
    }

    /// Records that this VM follows the upstream list no longer, or not yet. Versions that were taken
    /// over remain unconfirmed.
    pub fn record_not_followed(&mut self) {
        self.complete_since_ms = None;
        if self.former == Former::Known {
            self.former = Former::Unknown;
        }
    }

    /// Records that all changes of the upstream list have been read since the versions were taken over.
    pub fn record_changes_read(&mut self, now_ms: u64) {
        if self.former == Former::Unconfirmed {
            self.former = Former::Known;
            self.complete_since_ms = Some(now_ms);
        }
    }

    /// Records that the upstream list was read without its changes, of which some may have been undone.
    pub fn record_changes_skipped(&mut self) {
        if self.former == Former::Unconfirmed {
            self.former = Former::Unknown;
        }
    }

    /// Takes over the versions that were recent at a VM which had seen all of them. They count once the
    /// changes since then have been read.
    pub fn restore<'a>(
        &mut self,
        now_ms: u64,
        recent: impl IntoIterator<Item = (&'a GroupName, Option<&'a SoftwareVersion>)>,
    ) {
        for (service, version) in recent {
            let origin = Origin {
                service: service.clone(),
                version: version.cloned(),
                upstream: None,
            };
            self.record(now_ms, &origin);
        }
        self.former = Former::Unconfirmed;
    }

    /// Returns whether all versions are known that can have begun a stream which a caller resumes
    /// now. `lifetime_ms` is the time for which origins are kept, in milliseconds.
    pub fn is_complete(&self, now_ms: u64, lifetime_ms: u64) -> bool {
        let remembered_ms = lifetime_ms * REMEMBERED_LIFETIMES;
        let is_long = |since_ms: u64| now_ms.saturating_sub(since_ms) >= remembered_ms;
        self.complete_since_ms
            .is_some_and(|since_ms| self.former == Former::Known || is_long(since_ms))
    }

    /// Returns the services with the versions that are kept.
    pub fn iter(&self) -> impl Iterator<Item = (&GroupName, Option<&SoftwareVersion>)> {
        let known = self.by_service.iter().flat_map(|(service, by_version)| {
            by_version
                .keys()
                .map(move |version| (service, Some(version)))
        });
        known.chain(self.unknown.keys().map(|(service, _)| (service, None)))
    }

    /// Drops versions that can't have begun a stream any more. `lifetime_ms` is the time for which
    /// origins are kept, in milliseconds.
    pub fn drop_older(&mut self, now_ms: u64, lifetime_ms: u64) {
        let remembered_ms = lifetime_ms * REMEMBERED_LIFETIMES;
        let is_recent = |seen_ms: u64| now_ms.saturating_sub(seen_ms) <= remembered_ms;
        self.unknown.retain(|_, seen_ms| is_recent(*seen_ms));
        for by_version in self.by_service.values_mut() {
            by_version.retain(|_, seen_ms| is_recent(*seen_ms));
        }
        self.by_service
            .retain(|_, by_version| !by_version.is_empty());
    }

    /// Returns the versions of a service that can have begun a stream that a caller resumes now.
    /// `lifetime_ms` is the time for which origins are kept, in milliseconds.
    pub fn versions(&self, now_ms: u64, service: &GroupName, lifetime_ms: u64) -> KnownVersions {
        let remembered_ms = lifetime_ms * REMEMBERED_LIFETIMES;
        let is_recent = |seen_ms: u64| now_ms.saturating_sub(seen_ms) <= remembered_ms;
        let seen = self.by_service.get(service).into_iter().flatten();
        let mut recent = seen.filter(|(_, seen_ms)| is_recent(**seen_ms));
        let mut unknown = self.unknown.iter();
        let is_any_unknown = unknown.any(|((of, _), seen_ms)| of == service && is_recent(*seen_ms));
        let is_complete = self.is_complete(now_ms, lifetime_ms);
        match (recent.next(), recent.next()) {
            _ if is_any_unknown => KnownVersions::Several,
            (Some((version, _)), None) if is_complete => KnownVersions::One(version.clone()),
            (Some(_), None) | (None, _) => KnownVersions::Unknown,
            (Some(_), Some(_)) => KnownVersions::Several,
        }
    }
}
