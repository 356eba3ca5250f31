//! Limits of a quarantine.

/// Limits of a [`Quarantine`](crate::Quarantine).
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Options {
    /// Upstreams that must have crashed under a request, without another explanation, before it is
    /// blocked.
    pub unexplained_crashes: usize,
    /// Upstreams that crashed under a request from which on it is blocked whatever else explains
    /// the crashes.
    pub total_crashes: usize,
    /// Upstreams that crashed under a request from which on it is on probation.
    pub probation_crashes: usize,
    /// Copies of a request that were lost in crashes from which on it is on probation.
    pub probation_copies: u32,
    /// Trial runs of a request that were lost in crashes from which on it is blocked whatever else
    /// explains the crashes.
    pub lost_trials: u32,
    /// Trial runs that must be lost of requests with nothing but a part under suspicion before the
    /// part is blocked, if the lack of answers does not tell that it is the cause.
    pub indecisive_trials: u32,
    /// Upstreams with a lost trial run with a part from which on it is blocked even if other parts of
    /// these requests are under suspicion, too.
    pub ambiguous_trials: usize,
    /// Time from the first report of a crash until its requests are judged, in which the reports of
    /// all VMs arrive.
    pub settle_ms: u64,
    /// Number of upstreams whose crashes within [`Options::group_ms`] have a common cause other
    /// than a request.
    pub group_upstreams: usize,
    /// Time between crashes up to which those of [`Options::group_upstreams`] upstreams count as
    /// having a common cause, such as a lost rack.
    pub group_ms: u64,
    /// Time between two crashes up to which they count as having a common cause.
    pub pair_ms: u64,
    /// Time for which a crash is remembered.
    pub crash_ttl_ms: u64,
    /// Length of a request's first block. After it the request is tried again, because it may have
    /// been blocked for crashes with another cause.
    pub first_block_ms: u64,
    /// Length of a request's second block. Each further one is four times as long.
    pub block_ms: u64,
    /// Largest length of a block.
    pub max_block_ms: u64,
    /// Number of crashes that are remembered.
    pub max_crashes: usize,
    /// Number of suspect requests that are remembered, counted once per crash.
    pub max_suspects: usize,
    /// Number of suspect requests of one caller that are remembered, counted once per crash.
    pub max_suspects_per_caller: usize,
    /// Number of requests of which the time of the last answer is remembered.
    pub max_answered: usize,
    /// Number of blocks that are remembered.
    pub max_blocks: usize,
    /// Number of blocks on requests of one caller that are remembered.
    pub max_blocks_per_caller: usize,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            unexplained_crashes: 3,
            total_crashes: 5,
            probation_crashes: 2,
            probation_copies: 3,
            lost_trials: 2,
            indecisive_trials: 3,
            ambiguous_trials: 6,
            settle_ms: 150,
            group_upstreams: 3,
            group_ms: 50,
            pair_ms: 20,
            crash_ttl_ms: 600_000,
            first_block_ms: 30_000,
            block_ms: 600_000,
            max_block_ms: 86_400_000,
            max_crashes: 512,
            max_suspects: 8_192,
            max_suspects_per_caller: 1_024,
            max_answered: 1_024,
            max_blocks: 4_096,
            max_blocks_per_caller: 256,
        }
    }
}
