//! The limits of organisations: what is asked and told, and what becomes of requests.

use std::net::SocketAddr;

use apricotdale_core::names::RequestId;
use apricotdale_core::refusal::Refusal;
use apricotdale_core::refusal::RefusalReason;
use apricotdale_dispatch::WaitReason;
use apricotdale_fleet::ServingRequest;
use apricotdale_organisations::Limit;
use apricotdale_organisations::Organisation;
use apricotdale_quota::AccountId;
use apricotdale_quota::Admission;
use apricotdale_quota::Answer;
use apricotdale_quota::Bounds;
use apricotdale_quota::QuotaClient;
use apricotdale_quota::QuotaOwner;
use apricotdale_quota::Report;

use crate::active::Phase;
use crate::daemon::Daemon;
use crate::messages::PeerMessage;

/// How many VMs there are taken to be until the store has told it: a VM's part is small then.
const UNKNOWN_VMS: usize = 1_000;

/// How long a request waits for the keeper.
const ASKED_MS: u64 = 250;

/// The time between two looks for VMs that the keeper forgets.
const FORGET_EVERY_MS: u64 = 10_000;

/// The parts of a second over which returns are spread, in thousandths of the time to come back.
const SPREAD_FROM: u64 = 750;
const SPREAD: u64 = 750;

/// `Charge` is what a request counts against the limit of its organisation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Charge {
    account: AccountId,
    units: u64,
    is_paid: bool,
}

/// `Limits` are the limits of organisations as this VM holds them.
#[derive(Debug)]
pub(crate) struct Limits {
    spender: QuotaClient,
    keeper: QuotaOwner,
    /// The configuration whose limits are in force here.
    version: Option<u64>,
    next_forget_ms: u64,
}

impl Limits {
    pub fn new(run: u64, bounds: Bounds) -> Self {
        let mut limits = Self {
            spender: QuotaClient::new(run, bounds),
            keeper: QuotaOwner::new(run, bounds),
            version: None,
            next_forget_ms: 0,
        };
        limits.set_vms(UNKNOWN_VMS);
        limits
    }

    /// Takes in how many VMs there are.
    pub fn set_vms(&mut self, vms: usize) {
        self.spender.set_vms(vms);
        self.keeper.set_vms(vms);
    }

    /// Returns when something is to be told.
    pub fn next_ms(&self) -> u64 {
        self.spender.next_ms()
    }
}

/// Returns what a request counts, if its organisation has a limit.
pub(crate) fn charge(organisation: &Organisation, serving: &ServingRequest) -> Option<Charge> {
    organisation.limit?;
    Some(Charge {
        account: AccountId::of(&organisation.name),
        units: organisation.unit.cost(serving.tokens()),
        is_paid: false,
    })
}

impl Daemon {
    /// Tells the keeper what was spent, and takes over the limits of a new configuration.
    pub(crate) fn advance_limits(&mut self) {
        let now_ms = self.now_ms;
        self.take_over_limits();
        if now_ms < self.limits.next_ms() {
            return;
        }
        let keepers = self.peers.keepers();
        if let Some(report) = self.limits.spender.due_report(now_ms, keepers.len()) {
            let choice = self.limits.spender.owner_rank();
            let (vm, address) = &keepers[choice];
            match *vm == self.peers.own_record().vm {
                true => self.take_report(None, &report),
                false => self.peers.send(*address, &PeerMessage::Spent(report)),
            }
        }
        if now_ms >= self.limits.next_forget_ms {
            self.limits.next_forget_ms = now_ms + FORGET_EVERY_MS;
            self.limits.keeper.remove_inactive(now_ms);
        }
    }

    fn take_over_limits(&mut self) {
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
            .spender
            .set_limits(self.now_ms, limits.iter().copied());
        self.limits.keeper.set_limits(self.now_ms, limits);
    }

    /// Takes in what a VM has spent, as the keeper; `from` is the sender, if it is another VM.
    pub(crate) fn take_report(&mut self, from: Option<SocketAddr>, report: &Report) {
        let Some(answer) = self.limits.keeper.handle(self.now_ms, report) else {
            return;
        };
        match from {
            Some(from) => self.peers.send(from, &PeerMessage::Allowed(answer)),
            None => self.take_allowed(&answer),
        }
    }

    /// Takes in what the keeper allows.
    pub(crate) fn take_allowed(&mut self, answer: &Answer) {
        self.look_again |= self.limits.spender.handle(self.now_ms, answer);
    }

    /// Admits a request that its organisation's limit has not admitted yet. Returns whether it may go
    /// on.
    pub(crate) fn is_within_limit(&mut self, key: u64) -> bool {
        let now_ms = self.now_ms;
        let Some(request) = self.active.get_mut(key) else {
            return false;
        };
        let Some(charge) = request.charge.filter(|charge| !charge.is_paid) else {
            return true;
        };
        let spender = &mut self.limits.spender;
        let asked_until_ms = request.job.arrived_ms + ASKED_MS;
        match spender.admit(now_ms, charge.account, key, charge.units) {
            Admission::Admitted => {
                request.charge = Some(Charge {
                    is_paid: true,
                    ..charge
                });
                true
            }
            Admission::Pending if now_ms < asked_until_ms => {
                if request.phase != Phase::Waiting(WaitReason::Limit) {
                    self.metrics.asked_keeper();
                    request.phase = Phase::Waiting(WaitReason::Limit);
                    self.active.wake_at(asked_until_ms, key);
                }
                false
            }
            Admission::Pending => {
                spender.withdraw(charge.account, key);
                self.refuse_over_limit(key, Some(ASKED_MS));
                false
            }
            Admission::Refused { retry_after_ms } => {
                self.refuse_over_limit(key, retry_after_ms);
                false
            }
        }
    }

    fn refuse_over_limit(&mut self, key: u64, retry_after_ms: Option<u64>) {
        let Some(request) = self.active.get(key) else {
            return;
        };
        let Some(organisation) = &request.organisation else {
            return;
        };
        let name = organisation.name.clone();
        let rate = organisation.limit.map_or(0.0, |limit| limit.rate_per_s);
        let spread = spread(&request.serving.id);
        let refusal = match retry_after_ms {
            Some(retry_after_ms) => {
                let detail = format!("{name} has used its limit of {rate:.0} a second");
                let retry_after_ms = retry_after_ms * spread / 1_000;
                Refusal::not_run(RefusalReason::OverLimit, detail).retry_after(retry_after_ms)
            }
            None => {
                let detail = format!("the request alone is larger than the limit of {name}");
                Refusal::not_run(RefusalReason::OverLimit, detail)
            }
        };
        self.metrics.over_limit(&name);
        self.refuse(key, &refusal);
    }

    /// Gives back what a request counts that was refused and has not run.
    pub(crate) fn give_back(&mut self, charge: Charge, key: u64) {
        match charge.is_paid {
            true => self.limits.spender.give_back(charge.account, charge.units),
            false => self.limits.spender.withdraw(charge.account, key),
        }
    }
}

/// Returns by how much a time to come back is lengthened, in thousandths, so that callers who are
/// refused together do not return together.
fn spread(id: &RequestId) -> u64 {
    SPREAD_FROM + xxhash_rust::xxh3::xxh3_64(id.as_str().as_bytes()) % SPREAD
}
