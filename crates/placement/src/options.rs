//! Tunables of the placement policies.

/// `Options` are the tunables of the placement policies. Operators don't set them.
#[derive(Clone, Debug, PartialEq)]
pub struct Options {
    /// How long `FixedTimeout` keeps an idle replica.
    pub idle_timeout_ms: u64,
    /// How long a proposal may go unseen in the view before it counts as lost.
    pub proposal_timeout_ms: u64,
    /// How long one accelerator may idle for one request that is answered in time for it. It
    /// turns missed class targets and idle memory into one measure.
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
