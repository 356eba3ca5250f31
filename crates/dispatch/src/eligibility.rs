//! Upstreams that can run a request, and the room that they have for it.

use std::collections::HashMap;

use apricotdale_core::names::SoftwareVersion;
use apricotdale_core::policy::Candidate;
use apricotdale_core::refusal::Refusal;
use apricotdale_core::refusal::RefusalReason;
use apricotdale_fleet::Directory;
use apricotdale_fleet::Upstream;

use crate::job::Job;
use crate::job::refusal_of;

/// Factor on the usual number of requests of an upstream for one that continues a stream. The
/// upstreams that can continue it may be few, and start a waiting request once a slot is free.
const CONTINUATION_FACTOR: f64 = 1.25;

/// Share of the slots, at least one, that new requests leave free at an upstream whose version
/// fewer upstreams with the model run than another one. They are for streams that only this version
/// can continue.
const RESERVED_SHARE: f64 = 0.15;

/// Smallest number of slots of which one is left free.
const MIN_SHARED_SLOTS: u32 = 4;

/// Number of expected run times that a request must have left to wait for another upstream than one
/// whose answer was unusable.
const AWAITED_RUNS: u64 = 2;

/// Room for one request at the upstreams that hold its model, by the versions that they run.
pub(crate) struct RoomByVersion<'a> {
    is_new: bool,
    /// Number of these upstreams by version; empty if all run the same one.
    by_version: HashMap<Option<&'a SoftwareVersion>, usize>,
    /// Largest of these numbers.
    largest: usize,
}

impl<'a> RoomByVersion<'a> {
    /// Returns the room for a request. `holding` are the upstreams that hold its model, of all
    /// versions.
    pub(crate) fn new(job: &Job, holding: &[&'a Upstream]) -> Self {
        let versions = || holding.iter().map(|it| it.version.as_ref());
        let mut by_version = HashMap::new();
        let first = versions().next();
        if versions().any(|version| Some(version) != first) {
            for version in versions() {
                *by_version.entry(version).or_default() += 1;
            }
        }
        Self {
            is_new: job.origin.is_none(),
            largest: by_version.values().copied().max().unwrap_or_default(),
            by_version,
        }
    }

    /// Returns how many requests an upstream may have in progress for the request to be sent there.
    /// `usual` is that number where all upstreams run the same version.
    pub(crate) fn max_requests(&self, upstream: &Upstream, usual: f64) -> f64 {
        let alike = self.by_version.get(&upstream.version.as_ref()).copied();
        match alike {
            None => usual,
            Some(_) if !self.is_new => usual * CONTINUATION_FACTOR,
            Some(alike) if alike < self.largest && upstream.slots >= MIN_SHARED_SLOTS => {
                usual - (f64::from(upstream.slots) * RESERVED_SHARE).max(1.0)
            }
            Some(_) => usual,
        }
    }
}

/// Returns whether an upstream can run a request, whether or not it is reached and free.
pub(crate) fn can_run(upstream: &Upstream, job: &Job) -> bool {
    holds_model(upstream, job) && may_continue(upstream, job)
}

/// Returns whether an upstream holds the model of a request, if that needs one.
pub(crate) fn holds_model(upstream: &Upstream, job: &Job) -> bool {
    match &job.wanted {
        Some(wanted) => upstream.residence.serves(wanted),
        None => true,
    }
}

/// Returns the upstreams without those whose answers to the request were unusable, if there are others
/// and an answer of theirs can be awaited: they may be full for a moment.
pub(crate) fn without_unusable<'a>(
    now_ms: u64,
    job: &Job,
    capable: Vec<&'a Upstream>,
) -> Vec<&'a Upstream> {
    let left_ms = job.deadline_ms.saturating_sub(now_ms);
    if job.unusable.is_empty() || left_ms < AWAITED_RUNS * job.expected_run_ms {
        return capable;
    }
    let usable = |upstream: &&&Upstream| !job.unusable.contains(&upstream.name);
    let others: Vec<&Upstream> = capable.iter().filter(usable).copied().collect();
    match others.is_empty() {
        true => capable,
        false => others,
    }
}

/// Returns an upstream as the routing policy sees it.
pub(crate) fn candidate(upstream: &Upstream) -> Candidate {
    Candidate {
        upstream: upstream.name.clone(),
        address: upstream.address,
        zone: upstream.zone.clone(),
    }
}

/// Returns whether an upstream may continue what the caller of a request has.
pub(crate) fn may_continue(upstream: &Upstream, job: &Job) -> bool {
    job.origin
        .as_ref()
        .is_none_or(|origin| origin.accepts(&upstream.origin()))
}

/// Returns the refusal of a request that continues a stream which no upstream can continue; `None`
/// if an upstream of its version may become able to.
pub(crate) fn continuation_refusal(directory: &Directory, job: &Job) -> Option<Refusal> {
    job.origin.as_ref()?;
    let mut serving = directory.serving(&job.service);
    let detail = match serving.any(|upstream| may_continue(upstream, job)) {
        false => "no upstream runs the software version that began the stream",
        // A model that some upstream holds is not loaded again for the sake of a version.
        true if is_model_elsewhere(directory, job) => {
            "only upstreams of other software versions hold the model"
        }
        true => return None,
    };
    Some(refusal_of(
        job,
        RefusalReason::VersionGone,
        detail.to_owned(),
    ))
}

/// Returns whether upstreams hold the model of a request, and none that may continue its stream.
fn is_model_elsewhere(directory: &Directory, job: &Job) -> bool {
    let Some(wanted) = &job.wanted else {
        return false;
    };
    let holding: Vec<&Upstream> = directory
        .serving(&job.service)
        .filter(|upstream| upstream.residence.serves(wanted))
        .collect();
    !holding.is_empty() && !holding.iter().any(|upstream| may_continue(upstream, job))
}
