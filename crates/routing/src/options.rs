//! Tunables of the routing and retry policies.

use apricotdale_core::names::ZoneName;

/// Tunables of the routing policies. Loads are compared as pressure: the requests at an upstream as
/// a share of the slots in its batch.
#[derive(Clone, Debug, PartialEq)]
pub struct Options {
    /// Seed of the policy's random choices. Each VM needs its own, or all VMs make the same
    /// choices.
    pub seed: u64,
    /// Availability zone of this VM, or `None` to ignore zones.
    pub own_zone: Option<ZoneName>,
    /// Number of upstreams drawn at random, of which the one with the fewest requests of this VM is
    /// chosen.
    pub choices: usize,
    /// Weight with which an upstream of another availability zone is drawn, relative to one of this
    /// VM's.
    pub other_zone_weight: f64,
    /// Extra pressure of this VM's requests up to which an upstream of this VM's availability zone
    /// is preferred to one of another zone.
    pub other_zone_pressure: f64,
    /// Extra pressure up to which an upstream is preferred because it has probably cached the
    /// prompt prefix.
    pub affinity_pressure: f64,
    /// Number of prompt prefixes that are remembered.
    pub prefix_entries: usize,
    /// Time for which an upstream is expected to keep a prompt prefix cached.
    pub prefix_ttl_ms: u64,
    /// Number of slots assumed for an upstream that has not reported.
    pub default_slots: u32,
    /// Delay assumed for a report whose time can't be of this VM's clock.
    pub assumed_lag_ms: u64,
    /// Largest delay of a report that is corrected for.
    pub max_lag_ms: u64,
    /// Gain with which an upstream's weight follows its reports, over the time until a change of
    /// the weight shows in them. Above one, the weights of all VMs oscillate.
    pub weight_gain: f64,
    /// Time in which the logarithm of a weight decays to one half.
    pub weight_half_life_ms: u64,
    /// Largest factor between a weight and one, in either direction.
    pub max_weight: f64,
    /// Gain with which a report shifts the weight as long as it is recent. Zero turns this off.
    pub fresh_gain: f64,
    /// Time that a request is assumed to spend at an upstream until that has been measured.
    pub assumed_run_ms: u64,
    /// Detection of faulty and slow upstreams by the outcomes of their requests.
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

/// Tunables of outlier ejection, which compares an upstream with its group.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct OutlierOptions {
    /// Half-life of an outcome's weight.
    pub half_life_ms: u64,
    /// Weight of outcomes from which on an upstream's share of failures and slowness count. A new
    /// outcome has weight one.
    pub min_weight: f64,
    /// Difference between an upstream's share of failures and that of the others above which it is
    /// ejected.
    pub failure_margin: f64,
    /// Consecutive failures after which an upstream is ejected, if the others fail less.
    pub consecutive_failures: u32,
    /// Share of failures among the others from which on no upstream is ejected for consecutive
    /// failures.
    pub common_failure: f64,
    /// Weight of a refusal, relative to a failure.
    pub refusal_weight: f64,
    /// Ratio of an upstream's mean time to the first byte to the group's median from which on it is
    /// ejected.
    pub eject_slowness: f64,
    /// Largest factor by which slowness lowers the weight of an upstream that is not ejected.
    pub max_slowness: f64,
    /// Difference to the median below which a time to the first byte does not count as slow.
    pub slow_floor_ms: f64,
    /// Largest share of the group that is ejected at a time. In a group of two or more, one
    /// upstream may always be.
    pub max_ejected_share: f64,
    /// Length of the first ejection. It doubles with each further one.
    pub ejection_ms: u64,
    /// Largest length of an ejection.
    pub max_ejection_ms: u64,
    /// Time between two probes of an ejected upstream.
    pub probe_interval_ms: u64,
    /// Time after which another probe may be sent although the last one has no outcome.
    pub probe_timeout_ms: u64,
    /// Consecutive probes that must be answered before an upstream takes requests again.
    pub probes_to_return: u32,
    /// Time in which its share of the requests then grows to the full one.
    pub ramp_ms: u64,
    /// Time without an ejection after which earlier ones no longer count.
    pub forgive_after_ms: u64,
}

impl Default for OutlierOptions {
    fn default() -> Self {
        Self {
            half_life_ms: 30_000,
            min_weight: 8.0,
            failure_margin: 0.3,
            consecutive_failures: 3,
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

/// Tunables of the retry policies.
#[derive(Clone, Debug, PartialEq)]
pub struct RetryOptions {
    /// Seed of the pauses. Each VM needs its own, or all VMs retry at the same times.
    pub seed: u64,
    /// Largest number of attempts of one request, the first included.
    pub max_tries: u32,
    /// Upper limit of the first pause. It doubles with each attempt.
    pub base_pause_ms: u64,
    /// Value above which the upper limit of a pause does not grow.
    pub max_pause_ms: u64,
    /// Least time before the deadline, after the pause, with which a request is retried.
    pub min_left_ms: u64,
    /// Retries that each first attempt at a group earns.
    pub earned_per_first_try: f64,
    /// Largest number of retries that a group saves, and the number that it starts with.
    pub max_saved: f64,
    /// Retries that a group earns per second without any first attempt, so that a rarely called
    /// group has some.
    pub earned_per_s: f64,
    /// Saved retries up to which time earns more.
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
