//! The dispatcher's limits, and what they mean for routing and repeats.

use apricotdale_core::names::ZoneName;
use apricotdale_routing::Options as RoutingOptions;
use apricotdale_routing::OutlierOptions;
use apricotdale_routing::RetryOptions;

/// VMs among which the repeats are shared before the other VMs are known: more than there are.
const UNKNOWN_VMS: u32 = 100;

/// The most sends of one request. What may have run is bounded by its route; what upstreams turn away is
/// bounded by the repeats. With six, requests were refused while their model was being loaded: an engine
/// that was said to hold it turned them away six times within 130 ms.
const MOST_TRIES: u32 = 20;

/// The part of the spare repeats that the VMs may have saved together.
const SAVED_SHARE: f64 = 0.5;

/// The part of the spare repeats that time alone earns within the operators' window.
const TIMED_SHARE: f64 = 0.4;

/// The part of the allowed repeats of each request that it earns.
const EARNED_SHARE: f64 = 0.95;

/// Saved repeats up to which time alone earns more.
const IDLE_SAVED: f64 = 2.0;

/// `DispatcherOptions` are the dispatcher's limits.
#[derive(Clone, Debug, PartialEq)]
pub struct DispatcherOptions {
    /// The seed of random choices; each VM needs its own.
    pub seed: u64,
    /// This VM's availability zone.
    pub own_zone: ZoneName,
    /// Repeats that all VMs together may add to each request of a service.
    pub repeats_per_request: f64,
    /// Repeats that all VMs together may add beyond that within the window.
    pub spare_repeats: f64,
    /// The operators' window for counting repeats.
    pub repeats_window_ms: u64,
    /// VMs among which the repeats are shared.
    pub vms: u32,
    /// How much of an engine's places requests may take before more wait at the VM. Above one,
    /// requests wait at the engine, where they can't be sent elsewhere any more.
    pub engine_fill: f64,
    /// The same for plain services, whose requests are short.
    pub service_fill: f64,
    /// The time that must be left for a request to be worth sending at all.
    pub least_left_ms: u64,
}

impl DispatcherOptions {
    /// Returns the options of a VM.
    pub fn new(seed: u64, own_zone: ZoneName) -> Self {
        Self {
            seed,
            own_zone,
            repeats_per_request: 0.2,
            spare_repeats: 50.0,
            repeats_window_ms: 10_000,
            vms: UNKNOWN_VMS,
            engine_fill: 1.0,
            service_fill: 1.6,
            least_left_ms: 60,
        }
    }
}

/// Returns this VM's part of the repeats. The VMs do not count together, so the parts must add up
/// to less than the operators allow, whichever VMs need them: with the parts of nine VMs, 71 VMs
/// broke the operators' bound while engines turned many requests away.
pub(crate) fn retry_options(options: &DispatcherOptions) -> RetryOptions {
    let vms = f64::from(options.vms.max(1));
    let window_s = options.repeats_window_ms as f64 / 1_000.0;
    let max_saved = (options.spare_repeats * SAVED_SHARE / vms).max(1.0);
    RetryOptions {
        seed: options.seed,
        max_tries: MOST_TRIES,
        base_pause_ms: 8,
        max_pause_ms: 100,
        min_left_ms: options.least_left_ms,
        earned_per_first_try: options.repeats_per_request * EARNED_SHARE,
        max_saved,
        earned_per_s: options.spare_repeats * TIMED_SHARE / vms / window_s,
        idle_saved: max_saved.min(IDLE_SAVED),
    }
}

/// Deployments change within seconds here, so outcomes weigh for seconds and ejections are short.
pub(crate) fn routing_options(options: &DispatcherOptions) -> RoutingOptions {
    RoutingOptions {
        seed: options.seed,
        own_zone: Some(options.own_zone.clone()),
        assumed_lag_ms: 50,
        max_lag_ms: 2_000,
        assumed_run_ms: 400,
        weight_half_life_ms: 3_000,
        outliers: OutlierOptions {
            half_life_ms: 4_000,
            min_weight: 5.0,
            ejection_ms: 1_500,
            max_ejection_ms: 8_000,
            probe_interval_ms: 500,
            probe_timeout_ms: 2_000,
            probes_to_return: 2,
            ramp_ms: 1_500,
            forgive_after_ms: 10_000,
            ..OutlierOptions::default()
        },
        ..RoutingOptions::default()
    }
}
