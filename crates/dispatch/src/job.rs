//! Requests as the dispatcher sees them, and its decisions on them.

use apricotdale_core::names::GroupName;
use apricotdale_core::names::UpstreamName;
use apricotdale_core::origin::Origin;
use apricotdale_core::policy::RetryRequest;
use apricotdale_core::refusal::Refusal;
use apricotdale_core::refusal::RefusalReason;
use apricotdale_fleet::RouteKind;
use apricotdale_fleet::WantedModel;

/// Request that is to be sent to an upstream.
#[derive(Clone, Debug, PartialEq)]
pub struct Job {
    /// Service that the request is addressed to.
    pub service: GroupName,
    /// Model that is needed, or `None` for a plain service.
    pub wanted: Option<WantedModel>,
    /// Origin of the events that its caller has, which the upstream must continue; `None` if the
    /// caller has none.
    pub origin: Option<Origin>,
    /// Kind of its route: whether the answer is a stream, and whether the request may run twice.
    pub kind: RouteKind,
    /// Rank of its request class; rank 0 is sent first.
    pub rank: u32,
    /// Time of its arrival at this VM.
    pub arrived_ms: u64,
    /// Time by which its answer should begin.
    pub target_ms: u64,
    /// Time by which its answer must be complete.
    pub deadline_ms: u64,
    /// Largest number of upstreams on which it may run.
    pub attempts: u32,
    /// Hash of the prompt's prefix, which some upstreams may have in their prefix cache.
    pub prefix_hash: Option<u64>,
    /// Expected time from the send to the end of the answer.
    pub expected_run_ms: u64,
    /// Upstreams that it was sent to, in order.
    pub tried: Vec<UpstreamName>,
    /// Upstreams whose answers were unusable. It is sent there again only if no other can take it.
    pub unusable: Vec<UpstreamName>,
    /// Number of sends after which it may have run.
    pub runs: u32,
    /// Whether its next send is a retry for which the budget has not been charged yet.
    pub awaits_retry_budget: bool,
}

impl Job {
    /// Returns the sort key of the request among those that wait; the smallest key is sent first.
    pub fn urgency(&self, now_ms: u64) -> Urgency {
        Urgency {
            rank: self.rank,
            is_new: self.origin.is_none(),
            is_late: self.target_ms < now_ms,
            target_ms: self.target_ms,
        }
    }
}

/// Sort key of waiting requests: by class rank, then those that continue a stream, as few upstreams
/// may be able to and its caller has begun to read, then those that can still begin by their target
/// time, then by target time.
///
/// Under overload, an order by target time alone spends the slots on requests that are already
/// late, until all requests are late.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Urgency {
    rank: u32,
    is_new: bool,
    is_late: bool,
    target_ms: u64,
}

/// Reason why a request can't be sent now.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum WaitReason {
    /// No upstream holds the model or the adapter.
    Missing,
    /// All upstreams that could run it are full.
    Full,
    /// The retry budget is used up.
    Budget,
    /// The rate limit of its organisation is being checked.
    Limit,
    /// The origin of the stream that it resumes is being asked for.
    Origin,
    /// A permit is requested for an upstream that states a rate limit.
    Permit,
    /// The request is suspected of crashing upstreams, and a trial of the same request is in
    /// progress.
    Suspected,
}

/// Decision on a request: whether and where it is sent now.
#[derive(Clone, Debug, PartialEq)]
pub enum DispatchDecision {
    /// Send it to this upstream.
    Send(UpstreamName),
    /// Keep it, and decide again when something has changed.
    Wait(WaitReason),
    /// Answer the caller with this refusal.
    Refuse(Refusal),
}

/// Way in which a send ended without an answer for the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum FailedAttempt {
    /// The upstream stated that it did not run the request.
    Rejected,
    /// The upstream does not hold the model, or its address now belongs to another upstream.
    Misdirected,
    /// The upstream certainly did not receive the request.
    NotSent,
    /// No usable answer came, and the request may have run.
    Lost,
    /// The upstream answered with a failure of its own.
    Failed,
    /// The answer can't continue what the caller has already received.
    ContinuationMismatch,
}

impl FailedAttempt {
    /// Returns whether the request certainly did not run.
    pub fn is_not_run(self) -> bool {
        matches!(self, Self::Rejected | Self::Misdirected | Self::NotSent)
    }

    /// Returns the name used in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Rejected => "turned_away",
            Self::Misdirected => "misdirected",
            Self::NotSent => "not_sent",
            Self::Lost => "lost",
            Self::Failed => "failed",
            Self::ContinuationMismatch => "misfit",
        }
    }
}

/// Decision after a failed send: whether and when the request is sent again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryAction {
    /// Send the request again after this pause.
    AfterMs(u64),
    /// Send the request again once the retry budget allows it.
    OnceBudgetAllows,
    /// Don't send it again; answer the caller.
    GiveUp,
}

/// Returns a refusal that says "not run" only if the request certainly did not run.
pub(crate) fn refusal_of(job: &Job, reason: RefusalReason, detail: String) -> Refusal {
    match job.runs {
        0 => Refusal::not_run(reason, detail),
        _ => Refusal::unknown(reason, detail),
    }
}

/// Returns the question to the retry policy for a request whose send failed.
pub(crate) fn retry_request(
    now_ms: u64,
    job: &Job,
    certainly_not_run: bool,
    answer_begun: bool,
) -> RetryRequest {
    RetryRequest {
        group: job.service.clone(),
        idempotent: job.kind.is_repeatable(),
        certainly_not_run,
        answer_begun,
        tries: job.tried.len() as u32,
        left_ms: job.deadline_ms.saturating_sub(now_ms),
    }
}
