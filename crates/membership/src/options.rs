//! Configurable limits and intervals of membership.

/// Limits and intervals of membership.
#[derive(Clone, Debug, PartialEq)]
pub struct Options {
    /// Seed of the order in which peers receive heartbeats, combined with the VM's own name.
    pub seed: u64,
    /// Maximum number of heartbeats in one round, which bounds their cost whatever the cluster's
    /// size.
    pub peers_per_round: usize,
    /// Number of heartbeats of a round that go first to peers which missed their last one.
    pub rechecks_per_round: usize,
    /// Interval between rounds while one round reaches every peer.
    pub round_ms: u64,
    /// Interval between rounds in a larger cluster.
    pub large_cluster_round_ms: u64,
    /// Number of consecutive missed heartbeats after which a peer is suspected.
    pub suspect_after_missed: u32,
    /// Number of consecutive answered heartbeats after which a peer is no longer suspected.
    pub trust_after_answered: u32,
    /// Number of consecutive failed attempts to reach an upstream after which it counts as
    /// unreachable.
    pub unreachable_after: u32,
    /// Time, by the clock of the VM list, for which an unlisted entry still receives new work.
    pub unlisted_grace_ms: u64,
    /// Time, by the clock of the VM list, for which an entry that was leaving must be listed as
    /// live again before it receives new work.
    pub return_after_ms: u64,
    /// Time, by the clock of the VM list, for which an unlisted entry is remembered.
    pub forget_after_ms: u64,
    /// Share of the live entries, from 0 to 1, that one listing may lack without confirmation.
    pub drop_share: f64,
    /// Number of live entries below which missing entries need no confirmation.
    pub drop_floor: usize,
    /// Time, by the clock of the VM list, by which a later listing must follow to confirm missing
    /// entries.
    pub confirm_ms: u64,
    /// Time without any heartbeat or answer after which a VM that is listed as gone is departed.
    pub gone_silence_ms: u64,
    /// Additional delay of each rank before a VM may propose in place of the preferred one.
    pub propose_step_ms: u64,
    /// Time after which a proposal that replay has not shown is repeated.
    pub repropose_ms: u64,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            seed: 0,
            peers_per_round: 8,
            rechecks_per_round: 2,
            round_ms: 1_000,
            large_cluster_round_ms: 4_000,
            suspect_after_missed: 3,
            trust_after_answered: 2,
            unreachable_after: 3,
            unlisted_grace_ms: 30_000,
            return_after_ms: 10_000,
            forget_after_ms: 3_600_000,
            drop_share: 0.5,
            drop_floor: 4,
            confirm_ms: 10_000,
            gone_silence_ms: 5_000,
            propose_step_ms: 400,
            repropose_ms: 5_000,
        }
    }
}
