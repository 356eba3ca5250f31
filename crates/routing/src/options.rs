//! Tunables of the routing and retry policies.

use apricotdale_core::names::ZoneName;

/// `Options` holds the tunables of the routing policies. Loads are compared as pressure: requests
/// on an upstream as a share of the places in its batch.
#[derive(Clone, Debug, PartialEq)]
pub struct Options {
    /// The seed of the policy's random choices. Each VM needs its own, or all VMs draw alike.
    pub seed: u64,
    /// The availability zone of this VM, or none to ignore zones.
    pub own_zone: Option<ZoneName>,
    /// Upstreams drawn at random, of which the one with the fewest requests of this VM is taken.
    pub choices: usize,
    /// How often an upstream of another availability zone is drawn, compared with one of the own.
    pub other_zone_weight: f64,
    /// The pressure of this VM's own requests by which an upstream of the own availability zone may
    /// be busier than one of another and is still taken.
    pub other_zone_pressure: f64,
    /// The pressure by which an upstream may be busier and is still taken for the prompt prefix
    /// that it has cached.
    pub affinity_pressure: f64,
    /// The prompt prefixes that are remembered.
    pub prefix_entries: usize,
    /// How long an upstream is expected to keep a prompt prefix cached.
    pub prefix_ttl_ms: u64,
    /// The places in the batch of an upstream that has not reported.
    pub default_slots: u32,
    /// The lag assumed of a report whose time can't be that of this VM's clock.
    pub assumed_lag_ms: u64,
    /// The longest lag of a report that is corrected for.
    pub max_lag_ms: u64,
    /// How strongly an upstream's weight follows its reports, over the time that it takes for a
    /// change of weight to show in them. Above one, all VMs together swing to and fro.
    pub weight_gain: f64,
    /// The time in which a weight loses half of its distance to one.
    pub weight_half_life_ms: u64,
    /// The most by which a weight differs from one, as a factor.
    pub max_weight: f64,
    /// How strongly a report that is still true at its age shifts the draw. Zero ignores it.
    pub fresh_gain: f64,
    /// The time for which requests are taken to stay at an upstream until it has been measured.
    pub assumed_run_ms: u64,
    /// How upstreams are judged by their outcomes.
    pub outliers: OutlierOptions,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            seed: 0,
            own_zone: None,
            choices: 6,
            other_zone_weight: 0.15,
            other_zone_pressure: 0.15,
            affinity_pressure: 0.5,
            prefix_entries: 4_096,
            prefix_ttl_ms: 120_000,
            default_slots: 8,
            assumed_lag_ms: 2_000,
            max_lag_ms: 30_000,
            weight_gain: 0.3,
            weight_half_life_ms: 60_000,
            max_weight: 10.0,
            fresh_gain: 1.0,
            assumed_run_ms: 2_000,
            outliers: OutlierOptions::default(),
        }
    }
}

/// `OutlierOptions` holds the tunables by which an upstream is judged against its group.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct OutlierOptions {
    /// The time in which an outcome loses half of its weight.
    pub half_life_ms: u64,
    /// The weight of outcomes below which an upstream is not judged by its share of failures or
    /// its slowness. One outcome weighs one.
    pub min_weight: f64,
    /// How far an upstream's share of failures must exceed that of the others to be ejected.
    pub failure_margin: f64,
    /// Failures in a row after which an upstream is ejected while the others do better.
    pub failures_in_a_row: u32,
    /// The share of failures among the others above which nobody is ejected for failures in a row.
    pub common_failure: f64,
    /// The weight of a refusal among the failures.
    pub refusal_weight: f64,
    /// How many times the group's median first byte an upstream may take before it is ejected.
    pub eject_slowness: f64,
    /// The most by which slowness raises an upstream's cost before it is ejected.
    pub max_slowness: f64,
    /// How much later than the median a first byte must be to count as slow at all.
    pub slow_floor_ms: f64,
    /// The largest share of the group that is ejected at a time; one upstream of two or more
    /// always may be.
    pub max_ejected_share: f64,
    /// The length of the first ejection; it doubles with each further one.
    pub ejection_ms: u64,
    /// The longest ejection.
    pub max_ejection_ms: u64,
    /// Time between two probes of an ejected upstream.
    pub probe_interval_ms: u64,
    /// The time after which a probe without an outcome is given up.
    pub probe_timeout_ms: u64,
    /// Probes answered in a row after which an upstream gets work again.
    pub probes_to_return: u32,
    /// How long its share of the work then takes to grow to the full one.
    pub ramp_ms: u64,
    /// How long an upstream must do well for earlier ejections to be forgotten.
    pub forgive_after_ms: u64,
}

impl Default for OutlierOptions {
    fn default() -> Self {
        Self {
            half_life_ms: 30_000,
            min_weight: 8.0,
            failure_margin: 0.3,
            failures_in_a_row: 3,
            common_failure: 0.5,
            refusal_weight: 0.5,
            eject_slowness: 5.0,
            max_slowness: 4.0,
            slow_floor_ms: 50.0,
            max_ejected_share: 0.34,
            ejection_ms: 10_000,
            max_ejection_ms: 300_000,
            probe_interval_ms: 2_000,
            probe_timeout_ms: 60_000,
            probes_to_return: 3,
            ramp_ms: 20_000,
            forgive_after_ms: 600_000,
        }
    }
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
    /// The retries that each first try at a group earns.
    pub earned_per_first_try: f64,
    /// The most retries that a group saves up; it starts with them.
    pub max_saved: f64,
    /// The retries that a group earns in a second without any first try, so that a group that is
    /// rarely called has some.
    pub earned_per_s: f64,
    /// The saved retries up to which time alone earns more.
    pub idle_saved: f64,
}

impl Default for RetryOptions {
    fn default() -> Self {
        Self {
            seed: 0,
            max_tries: 3,
            base_pause_ms: 25,
            max_pause_ms: 1_000,
            min_left_ms: 50,
            earned_per_first_try: 0.1,
            max_saved: 10.0,
            earned_per_s: 0.1,
            idle_saved: 2.0,
        }
    }
}
