//! What VMs and their keeper tell each other.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64;

/// `AccountId` stands for an organisation's name.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct AccountId(u64);

impl AccountId {
    /// Returns the id of an organisation.
    pub fn of(name: &str) -> Self {
        Self(xxh3_64(name.as_bytes()))
    }
}

impl fmt::Debug for AccountId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "AccountId({:x})", self.0)
    }
}

/// `Spent` is what one VM has spent of an account since it reports to this keeper.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Spent {
    /// The account.
    pub account: AccountId,
    /// What was spent before it was granted, altogether.
    pub units: i64,
    /// What is wanted now.
    pub wanted: u64,
    /// What of it the request wants that has waited longest.
    pub first: u64,
}

/// `Report` tells the keeper what a VM has spent and wants.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// The run of the VM.
    pub vm: u64,
    /// Grows with each report of this run.
    pub number: u64,
    /// The run of the keeper that the VM hears; none if it asks whether one is there.
    pub keeper: Option<u64>,
    /// The time that this VM hands over, altogether since it reports to this keeper. Its part of what
    /// accrues in that time is the keeper's.
    pub handed_ms: u64,
    /// The accounts of which something has changed or is wanted.
    pub spent: Vec<Spent>,
}

/// `Allowance` is what a keeper answers of one account.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Allowance {
    /// The account.
    pub account: AccountId,
    /// What the keeper knows to be spent.
    pub known: i64,
    /// What is granted.
    pub granted: u64,
    /// In which time to come back, where not all that is wanted was granted.
    pub retry_after_ms: Option<u32>,
}

/// `Answer` answers a report.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// The run of the keeper.
    pub keeper: u64,
    /// The report that is answered.
    pub number: u64,
    /// The accounts of the report.
    pub allowances: Vec<Allowance>,
    /// The accounts that are near their limit.
    pub scarce: Vec<AccountId>,
}
