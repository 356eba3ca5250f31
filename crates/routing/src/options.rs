//! Tunables of the routing and retry policies.

use apricotdale_core::names::ZoneName;

/// `Options` holds the tunables of the routing policies.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Options {
    /// The seed of the policy's random choices. Each VM needs its own, or all VMs draw alike.
    pub seed: u64,
    /// The availability zone of this VM, or none to ignore zones.
    pub own_zone: Option<ZoneName>,
}

/// `RetryOptions` holds the tunables of the retry policies.
#[derive(Clone, Debug, PartialEq)]
pub struct RetryOptions {
    /// The seed of the pauses. Each VM needs its own, or all VMs retry at the same moments.
    pub seed: u64,
    /// The most tries for one request, the first included.
    pub max_tries: u32,
    /// The bound of the first pause; it doubles with each try.
    pub base_pause_ms: u64,
    /// The most that the bound of a pause grows to.
    pub max_pause_ms: u64,
    /// The time that must be left after the pause for another try to be worth it.
    pub min_left_ms: u64,
}

impl Default for RetryOptions {
    fn default() -> Self {
        Self {
            seed: 0,
            max_tries: 3,
            base_pause_ms: 25,
            max_pause_ms: 1_000,
            min_left_ms: 50,
        }
    }
}
