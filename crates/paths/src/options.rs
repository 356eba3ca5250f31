//! Options of the decisions about paths.

use apricotdale_core::names::ZoneName;

/// Times and limits of the decisions about paths.
#[derive(Clone, Debug, PartialEq)]
pub struct Options {
    /// Seed of random choices; each VM needs its own.
    pub seed: u64,
    /// Availability zone of this VM.
    pub own_zone: ZoneName,
    /// Age up to which received bytes prove that an upstream is reached now. It is shorter than the
    /// silence after which another VM asks, so that the bytes are later than the loss of its path.
    pub fresh_ms: u64,
    /// Time without an answer on any new connection to a service from which resets count.
    pub no_open_ms: u64,
    /// Age up to which another VM's statement that it reaches an upstream is used.
    pub max_answer_age_ms: u64,
    /// Time between two queries while other VMs reach what this VM does not.
    pub query_interval_ms: u64,
    /// First time between two queries while no other VM reaches it either. It doubles.
    pub first_query_pause_ms: u64,
    /// Longest time between two such queries.
    pub max_query_pause_ms: u64,
    /// Time between two turns in which lost paths are probed, a part of them each time. A success
    /// has the others probed at once.
    pub probe_interval_ms: u64,
    /// Largest number of probes in a turn.
    pub turn_probes: usize,
    /// Longest pause between two direct probes of a path that is lost again and again.
    pub max_probe_pause_ms: u64,
    /// Time for which a restored path must hold to count as steady again.
    pub steady_ms: u64,
    /// First pause between two probes of one upstream that other VMs ask for. It doubles while they
    /// fail.
    pub asked_probe_pause_ms: u64,
    /// Longest such pause.
    pub max_asked_probe_pause_ms: u64,
    /// Number of other upstreams that are probed when the first path is lost that another VM has.
    pub sample_probes: usize,
    /// Largest number of probes that are started at once.
    pub probe_batch: usize,
    /// Time between two such batches.
    pub probe_batch_interval_ms: u64,
    /// Time for which a VM is not used as relay after it has failed as one.
    pub avoid_ms: u64,
    /// Load of a VM in thousandths up to which it is preferred as relay.
    pub preferred_load_permille: u16,
    /// Time for which another VM must reach more engines before this one counts as cut off.
    pub settle_ms: u64,
}

impl Options {
    /// Returns the default options of a VM.
    pub fn new(seed: u64, own_zone: ZoneName) -> Self {
        Self {
            seed,
            own_zone,
            fresh_ms: 250,
            no_open_ms: 1_000,
            max_answer_age_ms: 1_300,
            query_interval_ms: 400,
            first_query_pause_ms: 100,
            max_query_pause_ms: 800,
            probe_interval_ms: 250,
            turn_probes: 8,
            max_probe_pause_ms: 500,
            steady_ms: 5_000,
            asked_probe_pause_ms: 400,
            max_asked_probe_pause_ms: 3_200,
            sample_probes: 2,
            probe_batch: 24,
            probe_batch_interval_ms: 30,
            avoid_ms: 1_000,
            preferred_load_permille: 800,
            settle_ms: 400,
        }
    }
}
