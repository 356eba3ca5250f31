//! Which troubles come when.

use crate::draws::LEAD_MS;
use crate::draws::REST_MS;
use crate::draws::draw_crashers;
use crate::draws::draw_joins;
use crate::draws::draw_organisations;
use crate::draws::draw_set_backs;
use crate::draws::draw_troubles;
use crate::trouble::Trouble;

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
    pub troubles: Vec<Planned>,
    /// When the last one must have ended.
    pub calm_from_ms: u64,
    /// When the soak ends.
    pub end_ms: u64,
}

impl Plan {
    /// Draws a plan for a number of VMs, engines and other upstreams. The numbers of the other
    /// upstreams follow those of the engines.
    pub fn draw(seed: u64, length_ms: u64, vms: usize, engines: usize, upstreams: usize) -> Self {
        let calm_from_ms = length_ms.saturating_sub(REST_MS).max(LEAD_MS);
        let mut troubles = draw_troubles(seed, calm_from_ms, vms, engines, upstreams);
        troubles.extend(draw_set_backs(seed, calm_from_ms));
        troubles.extend(draw_joins(seed, calm_from_ms, engines));
        let (bursts, changes) = draw_organisations(seed, calm_from_ms);
        troubles.extend(changes);
        troubles.sort_by_key(|planned| planned.at_ms);
        Self {
            crashers: draw_crashers(seed, calm_from_ms),
            bursts,
            troubles,
            calm_from_ms,
            end_ms: calm_from_ms + REST_MS,
        }
    }
}
