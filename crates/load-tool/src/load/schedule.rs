//! Schedule of a run's requests, drawn from a seed before the run begins.

use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use apricotdale_policy_replay::trace::Target;
use apricotdale_policy_replay::trace::Trace;
use apricotdale_policy_replay::trace::TraceRequest;

use crate::load::options::LoadOptions;
use crate::load::scale::Scale;

/// Constant mixed into the seed, so that these draws are independent of the trace's.
const SEED_SALT: u64 = 0x10ad;

/// Time between two tokens of an answer, in the deployment's time.
pub const TOKEN_GAP_MS: u64 = 50;

/// Share of completions whose answers are not streamed.
const UNSTREAMED_SHARE: f64 = 0.2;

/// Shares of the calls to the plain service. The remainder are cut orders without a key.
const LOOKUP_SHARE: f64 = 0.6;
const KEYED_SHARE: f64 = 0.25;

/// Share of the cut orders with a key that their caller sends twice, to two VMs.
const DUPLICATE_SHARE: f64 = 0.4;

/// Maximum delay of the duplicate of a cut order after the first one.
const MAX_DUPLICATE_DELAY: Duration = Duration::from_millis(400);

/// Operation that a request asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Work {
    /// A completion by a model.
    Completion {
        /// Index of the model in the trace.
        model: usize,
        /// Number of the common prefix with which the prompt begins.
        prefix: u64,
        /// Length of the answer, in tokens.
        tokens: u32,
        /// Whether the answer is streamed.
        stream: bool,
    },
    /// A lookup of a bundle on the shelf, which is idempotent.
    ShelfLookup {
        /// Number of the bundle.
        bundle: u64,
    },
    /// A cut order, which must not be executed twice.
    CutOrder {
        /// Number of the order.
        order: u64,
        /// Whether the order is sent with an idempotency key.
        keyed: bool,
    },
}

/// Request of the schedule.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlannedRequest {
    /// Scheduled time of sending, since the start of the run.
    pub at: Duration,
    /// Index of the VM that the request is sent to first.
    pub vm: usize,
    /// Index of the request class in the deployment.
    pub class: usize,
    /// Number of the caller.
    pub caller: u32,
    /// Operation that the request asks for.
    pub work: Work,
    /// Whether the request is a caller's duplicate of a cut order that is also in the schedule.
    pub is_duplicate: bool,
}

/// Returns the requests of a run, ordered by time.
pub fn schedule(trace: &Trace, scale: &Scale, options: &LoadOptions) -> Vec<PlannedRequest> {
    let mut source = ChaCha8Rng::seed_from_u64(options.seed ^ SEED_SALT);
    let mut planned = Vec::new();
    for (number, request) in trace.requests.iter().enumerate() {
        let Some(at) = scale.arrival(request.at_ms) else {
            continue;
        };
        let first = PlannedRequest {
            at,
            vm: source.random_range(0..options.vms),
            class: request.class,
            caller: request.caller,
            work: work(request, number as u64, &mut source),
            is_duplicate: false,
        };
        planned.extend(duplicate(&first, options.vms, &mut source));
        planned.push(first);
    }
    planned.sort_by_key(|planned| planned.at);
    planned
}

fn work(request: &TraceRequest, number: u64, source: &mut ChaCha8Rng) -> Work {
    match request.target {
        Target::Model(model) => Work::Completion {
            model,
            prefix: request.prefix_hash,
            tokens: tokens(request),
            stream: !source.random_bool(UNSTREAMED_SHARE),
        },
        Target::Service => {
            let drawn: f64 = source.random();
            match drawn {
                _ if drawn < LOOKUP_SHARE => Work::ShelfLookup { bundle: number },
                _ => Work::CutOrder {
                    order: number,
                    keyed: drawn < LOOKUP_SHARE + KEYED_SHARE,
                },
            }
        }
    }
}

/// Returns the number of tokens that takes an engine as long to generate as the trace says.
fn tokens(request: &TraceRequest) -> u32 {
    let after_first_ms = request.run_ms.saturating_sub(request.first_token_ms);
    u32::try_from(after_first_ms / TOKEN_GAP_MS + 1).unwrap_or(u32::MAX)
}

/// Draws whether a cut order with a key is sent twice, and returns the duplicate for another VM.
fn duplicate(
    first: &PlannedRequest,
    vms: usize,
    source: &mut ChaCha8Rng,
) -> Option<PlannedRequest> {
    let is_eligible = matches!(first.work, Work::CutOrder { keyed: true, .. });
    if !is_eligible || !source.random_bool(DUPLICATE_SHARE) {
        return None;
    }
    let after = MAX_DUPLICATE_DELAY.mul_f64(source.random());
    Some(PlannedRequest {
        at: first.at + after,
        vm: (first.vm + 1) % vms,
        is_duplicate: true,
        ..first.clone()
    })
}
