//! What one VM tells a watch, and what the watch has it send.

use crate::blocks::BlockRow;
use crate::blocks::LiftedBlocks;
use crate::features::RequestFeatures;
use crate::fingerprint::CallerHash;
use crate::fingerprint::Fingerprint;
use crate::reports::AnsweredRow;
use crate::reports::CrashReport;
use crate::reports::ProbationRow;
use crate::trials::TrialEnd;
use crate::trials::TrialQuery;
use crate::unconfirmed_crashes::UpstreamProbe;

/// Role of a VM among the others.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Role {
    /// Index of the VM among the judges, to which the others send their crash reports, or `None` if
    /// it is not a judge.
    pub judge: Option<usize>,
    /// Number of judges among the VMs.
    pub judges: usize,
    /// Number of VMs, including this one.
    pub vms: usize,
    /// Whether it holds the order lease, and therefore repeats the blocks for all.
    pub is_lease_holder: bool,
}

/// Request that was lost because an upstream broke its connection.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LostRequest {
    /// The request and its prompt parts.
    pub features: RequestFeatures,
    /// Caller of the request.
    pub caller: CallerHash,
    /// Whether it was sent as a trial run.
    pub is_trial: bool,
}

/// Messages and probes that a VM has to send now, and blocks that have changed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Due {
    /// Upstreams to probe.
    pub probes: Vec<UpstreamProbe>,
    /// Crash reports to send to the judges.
    pub reports: Vec<CrashReport>,
    /// Blocks to send to all VMs.
    pub blocks: Vec<BlockRow>,
    /// Blocks that begin now by this VM's decision.
    pub new_blocks: Vec<BlockRow>,
    /// Blocks that have ended and are no longer remembered.
    pub ended: Vec<Fingerprint>,
    /// Requests and parts on probation to announce to all VMs.
    pub probations: Vec<ProbationRow>,
    /// Parts that are no longer on probation although they were not answered, to announce to all
    /// VMs.
    pub released: Vec<Fingerprint>,
    /// Questions about trial runs to send to the judge that is asked.
    pub trial_queries: Vec<TrialQuery>,
    /// Ends of trial runs to send to the judge that is asked.
    pub trial_ends: Vec<TrialEnd>,
    /// Index of the judge that is asked, among the judges.
    pub trial_judge: usize,
    /// Whether requests that had to wait may be sent now.
    pub may_continue: bool,
}

/// Changes at a VM after a request was answered, and whom it has to inform.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Cleared {
    /// Features that were on probation or blocked, to announce to all VMs.
    pub announced: Vec<Fingerprint>,
    /// Answers to send to the judges, which announce what they clear. All VMs answer requests with
    /// a popular part at the same time.
    pub reported: Vec<AnsweredRow>,
    /// Blocks that have ended or changed.
    pub lifted: LiftedBlocks,
}

impl Cleared {
    /// Returns whether the request or a part of it was on probation or blocked.
    pub fn is_change(&self) -> bool {
        !self.announced.is_empty() || !self.reported.is_empty()
    }
}
