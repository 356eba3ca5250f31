//! Limits of the dispatcher, and the options of the routing and retry policies derived from them.

use apricotdale_core::names::ZoneName;
use apricotdale_routing::Options as RoutingOptions;
use apricotdale_routing::OutlierOptions;
use apricotdale_routing::RetryOptions;

/// Number of VMs that the retry budget is divided by until the VMs are known. It is above any real
/// number.
const ASSUMED_VMS: u32 = 100;

/// Most sends of one request. Sends after which it may have run are limited by its route, and
/// rejected sends by the retry budget. With 6, requests were refused while their model was being
/// loaded: an engine listed as holding it rejected them six times within 130 ms.
const MAX_SENDS: u32 = 20;

/// Share of the spare retries that all VMs together may have saved.
const MAX_SAVED_SHARE: f64 = 0.5;

/// Share of the spare retries that accrues with time within the window.
const ACCRUED_SHARE: f64 = 0.4;

/// Share of the retries allowed for each request that a first send earns.
const EARNED_SHARE: f64 = 0.95;

/// Saved retries up to which time accrues more.
const MAX_IDLE_SAVED: f64 = 2.0;

/// Limits of the dispatcher.
#[derive(Clone, Debug, PartialEq)]
pub struct DispatcherOptions {
    /// Seed of random choices; each VM needs its own.
    pub seed: u64,
    /// Availability zone of this VM.
    pub own_zone: ZoneName,
    /// Retries that all VMs together may add per request of a service.
    pub repeats_per_request: f64,
    /// Retries that all VMs together may add beyond that within the window.
    pub spare_repeats: f64,
    /// Length of the window in which the operators count retries.
    pub repeats_window_ms: u64,
    /// Number of VMs among which the retry budget is divided.
    pub vms: u32,
    /// Share of an engine's slots that requests may take before further ones wait at the VM. Above
    /// one, requests queue at the engine, from where they can't be sent elsewhere any more.
    pub engine_fill: f64,
    /// Share of the slots of a plain service that requests may take before further ones wait at the
    /// VM. Requests of plain services are short.
    pub service_fill: f64,
    /// Minimum time left until its deadline with which a request is still sent.
    pub least_left_ms: u64,
}

impl DispatcherOptions {
    /// Returns the default limits of a VM.
    pub fn new(seed: u64, own_zone: ZoneName) -> Self {
        Self {
            seed,
            own_zone,
            repeats_per_request: 0.2,
            spare_repeats: 50.0,
            repeats_window_ms: 10_000,
            vms: ASSUMED_VMS,
            engine_fill: 1.0,
            service_fill: 1.6,
            least_left_ms: 60,
        }
    }
}

/// Returns this VM's share of the retry budget. The VMs don't count together, so that their shares
/// must add up to less than the operators allow, whichever VMs use them: with shares for 9 VMs, 71
/// VMs exceeded the operators' limit while engines rejected many requests.
pub(crate) fn retry_options(options: &DispatcherOptions) -> RetryOptions {
    let vms = f64::from(options.vms.max(1));
    let window_s = options.repeats_window_ms as f64 / 1_000.0;
    let max_saved = (options.spare_repeats * MAX_SAVED_SHARE / vms).max(1.0);
    RetryOptions {
        seed: options.seed,
        max_tries: MAX_SENDS,
        base_pause_ms: 8,
        max_pause_ms: 100,
        min_left_ms: options.least_left_ms,
        earned_per_first_try: options.repeats_per_request * EARNED_SHARE,
        max_saved,
        earned_per_s: options.spare_repeats * ACCRUED_SHARE / vms / window_s,
        idle_saved: max_saved.min(MAX_IDLE_SAVED),
    }
}

/// Returns the routing options. Deployments change within seconds, so that outcomes are forgotten
/// within seconds and ejections are short.
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
