//! Strategies that are compared, and the identities of requests, callers and VMs.

use apricotdale_quarantine::CallerHash;
use apricotdale_quarantine::Fingerprint;
use apricotdale_quarantine::Options;

/// Strategies that keep a request from crashing more engines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Policy {
    /// Crashes are counted, and any number of copies is sent until a request is blocked.
    CountOnly,
    /// Each VM sends one copy of a request on probation at a time.
    OnePerVm,
    /// One copy of a request on probation is sent at a time over all VMs.
    OnePerFleet,
}

impl Policy {
    pub fn options(self) -> Options {
        match self {
            Self::CountOnly => Options {
                probation_crashes: usize::MAX,
                probation_copies: u32::MAX,
                lost_trials: u32::MAX,
                ..Options::default()
            },
            _ => Options::default(),
        }
    }
}

pub fn request(name: &str) -> Fingerprint {
    Fingerprint::of(None, "POST", &["site.example", name], name.as_bytes())
}

pub fn crasher(which: u8) -> Fingerprint {
    request(&format!("crasher-{which}"))
}

pub fn incarnation_of(vm: usize) -> u64 {
    1 + vm as u64
}

pub fn caller() -> CallerHash {
    CallerHash::of(b"caller")
}
