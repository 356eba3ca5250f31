//! Tunables of the placement policies.

/// `Options` are the tunables of the placement policies. Operators don't set them.
#[derive(Clone, Debug, PartialEq)]
pub struct Options {
    /// How long `FixedTimeout` keeps an idle replica.
    pub idle_timeout_ms: u64,
    /// How long a proposal may go unseen in the view before it counts as lost.
    pub proposal_timeout_ms: u64,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            idle_timeout_ms: 600_000,
            proposal_timeout_ms: 10_000,
        }
    }
}
