//! Which troubles come when.

use crate::draws::SETTLE_MS;
use crate::draws::WARM_UP_MS;
use crate::draws::draw_continuation_faults;
use crate::draws::draw_crashers;
use crate::draws::draw_organisation_events;
use crate::draws::draw_random_faults;
use crate::draws::draw_rollbacks;
use crate::fault::Trouble;

/// What the bodies hold of requests that end engines at once, and after some events.
pub(crate) const CRASH_MARKS: [&str; 2] = ["ends-engine-", "ends-engine-late-"];

/// `Planned` is a trouble with its time.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Planned {
    /// When it begins.
    pub at_ms: u64,
    /// What it is.
    pub trouble: Trouble,
}

/// `Crasher` is a caller whose request ends each engine that runs it, and who sends it again and
/// again.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Crasher {
    /// The body, the same each time.
    pub body: String,
    /// The model.
    pub model: &'static str,
    /// When it is sent first.
    pub at_ms: u64,
    /// The time between two sends.
    pub pause_ms: u64,
    /// Whether the request is a stream that may be resumed.
    pub resumable: bool,
    /// How many callers send it at a time.
    pub copies: usize,
}

/// `Burst` is a time in which an organisation sends many times its usual.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Burst {
    /// The number of the organisation.
    pub organisation: usize,
    /// When it begins.
    pub at_ms: u64,
    /// How long it is.
    pub for_ms: u64,
    /// How many callers send.
    pub callers: usize,
    /// The time between two requests of each.
    pub pause_ms: u64,
}

/// `Plan` is what happens in one soak.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Plan {
    /// Callers whose requests end engines.
    pub crashers: Vec<Crasher>,
    /// Times in which an organisation sends more.
    pub bursts: Vec<Burst>,
    /// The troubles in order of time.
    pub faults: Vec<Planned>,
    /// When the last one must have ended.
    pub calm_from_ms: u64,
    /// When the soak ends.
    pub end_ms: u64,
}

impl Plan {
    /// Draws a plan for a number of VMs, engines and other upstreams. The numbers of the other
    /// upstreams follow those of the engines.
    pub fn draw(seed: u64, length_ms: u64, vms: usize, engines: usize, upstreams: usize) -> Self {
        let calm_from_ms = length_ms.saturating_sub(SETTLE_MS).max(WARM_UP_MS);
        let mut faults = draw_random_faults(seed, calm_from_ms, vms, engines, upstreams);
        faults.extend(draw_rollbacks(seed, calm_from_ms));
        faults.extend(draw_continuation_faults(seed, calm_from_ms, engines));
        let (bursts, changes) = draw_organisation_events(seed, calm_from_ms);
        faults.extend(changes);
        faults.sort_by_key(|planned| planned.at_ms);
        Self {
            crashers: draw_crashers(seed, calm_from_ms),
            bursts,
            faults,
            calm_from_ms,
            end_ms: calm_from_ms + SETTLE_MS,
        }
    }
}
