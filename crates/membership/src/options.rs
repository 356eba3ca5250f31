//! Tunables of membership.

/// `Options` holds the tunables of membership.
#[derive(Clone, Debug, PartialEq)]
pub struct Options {
    /// Seeds the order in which peers are visited, together with the VM's own name.
    pub seed: u64,
    /// Heartbeats in one round at most. It bounds the cost of heartbeats whatever the cluster's
    /// size.
    pub peers_per_round: usize,
    /// The places of a round that go first to peers which missed their last heartbeat.
    pub rechecks_per_round: usize,
    /// The time between two rounds while one round visits every peer.
    pub round_ms: u64,
    /// The time between two rounds in a larger cluster.
    pub large_cluster_round_ms: u64,
    /// Heartbeats missed in a row after which a peer is no longer preferred.
    pub suspect_after_missed: u32,
    /// Heartbeats answered in a row after which a suspected peer is preferred again.
    pub trust_after_answered: u32,
    /// Tries in a row that did not reach an upstream after which it counts as unreachable.
    pub unreachable_after: u32,
    /// How long an entry may be missing from the list, in the list's own time, and still receive
    /// new work.
    pub unlisted_grace_ms: u64,
    /// How long an entry that was leaving must be listed as live again, in the list's own time,
    /// before it receives new work.
    pub return_after_ms: u64,
    /// How long an entry that is missing from the list is remembered, in the list's own time.
    pub forget_after_ms: u64,
    /// The share of the live entries that one listing may drop without confirmation.
    pub drop_share: f64,
    /// Live entries below which a drop needs no confirmation.
    pub drop_floor: usize,
    /// How much later a listing must be, in the list's own time, to confirm a drop.
    pub confirm_ms: u64,
    /// How long a VM that is listed as gone must not have been heard before it is departed.
    pub gone_silence_ms: u64,
    /// The wait after which the next VM in rank may propose in the preferred one's place.
    pub propose_step_ms: u64,
    /// The time after which an unanswered proposal is repeated.
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
