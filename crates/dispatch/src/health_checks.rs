//! Health checks that all VMs share, of upstreams that have become silent.
//!
//! Where a health check takes room like a request, one from each VM would fill an upstream at the
//! moment at which it answers again. A VM whose requests are silent therefore does not check the
//! upstream itself: it asks another VM, which all choose alike. What that VM finds is told to all if
//! the upstream is unresponsive, and to those that asked otherwise. An unresponsive upstream is
//! checked again until it answers, by other VMs in turn, so that the outcome does not rest on the path
//! of one VM.

use std::collections::BTreeMap;

use apricotdale_core::names::UpstreamName;
use apricotdale_core::names::VmName;

/// Time limit for the answer to a health check, which may have to wait for a slot.
pub const HEALTH_CHECK_TIMEOUT_MS: u64 = 600;

/// Time after which a VM that was asked to check an upstream counts as one that will not answer. It
/// leaves time for the check and for a permit.
const CHECKER_TIMEOUT_MS: u64 = 800;

/// Number of VMs that are asked before a VM checks an upstream itself.
const MAX_ASKED_VMS: usize = 2;

/// First time between two checks of an unresponsive upstream, and the longest. It doubles: an upstream
/// that stands still handles all of them when it goes on.
const RECHECK_PAUSE_MS: u64 = 300;
const MAX_RECHECK_PAUSE_MS: u64 = 1_200;

/// Time for which what a check has shown answers further questions.
const RESULT_VALID_MS: u64 = 250;

/// Reserve for a datagram by which a VM asks for a check or tells of its outcome.
const DATAGRAM_MS: u64 = 100;

/// Time after an unanswered check in which the VMs that have asked leave the next one to the VM that
/// repeats it. The outcome of that is known by then.
pub const RECHECK_WAIT_MS: u64 = MAX_RECHECK_PAUSE_MS + HEALTH_CHECK_TIMEOUT_MS + 2 * DATAGRAM_MS;

/// Time for which an upstream that did not answer its check counts as unresponsive, unless another check
/// shows otherwise. It covers that the VM which was to repeat the check is lost, and then the first one
/// that is asked again.
pub const UNRESPONSIVE_MS: u64 =
    RECHECK_WAIT_MS + CHECKER_TIMEOUT_MS + HEALTH_CHECK_TIMEOUT_MS + DATAGRAM_MS;

/// What has to be done about health checks.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum HealthCheckStep {
    /// Check an upstream, and record what that shows.
    Check(UpstreamName),
    /// Ask another VM to check an upstream.
    Ask(VmName, UpstreamName),
    /// Tell VMs that have asked whether an upstream is responsive.
    Answer {
        /// VMs that have asked.
        vms: Vec<VmName>,
        /// Upstream that was checked.
        upstream: UpstreamName,
        /// Whether it answered.
        is_responsive: bool,
    },
    /// Tell all VMs whether an upstream is responsive.
    TellAll {
        /// Upstream that was checked.
        upstream: UpstreamName,
        /// Whether it answered.
        is_responsive: bool,
    },
}

/// Question of this VM that has not been answered.
#[derive(Clone, Copy, Debug)]
struct Question {
    since_ms: u64,
    asked_vms: usize,
    /// When the next VM is asked.
    next_ms: u64,
}

/// Newest known outcome of a check.
#[derive(Clone, Copy, Debug)]
struct CheckResult {
    at_ms: u64,
    is_responsive: bool,
}

#[derive(Clone, Debug, Default)]
struct UpstreamState {
    question: Option<Question>,
    is_checking: bool,
    /// VMs that wait for the check in progress.
    askers: Vec<VmName>,
    result: Option<CheckResult>,
    /// When another VM is asked to check the upstream again; none if another VM sees to that.
    recheck_ms: Option<u64>,
    rechecks: usize,
    /// Number of checks in a row, of this VM and others, that were not answered.
    unanswered: u32,
}

impl UpstreamState {
    fn record_result(&mut self, now_ms: u64, is_responsive: bool) {
        self.unanswered = match is_responsive {
            true => 0,
            false => self.unanswered.saturating_add(1),
        };
        self.result = Some(CheckResult {
            at_ms: now_ms,
            is_responsive,
        });
    }

    fn recheck_pause_ms(&self) -> u64 {
        let doublings = self.unanswered.saturating_sub(1).min(u64::BITS / 2);
        (RECHECK_PAUSE_MS << doublings).min(MAX_RECHECK_PAUSE_MS)
    }

    /// Asks the next VM, or has this VM check if none of those that were asked has answered.
    fn continue_question(
        &mut self,
        now_ms: u64,
        upstream: &UpstreamName,
        checkers: &[VmName],
    ) -> Option<HealthCheckStep> {
        let question = self.question.as_mut()?;
        match checkers.get(question.asked_vms) {
            Some(vm) if question.asked_vms < MAX_ASKED_VMS => {
                question.asked_vms += 1;
                question.next_ms = now_ms + CHECKER_TIMEOUT_MS;
                Some(HealthCheckStep::Ask(vm.clone(), upstream.clone()))
            }
            _ => {
                question.next_ms = u64::MAX;
                self.begin_check(upstream)
            }
        }
    }

    fn begin_check(&mut self, upstream: &UpstreamName) -> Option<HealthCheckStep> {
        let is_begun = !std::mem::replace(&mut self.is_checking, true);
        is_begun.then(|| HealthCheckStep::Check(upstream.clone()))
    }
}

/// Health checks of one VM, and its questions to others.
#[derive(Clone, Debug, Default)]
pub struct HealthChecks {
    by_name: BTreeMap<UpstreamName, UpstreamState>,
}

impl HealthChecks {
    /// Begins to find out whether an upstream at which this VM's requests are silent is responsive.
    /// `checkers` are other VMs, in the order in which they are asked.
    pub fn ask(
        &mut self,
        now_ms: u64,
        upstream: &UpstreamName,
        checkers: &[VmName],
    ) -> Option<HealthCheckStep> {
        let state = self.by_name.entry(upstream.clone()).or_default();
        if state.question.is_some() {
            return None;
        }
        state.question = Some(Question {
            since_ms: now_ms,
            asked_vms: 0,
            next_ms: now_ms,
        });
        state.continue_question(now_ms, upstream, checkers)
    }

    /// Records another VM's question. It is answered at once if this VM has just learnt the answer.
    pub fn record_question(
        &mut self,
        now_ms: u64,
        upstream: &UpstreamName,
        asker: &VmName,
    ) -> Option<HealthCheckStep> {
        let state = self.by_name.entry(upstream.clone()).or_default();
        let is_valid = |result: &CheckResult| now_ms < result.at_ms + RESULT_VALID_MS;
        if let Some(result) = state.result.filter(is_valid) {
            return Some(HealthCheckStep::Answer {
                vms: vec![asker.clone()],
                upstream: upstream.clone(),
                is_responsive: result.is_responsive,
            });
        }
        if !state.askers.contains(asker) {
            state.askers.push(asker.clone());
        }
        state.begin_check(upstream)
    }

    /// Records what a check of this VM has shown; `None` if it could not be sent. Returns whom to tell,
    /// and when this VM asked itself, if it did.
    pub fn record_check(
        &mut self,
        now_ms: u64,
        upstream: &UpstreamName,
        is_responsive: Option<bool>,
    ) -> (Option<HealthCheckStep>, Option<u64>) {
        let Some(state) = self.by_name.get_mut(upstream) else {
            return (None, None);
        };
        state.is_checking = false;
        let vms = std::mem::take(&mut state.askers);
        let asked_ms = match state.question {
            // Other VMs may still answer.
            Some(question) if is_responsive.is_none() && question.next_ms != u64::MAX => None,
            question => {
                state.question = None;
                question.map(|it| it.since_ms)
            }
        };
        let Some(is_responsive) = is_responsive else {
            return (None, asked_ms);
        };
        let was_unresponsive = state
            .result
            .is_some_and(|it| !it.is_responsive && now_ms < it.at_ms + UNRESPONSIVE_MS);
        state.record_result(now_ms, is_responsive);
        state.recheck_ms = (!is_responsive).then(|| now_ms + state.recheck_pause_ms());
        let upstream = upstream.clone();
        let step = match is_responsive && !was_unresponsive {
            true => HealthCheckStep::Answer {
                vms,
                upstream,
                is_responsive,
            },
            false => HealthCheckStep::TellAll {
                upstream,
                is_responsive,
            },
        };
        (Some(step), asked_ms)
    }

    /// Records what another VM has found. Returns when this VM asked for it, if it did.
    pub fn record_told(
        &mut self,
        now_ms: u64,
        upstream: &UpstreamName,
        is_responsive: bool,
    ) -> Option<u64> {
        let state = self.by_name.entry(upstream.clone()).or_default();
        state.record_result(now_ms, is_responsive);
        state.recheck_ms = None;
        state.question.take().map(|it| it.since_ms)
    }

    /// Returns what is due. `checkers` returns the other VMs that check an upstream, in order.
    pub fn due(
        &mut self,
        now_ms: u64,
        checkers: impl Fn(&UpstreamName) -> Vec<VmName>,
    ) -> Vec<HealthCheckStep> {
        let mut steps = Vec::new();
        for (upstream, state) in &mut self.by_name {
            if state.question.is_some_and(|it| it.next_ms <= now_ms) {
                steps.extend(state.continue_question(now_ms, upstream, &checkers(upstream)));
            }
            if state.recheck_ms.is_some_and(|at_ms| at_ms <= now_ms) {
                state.recheck_ms = None;
                let checkers = checkers(upstream);
                steps.extend(match checkers.get(state.rechecks % checkers.len().max(1)) {
                    Some(vm) => Some(HealthCheckStep::Ask(vm.clone(), upstream.clone())),
                    None => state.begin_check(upstream),
                });
                state.rechecks += 1;
            }
        }
        steps
    }

    /// Returns when something is due next, or `u64::MAX` if nothing is.
    pub fn next_ms(&self) -> u64 {
        let states = self.by_name.values();
        let times = states.flat_map(|it| [it.question.map(|it| it.next_ms), it.recheck_ms]);
        times.flatten().min().unwrap_or(u64::MAX)
    }

    /// Records that an upstream has left the fleet.
    pub fn removed(&mut self, upstream: &UpstreamName) {
        self.by_name.remove(upstream);
    }
}
