//! Lower bounds that no policy can beat.

use apricotdale_core::engine::CacheTier;

use crate::case::Case;
use crate::deployment::Deployment;
use crate::trace::Target;
use crate::trace::Trace;

/// Returns the idle accelerator hours of an offline policy that knows all arrivals in advance. In
/// each gap between requests it either keeps the model loaded, or unloads it and loads it from
/// memory just in time for the next request, whichever occupies memory for less idle time. A load
/// counts as idle time, since a loading model serves no request.
pub fn idle_hours(deployment: &Deployment, trace: &Trace, case: Case) -> f64 {
    let from_ms = case.measured_from_ms();
    let mut busy_until_ms: Vec<Option<u64>> = vec![None; trace.models.len()];
    let mut idle_ms = 0.0;
    for request in &trace.requests {
        let Target::Model(model) = request.target else {
            continue;
        };
        let end_ms = request.at_ms + request.run_ms;
        let until_ms = busy_until_ms[model].get_or_insert(0);
        if request.at_ms > *until_ms && request.at_ms >= from_ms {
            let bytes = trace.models[model].bytes;
            let load_ms = deployment.load_times.total_ms(CacheTier::Memory, bytes);
            let held_ms = load_ms.min(request.at_ms - *until_ms);
            idle_ms += held_ms as f64 * bytes as f64 / deployment.engines.capacity_bytes as f64;
        }
        *until_ms = end_ms.max(*until_ms);
    }
    idle_ms / 3_600_000.0
}
