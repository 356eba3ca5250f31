//! Plan of a soak: which faults and bursts occur at which time.

use crate::draws::SETTLE_MS;
use crate::draws::WARM_UP_MS;
use crate::draws::draw_continuation_faults;
use crate::draws::draw_crashers;
use crate::draws::draw_organisation_events;
use crate::draws::draw_part_crashers;
use crate::draws::draw_path_cuts;
use crate::draws::draw_random_faults;
use crate::draws::draw_releases;
use crate::draws::draw_rollbacks;
use crate::draws::draw_stated_limits;
use crate::fault::Trouble;
use crate::load_draws::draw_models_in_turn;
use crate::load_draws::draw_over_limit;
use crate::notice_draws::draw_rests;
use crate::notice_draws::draw_small_room;
use crate::notice_draws::draw_stated_leaves;
use crate::silence_draws::draw_adjustments;
use crate::silence_draws::draw_endless_answers;
use crate::silence_draws::draw_silences;

/// Prefixes of the bodies of requests that crash engines: before the first event of the answer, and
/// after some events.
pub(crate) const CRASH_MARKS: [&str; 2] = ["ends-engine-", "ends-engine-late-"];

/// Parts of prompts that crash engines: before the first event of the answer, and after some events.
pub(crate) const CRASH_PARTS: [&str; 2] = ["c0de0", "c0de1a7e"];

/// One planned fault.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Planned {
    /// Start of the fault in milliseconds after the start of the plan.
    pub at_ms: u64,
    /// Fault to inject.
    pub trouble: Trouble,
}

/// Callers that send a request again and again which crashes every engine that runs it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Crasher {
    /// Body of the request, the same for each send and each caller. If it is one of the crashing
    /// parts of prompts, the requests have that part, and bodies of their own that begin with it.
    pub body: String,
    /// Model that the request names.
    pub model: &'static str,
    /// Time of the first send in milliseconds after the start of the plan.
    pub at_ms: u64,
    /// Pause of each caller between two sends.
    pub pause_ms: u64,
    /// Whether the request is a stream that may be resumed; if not, it may run once.
    pub resumable: bool,
    /// Number of callers that send it concurrently.
    pub copies: usize,
}

/// Time in which additional callers send requests of one organisation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Burst {
    /// Index of the organisation in the soak's list.
    pub organisation: usize,
    /// Start of the burst in milliseconds after the start of the plan.
    pub at_ms: u64,
    /// Duration of the burst.
    pub for_ms: u64,
    /// Number of additional callers.
    pub callers: usize,
    /// Pause of each caller between two requests.
    pub pause_ms: u64,
}

impl Crasher {
    /// Returns the part of the prompt that crashes engines; none if the request as a whole does.
    pub fn part(&self) -> Option<&str> {
        Some(self.body.as_str()).filter(|body| CRASH_PARTS.contains(body))
    }
}

/// Everything that is done to the VMs in one soak, in milliseconds after its start.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Plan {
    /// Callers whose requests crash engines.
    pub crashers: Vec<Crasher>,
    /// Times in which an organisation has additional callers.
    pub bursts: Vec<Burst>,
    /// Faults in order of their start.
    pub faults: Vec<Planned>,
    /// End of the time in which faults start; faults with a duration drawn at random end by then.
    pub calm_from_ms: u64,
    /// End of the plan, when its effects should have passed.
    pub end_ms: u64,
}

impl Plan {
    /// Draws a plan from a seed. `upstreams` counts the engines and the instances of the plain
    /// service; the engines have the lower indices.
    pub fn draw(seed: u64, length_ms: u64, vms: usize, engines: usize, upstreams: usize) -> Self {
        let calm_from_ms = length_ms.saturating_sub(SETTLE_MS).max(WARM_UP_MS);
        let mut faults = draw_random_faults(seed, calm_from_ms, vms, engines, upstreams);
        faults.extend(draw_rollbacks(seed, calm_from_ms));
        faults.extend(draw_continuation_faults(seed, calm_from_ms, engines));
        faults.extend(draw_stated_limits(seed, calm_from_ms, engines));
        faults.extend(draw_path_cuts(seed, calm_from_ms, vms));
        faults.extend(draw_releases(seed, calm_from_ms, engines));
        faults.extend(draw_stated_leaves(seed, calm_from_ms, engines));
        faults.extend(draw_rests(seed, calm_from_ms, engines));
        faults.extend(draw_small_room(seed, calm_from_ms, engines, upstreams));
        faults.extend(draw_silences(seed, calm_from_ms, engines, upstreams));
        faults.extend(draw_endless_answers(seed, calm_from_ms, upstreams));
        faults.extend(draw_adjustments(seed, calm_from_ms));
        let (bursts, changes) = draw_organisation_events(seed, calm_from_ms);
        faults.extend(changes);
        faults.extend(draw_over_limit(seed, calm_from_ms));
        faults.extend(draw_models_in_turn(seed, calm_from_ms));
        faults.sort_by_key(|planned| planned.at_ms);
        let mut crashers = draw_crashers(seed, calm_from_ms);
        crashers.extend(draw_part_crashers(seed, calm_from_ms));
        Self {
            crashers,
            bursts,
            faults,
            calm_from_ms,
            end_ms: calm_from_ms + SETTLE_MS,
        }
    }
}
