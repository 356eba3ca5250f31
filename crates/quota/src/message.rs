//! Messages between quota clients and owners.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64;

/// Identity of an organisation in messages: a hash of its name.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct AccountId(u64);

impl AccountId {
    /// Returns the identity of the organisation of this name.
    pub fn of(name: &str) -> Self {
        Self(xxh3_64(name.as_bytes()))
    }
}

impl fmt::Debug for AccountId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "AccountId({:x})", self.0)
    }
}

/// Usage of one account by one VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AccountUsage {
    /// Organisation that uses the units.
    pub account: AccountId,
    /// Total number of units used without a grant since the VM reports to this owner.
    pub units: i64,
    /// Number of units that pending requests need beyond those granted.
    pub wanted: u64,
    /// Number of units of the oldest pending request; 0 if there is none.
    pub oldest: u64,
}

/// Report of one VM's usage to the quota owner.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Incarnation of the reporting process.
    pub vm: u64,
    /// Number that increases with each report of this incarnation.
    pub number: u64,
    /// Incarnation of the owner known to the VM; `None` if the report asks whether there is one.
    pub owner: Option<u64>,
    /// Total time that the VM has ceded since it reports to this owner. The owner's buckets receive
    /// the VM's share of what accrues in that time.
    pub ceded_ms: u64,
    /// Accounts with changed usage or pending requests.
    pub usages: Vec<AccountUsage>,
    /// What reports of earlier releases lack; it is encoded separately.
    #[serde(skip)]
    pub extra: ReportExtra,
}

/// Part of a report that earlier releases don't send.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReportExtra {
    /// Number of the first report to this owner since the VM last changed to it, from which on usage
    /// and ceded time are counted; 0 if that is not known.
    pub joined: u64,
    /// Room of upstreams with accounts of units at risk.
    pub rooms: Vec<AccountRoom>,
}

/// Room of the upstream that an account of units at risk stands for, as an answer showed it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AccountRoom {
    /// Account of the upstream.
    pub account: AccountId,
    /// Number of further requests that the upstream accepts.
    pub requests: u32,
    /// Time in milliseconds since the answer arrived.
    pub age_ms: u32,
}

/// Answer of an owner for one account.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Allowance {
    /// Organisation that the units are granted to.
    pub account: AccountId,
    /// Total number of units that the owner has recorded for the VM.
    pub acknowledged: i64,
    /// Number of units granted in addition to earlier grants; 0 if none. Units at risk are counted from
    /// the first report on, so that the next answer makes up for a lost one.
    pub granted: u64,
    /// Time in milliseconds after which to ask again; `None` if all wanted units were granted.
    pub retry_after_ms: Option<u32>,
}

/// Answer of an owner to a report.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// Incarnation of the answering owner.
    pub owner: u64,
    /// Number of the answered report.
    pub number: u64,
    /// Allowances for the accounts of the report.
    pub allowances: Vec<Allowance>,
    /// Sorted accounts without headroom, for which a VM may use granted units only.
    pub near_limit: Vec<AccountId>,
}
