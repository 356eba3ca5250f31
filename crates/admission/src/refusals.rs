//! Refusals of the admission policies.

use apricotdale_core::refusal::Refusal;
use apricotdale_core::refusal::RefusalReason;

/// Shortest time after which a caller is asked to retry. A shorter one would bring the retry before
/// anything has changed.
const MIN_RETRY_MS: u64 = 50;

/// Returns the refusal of a request that could not start in time. `excess_ms` is the time by which
/// the predicted wait exceeds the remaining time. The same request would be admitted once the wait
/// has shrunk by as much.
pub(crate) fn too_short(excess_ms: u64) -> Refusal {
    let detail = format!("the predicted wait is {excess_ms} ms longer than the time left");
    Refusal::not_run(RefusalReason::DeadlineTooShort, detail)
        .retry_after(excess_ms.max(MIN_RETRY_MS))
}

/// Returns the refusal of a request with too little remaining time for a load, for a target that is
/// neither loaded nor being loaded.
pub(crate) fn undecided(retry_ms: u64) -> Refusal {
    let detail = "the time left is too short for a load that is not yet decided";
    Refusal::not_run(RefusalReason::DeadlineTooShort, detail).retry_after(retry_ms)
}

/// Returns the refusal of a request whose latest start passed while it waited.
pub(crate) fn passed() -> Refusal {
    let detail = "the time ran out before the request could be started";
    Refusal::not_run(RefusalReason::DeadlinePassed, detail)
}

/// Returns the refusal of a request whose class has more work waiting than can be answered in time.
/// `excess_ms` is the time that its capacity needs for the excess.
pub(crate) fn overloaded(excess_ms: u64) -> Refusal {
    let detail = "more work of this class waits than can be answered in time";
    Refusal::not_run(RefusalReason::Overloaded, detail).retry_after(excess_ms.max(MIN_RETRY_MS))
}

/// Returns the refusal of a request whose caller has more than an equal share while others wait.
pub(crate) fn over_share(excess_ms: u64) -> Refusal {
    let detail = "the caller has more than its share while others wait";
    Refusal::not_run(RefusalReason::CallerOverShare, detail)
        .retry_after(excess_ms.max(MIN_RETRY_MS))
}
