//! Enforcement of organisations' limits, and the exchange with the quota owner.

use std::net::SocketAddr;

use apricotdale_core::names::RequestId;
use apricotdale_core::refusal::Refusal;
use apricotdale_core::refusal::RefusalReason;
use apricotdale_dispatch::WaitReason;
use apricotdale_fleet::ServingRequest;
use apricotdale_organisations::Limit;
use apricotdale_organisations::Organisation;
use apricotdale_quarantine::RequestFeatures;
use apricotdale_quota::AccountId;
use apricotdale_quota::Admission;
use apricotdale_quota::Answer;
use apricotdale_quota::Bounds;
use apricotdale_quota::QuotaClient;
use apricotdale_quota::QuotaOwner;
use apricotdale_quota::Report;
use apricotdale_quota::WantedUnits;

use crate::active::Phase;
use crate::daemon::Daemon;
use crate::messages::PeerMessage;
use crate::stream_resumption::StreamInProgress;
use crate::unanswered::UnansweredReason;

/// Number of VMs assumed until the store's entries have been read. It is large, so that this VM's
/// share of a limit is small until then.
const ASSUMED_VMS: usize = 1_000;

/// How long a request waits for the quota owner.
const OWNER_TIMEOUT_MS: u64 = 250;

/// Time between two removals of VMs that no longer report to the quota owner.
const FORGET_INTERVAL_MS: u64 = 10_000;

/// Smallest random factor on retry delays, and the width of the range above it, in thousandths.
const MIN_RETRY_FACTOR_PERMILLE: u64 = 750;
const RETRY_FACTOR_RANGE_PERMILLE: u64 = 750;

/// Cost of a request that counts against the limit of its organisation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Charge {
    account: AccountId,
    units: u64,
    /// Identifies the request when its caller sends it again.
    tag: u32,
    is_admitted: bool,
}

/// Both sides of the quota protocol: the client for this VM's requests, and the owner for all VMs.
#[derive(Debug)]
pub(crate) struct Limits {
    client: QuotaClient,
    owner: QuotaOwner,
    /// Version of the configuration whose limits are applied; none before the first.
    version: Option<u64>,
    next_forget_ms: u64,
}

impl Limits {
    pub fn new(incarnation: u64, bounds: Bounds) -> Self {
        let mut limits = Self {
            client: QuotaClient::new(incarnation, bounds),
            owner: QuotaOwner::new(incarnation, bounds),
            version: None,
            next_forget_ms: 0,
        };
        limits.set_vms(ASSUMED_VMS);
        limits
    }

    /// Sets the number of VMs that share the limits.
    pub fn set_vms(&mut self, vms: usize) {
        self.client.set_vms(vms);
        self.owner.set_vms(vms);
    }

    /// Returns when the next report to the quota owner is due.
    pub fn next_ms(&self) -> u64 {
        self.client.next_ms()
    }
}

/// Returns the cost of a request; none if its organisation has no limit.
pub(crate) fn charge(
    organisation: &Organisation,
    serving: &ServingRequest,
    features: &RequestFeatures,
) -> Option<Charge> {
    organisation.limit?;
    let fingerprint = features.request.to_string();
    Some(Charge {
        account: AccountId::of(&organisation.name),
        units: organisation.unit.cost(serving.tokens()),
        tag: xxhash_rust::xxh3::xxh3_64(fingerprint.as_bytes()) as u32,
        is_admitted: false,
    })
}

impl Daemon {
    /// Applies the limits of a new configuration and reports to the quota owner what was spent.
    pub(crate) fn advance_limits(&mut self) {
        let now_ms = self.now_ms;
        self.apply_configured_limits();
        if now_ms < self.limits.next_ms() {
            return;
        }
        let quota_owners = self.peers.quota_owners();
        if let Some(report) = self.limits.client.due_report(now_ms, quota_owners.len()) {
            let choice = self.limits.client.owner_rank();
            let (vm, address) = &quota_owners[choice];
            match *vm == self.peers.own_record().vm {
                true => self.handle_quota_report(None, &report),
                false => self.peers.send(*address, &PeerMessage::QuotaReport(report)),
            }
        }
        if now_ms >= self.limits.next_forget_ms {
            self.limits.next_forget_ms = now_ms + FORGET_INTERVAL_MS;
            self.limits.owner.remove_inactive(now_ms);
        }
    }

    fn apply_configured_limits(&mut self) {
        let version = Some(self.directory.version());
        if self.limits.version == version {
            return;
        }
        self.limits.version = version;
        let organisations = &self.directory.configuration().organisations;
        let limits: Vec<(AccountId, Limit)> = organisations
            .iter()
            .flat_map(|organisations| organisations.iter())
            .filter_map(|it| Some((AccountId::of(&it.name), it.limit?)))
            .collect();
        self.limits
            .client
            .set_limits(self.now_ms, limits.iter().copied());
        self.limits.owner.set_limits(self.now_ms, limits);
    }

    /// Handles a VM's report as the quota owner. `from` is the sender; none for this VM itself.
    pub(crate) fn handle_quota_report(&mut self, from: Option<SocketAddr>, report: &Report) {
        let Some(answer) = self.limits.owner.handle(self.now_ms, report) else {
            return;
        };
        match from {
            Some(from) => self.peers.send(from, &PeerMessage::QuotaAnswer(answer)),
            None => self.apply_quota_answer(&answer),
        }
    }

    /// Applies what the quota owner allows.
    pub(crate) fn apply_quota_answer(&mut self, answer: &Answer) {
        self.redispatch_needed |= self.limits.client.handle(self.now_ms, answer);
    }

    /// Returns whether the limit of its organisation admits a request. A request that is over the
    /// limit, or that the quota owner did not answer in time, is refused.
    pub(crate) fn admit_within_limit(&mut self, key: u64) -> bool {
        let now_ms = self.now_ms;
        let Some(request) = self.active.get_mut(key) else {
            return false;
        };
        let Some(charge) = request.charge.filter(|charge| !charge.is_admitted) else {
            return true;
        };
        let client = &mut self.limits.client;
        let found_ms = request.stream.as_ref().and_then(StreamInProgress::found_ms);
        let asked_ms = found_ms.unwrap_or(request.job.arrived_ms);
        let owner_deadline_ms = asked_ms + OWNER_TIMEOUT_MS;
        let wanted = WantedUnits {
            rank: request.job.rank,
            units: charge.units,
            tag: charge.tag,
        };
        match client.admit_by_rank(now_ms, charge.account, key, wanted) {
            Admission::Admitted => {
                request.charge = Some(Charge {
                    is_admitted: true,
                    ..charge
                });
                true
            }
            Admission::Pending if now_ms < owner_deadline_ms => {
                if request.phase != Phase::Waiting(WaitReason::Limit) {
                    self.metrics.waited_for_owner();
                    request.phase = Phase::Waiting(WaitReason::Limit);
                    self.active.wake_at(owner_deadline_ms, key);
                }
                false
            }
            Admission::Pending => {
                client.withdraw(charge.account, key);
                self.refuse_over_limit(key, Some(OWNER_TIMEOUT_MS), false);
                false
            }
            Admission::Refused { retry_after_ms } => {
                self.refuse_over_limit(key, retry_after_ms, false);
                false
            }
            Admission::Deferred { retry_after_ms } => {
                self.refuse_over_limit(key, Some(retry_after_ms), true);
                false
            }
        }
    }

    /// Refuses a request that is over the limit. With `has_turn` units are kept for it at the time of
    /// its return, which is then told as it is. Other returns are spread.
    fn refuse_over_limit(&mut self, key: u64, retry_after_ms: Option<u64>, has_turn: bool) {
        let Some(request) = self.active.get(key) else {
            return;
        };
        let Some(organisation) = &request.organisation else {
            return;
        };
        let name = organisation.name.clone();
        let rate = organisation.limit.map_or(0.0, |limit| limit.rate_per_s);
        let retry_factor_permille = match has_turn {
            true => 1_000,
            false => retry_factor_permille(&request.serving.id),
        };
        let rank = request.job.rank;
        let refusal = match retry_after_ms {
            Some(retry_after_ms) => {
                let detail = format!("{name} has used its limit of {rate:.0} a second");
                let retry_after_ms = retry_after_ms * retry_factor_permille / 1_000;
                Refusal::not_run(RefusalReason::OverLimit, detail).retry_after(retry_after_ms)
            }
            None => {
                let detail = format!("the request alone is larger than the limit of {name}");
                Refusal::not_run(RefusalReason::OverLimit, detail)
            }
        };
        self.metrics.over_limit(&name, rank, has_turn);
        self.refuse(key, &refusal, UnansweredReason::OverLimit);
    }

    /// Refunds the cost of a request that was refused and has not run.
    pub(crate) fn refund(&mut self, charge: Charge, key: u64) {
        match charge.is_admitted {
            true => self.limits.client.give_back(charge.account, charge.units),
            false => self.limits.client.withdraw(charge.account, key),
        }
    }
}

/// Returns the factor on a request's retry delay, in thousandths. It differs between requests, so
/// that callers who are refused together do not retry together.
pub(crate) fn retry_factor_permille(id: &RequestId) -> u64 {
    MIN_RETRY_FACTOR_PERMILLE
        + xxhash_rust::xxh3::xxh3_64(id.as_str().as_bytes()) % RETRY_FACTOR_RANGE_PERMILLE
}
