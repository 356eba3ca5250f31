//! Trial runs of requests on probation, one at a time over all VMs.
//!
//! A VM asks a judge before it sends a request on probation. [`TrialCoordinator`] is the judge's
//! side: it allows one trial run of a request at a time, and one at each upstream, so that of two
//! suspect requests each is lost with an upstream of its own. [`TrialClient`] is the side of the VM
//! that asks. If no judge answers, a VM decides by itself.

use std::collections::BTreeMap;

use apricotdale_core::names::UpstreamName;
use serde::Deserialize;
use serde::Serialize;

use crate::fingerprint::Fingerprint;

/// Time after which a judge that has not answered is asked again.
const ANSWER_TIMEOUT_MS: u64 = 90;

/// Number of times that a judge is asked before the next one is.
const QUERIES_PER_JUDGE: u32 = 4;

/// Time for which another judge is asked after one did not answer.
const FALLBACK_JUDGE_MS: u64 = 3_000;

/// Time within which an allowed trial run must be sent.
const UNUSED_TRIAL_TTL_MS: u64 = 300;

/// Time after its deadline for which a trial run still counts as in progress.
const GRANT_SLACK_MS: u64 = 500;

/// Time for which a new judge allows nothing, since its predecessor may have allowed trial runs.
const NEW_JUDGE_PAUSE_MS: u64 = 1_500;

/// Pause after a lost trial run, in which its upstream's end is confirmed and judged.
const LOST_PAUSE_MS: u64 = 400;

/// Minimum pause before a VM asks again.
const MIN_PAUSE_MS: u64 = 50;

/// Pause per VM of the fleet before a VM asks again, if the product exceeds [`MIN_PAUSE_MS`].
const PAUSE_MS_PER_VM: u64 = 4;

/// Delay after which the end of a trial run is sent to the judge again.
const RESEND_END_MS: u64 = 300;

/// Number of requests for which trial runs are asked or allowed at once.
const MAX_TRIALS: usize = 1_024;

/// Question of a VM to a judge whether it may send a request on probation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TrialQuery {
    /// Fingerprint of the request.
    pub fingerprint: Fingerprint,
    /// Upstream to which it would be sent.
    pub upstream: UpstreamName,
    /// Number of the trial run, unique at the VM that asks.
    pub number: u64,
    /// Time that the trial run may take.
    pub left_ms: u64,
}

/// Judge's answer to a [`TrialQuery`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TrialAnswer {
    /// Fingerprint of the request.
    pub fingerprint: Fingerprint,
    /// Number of the trial run at the VM that asked.
    pub number: u64,
    /// Time after which to ask again, or `None` if the trial run may be sent.
    pub after_ms: Option<u64>,
}

/// Message to the judge that a trial run has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TrialEnd {
    /// Fingerprint of the request.
    pub fingerprint: Fingerprint,
    /// Number of the trial run at the VM that had asked.
    pub number: u64,
    /// Whether the trial run was lost with its connection.
    pub is_lost: bool,
}

/// Decision whether a request may be sent now.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Permit {
    /// The request may be sent: it is not on probation.
    Free,
    /// The request may be sent to this upstream, as a trial run.
    Trial(UpstreamName),
    /// The request must wait, because another trial run is in progress or a judge has yet to
    /// answer.
    Wait,
}

/// Trial run that a judge has allowed.
#[derive(Clone, Debug)]
struct Grant {
    /// Upstream of the trial run, or `None` once it was lost.
    upstream: Option<UpstreamName>,
    asker: u64,
    number: u64,
    until_ms: u64,
}

/// Judge's record of the trial runs that it has allowed, and its decisions on further ones.
#[derive(Clone, Debug, Default)]
pub(crate) struct TrialCoordinator {
    /// Time at which this VM became a judge, or `None` if it has not.
    since_ms: Option<u64>,
    grants: BTreeMap<Fingerprint, Grant>,
}

impl TrialCoordinator {
    /// Records that this VM is a judge from now on.
    pub fn become_judge(&mut self, now_ms: u64) {
        self.since_ms.get_or_insert(now_ms);
    }

    /// Decides on a trial run. Returns `None` if it is allowed, or the time after which to ask
    /// again. The same question may come several times.
    pub fn decide(
        &mut self,
        now_ms: u64,
        asker: u64,
        query: &TrialQuery,
        vms: usize,
    ) -> Option<u64> {
        let pause_ms = MIN_PAUSE_MS.max(PAUSE_MS_PER_VM * vms as u64);
        let begin_ms = self.since_ms.unwrap_or(now_ms) + NEW_JUDGE_PAUSE_MS;
        if vms > 1 && now_ms < begin_ms {
            return Some(pause_ms.max(begin_ms - now_ms));
        }
        self.grants.retain(|_, grant| now_ms < grant.until_ms);
        if let Some(grant) = self.grants.get(&query.fingerprint) {
            let is_same = (grant.asker, grant.number) == (asker, query.number);
            return (!is_same).then_some(pause_ms);
        }
        let is_taken = |grant: &Grant| grant.upstream.as_ref() == Some(&query.upstream);
        if self.grants.len() >= MAX_TRIALS || self.grants.values().any(is_taken) {
            return Some(pause_ms);
        }
        let grant = Grant {
            upstream: Some(query.upstream.clone()),
            asker,
            number: query.number,
            until_ms: now_ms + query.left_ms + GRANT_SLACK_MS,
        };
        self.grants.insert(query.fingerprint, grant);
        None
    }

    /// Records the end of a trial run.
    pub fn end_grant(&mut self, now_ms: u64, asker: u64, end: &TrialEnd) {
        let Some(grant) = self.grants.get_mut(&end.fingerprint) else {
            return;
        };
        if (grant.asker, grant.number) != (asker, end.number) || grant.upstream.is_none() {
            return;
        }
        if end.is_lost {
            grant.upstream = None;
            grant.until_ms = now_ms + LOST_PAUSE_MS;
        } else {
            self.grants.remove(&end.fingerprint);
        }
    }
}

/// State of the next trial run of a request, at the VM that asks for it.
#[derive(Clone, Debug)]
enum TrialState {
    Queried {
        query: TrialQuery,
        queries_sent: u32,
        next_ms: u64,
    },
    Denied {
        until_ms: u64,
    },
    Allowed {
        query: TrialQuery,
        until_ms: u64,
    },
    Sent {
        number: u64,
    },
}

/// Messages that are due and what else has changed.
#[derive(Clone, Debug, Default)]
pub(crate) struct DueTrials {
    pub trial_queries: Vec<TrialQuery>,
    pub ends: Vec<TrialEnd>,
    /// Questions that no judge has answered.
    pub unanswered: Vec<TrialQuery>,
    /// Whether a request that had to wait may be sent now.
    pub may_continue: bool,
}

/// Asks judges for the trial runs of one VM.
#[derive(Clone, Debug, Default)]
pub(crate) struct TrialClient {
    states: BTreeMap<Fingerprint, TrialState>,
    next_number: u64,
    /// Ends of trial runs that are to be sent to the judge, and when.
    ends: Vec<(u64, TrialEnd)>,
    /// Index of the judge that is asked.
    judge: usize,
    judge_until_ms: u64,
}

impl TrialClient {
    /// Returns the index of the judge that is asked.
    pub fn judge(&self) -> usize {
        self.judge
    }

    /// Returns whether a request has to wait for a judge or for a trial run in progress.
    pub fn must_wait(&self, fingerprint: &Fingerprint) -> bool {
        let state = self.states.get(fingerprint);
        state.is_some_and(|state| !matches!(state, TrialState::Allowed { .. }))
    }

    /// Decides whether a request on probation may be sent, and schedules a question to a judge if
    /// not.
    pub fn permit(
        &mut self,
        now_ms: u64,
        fingerprint: Fingerprint,
        upstream: &UpstreamName,
        left_ms: u64,
    ) -> Permit {
        match self.states.get(&fingerprint) {
            Some(TrialState::Allowed { query, .. }) => {
                let permit = Permit::Trial(query.upstream.clone());
                let number = query.number;
                self.states.insert(fingerprint, TrialState::Sent { number });
                permit
            }
            None if self.states.len() < MAX_TRIALS => {
                self.next_number += 1;
                let query = TrialQuery {
                    fingerprint,
                    upstream: upstream.clone(),
                    number: self.next_number,
                    left_ms,
                };
                let state = TrialState::Queried {
                    query,
                    queries_sent: 0,
                    next_ms: now_ms,
                };
                self.states.insert(fingerprint, state);
                Permit::Wait
            }
            _ => Permit::Wait,
        }
    }

    /// Records the answer of a judge. Returns whether a trial run may be sent.
    pub fn record_answer(&mut self, now_ms: u64, answer: &TrialAnswer) -> bool {
        let Some(state) = self.states.get_mut(&answer.fingerprint) else {
            return false;
        };
        let TrialState::Queried { query, .. } = state else {
            return false;
        };
        if query.number != answer.number {
            return false;
        }
        *state = match answer.after_ms {
            None => TrialState::Allowed {
                query: query.clone(),
                until_ms: now_ms + UNUSED_TRIAL_TTL_MS,
            },
            Some(after_ms) => TrialState::Denied {
                until_ms: now_ms + after_ms,
            },
        };
        answer.after_ms.is_none()
    }

    /// Records that the trial run of a request has ended.
    pub fn end_trial(&mut self, now_ms: u64, fingerprint: Fingerprint, is_lost: bool) {
        if let Some(TrialState::Sent { number }) = self.states.get(&fingerprint) {
            let end = TrialEnd {
                fingerprint,
                number: *number,
                is_lost,
            };
            self.schedule_end(now_ms, end);
            // The judge has to receive the end of this trial run before it is asked for the next.
            let until_ms = now_ms + MIN_PAUSE_MS;
            self.states
                .insert(fingerprint, TrialState::Denied { until_ms });
        }
    }

    /// Removes the state of a request that is no longer on probation.
    pub fn forget(&mut self, fingerprint: &Fingerprint) {
        if !matches!(self.states.get(fingerprint), Some(TrialState::Sent { .. })) {
            self.states.remove(fingerprint);
        }
    }

    fn schedule_end(&mut self, now_ms: u64, end: TrialEnd) {
        self.ends.push((now_ms, end));
        self.ends.push((now_ms + RESEND_END_MS, end));
    }

    /// Returns when something is due, or `u64::MAX` if nothing is.
    pub fn next_ms(&self) -> u64 {
        let states = self.states.values().map(|state| match state {
            TrialState::Queried { next_ms, .. } => *next_ms,
            TrialState::Denied { until_ms } | TrialState::Allowed { until_ms, .. } => *until_ms,
            TrialState::Sent { .. } => u64::MAX,
        });
        let ends = self.ends.iter().map(|(at_ms, _)| *at_ms);
        states.chain(ends).min().unwrap_or(u64::MAX)
    }

    /// Returns what is due. `judges` is the number of judges.
    pub fn due(&mut self, now_ms: u64, judges: usize) -> DueTrials {
        let mut due = DueTrials::default();
        if self.judge >= judges || self.judge_until_ms <= now_ms {
            self.judge = 0;
        }
        let mut use_next_judge = false;
        for state in self.states.values_mut() {
            match state {
                TrialState::Queried {
                    query,
                    queries_sent,
                    next_ms,
                } if *next_ms <= now_ms => {
                    use_next_judge |= *queries_sent > 0 && *queries_sent % QUERIES_PER_JUDGE == 0;
                    let max_queries = judges as u32 * QUERIES_PER_JUDGE;
                    match *queries_sent < max_queries {
                        true => due.trial_queries.push(query.clone()),
                        false => due.unanswered.push(query.clone()),
                    }
                    *queries_sent += 1;
                    *next_ms = now_ms + ANSWER_TIMEOUT_MS;
                }
                _ => {}
            }
        }
        if use_next_judge && judges > 0 {
            self.judge = (self.judge + 1) % judges;
            self.judge_until_ms = now_ms + FALLBACK_JUDGE_MS;
        }
        let mut unused = Vec::new();
        self.states.retain(|_, state| match state {
            TrialState::Denied { until_ms } if *until_ms <= now_ms => {
                due.may_continue = true;
                false
            }
            TrialState::Allowed { query, until_ms } if *until_ms <= now_ms => {
                unused.push(TrialEnd {
                    fingerprint: query.fingerprint,
                    number: query.number,
                    is_lost: false,
                });
                due.may_continue = true;
                false
            }
            _ => true,
        });
        for end in unused {
            self.schedule_end(now_ms, end);
        }
        let ends = self.ends.extract_if(.., |(at_ms, _)| *at_ms <= now_ms);
        due.ends.extend(ends.map(|(_, end)| end));
        due
    }
}
