//! Which requests a run sends, when and where, drawn from a seed before the run begins.

use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use apricotdale_policy_replay::trace::Target;
use apricotdale_policy_replay::trace::Trace;
use apricotdale_policy_replay::trace::TraceRequest;

use crate::load::options::LoadOptions;
use crate::load::scale::Scale;

/// What the schedule's own draws mix into the seed, so that they are not those of the trace.
const SEED_MIX: u64 = 0x10ad;

/// The time between two tokens of an answer, in the deployment's time.
pub const TOKEN_GAP_MS: u64 = 50;

/// Share of the calls to models whose answers are no streams.
const WHOLE_SHARE: f64 = 0.2;

/// Shares of the calls to the plain service. The rest are cut orders without a key.
const LOOK_SHARE: f64 = 0.6;
const KEYED_SHARE: f64 = 0.25;

/// Share of the cut orders under a key that their caller sends twice, at two VMs.
const REPEATED_SHARE: f64 = 0.4;

/// How long after the first one a repeated cut order is sent, at most.
const REPEAT_WITHIN: Duration = Duration::from_millis(400);

/// `Work` is what a request asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Work {
    /// An answer of a model.
    Completion {
        /// The model, by its index in the trace.
        model: usize,
        /// Which of its prompts' prefixes the prompt begins with.
        prefix: u64,
        /// The length of the answer.
        tokens: u32,
        /// Whether the answer is a stream.
        stream: bool,
    },
    /// A look at the shelf, which may be repeated.
    Look {
        /// The number of the bundle.
        bundle: u64,
    },
    /// A cut order, which must not run twice.
    CutOrder {
        /// The number of the order.
        order: u64,
        /// Whether it is sent under an idempotency key.
        keyed: bool,
    },
}

/// `Planned` is one request of the schedule.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Planned {
    /// When it is sent.
    pub at: Duration,
    /// The index of the VM that it is sent to.
    pub vm: usize,
    /// The index of its class.
    pub class: usize,
    /// Its caller.
    pub caller: u32,
    /// What it asks for.
    pub work: Work,
    /// Whether it is a cut order that its caller has sent already.
    pub is_repetition: bool,
}

/// Returns the requests of a run in order of time.
pub fn schedule(trace: &Trace, scale: &Scale, options: &LoadOptions) -> Vec<Planned> {
    let mut source = ChaCha8Rng::seed_from_u64(options.seed ^ SEED_MIX);
    let mut planned = Vec::new();
    for (number, request) in trace.requests.iter().enumerate() {
        let Some(at) = scale.arrival(request.at_ms) else {
            continue;
        };
        let first = Planned {
            at,
            vm: source.random_range(0..options.vms),
            class: request.class,
            caller: request.caller,
            work: work(request, number as u64, &mut source),
            is_repetition: false,
        };
        planned.extend(repetition(&first, options.vms, &mut source));
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
            stream: !source.random_bool(WHOLE_SHARE),
        },
        Target::Service => {
            let drawn: f64 = source.random();
            match drawn {
                _ if drawn < LOOK_SHARE => Work::Look { bundle: number },
                _ => Work::CutOrder {
                    order: number,
                    keyed: drawn < LOOK_SHARE + KEYED_SHARE,
                },
            }
        }
    }
}

/// Returns the length of an answer that runs as long as the trace says.
fn tokens(request: &TraceRequest) -> u32 {
    let after_first_ms = request.run_ms.saturating_sub(request.first_token_ms);
    u32::try_from(after_first_ms / TOKEN_GAP_MS + 1).unwrap_or(u32::MAX)
}

/// Returns the same request once more at another VM, for some of the orders under a key.
fn repetition(first: &Planned, vms: usize, source: &mut ChaCha8Rng) -> Option<Planned> {
    let repeats = matches!(first.work, Work::CutOrder { keyed: true, .. });
    if !repeats || !source.random_bool(REPEATED_SHARE) {
        return None;
    }
    let after = REPEAT_WITHIN.mul_f64(source.random());
    Some(Planned {
        at: first.at + after,
        vm: (first.vm + 1) % vms,
        is_repetition: true,
        ..first.clone()
    })
}
