//! A request as the dispatcher sees it, and what is decided of it.

use apricotdale_core::names::GroupName;
use apricotdale_core::names::UpstreamName;
use apricotdale_core::refusal::Refusal;
use apricotdale_fleet::RouteKind;
use apricotdale_fleet::WantedModel;

/// `Job` is a request that is to be sent.
#[derive(Clone, Debug, PartialEq)]
pub struct Job {
    /// The service.
    pub service: GroupName,
    /// The model, for a request to model engines.
    pub wanted: Option<WantedModel>,
    /// What is answered and what may be repeated.
    pub kind: RouteKind,
    /// The rank of its class; 0 goes first.
    pub rank: u32,
    /// When it arrived.
    pub arrived_ms: u64,
    /// When its answer should have begun.
    pub target_ms: u64,
    /// When it must have its final answer.
    pub deadline_ms: u64,
    /// The most upstreams on which it may run.
    pub attempts: u32,
    /// The prompt's shared beginning, which some upstreams may have cached.
    pub prefix_hash: Option<u64>,
    /// How long its answer is expected to take.
    pub expected_run_ms: u64,
    /// Upstreams to which it was sent.
    pub tried: Vec<UpstreamName>,
    /// Sends after which it may have run.
    pub runs: u32,
    /// Whether its next send is a repeat that the budget has not allowed yet.
    pub owes_repeat: bool,
}

impl Job {
    /// Returns how urgent the request is among those that wait; the least goes first.
    pub fn urgency(&self, now_ms: u64) -> Urgency {
        Urgency {
            rank: self.rank,
            late: self.target_ms < now_ms,
            target_ms: self.target_ms,
        }
    }
}

/// `Urgency` is the order in which waiting requests are sent: by class, then those that can still
/// be on time, then by when the answer should have begun.
///
/// In an overload, an order by target alone spends the places on requests that are late already,
/// until all are late.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Urgency {
    rank: u32,
    late: bool,
    target_ms: u64,
}

/// `WaitReason` is why a request can't be sent now.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum WaitReason {
    /// No upstream holds the model or the adapter.
    Missing,
    /// All upstreams that could run it are full.
    Crowded,
    /// The budget has no repeat for it.
    Budget,
    /// Whether its organisation's limit admits it is being asked.
    Limit,
    /// It may crash upstreams, and another copy of it is tried first.
    Suspected,
}

/// `Verdict` is what is decided of a request.
#[derive(Clone, Debug, PartialEq)]
pub enum Verdict {
    /// Send it to this upstream.
    Send(UpstreamName),
    /// Keep it, and ask again when something has changed.
    Wait(WaitReason),
    /// Answer that it will not be served.
    Refuse(Refusal),
}

/// `FailedTry` is how a send ended without an answer for the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum FailedTry {
    /// The upstream said that it did not run the request.
    TurnedAway,
    /// The upstream does not hold the model, or another upstream has its address.
    Misdirected,
    /// The request was certainly not received.
    NotSent,
    /// The request may have run.
    Lost,
    /// The upstream answered that it failed.
    Failed,
    /// Its answer does not fit behind what the caller has been given.
    Misfit,
}

impl FailedTry {
    /// Returns whether the request certainly did not run.
    pub fn is_not_run(self) -> bool {
        matches!(self, Self::TurnedAway | Self::Misdirected | Self::NotSent)
    }

    /// Returns the word for logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::TurnedAway => "turned_away",
            Self::Misdirected => "misdirected",
            Self::NotSent => "not_sent",
            Self::Lost => "lost",
            Self::Failed => "failed",
            Self::Misfit => "misfit",
        }
    }
}

/// `Attempt` is what is decided after a failed send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Attempt {
    /// Send it again after a pause.
    AgainAfterMs(u64),
    /// Send it again once the budget has a repeat for it.
    OnceAllowed,
    /// Answer with what there is.
    GiveUp,
}
