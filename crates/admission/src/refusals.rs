//! The refusals that admission gives.

use apricotdale_core::refusal::Refusal;
use apricotdale_core::refusal::RefusalReason;

/// The shortest time after which a caller is asked to come back. A shorter one would have the
/// caller back before anything has changed.
const MIN_RETRY_MS: u64 = 50;

/// Returns the refusal of a request that could not start in time. `excess_ms` is by how much the
/// predicted wait exceeds the time left; the same request would be let in once the wait has shrunk
/// by as much.
pub(crate) fn too_short(excess_ms: u64) -> Refusal {
    let detail = format!("the predicted wait is {excess_ms} ms longer than the time left");
    Refusal::not_run(RefusalReason::DeadlineTooShort, detail)
        .retry_after(excess_ms.max(MIN_RETRY_MS))
}

/// Returns the refusal of a request for a target that is neither loaded nor being loaded, with too
/// little time left for a load.
pub(crate) fn undecided(retry_ms: u64) -> Refusal {
    let detail = "the time left is too short for a load that is not yet decided";
    Refusal::not_run(RefusalReason::DeadlineTooShort, detail).retry_after(retry_ms)
}

/// Returns the refusal of a request whose time ran out while it waited.
pub(crate) fn passed() -> Refusal {
    let detail = "the time ran out before the request could be started";
    Refusal::not_run(RefusalReason::DeadlinePassed, detail)
}

/// Returns the refusal of a request whose class has more waiting than can be answered in time, by
/// `excess_ms` of its capacity.
pub(crate) fn overloaded(excess_ms: u64) -> Refusal {
    let detail = "more work of this class waits than can be answered in time";
    Refusal::not_run(RefusalReason::Overloaded, detail).retry_after(excess_ms.max(MIN_RETRY_MS))
}

/// Returns the refusal of a request whose caller has more than an equal part while others wait.
pub(crate) fn over_share(excess_ms: u64) -> Refusal {
    let detail = "the caller has more than its share while others wait";
    Refusal::not_run(RefusalReason::CallerOverShare, detail)
        .retry_after(excess_ms.max(MIN_RETRY_MS))
}
