//! Messages between quota clients and owners.

use std::fmt;

use serde::Deserialize;
use serde::Deserializer;
use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64;

/// Identity of an organisation in messages: a hash of its name.
#[derive(Clone, Copy, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
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
    /// Units that pending requests want, by rank; absent in reports of earlier releases.
    #[serde(deserialize_with = "or_default")]
    pub wants: Vec<AccountWants>,
    /// Units at risk that are neither refunded nor lost, where that has changed; `None` in reports of
    /// earlier releases.
    #[serde(deserialize_with = "or_default")]
    pub in_flight: Option<Vec<AccountInFlight>>,
}

/// Units at risk of one VM and account whose requests have not been answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AccountInFlight {
    /// Account of the units.
    pub account: AccountId,
    /// Number of units, granted ones that wait for their use included.
    pub units: u32,
    /// Total number of granted units that the VM has received from this owner.
    pub granted: u64,
}

/// Units that the pending requests of one VM want from one account.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct AccountWants {
    /// Account that they want units of.
    pub account: AccountId,
    /// Requests beyond the units granted, the most urgent rank first, then the oldest. Not more than
    /// [`MAX_LISTED_REQUESTS`]; the others follow in the next report.
    pub requests: Vec<WantedUnits>,
}

/// Units that one pending request wants.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WantedUnits {
    /// Rank of its request class; rank 0 is the most urgent one.
    pub rank: u32,
    /// Number of units.
    pub units: u64,
    /// Identifies the request when its caller sends it again; 0 if that is not known.
    pub tag: u32,
}

/// Maximum number of requests of one account in a report. Each takes about eight bytes.
pub const MAX_LISTED_REQUESTS: usize = 48;

/// Rank of requests without one: of accounts that have none, and of VMs of an earlier release.
pub(crate) const UNKNOWN_RANK: u32 = u32::MAX;

/// Reads the last part of a message, or returns its default where the message ends before.
fn or_default<'de, D, T>(deserializer: D) -> Result<T, D::Error>
where
    D: Deserializer<'de>,
    T: Deserialize<'de> + Default,
{
    Ok(T::deserialize(deserializer).unwrap_or_default())
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
    /// Accounts whose units are divided by rank; absent in answers of earlier releases.
    #[serde(deserialize_with = "or_default")]
    pub turns: Vec<AccountTurns>,
}

/// Requests of one account that were listed in a report and get no units now. The others got theirs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AccountTurns {
    /// Account whose units are divided by rank.
    pub account: AccountId,
    /// Denied requests, in the order of the report.
    pub denied: Vec<DeniedRequest>,
}

/// Request that gets no units now.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DeniedRequest {
    /// The request as listed in the report.
    pub wanted: WantedUnits,
    /// Time in milliseconds after which its caller may retry.
    pub retry_after_ms: u32,
    /// Whether units are kept for it then.
    pub has_turn: bool,
}
