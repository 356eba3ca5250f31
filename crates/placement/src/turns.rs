//! Turns of the models that share an engine: how long a model stays.

/// Minimum time for which a model stays on an engine after its load, so that the requests that have
/// waited for it are sent and answered. VMs hear of the load within some tens of milliseconds, and
/// report their requests every 350 ms.
const MIN_STAY_MS: u64 = 250;

/// Returns whether the turn of a model that was loaded at this time has not ended.
pub fn is_in_turn(now_ms: u64, loaded_ms: Option<u64>) -> bool {
    loaded_ms.is_some_and(|loaded_ms| now_ms < loaded_ms + MIN_STAY_MS)
}
