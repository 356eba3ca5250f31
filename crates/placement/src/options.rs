//! Parameters of the placement policies.

/// Parameters of the placement policies, which operators don't set.
#[derive(Clone, Debug, PartialEq)]
pub struct Options {
    /// Time for which `FixedTimeout` keeps an idle replica.
    pub idle_timeout_ms: u64,
    /// Time for which a proposal may be absent from the view before it counts as lost.
    pub proposal_timeout_ms: u64,
    /// Accelerator idle time that is worth one request answered within its class target. It makes
    /// missed targets and idle memory comparable.
    pub idle_ms_per_miss: f64,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            idle_timeout_ms: 600_000,
            proposal_timeout_ms: 10_000,
            idle_ms_per_miss: 300_000.0,
        }
    }
}
